//! Keeps the coordinator's object true: settled, the path of confirmation, witnesses, times.

use std::{collections::BTreeMap, time::Duration};

use model::{Instance, Zone};

use crate::{
    Confirmation, Coordinator, Event, TermTimes,
    ctx::{Ctx, MemberId, is_same_incarnation},
};

use super::{Coordination, members::MemberRow};

/// The most witnesses, and the least that are worth having.
const WITNESSES_MAX: usize = 5;
const WITNESSES_MIN: usize = 3;
/// A member becomes a witness when it has been there for this long.
const WITNESS_AGE_MIN: Duration = Duration::from_secs(1);
/// How long a majority may be missing before the other path is declared.
const MAJORITY_MISSING_MAX: Duration = Duration::from_millis(100);

impl Coordination {
    /// Only a settled coordinator changes its object.
    pub(super) fn maintain(&mut self, ctx: &mut Ctx<'_>) {
        let is_rolled_back = self.rolled_back_at.is_some();
        if !self.is_settled() || self.object.is_pending() || self.releasing || is_rolled_back {
            return;
        }
        let acked = self.object.acked();
        let mut wanted = Coordinator { settled: true, history_lost: false, ..acked.clone() };
        if ctx.config.keyed {
            self.choose_confirmation(ctx, &mut wanted);
        }
        self.choose_times(ctx, &mut wanted);
        if wanted != *self.object.acked() {
            self.object.update(ctx, wanted);
        }
    }

    fn choose_confirmation(&mut self, ctx: &Ctx<'_>, wanted: &mut Coordinator) {
        let candidates = self.witness_candidates(ctx);
        let confirmed = self.may_renew(ctx);
        let missing = ctx.now.since(self.confirmation.unconfirmed_since()) > MAJORITY_MISSING_MAX;
        let reachable = self.confirmation.is_platform_reachable(ctx.now);
        match wanted.confirmation {
            Confirmation::Witnesses if !confirmed && missing && reachable => {
                wanted.confirmation = Confirmation::Platform;
                wanted.witnesses = Vec::new();
            }
            Confirmation::Witnesses if confirmed && reachable => {
                let lost =
                    |it: &Instance| !candidates.iter().any(|known| is_same_incarnation(known, it));
                let more =
                    wanted.witnesses.len() < WITNESSES_MAX.min(largest_odd(candidates.len()));
                if candidates.len() < WITNESSES_MIN {
                    wanted.confirmation = Confirmation::Platform;
                    wanted.witnesses = Vec::new();
                } else if more || wanted.witnesses.iter().any(lost) {
                    wanted.witnesses =
                        choose_witnesses(ctx.own_instance(), &candidates, &wanted.witnesses);
                }
            }
            // Contact is a matter of course where the platform confirms, but here it is rare.
            Confirmation::Witnesses => {
                let lost =
                    |it: &Instance| !candidates.iter().any(|known| is_same_incarnation(known, it));
                if wanted.witnesses.iter().any(lost) {
                    self.confirmation.schedule_read(ctx.now);
                }
            }
            Confirmation::Platform if confirmed && candidates.len() >= WITNESSES_MIN => {
                let witnesses = choose_witnesses(ctx.own_instance(), &candidates, &[]);
                let since = *self.coordinator_lease_capped_since.get_or_insert(ctx.now);
                // By now this node's own lease ends as early as a successor of the new path
                // expects it to.
                if ctx.now.since(since) > wanted.times.platform_confirmation() {
                    wanted.confirmation = Confirmation::Witnesses;
                    wanted.witnesses = witnesses;
                }
            }
            Confirmation::Platform => self.coordinator_lease_capped_since = None,
        }
    }

    fn witness_candidates(&self, ctx: &Ctx<'_>) -> Vec<&Instance> {
        let able =
            |row: &&MemberRow| !row.leaving && ctx.now.since(row.joined_at) >= WITNESS_AGE_MIN;
        self.members.rows.values().filter(able).map(|it| &it.instance).collect()
    }

    /// Longer times are written before they are used. Shorter ones are used at once, and written
    /// when nothing that was given by the longer ones can live any more.
    fn choose_times(&mut self, ctx: &Ctx<'_>, wanted: &mut Coordinator) {
        let asked = TermTimes::from(ctx.limits());
        if wanted.times == asked {
            self.times_differ_since = None;
            return;
        }
        let since = *self.times_differ_since.get_or_insert(ctx.now);
        let former = wanted.times;
        let longest = former.confirmation().max(former.platform_confirmation()) + former.lease();
        if ctx.now.since(since) > former.with_drift_margin(longest) {
            wanted.times = asked;
        }
    }

    /// An update of the object has taken effect.
    pub(super) fn apply_confirmation_change(&mut self, ctx: &mut Ctx<'_>) {
        let object = self.object.acked();
        let now = (object.confirmation, object.witnesses.iter().map(MemberId::from).collect());
        let (method, _) = &now;
        if *method != self.acked_confirmation.0 {
            self.confirmation.reset(ctx.now);
            self.coordinator_lease_capped_since = None;
        }
        if now != self.acked_confirmation {
            ctx.event(Event::ConfirmationChanged {
                confirmation: object.confirmation,
                witnesses: object.witnesses.len() as u16,
            });
        }
        self.acked_confirmation = now;
    }
}

fn largest_odd(count: usize) -> usize {
    if count.is_multiple_of(2) { count.saturating_sub(1) } else { count }
}

/// Spreads the witnesses over the zones. The coordinator itself comes last, and its zone counts as
/// fuller by one, so that its loss does not cost a witness as well: while it lives it can do
/// without them. Those that are witnesses already stay where that makes no difference.
fn choose_witnesses(me: &Instance, able: &[&Instance], former: &[Instance]) -> Vec<Instance> {
    let count = WITNESSES_MAX.min(largest_odd(able.len()));
    let mut of_zone: BTreeMap<&Zone, usize> = BTreeMap::from([(&me.zone, 1)]);
    let mut chosen: Vec<Instance> = Vec::new();
    let mut left: Vec<&Instance> = able.to_vec();
    while chosen.len() < count {
        let cost = |it: &&Instance| {
            let crowd = of_zone.get(&it.zone).copied().unwrap_or(0);
            let new = !former.iter().any(|known| is_same_incarnation(known, it));
            (is_same_incarnation(it, me), crowd, new)
        };
        let Some(at) = (0..left.len()).min_by_key(|it| cost(&left[*it])) else { break };
        let it = left.remove(at);
        *of_zone.entry(&it.zone).or_default() += 1;
        chosen.push(it.clone());
    }
    chosen
}
