//! Owners and loads after the moves of a proposal so far.

use model::Slot;

use super::{Move, MoveUnit, PlannerInput};
use crate::MoveReason;

/// Load that is added to each slot, as a share of the mean slot's load. Spreads idle slots as well, and lets a member
/// that gets only idle slots reach its fair load.
const IDLE_SHARE: f64 = 0.02;
/// Load of each slot while slots are placed by number. The value is arbitrary.
const UNIFORM_LOAD: f64 = 1.0;

/// Mean requests in flight per member below which slots are placed by number. Such a small load is mostly random, and
/// does not predict the load after a sudden increase.
const QUIET_IN_FLIGHT_PER_MEMBER: f64 = 0.05;
const US_PER_S: f64 = 1e6;
/// Relative standard deviation of a smoothed load of one request in flight, which is about 100 requests per second
/// smoothed over a few seconds.
const RELATIVE_NOISE: f64 = 0.06;
/// Number of standard deviations above the mean from which a load is significant.
const SIGNIFICANT_SIGMAS: f64 = 3.0;

/// Weight of a member, and its load after the moves so far.
#[derive(Debug, Clone, Copy)]
pub(super) struct MemberLoad {
    pub(super) weight: f64,
    pub(super) load: f64,
}

/// Owner and load of a slot after the moves so far.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlotState {
    pub(super) owner: Option<u16>,
    /// Load without hot keys.
    pub(super) load: f64,
    /// Total load of the hot keys that follow the slot.
    pub(super) keys_load: f64,
    /// Highest load of a hot key that follows the slot.
    pub(super) key_load_max: f64,
    pub(super) may_move: bool,
}

impl SlotState {
    pub(super) fn total_load(&self) -> f64 {
        self.load + self.keys_load
    }
}

/// Owner and load of a hot key after the moves so far.
#[derive(Debug, Clone, Copy)]
pub(super) struct KeyState {
    /// Owner of the key's entry; `None` if the key follows its slot.
    pub(super) owner: Option<u16>,
    pub(super) slot: usize,
    pub(super) load: f64,
}

/// Plan that is modified move by move while a proposal is computed.
pub(super) struct WorkingPlan<'a> {
    pub(super) input: &'a PlannerInput,
    pub(super) members: Vec<MemberLoad>,
    pub(super) slots: Vec<SlotState>,
    pub(super) keys: Vec<KeyState>,
    /// Load of a member of weight 1 if the load is balanced.
    pub(super) fair_load: f64,
    /// Whether the service has so little load that slots are placed by number.
    is_quiet: bool,
}

impl<'a> WorkingPlan<'a> {
    pub(super) fn new(input: &'a PlannerInput) -> WorkingPlan<'a> {
        let slot_count = usize::from(input.slot_count.count());
        assert_eq!(input.slots.len(), slot_count, "the planner needs every slot");
        let in_order = |(index, it): (usize, &super::PlannerSlot)| usize::from(it.slot.0) == index;
        assert!(input.slots.iter().enumerate().all(in_order), "the planner needs slots in order");
        let measured: f64 = input.slots.iter().map(|it| it.load_us_per_s).sum();
        let keys_load: f64 = input.keys.iter().map(|it| it.load_us_per_s).sum();
        let eligible = input.members.iter().filter(|it| it.weight > 0.0).count();
        let is_quiet =
            measured + keys_load < QUIET_IN_FLIGHT_PER_MEMBER * US_PER_S * eligible as f64;
        let idle = match is_quiet {
            true => UNIFORM_LOAD,
            false => (measured + keys_load) * IDLE_SHARE / slot_count as f64,
        };
        let measured_load =
            |load_us_per_s: f64| if is_quiet { 0.0 } else { load_us_per_s.max(0.0) };
        let mut slots: Vec<SlotState> = input
            .slots
            .iter()
            .map(|it| SlotState {
                owner: it.owner,
                load: measured_load(it.load_us_per_s) + idle,
                keys_load: 0.0,
                key_load_max: 0.0,
                may_move: it.movable_from <= input.now,
            })
            .collect();
        let key = |it: &super::PlannerKey| KeyState {
            owner: it.owner,
            slot: usize::from(input.slot_count.slot_of(it.key_hash).0),
            load: measured_load(it.load_us_per_s),
        };
        let keys: Vec<KeyState> = input.keys.iter().map(key).collect();
        for key in keys.iter().filter(|it| it.owner.is_none()) {
            let slot = &mut slots[key.slot];
            slot.keys_load += key.load;
            slot.key_load_max = slot.key_load_max.max(key.load);
        }
        let member = |it: &super::PlannerMember| MemberLoad { weight: it.weight, load: 0.0 };
        let mut members: Vec<MemberLoad> = input.members.iter().map(member).collect();
        for slot in &slots {
            if let Some(owner) = slot.owner {
                members[usize::from(owner)].load += slot.total_load();
            }
        }
        for key in &keys {
            if let Some(owner) = key.owner {
                members[usize::from(owner)].load += key.load;
            }
        }
        let weights: f64 = members.iter().map(|it| it.weight).sum();
        let total = slots.iter().map(SlotState::total_load).sum::<f64>()
            + keys.iter().filter(|it| it.owner.is_some()).map(|it| it.load).sum::<f64>();
        let fair_load = if weights > 0.0 { total / weights } else { 0.0 };
        WorkingPlan { input, members, slots, keys, fair_load, is_quiet }
    }

    /// Returns the relative load above which a member of weight 1 is significantly overloaded, beyond random variation.
    pub(super) fn significance_threshold(&self) -> f64 {
        match self.is_quiet {
            true => 1.0,
            false => 1.0 + SIGNIFICANT_SIGMAS * RELATIVE_NOISE / (self.fair_load / US_PER_S).sqrt(),
        }
    }

    /// Returns the members that may own slots and keys.
    pub(super) fn eligible(&self) -> impl Iterator<Item = u16> + '_ {
        (0..self.members.len() as u16).filter(|it| self.weight(*it) > 0.0)
    }

    pub(super) fn weight(&self, member: u16) -> f64 {
        self.members[usize::from(member)].weight
    }

    /// Returns the member's load with `extra` added, divided by its fair load.
    pub(super) fn relative_load(&self, member: u16, extra: f64) -> f64 {
        let it = self.members[usize::from(member)];
        (it.load + extra) / (it.weight * self.fair_load)
    }

    /// Returns the eligible member other than `except` that has the lowest relative load after taking `load`.
    pub(super) fn least_loaded(&self, load: f64, except: Option<u16>) -> Option<u16> {
        let others = self.eligible().filter(|it| Some(*it) != except);
        others.min_by(|a, b| self.relative_load(*a, load).total_cmp(&self.relative_load(*b, load)))
    }

    /// Returns the owner of a key's entry, or else the owner of its slot.
    pub(super) fn key_owner(&self, key: usize) -> Option<u16> {
        let it = self.keys[key];
        it.owner.or(self.slots[it.slot].owner)
    }

    pub(super) fn move_slot(&mut self, slot: usize, to: u16, reason: MoveReason) -> Move {
        let load = self.slots[slot].total_load();
        let from = self.slots[slot].owner.replace(to);
        self.move_load(from, Some(to), load);
        Move { unit: MoveUnit::Slot(Slot(slot as u16)), from, to: Some(to), reason }
    }

    /// Moves a key to an entry owned by `to`, or back to its slot if `to` is `None`.
    pub(super) fn move_key(&mut self, key: usize, to: Option<u16>, reason: MoveReason) -> Move {
        let from = self.key_owner(key);
        let KeyState { owner, slot, load } = self.keys[key];
        self.keys[key].owner = to;
        let state = &mut self.slots[slot];
        match (owner, to) {
            (None, Some(_)) => state.keys_load -= load,
            (Some(_), None) => state.keys_load += load,
            _ => (),
        }
        self.slots[slot].key_load_max = self.heaviest_following(slot);
        self.move_load(from, self.key_owner(key), load);
        let unit = MoveUnit::Key(self.input.keys[key].key_hash);
        Move { unit, from, to, reason }
    }

    fn heaviest_following(&self, slot: usize) -> f64 {
        let following = self.keys.iter().filter(|it| it.slot == slot && it.owner.is_none());
        following.map(|it| it.load).fold(0.0, f64::max)
    }

    fn move_load(&mut self, from: Option<u16>, to: Option<u16>, load: f64) {
        if let Some(from) = from {
            self.members[usize::from(from)].load -= load;
        }
        if let Some(to) = to {
            self.members[usize::from(to)].load += load;
        }
    }
}
