//! The control thread's handle of the gate.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use model::{Instance, Slot, Term, Token};
use ownership::{GateCommand, LoadReport, MemberCapacity};
use tokio::sync::{Notify, mpsc};
use traffic::{RecordUnit, SharedRateLimit};

use crate::{
    clock::Clock,
    gate::{load::LoadTable, membership::MembershipLease, table::GateTable},
};

/// Work of the gate that is carried out outside the control thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum GateTask {
    Prepare {
        slot: Slot,
        token: Token,
    },
    Close {
        unit: RecordUnit,
        token: Token,
        successor: Option<Instance>,
    },
    /// The lease of this agent has ended; all grants of the upstream are left to expire.
    DropAll,
    /// Release of the grants that earlier sessions or incarnations of this agent made.
    Clear {
        token: Token,
    },
    /// A grant that is to be sent to the upstream.
    Grant {
        slot: Slot,
        token: Token,
    },
}

/// Handle by which control sets what the gate admits. None of its methods blocks.
#[derive(Debug, Clone)]
pub struct GateHandle {
    pub(crate) clock: Clock,
    pub(crate) table: Arc<GateTable>,
    pub(crate) load: Arc<LoadTable>,
    pub(crate) membership: Arc<MembershipLease>,
    /// Limit on the rate of requests that the upstream gets. An incarnation that follows another is
    /// counted as having received the requests of its predecessor.
    pub(crate) rate_limit: SharedRateLimit,
    /// Capacities of the members while this agent is the coordinator, for the metrics.
    pub(crate) capacities: Arc<ArcSwap<Vec<MemberCapacity>>>,
    /// Notified when another incarnation than the known one has announced itself at the upstream's address.
    pub(crate) rival_announced: Arc<Notify>,
    /// The lowest token of the slots that were admitted since all were last dropped.
    session_token_min: Arc<Mutex<Option<Token>>>,
    tasks: mpsc::UnboundedSender<GateTask>,
}

impl GateHandle {
    /// Creates a handle whose gate admits nothing, and the receiver of the tasks for the traffic
    /// threads.
    pub(crate) fn new(clock: Clock) -> (GateHandle, mpsc::UnboundedReceiver<GateTask>) {
        let (tasks, receiver) = mpsc::unbounded_channel();
        let table = Arc::new(GateTable::new());
        let rate_limit = SharedRateLimit::new(clock.now());
        let handle = GateHandle {
            clock,
            table,
            load: Arc::default(),
            membership: Arc::default(),
            rate_limit,
            capacities: Arc::default(),
            rival_announced: Arc::default(),
            session_token_min: Arc::default(),
            tasks,
        };
        (handle, receiver)
    }

    /// Applies the gate commands of one step, in order. Admissions, refusals and the lease are in
    /// effect when this returns; `Prepare` and `Close` end with a [`crate::report::Report`].
    pub fn apply(&self, commands: &[GateCommand]) {
        self.table.apply(self.clock.now(), commands);
        for command in commands {
            self.record_session_token(command);
            let task = match command {
                GateCommand::Prepare { slot, token } => {
                    GateTask::Prepare { slot: *slot, token: *token }
                }
                GateCommand::Close { slot, token, to } => {
                    let unit = RecordUnit::Slot(*slot);
                    GateTask::Close { unit, token: *token, successor: to.clone() }
                }
                GateCommand::CloseKey { key_hash, token, to } => {
                    let unit = RecordUnit::Key(*key_hash);
                    GateTask::Close { unit, token: *token, successor: to.clone() }
                }
                GateCommand::Admit { slot, token } => {
                    GateTask::Grant { slot: *slot, token: *token }
                }
                GateCommand::DropAll => GateTask::DropAll,
                GateCommand::Clear { token } => GateTask::Clear { token: *token },
                _ => continue,
            };
            if self.tasks.send(task).is_err() {
                log::debug!(target: "gate", "Dropped a gate task: the traffic threads have ended.");
            }
        }
    }

    fn record_session_token(&self, command: &GateCommand) {
        let mut token_min = self.session_token_min.lock().unwrap_or_else(PoisonError::into_inner);
        match command {
            GateCommand::DropAll => *token_min = None,
            GateCommand::Admit { token, .. } => {
                *token_min = Some(token_min.map_or(*token, |it| it.min(*token)));
            }
            _ => {}
        }
    }

    /// Returns whether a slot may have been admitted under this token in the current session.
    pub(crate) fn is_of_current_session(&self, token: Token) -> bool {
        let token_min = *self.session_token_min.lock().unwrap_or_else(PoisonError::into_inner);
        token_min.is_some_and(|it| it <= token)
    }

    /// Returns whether the lease or the term has changed since the published list of members was last confirmed.
    pub(crate) fn has_unconfirmed_lease(&self, term: Term) -> bool {
        !self.membership.is_confirmed(term, self.table.lease_until())
    }

    /// Records that the published list of members includes all changes that came with the current lease in this term.
    pub(crate) fn confirm_members(&self, term: Term) {
        self.membership.confirm(self.clock.now(), term, self.table.lease_until());
    }

    /// Sets for how much longer the upstream is cold, as it has announced.
    pub fn update_cold_for(&self, cold_for: Duration) {
        self.rate_limit.with(|it| it.set_cold_period(self.clock.now(), cold_for));
    }

    /// Treats the upstream as cold until its announcements show that it is warm.
    pub fn mark_possibly_cold(&self) {
        self.rate_limit.with(|it| it.invalidate_cold_state());
    }

    /// Sets the capacities of the members for the metrics; none unless this agent is the coordinator.
    pub(crate) fn set_capacities(&self, capacities: Vec<MemberCapacity>) {
        self.capacities.store(Arc::new(capacities));
    }

    /// Has the gate probe the bound upstream: another incarnation has announced itself at its address.
    pub(crate) fn probe_upstream(&self) {
        self.rival_announced.notify_one();
    }

    /// Returns the load since the last call, for [`ownership::Input::Load`].
    pub fn take_load(&self) -> LoadReport {
        self.load.take(self.clock.now(), |slot| self.table.slot_in_flight(slot))
    }
}
