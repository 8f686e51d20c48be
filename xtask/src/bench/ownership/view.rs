//! Input of a policy at one time.

use model::{KeyHash, Zone};

/// Member; its index counts all members that exist at any time in the workload.
#[derive(Debug, Clone)]
pub(super) struct ViewMember {
    pub(super) zone: Zone,
    /// Share of its full capacity that it may be assigned: 0 while it is absent or leaves, less than 1
    /// while it warms up.
    pub(super) weight: f64,
}

/// State of the group as the coordinator sees it.
#[derive(Debug)]
pub(super) struct View<'a> {
    pub(super) second: u32,
    pub(super) keys: &'a [KeyHash],
    pub(super) members: &'a [ViewMember],
    /// Smoothed load of each key, in microseconds of upstream time a second.
    pub(super) loads_us_per_s: &'a [f64],
    /// Owner of each key; `None` before the first plan.
    pub(super) owners: &'a [Option<usize>],
}

impl View<'_> {
    pub(super) fn available_members(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.members.len()).filter(|it| self.members[*it].weight > 0.0)
    }

    pub(super) fn loads(&self) -> Vec<f64> {
        member_loads(self.members.len(), self.owners, self.loads_us_per_s)
    }

    /// Returns the load of a member with weight 1 under a perfectly even placement.
    pub(super) fn fair_load(&self) -> f64 {
        fair_load(self.members, self.loads_us_per_s)
    }
}

pub(super) fn member_loads(members: usize, owners: &[Option<usize>], loads: &[f64]) -> Vec<f64> {
    let mut sums = vec![0.0; members];
    for (owner, load) in owners.iter().zip(loads) {
        if let Some(owner) = owner {
            sums[*owner] += load;
        }
    }
    sums
}

pub(super) fn fair_load(members: &[ViewMember], loads: &[f64]) -> f64 {
    loads.iter().sum::<f64>() / members.iter().map(|it| it.weight).sum::<f64>()
}

/// Returns the load of the busiest member over the mean, with each load divided by the member's
/// weight.
pub(super) fn imbalance(members: &[ViewMember], owners: &[Option<usize>], loads: &[f64]) -> f64 {
    let fair_load = fair_load(members, loads);
    let sums = member_loads(members.len(), owners, loads);
    let available_members = members.iter().zip(sums).filter(|(it, _)| it.weight > 0.0);
    available_members.map(|(it, sum)| sum / (it.weight * fair_load)).fold(0.0, f64::max)
}
