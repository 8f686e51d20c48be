//! Which member should own which slot and hot key, and who follows it when it is lost.
//!
//! A pure function of loads, members and the plan in force; the protocol carries a proposal out
//! move by move. Members are named by their index in [`PlannerInput::members`].

use model::{KeyHash, Slot, SlotCount, Timestamp, Zone};

use crate::{Limits, MoveReason};

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
    pub settled_until: Timestamp,
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
pub enum Unit {
    Slot(Slot),
    Key(KeyHash),
}

/// One move, most urgent first.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    pub unit: Unit,
    pub from: Option<u16>,
    /// None only for [`Unit::Key`]: the key follows its slot again.
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
pub fn propose(input: &PlannerInput) -> Proposal {
    let mut owned = vec![0_usize; input.members.len()];
    for slot in &input.slots {
        if let Some(owner) = slot.owner {
            owned[usize::from(owner)] += 1;
        }
    }
    let mut proposal = Proposal::default();
    for slot in &input.slots {
        let owner = match slot.owner {
            Some(owner) if input.members[usize::from(owner)].weight > 0.0 => Some(owner),
            former => {
                let to = least_owned(&input.members, &owned);
                if let Some(to) = to {
                    owned[usize::from(to)] += 1;
                    let reason = former.map_or(MoveReason::First, |_| MoveReason::Leave);
                    proposal.moves.push(Move {
                        unit: Unit::Slot(slot.slot),
                        from: former,
                        to: Some(to),
                        reason,
                    });
                }
                to
            }
        };
        proposal.successors.push(successors(input, slot.slot, owner));
    }
    proposal
}

fn least_owned(members: &[PlannerMember], owned: &[usize]) -> Option<u16> {
    let able = (0..members.len()).filter(|it| members[*it].weight > 0.0);
    able.min_by_key(|it| owned[*it]).map(|it| it as u16)
}

fn successors(input: &PlannerInput, slot: Slot, owner: Option<u16>) -> Vec<u16> {
    let Some(owner) = owner else { return Vec::new() };
    let zone = &input.members[usize::from(owner)].zone;
    let mut others: Vec<u16> = (0..input.members.len() as u16)
        .filter(|it| *it != owner && input.members[usize::from(*it)].weight > 0.0)
        .collect();
    let len = others.len().max(1);
    others.rotate_left(usize::from(slot.0) % len);
    others.sort_by_key(|it| input.members[usize::from(*it)].zone == *zone);
    others.truncate(SUCCESSOR_COUNT);
    others
}
