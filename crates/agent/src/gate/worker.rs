//! Tasks that control hands to the gate: preparing the upstream for a slot, closing a unit, sending
//! a grant.

use std::{sync::Arc, time::Duration};

use model::{Instance, Slot, Timestamp, Token};
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval, sleep, timeout},
};
use traffic::RecordUnit;
use wire::traffic::TransferUnit;

use crate::{
    gate::{Gate, GateTask},
    links::traffic::Handover,
    report::Report,
};

/// Interval at which expired records are removed.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
const PREPARE_TIMEOUT: Duration = Duration::from_secs(10);
const PREPARE_RETRY_DELAY: Duration = Duration::from_millis(100);
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Highest number of tasks that are started together.
const BATCH_MAX: usize = 4096;
/// Interval at which the requests in flight of a closing unit are counted.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Part of the time for a handover that is reserved for transferring the records.
const RECORDS_TRANSFER_TIME: Duration = Duration::from_millis(300);
/// Number of attempts to hand the records over to the new owner.
const RECORDS_TRANSFER_ATTEMPTS: usize = 2;

pub(super) async fn run(gate: Arc<Gate>, mut tasks: mpsc::UnboundedReceiver<GateTask>) {
    let mut changes = gate.snapshots.changes();
    let mut tick = interval(HOUSEKEEPING_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    gate.rebind();
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            biased;
            // Control publishes a new incarnation of the upstream before it admits slots for it. The slots of the former
            // one are voided when the new one is bound, so that must come first.
            _ = changes.changed() => gate.rebind(),
            count = tasks.recv_many(&mut batch, BATCH_MAX) => {
                if count == 0 {
                    return;
                }
                start_all(&gate, batch.drain(..)).await;
            }
            _ = tick.tick() => {
                if let Some(records) = gate.records.get() {
                    records.remove_expired(gate.clock.now());
                }
                // An earlier report may have been lost.
                gate.report_leaving();
            }
        }
    }
}

/// Starts tasks. Those that need no work are reported together.
async fn start_all(gate: &Arc<Gate>, tasks: impl Iterator<Item = GateTask>) {
    let (mut prepared, mut closed) = (Vec::new(), Vec::new());
    let now = gate.clock.now();
    let enforces_leases =
        gate.bound.load().as_ref().is_some_and(|it| it.upstream.key_lease_mode().is_enforced());
    for task in tasks {
        match task {
            GateTask::Prepare { slot, token } if enforces_leases => prepared.push((slot, token)),
            GateTask::Close { unit: RecordUnit::Slot(slot), token, successor }
                if enforces_leases =>
            {
                if !gate.leases.close(now, slot, token, successor) {
                    log::info!(target: "gate", "Slot {slot} under token {token} is reported as closed at once: the upstream was never granted it.");
                    closed.push((slot, token));
                }
            }
            GateTask::Grant { slot, token } if enforces_leases => {
                gate.leases.admit(now, slot, token)
            }
            GateTask::DropAll => gate.leases.drop_all(),
            GateTask::Clear { token } => gate.leases.clear(token),
            task => start(gate, task),
        }
    }
    if !prepared.is_empty() {
        gate.reporter.report(Report::PreparedSlots(prepared)).await;
    }
    if !closed.is_empty() {
        gate.reporter.report(Report::ClosedSlots(closed)).await;
    }
}

fn start(gate: &Arc<Gate>, task: GateTask) {
    let gate = Arc::clone(gate);
    match task {
        GateTask::DropAll | GateTask::Clear { .. } => {}
        GateTask::Prepare { slot, token } => {
            tokio::spawn(async move { gate.prepare(slot, token).await });
        }
        GateTask::Close { unit, token, successor } => {
            tokio::spawn(async move { gate.close(unit, token, successor).await });
        }
        GateTask::Grant { slot, token } => {
            tokio::spawn(async move { gate.send_grant(slot, token).await });
        }
    }
}

impl Gate {
    /// Asks the upstream to prepare a slot until it is warm, then reports the slot as prepared.
    async fn prepare(&self, slot: Slot, token: Token) {
        let prepare_until_warm = async {
            loop {
                let bound = self.bound.load_full();
                let result = match &bound {
                    Some(bound) => bound.upstream.prepare(slot).await.map_err(|it| it.to_string()),
                    None => Err("no upstream has announced itself".to_owned()),
                };
                match result {
                    Ok(()) => return,
                    Err(error) => {
                        log::debug!(target: "gate", "Preparing slot {slot} failed: {error}; retrying.")
                    }
                }
                sleep(PREPARE_RETRY_DELAY).await;
            }
        };
        match timeout(PREPARE_TIMEOUT, prepare_until_warm).await {
            Ok(()) => self.reporter.report(Report::Prepared { slot, token }).await,
            Err(_) => {
                log::warn!(target: "gate", "The upstream did not prepare slot {slot} in time; it is not reported as prepared.")
            }
        }
    }

    /// Sends a grant to an upstream that checks fence tokens. Requests carry the token in any case.
    async fn send_grant(&self, slot: Slot, token: Token) {
        let Some(bound) = self.bound.load_full() else { return };
        if !bound.announcement.checks_fence {
            return;
        }
        let remaining = self.handle.table.lease_until().since(self.clock.now());
        let grant = bound.upstream.grant(slot, token, remaining);
        if let Ok(Err(error)) = timeout(GRANT_TIMEOUT, grant).await {
            log::debug!(target: "gate", "Sending a grant failed: {error}.");
        }
    }

    /// Waits for the requests in flight, hands the records over and reports the unit as closed.
    async fn close(&self, unit: RecordUnit, token: Token, successor: Option<Instance>) {
        self.wait_until_idle(unit).await;
        match self.export_records(unit, token) {
            Some(records) => self.hand_over_records(unit, token, successor, records).await,
            None => {
                log::debug!(target: "gate", "Closing {unit:?} under token {token} without records to hand over.")
            }
        }
        let report = match unit {
            RecordUnit::Slot(slot) => Report::Closed { slot, token },
            RecordUnit::Key(key_hash) => Report::KeyClosed { key_hash, token },
        };
        self.reporter.report(report).await;
    }

    async fn wait_until_idle(&self, unit: RecordUnit) {
        let table = &self.handle.table;
        let handover_max = match self.bound.load_full() {
            Some(bound) => bound.document.ownership.handover_max,
            None => return,
        };
        let idle = async {
            while table.in_flight(unit) > 0 {
                sleep(CLOSE_POLL_INTERVAL).await;
            }
        };
        let mut idle = std::pin::pin!(idle);
        let idle_timeout = handover_max.saturating_sub(RECORDS_TRANSFER_TIME);
        if timeout(idle_timeout, &mut idle).await.is_err() {
            log::warn!(target: "gate", "Cancelling the requests still in flight on {unit:?}: the time to close it is over.");
            table.stop(unit);
            idle.await;
            table.clear_stop(unit);
        }
    }

    fn export_records(&self, unit: RecordUnit, token: Token) -> Option<bytes::Bytes> {
        let bound = self.bound.load_full()?;
        let now: Timestamp = self.clock.now();
        self.records.get()?.export(now, unit, token, |it| bound.document.slot_count.slot_of(it))
    }

    async fn hand_over_records(
        &self,
        unit: RecordUnit,
        token: Token,
        successor: Option<Instance>,
        records: bytes::Bytes,
    ) {
        let (Some(successor), Some(links), Some(bound)) =
            (successor, self.links.get(), self.bound.load_full())
        else {
            return;
        };
        let service = bound.service.clone();
        let unit = match unit {
            RecordUnit::Slot(slot) => TransferUnit::Slot(slot),
            RecordUnit::Key(key_hash) => TransferUnit::Key(key_hash),
        };
        let handover = Handover { service, unit, token, records };
        for _ in 0..RECORDS_TRANSFER_ATTEMPTS {
            if links.hand_over(&successor, &handover).await {
                return;
            }
        }
        log::warn!(target: "gate", "{successor} did not accept the records of {unit:?}; resends will have an unknown outcome.");
    }

    /// Takes over records, or a handover token, that another gate hands over.
    pub(super) fn take_records(&self, from: &Instance, handover: Handover) -> bool {
        let (Some(records), Some(bound)) = (self.records.get(), self.bound.load_full()) else {
            return false;
        };
        if bound.service != handover.service {
            return false;
        }
        let unit = match handover.unit {
            TransferUnit::Slots { first, last } => {
                let handover_token = String::from_utf8_lossy(&handover.records).as_ref().into();
                self.leases.store_handover_token(self.clock.now(), (first, last), handover_token);
                return true;
            }
            TransferUnit::Slot(slot) => RecordUnit::Slot(slot),
            TransferUnit::Key(key_hash) => RecordUnit::Key(key_hash),
        };
        match records.import(self.clock.now(), unit, handover.token, &handover.records) {
            Ok(true) => true,
            Ok(false) => {
                log::info!(target: "gate", "Ignored records of {unit:?} under token {} from {from}: those here are later.", handover.token);
                false
            }
            Err(error) => {
                log::warn!(target: "gate", "Rejected malformed records of {unit:?} from {from}: {error}.");
                false
            }
        }
    }
}
