//! Placement for services with ordered keys. Neighbouring keys tend to be busy at the same time, and each owner should
//! hold few ranges of consecutive slots, because each range is a grant that has to be renewed.
//!
//! Designed for a load in which a range of some hundred neighbouring keys suddenly receives a third or more of all
//! requests. The planner splits such a range among several members and moves as few slots as possible.

use model::Slot;

use super::{Move, MoveUnit, PlannerInput, Proposal, SUCCESSOR_COUNT};
use crate::{MoveReason, work};

/// Cost of a slot in addition to its load, as a share of the mean slot's load. Balances idle slots as well, and makes
/// the first placement give each member the same number of slots.
const IDLE_SHARE: f64 = 0.05;
/// Smallest part of a range that a member may get, as a share of its fair load. A smaller part is not worth a grant of
/// its own.
const RANGE_SHARE_MIN: f64 = 0.1;
/// Relative standard deviation of a load of one request in flight in reports over about a second. It decreases with the
/// square root of the load.
const RELATIVE_NOISE: f64 = 0.3;
/// Number of members that share the slots of a lost owner; the load of each rises by an eighth. A higher number would
/// split the routes into more ranges, one per successor.
const SUCCESSORS_PER_OWNER_MAX: usize = 8;
/// Number of ranges that one proposal may move for balance in a small service. Limited because the keys of a range wait
/// during its handover.
const MOVES_MAX_BASE: usize = 6;
/// Members per range that one proposal may move, if that allows more than [`MOVES_MAX_BASE`]. A range of keys with two
/// fifths of the load of 41 members, for example, has to be split among 16 of them.
const MEMBERS_PER_MOVE: usize = 2;
/// Relative load from which a member's recently moved slots may move again. Random variation does not reach it, and a
/// range that was moved as a whole to a member that could not carry it has to be split again.
const OVERLOAD_FACTOR: f64 = 3.0;
/// Level at which relief stops, as a share of the distance between a relative load of 1 and the trigger.
const SETTLE_SHARE: f64 = 0.5;
const US_PER_S: f64 = 1e6;
/// Load of the whole service below which all slots count the same; corresponds to a hundredth of a request in flight.
const IDLE_US_PER_S: f64 = 1e4;

/// Returns the proposal for a service with ordered keys.
pub(super) fn propose(input: &PlannerInput) -> Proposal {
    let mut layout = SlotLayout::new(input);
    if layout.eligible.is_empty() {
        return Proposal {
            successors: vec![Vec::new(); layout.owners.len()],
            ..Proposal::default()
        };
    }
    layout.place_unowned();
    layout.relieve();
    let moves = layout.moves();
    let successors = layout.successors();
    Proposal { moves, successors, key_successors: Vec::new() }
}

/// Range of consecutive slots from `first` (inclusive) to `end` (exclusive).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SlotRange {
    first: usize,
    end: usize,
}

impl SlotRange {
    fn len(self) -> usize {
        self.end - self.first
    }
}

/// Slots in order, with their owners after the moves so far.
struct SlotLayout<'a> {
    input: &'a PlannerInput,
    owners: Vec<Option<u16>>,
    /// Cost of each slot in microseconds per second: its load plus a fixed share of the mean load.
    costs: Vec<f64>,
    /// Cost of all slots of each member.
    loads: Vec<f64>,
    /// Members that may own slots.
    eligible: Vec<u16>,
    /// Load of a member of weight 1 if the load is balanced.
    fair_load: f64,
    /// Whether each slot was moved to balance the load.
    rebalanced: Vec<bool>,
    /// Whether the service has too little load to measure; its slots are then balanced by number.
    is_idle: bool,
}

impl<'a> SlotLayout<'a> {
    fn new(input: &'a PlannerInput) -> SlotLayout<'a> {
        let weight = |it: u16| input.members[usize::from(it)].weight;
        let eligible: Vec<u16> =
            (0..input.members.len() as u16).filter(|it| weight(*it) > 0.0).collect();
        let measured: f64 = input.slots.iter().map(|it| it.load_us_per_s.max(0.0)).sum();
        let is_idle = measured < IDLE_US_PER_S;
        let idle = match is_idle {
            true => US_PER_S,
            false => measured * IDLE_SHARE / input.slots.len() as f64,
        };
        let measured_load = |it: f64| if is_idle { 0.0 } else { it.max(0.0) };
        let costs: Vec<f64> =
            input.slots.iter().map(|it| measured_load(it.load_us_per_s) + idle).collect();
        let is_eligible = |it: &u16| eligible.contains(it);
        let owners: Vec<Option<u16>> =
            input.slots.iter().map(|it| it.owner.filter(is_eligible)).collect();
        let mut loads = vec![0.0; input.members.len()];
        for (owner, cost) in owners.iter().zip(&costs) {
            if let Some(owner) = owner {
                loads[usize::from(*owner)] += cost;
            }
        }
        let weights: f64 = eligible.iter().map(|it| weight(*it)).sum();
        let fair_load = costs.iter().sum::<f64>() / weights.max(f64::MIN_POSITIVE);
        let rebalanced = vec![false; owners.len()];
        SlotLayout { input, owners, costs, loads, eligible, fair_load, rebalanced, is_idle }
    }

    fn weight(&self, member: u16) -> f64 {
        self.input.members[usize::from(member)].weight
    }

    fn load_of(&self, member: u16) -> f64 {
        self.loads[usize::from(member)]
    }

    /// Returns a member's load divided by its fair load.
    fn relative_load(&self, member: u16) -> f64 {
        self.load_of(member) / (self.weight(member) * self.fair_load)
    }

    fn cost(&self, range: SlotRange) -> f64 {
        self.costs[range.first..range.end].iter().sum()
    }

    fn assign(&mut self, range: SlotRange, to: u16) {
        for slot in range.first..range.end {
            if let Some(from) = self.owners[slot].replace(to) {
                self.loads[usize::from(from)] -= self.costs[slot];
            }
            self.loads[usize::from(to)] += self.costs[slot];
        }
    }

    /// Returns the maximal ranges of slots that belong to `owner`.
    fn ranges(&self, owner: Option<u16>) -> Vec<SlotRange> {
        let mut ranges: Vec<SlotRange> = Vec::new();
        work::add_entries(self.owners.len() / 8);
        for slot in (0..self.owners.len()).filter(|it| self.owners[*it] == owner) {
            match ranges.last_mut() {
                Some(range) if range.end == slot => range.end += 1,
                _ => ranges.push(SlotRange { first: slot, end: slot + 1 }),
            }
        }
        ranges
    }

    /// Assigns the slots without an eligible owner, range by range.
    fn place_unowned(&mut self) {
        for range in self.ranges(None) {
            self.distribute(range);
        }
    }

    /// Splits a range into one part for each member that has spare capacity. The owners of the slots next to the range
    /// get the parts at its ends, which extend their ranges.
    fn distribute(&mut self, range: SlotRange) {
        let left = range.first.checked_sub(1).and_then(|it| self.owners[it]);
        let right = self.owners.get(range.end).copied().flatten();
        let total = self.cost(range);
        let shares = self.compute_shares(total);
        let position_of = |it: &(u16, f64)| match it.0 {
            member if Some(member) == left => 0,
            member if Some(member) == right => 2,
            _ => 1,
        };
        let mut shares = shares;
        shares.sort_by_key(position_of);
        let mut rest = range;
        let mut assigned_target = 0.0;
        let mut assigned = 0.0;
        for (at, (member, share)) in shares.iter().enumerate() {
            assigned_target += share;
            let mut end = rest.first;
            while end < rest.end && assigned + self.costs[end] / 2.0 < assigned_target {
                assigned += self.costs[end];
                end += 1;
            }
            if at + 1 == shares.len() {
                end = rest.end;
            }
            self.assign(SlotRange { first: rest.first, end }, *member);
            rest.first = end;
        }
    }

    /// Returns how much of a load each member takes so that the members' loads become as even as possible.
    fn compute_shares(&self, load: f64) -> Vec<(u16, f64)> {
        // Bisects for the relative load up to which members are filled.
        let absorbed = |level: f64| {
            let room = |it: &u16| (level * self.weight(*it) - self.load_of(*it)).max(0.0);
            self.eligible.iter().map(room).sum::<f64>()
        };
        let (mut low, mut high) = (0.0, load + self.loads.iter().sum::<f64>());
        let weight_min = self.eligible.iter().map(|it| self.weight(*it)).fold(1.0, f64::min);
        high /= weight_min;
        for _ in 0..50 {
            let level = (low + high) / 2.0;
            match absorbed(level) < load {
                true => low = level,
                false => high = level,
            }
        }
        let share = |it: u16| (high * self.weight(it) - self.load_of(it)).max(0.0);
        let all: Vec<(u16, f64)> = self.eligible.iter().map(|it| (*it, share(*it))).collect();
        let share_min = RANGE_SHARE_MIN * self.fair_load.min(load);
        let large_enough: Vec<(u16, f64)> =
            all.iter().copied().filter(|it| it.1 >= share_min).collect();
        if large_enough.is_empty() { all } else { large_enough }
    }

    /// Returns the relative load above which a member is relieved: the document's target, or the random variation of a
    /// load of this size if that is higher.
    fn relief_trigger(&self) -> f64 {
        if self.is_idle {
            return self.input.limits.imbalance_target;
        }
        let in_flight = (self.fair_load / US_PER_S).max(f64::MIN_POSITIVE);
        let noise_threshold = 1.0 + RELATIVE_NOISE / in_flight.sqrt();
        self.input.limits.imbalance_target.max(noise_threshold)
    }

    /// Moves as few slots as possible to relieve the busiest members, within the remaining churn budget.
    fn relieve(&mut self) {
        let trigger = self.relief_trigger();
        let settle = 1.0 + (trigger - 1.0) * SETTLE_SHARE;
        // Slots without requests may move without limit, because no request waits for them.
        let is_unlimited = self.is_idle && self.input.may_move_idle;
        let churn = if is_unlimited { 1.0 } else { self.input.churn_left };
        let mut churn_left = (churn * self.owners.len() as f64) as usize;
        // Members that cannot be relieved, such as the owner of a single slot that exceeds any member's capacity.
        let mut unrelievable: Vec<u16> = Vec::new();
        let moves_max = MOVES_MAX_BASE.max(self.eligible.len() / MEMBERS_PER_MOVE);
        let mut moves = 0;
        while moves < moves_max {
            let by_load =
                |a: &u16, b: &u16| self.relative_load(*a).total_cmp(&self.relative_load(*b));
            let movable = self.eligible.iter().copied().filter(|it| !unrelievable.contains(it));
            let Some(busiest) = movable.max_by(by_load) else { return };
            let Some(least_loaded) = self.eligible.iter().copied().min_by(by_load) else { return };
            if self.relative_load(busiest) <= trigger || busiest == least_loaded {
                return;
            }
            let excess = self.load_of(busiest) - settle * self.fair_load * self.weight(busiest);
            let room = self.fair_load * self.weight(least_loaded) - self.load_of(least_loaded);
            let wanted = excess.min(room);
            let range = self.find_subrange(busiest, least_loaded, wanted, churn_left);
            let range = range.or_else(|| self.heaviest_range(busiest, wanted, churn_left));
            let Some(range) = range else {
                unrelievable.push(busiest);
                continue;
            };
            moves += 1;
            churn_left -= range.len();
            self.rebalanced[range.first..range.end].fill(true);
            self.assign(range, least_loaded);
        }
    }

    /// Returns the shortest range of slots of `from` with a load of about `wanted`; of equally short ones, the one
    /// whose move creates fewer ranges.
    fn find_subrange(&self, from: u16, to: u16, wanted: f64, len_max: usize) -> Option<SlotRange> {
        let mut best: Option<(usize, usize, SlotRange)> = None;
        let is_overloaded = self.relative_load(from) > OVERLOAD_FACTOR;
        for range in self.ranges(Some(from)) {
            for first in range.first..range.end {
                let Some(end) = self.subrange_end(first, range.end, wanted) else { break };
                let candidate = SlotRange { first, end };
                // The move must reduce the higher relative load of the two members, not only swap their roles.
                let load = self.cost(candidate);
                let improves = (self.load_of(to) + load) / self.weight(to)
                    < self.load_of(from) / self.weight(from);
                let all_movable = (first..end).all(|it| self.may_move(it, is_overloaded));
                if !improves || !all_movable || candidate.len() > len_max {
                    continue;
                }
                let rank = (candidate.len(), self.added_ranges(candidate, range, to));
                if best.is_none_or(|it| rank < (it.0, it.1)) {
                    best = Some((rank.0, rank.1, candidate));
                }
            }
        }
        best.map(|it| it.2)
    }

    /// Returns the whole range of `from` with the highest load up to `wanted`. Needed for owners of many short ranges,
    /// none of which has a load of `wanted`.
    fn heaviest_range(&self, from: u16, wanted: f64, len_max: usize) -> Option<SlotRange> {
        let is_overloaded = self.relative_load(from) > OVERLOAD_FACTOR;
        let fits = |it: &SlotRange| {
            let cost = self.cost(*it);
            let all_movable = (it.first..it.end).all(|it| self.may_move(it, is_overloaded));
            all_movable && it.len() <= len_max && cost <= wanted
        };
        let ranges = self.ranges(Some(from)).into_iter().filter(fits);
        ranges.max_by(|a, b| self.cost(*a).total_cmp(&self.cost(*b)))
    }

    /// Returns the end of the shortest range from `first` with a load of `wanted`, without its last slot if the load is
    /// then closer to `wanted`. Returns `None` if the load up to `end_max` is lower.
    fn subrange_end(&self, first: usize, end_max: usize, wanted: f64) -> Option<usize> {
        let mut load = 0.0;
        for end in first + 1..=end_max {
            let last = self.costs[end - 1];
            load += last;
            if load >= wanted {
                let overshoots = load - wanted > wanted - (load - last);
                return Some(if overshoots && end > first + 1 { end - 1 } else { end });
            }
        }
        None
    }

    fn may_move(&self, slot: usize, is_overloaded: bool) -> bool {
        let is_settling = self.input.slots[slot].movable_from > self.input.now;
        !self.rebalanced[slot] && (is_overloaded || !is_settling)
    }

    /// Returns how many ranges are added if `part` of `range` moves to `to`.
    fn added_ranges(&self, part: SlotRange, range: SlotRange, to: u16) -> usize {
        let is_to = |slot: Option<usize>| {
            slot.and_then(|it| self.owners.get(it)).is_some_and(|it| *it == Some(to))
        };
        let left = part.first > range.first || !is_to(part.first.checked_sub(1));
        let right = part.end < range.end || !is_to(Some(part.end));
        usize::from(left) + usize::from(right)
    }

    fn moves(&self) -> Vec<Move> {
        let slots = self.input.slots.iter().enumerate();
        let moved = slots.filter(|(at, it)| it.owner != self.owners[*at]);
        moved
            .map(|(at, it)| Move {
                unit: MoveUnit::Slot(Slot(at as u16)),
                from: it.owner,
                to: self.owners[at],
                reason: match it.owner {
                    None => MoveReason::First,
                    Some(_) if self.rebalanced[at] => MoveReason::Rebalance,
                    Some(_) => MoveReason::Leave,
                },
            })
            .collect()
    }

    /// Returns the successors of each slot. Splits an owner's slots into one part for each candidate, of a length in
    /// proportion to its weight, and rotates the candidates from part to part, so that the loss of the owner gives each
    /// candidate one range or few. Uses numbers of slots and not loads, so that changes of load do not rewrite the plan.
    fn successors(&self) -> Vec<Vec<u16>> {
        let mut successors = vec![Vec::new(); self.owners.len()];
        for owner in &self.eligible {
            let candidates = self.successor_candidates(*owner);
            work::add_entries(self.owners.len() / 8);
            let slots: Vec<usize> =
                (0..self.owners.len()).filter(|it| self.owners[*it] == Some(*owner)).collect();
            let part_ends = self.part_ends(&candidates);
            let total = part_ends.last().copied().unwrap_or(0);
            for (at, slot) in slots.iter().enumerate() {
                let Some(position) = (at * total).checked_div(slots.len()) else { continue };
                let part = part_ends.partition_point(|it| *it <= position);
                let count = SUCCESSOR_COUNT.min(candidates.len());
                let chosen = (0..count).map(|it| candidates[(part + it) % candidates.len()]);
                successors[*slot] = chosen.collect();
            }
        }
        successors
    }

    /// Returns the end of each candidate's part of the slots of an owner, in hundredths of a weight of 1.
    fn part_ends(&self, candidates: &[u16]) -> Vec<usize> {
        let lengths = candidates.iter().map(|it| (self.weight(*it) * 100.0).round().max(1.0));
        let mut end = 0;
        lengths
            .map(|it| {
                end += it as usize;
                end
            })
            .collect()
    }

    /// Returns the members that follow the owner in the list, so that owners have different successors.
    fn successor_candidates(&self, owner: u16) -> Vec<u16> {
        let at = self.eligible.iter().position(|it| *it == owner).unwrap_or(0);
        let following = self.eligible[at + 1..].iter();
        following.chain(&self.eligible[..at]).take(SUCCESSORS_PER_OWNER_MAX).copied().collect()
    }
}
