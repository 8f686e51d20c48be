//! Which member should own which slot and hot key, and who follows it when it is lost.
//!
//! A pure function of loads, members and the plan in force; the protocol carries a proposal out
//! move by move. Members are named by their index in [`PlannerInput::members`].

mod board;
mod forced;
mod ranges;
mod rebalance;
mod relief;
mod successors;

#[cfg(test)]
mod tests;

use model::{KeyHash, Slot, SlotCount, Timestamp, Zone};

use crate::{Limits, MoveReason};

use board::Board;

/// A member that may own slots.
#[derive(Debug, Clone)]
pub struct PlannerMember {
    pub zone: Zone,
    /// 1.0 for a warm upstream, less while it ramps up, 0.0 for one that must give up all it has.
    pub weight: f64,
}

/// A slot as it stands.
#[derive(Debug, Clone)]
pub struct PlannerSlot {
    pub slot: Slot,
    pub owner: Option<u16>,
    pub successors: Vec<u16>,
    /// Smoothed load, in microseconds of upstream time a second, without its hot keys.
    pub load_us_per_s: f64,
    /// The slot may not move before this time (hysteresis).
    pub movable_from: Timestamp,
}

/// A key with, or worth, an entry of its own.
#[derive(Debug, Clone)]
pub struct PlannerKey {
    pub key_hash: KeyHash,
    /// The owner of its entry; none: it still follows its slot.
    pub owner: Option<u16>,
    pub successors: Vec<u16>,
    pub load_us_per_s: f64,
}

/// All that a proposal rests on.
#[derive(Debug, Clone)]
pub struct PlannerInput {
    pub now: Timestamp,
    pub slot_count: SlotCount,
    /// Whether the order of slots means something: see `planner::ranges`.
    pub ordered: bool,
    pub members: Vec<PlannerMember>,
    /// One for each slot, in order.
    pub slots: Vec<PlannerSlot>,
    pub keys: Vec<PlannerKey>,
    /// The share of all keys that may still move in this minute for rebalancing; moves off lost or
    /// leaving members and first grants are free of it.
    pub churn_left: f64,
    pub limits: Limits,
}

/// What is to move: a whole slot, or one hot key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MoveUnit {
    Slot(Slot),
    Key(KeyHash),
}

/// One move, most urgent first.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    pub unit: MoveUnit,
    pub from: Option<u16>,
    /// None only for [`MoveUnit::Key`]: the key follows its slot again.
    pub to: Option<u16>,
    pub reason: MoveReason,
}

/// The proposed plan.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Proposal {
    pub moves: Vec<Move>,
    /// For each slot, in order: the successors after the moves, first choice first; of another
    /// availability zone than the owner where there is one, and spread over the members.
    pub successors: Vec<Vec<u16>>,
    /// The same for each of [`PlannerInput::keys`] that keeps an entry.
    pub key_successors: Vec<(KeyHash, Vec<u16>)>,
}

/// How many successors each slot has, if there are as many members.
pub const SUCCESSOR_COUNT: usize = 3;

/// Proposes moves and successors.
///
/// Panics if a slot is missing from the input or an index names no member: both are faults of the
/// caller.
pub fn propose(input: &PlannerInput) -> Proposal {
    if input.ordered {
        return ranges::propose(input);
    }
    let mut board = Board::new(input);
    let mut moves = forced::moves(&mut board);
    rebalance::relieve(&mut board, &mut moves);
    rebalance::drop_keys(&mut board, &mut moves);
    let successors = successors::successors(&board);
    Proposal { moves, successors: successors.slots, key_successors: successors.keys }
}
