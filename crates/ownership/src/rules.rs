//! Rules that the tests can break on purpose, to show that their checks would see it.
//!
//! Outside of the crate's own tests every rule always holds, and the question costs nothing.

/// A rule on which the safety of the protocol rests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rule {
    /// A new coordinator waits until the leases of earlier terms have ended.
    WaitForLeases,
    /// A term that had not settled may have left earlier ones at work.
    AccountForUnsettledTerms,
    /// An update without an answer may have taken effect.
    AssumeUnansweredUpdateApplied,
    /// What lapsed is granted anew only on proof, asked for later, that there is no later term.
    ProveTermAfterLapse,
    /// A member counts its lease from when it sent the renewal.
    LeaseFromSendTime,
    /// A member follows no earlier term than the highest it has heard of.
    RefuseEarlierTerms,
    /// A coordinator's own lease is shortened before witnesses confirm it.
    CapCoordinatorLease,
    /// A successor waits for a lost coordinator's own lease where that outlasts its confirmation.
    WaitForCoordinatorLease,
    /// A later life of a witness counts only once it has read the platform.
    ReadObjectBeforeWitnessing,
    /// A coordinator renews only while it is confirmed.
    RenewOnlyWhileConfirmed,
    /// Earlier lives of an agent count as ended only once the upstream beside it has been cleared.
    ClearEarlierIncarnations,
    /// What an upstream was cleared of goes to others only when the earlier leases have run out.
    WaitForEarlierRequests,
    /// The new owner is granted a slot when the old one has closed it.
    WaitForClose,
    /// An upstream has given a slot up only when its runs have ended.
    #[cfg(any(test, feature = "sim"))]
    WaitForRequestsInFlight,
}

#[cfg(test)]
thread_local! {
    static BROKEN: std::cell::Cell<Option<Rule>> = const { std::cell::Cell::new(None) };
}

/// Breaks one rule, or none, in this thread.
#[cfg(test)]
pub(crate) fn disable_rule(rule: Option<Rule>) {
    BROKEN.set(rule);
}

#[cfg(test)]
pub(crate) fn is_enforced(rule: Rule) -> bool {
    BROKEN.get() != Some(rule)
}

#[cfg(not(test))]
pub(crate) const fn is_enforced(_rule: Rule) -> bool {
    true
}
