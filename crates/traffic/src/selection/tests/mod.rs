//! Tests of selection.

mod many;

use std::time::Duration;

use model::{Incarnation, Instance, InstanceName, Timestamp, Zone};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    HealthHint, RequestProfile, Selection, SelectionConfig, TargetResult, TargetSpec, TargetState,
    tests::seeded,
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
    /// The agent is in zone `a`; the targets are warm.
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

    /// How often each target is picked by requests that end before the next.
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

    /// How many requests at a time each target has when none ends.
    fn fill(&mut self, requests: usize) -> Vec<usize> {
        for _ in 0..requests {
            self.pick();
        }
        self.selection.view(self.now).iter().map(|it| it.in_flight as usize).collect()
    }
}

#[test]
fn the_own_zone_comes_first_until_it_is_busy() {
    let mut it = Fixture::new(&["a", "b", "c"]);
    assert_eq!(it.picks(|_| TargetResult::Answered), [300, 0, 0]);
    let in_flight = it.fill(60);
    assert!(in_flight.iter().all(|it| *it >= 15), "{in_flight:?}");
}

#[test]
fn work_spreads_by_what_is_in_flight() {
    let mut it = Fixture::new(&["a", "a", "a"]);
    let in_flight = it.fill(90);
    assert!(in_flight.iter().all(|it| (25..=35).contains(it)), "{in_flight:?}");
}

#[test]
fn a_failing_target_is_ejected_but_never_too_many() {
    let mut it = Fixture::new(&["a", "a", "a"]);
    let bad = it.specs[0].instance.clone();
    let picks = it.picks(|it| match *it == bad {
        true => TargetResult::Failed,
        false => TargetResult::Answered,
    });
    assert_eq!(picks[0], 5);
    it.picks(|_| TargetResult::Failed);
    let ejected = it.selection.view(it.now).iter().filter(|it| it.is_ejected).count();
    assert_eq!(ejected, 1);
}

#[test]
fn a_frozen_target_gets_no_new_work() {
    let mut it = Fixture::new(&["a", "a"]);
    let frozen = it.pick().unwrap();
    it.now = it.now + ms(1100);
    for _ in 0..50 {
        let other = it.pick().unwrap();
        assert_ne!(other, frozen);
        it.finish(&other, TargetResult::Answered);
    }
}

#[test]
fn a_leaving_target_gets_none_and_its_requests_end() {
    let mut it = Fixture::new(&["a", "a"]);
    let leaving = it.pick().unwrap();
    let specs: Vec<_> = it.specs.iter().filter(|it| it.instance != leaving).cloned().collect();
    it.selection.update(it.now, &specs);
    for _ in 0..20 {
        assert_ne!(it.pick().unwrap(), leaving);
    }
    it.finish(&leaving, TargetResult::Answered);
    it.selection.update(it.now, &[]);
    assert_eq!(it.pick(), None);
}

#[test]
fn a_new_target_ramps_up() {
    let mut it = Fixture::new(&["a"]);
    it.specs.push(spec(9, "a"));
    let specs = it.specs.clone();
    it.selection.update(it.now, &specs);
    let in_flight = it.fill(55);
    assert!((1..=8).contains(&in_flight[1]), "{in_flight:?}");
}

#[test]
fn a_lying_health_hint_starves_nobody() {
    let mut it = Fixture::new(&["a", "a"]);
    it.specs[0].hint = HealthHint { is_unhealthy: true, load: 1.0 };
    let specs = it.specs.clone();
    it.selection.update(it.now, &specs);
    let in_flight = it.fill(100);
    assert!(in_flight[0] >= 25, "{in_flight:?}");
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

/// Whatever happens, the asserts inside hold and closed targets get nothing.
#[test]
fn closed_targets_get_nothing() {
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
                        assert!(!closed[index.unwrap()], "a closed target got work");
                        in_flight.push(instance);
                    }
                }
            }
        }
        true
    }
    seeded(property as fn(u64) -> bool);
}

/// One agent of many sends to targets of different speeds, whose gates report their load with each
/// answer; the speeds are those of the platform's services, the load is nine tenths of what all can run.
#[test]
fn reports_of_gates_spread_the_load_by_speed() {
    use crate::GateReport;
    const SLOTS: u32 = 12;
    let service_ms: [u32; 4] = [440, 220, 220, 147];
    let capacity_per_s: f64 =
        service_ms.iter().map(|it| f64::from(SLOTS) * 1e3 / f64::from(*it)).sum();
    let mut it = Fixture::new(&["a", "a", "b", "b"]);
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    // Ends of what runs or waits at each target.
    let mut ends: Vec<Vec<Timestamp>> = vec![Vec::new(); 4];
    let mut running: Vec<(Timestamp, usize)> = Vec::new();
    let (mut late, mut sent) = (0, 0);
    let step = Duration::from_secs_f64(1.0 / (0.9 * capacity_per_s));
    for _ in 0..8000 {
        it.now = it.now + step;
        let now = it.now;
        running.sort();
        for (_, at) in running.extract_if(.., |it| it.0 <= now) {
            let instance = it.specs[at].instance.clone();
            it.selection.finish(now, &instance, ms(100), TargetResult::Answered);
            ends[at].retain(|it| *it > now);
            let backlog = ends[at].len() as u32;
            let service_time = ms(service_ms[at].into());
            it.selection.report(
                now,
                &instance,
                GateReport { backlog, slots: SLOTS, service_time, kind_service_time: None },
            );
        }
        let Some(instance) = it.pick() else { continue };
        let at = it.specs.iter().position(|it| it.instance == instance).unwrap();
        ends[at].retain(|it| *it > now);
        ends[at].sort();
        let free_at = match ends[at].len().checked_sub(SLOTS as usize) {
            Some(ahead) => ends[at][ahead],
            None => now,
        };
        let spread = rng.random_range(0.7..1.3);
        let end = free_at + ms(service_ms[at].into()).mul_f64(spread);
        ends[at].push(end);
        running.push((end, at));
        sent += 1;
        late += u32::from(end.since(now) > ms(600));
    }
    assert!(f64::from(late) <= 0.05 * f64::from(sent), "{late} of {sent} took more than 600 ms");
}

#[test]
fn a_pick_tells_what_it_was_weighed_by() {
    use crate::GateReport;
    let mut it = Fixture::new(&["a", "a", "a"]);
    let picked = it.selection.pick(it.now, RequestProfile::default(), &[], &mut it.rng).unwrap();
    assert_eq!(picked.comparison, None, "no gate has told its load");
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
    assert!(comparison.expected_latency < ms(110), "{:?}", comparison.expected_latency);
}

/// The own zone's target has 40 ms of waiting, the other zone is 150 ms away.
#[test]
fn a_short_call_crosses_zones_sooner_than_a_long_request() {
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
