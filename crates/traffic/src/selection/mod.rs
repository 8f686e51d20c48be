//! Selects the target of a request to a service whose requests are not assigned by key.
//!
//! Without load reports, the better of two random targets is taken, by requests in flight and smoothed
//! latency: from the agent's own availability zone, or from another one if that is busy. If gates report
//! their load, the target with the shortest expected latency is taken. The health and load that targets
//! claim count only as a weak hint, because they may be out of date or wrong.

mod target;

#[cfg(test)]
mod tests;

use std::time::Duration;

use model::{Instance, InstanceName, Timestamp, Zone};
use rand::{Rng, RngExt};

use target::Target;

pub use target::{GateReport, HealthHint, TargetResult, TargetSpec, TargetState, TargetView};

/// Costs within this factor count as equal. The random order decides then, so that both targets get
/// requests and are measured.
const COST_TIE_FACTOR: f64 = 1.05;
/// The number of targets that are sampled for a comparison if there are more candidates.
const SAMPLE_SIZE: usize = 6;
/// The largest zone penalty, as a share of the time left to a request's objective. With the full penalty, a
/// short request could miss its objective in the queue of a local target while a remote one is idle.
const ZONE_PENALTY_SHARE_MAX: f64 = 0.25;
/// The largest share of an expected latency by which it is randomly changed for a comparison.
const LATENCY_NOISE_SHARE: f64 = 0.03;

/// The limits and weights of the selection.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectionConfig {
    /// The number of requests in flight at the local target from which a remote target is taken, if its
    /// cost is lower even with the zone penalty.
    pub spill_in_flight: f64,
    /// The additional network latency to a target in another zone.
    pub zone_penalty: Duration,
    /// The time over which the share of a new target grows to its full value.
    pub slow_start: Duration,
    /// The time without a response, while requests are in flight, after which a target gets no new
    /// requests.
    pub unresponsive_after: Duration,
    /// The number of consecutive failures that ejects a target.
    pub eject_failures: u32,
    /// The duration of the first ejection; each consecutive one is longer by the same time.
    pub ejection_duration: Duration,
    /// The largest share of all targets that may be ejected at a time.
    pub eject_share_max: f64,
    /// The latency that is assumed until one has been measured.
    pub initial_latency: Duration,
}

impl Default for SelectionConfig {
    fn default() -> SelectionConfig {
        SelectionConfig {
            spill_in_flight: 10.0,
            zone_penalty: Duration::from_millis(2),
            slow_start: Duration::from_secs(10),
            unresponsive_after: Duration::from_secs(1),
            eject_failures: 5,
            ejection_duration: Duration::from_secs(5),
            eject_share_max: 0.34,
            initial_latency: Duration::from_millis(20),
        }
    }
}

/// The properties of a request that the selection depends on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestProfile {
    /// A group of requests with similar service times. `None` if only the mean over all requests applies.
    pub kind: Option<u8>,
    /// The time left to the latency objective of the request. `None` if the objective is unknown.
    pub objective: Option<Duration>,
}

/// The picked target, with the comparison that it was picked by.
#[derive(Debug, Clone, PartialEq)]
pub struct PickedTarget {
    pub instance: Instance,
    /// `None` if there was only one possible target, or no gate reported its load.
    pub comparison: Option<TargetComparison>,
}

/// The comparison of targets by expected latency, including the network, from the last reports of their gates.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetComparison {
    /// The number of compared targets.
    pub targets: usize,
    /// The expected latency of the picked target.
    pub expected_latency: Duration,
    /// The age of the load report of the picked target. `None` if there is no recent report.
    pub load_age: Option<Duration>,
    /// The second best target and its expected latency.
    pub next_best: Option<(Instance, Duration)>,
}

/// The two best of the compared targets, each as index and expected latency in seconds.
#[derive(Debug, Clone, Copy)]
struct Ranking {
    targets: usize,
    best: (usize, f64),
    next_best: Option<(usize, f64)>,
}

/// The targets of one service from the view of one agent.
#[derive(Debug)]
pub struct Selection {
    config: SelectionConfig,
    zone: Zone,
    /// The targets, ordered by name.
    targets: Vec<Target>,
}

impl Selection {
    /// Creates a selection without targets. `zone` is the zone of the agent.
    pub fn new(config: SelectionConfig, zone: Zone) -> Selection {
        Selection { config, zone, targets: Vec::new() }
    }

    /// Replaces the list of targets. A target that stays keeps its measurements; one with a new incarnation
    /// starts without any.
    pub fn update(&mut self, now: Timestamp, specs: &[TargetSpec]) {
        let mut former = std::mem::take(&mut self.targets);
        for spec in specs {
            let existing = former.iter().position(|it| it.instance == spec.instance);
            let mut target = match existing {
                Some(index) => former.swap_remove(index),
                None => Target::new(spec.instance.clone(), self.config.initial_latency, now),
            };
            target.state = spec.state;
            target.hint = spec.hint;
            self.targets.push(target);
        }
        // A target that is no longer listed is kept until its requests have ended, since it may be
        // listed again before.
        for mut gone in former.into_iter().filter(Target::has_in_flight) {
            gone.state = TargetState::Closed;
            self.targets.push(gone);
        }
        self.targets.sort_by(|a, b| a.instance.name.cmp(&b.instance.name));
    }

    /// Picks a target and counts the request as in flight there; [`Selection::finish`] must follow. Targets
    /// in `tried` are picked only if there is no other. Returns `None` if no target takes new requests.
    pub fn pick(
        &mut self,
        now: Timestamp,
        profile: RequestProfile,
        tried: &[InstanceName],
        rng: &mut impl Rng,
    ) -> Option<PickedTarget> {
        let accepts_requests = |it: &&Target| it.accepts_requests(&self.config, now);
        let is_untried = |it: &&Target| !tried.contains(&it.instance.name);
        let candidates: Vec<usize> = self.indexes(|it| accepts_requests(&it) && is_untried(&it));
        let candidates = if candidates.is_empty() {
            self.indexes(|it| accepts_requests(&it))
        } else {
            candidates
        };
        let ranking = self.rank_by_reports(now, profile, &candidates, rng);
        let index = match &ranking {
            Some(it) => it.best.0,
            None => self.choose_by_in_flight(now, &candidates, rng)?,
        };
        let comparison = ranking.map(|it| self.comparison(now, it));
        let target = &mut self.targets[index];
        target.start(now);
        Some(PickedTarget { instance: target.instance.clone(), comparison })
    }

    /// Picks a certain target, like [`Selection::pick`], if it accepts requests.
    pub fn pick_instance(&mut self, now: Timestamp, instance: &Instance) -> Option<PickedTarget> {
        let target = self.targets.iter_mut().find(|it| it.instance == *instance)?;
        target.accepts_requests(&self.config, now).then(|| target.start(now))?;
        Some(PickedTarget { instance: target.instance.clone(), comparison: None })
    }

    fn comparison(&self, now: Timestamp, ranking: Ranking) -> TargetComparison {
        let duration = |s: f64| Duration::try_from_secs_f64(s).unwrap_or(Duration::MAX);
        let (index, expected_latency_s) = ranking.best;
        let next_best = ranking.next_best;
        TargetComparison {
            targets: ranking.targets,
            expected_latency: duration(expected_latency_s),
            load_age: self.targets[index].load_age(now),
            next_best: next_best.map(|it| (self.targets[it.0].instance.clone(), duration(it.1))),
        }
    }

    /// Stores the load report of a target's gate.
    pub fn report(&mut self, now: Timestamp, instance: &Instance, report: GateReport) {
        if let Some(target) = self.targets.iter_mut().find(|it| it.instance == *instance) {
            target.report(now, report);
        }
    }

    /// Ends a request that was sent to a target.
    pub fn finish(
        &mut self,
        now: Timestamp,
        instance: &Instance,
        elapsed: Duration,
        result: TargetResult,
    ) {
        let ejected = self.targets.iter().filter(|it| it.is_ejected(now)).count() + 1;
        let may_eject = ejected as f64 <= self.config.eject_share_max * self.targets.len() as f64;
        // The target may have been removed, or replaced by another incarnation.
        let Some(target) = self.targets.iter_mut().find(|it| it.instance == *instance) else {
            return;
        };
        target.finish(&self.config, now, elapsed, result, may_eject);
    }

    /// Returns the state of all targets, for the status and the metrics.
    pub fn view(&self, now: Timestamp) -> Vec<TargetView> {
        self.targets.iter().map(|it| it.view(&self.config, now)).collect()
    }

    fn indexes(&self, belongs: impl Fn(&Target) -> bool) -> Vec<usize> {
        (0..self.targets.len()).filter(|it| belongs(&self.targets[*it])).collect()
    }

    /// Returns the better of two random targets of the own zone, or of other zones if that one is busy.
    fn choose_by_in_flight(
        &self,
        now: Timestamp,
        candidates: &[usize],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let is_local = |it: &usize| self.targets[*it].instance.zone == self.zone;
        let local: Vec<usize> = candidates.iter().copied().filter(is_local).collect();
        let remote: Vec<usize> = candidates.iter().copied().filter(|it| !is_local(it)).collect();
        let local = self.two_choices(now, &local, rng);
        let remote = self.two_choices(now, &remote, rng);
        let (Some(local), Some(remote)) = (local, remote) else { return local.or(remote) };
        let local_in_flight = self.targets[local].scaled_in_flight(&self.config, now);
        let remote_cost = self.cost(now, remote) + self.config.zone_penalty.as_secs_f64();
        match local_in_flight >= self.config.spill_in_flight && remote_cost < self.cost(now, local)
        {
            true => Some(remote),
            false => Some(local),
        }
    }

    /// Returns the targets with the shortest expected latencies, including the zone penalty. If there are many
    /// candidates, compares a random sample and all targets of the own zone. Returns `None` if no gate has
    /// reported its load.
    fn rank_by_reports(
        &self,
        now: Timestamp,
        profile: RequestProfile,
        candidates: &[usize],
        rng: &mut impl Rng,
    ) -> Option<Ranking> {
        let RequestProfile { kind, objective } = profile;
        let typical_service_s = self.typical_service_s(now, kind, candidates)?;
        let remaining_objective = objective.filter(|it| !it.is_zero());
        let penalty_max =
            remaining_objective.map_or(Duration::MAX, |it| it.mul_f64(ZONE_PENALTY_SHARE_MAX));
        let remote_penalty_s = self.config.zone_penalty.min(penalty_max).as_secs_f64();
        let is_local = |it: usize| self.targets[it].instance.zone == self.zone;
        let sample: Vec<usize> = match candidates.len() {
            ..=SAMPLE_SIZE => candidates.to_vec(),
            _ => (0..SAMPLE_SIZE)
                .map(|_| candidates[rng.random_range(0..candidates.len())])
                .collect(),
        };
        let local =
            candidates.iter().copied().filter(|it| is_local(*it) && candidates.len() > SAMPLE_SIZE);
        let cost = |it: usize, rng: &mut dyn FnMut() -> f64| {
            let penalty_s = if is_local(it) { 0.0 } else { remote_penalty_s };
            let own_s = self.expected_latency_s(now, it, kind, typical_service_s);
            // Without the random change, all agents with the same reports would pick the same target.
            own_s * (1.0 + LATENCY_NOISE_SHARE * rng()) + penalty_s
        };
        let mut noise = || rng.random_range(-1.0..1.0);
        let costs = sample.into_iter().chain(local).map(|it| (it, cost(it, &mut noise)));
        rank(costs)
    }

    /// Returns the mean service time at the candidates, in seconds: of the kind, or over all kinds if no gate
    /// has reported the kind. `None` if no gate has reported its load.
    fn typical_service_s(
        &self,
        now: Timestamp,
        kind: Option<u8>,
        candidates: &[usize],
    ) -> Option<f64> {
        let targets = || candidates.iter().map(|it| &self.targets[*it]);
        let of_kind =
            kind.and_then(|kind| mean(targets().filter_map(|it| it.kind_service_s(now, kind))));
        of_kind.or_else(|| mean(targets().filter_map(|it| it.mean_service_s(now))))
    }

    /// Returns the expected time until a request that is sent now is answered, in seconds: its service time and
    /// the wait for a slot. The service time is that of its kind, since by the mean over all kinds a target
    /// that gets mostly short requests would look faster than it is.
    fn expected_latency_s(
        &self,
        now: Timestamp,
        target: usize,
        kind: Option<u8>,
        typical_service_s: f64,
    ) -> f64 {
        let target = &self.targets[target];
        let of_kind = kind.map(|it| target.kind_service_s(now, it));
        let own_s = match of_kind {
            Some(of_kind) => of_kind.unwrap_or(typical_service_s),
            None => target.mean_service_s(now).unwrap_or(typical_service_s),
        };
        let expected_latency_s = match target.queue_wait_s(now) {
            Some(queue_wait_s) => own_s + queue_wait_s,
            // Without a load report, only the requests in flight from this agent are known.
            None => own_s * (1.0 + target.scaled_in_flight(&self.config, now)),
        };
        expected_latency_s * target.failure_factor()
    }

    fn two_choices(
        &self,
        now: Timestamp,
        candidates: &[usize],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if candidates.len() < 2 {
            return candidates.first().copied();
        }
        let first = rng.random_range(0..candidates.len());
        let second = (first + rng.random_range(1..candidates.len())) % candidates.len();
        let (first, second) = (candidates[first], candidates[second]);
        match self.cost(now, second) * COST_TIE_FACTOR < self.cost(now, first) {
            true => Some(second),
            false => Some(first),
        }
    }

    fn cost(&self, now: Timestamp, index: usize) -> f64 {
        self.targets[index].cost_s(&self.config, now, self.least_latency_s())
    }

    /// Returns the least measured latency of all targets, in seconds.
    fn least_latency_s(&self) -> f64 {
        let measured = self.targets.iter().filter_map(Target::measured_latency_s);
        let initial_s = self.config.initial_latency.as_secs_f64();
        measured.min_by(f64::total_cmp).unwrap_or(initial_s)
    }
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0_u32), |(sum, count), it| (sum + it, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}

fn rank(costs: impl Iterator<Item = (usize, f64)>) -> Option<Ranking> {
    let mut ranking: Option<Ranking> = None;
    for (index, cost_s) in costs {
        let Some(it) = &mut ranking else {
            ranking = Some(Ranking { targets: 1, best: (index, cost_s), next_best: None });
            continue;
        };
        it.targets += 1;
        match () {
            () if cost_s < it.best.1 => {
                it.next_best = Some(std::mem::replace(&mut it.best, (index, cost_s)))
            }
            () if index == it.best.0 => {}
            () if it.next_best.is_none_or(|next| cost_s < next.1) => {
                it.next_best = Some((index, cost_s))
            }
            () => {}
        }
    }
    ranking
}
