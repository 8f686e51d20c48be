//! Moves that are not optional: of slots and keys without an owner, or whose owner must release them.

use super::{Move, working_plan::WorkingPlan};
use crate::MoveReason;

/// Moves all slots and keys without an eligible owner. Slots move first, in order of decreasing load, each to the
/// member with the lowest relative load after the move.
pub(super) fn forced_moves(plan: &mut WorkingPlan<'_>) -> Vec<Move> {
    if plan.eligible().next().is_none() {
        return Vec::new();
    }
    let mut moves = Vec::new();
    let mut slots: Vec<usize> = (0..plan.slots.len()).collect();
    slots.retain(|it| !is_eligible(plan, plan.slots[*it].owner));
    let load = |it: &usize| plan.slots[*it].total_load();
    slots.sort_by(|a, b| load(b).total_cmp(&load(a)).then(a.cmp(b)));
    for slot in slots {
        let previous = plan.slots[slot].owner;
        let reason = previous.map_or(MoveReason::First, |_| MoveReason::Leave);
        let to = plan.least_loaded(plan.slots[slot].total_load(), None);
        moves.push(plan.move_slot(slot, to.expect("a member is eligible"), reason));
    }
    for key in 0..plan.keys.len() {
        if plan.keys[key].owner.is_none() || is_eligible(plan, plan.keys[key].owner) {
            continue;
        }
        let to = slot_owner_or_least_loaded(plan, key);
        moves.push(plan.move_key(key, to, MoveReason::Leave));
    }
    moves
}

fn is_eligible(plan: &WorkingPlan<'_>, owner: Option<u16>) -> bool {
    owner.is_some_and(|it| plan.weight(it) > 0.0)
}

/// Returns the new owner of a key's entry: `None`, which returns the key to its slot, if the slot's owner stays within
/// the target, otherwise the least loaded member.
fn slot_owner_or_least_loaded(plan: &WorkingPlan<'_>, key: usize) -> Option<u16> {
    let state = plan.keys[key];
    let slot_owner = plan.slots[state.slot].owner.expect("slots were placed first");
    match plan.relative_load(slot_owner, state.load) <= plan.input.limits.imbalance_target {
        true => None,
        false => plan.least_loaded(state.load, None),
    }
}
