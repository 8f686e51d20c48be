//! Moves that even out the load: as few as bring every member under the target.
//!
//! A member above the trigger is relieved until it is below the settle level. The cost of a move
//! weighs churn (each slot alike) against unavailable time (busy slots more). A hot key may go
//! alone, which moves next to no keys; but one hotter than a fair share stays, and its member is
//! relieved of others.

use super::{
    Move,
    board::Board,
    relief::{Item, Levels, Relief},
};
use crate::MoveReason;

/// Where in the band from 1 to the target a member starts to be relieved, and where it ends.
const TRIGGER: f64 = 0.9;
const SETTLE: f64 = 0.75;
/// An entry of a key that is worth less than this share of a member's fair load is dropped.
const KEY_COLD_SHARE: f64 = 0.01;

/// Relieves overloaded members, the most overloaded first, within the churn left. What `moves`
/// holds already does not move again.
pub(super) fn relieve(board: &mut Board<'_>, moves: &mut Vec<Move>) {
    if board.fair <= 0.0 {
        return;
    }
    let target = board.input.limits.imbalance_target.max(1.0);
    let at = |share: f64| 1.0 + (target - 1.0) * share;
    let levels = Levels { settle: at(SETTLE), target };
    let mut churn_left = board.input.churn_left;
    let mut overloaded: Vec<u16> =
        board.able().filter(|it| board.relative(*it, 0.0) > at(TRIGGER)).collect();
    let relative = |it: &u16| board.relative(*it, 0.0);
    overloaded.sort_by(|a, b| relative(b).total_cmp(&relative(a)).then(a.cmp(b)));
    for member in overloaded {
        let relief = Relief::cheapest(board, member, levels, churn_left, moves);
        for it in relief.picks {
            churn_left -= it.item.churn(board);
            moves.push(match it.item {
                Item::Slot(slot) => board.move_slot(slot, it.to, MoveReason::Rebalance),
                Item::Key(key) => board.move_key(key, Some(it.to), MoveReason::Rebalance),
            });
        }
    }
}

/// Drops the entries of keys that have gone cold, or that lie with their slot anyway.
pub(super) fn drop_keys(board: &mut Board<'_>, moves: &mut Vec<Move>) {
    for key in 0..board.keys.len() {
        let place = board.keys[key];
        let (Some(owner), Some(home)) = (place.owner, board.slots[place.slot].owner) else {
            continue;
        };
        let is_cold = place.load < KEY_COLD_SHARE * board.fair;
        if (owner == home || is_cold) && !Item::Key(key).is_moved(board, moves) {
            moves.push(board.move_key(key, None, MoveReason::Rebalance));
        }
    }
}
