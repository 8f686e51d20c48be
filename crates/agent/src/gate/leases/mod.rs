//! Keeps the leases of an upstream that enforces them itself in line with what control admits.
//!
//! Invariants: no grant outlasts the agent's own lease; a request is given to the upstream only under
//! a grant that it has acknowledged; a slot is reported closed only when the upstream has released it
//! and works on it no more, or when its grant has run out.

mod announced;
mod answers;
mod book;
mod keeper;

#[cfg(test)]
mod tests;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use model::{Instance, Slot, Timestamp, Token};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, timeout_at},
};
use upstream::HandoverToken;

use self::{announced::TAKEN_AFTER, book::LeaseBook};

pub(super) use self::{
    book::{Life, SLOW_CLOCK},
    keeper::run,
};

/// The leases of the upstream beside this agent.
#[derive(Debug)]
pub(super) struct Leases {
    book: Mutex<LeaseBook>,
    /// Something is to be done.
    due: Notify,
    /// Changes when a slot becomes usable.
    usable: watch::Sender<()>,
    /// Changes when there may be something new to tell an upstream whose announcement is unanswered.
    news: watch::Sender<()>,
    /// The number of the last announcement that was taken in.
    newest: watch::Sender<u64>,
}

impl Default for Leases {
    fn default() -> Leases {
        Leases {
            book: Mutex::default(),
            due: Notify::new(),
            usable: watch::channel(()).0,
            news: watch::channel(()).0,
            newest: watch::channel(0).0,
        }
    }
}

impl Leases {
    fn book(&self) -> MutexGuard<'_, LeaseBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn admit(&self, now: Timestamp, slot: Slot, token: Token) {
        self.book().admit(now, slot, token);
        self.wake();
    }

    /// False: the upstream has not been granted the slot under this token.
    pub(super) fn close(
        &self,
        now: Timestamp,
        slot: Slot,
        token: Token,
        to: Option<Instance>,
    ) -> bool {
        let closing = self.book().close(now, slot, token, to);
        self.wake();
        closing
    }

    /// What earlier sessions or lives of this agent granted the upstream is to be given up, before
    /// anything is granted.
    pub(super) fn clear(&self, token: Token) {
        self.book().clear(token);
        self.wake();
    }

    pub(super) fn drop_all(&self) {
        self.book().drop_all();
        self.wake();
    }

    /// Whoever waits for a slot looks again once the upstream has read the answer that grants it.
    fn wake_when_taken(self: &Arc<Leases>) {
        let leases = Arc::clone(self);
        tokio::spawn(async move {
            sleep(TAKEN_AFTER).await;
            leases.usable.send_replace(());
        });
    }

    /// Something is to be done, or to be told.
    fn wake(&self) {
        self.due.notify_one();
        self.news.send_replace(());
    }

    pub(super) fn take_handover(
        &self,
        now: Timestamp,
        (first, last): (Slot, Slot),
        text: HandoverToken,
    ) {
        self.book().take_handover(now, first, last, text);
    }

    pub(super) fn is_usable(&self, now: Timestamp, slot: Slot) -> bool {
        self.book().is_usable(now, slot)
    }

    /// Waits until a slot is usable, at most until `until`. `now` reads the clock.
    pub(super) async fn wait_usable(
        self: &Arc<Leases>,
        slot: Slot,
        until: Instant,
        now: impl Fn() -> Timestamp,
    ) -> bool {
        let mut changes = self.usable.subscribe();
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
