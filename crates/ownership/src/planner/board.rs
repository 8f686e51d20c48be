//! The table that a proposal is worked out on: who owns what after the moves so far.

use model::Slot;

use super::{Move, MoveUnit, PlannerInput};
use crate::MoveReason;

/// A slot without measured load counts as this share of the mean slot, so that idle slots are
/// spread too and a member that gets only idle ones fills up at last.
const IDLE_SHARE: f64 = 0.02;
/// What a slot counts as while slots are placed by number; any figure does.
const IDLE_LOAD: f64 = 1.0;

/// Below this many requests in flight for a mean member, slots are placed by number: a load that
/// small is mostly chance, and what comes next may be the start of an event.
const QUIET_IN_FLIGHT: f64 = 0.05;
const US_PER_S: f64 = 1e6;
/// The standard deviation of a smoothed load, as a share of it, with one request in flight: some
/// 100 requests a second, smoothed over a few seconds.
const NOISE: f64 = 0.06;
/// How many standard deviations from the mean are no chance.
const SIGNIFICANT: f64 = 3.0;

/// A member's load at one moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct MemberLoad {
    pub(super) weight: f64,
    pub(super) load: f64,
}

/// A slot at one moment; its load without its keys.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlotPlace {
    pub(super) owner: Option<u16>,
    pub(super) load: f64,
    /// The load of the hot keys that follow it.
    pub(super) keys_load: f64,
    /// The heaviest of them.
    pub(super) key_load_max: f64,
    pub(super) is_settled: bool,
}

impl SlotPlace {
    pub(super) fn whole_load(&self) -> f64 {
        self.load + self.keys_load
    }
}

/// A hot key at one moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct KeyPlace {
    /// None: it follows its slot.
    pub(super) owner: Option<u16>,
    pub(super) slot: usize,
    pub(super) load: f64,
}

pub(super) struct Board<'a> {
    pub(super) input: &'a PlannerInput,
    pub(super) members: Vec<MemberLoad>,
    pub(super) slots: Vec<SlotPlace>,
    pub(super) keys: Vec<KeyPlace>,
    /// The load that a member of weight 1 has when all are even.
    pub(super) fair: f64,
    is_quiet: bool,
}

impl<'a> Board<'a> {
    pub(super) fn new(input: &'a PlannerInput) -> Board<'a> {
        let slot_count = usize::from(input.slot_count.count());
        assert_eq!(input.slots.len(), slot_count, "the planner needs every slot");
        let in_order = |(index, it): (usize, &super::PlannerSlot)| usize::from(it.slot.0) == index;
        assert!(input.slots.iter().enumerate().all(in_order), "the planner needs slots in order");
        let measured: f64 = input.slots.iter().map(|it| it.load_us_per_s).sum();
        let keys_load: f64 = input.keys.iter().map(|it| it.load_us_per_s).sum();
        let able = input.members.iter().filter(|it| it.weight > 0.0).count();
        let is_quiet = measured + keys_load < QUIET_IN_FLIGHT * US_PER_S * able as f64;
        let idle = match is_quiet {
            true => IDLE_LOAD,
            false => (measured + keys_load) * IDLE_SHARE / slot_count as f64,
        };
        let seen = |load_us_per_s: f64| if is_quiet { 0.0 } else { load_us_per_s.max(0.0) };
        let mut slots: Vec<SlotPlace> = input
            .slots
            .iter()
            .map(|it| SlotPlace {
                owner: it.owner,
                load: seen(it.load_us_per_s) + idle,
                keys_load: 0.0,
                key_load_max: 0.0,
                is_settled: it.movable_from <= input.now,
            })
            .collect();
        let key = |it: &super::PlannerKey| KeyPlace {
            owner: it.owner,
            slot: usize::from(input.slot_count.slot_of(it.key_hash).0),
            load: seen(it.load_us_per_s),
        };
        let keys: Vec<KeyPlace> = input.keys.iter().map(key).collect();
        for key in keys.iter().filter(|it| it.owner.is_none()) {
            let slot = &mut slots[key.slot];
            slot.keys_load += key.load;
            slot.key_load_max = slot.key_load_max.max(key.load);
        }
        let member = |it: &super::PlannerMember| MemberLoad { weight: it.weight, load: 0.0 };
        let mut members: Vec<MemberLoad> = input.members.iter().map(member).collect();
        for slot in &slots {
            if let Some(owner) = slot.owner {
                members[usize::from(owner)].load += slot.whole_load();
            }
        }
        for key in &keys {
            if let Some(owner) = key.owner {
                members[usize::from(owner)].load += key.load;
            }
        }
        let weights: f64 = members.iter().map(|it| it.weight).sum();
        let total = slots.iter().map(SlotPlace::whole_load).sum::<f64>()
            + keys.iter().filter(|it| it.owner.is_some()).map(|it| it.load).sum::<f64>();
        let fair = if weights > 0.0 { total / weights } else { 0.0 };
        Board { input, members, slots, keys, fair, is_quiet }
    }

    /// How far above its fair load a member of weight 1 must be for that to be no chance.
    pub(super) fn significant(&self) -> f64 {
        match self.is_quiet {
            true => 1.0,
            false => 1.0 + SIGNIFICANT * NOISE / (self.fair / US_PER_S).sqrt(),
        }
    }

    /// Members that may own anything.
    pub(super) fn able(&self) -> impl Iterator<Item = u16> + '_ {
        (0..self.members.len() as u16).filter(|it| self.weight(*it) > 0.0)
    }

    pub(super) fn weight(&self, member: u16) -> f64 {
        self.members[usize::from(member)].weight
    }

    /// The member's load with `more` added, over its fair share.
    pub(super) fn relative(&self, member: u16, more: f64) -> f64 {
        let it = self.members[usize::from(member)];
        (it.load + more) / (it.weight * self.fair)
    }

    /// The able member that stays least loaded when it takes `load`, `not` left out.
    pub(super) fn least_loaded(&self, load: f64, not: Option<u16>) -> Option<u16> {
        let others = self.able().filter(|it| Some(*it) != not);
        others.min_by(|a, b| self.relative(*a, load).total_cmp(&self.relative(*b, load)))
    }

    /// The owner of a key: its own, or that of its slot.
    pub(super) fn key_owner(&self, key: usize) -> Option<u16> {
        let it = self.keys[key];
        it.owner.or(self.slots[it.slot].owner)
    }

    pub(super) fn move_slot(&mut self, slot: usize, to: u16, reason: MoveReason) -> Move {
        let load = self.slots[slot].whole_load();
        let from = self.slots[slot].owner.replace(to);
        self.shift(from, Some(to), load);
        Move { unit: MoveUnit::Slot(Slot(slot as u16)), from, to: Some(to), reason }
    }

    /// `to` none: the key follows its slot from now on.
    pub(super) fn move_key(&mut self, key: usize, to: Option<u16>, reason: MoveReason) -> Move {
        let from = self.key_owner(key);
        let KeyPlace { owner, slot, load } = self.keys[key];
        self.keys[key].owner = to;
        let place = &mut self.slots[slot];
        match (owner, to) {
            (None, Some(_)) => place.keys_load -= load,
            (Some(_), None) => place.keys_load += load,
            _ => (),
        }
        self.slots[slot].key_load_max = self.heaviest_following(slot);
        self.shift(from, self.key_owner(key), load);
        let unit = MoveUnit::Key(self.input.keys[key].key_hash);
        Move { unit, from, to, reason }
    }

    fn heaviest_following(&self, slot: usize) -> f64 {
        let following = self.keys.iter().filter(|it| it.slot == slot && it.owner.is_none());
        following.map(|it| it.load).fold(0.0, f64::max)
    }

    fn shift(&mut self, from: Option<u16>, to: Option<u16>, load: f64) {
        if let Some(from) = from {
            self.members[usize::from(from)].load -= load;
        }
        if let Some(to) = to {
            self.members[usize::from(to)].load += load;
        }
    }
}
