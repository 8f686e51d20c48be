//! Safety rules that tests can disable, to show that their checks detect the violation.
//!
//! Outside of the crate's own tests every rule is always enforced, and the check is a compile-time constant.

/// Rule on which the safety of the protocol depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rule {
    /// A new coordinator grants nothing until the leases of earlier terms have ended.
    WaitForLeases,
    /// If the previous term had not settled, terms before it may still be active.
    AccountForUnsettledTerms,
    /// An update whose reply was lost may have taken effect.
    AssumeUnansweredUpdateApplied,
    /// A lapsed grant is reissued only after a confirmation, requested after the lapse, that no later term exists.
    ProveTermAfterLapse,
    /// After a pause, the coordinator of a group without keys renews sessions only once it has read that its term holds.
    ProveTermAfterPause,
    /// A member's lease starts when the member sent the renewal, not when the reply arrived.
    LeaseFromSendTime,
    /// A member follows no term lower than the highest that it has seen.
    RefuseEarlierTerms,
    /// A coordinator's lease on its own slots is shortened before it switches to confirmation by witnesses.
    CapCoordinatorLease,
    /// A new coordinator waits for the lost coordinator's lease on its own slots if that outlasts its confirmation.
    WaitForCoordinatorLease,
    /// A restarted witness counts only once it has read the coordinator object from the platform.
    ReadObjectBeforeWitnessing,
    /// A coordinator renews leases only while its term is confirmed.
    RenewOnlyWhileConfirmed,
    /// Earlier incarnations of an agent count as ended only once the upstream beside it has been cleared.
    ClearEarlierIncarnations,
    /// Slots that an upstream was cleared of are granted to other members only after the earlier leases have ended.
    WaitForEarlierRequests,
    /// A slot is granted to its new owner only after the old owner has closed it.
    WaitForClose,
    /// An upstream has released a slot only once its requests in flight have ended.
    #[cfg(any(test, feature = "sim"))]
    WaitForRequestsInFlight,
}

#[cfg(test)]
thread_local! {
    static DISABLED: std::cell::Cell<Option<Rule>> = const { std::cell::Cell::new(None) };
}

/// Disables one rule in this thread; `None` enforces all rules again.
#[cfg(test)]
pub(crate) fn disable_rule(rule: Option<Rule>) {
    DISABLED.set(rule);
}

#[cfg(test)]
pub(crate) fn is_enforced(rule: Rule) -> bool {
    DISABLED.get() != Some(rule)
}

#[cfg(not(test))]
pub(crate) const fn is_enforced(_rule: Rule) -> bool {
    true
}
