//! Choice of the successors that take over if an owner is lost. The first successor is in another availability zone if
//! possible, successors are spread so that one loss adds little load to each member, and previous choices are kept
//! while they are good enough.

use model::{KeyHash, Zone};

use super::{SUCCESSOR_COUNT, working_plan::WorkingPlan};

/// Highest load of a previous successor after the loss, relative to that of the best candidate, for which it is kept.
const KEEP_RATIO_MAX: f64 = 1.5;
/// Weight of the loss of a whole zone relative to the loss of one member.
const ZONE_LOSS_SHARE: f64 = 0.25;

/// Successors of each slot, and of each key with an entry.
pub(super) struct Successors {
    pub(super) slots: Vec<Vec<u16>>,
    pub(super) keys: Vec<(KeyHash, Vec<u16>)>,
}

/// Slot or hot key with an entry, and its previous successors.
struct OwnedUnit<'a> {
    owner: Option<u16>,
    load: f64,
    previous: &'a [u16],
}

pub(super) fn successors(plan: &WorkingPlan<'_>) -> Successors {
    let input = plan.input;
    let slots = plan.slots.iter().zip(&input.slots).map(|(state, slot)| OwnedUnit {
        owner: state.owner,
        load: state.total_load(),
        previous: &slot.successors,
    });
    let with_entry = (0..plan.keys.len()).filter(|it| plan.keys[*it].owner.is_some());
    let with_entry: Vec<usize> = with_entry.collect();
    let keys = with_entry.iter().map(|it| OwnedUnit {
        owner: plan.keys[*it].owner,
        load: plan.keys[*it].load,
        previous: &input.keys[*it].successors,
    });
    let units: Vec<OwnedUnit<'_>> = slots.chain(keys).collect();
    let mut chosen = InheritedLoads::new(plan).choose_all(&units);
    let key_successors = chosen.split_off(plan.slots.len());
    let hashes = with_entry.iter().map(|it| input.keys[*it].key_hash);
    Successors { slots: chosen, keys: hashes.zip(key_successors).collect() }
}

/// Loads that members would take over as first successors.
struct InheritedLoads<'a> {
    plan: &'a WorkingPlan<'a>,
    /// Load by lost owner, then by successor.
    by_member: Vec<Vec<f64>>,
    /// Load by the lost owners' zone (index into `zones`), then by successor.
    by_zone: Vec<Vec<f64>>,
    zones: Vec<&'a Zone>,
}

impl<'a> InheritedLoads<'a> {
    fn new(plan: &'a WorkingPlan<'a>) -> InheritedLoads<'a> {
        let members = plan.members.len();
        let mut zones: Vec<&Zone> = plan.input.members.iter().map(|it| &it.zone).collect();
        zones.sort();
        zones.dedup();
        InheritedLoads {
            plan,
            by_member: vec![vec![0.0; members]; members],
            by_zone: vec![vec![0.0; members]; zones.len()],
            zones,
        }
    }

    /// Chooses the successors of all units, the heaviest first. Returns them in the order of `units`.
    fn choose_all(mut self, units: &[OwnedUnit<'_>]) -> Vec<Vec<u16>> {
        let mut order: Vec<usize> = (0..units.len()).collect();
        order.sort_by(|a, b| units[*b].load.total_cmp(&units[*a].load).then(a.cmp(b)));
        let mut chosen = vec![Vec::new(); units.len()];
        for index in order {
            chosen[index] = self.choose(&units[index]);
        }
        chosen
    }

    fn choose(&mut self, unit: &OwnedUnit<'_>) -> Vec<u16> {
        let Some(owner) = unit.owner else { return Vec::new() };
        let mut chosen: Vec<u16> = Vec::new();
        while chosen.len() < SUCCESSOR_COUNT {
            let Some(next) = self.choose_next(owner, unit, &chosen) else { break };
            chosen.push(next);
        }
        if let Some(&first) = chosen.first() {
            let zone = self.zone_of(owner);
            self.by_member[usize::from(owner)][usize::from(first)] += unit.load;
            self.by_zone[zone][usize::from(first)] += unit.load;
        }
        chosen
    }

    fn choose_next(&self, owner: u16, unit: &OwnedUnit<'_>, chosen: &[u16]) -> Option<u16> {
        let candidates = self.plan.eligible().filter(|it| *it != owner && !chosen.contains(it));
        let candidates: Vec<u16> = candidates.collect();
        // Lower ranks are better: rank 0 is a zone of neither the owner nor a chosen successor, rank 1 a zone of a
        // chosen successor, ranks 2 and 3 the owner's zone.
        let rank = |it: u16| {
            let zone = self.zone_of(it);
            let is_used = chosen.iter().any(|it| self.zone_of(*it) == zone);
            2 * u8::from(zone == self.zone_of(owner)) + u8::from(is_used)
        };
        let rank_min = candidates.iter().map(|it| rank(*it)).min()?;
        let best_ranked: Vec<u16> =
            candidates.into_iter().filter(|it| rank(*it) == rank_min).collect();
        let cost = |it: u16| self.cost(owner, it, unit.load);
        let best = best_ranked.iter().copied().min_by(|a, b| cost(*a).total_cmp(&cost(*b)))?;
        let previous = unit.previous.iter().copied().find(|it| best_ranked.contains(it));
        previous.filter(|it| cost(*it) <= KEEP_RATIO_MAX * cost(best)).or(Some(best))
    }

    /// Returns the relative load of `successor` if `owner` were lost, plus a share for the loss of the owner's zone.
    fn cost(&self, owner: u16, successor: u16, load: f64) -> f64 {
        let inherited = self.by_member[usize::from(owner)][usize::from(successor)];
        let rest_of_zone = self.by_zone[self.zone_of(owner)][usize::from(successor)] - inherited;
        self.plan.relative_load(successor, load + inherited + ZONE_LOSS_SHARE * rest_of_zone)
    }

    fn zone_of(&self, member: u16) -> usize {
        let zone = &self.plan.input.members[usize::from(member)].zone;
        self.zones.binary_search(&zone).expect("every member's zone is listed")
    }
}
