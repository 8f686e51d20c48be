//! Which units to take off one overloaded member, and where to.

use std::f64::consts::LN_2;

use model::Slot;

use super::{
    Move, MoveUnit,
    board::{Board, MemberLoad, SlotPlace},
};

/// A key worth less than this share of a member's fair load gets no entry of its own.
const KEY_HOT_SHARE: f64 = 0.005;
/// What moving one hot key costs, next to a slot.
const KEY_COST: f64 = 0.05;
const US_PER_S: f64 = 1e6;
/// A unit is not worth a move below this share of its member's excess.
const RELIEF_MIN: f64 = 0.02;
/// How much lower the busier of two members must end up, over a fair share, when the target is
/// out of reach.
const GAIN_MIN: f64 = 0.02;

/// Levels of load over the fair share.
#[derive(Debug, Clone, Copy)]
pub(super) struct Levels {
    /// Where relief ends.
    pub(super) settle: f64,
    pub(super) target: f64,
}

/// A slot with its following keys, or one key, by index into the board.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Item {
    Slot(usize),
    Key(usize),
}

impl Item {
    /// The share of all keys that an item holds. A key counts as more than it is, for the risk
    /// that goes with a move.
    pub(super) fn churn(self, board: &Board<'_>) -> f64 {
        let slot = 1.0 / board.slots.len() as f64;
        match self {
            Item::Slot(_) => slot,
            Item::Key(_) => slot * KEY_COST,
        }
    }

    pub(super) fn is_moved(self, board: &Board<'_>, moves: &[Move]) -> bool {
        let unit = match self {
            Item::Slot(it) => MoveUnit::Slot(Slot(it as u16)),
            Item::Key(it) => MoveUnit::Key(board.input.keys[it].key_hash),
        };
        moves.iter().any(|it| it.unit == unit)
    }

    fn load(self, board: &Board<'_>) -> f64 {
        match self {
            Item::Slot(it) => board.slots[it].whole_load(),
            Item::Key(it) => board.keys[it].load,
        }
    }

    /// The slot that an item lies in; a slot and its key do not both move.
    fn slot(self, board: &Board<'_>) -> usize {
        match self {
            Item::Slot(it) => it,
            Item::Key(it) => board.keys[it].slot,
        }
    }

    /// Weighs churn against unavailable time, next to a slot with one request in flight. While a
    /// unit moves, all its keys wait for the longest of its requests in flight; that grows with
    /// the logarithm of their number, so few heavy units cost less than many light ones.
    fn cost(self, board: &Board<'_>) -> f64 {
        let availability = board.input.limits.availability_weight.clamp(0.0, 1.0);
        let in_flight = self.load(board) / US_PER_S;
        let wait = in_flight.ln_1p() / LN_2;
        let slot = (1.0 - availability) + availability * wait;
        match self {
            Item::Slot(_) => slot,
            Item::Key(_) => slot * KEY_COST,
        }
    }
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Pick {
    pub(super) item: Item,
    pub(super) to: u16,
    load: f64,
    cost: f64,
}

/// Which unit is tried first. Neither order is best always; the cheaper result is taken.
#[derive(Debug, Clone, Copy)]
enum Order {
    /// Least cost for its relief.
    Price,
    /// Most relief.
    Heaviest,
}

/// Moves off one member.
#[derive(Debug, Default)]
pub(super) struct Relief {
    pub(super) picks: Vec<Pick>,
    /// Load left above the settle level; 0 or less when all is well.
    excess: f64,
    cost: f64,
}

impl Relief {
    /// The relief that gets furthest, at the least cost.
    pub(super) fn cheapest(
        board: &Board<'_>,
        member: u16,
        levels: Levels,
        churn_left: f64,
        moves: &[Move],
    ) -> Relief {
        let items = movable(board, member, moves);
        let worked = [Order::Price, Order::Heaviest].map(|order| {
            let mut work = Work::new(board, member, levels, churn_left, items.clone());
            work.run(order);
            work.relief
        });
        let short = |it: &Relief| it.excess.max(0.0);
        let best = worked
            .into_iter()
            .min_by(|a, b| short(a).total_cmp(&short(b)).then(a.cost.total_cmp(&b.cost)));
        best.expect("there is more than one order")
    }
}

/// What a member could give up.
fn movable(board: &Board<'_>, member: u16, moves: &[Move]) -> Vec<Item> {
    let fair = board.fair * board.weight(member);
    let is_movable =
        |it: &SlotPlace| it.owner == Some(member) && it.is_settled && it.key_load_max <= fair;
    let slots = board.slots.iter().enumerate().filter(|(_, it)| is_movable(it));
    let keys = (0..board.keys.len()).filter(|it| {
        let key = board.keys[*it];
        let is_settled = key.owner.is_some() || board.slots[key.slot].is_settled;
        let is_hot = key.load >= KEY_HOT_SHARE * board.fair;
        board.key_owner(*it) == Some(member) && is_settled && is_hot && key.load <= fair
    });
    let items = slots.map(|(index, _)| Item::Slot(index)).chain(keys.map(Item::Key));
    items.filter(|it| !it.is_moved(board, moves)).collect()
}

/// One way to relieve a member, worked out on a copy of the members' loads.
struct Work<'a> {
    board: &'a Board<'a>,
    member: u16,
    levels: Levels,
    churn_left: f64,
    members: Vec<MemberLoad>,
    items: Vec<Item>,
    relief: Relief,
}

impl<'a> Work<'a> {
    fn new(
        board: &'a Board<'a>,
        member: u16,
        levels: Levels,
        churn_left: f64,
        items: Vec<Item>,
    ) -> Work<'a> {
        let over = board.relative(member, 0.0) - levels.settle;
        let excess = over * board.weight(member) * board.fair;
        let relief = Relief { picks: Vec::new(), excess, cost: 0.0 };
        Work { board, member, levels, churn_left, members: board.members.clone(), items, relief }
    }

    fn run(&mut self, order: Order) {
        while self.relief.excess > 0.0
            && let Some(pick) = self.best(order)
        {
            self.take(pick);
        }
        self.prune();
    }

    /// The best unit that fits under the settle level elsewhere, else under the target, else one
    /// that at least leaves the busier of the two less busy than before.
    fn best(&self, order: Order) -> Option<Pick> {
        let now = self.relative(self.member, 0.0);
        let ceilings = [self.levels.settle, self.levels.target, now - GAIN_MIN];
        ceilings.into_iter().find_map(|ceiling| {
            let picks = self.items.iter().filter_map(|it| self.pick(*it, ceiling));
            // What goes below the settle level, down to the fair load, lasts the longer.
            let reserve = (self.levels.settle - 1.0) * self.fair();
            let relief = |it: &Pick| it.load.min(self.relief.excess + reserve);
            let rank = |it: &Pick| match order {
                Order::Price => it.cost / relief(it),
                Order::Heaviest => -relief(it),
            };
            picks.min_by(|a, b| rank(a).total_cmp(&rank(b)).then(a.load.total_cmp(&b.load)))
        })
    }

    fn pick(&self, item: Item, ceiling: f64) -> Option<Pick> {
        let load = item.load(self.board);
        if load < RELIEF_MIN * self.relief.excess || item.churn(self.board) > self.churn_left {
            return None;
        }
        let others = self.board.able().filter(|it| *it != self.member);
        let relative = |it: &u16| self.relative(*it, load);
        let to = others.min_by(|a, b| relative(a).total_cmp(&relative(b)))?;
        if relative(&to) > ceiling {
            return None;
        }
        Some(Pick { item, to, load, cost: item.cost(self.board) })
    }

    fn take(&mut self, pick: Pick) {
        self.members[usize::from(self.member)].load -= pick.load;
        self.members[usize::from(pick.to)].load += pick.load;
        self.churn_left -= pick.item.churn(self.board);
        self.relief.excess -= pick.load;
        self.relief.cost += pick.cost;
        self.relief.picks.push(pick);
        let slot = pick.item.slot(self.board);
        self.items.retain(|it| match pick.item {
            Item::Slot(_) => it.slot(self.board) != slot,
            Item::Key(_) => *it != pick.item && *it != Item::Slot(slot),
        });
    }

    /// Takes back picks that later ones made needless, the costliest first.
    fn prune(&mut self) {
        let mut order: Vec<Pick> = self.relief.picks.clone();
        order.sort_by(|a, b| b.cost.total_cmp(&a.cost));
        for pick in order {
            if self.relief.excess + pick.load > 0.0 {
                continue;
            }
            self.relief.excess += pick.load;
            self.relief.cost -= pick.cost;
            self.relief.picks.retain(|it| it.item != pick.item);
        }
    }

    fn fair(&self) -> f64 {
        self.board.weight(self.member) * self.board.fair
    }

    fn relative(&self, member: u16, more: f64) -> f64 {
        let it = self.members[usize::from(member)];
        (it.load + more) / (it.weight * self.board.fair)
    }
}
