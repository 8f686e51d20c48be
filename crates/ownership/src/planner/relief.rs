//! Selection of the slots and keys to move away from one overloaded member, and of their new owners.

use std::f64::consts::LN_2;

use model::Slot;

use super::{
    Move, MoveUnit,
    working_plan::{MemberLoad, SlotState, WorkingPlan},
};

/// Minimum load of a key that may get an entry of its own, as a share of a member's fair load.
const KEY_HOT_SHARE: f64 = 0.005;
/// Cost of moving one hot key, relative to a slot.
const KEY_COST_RATIO: f64 = 0.05;
const US_PER_S: f64 = 1e6;
/// Minimum load of a slot or key that is worth a move, as a share of its member's excess.
const RELIEF_SHARE_MIN: f64 = 0.02;
/// Minimum reduction of the relative load of the busier of two members by a move if the target cannot be reached.
const IMPROVEMENT_MIN: f64 = 0.02;

/// Thresholds of a member's load relative to its fair load.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadLevels {
    /// Level at which relief stops.
    pub(super) settle: f64,
    /// Level that no member should exceed.
    pub(super) target: f64,
}

/// Candidate for a move: a slot with the keys that follow it, or one key, by index into the working plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Candidate {
    Slot(usize),
    Key(usize),
}

impl Candidate {
    /// Returns the churn of the move as a share of all keys. A single key counts as more than its share, to account for
    /// the risk of a move.
    pub(super) fn churn(self, plan: &WorkingPlan<'_>) -> f64 {
        let slot = 1.0 / plan.slots.len() as f64;
        match self {
            Candidate::Slot(_) => slot,
            Candidate::Key(_) => slot * KEY_COST_RATIO,
        }
    }

    pub(super) fn has_move(self, plan: &WorkingPlan<'_>, moves: &[Move]) -> bool {
        let unit = match self {
            Candidate::Slot(it) => MoveUnit::Slot(Slot(it as u16)),
            Candidate::Key(it) => MoveUnit::Key(plan.input.keys[it].key_hash),
        };
        moves.iter().any(|it| it.unit == unit)
    }

    fn load(self, plan: &WorkingPlan<'_>) -> f64 {
        match self {
            Candidate::Slot(it) => plan.slots[it].total_load(),
            Candidate::Key(it) => plan.keys[it].load,
        }
    }

    /// Returns the slot that the candidate belongs to. A slot and one of its keys do not both move.
    fn slot(self, plan: &WorkingPlan<'_>) -> usize {
        match self {
            Candidate::Slot(it) => it,
            Candidate::Key(it) => plan.keys[it].slot,
        }
    }

    /// Returns the cost of the move as a weighted sum of churn and unavailable time, relative to a slot with one
    /// request in flight. During a move all keys wait for the longest request in flight. That time grows with the
    /// logarithm of the number of requests, so a few heavy moves cost less than many light ones.
    fn cost(self, plan: &WorkingPlan<'_>) -> f64 {
        let availability = plan.input.limits.availability_weight.clamp(0.0, 1.0);
        let in_flight = self.load(plan) / US_PER_S;
        let wait = in_flight.ln_1p() / LN_2;
        let slot = (1.0 - availability) + availability * wait;
        match self {
            Candidate::Slot(_) => slot,
            Candidate::Key(_) => slot * KEY_COST_RATIO,
        }
    }
}

/// Candidate that was selected for a move, with its new owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct Selection {
    pub(super) candidate: Candidate,
    pub(super) to: u16,
    load: f64,
    cost: f64,
}

/// Order in which candidates are tried. Neither order is always best, so both are tried and the cheaper result is used.
#[derive(Debug, Clone, Copy)]
enum Order {
    /// Lowest cost per relieved load first.
    CostPerRelief,
    /// Highest relieved load first.
    Heaviest,
}

/// Moves that relieve one member.
#[derive(Debug, Default)]
pub(super) struct Relief {
    pub(super) selections: Vec<Selection>,
    /// Remaining load above the settle level; 0 or less if relief is complete.
    excess: f64,
    /// Total cost of the moves.
    cost: f64,
}

impl Relief {
    /// Returns the relief with the lowest remaining excess, and among equal ones the cheapest.
    pub(super) fn cheapest(
        plan: &WorkingPlan<'_>,
        member: u16,
        levels: LoadLevels,
        churn_left: f64,
        moves: &[Move],
    ) -> Relief {
        let candidates = movable_candidates(plan, member, moves);
        let results = [Order::CostPerRelief, Order::Heaviest].map(|order| {
            let mut search = Search::new(plan, member, levels, churn_left, candidates.clone());
            search.run(order);
            search.relief
        });
        let shortfall = |it: &Relief| it.excess.max(0.0);
        let best = results
            .into_iter()
            .min_by(|a, b| shortfall(a).total_cmp(&shortfall(b)).then(a.cost.total_cmp(&b.cost)));
        best.expect("there is more than one order")
    }
}

/// Returns the slots and keys of a member that may move. A key with more than the fair load of any member stays.
fn movable_candidates(plan: &WorkingPlan<'_>, member: u16, moves: &[Move]) -> Vec<Candidate> {
    let weight_max = plan.eligible().map(|it| plan.weight(it)).fold(0.0, f64::max);
    let fair_load = plan.fair_load * weight_max;
    let is_movable =
        |it: &SlotState| it.owner == Some(member) && it.may_move && it.key_load_max <= fair_load;
    let slots = plan.slots.iter().enumerate().filter(|(_, it)| is_movable(it));
    let keys = (0..plan.keys.len()).filter(|it| {
        let key = plan.keys[*it];
        let may_move = key.owner.is_some() || plan.slots[key.slot].may_move;
        let is_hot = key.load >= KEY_HOT_SHARE * plan.fair_load;
        plan.key_owner(*it) == Some(member) && may_move && is_hot && key.load <= fair_load
    });
    let candidates = slots.map(|(index, _)| Candidate::Slot(index)).chain(keys.map(Candidate::Key));
    candidates.filter(|it| !it.has_move(plan, moves)).collect()
}

/// Search for the moves that relieve one member, on a copy of the members' loads.
struct Search<'a> {
    plan: &'a WorkingPlan<'a>,
    member: u16,
    levels: LoadLevels,
    churn_left: f64,
    members: Vec<MemberLoad>,
    candidates: Vec<Candidate>,
    relief: Relief,
}

impl<'a> Search<'a> {
    fn new(
        plan: &'a WorkingPlan<'a>,
        member: u16,
        levels: LoadLevels,
        churn_left: f64,
        candidates: Vec<Candidate>,
    ) -> Search<'a> {
        let excess_share = plan.relative_load(member, 0.0) - levels.settle;
        let excess = excess_share * plan.weight(member) * plan.fair_load;
        let relief = Relief { selections: Vec::new(), excess, cost: 0.0 };
        Search {
            plan,
            member,
            levels,
            churn_left,
            members: plan.members.clone(),
            candidates,
            relief,
        }
    }

    fn run(&mut self, order: Order) {
        while self.relief.excess > 0.0
            && let Some(selection) = self.best_selection(order)
        {
            self.apply(selection);
        }
        self.drop_redundant();
    }

    /// Returns the best candidate whose new owner stays below the settle level; if there is none, below the target; if
    /// there is none, below the member's current load.
    fn best_selection(&self, order: Order) -> Option<Selection> {
        let current = self.relative_load(self.member, 0.0);
        let ceilings = [self.levels.settle, self.levels.target, current - IMPROVEMENT_MIN];
        ceilings.into_iter().find_map(|ceiling| {
            let selections = self.candidates.iter().filter_map(|it| self.select(*it, ceiling));
            // Relief below the settle level, down to the fair load, counts too: the next relief is needed later.
            let reserve = (self.levels.settle - 1.0) * self.fair_load();
            let relief = |it: &Selection| it.load.min(self.relief.excess + reserve);
            let rank = |it: &Selection| match order {
                Order::CostPerRelief => it.cost / relief(it),
                Order::Heaviest => -relief(it),
            };
            selections.min_by(|a, b| rank(a).total_cmp(&rank(b)).then(a.load.total_cmp(&b.load)))
        })
    }

    fn select(&self, candidate: Candidate, ceiling: f64) -> Option<Selection> {
        let load = candidate.load(self.plan);
        if load < RELIEF_SHARE_MIN * self.relief.excess
            || candidate.churn(self.plan) > self.churn_left
        {
            return None;
        }
        let others = self.plan.eligible().filter(|it| *it != self.member);
        let relative = |it: &u16| self.relative_load(*it, load);
        let to = others.min_by(|a, b| relative(a).total_cmp(&relative(b)))?;
        if relative(&to) > ceiling {
            return None;
        }
        Some(Selection { candidate, to, load, cost: candidate.cost(self.plan) })
    }

    fn apply(&mut self, selection: Selection) {
        self.members[usize::from(self.member)].load -= selection.load;
        self.members[usize::from(selection.to)].load += selection.load;
        self.churn_left -= selection.candidate.churn(self.plan);
        self.relief.excess -= selection.load;
        self.relief.cost += selection.cost;
        self.relief.selections.push(selection);
        let slot = selection.candidate.slot(self.plan);
        self.candidates.retain(|it| match selection.candidate {
            Candidate::Slot(_) => it.slot(self.plan) != slot,
            Candidate::Key(_) => *it != selection.candidate && *it != Candidate::Slot(slot),
        });
    }

    /// Drops selections that later ones have made unnecessary, the most expensive first.
    fn drop_redundant(&mut self) {
        let mut order: Vec<Selection> = self.relief.selections.clone();
        order.sort_by(|a, b| b.cost.total_cmp(&a.cost));
        for selection in order {
            if self.relief.excess + selection.load > 0.0 {
                continue;
            }
            self.relief.excess += selection.load;
            self.relief.cost -= selection.cost;
            self.relief.selections.retain(|it| it.candidate != selection.candidate);
        }
    }

    fn fair_load(&self) -> f64 {
        self.plan.weight(self.member) * self.plan.fair_load
    }

    fn relative_load(&self, member: u16, extra: f64) -> f64 {
        let it = self.members[usize::from(member)];
        (it.load + extra) / (it.weight * self.plan.fair_load)
    }
}
