//! Consistent hashing with bounded loads: each key is placed on the first member of the ring, starting
//! at the key's hash, whose load is below 1.15 times the mean. A key moves only if its member exceeds
//! this bound or is unavailable, or if a joining member precedes it on the ring.

use model::{KeyHash, key_hash};

use super::{PLATFORM_WRITE_S, Policy, UnitId, View, Workload};

const BOUND: f64 = 1.15;
/// Number of points of each member on the ring.
const POINTS: usize = 100;

pub(super) struct BoundedLoad {
    ring: Vec<(KeyHash, usize)>,
    was_available: Vec<bool>,
}

impl BoundedLoad {
    pub(super) fn new(workload: &Workload) -> BoundedLoad {
        let members = workload.members.len();
        let points = (0..members).flat_map(|member| (0..POINTS).map(move |it| (member, it)));
        let hash = |(member, it)| (key_hash(format!("ring-{member}/{it}").as_bytes()), member);
        let mut ring: Vec<(KeyHash, usize)> = points.map(hash).collect();
        ring.sort();
        BoundedLoad { ring, was_available: vec![false; members] }
    }

    /// Returns the members in ring order, starting at a key; members repeat, once for each point.
    fn ring_order(&self, key: KeyHash) -> impl Iterator<Item = usize> + '_ {
        let from = self.ring.partition_point(|it| it.0 < key);
        self.ring[from..].iter().chain(&self.ring[..from]).map(|it| it.1)
    }

    fn newly_joined(&self, view: &View<'_>) -> Vec<bool> {
        let was_available = self.was_available.iter().zip(view.members);
        was_available.map(|(was_available, member)| !was_available && member.weight > 0.0).collect()
    }

    /// Returns whether the key's member is unavailable or above the bound, or a newly joined member
    /// precedes it.
    fn must_move(
        &self,
        view: &View<'_>,
        loads: &[f64],
        fair_load: f64,
        newly_joined: &[bool],
        key: usize,
        owner: Option<usize>,
    ) -> bool {
        let Some(owner) = owner else { return true };
        let weight = view.members[owner].weight;
        let is_overloaded = loads[owner] > BOUND * weight * fair_load;
        let first = self.ring_order(view.keys[key]).find(|it| view.members[*it].weight > 0.0);
        weight == 0.0 || is_overloaded || first.is_some_and(|it| newly_joined[it])
    }

    /// Returns the first member below the bound, or the least loaded one if there is none.
    fn place(&self, view: &View<'_>, loads: &[f64], fair_load: f64, key: usize) -> Option<usize> {
        let load = view.loads_us_per_s[key];
        let has_room = |it: &usize| {
            let weight = view.members[*it].weight;
            weight > 0.0 && loads[*it] + load <= BOUND * weight * fair_load
        };
        let relative = |it: &usize| loads[*it] / view.members[*it].weight;
        let first = self.ring_order(view.keys[key]).find(has_room);
        first
            .or_else(|| view.available_members().min_by(|a, b| relative(a).total_cmp(&relative(b))))
    }
}

impl Policy for BoundedLoad {
    fn name(&self) -> &'static str {
        "bounded-load consistent hashing"
    }

    fn unit(&self, _view: &View<'_>, key: usize) -> UnitId {
        UnitId(key as u64)
    }

    fn loss_write_s(&self) -> f64 {
        PLATFORM_WRITE_S
    }

    fn reassign_lost(&mut self, view: &View<'_>) -> Vec<Option<usize>> {
        self.plan(view)
    }

    fn plan(&mut self, view: &View<'_>) -> Vec<Option<usize>> {
        let newly_joined = self.newly_joined(view);
        let fair_load = view.fair_load();
        let mut loads = view.loads();
        let mut owners = view.owners.to_vec();
        for (key, owner) in owners.iter_mut().enumerate() {
            if !self.must_move(view, &loads, fair_load, &newly_joined, key, *owner) {
                continue;
            }
            if let Some(owner) = *owner {
                loads[owner] -= view.loads_us_per_s[key];
            }
            *owner = self.place(view, &loads, fair_load, key);
            if let Some(owner) = *owner {
                loads[owner] += view.loads_us_per_s[key];
            }
        }
        for (was_available, member) in self.was_available.iter_mut().zip(view.members) {
            *was_available = member.weight > 0.0;
        }
        owners
    }
}
