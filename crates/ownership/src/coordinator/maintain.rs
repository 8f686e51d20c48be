//! Keeps the coordinator object up to date: whether the term has settled, its confirmation method,
//! witnesses and times.

use std::{collections::BTreeMap, time::Duration};

use model::{Instance, Zone};

use crate::{
    Confirmation, Coordinator, Event, TermTimes,
    ctx::{Ctx, MemberId, is_same_incarnation},
};

use super::{
    Coordination,
    members::MemberRow,
    slots::{KeyRow, SlotRow},
};

/// The most witnesses of a term.
const WITNESSES_MAX: usize = 5;
/// The fewest witnesses of a term; with fewer candidates the platform confirms it.
const WITNESSES_MIN: usize = 3;
/// The time that a member has to be in the group before it can become a witness.
pub(super) const WITNESS_AGE_MIN: Duration = Duration::from_secs(1);
/// How long a term may be without confirmation by witnesses before the method is changed to the
/// platform.
const MAJORITY_MISSING_MAX: Duration = Duration::from_millis(100);

impl Coordination {
    /// Updates the coordinator object if it differs from what it should be. Only a settled
    /// coordinator does so.
    pub(super) fn maintain(&mut self, ctx: &mut Ctx<'_>) {
        let is_rolled_back = self.rolled_back.is_some();
        if !self.is_settled() || self.object.is_pending() || self.is_releasing || is_rolled_back {
            return;
        }
        let acked = self.object.acked();
        // After a loss of the plan, members that have kept grants of it are not yet named. A successor would take the
        // term for settled and grant these again.
        if acked.history_lost && !self.plan_names_holders() {
            return;
        }
        let mut wanted = Coordinator {
            settled: true,
            history_lost: false,
            lost_has_known_witnesses: false,
            ..acked.clone()
        };
        if ctx.config.keyed {
            self.choose_confirmation(ctx, &mut wanted);
        }
        self.choose_times(ctx, &mut wanted);
        if wanted != *self.object.acked() {
            self.object.update(ctx, wanted);
        }
    }

    /// Returns whether the plan in force names each holder of a slot or key.
    fn plan_names_holders(&self) -> bool {
        let Some(plan) = self.plan.acked() else { return false };
        let planned: Vec<MemberId> = plan.members.iter().map(MemberId::from).collect();
        let has_slot_named =
            |row: &SlotRow| row.holder.grant().is_none_or(|it| row.candidates.contains(&it.member));
        let has_key_named =
            |row: &KeyRow| row.holder.grant().is_none_or(|it| planned.contains(&it.member));
        self.slot_table.slots.iter().all(has_slot_named)
            && self.slot_table.keys.values().all(has_key_named)
    }

    /// Sets the confirmation method and the witnesses in `wanted` as they should be now.
    fn choose_confirmation(&mut self, ctx: &Ctx<'_>, wanted: &mut Coordinator) {
        let candidates = self.witness_candidates(ctx);
        let is_confirmed = self.may_renew(ctx);
        let is_overdue =
            ctx.now.since(self.confirmation.unconfirmed_since()) > MAJORITY_MISSING_MAX;
        let is_reachable = self.confirmation.is_platform_reachable(ctx.now);
        match wanted.confirmation {
            Confirmation::Witnesses if !is_confirmed && is_overdue && is_reachable => {
                wanted.confirmation = Confirmation::Platform;
                wanted.witnesses = Vec::new();
            }
            Confirmation::Witnesses if is_confirmed && is_reachable => {
                let is_lost =
                    |it: &Instance| !candidates.iter().any(|known| is_same_incarnation(known, it));
                let has_too_few =
                    wanted.witnesses.len() < WITNESSES_MAX.min(largest_odd(candidates.len()));
                if candidates.len() < WITNESSES_MIN {
                    wanted.confirmation = Confirmation::Platform;
                    wanted.witnesses = Vec::new();
                } else if has_too_few || wanted.witnesses.iter().any(is_lost) {
                    wanted.witnesses =
                        choose_witnesses(ctx.own_instance(), &candidates, &wanted.witnesses);
                }
            }
            // While witnesses confirm the term, the platform is read only rarely. After the loss of
            // a witness, a read checks whether the platform is reachable, so that the witness can
            // be replaced.
            Confirmation::Witnesses => {
                let is_lost =
                    |it: &Instance| !candidates.iter().any(|known| is_same_incarnation(known, it));
                if wanted.witnesses.iter().any(is_lost) {
                    self.confirmation.schedule_read(ctx.now);
                }
            }
            Confirmation::Platform if is_confirmed && candidates.len() >= WITNESSES_MIN => {
                let witnesses = choose_witnesses(ctx.own_instance(), &candidates, &[]);
                let since = *self.coordinator_lease_capped_since.get_or_insert(ctx.now);
                // The cap has been in force for long enough that the coordinator lease ends as
                // early as a successor expects when witnesses confirm.
                if ctx.now.since(since) > wanted.times.platform_confirmation() {
                    wanted.confirmation = Confirmation::Witnesses;
                    wanted.witnesses = witnesses;
                }
            }
            Confirmation::Platform => self.coordinator_lease_capped_since = None,
        }
    }

    /// Returns the members that can be witnesses.
    fn witness_candidates(&self, ctx: &Ctx<'_>) -> Vec<&Instance> {
        let is_candidate =
            |row: &&MemberRow| !row.leaving && ctx.now.since(row.joined_at) >= WITNESS_AGE_MIN;
        self.members.rows.values().filter(is_candidate).map(|it| &it.instance).collect()
    }

    /// Sets the times in `wanted`. Longer times are written before they are used. Shorter times are
    /// used at once, and written when all leases and confirmations given by the longer ones have
    /// ended.
    fn choose_times(&mut self, ctx: &Ctx<'_>, wanted: &mut Coordinator) {
        let document_times = TermTimes::from(ctx.limits());
        if wanted.times == document_times {
            self.times_differ_since = None;
            return;
        }
        let since = *self.times_differ_since.get_or_insert(ctx.now);
        let current = wanted.times;
        let longest = current.confirmation().max(current.platform_confirmation()) + current.lease();
        if ctx.now.since(since) > current.with_drift_margin(longest) {
            wanted.times = document_times;
        }
    }

    /// Applies an acknowledged update of the coordinator object to the confirmation.
    pub(super) fn apply_confirmation_change(&mut self, ctx: &mut Ctx<'_>) {
        let object = self.object.acked();
        let acked = (object.confirmation, object.witnesses.iter().map(MemberId::from).collect());
        let (method, _) = &acked;
        if *method != self.acked_confirmation.0 {
            self.confirmation.reset(ctx.now);
            self.coordinator_lease_capped_since = None;
        }
        if acked != self.acked_confirmation {
            ctx.emit(Event::ConfirmationChanged {
                confirmation: object.confirmation,
                witnesses: object.witnesses.len() as u16,
            });
        }
        self.acked_confirmation = acked;
    }
}

/// Returns the shortest time after which a term that begins with confirmation by the platform can be confirmed by
/// witnesses. First members reach the age of a witness, then the cap of the coordinator lease is in force for a
/// confirmation by the platform. A term may change its times meanwhile, but not before a confirmation and a lease have
/// passed.
pub(super) fn first_witnesses_after(times: TermTimes) -> Duration {
    times.platform_confirmation() + WITNESS_AGE_MIN.min(times.lease())
}

/// Returns the largest odd number up to `count`, or 0.
fn largest_odd(count: usize) -> usize {
    if count.is_multiple_of(2) { count.saturating_sub(1) } else { count }
}

/// Chooses witnesses from the candidates, spread over the zones. The coordinator itself is chosen
/// last, and its zone counts as having one witness more, so that the loss of the coordinator does
/// not also cost a witness. While the coordinator runs, it can do without witnesses. Between equal
/// candidates, current witnesses are preferred.
fn choose_witnesses(
    own_instance: &Instance,
    candidates: &[&Instance],
    current: &[Instance],
) -> Vec<Instance> {
    let count = WITNESSES_MAX.min(largest_odd(candidates.len()));
    let mut per_zone: BTreeMap<&Zone, usize> = BTreeMap::from([(&own_instance.zone, 1)]);
    let mut chosen: Vec<Instance> = Vec::new();
    let mut remaining: Vec<&Instance> = candidates.to_vec();
    while chosen.len() < count {
        let cost = |it: &&Instance| {
            let in_zone = per_zone.get(&it.zone).copied().unwrap_or(0);
            let is_new = !current.iter().any(|known| is_same_incarnation(known, it));
            (is_same_incarnation(it, own_instance), in_zone, is_new)
        };
        let Some(at) = (0..remaining.len()).min_by_key(|it| cost(&remaining[*it])) else { break };
        let it = remaining.remove(at);
        *per_zone.entry(&it.zone).or_default() += 1;
        chosen.push(it.clone());
    }
    chosen
}
