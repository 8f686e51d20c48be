//! Policy under test: `ownership::planner`, called in the same way as by a coordinator.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use model::{KeyHash, Slot, SlotCount, Timestamp};
use ownership::{
    Limits, MoveReason,
    planner::{Move, MoveUnit, PlannerInput, PlannerKey, PlannerMember, PlannerSlot, propose},
};

use super::{Policy, UnitId, View, Workload};

/// Seconds for which a moved slot is not rebalanced again.
const MIN_STAY_S: u64 = 10;
/// Number of keys that each member reports.
const REPORTED_KEYS: usize = 16;
/// Cost of a moved key in the churn budget, relative to a moved slot; same value as in the planner.
const KEY_COST_RATIO: f64 = 0.05;

pub(super) struct Planned {
    name: &'static str,
    slot_count: SlotCount,
    slots: Vec<PlannerSlot>,
    entries: Vec<PlannerKey>,
    /// Slot of each key.
    slot_of: Vec<usize>,
    /// Churn of rebalancing moves in the last minute, as (second, share of all keys).
    recent_churn: VecDeque<(u32, f64)>,
    limits: Limits,
    plans_written: u32,
}

impl Planned {
    pub(super) fn new(
        workload: &Workload,
        name: &'static str,
        availability_weight: f64,
    ) -> Planned {
        let slot = |slot: Slot| PlannerSlot {
            slot,
            owner: None,
            successors: Vec::new(),
            load_us_per_s: 0.0,
            movable_from: Timestamp::ZERO,
        };
        let slot_of = |it: &KeyHash| usize::from(workload.slot_count.slot_of(*it).0);
        Planned {
            name,
            slot_count: workload.slot_count,
            slots: workload.slot_count.iter().map(slot).collect(),
            entries: Vec::new(),
            slot_of: workload.keys.iter().map(slot_of).collect(),
            recent_churn: VecDeque::new(),
            limits: Limits { availability_weight, ..Limits::default() },
            plans_written: 0,
        }
    }

    /// Returns the keys that have an entry, and the heaviest keys that each member reports.
    fn hot_keys(&self, view: &View<'_>) -> Vec<PlannerKey> {
        let mut order: Vec<usize> = (0..view.keys.len()).collect();
        let load = |it: usize| view.loads_us_per_s[it];
        order.sort_by(|a, b| load(*b).total_cmp(&load(*a)));
        let entries: HashMap<KeyHash, &PlannerKey> =
            self.entries.iter().map(|it| (it.key_hash, it)).collect();
        let mut reported = vec![0; view.members.len()];
        let mut keys = Vec::new();
        for key in order {
            let entry = entries.get(&view.keys[key]);
            let owner = view.owners[key].unwrap_or_default();
            reported[owner] += 1;
            if entry.is_none() && (reported[owner] > REPORTED_KEYS || load(key) == 0.0) {
                continue;
            }
            keys.push(PlannerKey {
                key_hash: view.keys[key],
                owner: entry.and_then(|it| it.owner),
                successors: entry.map(|it| it.successors.clone()).unwrap_or_default(),
                load_us_per_s: load(key),
            });
        }
        keys
    }

    fn input(&mut self, view: &View<'_>) -> PlannerInput {
        while self.recent_churn.front().is_some_and(|it| it.0 + 60 <= view.second) {
            self.recent_churn.pop_front();
        }
        let spent: f64 = self.recent_churn.iter().map(|it| it.1).sum();
        let keys = self.hot_keys(view);
        let mut slots = self.slots.clone();
        slots.iter_mut().for_each(|it| it.load_us_per_s = 0.0);
        let listed: HashSet<KeyHash> = keys.iter().map(|it| it.key_hash).collect();
        for (key, hash) in view.keys.iter().enumerate() {
            if !listed.contains(hash) {
                slots[self.slot_of[key]].load_us_per_s += view.loads_us_per_s[key];
            }
        }
        let member = |it: &super::super::view::ViewMember| PlannerMember {
            zone: it.zone.clone(),
            weight: it.weight,
        };
        PlannerInput {
            now: now(view),
            slot_count: self.slot_count,
            ordered: false,
            members: view.members.iter().map(member).collect(),
            slots,
            keys,
            churn_left: (self.limits.churn_per_minute_max - spent).max(0.0),
            may_move_idle: true,
            limits: self.limits.clone(),
        }
    }

    fn apply_move(&mut self, view: &View<'_>, keys: &mut [PlannerKey], it: &Move) {
        let slots = self.slots.len() as f64;
        let cost = match it.unit {
            MoveUnit::Slot(slot) => {
                let slot = &mut self.slots[usize::from(slot.0)];
                slot.owner = it.to;
                slot.movable_from = now(view) + Duration::from_secs(MIN_STAY_S);
                1.0
            }
            MoveUnit::Key(hash) => {
                let key = keys.iter_mut().find(|it| it.key_hash == hash);
                key.expect("the planner moves only keys of its input").owner = it.to;
                KEY_COST_RATIO
            }
        };
        if it.reason == MoveReason::Rebalance {
            self.recent_churn.push_back((view.second, cost / slots));
        }
    }

    fn owners(&self, view: &View<'_>) -> Vec<Option<usize>> {
        let entries: HashMap<KeyHash, Option<u16>> =
            self.entries.iter().map(|it| (it.key_hash, it.owner)).collect();
        let owner = |(hash, slot): (&KeyHash, &usize)| {
            let owner = entries.get(hash).copied().unwrap_or(self.slots[*slot].owner);
            owner.map(usize::from)
        };
        view.keys.iter().zip(&self.slot_of).map(owner).collect()
    }
}

fn now(view: &View<'_>) -> Timestamp {
    // The clock starts after `movable_from` of all slots, so that all of them may move at first.
    Timestamp::from_ms(u64::from(view.second + 1) * 1000)
}

impl Policy for Planned {
    fn name(&self) -> &'static str {
        self.name
    }

    fn unit(&self, view: &View<'_>, key: usize) -> UnitId {
        match self.entries.iter().any(|it| it.key_hash == view.keys[key]) {
            true => UnitId(self.slots.len() as u64 + key as u64),
            false => UnitId(self.slot_of[key] as u64),
        }
    }

    fn loss_write_s(&self) -> f64 {
        0.0
    }

    fn reassign_lost(&mut self, view: &View<'_>) -> Vec<Option<usize>> {
        let is_available = |it: u16| view.members[usize::from(it)].weight > 0.0;
        let slots = self.slots.iter_mut().map(|it| (&mut it.owner, &it.successors));
        let keys = self.entries.iter_mut().map(|it| (&mut it.owner, &it.successors));
        for (owner, successors) in slots.chain(keys) {
            if owner.is_some_and(|it| !is_available(it)) {
                *owner = successors.iter().copied().find(|it| is_available(*it));
            }
        }
        self.owners(view)
    }

    fn plan(&mut self, view: &View<'_>) -> Vec<Option<usize>> {
        let input = self.input(view);
        let proposal = propose(&input);
        let mut keys = input.keys;
        for it in &proposal.moves {
            self.apply_move(view, &mut keys, it);
        }
        let previous = self.slots.iter().map(|it| &it.successors);
        let changed = previous.zip(&proposal.successors).filter(|(a, b)| a != b).count();
        self.plans_written += u32::from(changed > 0 || !proposal.moves.is_empty());
        for (slot, successors) in self.slots.iter_mut().zip(proposal.successors) {
            slot.successors = successors;
        }
        for (hash, successors) in proposal.key_successors {
            let key = keys.iter_mut().find(|it| it.key_hash == hash);
            key.expect("the planner returns successors only for keys of its input").successors =
                successors;
        }
        keys.retain(|it| it.owner.is_some());
        self.entries = keys;
        self.owners(view)
    }

    fn entries(&self) -> usize {
        self.entries.len()
    }

    fn plans_written(&self) -> u32 {
        self.plans_written
    }
}
