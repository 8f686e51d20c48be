//! How well this agent knows the members of its service.
//!
//! In a service that is not sharded by key, each non-idempotent request has a designated member, which keeps the record
//! of it. A member may run a resend that it has no record of only if it can rule out that another one was designated
//! when the request was first sent. Each member runs such requests only while it holds a lease, and each extension of
//! the lease brings the changes of the list. So a list that has not changed since one lease before the first sending,
//! and that was confirmed after the resend arrived, was the list of all members in between.

use std::time::Duration;

use model::{Term, Timestamp};
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

/// Lease with which the coordinator has last confirmed the published list of members. Control writes it after it has
/// published the list, and the gate reads it.
#[derive(Debug)]
pub(crate) struct MembershipLease {
    confirmed: watch::Sender<Confirmed>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Confirmed {
    term: Term,
    lease_until: Timestamp,
    /// Start of the uninterrupted lease in this term. Changes of the list before are unknown.
    since: Timestamp,
}

impl Default for MembershipLease {
    fn default() -> MembershipLease {
        MembershipLease { confirmed: watch::Sender::new(Confirmed::default()) }
    }
}

impl MembershipLease {
    /// Records that the published list includes all changes that came with a lease until `lease_until` in this term.
    pub(crate) fn confirm(&self, now: Timestamp, term: Term, lease_until: Timestamp) {
        self.confirmed.send_if_modified(|it| {
            let is_modified = (it.term, it.lease_until) != (term, lease_until);
            let is_interrupted = it.term != term || it.lease_until <= now;
            if is_modified && is_interrupted {
                it.since = now;
            }
            (it.term, it.lease_until) = (term, lease_until);
            is_modified
        });
    }

    /// Returns whether the published list was confirmed in this term with a lease until this time.
    pub(crate) fn is_confirmed(&self, term: Term, lease_until: Timestamp) -> bool {
        let confirmed = self.confirmed.borrow();
        (confirmed.term, confirmed.lease_until) == (term, lease_until)
    }

    /// Returns the start of the uninterrupted lease in the current term.
    pub(crate) fn since(&self) -> Timestamp {
        self.confirmed.borrow().since
    }

    /// Waits until the list has been confirmed by an extension of the lease that was requested at `requested_at` or
    /// later. Returns whether it was, before `deadline`.
    pub(crate) async fn wait_until_confirmed(
        &self,
        requested_at: Timestamp,
        lease: Duration,
        deadline: Instant,
    ) -> bool {
        // A lease begins when the member sends its renewal.
        let is_confirmed = |it: &Confirmed| it.lease_until >= requested_at + lease;
        let mut confirmed = self.confirmed.subscribe();
        matches!(timeout_at(deadline, confirmed.wait_for(is_confirmed)).await, Ok(Ok(_)))
    }
}
