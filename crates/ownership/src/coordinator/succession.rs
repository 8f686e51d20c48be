//! Tracks when a new coordinator may grant the slots and keys that earlier terms have granted.
//!
//! Before that, an earlier coordinator may still renew leases and grant slots, and leases that it
//! gave may still be valid.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{Instance, Timestamp};

use crate::{
    Confirmation, Coordinator, CoordinatorLease, TermTimes,
    ctx::{MemberId, is_same_agent, is_same_incarnation},
    rules::{self, Rule},
};

use super::TermConfirmation;

/// The state of earlier terms: which of their grants may still be in force, and until when.
#[derive(Debug)]
pub(crate) struct Succession {
    acquired_at: Timestamp,
    /// The previous term, or `None` if the platform had no coordinator object before this one.
    predecessor: Option<Predecessor>,
    /// Members that have reported their holdings to this term, or whose upstreams have been
    /// cleared.
    accounted_for: BTreeSet<MemberId>,
    /// Members that have closed or still hold every grant of the last lease period, so that no
    /// request of an ended grant can be running at their upstreams.
    free_of_runs: BTreeSet<MemberId>,
    /// For members with cleared upstreams: when the last request admitted under an earlier grant
    /// ends.
    runs_end: BTreeMap<MemberId, Timestamp>,
    settled: bool,
    /// Whether all leases that earlier terms gave have ended.
    is_past_earlier_leases: bool,
    /// How long the previous coordinator may have held the slots that it granted to itself.
    coordinator_lease: CoordinatorLease,
    /// When a later incarnation of the agent that held the previous term was first seen.
    replaced_at: Option<Timestamp>,
}

/// The previous term, as the coordinator object showed it when this term replaced it.
#[derive(Debug)]
struct Predecessor {
    /// The previous coordinator, or `None` if it released its term, which it does only after its
    /// last renewal.
    holder: Option<Instance>,
    settled: bool,
    confirmation: Confirmation,
    times: TermTimes,
    lost_history: LostHistory,
}

/// Whether later terms than the previous one may have existed whose records the platform has lost. Their holders and
/// grants are unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LostHistory {
    None,
    /// Only the platform and the witnesses of the previous term can confirm them.
    KnownWitnesses,
    /// Their witnesses are unknown, too.
    Unknown,
}

impl LostHistory {
    /// Returns what a coordinator object says of the terms before it.
    pub(crate) fn of(object: &Coordinator) -> LostHistory {
        match object {
            it if !it.history_lost => LostHistory::None,
            it if it.lost_has_known_witnesses => LostHistory::KnownWitnesses,
            _ => LostHistory::Unknown,
        }
    }
}

impl Predecessor {
    fn is_history_lost(&self) -> bool {
        self.lost_history != LostHistory::None
    }
}

impl Succession {
    pub(crate) fn new(
        now: Timestamp,
        previous: Option<&Coordinator>,
        lost_history: LostHistory,
        coordinator_lease: CoordinatorLease,
    ) -> Succession {
        let predecessor = previous.map(|it| Predecessor {
            holder: it.holder.clone(),
            settled: it.settled,
            confirmation: it.confirmation,
            times: it.times,
            lost_history,
        });
        let settled = predecessor.is_none();
        Succession {
            acquired_at: now,
            predecessor,
            accounted_for: BTreeSet::new(),
            free_of_runs: BTreeSet::new(),
            runs_end: BTreeMap::new(),
            settled,
            is_past_earlier_leases: settled,
            coordinator_lease,
            replaced_at: None,
        }
    }

    /// Records that the platform has lost records of earlier terms.
    pub(crate) fn set_history_lost(&mut self) {
        if let Some(predecessor) = self.predecessor.as_mut().filter(|it| !it.is_history_lost()) {
            predecessor.lost_history = LostHistory::Unknown;
        }
    }

    /// Returns whether an unrecorded coordinator may still renew and grant. Meanwhile this one must
    /// not renew any lease, because the other may have granted the same slots to another member.
    pub(crate) fn may_be_contested(&self, now: Timestamp, confirmation: &TermConfirmation) -> bool {
        let previous = self.predecessor.as_ref().filter(|it| it.is_history_lost());
        previous.is_some_and(|it| now < self.unrecorded_end(confirmation, it, Duration::ZERO))
    }

    /// Returns when unrecorded terms have certainly been without confirmation for the given time.
    fn unrecorded_end(
        &self,
        confirmation: &TermConfirmation,
        previous: &Predecessor,
        unconfirmed_for: Duration,
    ) -> Timestamp {
        let times = previous.times;
        let by_platform = times.platform_confirmation() + unconfirmed_for;
        let by_witnesses = times.confirmation() + unconfirmed_for;
        let after_platform = self.acquired_at + times.with_drift_margin(by_platform);
        match previous.lost_history {
            LostHistory::None => self.acquired_at,
            LostHistory::KnownWitnesses => self
                .after_confirmation_end(confirmation, previous, by_witnesses, by_platform)
                .map_or(after_platform, |it| it.max(after_platform)),
            LostHistory::Unknown => {
                let absence = times.platform_absence_max() + by_witnesses.max(by_platform);
                self.acquired_at + times.with_drift_margin(absence)
            }
        }
    }

    /// Returns whether the platform has lost records of earlier terms.
    fn is_history_lost(&self) -> bool {
        self.predecessor.as_ref().is_some_and(Predecessor::is_history_lost)
    }

    /// Returns which lost terms may still be active.
    pub(crate) fn lost_history(&self) -> LostHistory {
        let previous = self.predecessor.as_ref().filter(|_| !self.settled);
        previous.map_or(LostHistory::None, |it| it.lost_history)
    }

    /// Returns whether all earlier terms that may still be active are recorded, or can be confirmed only by the platform
    /// and the witnesses of the previous term.
    pub(crate) fn has_known_witnesses(&self) -> bool {
        self.lost_history() != LostHistory::Unknown
    }

    /// Records that an agent follows or holds this term. If it is a later incarnation of the
    /// previous coordinator, that coordinator has ended and can no longer renew leases.
    pub(crate) fn record_follower(&mut self, now: Timestamp, agent: &Instance) {
        let previous = self.predecessor.as_ref().filter(|it| it.settled && !it.is_history_lost());
        let Some(holder) = previous.and_then(|it| it.holder.as_ref()) else { return };
        if is_same_agent(holder, agent) && !is_same_incarnation(holder, agent) {
            self.replaced_at.get_or_insert(now);
        }
    }

    /// Returns whether all leases of earlier terms have ended. Before that, an earlier coordinator
    /// may have seen a session lapse that this term adopted, and may have granted its slots to
    /// other members.
    pub(crate) fn is_past_earlier_leases(&self) -> bool {
        self.is_past_earlier_leases
    }

    /// Returns whether no earlier term can renew or grant any longer, and each of its leases has
    /// ended or been adopted.
    pub(crate) fn is_settled(&self) -> bool {
        self.settled
    }

    /// Settles this term once the earlier leases have ended, or once all `planned` members are
    /// accounted for. Returns whether it settled in this call. `planned` is `None` until the first
    /// plan of this term is acknowledged.
    pub(crate) fn settle(
        &mut self,
        now: Timestamp,
        confirmation: &TermConfirmation,
        planned: Option<&[Instance]>,
    ) -> bool {
        if self.is_past_earlier_leases {
            return false;
        }
        let have_leases_ended = self.earlier_leases_end(confirmation).is_some_and(|it| now >= it);
        self.is_past_earlier_leases = have_leases_ended || !rules::is_enforced(Rule::WaitForLeases);
        if self.settled {
            return false;
        }
        let has_no_other_holder = planned.filter(|_| !self.is_history_lost()).is_some_and(|it| {
            let ids: Vec<MemberId> = it.iter().map(MemberId::from).collect();
            self.has_no_holder_among(now, confirmation, &ids)
        });
        self.settled = self.is_past_earlier_leases || has_no_other_holder;
        self.settled
    }

    /// Records that the upstream beside a member, or beside a later incarnation of it, has been
    /// cleared. Nothing was granted there between `joined_at`, when the current session began, and
    /// the clearing, so all earlier grants end at most one lease after `joined_at`.
    pub(crate) fn record_cleared(
        &mut self,
        member: MemberId,
        joined_at: Timestamp,
        times: TermTimes,
    ) {
        let is_history_known =
            self.predecessor.as_ref().is_none_or(|it| it.settled && !it.is_history_lost());
        if is_history_known {
            let earlier = self.predecessor.as_ref().map(|it| it.times);
            let ends =
                earlier.into_iter().chain([times]).map(|it| it.with_drift_margin(it.lease()));
            let end = joined_at + ends.max().unwrap_or_default();
            self.runs_end.insert(member.clone(), end);
        }
        self.accounted_for.insert(member);
    }

    /// Returns when the last request ends that was admitted under an earlier term's grant to this
    /// incarnation, or `None` if that is known only once all leases of earlier terms have ended.
    pub(crate) fn runs_end(&self, instance: &Instance) -> Option<Timestamp> {
        self.runs_end.get(&MemberId::from(instance)).copied()
    }

    /// Records that a member has reported its holdings, and that none of its sessions ended within
    /// the last lease.
    pub(crate) fn record_reported(&mut self, member: MemberId) {
        self.free_of_runs.insert(member.clone());
        self.accounted_for.insert(member);
    }

    /// Returns whether no request of an ended grant can be running at the upstream beside this
    /// incarnation.
    pub(crate) fn is_free_of_runs(&self, member: &MemberId) -> bool {
        self.free_of_runs.contains(member)
    }

    /// Returns whether the member has reported its holdings to this term, or its upstream has been
    /// cleared.
    pub(crate) fn is_accounted_for(&self, member: &MemberId) -> bool {
        self.accounted_for.contains(member)
    }

    /// Returns whether none of the candidates for a slot or key can still hold it by a grant of an
    /// earlier term that this term has not adopted. They must be the candidates of a plan that this
    /// term has written itself.
    pub(crate) fn has_no_holder_among<'a>(
        &self,
        now: Timestamp,
        confirmation: &TermConfirmation,
        candidates: impl IntoIterator<Item = &'a MemberId>,
    ) -> bool {
        if self.settled {
            return true;
        }
        let Some(previous) = self.predecessor.as_ref().filter(|it| !it.is_history_lost()) else {
            return self.predecessor.is_none();
        };
        // If the previous term had not settled, even earlier ones may still be active. Its holder
        // may hold slots of those terms, which can stay valid for longer than its own confirmation.
        let is_holder_bounded =
            previous.settled || !rules::is_enforced(Rule::AccountForUnsettledTerms);
        candidates.into_iter().all(|it| {
            let was_holder = is_holder_bounded
                && previous.holder.as_ref().is_some_and(|holder| MemberId::from(holder) == *it);
            self.accounted_for.contains(it)
                || (was_holder && self.is_holder_expired(now, confirmation))
        })
    }

    /// Returns whether the slots that the previous coordinator granted to itself have ended: with
    /// its confirmation, or one lease later, as `coordinator_lease` says.
    fn is_holder_expired(&self, now: Timestamp, confirmation: &TermConfirmation) -> bool {
        let Some(previous) = &self.predecessor else { return true };
        let times = previous.times;
        let lease = match self.coordinator_lease {
            CoordinatorLease::Confirmation => Duration::ZERO,
            CoordinatorLease::Full if rules::is_enforced(Rule::WaitForCoordinatorLease) => {
                times.lease()
            }
            CoordinatorLease::Full => Duration::ZERO,
        };
        let by_witnesses = times.confirmation() + lease;
        let by_platform = times.platform_confirmation() + lease;
        self.after_confirmation_end(confirmation, previous, by_witnesses, by_platform)
            .is_some_and(|it| now >= it)
    }

    /// Returns when the last lease of any earlier term ends.
    fn earlier_leases_end(&self, confirmation: &TermConfirmation) -> Option<Timestamp> {
        let Some(previous) = &self.predecessor else { return Some(self.acquired_at) };
        let times = previous.times;
        let lease = times.lease();
        if previous.is_history_lost() {
            return Some(self.unrecorded_end(confirmation, previous, lease));
        }
        let earlier_ended = previous.settled || !rules::is_enforced(Rule::AccountForUnsettledTerms);
        if previous.holder.is_none() && earlier_ended {
            return Some(self.acquired_at + times.with_drift_margin(lease));
        }
        let by_witnesses = times.confirmation() + lease;
        let by_platform = times.platform_confirmation() + lease;
        let by_confirmation =
            self.after_confirmation_end(confirmation, previous, by_witnesses, by_platform);
        let by_replacement = self.replaced_at.map(|it| it + times.with_drift_margin(lease));
        by_confirmation.into_iter().chain(by_replacement).min()
    }

    /// Returns when earlier terms have certainly been without confirmation for the given time:
    /// `by_witnesses` counts from the promise of a majority of witnesses, `by_platform` from the
    /// acquisition of this term.
    fn after_confirmation_end(
        &self,
        confirmation: &TermConfirmation,
        previous: &Predecessor,
        by_witnesses: Duration,
        by_platform: Duration,
    ) -> Option<Timestamp> {
        let times = previous.times;
        match (previous.confirmation, confirmation.promised_at()) {
            (Confirmation::Platform, _) => {
                Some(self.acquired_at + times.with_drift_margin(by_platform))
            }
            (Confirmation::Witnesses, Some(at)) => Some(at + times.with_drift_margin(by_witnesses)),
            // Without a majority, the earlier coordinator stops renewing only when it has not
            // reached the platform for the longest absence allowed.
            (Confirmation::Witnesses, None) => {
                let absence = times.platform_absence_max() + by_witnesses;
                Some(self.acquired_at + times.with_drift_margin(absence))
            }
        }
    }
}
