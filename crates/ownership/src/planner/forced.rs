//! Moves that can't wait: slots and keys without an owner, or whose owner must give them up.

use super::{Move, board::Board};
use crate::MoveReason;

/// Places what has no able owner, the heaviest first, each where it makes the least load.
pub(super) fn moves(board: &mut Board<'_>) -> Vec<Move> {
    if board.able().next().is_none() {
        return Vec::new();
    }
    let mut moves = Vec::new();
    let mut slots: Vec<usize> = (0..board.slots.len()).collect();
    slots.retain(|it| !is_able(board, board.slots[*it].owner));
    let load = |it: &usize| board.slots[*it].whole_load();
    slots.sort_by(|a, b| load(b).total_cmp(&load(a)).then(a.cmp(b)));
    for slot in slots {
        let former = board.slots[slot].owner;
        let reason = former.map_or(MoveReason::First, |_| MoveReason::Leave);
        let to = board.least_loaded(board.slots[slot].whole_load(), None);
        moves.push(board.move_slot(slot, to.expect("a member is able"), reason));
    }
    for key in 0..board.keys.len() {
        if board.keys[key].owner.is_none() || is_able(board, board.keys[key].owner) {
            continue;
        }
        let to = home_or_least_loaded(board, key);
        moves.push(board.move_key(key, to, MoveReason::Leave));
    }
    moves
}

fn is_able(board: &Board<'_>, owner: Option<u16>) -> bool {
    owner.is_some_and(|it| board.weight(it) > 0.0)
}

/// None, so back to its slot, where that leaves its owner under the target.
fn home_or_least_loaded(board: &Board<'_>, key: usize) -> Option<u16> {
    let place = board.keys[key];
    let home = board.slots[place.slot].owner.expect("slots were placed first");
    match board.relative(home, place.load) <= board.input.limits.imbalance_target {
        true => None,
        false => board.least_loaded(place.load, None),
    }
}
