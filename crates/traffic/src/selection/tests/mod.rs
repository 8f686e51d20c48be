//! Tests of target selection.

mod many_agents;

use std::time::Duration;

use model::{Incarnation, Instance, InstanceName, Timestamp, Zone};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    HealthHint, RequestProfile, Selection, SelectionConfig, TargetResult, TargetSpec, TargetState,
    tests::check_seeded,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn spec(index: u16, zone: &str) -> TargetSpec {
    let instance = Instance {
        name: InstanceName::new(&format!("target-{index}")).unwrap(),
        incarnation: Incarnation(1),
        zone: Zone::new(zone).unwrap(),
        control: ([127, 0, 0, 1], 4000 + index).into(),
        traffic: ([127, 0, 0, 1], 5000 + index).into(),
    };
    TargetSpec { instance, state: TargetState::Ready, hint: HealthHint::default() }
}

struct Fixture {
    selection: Selection,
    specs: Vec<TargetSpec>,
    rng: Pcg64Mcg,
    now: Timestamp,
}

impl Fixture {
    /// Creates a selection of an agent in zone `a`, whose targets have passed their slow start.
    fn new(zones: &[&str]) -> Fixture {
        let zone = Zone::new("a").unwrap();
        let mut selection = Selection::new(SelectionConfig::default(), zone);
        let specs: Vec<_> = zones.iter().zip(0..).map(|(zone, it)| spec(it, zone)).collect();
        selection.update(Timestamp::ZERO, &specs);
        let now = Timestamp::from_ms(60_000);
        Fixture { selection, specs, rng: Pcg64Mcg::seed_from_u64(1), now }
    }

    fn pick(&mut self) -> Option<Instance> {
        self.selection
            .pick(self.now, RequestProfile::default(), &[], &mut self.rng)
            .map(|it| it.instance)
    }

    fn finish(&mut self, instance: &Instance, result: TargetResult) {
        self.selection.finish(self.now, instance, ms(10), result);
    }

    /// Returns how often each target is picked if each request ends before the next one starts.
    fn picks(&mut self, result: impl Fn(&Instance) -> TargetResult) -> Vec<usize> {
        let mut picks = vec![0; self.specs.len()];
        for _ in 0..300 {
            let Some(instance) = self.pick() else { continue };
            let index = self.specs.iter().position(|it| it.instance == instance).unwrap();
            picks[index] += 1;
            self.finish(&instance, result(&instance));
        }
        picks
    }

    /// Returns the number of requests in flight at each target if none of them ends.
    fn fill_in_flight(&mut self, requests: usize) -> Vec<usize> {
        for _ in 0..requests {
            self.pick();
        }
        self.selection.view(self.now).iter().map(|it| it.in_flight as usize).collect()
    }
}

#[test]
fn targets_of_the_own_zone_are_picked_until_they_are_busy() {
    let mut it = Fixture::new(&["a", "b", "c"]);
    assert_eq!(it.picks(|_| TargetResult::Answered), [300, 0, 0]);
    let in_flight = it.fill_in_flight(60);
    assert!(in_flight.iter().all(|it| *it >= 15), "requests in flight: {in_flight:?}");
}

#[test]
fn requests_spread_by_the_number_in_flight() {
    let mut it = Fixture::new(&["a", "a", "a"]);
    let in_flight = it.fill_in_flight(90);
    assert!(in_flight.iter().all(|it| (25..=35).contains(it)), "requests in flight: {in_flight:?}");
}

#[test]
fn a_failing_target_is_ejected_up_to_the_largest_share() {
    let mut it = Fixture::new(&["a", "a", "a"]);
    let failing = it.specs[0].instance.clone();
    let picks = it.picks(|it| match *it == failing {
        true => TargetResult::Failed,
        false => TargetResult::Answered,
    });
    assert_eq!(picks[0], 5);
    it.picks(|_| TargetResult::Failed);
    let ejected = it.selection.view(it.now).iter().filter(|it| it.is_ejected).count();
    assert_eq!(ejected, 1);
}

#[test]
fn an_unresponsive_target_gets_no_new_requests() {
    let mut it = Fixture::new(&["a", "a"]);
    let unresponsive = it.pick().unwrap();
    it.now = it.now + ms(1100);
    for _ in 0..50 {
        let other = it.pick().unwrap();
        assert_ne!(other, unresponsive);
        it.finish(&other, TargetResult::Answered);
    }
}

#[test]
fn a_removed_target_gets_no_new_requests_and_may_end_its_own() {
    let mut it = Fixture::new(&["a", "a"]);
    let removed = it.pick().unwrap();
    let specs: Vec<_> = it.specs.iter().filter(|it| it.instance != removed).cloned().collect();
    it.selection.update(it.now, &specs);
    for _ in 0..20 {
        assert_ne!(it.pick().unwrap(), removed);
    }
    it.finish(&removed, TargetResult::Answered);
    it.selection.update(it.now, &[]);
    assert_eq!(it.pick(), None);
}

#[test]
fn a_new_target_ramps_up() {
    let mut it = Fixture::new(&["a"]);
    it.specs.push(spec(9, "a"));
    let specs = it.specs.clone();
    it.selection.update(it.now, &specs);
    let in_flight = it.fill_in_flight(55);
    assert!((1..=8).contains(&in_flight[1]), "requests in flight: {in_flight:?}");
}

#[test]
fn a_wrong_health_hint_does_not_starve_a_target() {
    let mut it = Fixture::new(&["a", "a"]);
    it.specs[0].hint = HealthHint { is_unhealthy: true, load: 1.0 };
    let specs = it.specs.clone();
    it.selection.update(it.now, &specs);
    let in_flight = it.fill_in_flight(100);
    assert!(in_flight[0] >= 25, "requests in flight: {in_flight:?}");
}

#[test]
fn a_target_that_was_slow_once_is_tried_again() {
    let mut it = Fixture::new(&["a", "a"]);
    it.picks(|_| TargetResult::Answered);
    let slow = it.pick().unwrap();
    it.selection.finish(it.now, &slow, ms(500), TargetResult::Answered);
    let index = it.specs.iter().position(|it| it.instance == slow).unwrap();
    assert_eq!(it.picks(|_| TargetResult::Answered)[index], 0);
    it.now = it.now + ms(120_000);
    assert!(it.picks(|_| TargetResult::Answered)[index] > 0);
}

/// In any order of updates, picks and results, closed targets get no requests and the selection's own assertions hold.
#[test]
fn closed_targets_get_no_requests() {
    fn property(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut it = Fixture::new(&["a", "a", "b", "c"]);
        let mut in_flight: Vec<Instance> = Vec::new();
        let mut closed = [false; 4];
        for _ in 0..300 {
            it.now = it.now + ms(rng.random_range(0..400));
            match rng.random_range(0..5) {
                0 => {
                    let index = rng.random_range(0..4);
                    closed[index] = !closed[index];
                    let open = it.specs.iter().enumerate().filter(|(index, _)| !closed[*index]);
                    let specs: Vec<_> = open.map(|(_, it)| it.clone()).collect();
                    it.selection.update(it.now, &specs);
                }
                1 | 2 if !in_flight.is_empty() => {
                    let instance = in_flight.swap_remove(rng.random_range(0..in_flight.len()));
                    let results =
                        [TargetResult::Answered, TargetResult::Shed, TargetResult::Failed];
                    it.finish(&instance, results[rng.random_range(0..3)]);
                }
                _ => {
                    if let Some(instance) = it.pick() {
                        let index = it.specs.iter().position(|it| it.instance == instance);
                        assert!(!closed[index.unwrap()], "a closed target got a request");
                        in_flight.push(instance);
                    }
                }
            }
        }
        true
    }
    check_seeded(property as fn(u64) -> bool);
}

/// Simulates one agent and targets of different speeds, whose gates report their load with each answer. The load
/// is nine tenths of the total capacity.
#[test]
fn load_reports_spread_the_requests_by_speed() {
    use crate::GateReport;
    const SLOTS: u32 = 12;
    let service_ms: [u32; 4] = [440, 220, 220, 147];
    let capacity_per_s: f64 =
        service_ms.iter().map(|it| f64::from(SLOTS) * 1e3 / f64::from(*it)).sum();
    let mut it = Fixture::new(&["a", "a", "b", "b"]);
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    // The times at which the running and waiting requests of each target end.
    let mut end_times: Vec<Vec<Timestamp>> = vec![Vec::new(); 4];
    let mut running: Vec<(Timestamp, usize)> = Vec::new();
    let (mut late, mut sent) = (0, 0);
    let step = Duration::from_secs_f64(1.0 / (0.9 * capacity_per_s));
    for _ in 0..8000 {
        it.now = it.now + step;
        let now = it.now;
        running.sort();
        for (_, target) in running.extract_if(.., |it| it.0 <= now) {
            let instance = it.specs[target].instance.clone();
            it.selection.finish(now, &instance, ms(100), TargetResult::Answered);
            end_times[target].retain(|it| *it > now);
            let backlog = end_times[target].len() as u32;
            let service_time = ms(service_ms[target].into());
            it.selection.report(
                now,
                &instance,
                GateReport { backlog, slots: SLOTS, service_time, kind_service_time: None },
            );
        }
        let Some(instance) = it.pick() else { continue };
        let target = it.specs.iter().position(|it| it.instance == instance).unwrap();
        end_times[target].retain(|it| *it > now);
        end_times[target].sort();
        let free_at = match end_times[target].len().checked_sub(SLOTS as usize) {
            Some(ahead) => end_times[target][ahead],
            None => now,
        };
        let spread = rng.random_range(0.7..1.3);
        let end = free_at + ms(service_ms[target].into()).mul_f64(spread);
        end_times[target].push(end);
        running.push((end, target));
        sent += 1;
        late += u32::from(end.since(now) > ms(600));
    }
    assert!(
        f64::from(late) <= 0.05 * f64::from(sent),
        "{late} of {sent} requests took more than 600 ms"
    );
}

#[test]
fn a_pick_returns_the_comparison_that_it_was_picked_by() {
    use crate::GateReport;
    let mut it = Fixture::new(&["a", "a", "a"]);
    let picked = it.selection.pick(it.now, RequestProfile::default(), &[], &mut it.rng).unwrap();
    assert_eq!(picked.comparison, None, "no gate has reported its load");
    let specs = it.specs.clone();
    for (spec, backlog) in specs.iter().zip([24, 0, 36]) {
        let report =
            GateReport { backlog, slots: 12, service_time: ms(100), kind_service_time: None };
        it.selection.report(it.now, &spec.instance, report);
    }
    it.now = it.now + ms(10);
    let picked = it.selection.pick(it.now, RequestProfile::default(), &[], &mut it.rng).unwrap();
    assert_eq!(picked.instance, specs[1].instance);
    let comparison = picked.comparison.unwrap();
    assert_eq!((comparison.targets, comparison.load_age), (3, Some(ms(10))));
    assert_eq!(comparison.next_best.unwrap().0, specs[0].instance);
    assert!(
        comparison.expected_latency < ms(110),
        "expected latency of {:?}",
        comparison.expected_latency
    );
}

/// The expected wait at the local target is 93 ms. The remote target is idle, but has a zone penalty of 150 ms.
#[test]
fn a_short_request_crosses_zones_earlier_than_a_long_one() {
    use crate::GateReport;
    let mut it = Fixture::new(&["a", "b"]);
    it.selection.config.zone_penalty = ms(150);
    let specs = it.specs.clone();
    for (spec, backlog) in specs.iter().zip([36, 0]) {
        let report = GateReport {
            backlog,
            slots: 9,
            service_time: ms(30),
            kind_service_time: Some((1, ms(30))),
        };
        it.selection.report(it.now, &spec.instance, report);
    }
    let mut pick = |objective: u64| {
        let profile = RequestProfile { kind: Some(1), objective: Some(ms(objective)) };
        let picked = it.selection.pick(it.now, profile, &[], &mut it.rng).unwrap().instance;
        it.selection.finish(it.now, &picked, ms(30), TargetResult::Cancelled);
        picked
    };
    assert_eq!(pick(120), specs[1].instance);
    assert_eq!(pick(800), specs[0].instance);
}
