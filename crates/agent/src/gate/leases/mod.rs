//! Keeps the leases of an upstream that enforces them itself in line with what control admits.
//!
//! Invariants: no grant outlasts the agent's own lease; a request is given to the upstream only under
//! a grant that it has acknowledged; a slot is reported closed only when the upstream has released it
//! and works on it no more, or when its grant has run out.

mod exchange;
mod answers;
mod slot_leases;
mod reconcile;

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
    /// Something is to be done.
    wakeup: Notify,
    /// Changes when a slot becomes usable.
    usable_changes: watch::Sender<()>,
    /// Changes when there may be something new to tell an upstream whose announcement is unanswered.
    pending_changes: watch::Sender<()>,
    /// The number of the last announcement that was taken in.
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

    /// False: the upstream has not been granted the slot under this token.
    pub(super) fn close(
        &self,
        now: Timestamp,
        slot: Slot,
        token: Token,
        successor: Option<Instance>,
    ) -> bool {
        let closing = self.lock().close(now, slot, token, successor);
        self.wake();
        closing
    }

    /// What earlier sessions or lives of this agent granted the upstream is to be given up, before
    /// anything is granted.
    pub(super) fn clear(&self, token: Token) {
        self.lock().clear(token);
        self.wake();
    }

    pub(super) fn drop_all(&self) {
        self.lock().drop_all();
        self.wake();
    }

    /// Whoever waits for a slot looks again once the upstream has read the answer that grants it.
    fn notify_usable_when_read(self: &Arc<Leases>) {
        let leases = Arc::clone(self);
        tokio::spawn(async move {
            sleep(ANSWER_READ_DELAY).await;
            leases.usable_changes.send_replace(());
        });
    }

    /// Something is to be done, or to be told.
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
    pub(super) async fn wait_usable(
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
