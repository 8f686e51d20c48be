//! Moves that even out the load: as few as bring every member under the target.
//!
//! A member above the trigger is relieved until it is below the settle level. The cost of a move
//! weighs churn (each slot alike) against unavailable time (what waits, how long). A hot key may go
//! alone, which moves next to no keys; but one hotter than a fair share stays, and its member is
//! relieved of others.

use super::{
    Move,
    board::Board,
    relief::{Item, Levels, Relief},
};
use crate::MoveReason;

/// Where in the band from 1 to the target a member starts to be relieved: at the target itself if
/// churn is spared above all, earlier the more unavailable time weighs, since an overloaded
/// member makes all its keys wait.
const TRIGGER_MAX: f64 = 1.0;
const TRIGGER_MIN: f64 = 0.9;
/// How much lower in the band relief ends.
const HYSTERESIS: f64 = 0.05;
/// Where relief ends, as a share of what is no chance, when the load is light.
const SETTLE_SIGNIFICANT: f64 = 0.8;
/// A key with an entry is cold below this share of a member's fair load.
const KEY_COLD_SHARE: f64 = 0.001;
/// Entries of cold keys that are kept, since dropping one moves its key. The coldest go first.
const COLD_ENTRIES_MAX: usize = 64;

/// Relieves overloaded members, the most overloaded first, within the churn left. What `moves`
/// holds already does not move again.
pub(super) fn relieve(board: &mut Board<'_>, moves: &mut Vec<Move>) {
    if board.fair <= 0.0 {
        return;
    }
    let target = board.input.limits.imbalance_target.max(1.0);
    let at = |share: f64| 1.0 + (target - 1.0) * share;
    let availability = board.input.limits.availability_weight.clamp(0.0, 1.0);
    let trigger = TRIGGER_MAX + (TRIGGER_MIN - TRIGGER_MAX) * availability;
    let significant = board.significant();
    let settle = at(trigger - HYSTERESIS).max(1.0 + (significant - 1.0) * SETTLE_SIGNIFICANT);
    let trigger = at(trigger).max(significant);
    let levels = Levels { settle, target: target.max(settle) };
    let mut churn_left = board.input.churn_left;
    let mut overloaded: Vec<u16> =
        board.able().filter(|it| board.relative(*it, 0.0) > trigger).collect();
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

/// Drops entries of keys that lie with their slot anyway, and the coldest if too many are cold.
pub(super) fn drop_keys(board: &mut Board<'_>, moves: &mut Vec<Move>) {
    let entries = (0..board.keys.len()).filter(|it| board.keys[*it].owner.is_some());
    let entries = entries.filter(|it| !Item::Key(*it).is_moved(board, moves));
    let home = |it: &usize| board.slots[board.keys[*it].slot].owner;
    let (mut dropped, away): (Vec<usize>, Vec<usize>) =
        entries.partition(|it| home(it) == board.keys[*it].owner);
    let load = |it: &usize| board.keys[*it].load;
    let mut cold = away;
    cold.retain(|it| load(it) < KEY_COLD_SHARE * board.fair);
    cold.sort_by(|a, b| load(b).total_cmp(&load(a)).then(a.cmp(b)));
    dropped.extend(cold.into_iter().skip(COLD_ENTRIES_MAX));
    for key in dropped {
        moves.push(board.move_key(key, None, MoveReason::Rebalance));
    }
}
