//! Planner that assigns slots and hot keys to members and chooses their successors.
//!
//! A pure function of the loads, the members and the plan in force; the coordinator carries a proposal out move by
//! move. Members are identified by their index in [`PlannerInput::members`].

mod working_plan;
mod forced;
mod ranges;
mod rebalance;
mod relief;
mod successors;

#[cfg(test)]
mod tests;

use model::{KeyHash, Slot, SlotCount, Timestamp, Zone};

use crate::{Limits, MoveReason};

use working_plan::WorkingPlan;

/// Member that may own slots.
#[derive(Debug, Clone)]
pub struct PlannerMember {
    pub zone: Zone,
    /// Relative share of load that the member should get: its capacity relative to the mean member, 0.0 for a member that
    /// must release all its slots.
    pub weight: f64,
}

/// Current owner, successors and load of a slot.
#[derive(Debug, Clone)]
pub struct PlannerSlot {
    pub slot: Slot,
    pub owner: Option<u16>,
    pub successors: Vec<u16>,
    /// Smoothed load in microseconds of upstream time per second, without the slot's hot keys.
    pub load_us_per_s: f64,
    /// Time before which the slot may not move (hysteresis).
    pub movable_from: Timestamp,
}

/// Hot key: has an entry of its own, or has enough load for one.
#[derive(Debug, Clone)]
pub struct PlannerKey {
    pub key_hash: KeyHash,
    /// Owner of the key's entry; `None` if the key follows its slot.
    pub owner: Option<u16>,
    pub successors: Vec<u16>,
    pub load_us_per_s: f64,
}

/// Input of [`propose`].
#[derive(Debug, Clone)]
pub struct PlannerInput {
    pub now: Timestamp,
    pub slot_count: SlotCount,
    /// Whether the keys have an order that the slots follow; see `planner::ranges`.
    pub ordered: bool,
    pub members: Vec<PlannerMember>,
    /// All slots of the service, in ascending order.
    pub slots: Vec<PlannerSlot>,
    pub keys: Vec<PlannerKey>,
    /// Share of all keys that rebalancing may still move in this minute. First grants and moves away from lost or
    /// leaving members do not count.
    pub churn_left: f64,
    /// Whether slots with ordered keys may move without limit while the service has no load. A new coordinator has
    /// received no loads yet, so to it a busy service looks idle.
    pub may_move_idle: bool,
    pub limits: Limits,
}

/// Unit of a move: a whole slot or one hot key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MoveUnit {
    Slot(Slot),
    Key(KeyHash),
}

/// Move of a slot or hot key to another member.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    pub unit: MoveUnit,
    pub from: Option<u16>,
    /// New owner; `None` for a key that follows its slot again.
    pub to: Option<u16>,
    pub reason: MoveReason,
}

/// Proposed changes to the plan.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Proposal {
    /// Moves in order of decreasing urgency.
    pub moves: Vec<Move>,
    /// Successors of each slot after the moves, in order of preference. They are spread over the members and, if
    /// possible, in another availability zone than the owner.
    pub successors: Vec<Vec<u16>>,
    /// Successors of each key in [`PlannerInput::keys`] that has an entry after the moves.
    pub key_successors: Vec<(KeyHash, Vec<u16>)>,
}

/// Number of successors of each slot, if there are enough members.
pub const SUCCESSOR_COUNT: usize = 3;

/// Proposes moves and successors.
///
/// # Panics
///
/// Panics if a slot is missing from the input or an index does not refer to a member.
pub fn propose(input: &PlannerInput) -> Proposal {
    if input.ordered {
        return ranges::propose(input);
    }
    let mut plan = WorkingPlan::new(input);
    let mut moves = forced::forced_moves(&mut plan);
    rebalance::relieve(&mut plan, &mut moves);
    rebalance::drop_key_entries(&mut plan, &mut moves);
    let successors = successors::successors(&plan);
    Proposal { moves, successors: successors.slots, key_successors: successors.keys }
}
