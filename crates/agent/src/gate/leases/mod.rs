//! Keeps the leases of an upstream that enforces them itself in line with the slots that control
//! admits.
//!
//! Invariants: no grant outlasts the agent's own lease. A request is sent to the upstream only
//! under a grant that the upstream has acknowledged. A slot is reported closed only once the
//! upstream has released it and runs no requests on it, or once its grant has expired.

mod answers;
mod exchange;
mod reconcile;
mod slot_leases;

#[cfg(test)]
mod tests;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use model::{Instance, Slot, Timestamp, Token};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, timeout_at},
};
use upstream::HandoverToken;

use self::{exchange::ANSWER_READ_DELAY, slot_leases::SlotLeases};

pub(super) use self::{
    reconcile::run,
    slot_leases::{SLOW_CLOCK_FACTOR, UpstreamIncarnation},
};

/// The leases of the upstream beside this agent.
#[derive(Debug)]
pub(super) struct Leases {
    slot_leases: Mutex<SlotLeases>,
    /// Wake-up of the task that reconciles the leases.
    wakeup: Notify,
    /// Notification of slots that have become usable.
    usable_changes: watch::Sender<()>,
    /// Notification of changes that the answer to an open announcement may have to contain.
    pending_changes: watch::Sender<()>,
    /// Sequence number of the last announcement applied.
    latest_sequence: watch::Sender<u64>,
}

impl Default for Leases {
    fn default() -> Leases {
        Leases {
            slot_leases: Mutex::default(),
            wakeup: Notify::new(),
            usable_changes: watch::channel(()).0,
            pending_changes: watch::channel(()).0,
            latest_sequence: watch::channel(0).0,
        }
    }
}

impl Leases {
    fn lock(&self) -> MutexGuard<'_, SlotLeases> {
        self.slot_leases.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn admit(&self, now: Timestamp, slot: Slot, token: Token) {
        self.lock().admit(now, slot, token);
        self.wake();
    }

    /// Starts to close a slot. Returns false if the upstream has not been granted it under this
    /// token.
    pub(super) fn close(
        &self,
        now: Timestamp,
        slot: Slot,
        token: Token,
        successor: Option<Instance>,
    ) -> bool {
        let is_closing = self.lock().close(now, slot, token, successor);
        self.wake();
        is_closing
    }

    /// Has the upstream release the grants of earlier sessions or incarnations of this agent before
    /// anything new is granted.
    pub(super) fn clear(&self, token: Token) {
        self.lock().clear(token);
        self.wake();
    }

    pub(super) fn follow_incarnation(&self, now: Timestamp, incarnation: &UpstreamIncarnation) {
        self.lock().follow_incarnation(now, incarnation);
    }

    pub(super) fn drop_all(&self) {
        self.lock().drop_all();
        self.wake();
    }

    /// Notifies waiting requests once the upstream has had the time to read the answer that grants
    /// their slot.
    fn notify_usable_when_read(self: &Arc<Leases>) {
        let leases = Arc::clone(self);
        tokio::spawn(async move {
            sleep(ANSWER_READ_DELAY).await;
            leases.usable_changes.send_replace(());
        });
    }

    /// Wakes the task that reconciles the leases, and any announcement whose answer is held back.
    fn wake(&self) {
        self.wakeup.notify_one();
        self.pending_changes.send_replace(());
    }

    pub(super) fn store_handover_token(
        &self,
        now: Timestamp,
        (first, last): (Slot, Slot),
        handover: HandoverToken,
    ) {
        self.lock().store_handover_token(now, first, last, handover);
    }

    pub(super) fn is_usable(&self, now: Timestamp, slot: Slot) -> bool {
        self.lock().is_usable(now, slot)
    }

    /// Waits until a slot is usable, at most until `until`. `now` reads the clock.
    pub(super) async fn wait_until_usable(
        self: &Arc<Leases>,
        slot: Slot,
        until: Instant,
        now: impl Fn() -> Timestamp,
    ) -> bool {
        let mut changes = self.usable_changes.subscribe();
        loop {
            if self.is_usable(now(), slot) {
                return true;
            }
            match timeout_at(until, changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return false,
            }
        }
    }
}
