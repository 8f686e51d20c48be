//! Tests of the learned limit with service times that the test chooses.

use std::time::Duration;

use model::Timestamp;

use super::{ConcurrencyLimit, MeasuredRequest};
use crate::RouteIndex;

const SLOTS: usize = 7;

/// A saturated upstream: as many requests as slots are open run at a time.
struct Fixture {
    limit: ConcurrencyLimit,
    now: Timestamp,
    service_ms: fn(usize) -> u64,
}

impl Fixture {
    fn new(service_ms: fn(usize) -> u64) -> Fixture {
        Fixture { limit: ConcurrencyLimit::new(SLOTS), now: Timestamp::from_ms(1000), service_ms }
    }

    /// Runs full rounds of requests, each of which states this number of waiting requests. Returns the most open slots.
    fn run(&mut self, rounds: usize, waiting: u16) -> usize {
        let round = |it: &mut Fixture| {
            let (started, in_flight) = (it.now, it.limit.open_slots(it.now));
            it.now = it.now + Duration::from_millis((it.service_ms)(in_flight));
            for _ in 0..in_flight {
                it.limit.record_waiting(in_flight, waiting);
                it.limit.record(it.now, MeasuredRequest { route: None, started, in_flight });
            }
            in_flight
        };
        (0..rounds).map(|_| round(self)).max().unwrap_or(0)
    }
}

/// With more than 4 in flight, each further request lowers the completion rate.
fn steep_ms(in_flight: usize) -> u64 {
    50 * [1, 1, 1, 1, 2, 3, 4, 5][in_flight - 1]
}

fn flat_ms(_in_flight: usize) -> u64 {
    50
}

#[test]
fn limit_stays_within_half_of_the_slots_and_all() {
    let mut it = Fixture::new(|in_flight| 10 << in_flight);
    it.run(600, 9);
    assert_eq!(it.limit.limit(), 4);
    it.service_ms = flat_ms;
    let most = it.run(2_000, 0);
    assert_eq!((it.limit.limit(), most), (SLOTS, SLOTS));
}

/// Runs 5 at a time; the others wait in it, so that it completes no more with them and no fewer.
fn queueing_ms(in_flight: usize) -> u64 {
    10 * in_flight.max(5) as u64
}

/// Requests that wait in the upstream are better off in the gate's queue, which knows their deadlines and classes.
#[test]
fn slots_that_only_wait_in_the_upstream_are_closed_if_it_says_so() {
    let mut it = Fixture::new(queueing_ms);
    it.run(300, 0);
    assert_eq!(it.limit.limit(), SLOTS, "service times alone show no loss");
    it.run(600, 2);
    assert_eq!(it.limit.limit(), 5);
}

/// Without the postponement, the trials slow a full upstream down every 5 s; if it were repeated, a false statement would
/// prevent the limit from ever rising.
#[test]
fn stated_waiting_postpones_a_raise_once() {
    let raised_after = |waiting| {
        let mut it = Fixture::new(steep_ms);
        it.run(300, 0);
        assert_eq!(it.limit.limit(), 4);
        while it.run(1, waiting) > 4 {}
        while it.run(1, waiting) <= 4 {}
        let start = it.now;
        while it.run(1, waiting) > 4 {}
        while it.run(1, waiting) <= 4 {}
        it.now.since(start)
    };
    assert!((5..7).contains(&raised_after(0).as_secs()));
    assert!((10..12).contains(&raised_after(1).as_secs()));
}

/// A trial with one more in flight may make requests wait in the upstream, which says nothing of the limit.
#[test]
fn statements_during_a_raise_are_not_counted() {
    let mut it = Fixture::new(steep_ms);
    it.run(300, 0);
    for _ in 0..20 {
        it.limit.record_waiting(5, 3);
    }
    assert!(!it.limit.states_waiting());
    for _ in 0..5 {
        it.limit.record_waiting(4, 3);
    }
    assert!(it.limit.states_waiting());
}

/// A suspension of the process gives all running requests long times, which say nothing of the upstream.
#[test]
fn suspension_leaves_the_limit() {
    let mut it = Fixture::new(flat_ms);
    for round in 0..80 {
        it.run(17 + round, 0);
        let (started, in_flight) = (it.now, it.limit.open_slots(it.now));
        it.now = it.now + Duration::from_secs([1, 10][round % 2]);
        for _ in 0..in_flight {
            it.limit.record(it.now, MeasuredRequest { route: None, started, in_flight });
        }
        assert_eq!(it.limit.limit(), SLOTS);
    }
}

/// A rate that lies at the threshold can't be judged; the trials must not hold a slot back for half of the time.
#[test]
fn trials_that_stay_uncertain_cost_a_hundredth_of_the_slots_time() {
    // Completes 5% less with 7 in flight than with 6.
    let mut it = Fixture::new(|in_flight| [57, 70][in_flight - 6]);
    let start = it.now;
    let mut held_back = Duration::ZERO;
    for _ in 0..30_000 {
        let round_start = it.now;
        if it.run(1, 0) < SLOTS {
            held_back += it.now.since(round_start);
        }
    }
    assert_eq!(it.limit.limit(), SLOTS);
    let cost = held_back.as_secs_f64() / SLOTS as f64 / it.now.since(start).as_secs_f64();
    assert!(cost <= 0.01, "{cost} of the slots' time");
    assert!(cost >= 0.005, "{cost} of the slots' time: too few trials to learn from");
}

/// Requests of one route must not be compared with the reference of another one.
#[test]
fn changed_routes_are_measured_again() {
    // The mix depends on the open slots, which only references of the right kinds can tell from a slowdown.
    let run = |it: &mut Fixture, route_ms: [u64; 2]| {
        for _ in 0..2_000 {
            let (started, in_flight) = (it.now, it.limit.open_slots(it.now));
            let route = usize::from(in_flight < SLOTS);
            it.now = it.now + Duration::from_millis(route_ms[route]);
            let route = Some(RouteIndex(route));
            for _ in 0..in_flight {
                it.limit.record(it.now, MeasuredRequest { route, started, in_flight });
            }
        }
    };
    let mut it = Fixture::new(flat_ms);
    run(&mut it, [50, 100]);
    assert_eq!(it.limit.limit(), SLOTS);
    let started = it.now;
    it.now = it.now + Duration::from_millis(100);
    it.limit.renumber_routes(it.now);
    // A request that started before has an index of the former routes.
    for _ in 0..20 {
        let former = MeasuredRequest { route: Some(RouteIndex(1)), started, in_flight: SLOTS };
        it.limit.record(it.now, former);
    }
    run(&mut it, [100, 50]);
    assert_eq!(it.limit.limit(), SLOTS);
}

/// What was measured of one pair of limits says nothing of another pair.
#[test]
fn new_queue_with_another_limit_forgets_the_trials() {
    let mut it = Fixture::new(flat_ms);
    it.run(300, 0);
    let trials = |announced| it.limit.for_new_queue(it.now, announced).evidence.trials();
    assert!(trials(SLOTS) > 0);
    assert_eq!(trials(SLOTS + 2), 0);
}

/// A changed document gives a new queue; the upstream is the same.
#[test]
fn new_queue_keeps_the_limit_within_its_slots() {
    let mut it = Fixture::new(steep_ms);
    let slots = |limit: &ConcurrencyLimit, announced| {
        limit.for_new_queue(Timestamp::ZERO, announced).limit()
    };
    assert_eq!(slots(&it.limit, 9), 9, "nothing was learned");
    it.run(300, 0);
    assert_eq!([3, 5, 7, 12].map(|announced| slots(&it.limit, announced)), [3, 4, 4, 6]);
}
