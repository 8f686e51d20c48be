//! Moves that balance the load, as few as needed to bring every member below the target.
//!
//! A member above the trigger is relieved until it is below the settle level. The cost of a move weighs churn, which
//! is the same for each slot, against unavailable time, which depends on the requests in flight. A hot key may move
//! without its slot, which causes almost no churn. A key with more than any member's fair load stays, and its member is
//! relieved of other slots and keys.

use super::{
    Move,
    relief::{Candidate, LoadLevels, Relief},
    working_plan::WorkingPlan,
};
use crate::MoveReason;

/// Relative load that triggers relief if low churn has priority, as a share of the distance from 1 to the target.
const TRIGGER_SHARE_MAX: f64 = 1.0;
/// Relative load that triggers relief if availability has priority, as a share of the same distance. Lower, since all
/// keys of an overloaded member wait.
const TRIGGER_SHARE_MIN: f64 = 0.9;
/// Difference between the trigger and the settle level, as a share of the same distance.
const HYSTERESIS_SHARE: f64 = 0.05;
/// Settle level under a light load, as a share of the distance from 1 to the significance threshold.
const SETTLE_SIGNIFICANT_SHARE: f64 = 0.8;
/// Load below which a key with an entry is cold, as a share of a member's fair load.
const KEY_COLD_SHARE: f64 = 0.001;
/// Number of entries of cold keys that are kept, since dropping an entry moves its key. The coldest are dropped first.
const COLD_ENTRIES_MAX: usize = 64;

/// Relieves overloaded members, the most overloaded first, within the remaining churn budget. Slots and keys in `moves`
/// do not move again.
pub(super) fn relieve(plan: &mut WorkingPlan<'_>, moves: &mut Vec<Move>) {
    if plan.fair_load <= 0.0 {
        return;
    }
    let target = plan.input.limits.imbalance_target.max(1.0);
    let at = |share: f64| 1.0 + (target - 1.0) * share;
    let availability = plan.input.limits.availability_weight.clamp(0.0, 1.0);
    let trigger = TRIGGER_SHARE_MAX + (TRIGGER_SHARE_MIN - TRIGGER_SHARE_MAX) * availability;
    let significant = plan.significance_threshold();
    let settle =
        at(trigger - HYSTERESIS_SHARE).max(1.0 + (significant - 1.0) * SETTLE_SIGNIFICANT_SHARE);
    let trigger = at(trigger).max(significant);
    let levels = LoadLevels { settle, target: target.max(settle) };
    let mut churn_left = plan.input.churn_left;
    let mut overloaded: Vec<u16> =
        plan.eligible().filter(|it| plan.relative_load(*it, 0.0) > trigger).collect();
    let relative = |it: &u16| plan.relative_load(*it, 0.0);
    overloaded.sort_by(|a, b| relative(b).total_cmp(&relative(a)).then(a.cmp(b)));
    for member in overloaded {
        let relief = Relief::cheapest(plan, member, levels, churn_left, moves);
        for it in relief.selections {
            churn_left -= it.candidate.churn(plan);
            moves.push(match it.candidate {
                Candidate::Slot(slot) => plan.move_slot(slot, it.to, MoveReason::Rebalance),
                Candidate::Key(key) => plan.move_key(key, Some(it.to), MoveReason::Rebalance),
            });
        }
    }
}

/// Drops the entries of keys that have the same owner as their slot, and the coldest ones if too many are cold.
pub(super) fn drop_key_entries(plan: &mut WorkingPlan<'_>, moves: &mut Vec<Move>) {
    let entries = (0..plan.keys.len()).filter(|it| plan.keys[*it].owner.is_some());
    let entries = entries.filter(|it| !Candidate::Key(*it).has_move(plan, moves));
    let slot_owner = |it: &usize| plan.slots[plan.keys[*it].slot].owner;
    let (mut dropped, not_with_slot): (Vec<usize>, Vec<usize>) =
        entries.partition(|it| slot_owner(it) == plan.keys[*it].owner);
    let load = |it: &usize| plan.keys[*it].load;
    let mut cold = not_with_slot;
    cold.retain(|it| load(it) < KEY_COLD_SHARE * plan.fair_load);
    cold.sort_by(|a, b| load(b).total_cmp(&load(a)).then(a.cmp(b)));
    dropped.extend(cold.into_iter().skip(COLD_ENTRIES_MAX));
    for key in dropped {
        moves.push(plan.move_key(key, None, MoveReason::Rebalance));
    }
}
