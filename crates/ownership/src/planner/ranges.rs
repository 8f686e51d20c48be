//! Placing of services whose keys have an order: neighbours are busy together, and an owner holds
//! few runs of neighbouring slots, for each run is one grant that has to be renewed.
//!
//! The load that this answers: a stretch of some hundred neighbouring keys suddenly carries a third
//! or more of all requests. It is cut in its midst and shared out, by as few slots as do it.

use model::Slot;

use super::{Move, MoveUnit, PlannerInput, Proposal, SUCCESSOR_COUNT};
use crate::{MoveReason, work};

/// A slot counts as this share of the mean slot besides its load, so that idle slots are shared out
/// too and the first placement gives each member as many.
const IDLE_SHARE: f64 = 0.05;
/// A member that could take less of a run than this share of a fair load gets nothing of it: a sliver
/// would cost a grant of its own.
const SLIVER_SHARE: f64 = 0.1;
/// The standard deviation of a load of one request in flight, as a share of it, as reports of about
/// a second show it; it falls with the root of the load.
const NOISE: f64 = 0.3;
/// Over so many others the slots of an owner that is lost are spread: each takes an eighth more than it had.
/// More would cut the routes into more runs, one for each of them.
const HEIRS_MAX: usize = 8;
/// The most runs that one proposal moves for balance, each a handover during which its keys wait: so many
/// at least, and in large services one for two members. A stretch with two fifths of the load of 41 members
/// has to go to 16 of them.
const MOVES_MAX: usize = 6;
const MEMBERS_PER_MOVE: usize = 2;
/// A member with this many times its fair load gives away also what was moved of late: no chance looks like
/// that, and what was moved as a whole to one that could not carry it has to be cut again.
const OVERRUN: f64 = 3.0;
/// Relief goes on until the busiest member is below this share of the way from even to the trigger.
const SETTLE_SHARE: f64 = 0.5;
const US_PER_S: f64 = 1e6;
/// Below this load of the whole service its slots count alike: a hundredth of a request in flight.
const IDLE_US_PER_S: f64 = 1e4;

/// The proposal for a service with ordered keys.
pub(super) fn propose(input: &PlannerInput) -> Proposal {
    let mut line = Line::new(input);
    if line.able.is_empty() {
        return Proposal { successors: vec![Vec::new(); line.owners.len()], ..Proposal::default() };
    }
    line.place_orphans();
    line.relieve();
    let moves = line.moves();
    let successors = line.successors();
    Proposal { moves, successors, key_successors: Vec::new() }
}

/// Neighbouring slots: `first` up to, but without, `end`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Run {
    first: usize,
    end: usize,
}

impl Run {
    fn len(self) -> usize {
        self.end - self.first
    }
}

/// The slots in their order, with who owns them after the moves so far.
struct Line<'a> {
    input: &'a PlannerInput,
    owners: Vec<Option<u16>>,
    /// What each slot counts as.
    costs: Vec<f64>,
    /// What each member carries.
    carried: Vec<f64>,
    /// Members that may own anything.
    able: Vec<u16>,
    /// What a member of weight 1 carries when all are even.
    fair: f64,
    /// Slots that were moved to even out the load.
    relieved: Vec<bool>,
    /// No load has been measured: slots are evened out by their number.
    is_idle: bool,
}

impl<'a> Line<'a> {
    fn new(input: &'a PlannerInput) -> Line<'a> {
        let weight = |it: u16| input.members[usize::from(it)].weight;
        let able: Vec<u16> =
            (0..input.members.len() as u16).filter(|it| weight(*it) > 0.0).collect();
        let measured: f64 = input.slots.iter().map(|it| it.load_us_per_s.max(0.0)).sum();
        let is_idle = measured < IDLE_US_PER_S;
        let idle = match is_idle {
            true => US_PER_S,
            false => measured * IDLE_SHARE / input.slots.len() as f64,
        };
        let seen = |it: f64| if is_idle { 0.0 } else { it.max(0.0) };
        let costs: Vec<f64> = input.slots.iter().map(|it| seen(it.load_us_per_s) + idle).collect();
        let is_able = |it: &u16| able.contains(it);
        let owners: Vec<Option<u16>> =
            input.slots.iter().map(|it| it.owner.filter(is_able)).collect();
        let mut carried = vec![0.0; input.members.len()];
        for (owner, cost) in owners.iter().zip(&costs) {
            if let Some(owner) = owner {
                carried[usize::from(*owner)] += cost;
            }
        }
        let weights: f64 = able.iter().map(|it| weight(*it)).sum();
        let fair = costs.iter().sum::<f64>() / weights.max(f64::MIN_POSITIVE);
        let relieved = vec![false; owners.len()];
        Line { input, owners, costs, carried, able, fair, relieved, is_idle }
    }

    fn weight(&self, member: u16) -> f64 {
        self.input.members[usize::from(member)].weight
    }

    fn carries(&self, member: u16) -> f64 {
        self.carried[usize::from(member)]
    }

    /// What a member carries over its fair share.
    fn relative(&self, member: u16) -> f64 {
        self.carries(member) / (self.weight(member) * self.fair)
    }

    fn cost(&self, run: Run) -> f64 {
        self.costs[run.first..run.end].iter().sum()
    }

    fn give(&mut self, run: Run, to: u16) {
        for slot in run.first..run.end {
            if let Some(from) = self.owners[slot].replace(to) {
                self.carried[usize::from(from)] -= self.costs[slot];
            }
            self.carried[usize::from(to)] += self.costs[slot];
        }
    }

    /// Runs of slots that belong to `owner`.
    fn runs(&self, owner: Option<u16>) -> Vec<Run> {
        let mut runs: Vec<Run> = Vec::new();
        work::add_entries(self.owners.len() / 8);
        for slot in (0..self.owners.len()).filter(|it| self.owners[*it] == owner) {
            match runs.last_mut() {
                Some(run) if run.end == slot => run.end += 1,
                _ => runs.push(Run { first: slot, end: slot + 1 }),
            }
        }
        runs
    }

    /// Gives slots without an able owner away, run by run.
    fn place_orphans(&mut self) {
        for run in self.runs(None) {
            self.place(run);
        }
    }

    /// Cuts a run into one part for each member that has room, in the order of the slots; the
    /// neighbours of the run get the parts at its ends, which go on from what they have.
    fn place(&mut self, run: Run) {
        let left = run.first.checked_sub(1).and_then(|it| self.owners[it]);
        let right = self.owners.get(run.end).copied().flatten();
        let total = self.cost(run);
        let shares = self.shares(total);
        let place_of = |it: &(u16, f64)| match it.0 {
            member if Some(member) == left => 0,
            member if Some(member) == right => 2,
            _ => 1,
        };
        let mut shares = shares;
        shares.sort_by_key(place_of);
        let mut rest = run;
        let mut due = 0.0;
        let mut given = 0.0;
        for (at, (member, share)) in shares.iter().enumerate() {
            due += share;
            let mut end = rest.first;
            while end < rest.end && given + self.costs[end] / 2.0 < due {
                given += self.costs[end];
                end += 1;
            }
            if at + 1 == shares.len() {
                end = rest.end;
            }
            self.give(Run { first: rest.first, end }, *member);
            rest.first = end;
        }
    }

    /// How much of a load each member takes so that all come to be as even as they can.
    fn shares(&self, load: f64) -> Vec<(u16, f64)> {
        // The level up to which members are filled, found by halving.
        let filled = |level: f64| {
            let room = |it: &u16| (level * self.weight(*it) - self.carries(*it)).max(0.0);
            self.able.iter().map(room).sum::<f64>()
        };
        let (mut low, mut high) = (0.0, load + self.carried.iter().sum::<f64>());
        let weight_min = self.able.iter().map(|it| self.weight(*it)).fold(1.0, f64::min);
        high /= weight_min;
        for _ in 0..50 {
            let level = (low + high) / 2.0;
            match filled(level) < load {
                true => low = level,
                false => high = level,
            }
        }
        let share = |it: u16| (high * self.weight(it) - self.carries(it)).max(0.0);
        let all: Vec<(u16, f64)> = self.able.iter().map(|it| (*it, share(*it))).collect();
        let sliver = SLIVER_SHARE * self.fair.min(load);
        let some: Vec<(u16, f64)> = all.iter().copied().filter(|it| it.1 >= sliver).collect();
        if some.is_empty() { all } else { some }
    }

    /// From which relative load on a member is relieved: above the document's target, and above what
    /// chance shows of a load of this size.
    fn trigger(&self) -> f64 {
        if self.is_idle {
            return self.input.limits.imbalance_target;
        }
        let in_flight = (self.fair / US_PER_S).max(f64::MIN_POSITIVE);
        let chance = 1.0 + NOISE / in_flight.sqrt();
        self.input.limits.imbalance_target.max(chance)
    }

    /// Moves the fewest slots that bring the busiest members down, within the churn that is left.
    fn relieve(&mut self) {
        let trigger = self.trigger();
        let settle = 1.0 + (trigger - 1.0) * SETTLE_SHARE;
        // What nobody asks for may move freely: nobody waits for it.
        let churn = if self.is_idle { 1.0 } else { self.input.churn_left };
        let mut churn_left = (churn * self.owners.len() as f64) as usize;
        // Those that nothing can be taken from, such as the owner of one slot that is too much for anybody.
        let mut stuck: Vec<u16> = Vec::new();
        let moves_max = MOVES_MAX.max(self.able.len() / MEMBERS_PER_MOVE);
        let mut moves = 0;
        while moves < moves_max {
            let by_load = |a: &u16, b: &u16| self.relative(*a).total_cmp(&self.relative(*b));
            let movable = self.able.iter().copied().filter(|it| !stuck.contains(it));
            let Some(busiest) = movable.max_by(by_load) else { return };
            let Some(idlest) = self.able.iter().copied().min_by(by_load) else { return };
            if self.relative(busiest) <= trigger || busiest == idlest {
                return;
            }
            let excess = self.carries(busiest) - settle * self.fair * self.weight(busiest);
            let room = self.fair * self.weight(idlest) - self.carries(idlest);
            let wanted = excess.min(room);
            let run = self.window(busiest, idlest, wanted, churn_left);
            let run = run.or_else(|| self.heaviest(busiest, wanted, churn_left));
            let Some(run) = run else {
                stuck.push(busiest);
                continue;
            };
            moves += 1;
            churn_left -= run.len();
            self.relieved[run.first..run.end].fill(true);
            self.give(run, idlest);
        }
    }

    /// The shortest run of the busiest member's slots that carries about `wanted`; of equal ones, one
    /// that leaves fewer runs behind.
    fn window(&self, from: u16, to: u16, wanted: f64, len_max: usize) -> Option<Run> {
        let mut best: Option<(usize, usize, Run)> = None;
        let overrun = self.relative(from) > OVERRUN;
        for run in self.runs(Some(from)) {
            for first in run.first..run.end {
                let Some(end) = self.grow(first, run.end, wanted) else { break };
                let candidate = Run { first, end };
                // It must make things better, not only turn them round.
                let carried = self.cost(candidate);
                let better = self.carries(to) + carried < self.carries(from);
                let free = (first..end).all(|it| self.is_free(it, overrun));
                if !better || !free || candidate.len() > len_max {
                    continue;
                }
                let rank = (candidate.len(), self.cuts(candidate, run, to));
                if best.is_none_or(|it| rank < (it.0, it.1)) {
                    best = Some((rank.0, rank.1, candidate));
                }
            }
        }
        best.map(|it| it.2)
    }

    /// Where no run carries as much as is wanted, the heaviest of those that are free as a whole: owners whose
    /// slots lie in many short runs have no other.
    fn heaviest(&self, from: u16, wanted: f64, len_max: usize) -> Option<Run> {
        let overrun = self.relative(from) > OVERRUN;
        let fits = |it: &Run| {
            let cost = self.cost(*it);
            let free = (it.first..it.end).all(|it| self.is_free(it, overrun));
            free && it.len() <= len_max && cost <= wanted
        };
        let runs = self.runs(Some(from)).into_iter().filter(fits);
        runs.max_by(|a, b| self.cost(*a).total_cmp(&self.cost(*b)))
    }

    /// The end of the shortest run from `first` that carries `wanted`; without its last slot if that
    /// is nearer to it.
    fn grow(&self, first: usize, end_max: usize, wanted: f64) -> Option<usize> {
        let mut carried = 0.0;
        for end in first + 1..=end_max {
            let last = self.costs[end - 1];
            carried += last;
            if carried >= wanted {
                let too_much = carried - wanted > wanted - (carried - last);
                return Some(if too_much && end > first + 1 { end - 1 } else { end });
            }
        }
        None
    }

    fn is_free(&self, slot: usize, overrun: bool) -> bool {
        let rests = self.input.slots[slot].movable_from > self.input.now;
        !self.relieved[slot] && (overrun || !rests)
    }

    /// How many new runs come about when `part` of `run` goes to `to`.
    fn cuts(&self, part: Run, run: Run, to: u16) -> usize {
        let is_to = |slot: Option<usize>| {
            slot.and_then(|it| self.owners.get(it)).is_some_and(|it| *it == Some(to))
        };
        let left = part.first > run.first || !is_to(part.first.checked_sub(1));
        let right = part.end < run.end || !is_to(Some(part.end));
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
                    Some(_) if self.relieved[at] => MoveReason::Rebalance,
                    Some(_) => MoveReason::Leave,
                },
            })
            .collect()
    }

    /// An owner's slots are cut into as many equal parts as there are heirs, and each part is followed by
    /// them in another order: so a loss gives each of them one run, or few. They go by numbers and not by
    /// loads, so that loads do not rewrite the plan.
    fn successors(&self) -> Vec<Vec<u16>> {
        let mut successors = vec![Vec::new(); self.owners.len()];
        for owner in &self.able {
            let others = self.heirs(*owner);
            work::add_entries(self.owners.len() / 8);
            let slots: Vec<usize> =
                (0..self.owners.len()).filter(|it| self.owners[*it] == Some(*owner)).collect();
            for (at, slot) in slots.iter().enumerate() {
                let Some(part) = (at * others.len()).checked_div(slots.len()) else { continue };
                let count = SUCCESSOR_COUNT.min(others.len());
                let heirs = (0..count).map(|it| others[(part + it) % others.len()]);
                successors[*slot] = heirs.collect();
            }
        }
        successors
    }

    /// The others behind the owner, so that not all lean on the same ones.
    fn heirs(&self, owner: u16) -> Vec<u16> {
        let at = self.able.iter().position(|it| *it == owner).unwrap_or(0);
        let behind = self.able[at + 1..].iter();
        behind.chain(&self.able[..at]).take(HEIRS_MAX).copied().collect()
    }
}
