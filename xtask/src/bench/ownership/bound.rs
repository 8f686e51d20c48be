//! Lower bound on the moves that any plan needs to get from one placement to a given imbalance.

use std::collections::BTreeMap;

use super::{
    view::{View, fair_load, member_loads},
    workload::Workload,
};

/// Share of a member's fair load from which a key counts as hot.
const HOT_SHARE: f64 = 0.02;

/// Lower bounds on the moved keys, as shares of all keys.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MinimalMoves {
    /// Bound if any key may move alone.
    pub(super) by_key: f64,
    /// Bound if keys move with their slot, and only hot keys may move alone.
    pub(super) by_unit: f64,
}

/// Unit of keys that move together.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Movable {
    keys: f64,
    load: f64,
}

/// Returns a lower bound on the share of all keys that have to move until no member has more than
/// `level` times its fair load. Each overloaded member sheds the units with the highest load per key
/// first, the last one partly. If it sheds its heaviest unit, the keys that the new owner has to shed
/// in turn are counted too; the capacity of new owners is ignored otherwise. No real plan moves fewer
/// keys.
pub(super) fn least_moved(
    view: &View<'_>,
    level: f64,
    movable: impl Fn(&View<'_>, usize) -> Vec<Movable>,
) -> f64 {
    let fair_load = fair_load(view.members, view.loads_us_per_s);
    let sums = member_loads(view.members.len(), view.owners, view.loads_us_per_s);
    let excess = |member: usize| sums[member] - level * view.members[member].weight * fair_load;
    let mut moved = 0.0;
    for member in 0..view.members.len() {
        if view.members[member].weight == 0.0 {
            moved += view.owners.iter().filter(|it| **it == Some(member)).count() as f64;
        } else if excess(member) > 0.0 {
            let room_for = |load: f64| {
                let others = view.available_members().filter(|it| *it != member);
                let more = |it: usize| {
                    let movable = movable(view, it);
                    min_keys_moved(&movable, excess(it) + load)
                        - min_keys_moved(&movable, excess(it))
                };
                others.map(more).fold(f64::INFINITY, f64::min)
            };
            moved += min_keys_moved_with_room(movable(view, member), excess(member), room_for);
        }
    }
    moved / view.keys.len() as f64
}

/// Returns the same as [`min_keys_moved`], but the heaviest unit either stays, or moves as a whole and
/// its new owner has to shed load for it.
fn min_keys_moved_with_room(
    mut movable: Vec<Movable>,
    excess: f64,
    room_for: impl Fn(f64) -> f64,
) -> f64 {
    let heavier = |a: &(usize, &Movable), b: &(usize, &Movable)| a.1.load.total_cmp(&b.1.load);
    let Some((index, _)) = movable.iter().enumerate().max_by(heavier) else { return 0.0 };
    let heaviest = movable.swap_remove(index);
    let rest: f64 = movable.iter().map(|it| it.load).sum();
    let moved_whole =
        heaviest.keys + room_for(heaviest.load) + min_keys_moved(&movable, excess - heaviest.load);
    // The tolerance covers rounding: sums in a different order differ in their last digits.
    match rest >= excess * (1.0 - 1e-9) {
        true => min_keys_moved(&movable, excess).min(moved_whole),
        false => moved_whole,
    }
}

/// Returns the least number of keys whose load adds up to `excess`, the last unit in part.
fn min_keys_moved(movable: &[Movable], mut excess: f64) -> f64 {
    let density = |it: &Movable| it.load / it.keys;
    let mut order: Vec<&Movable> = movable.iter().collect();
    order.sort_by(|a, b| density(b).total_cmp(&density(a)));
    let mut moved = 0.0;
    for it in order {
        if excess <= 0.0 || it.load <= 0.0 {
            break;
        }
        moved += it.keys * (excess / it.load).min(1.0);
        excess -= it.load;
    }
    moved
}

/// Returns each key of a member as a unit.
pub(super) fn single_keys(view: &View<'_>, member: usize) -> Vec<Movable> {
    let own = (0..view.keys.len()).filter(|it| view.owners[*it] == Some(member));
    own.map(|it| Movable { keys: 1.0, load: view.loads_us_per_s[it] }).collect()
}

/// Returns the hot keys of a member, and each of its slots without them, as units.
pub(super) fn slots_and_hot_keys(
    workload: &Workload,
) -> impl Fn(&View<'_>, usize) -> Vec<Movable> + '_ {
    |view, member| {
        let hot = HOT_SHARE * fair_load(view.members, view.loads_us_per_s);
        let mut slots: BTreeMap<u16, Movable> = BTreeMap::new();
        let mut all = Vec::new();
        for key in (0..view.keys.len()).filter(|it| view.owners[*it] == Some(member)) {
            let load = view.loads_us_per_s[key];
            if load >= hot {
                all.push(Movable { keys: 1.0, load });
                continue;
            }
            let slot = slots.entry(workload.slot_count.slot_of(view.keys[key]).0).or_default();
            slot.keys += 1.0;
            slot.load += load;
        }
        all.extend(slots.into_values());
        all
    }
}
