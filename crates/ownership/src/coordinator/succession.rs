//! What a new coordinator must wait for before earlier terms can do no more harm.

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

/// The earlier terms, as the object showed them when this term replaced them.
#[derive(Debug)]
pub(crate) struct Succession {
    acquired_at: Timestamp,
    /// None: there was no object.
    predecessor: Option<Predecessor>,
    /// Members that have said, following this term, what they hold.
    accounted_for: BTreeSet<MemberId>,
    /// Those of them that have closed, or still hold, all that they were granted within a lease.
    free_of_runs: BTreeSet<MemberId>,
    /// When runs end that were begun for those of them whose upstreams have been cleared.
    runs_end: BTreeMap<MemberId, Timestamp>,
    settled: bool,
    /// The time of all leases that earlier terms gave has passed.
    past_earlier_leases: bool,
    /// How long the earlier coordinator may have held its own.
    coordinator_lease: CoordinatorLease,
    /// A later life of the agent that held the earlier term was there at this time.
    replaced_at: Option<Timestamp>,
}

#[derive(Debug)]
struct Predecessor {
    /// None: it has given its term up, after it had stopped renewing.
    holder: Option<Instance>,
    settled: bool,
    confirmation: Confirmation,
    times: TermTimes,
    /// Later terms than this one may have been lost with the platform's latest: who held what under them, and who
    /// confirmed them, is not known.
    history_lost: bool,
}

impl Predecessor {
    /// How long after this term was taken a coordinator may be at work that is not known.
    fn unrecorded_max(&self) -> Duration {
        let times = self.times;
        let confirmation = times.confirmation().max(times.platform_confirmation());
        times.platform_absence_max() + confirmation
    }
}

impl Succession {
    pub(crate) fn new(
        now: Timestamp,
        former: Option<&Coordinator>,
        coordinator_lease: CoordinatorLease,
    ) -> Succession {
        let predecessor = former.map(|it| Predecessor {
            holder: it.holder.clone(),
            settled: it.settled,
            confirmation: it.confirmation,
            times: it.times,
            history_lost: it.history_lost,
        });
        let settled = predecessor.is_none();
        Succession {
            acquired_at: now,
            predecessor,
            accounted_for: BTreeSet::new(),
            free_of_runs: BTreeSet::new(),
            runs_end: BTreeMap::new(),
            settled,
            past_earlier_leases: settled,
            coordinator_lease,
            replaced_at: None,
        }
    }

    /// What the platform shows of earlier terms is not all that there was.
    pub(crate) fn set_history_lost(&mut self) {
        if let Some(predecessor) = &mut self.predecessor {
            predecessor.history_lost = true;
        }
    }

    /// Whether a coordinator that is not known may still renew and grant: until then this one renews nothing, for what
    /// a member goes on with the other may have granted anew.
    pub(crate) fn may_be_contested(&self, now: Timestamp) -> bool {
        let former = self.predecessor.as_ref().filter(|it| it.history_lost);
        former.is_some_and(|it| {
            now < self.acquired_at + it.times.with_drift_margin(it.unrecorded_max())
        })
    }

    fn history_lost(&self) -> bool {
        self.predecessor.as_ref().is_some_and(|it| it.history_lost)
    }

    /// An agent follows this term, or holds it. Where it is a later life of the one that held the term before,
    /// that one renews nothing any more.
    pub(crate) fn record_follower(&mut self, now: Timestamp, agent: &Instance) {
        let former = self.predecessor.as_ref().filter(|it| it.settled && !it.history_lost);
        let Some(holder) = former.and_then(|it| it.holder.as_ref()) else { return };
        if is_same_agent(holder, agent) && !is_same_incarnation(holder, agent) {
            self.replaced_at.get_or_insert(now);
        }
    }

    /// All leases that earlier terms gave have run out. Before that an earlier coordinator may have seen a
    /// session lapse that was adopted here, and granted to others what it held.
    pub(crate) fn is_past_earlier_leases(&self) -> bool {
        self.past_earlier_leases
    }

    /// No earlier term can renew or grant any more, and its leases have ended or been adopted.
    pub(crate) fn is_settled(&self) -> bool {
        self.settled
    }

    /// Settles when the time has come, or when all that the plan of this term names have said what they
    /// hold; says whether that was now. `planned`: none before that plan is acknowledged.
    pub(crate) fn settle(
        &mut self,
        now: Timestamp,
        confirmation: &TermConfirmation,
        planned: Option<&[Instance]>,
    ) -> bool {
        if self.past_earlier_leases {
            return false;
        }
        let over = self.leases_end(confirmation).is_some_and(|it| now >= it);
        self.past_earlier_leases = over || !rules::is_enforced(Rule::WaitForLeases);
        if self.settled {
            return false;
        }
        let all_clear = planned.filter(|_| !self.history_lost()).is_some_and(|it| {
            let ids: Vec<MemberId> = it.iter().map(MemberId::from).collect();
            self.has_no_holder_among(now, confirmation, &ids)
        });
        self.settled = self.past_earlier_leases || all_clear;
        self.settled
    }

    /// The upstream beside a member, or beside the later life of one, has been cleared. Nothing was granted there
    /// from the start of the session that joined at `joined_at` until then, so no earlier hold is left a lease after.
    pub(crate) fn record_cleared(
        &mut self,
        member: MemberId,
        joined_at: Timestamp,
        times: TermTimes,
    ) {
        let knows_times = self.predecessor.as_ref().is_none_or(|it| it.settled && !it.history_lost);
        if knows_times {
            let earlier = self.predecessor.as_ref().map(|it| it.times);
            let ends =
                earlier.into_iter().chain([times]).map(|it| it.with_drift_margin(it.lease()));
            let end = joined_at + ends.max().unwrap_or_default();
            self.runs_end.insert(member.clone(), end);
        }
        self.accounted_for.insert(member);
    }

    /// When runs end that an earlier term's grant to this life began. None: when the leases of earlier terms have
    /// run out.
    pub(crate) fn runs_end(&self, life: &Instance) -> Option<Timestamp> {
        self.runs_end.get(&MemberId::from(life)).copied()
    }

    /// A member has said what it holds, and no session of its life has ended of late.
    pub(crate) fn record_reported(&mut self, member: MemberId) {
        self.free_of_runs.insert(member.clone());
        self.accounted_for.insert(member);
    }

    /// Whether no run of a grant that has ended can go on at the upstream beside this life of a member.
    pub(crate) fn is_free_of_runs(&self, member: &MemberId) -> bool {
        self.free_of_runs.contains(member)
    }

    pub(crate) fn is_accounted_for(&self, member: &MemberId) -> bool {
        self.accounted_for.contains(member)
    }

    /// Whether none of those that an earlier plan names for something can hold it any more.
    /// The plan must be one that this term has written itself.
    pub(crate) fn has_no_holder_among<'a>(
        &self,
        now: Timestamp,
        confirmation: &TermConfirmation,
        named: impl IntoIterator<Item = &'a MemberId>,
    ) -> bool {
        if self.settled {
            return true;
        }
        let Some(former) = self.predecessor.as_ref().filter(|it| !it.history_lost) else {
            return self.predecessor.is_none();
        };
        // A term that had not settled may have left even earlier ones at work: what its holder has may be
        // from those, and lasts longer than its own confirmation tells.
        let knows_holder = former.settled || !rules::is_enforced(Rule::AccountForUnsettledTerms);
        named.into_iter().all(|it| {
            let was_holder = knows_holder
                && former.holder.as_ref().is_some_and(|holder| MemberId::from(holder) == *it);
            self.accounted_for.contains(it)
                || (was_holder && self.is_holder_expired(now, confirmation))
        })
    }

    /// The lost coordinator held its own slots only while it was confirmed, or for a lease more.
    fn is_holder_expired(&self, now: Timestamp, confirmation: &TermConfirmation) -> bool {
        let Some(former) = &self.predecessor else { return true };
        let times = former.times;
        let lease = match self.coordinator_lease {
            CoordinatorLease::Confirmation => Duration::ZERO,
            CoordinatorLease::Full if rules::is_enforced(Rule::WaitForCoordinatorLease) => {
                times.lease()
            }
            CoordinatorLease::Full => Duration::ZERO,
        };
        let by_witnesses = times.confirmation() + lease;
        let by_platform = times.platform_confirmation() + lease;
        self.after_confirmation_end(confirmation, former, by_witnesses, by_platform)
            .is_some_and(|it| now >= it)
    }

    /// When the last lease of any earlier term has ended.
    fn leases_end(&self, confirmation: &TermConfirmation) -> Option<Timestamp> {
        let Some(former) = &self.predecessor else { return Some(self.acquired_at) };
        let times = former.times;
        let lease = times.lease();
        if former.history_lost {
            return Some(self.acquired_at + times.with_drift_margin(former.unrecorded_max() + lease));
        }
        let earlier_ended = former.settled || !rules::is_enforced(Rule::AccountForUnsettledTerms);
        if former.holder.is_none() && earlier_ended {
            return Some(self.acquired_at + times.with_drift_margin(lease));
        }
        let by_witnesses = times.confirmation() + lease;
        let by_platform = times.platform_confirmation() + lease;
        let after_confirmation_end =
            self.after_confirmation_end(confirmation, former, by_witnesses, by_platform);
        let replaced = self.replaced_at.map(|it| it + times.with_drift_margin(lease));
        after_confirmation_end.into_iter().chain(replaced).min()
    }

    /// When `duration` has passed since earlier terms lost their confirmation.
    fn after_confirmation_end(
        &self,
        confirmation: &TermConfirmation,
        former: &Predecessor,
        by_witnesses: Duration,
        by_platform: Duration,
    ) -> Option<Timestamp> {
        let times = former.times;
        match (former.confirmation, confirmation.promised_at()) {
            (Confirmation::Platform, _) => {
                Some(self.acquired_at + times.with_drift_margin(by_platform))
            }
            (Confirmation::Witnesses, Some(at)) => Some(at + times.with_drift_margin(by_witnesses)),
            // No majority: the earlier coordinator ends when it has not reached the platform for
            // the longest time allowed.
            (Confirmation::Witnesses, None) => {
                let absence = times.platform_absence_max() + by_witnesses;
                Some(self.acquired_at + times.with_drift_margin(absence))
            }
        }
    }
}
