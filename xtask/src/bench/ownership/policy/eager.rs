//! Rebalance without a budget: each second slots move from the busiest member to the least loaded one
//! as long as this reduces their difference. It has no hysteresis and no entries for single keys.

use super::{PLATFORM_WRITE_S, Policy, UnitId, View, Workload};

/// Ratio of the busiest member's load to the fair load up to which no slot moves.
const BALANCED_BELOW: f64 = 1.02;

pub(super) struct Eager {
    /// The slot of each key.
    slots: Vec<usize>,
    owners: Vec<Option<usize>>,
}

impl Eager {
    pub(super) fn new(workload: &Workload) -> Eager {
        let slot = |it: &model::KeyHash| usize::from(workload.slot_count.slot_of(*it).0);
        Eager {
            slots: workload.keys.iter().map(slot).collect(),
            owners: vec![None; usize::from(workload.slot_count.count())],
        }
    }
}

impl Policy for Eager {
    fn name(&self) -> &'static str {
        "rebalance without budget"
    }

    fn unit(&self, _view: &View<'_>, key: usize) -> UnitId {
        UnitId(self.slots[key] as u64)
    }

    fn loss_write_s(&self) -> f64 {
        PLATFORM_WRITE_S
    }

    fn reassign_lost(&mut self, view: &View<'_>) -> Vec<Option<usize>> {
        self.plan(view)
    }

    fn plan(&mut self, view: &View<'_>) -> Vec<Option<usize>> {
        let mut slot_loads = vec![0.0; self.owners.len()];
        for (slot, load) in self.slots.iter().zip(view.loads_us_per_s) {
            slot_loads[*slot] += load;
        }
        let weight = |it: usize| view.members[it].weight;
        let mut loads = vec![0.0; view.members.len()];
        let mut counts = vec![0.0; view.members.len()];
        for (slot, owner) in self.owners.iter_mut().enumerate() {
            *owner = owner.filter(|it| weight(*it) > 0.0);
            if let Some(owner) = owner {
                loads[*owner] += slot_loads[slot];
                counts[*owner] += 1.0;
            }
        }
        let least_loaded = |loads: &[f64], counts: &[f64]| {
            let key = |it: &usize| (loads[*it] / weight(*it), counts[*it] / weight(*it));
            view.available_members()
                .min_by(|a, b| key(a).partial_cmp(&key(b)).expect("no load is NaN"))
        };
        for (slot, owner) in self.owners.iter_mut().enumerate().filter(|(_, it)| it.is_none()) {
            let to = least_loaded(&loads, &counts).expect("at least one member is available");
            loads[to] += slot_loads[slot];
            counts[to] += 1.0;
            *owner = Some(to);
        }
        let fair_load = view.fair_load();
        for _ in 0..self.owners.len() {
            let relative = |it: &usize| loads[*it] / weight(*it);
            let busiest =
                view.available_members().max_by(|a, b| relative(a).total_cmp(&relative(b)));
            let (Some(from), Some(to)) = (busiest, least_loaded(&loads, &counts)) else { break };
            if relative(&from) <= BALANCED_BELOW * fair_load {
                break;
            }
            let gap = loads[from] - loads[to] * weight(from) / weight(to);
            let fits = |it: &usize| {
                self.owners[*it] == Some(from) && slot_loads[*it] > 0.0 && slot_loads[*it] < gap
            };
            let all = (0..self.owners.len()).filter(fits);
            let distance = |it: &usize| (slot_loads[*it] - gap / 2.0).abs();
            let Some(slot) = all.min_by(|a, b| distance(a).total_cmp(&distance(b))) else { break };
            loads[from] -= slot_loads[slot];
            loads[to] += slot_loads[slot];
            self.owners[slot] = Some(to);
        }
        self.slots.iter().map(|it| self.owners[*it]).collect()
    }
}
