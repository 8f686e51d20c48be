//! Simulation of one policy on one workload, second by second.

use std::collections::BTreeMap;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    bound::{MinimalMoves, least_moved, single_keys, slots_and_hot_keys},
    policy::{Policy, UnitId},
    report::PolicyResult,
    view::{View, ViewMember, imbalance, member_loads},
    workload::{CAPACITY_US_PER_S, EndReason, Workload},
};

/// Weight of the latest second in the smoothed load.
const SMOOTHING: f64 = 0.25;
/// Mean service time of a request, in seconds; it determines how long a handover takes.
const SERVICE_S: f64 = 0.01;
/// Time from the loss of a member to the end of its lease, in seconds, the same for all policies.
const LEASE_S: std::ops::Range<f64> = 0.75..0.9;
/// Seconds after a loss in which moves are attributed to it.
const LOSS_WINDOW_S: u32 = 60;

pub(super) struct Run<'a> {
    workload: &'a Workload,
    policy: Box<dyn Policy>,
    /// Separate generators, so that all policies see the same noise and the same lease times.
    noise_rng: Pcg64Mcg,
    lease_rng: Pcg64Mcg,
    handover_rng: Pcg64Mcg,
    members: Vec<ViewMember>,
    smoothed: Vec<f64>,
    owners: Vec<Option<usize>>,
    last_loss_s: Option<u32>,
    measured: PolicyResult,
}

impl<'a> Run<'a> {
    pub(super) fn new(workload: &'a Workload, policy: Box<dyn Policy>, seed: u64) -> Run<'a> {
        let member = |it: &super::workload::MemberLifetime| ViewMember {
            zone: it.zone.clone(),
            weight: it.weight(0),
        };
        let measured = PolicyResult::new(policy.name());
        Run {
            workload,
            policy,
            noise_rng: Pcg64Mcg::seed_from_u64(seed),
            lease_rng: Pcg64Mcg::seed_from_u64(seed + 1),
            handover_rng: Pcg64Mcg::seed_from_u64(seed + 2),
            members: workload.members.iter().map(member).collect(),
            smoothed: vec![0.0; workload.keys.len()],
            owners: vec![None; workload.keys.len()],
            last_loss_s: None,
            measured,
        }
    }

    pub(super) fn run(mut self) -> PolicyResult {
        for second in 0..self.workload.seconds {
            let loads = self.workload.loads_us_per_s(second);
            self.update_members(second);
            self.measure(&loads);
            self.observe(&loads);
            self.plan(second);
        }
        self.measured.plans_written = self.policy.plans_written();
        self.measured.finish(self.workload.seconds);
        self.measured
    }

    /// Updates the members' weights as they join, warm up and leave, and handles losses.
    fn update_members(&mut self, second: u32) {
        let lifetimes = self.workload.members.iter();
        let lost =
            |it: &&super::workload::MemberLifetime| it.end == Some((second, EndReason::Loss));
        let losses = lifetimes.clone().filter(lost).count();
        for (member, lifetime) in self.members.iter_mut().zip(lifetimes) {
            member.weight = lifetime.weight(second);
        }
        if losses > 0 {
            self.last_loss_s = Some(second);
            self.measured.losses += losses as u32;
            self.reassign_lost(second);
        }
    }

    fn observe(&mut self, loads: &[f64]) {
        for (smoothed, load) in self.smoothed.iter_mut().zip(loads) {
            let sample = sample_load(&mut self.noise_rng, *load);
            *smoothed += SMOOTHING * (sample - *smoothed);
        }
    }

    /// Reassigns the keys of lost members. They are unavailable until the lease ends and, if the policy
    /// needs it, until a write to the platform is done.
    fn reassign_lost(&mut self, second: u32) {
        let view = View {
            owners: &self.owners,
            ..view_of(self.workload, &self.members, &self.smoothed, second)
        };
        let next = self.policy.reassign_lost(&view);
        let gap_s = self.lease_rng.random_range(LEASE_S) + self.policy.loss_write_s();
        let moved_keys = moved_keys(&self.owners, &next);
        let lost =
            moved_keys.iter().filter(|it| is_unavailable(&self.members, self.owners[**it])).count();
        self.measured.record_unavailable(lost as f64 * gap_s, gap_s);
        let others = moved_keys.len() - lost;
        self.measured.record_loss_moves(moved_keys.len() as f64 / self.owners.len() as f64);
        self.measured
            .record_churn(others as f64 / self.owners.len() as f64, MinimalMoves::default());
        self.owners = next;
    }

    fn plan(&mut self, second: u32) {
        let view = view_of(self.workload, &self.members, &self.smoothed, second);
        let view = View { owners: &self.owners, ..view };
        let next = self.policy.plan(&view);
        let moved_keys = moved_keys(&self.owners, &next);
        let is_first = self.owners.iter().all(Option::is_none);
        if is_first || moved_keys.is_empty() {
            self.owners = next;
            return;
        }
        let mut units: BTreeMap<UnitId, Vec<usize>> = BTreeMap::new();
        for key in &moved_keys {
            units.entry(self.policy.unit(&view, *key)).or_default().push(*key);
        }
        let level = imbalance(&self.members, &next, &self.smoothed);
        let least = MinimalMoves {
            by_key: least_moved(&view, level, single_keys),
            by_unit: least_moved(&view, level, slots_and_hot_keys(self.workload)),
        };
        let share = moved_keys.len() as f64 / self.owners.len() as f64;
        self.measured.record_churn(share, least);
        if self.last_loss_s.is_some_and(|it| second < it + LOSS_WINDOW_S) {
            self.measured.record_loss_moves(share);
        }
        for keys in units.values() {
            let gap_s = self.handover_s(keys);
            self.measured.record_unavailable(keys.len() as f64 * gap_s, gap_s);
        }
        self.owners = next;
    }

    /// Draws the time for which the handover of a unit waits for its requests in flight, the longest of
    /// them.
    fn handover_s(&mut self, keys: &[usize]) -> f64 {
        let in_flight: f64 = keys.iter().map(|it| self.smoothed[*it]).sum::<f64>() / 1e6;
        let running = poisson(&mut self.handover_rng, in_flight);
        (0..running).map(|_| exponential(&mut self.handover_rng, SERVICE_S)).fold(0.0, f64::max)
    }

    /// Records the second with the placement at its start.
    fn measure(&mut self, loads: &[f64]) {
        let is_placed = self.owners.iter().any(Option::is_some);
        if !is_placed || loads.iter().all(|it| *it == 0.0) {
            return;
        }
        let sums = member_loads(self.members.len(), &self.owners, loads);
        let mut overloaded_key_s = 0.0;
        for (member, sum) in sums.iter().enumerate() {
            let capacity = CAPACITY_US_PER_S * self.members[member].weight;
            if *sum > capacity {
                let keys = self.owners.iter().filter(|it| **it == Some(member)).count();
                overloaded_key_s += keys as f64 * (1.0 - capacity / sum);
            }
        }
        self.measured.record_second(
            imbalance(&self.members, &self.owners, loads),
            overloaded_key_s,
            self.policy.entries(),
        );
    }
}

fn view_of<'a>(
    workload: &'a Workload,
    members: &'a [ViewMember],
    smoothed: &'a [f64],
    second: u32,
) -> View<'a> {
    View { second, keys: &workload.keys, members, loads_us_per_s: smoothed, owners: &[] }
}

fn is_unavailable(members: &[ViewMember], owner: Option<usize>) -> bool {
    owner.is_some_and(|it| members[it].weight == 0.0)
}

fn moved_keys(from: &[Option<usize>], to: &[Option<usize>]) -> Vec<usize> {
    (0..from.len()).filter(|it| from[*it] != to[*it]).collect()
}

/// Number of requests in a second up to which each is drawn separately.
const EXACT_REQUESTS_MAX: f64 = 30.0;

/// Draws the load that is measured in one second. Requests arrive at random and have random service
/// times, so that the variance of the sum is twice that of their number. The mean is the true load,
/// also for idle keys.
fn sample_load(rng: &mut impl Rng, load_us_per_s: f64) -> f64 {
    let requests = load_us_per_s / (SERVICE_S * 1e6);
    if requests <= EXACT_REQUESTS_MAX {
        let count = poisson(rng, requests);
        return (0..count).map(|_| exponential(rng, SERVICE_S * 1e6)).sum();
    }
    // A sum of twelve draws is close enough to a normal distribution.
    let normal = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    (requests + normal * (2.0 * requests).sqrt()) * SERVICE_S * 1e6
}

fn exponential(rng: &mut impl Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random_range(0.0..1.0_f64)).ln()
}

fn poisson(rng: &mut impl Rng, mean: f64) -> u32 {
    let mut count = 0;
    let mut sum = exponential(rng, 1.0);
    while sum < mean {
        count += 1;
        sum += exponential(rng, 1.0);
    }
    count
}
