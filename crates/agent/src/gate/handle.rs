//! The control thread's hold on the gate.

use std::{sync::Arc, time::Duration};

use model::{Instance, Slot, Token};
use ownership::{GateCommand, LoadReport};
use tokio::sync::mpsc;
use traffic::{RecordUnit, SharedWarmup};

use crate::{
    clock::Clock,
    gate::{load::LoadTable, table::GateTable},
};

/// What the gate has to do outside the control thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum GateTask {
    Prepare {
        slot: Slot,
        token: Token,
    },
    Close {
        unit: RecordUnit,
        token: Token,
        to: Option<Instance>,
    },
    /// Everything that the upstream was granted runs out.
    DropAll,
    /// Have the upstream give up what earlier sessions or lives of this agent granted it.
    Clear {
        token: Token,
    },
    /// Tell the upstream of a grant.
    Grant {
        slot: Slot,
        token: Token,
    },
}

/// Changes what the gate admits. No call ever waits.
#[derive(Debug, Clone)]
pub struct GateHandle {
    pub(crate) clock: Clock,
    pub(crate) table: Arc<GateTable>,
    pub(crate) load: Arc<LoadTable>,
    /// What the upstream is given while it is cold; of the lives of it that follow each other the later one
    /// is taken to have been given what the earlier was.
    pub(crate) warmup: SharedWarmup,
    tasks: mpsc::UnboundedSender<GateTask>,
}

impl GateHandle {
    /// A gate that admits nothing, and the tasks that it hands to the traffic threads.
    pub(crate) fn new(clock: Clock) -> (GateHandle, mpsc::UnboundedReceiver<GateTask>) {
        let (tasks, receiver) = mpsc::unbounded_channel();
        let table = Arc::new(GateTable::new());
        let warmup = SharedWarmup::new(clock.now());
        (GateHandle { clock, table, load: Arc::default(), warmup, tasks }, receiver)
    }

    /// Applies the gate commands of one step, in order. Admissions, refusals and the lease hold as
    /// soon as this returns; `Prepare` and `Close` end with a [`crate::report::Report`].
    pub fn apply(&self, commands: &[GateCommand]) {
        self.table.apply(self.clock.now(), commands);
        for command in commands {
            let task = match command {
                GateCommand::Prepare { slot, token } => {
                    GateTask::Prepare { slot: *slot, token: *token }
                }
                GateCommand::Close { slot, token, to } => {
                    let unit = RecordUnit::Slot(*slot);
                    GateTask::Close { unit, token: *token, to: to.clone() }
                }
                GateCommand::CloseKey { key_hash, token, to } => {
                    let unit = RecordUnit::Key(*key_hash);
                    GateTask::Close { unit, token: *token, to: to.clone() }
                }
                GateCommand::Admit { slot, token } => {
                    GateTask::Grant { slot: *slot, token: *token }
                }
                GateCommand::DropAll => GateTask::DropAll,
                GateCommand::Clear { token } => GateTask::Clear { token: *token },
                _ => continue,
            };
            if self.tasks.send(task).is_err() {
                log::debug!(target: "gate", "The traffic threads have ended.");
            }
        }
    }

    /// The upstream has said for how much longer it is cold.
    pub fn announced_cold_for(&self, cold_for: Duration) {
        self.warmup.with(|it| it.set_cold_period(self.clock.now(), cold_for));
    }

    /// The upstream may have turned cold since it was last heard.
    pub fn doubt_warmth(&self) {
        self.warmup.with(|it| it.invalidate());
    }

    /// The load since the last call, for [`ownership::Input::Load`].
    pub fn take_load(&self) -> LoadReport {
        self.load.take(self.clock.now(), |slot| self.table.slot_in_flight(slot))
    }
}
