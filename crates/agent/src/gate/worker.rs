//! Work that control hands to the gate: prepare an upstream, close a unit, tell of a grant.

use std::{sync::Arc, time::Duration};

use model::{Instance, Slot, Timestamp, Token};
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval, sleep, timeout},
};
use traffic::RecordUnit;
use wire::traffic::Unit;

use crate::{
    gate::{Gate, GateTask},
    links::traffic::Handover,
    report::Report,
};

/// How often records and the snapshot are looked after without cause.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
const PREPARE_TIMEOUT: Duration = Duration::from_secs(10);
const PREPARE_RETRY_DELAY: Duration = Duration::from_millis(100);
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// How many tasks are started in one go.
const BATCH_MAX: usize = 4096;
/// How often a closing unit is looked at.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// What of the time for a handover is left for the records.
const RECORDS_TRANSFER_TIME: Duration = Duration::from_millis(300);
/// How often the records are offered to the new owner.
const RECORDS_TRANSFER_ATTEMPTS: usize = 2;

pub(super) async fn run(gate: Arc<Gate>, mut tasks: mpsc::UnboundedReceiver<GateTask>) {
    let mut changes = gate.snapshots.changes();
    let mut tick = interval(HOUSEKEEPING_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    gate.rebind();
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            count = tasks.recv_many(&mut batch, BATCH_MAX) => {
                if count == 0 {
                    return;
                }
                start_all(&gate, batch.drain(..)).await;
            }
            _ = changes.changed() => gate.rebind(),
            _ = tick.tick() => if let Some(records) = gate.records.get() {
                records.tick(gate.clock.now());
            },
        }
    }
}

/// Starts tasks; what needs no work is answered in one go.
async fn start_all(gate: &Arc<Gate>, tasks: impl Iterator<Item = GateTask>) {
    let (mut prepared, mut closed) = (Vec::new(), Vec::new());
    let now = gate.clock.now();
    let leased =
        gate.bound.load().as_ref().is_some_and(|it| it.upstream.key_leases().are_enforced());
    for task in tasks {
        match task {
            GateTask::Prepare { slot, token } if leased => prepared.push((slot, token)),
            GateTask::Close { unit: RecordUnit::Slot(slot), token, to } if leased => {
                if !gate.leases.close(now, slot, token, to) {
                    log::info!(target: "gate", "Slot {slot} of {token} counts as closed: the upstream was not granted it.");
                    closed.push((slot, token));
                }
            }
            GateTask::Grant { slot, token } if leased => gate.leases.admit(now, slot, token),
            GateTask::DropAll => gate.leases.drop_all(),
            GateTask::Clear { token } => gate.leases.clear(token),
            task => start(gate, task),
        }
    }
    if !prepared.is_empty() {
        gate.reporter.deliver(Report::PreparedSlots(prepared)).await;
    }
    if !closed.is_empty() {
        gate.reporter.deliver(Report::ClosedSlots(closed)).await;
    }
}

fn start(gate: &Arc<Gate>, task: GateTask) {
    let gate = Arc::clone(gate);
    match task {
        GateTask::DropAll | GateTask::Clear { .. } => {}
        GateTask::Prepare { slot, token } => {
            tokio::spawn(async move { gate.prepare(slot, token).await });
        }
        GateTask::Close { unit, token, to } => {
            tokio::spawn(async move { gate.close(unit, token, to).await });
        }
        GateTask::Grant { slot, token } => {
            tokio::spawn(async move { gate.send_grant(slot, token).await });
        }
    }
}

impl Gate {
    /// Asks until the upstream is warm; then says so.
    async fn prepare(&self, slot: Slot, token: Token) {
        let asking = async {
            loop {
                let bound = self.bound.load_full();
                let result = match &bound {
                    Some(bound) => bound.upstream.prepare(slot).await.map_err(|it| it.to_string()),
                    None => Err("no upstream has announced itself".to_owned()),
                };
                match result {
                    Ok(()) => return,
                    Err(error) => log::debug!(target: "gate", "Slot {slot}: {error}."),
                }
                sleep(PREPARE_RETRY_DELAY).await;
            }
        };
        match timeout(PREPARE_TIMEOUT, asking).await {
            Ok(()) => self.reporter.deliver(Report::Prepared { slot, token }).await,
            Err(_) => log::warn!(target: "gate", "The upstream did not prepare slot {slot}."),
        }
    }

    /// Tells an upstream that checks fence tokens of a grant; requests carry the token anyway.
    async fn send_grant(&self, slot: Slot, token: Token) {
        let Some(bound) = self.bound.load_full() else { return };
        if !bound.announcement.checks_fence {
            return;
        }
        let remaining = self.handle.table.lease_until().since(self.clock.now());
        let grant = bound.upstream.grant(slot, token, remaining);
        if let Ok(Err(error)) = timeout(GRANT_TIMEOUT, grant).await {
            log::debug!(target: "gate", "{error}.");
        }
    }

    /// Waits for what is in flight, hands the records over, and says that the unit is closed.
    async fn close(&self, unit: RecordUnit, token: Token, to: Option<Instance>) {
        self.wait_until_idle(unit).await;
        if let Some(records) = self.export(unit) {
            self.hand_over_records(unit, token, to, records).await;
        }
        let report = match unit {
            RecordUnit::Slot(slot) => Report::Closed { slot, token },
            RecordUnit::Key(key_hash) => Report::KeyClosed { key_hash, token },
        };
        self.reporter.deliver(report).await;
    }

    async fn wait_until_idle(&self, unit: RecordUnit) {
        let table = &self.handle.table;
        let handover_max = match self.bound.load_full() {
            Some(bound) => bound.document.ownership.handover_max,
            None => return,
        };
        let empty = async {
            while table.in_flight(unit) > 0 {
                sleep(CLOSE_POLL_INTERVAL).await;
            }
        };
        let mut empty = std::pin::pin!(empty);
        let idle_timeout = handover_max.saturating_sub(RECORDS_TRANSFER_TIME);
        if timeout(idle_timeout, &mut empty).await.is_err() {
            log::warn!(target: "gate", "{unit:?} is closed with requests in flight; they are cancelled.");
            table.stop(unit);
            empty.await;
            table.clear_stop(unit);
        }
    }

    fn export(&self, unit: RecordUnit) -> Option<bytes::Bytes> {
        let bound = self.bound.load_full()?;
        let now: Timestamp = self.clock.now();
        self.records.get()?.export(now, unit, |it| bound.document.slot_count.slot_of(it))
    }

    async fn hand_over_records(
        &self,
        unit: RecordUnit,
        token: Token,
        to: Option<Instance>,
        records: bytes::Bytes,
    ) {
        let (Some(to), Some(links), Some(bound)) = (to, self.links.get(), self.bound.load_full())
        else {
            return;
        };
        let service = bound.service.clone();
        let unit = match unit {
            RecordUnit::Slot(slot) => Unit::Slot(slot),
            RecordUnit::Key(key_hash) => Unit::Key(key_hash),
        };
        let handover = Handover { service, unit, token, records };
        for _ in 0..RECORDS_TRANSFER_ATTEMPTS {
            if links.hand_over(&to, &handover).await {
                return;
            }
        }
        log::warn!(target: "gate", "{to} did not take the records of {unit:?}: resends will end unknown.");
    }

    /// Takes over records that another gate hands over.
    pub(super) fn take_records(&self, from: &Instance, handover: Handover) -> bool {
        let (Some(records), Some(bound)) = (self.records.get(), self.bound.load_full()) else {
            return false;
        };
        if bound.service != handover.service {
            return false;
        }
        let unit = match handover.unit {
            Unit::Slots { first, last } => {
                let text = String::from_utf8_lossy(&handover.records).as_ref().into();
                self.leases.store_handover_token(self.clock.now(), (first, last), text);
                return true;
            }
            Unit::Slot(slot) => RecordUnit::Slot(slot),
            Unit::Key(key_hash) => RecordUnit::Key(key_hash),
        };
        match records.import(self.clock.now(), unit, &handover.records) {
            Ok(()) => true,
            Err(error) => {
                log::warn!(target: "gate", "Records of {unit:?} from {from} are malformed: {error}.");
                false
            }
        }
    }
}
