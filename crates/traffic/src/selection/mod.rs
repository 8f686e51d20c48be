//! Which target gets a request of a service that is not divided by key.
//!
//! Two random choices by in-flight work and smoothed latency; targets of the own availability
//! zone first, others when those are busy. What callers see counts; what targets say of
//! themselves (health and load) is a weak hint, since it lags or misleads.

mod target;

#[cfg(test)]
mod tests;

use std::time::Duration;

use model::{Instance, InstanceName, Timestamp, Zone};
use rand::{Rng, RngExt};

use target::Target;

pub use target::{GateReport, HealthHint, TargetResult, TargetSpec, TargetState, TargetView};

/// Costs within this factor count as equal: chance decides, so that both are measured.
const TIE: f64 = 1.05;
/// Up to so many targets are compared at a time.
const DRAWN_MAX: usize = 6;
/// The way to another zone counts for no more than this part of the time in which an answer is of full use: a
/// short call that waits at home for as long as the way costs a long one has missed its time.
const WAY_SHARE_MAX: f64 = 0.25;
/// By how much the expected times that gates report are blurred.
const REPORT_NOISE: f64 = 0.03;

/// Bounds on selection.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectionConfig {
    /// A target of another zone is taken when those of the own zone have this many requests in
    /// flight each, and the other one is less busy.
    pub spill_in_flight: f64,
    /// How much longer the way to another zone takes.
    pub zone_penalty: Duration,
    /// How long a new target takes to get its full share.
    pub slow_start: Duration,
    /// A target with requests in flight and no answer for this long gets no new work.
    pub unresponsive_after: Duration,
    /// Failures in a row that eject a target.
    pub eject_failures: u32,
    /// How long the first ejection lasts; each one in a row lasts as much longer.
    pub ejection_duration: Duration,
    /// The largest share of all targets that is ejected at a time.
    pub eject_share_max: f64,
    /// What a request is expected to take until some have been measured.
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

/// What is to be sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestProfile {
    /// Requests of one kind are expected to take alike; none: as all do.
    pub kind: Option<u8>,
    /// The time left in which an answer is of full use; none: not known.
    pub objective: Option<Duration>,
}

/// A target that was picked, and what it was weighed by.
#[derive(Debug, Clone, PartialEq)]
pub struct PickedTarget {
    pub instance: Instance,
    /// None: gates do not report their loads, and chance and requests in flight decided.
    pub comparison: Option<TargetComparison>,
}

/// What targets were expected to take, way included, by what their gates had last said.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetComparison {
    /// How many were compared.
    pub targets: usize,
    pub expected_latency: Duration,
    /// How old the word of the picked target's gate was; none: it had said nothing lately.
    pub load_age: Option<Duration>,
    /// The second best.
    pub next_best: Option<(Instance, Duration)>,
}

/// The two best of the targets that were compared, by index and expected seconds.
#[derive(Debug, Clone, Copy)]
struct Ranking {
    targets: usize,
    best: (usize, f64),
    next_best: Option<(usize, f64)>,
}

/// The targets of one service, as one agent sees them.
#[derive(Debug)]
pub struct Selection {
    config: SelectionConfig,
    zone: Zone,
    /// In the order of their names.
    targets: Vec<Target>,
}

impl Selection {
    /// `zone` is the agent's own.
    pub fn new(config: SelectionConfig, zone: Zone) -> Selection {
        Selection { config, zone, targets: Vec::new() }
    }

    /// Takes over the list of live targets. Those that stay keep what is known of them, those of
    /// a new incarnation start anew.
    pub fn update(&mut self, now: Timestamp, specs: &[TargetSpec]) {
        let mut former = std::mem::take(&mut self.targets);
        for spec in specs {
            let known = former.iter().position(|it| it.instance == spec.instance);
            let mut target = match known {
                Some(index) => former.swap_remove(index),
                None => Target::new(spec.instance.clone(), self.config.initial_latency, now),
            };
            target.state = spec.state;
            target.hint = spec.hint;
            self.targets.push(target);
        }
        // One that is gone stays until its requests have ended: it may be announced again.
        for mut gone in former.into_iter().filter(Target::is_busy) {
            gone.state = TargetState::Closed;
            self.targets.push(gone);
        }
        self.targets.sort_by(|a, b| a.instance.name.cmp(&b.instance.name));
    }

    /// Picks a target and counts the request as in flight there; [`Selection::finish`] must
    /// follow. `tried` are those that this request has been refused by. None: no target may get
    /// new work.
    pub fn pick(
        &mut self,
        now: Timestamp,
        profile: RequestProfile,
        tried: &[InstanceName],
        rng: &mut impl Rng,
    ) -> Option<PickedTarget> {
        let fit = |it: &&Target| it.takes_work(&self.config, now);
        let fresh = |it: &&Target| !tried.contains(&it.instance.name);
        let able: Vec<usize> = self.indexes(|it| fit(&it) && fresh(&it));
        let able = if able.is_empty() { self.indexes(|it| fit(&it)) } else { able };
        let ranking = self.by_reports(now, profile, &able, rng);
        let index = match &ranking {
            Some(it) => it.best.0,
            None => self.choose(now, &able, rng)?,
        };
        let comparison = ranking.map(|it| self.comparison(now, it));
        let target = &mut self.targets[index];
        target.start(now);
        Some(PickedTarget { instance: target.instance.clone(), comparison })
    }

    fn comparison(&self, now: Timestamp, ranking: Ranking) -> TargetComparison {
        let expected = |s: f64| Duration::try_from_secs_f64(s).unwrap_or(Duration::MAX);
        let (index, expected_s) = ranking.best;
        let next_best = ranking.next_best;
        TargetComparison {
            targets: ranking.targets,
            expected_latency: expected(expected_s),
            load_age: self.targets[index].load_age(now),
            next_best: next_best.map(|it| (self.targets[it.0].instance.clone(), expected(it.1))),
        }
    }

    /// Takes in what a target's gate says of its load.
    pub fn report(&mut self, now: Timestamp, instance: &Instance, report: GateReport) {
        if let Some(target) = self.targets.iter_mut().find(|it| it.instance == *instance) {
            target.report(now, report);
        }
    }

    /// Ends a request given to a target.
    pub fn finish(
        &mut self,
        now: Timestamp,
        instance: &Instance,
        taken: Duration,
        result: TargetResult,
    ) {
        let ejected = self.targets.iter().filter(|it| it.is_ejected(now)).count() + 1;
        let may_eject = ejected as f64 <= self.config.eject_share_max * self.targets.len() as f64;
        // It may be gone from the list, or have come back as another incarnation.
        let Some(target) = self.targets.iter_mut().find(|it| it.instance == *instance) else {
            return;
        };
        target.finish(&self.config, now, taken, result, may_eject);
    }

    /// How the targets stand, for the status and metrics.
    pub fn view(&self, now: Timestamp) -> Vec<TargetView> {
        self.targets.iter().map(|it| it.view(&self.config, now)).collect()
    }

    fn indexes(&self, belongs: impl Fn(&Target) -> bool) -> Vec<usize> {
        (0..self.targets.len()).filter(|it| belongs(&self.targets[*it])).collect()
    }

    fn choose(&self, now: Timestamp, able: &[usize], rng: &mut impl Rng) -> Option<usize> {
        let is_near = |it: &usize| self.targets[*it].instance.zone == self.zone;
        let near: Vec<usize> = able.iter().copied().filter(is_near).collect();
        let far: Vec<usize> = able.iter().copied().filter(|it| !is_near(it)).collect();
        let near = self.two_choices(now, &near, rng);
        let far = self.two_choices(now, &far, rng);
        let (Some(near), Some(far)) = (near, far) else { return near.or(far) };
        let busy = self.targets[near].in_flight_share(&self.config, now);
        let far_cost = self.cost(now, far) + self.config.zone_penalty.as_secs_f64();
        match busy >= self.config.spill_in_flight && far_cost < self.cost(now, near) {
            true => Some(far),
            false => Some(near),
        }
    }

    /// The target with the shortest expected time, the way to another zone included; of many, the best of
    /// a few drawn at random and of those in the own zone. None where gates do not report.
    fn by_reports(
        &self,
        now: Timestamp,
        profile: RequestProfile,
        able: &[usize],
        rng: &mut impl Rng,
    ) -> Option<Ranking> {
        let RequestProfile { kind, objective } = profile;
        let usual_s = self.usual_s(now, kind, able)?;
        let ahead = objective.filter(|it| !it.is_zero());
        let way_max = ahead.map_or(Duration::MAX, |it| it.mul_f64(WAY_SHARE_MAX));
        let way_far_s = self.config.zone_penalty.min(way_max).as_secs_f64();
        let is_near = |it: usize| self.targets[it].instance.zone == self.zone;
        let drawn: Vec<usize> = match able.len() {
            ..=DRAWN_MAX => able.to_vec(),
            _ => (0..DRAWN_MAX).map(|_| able[rng.random_range(0..able.len())]).collect(),
        };
        let near = able.iter().copied().filter(|it| is_near(*it) && able.len() > DRAWN_MAX);
        let cost = |it: usize, rng: &mut dyn FnMut() -> f64| {
            let way_s = if is_near(it) { 0.0 } else { way_far_s };
            let own_s = self.expected_s(now, it, kind, usual_s);
            // Agents that have heard the same must not all go to the same target.
            own_s * (1.0 + REPORT_NOISE * rng()) + way_s
        };
        let mut noise = || rng.random_range(-1.0..1.0);
        let costs = drawn.into_iter().chain(near).map(|it| (it, cost(it, &mut noise)));
        ranking(costs)
    }

    /// What a request of the kind takes at the targets on average, or any request where no gate has said so.
    fn usual_s(&self, now: Timestamp, kind: Option<u8>, able: &[usize]) -> Option<f64> {
        let targets = || able.iter().map(|it| &self.targets[*it]);
        let of_kind = kind.and_then(|kind| mean(targets().filter_map(|it| it.kind_s(now, kind))));
        of_kind.or_else(|| mean(targets().filter_map(|it| it.service_s(now))))
    }

    /// The time until a request that is sent now has its answer: its own, by its kind, since a target that is
    /// asked for short requests would look fast by the mean of all, and the wait for those before it.
    fn expected_s(&self, now: Timestamp, target: usize, kind: Option<u8>, usual_s: f64) -> f64 {
        let target = &self.targets[target];
        let of_kind = kind.map(|it| target.kind_s(now, it));
        let own_s = match of_kind {
            Some(of_kind) => of_kind.unwrap_or(usual_s),
            None => target.service_s(now).unwrap_or(usual_s),
        };
        let expected_s = match target.wait_s(now) {
            Some(wait_s) => own_s + wait_s,
            // Nothing is known but what it was sent and has not answered.
            None => own_s * (1.0 + target.in_flight_share(&self.config, now)),
        };
        expected_s * target.failure_factor()
    }

    fn two_choices(&self, now: Timestamp, among: &[usize], rng: &mut impl Rng) -> Option<usize> {
        if among.len() < 2 {
            return among.first().copied();
        }
        let first = rng.random_range(0..among.len());
        let second = (first + rng.random_range(1..among.len())) % among.len();
        let (first, second) = (among[first], among[second]);
        match self.cost(now, second) * TIE < self.cost(now, first) {
            true => Some(second),
            false => Some(first),
        }
    }

    fn cost(&self, now: Timestamp, index: usize) -> f64 {
        self.targets[index].cost_s(&self.config, now, self.best_s())
    }

    /// The least latency measured at any target, in seconds.
    fn best_s(&self) -> f64 {
        let measured = self.targets.iter().filter_map(Target::measured_s);
        let guess_s = self.config.initial_latency.as_secs_f64();
        measured.min_by(f64::total_cmp).unwrap_or(guess_s)
    }
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0_u32), |(sum, count), it| (sum + it, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}

fn ranking(costs: impl Iterator<Item = (usize, f64)>) -> Option<Ranking> {
    let mut found: Option<Ranking> = None;
    for (index, cost_s) in costs {
        let Some(it) = &mut found else {
            found = Some(Ranking { targets: 1, best: (index, cost_s), next_best: None });
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
    found
}
