//! Simulates an upstream under three times the rate that it takes, because it is cold or states a limit.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use model::{NotRunReason, RequestRate, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{config, ms};
use crate::{
    Admission, Arrival, ClassIndex, Completion, Decision, SharedRateLimit, Ticket, Timeliness,
    Verdict,
};

const SLOTS: usize = 9;
const COLD_PER_S: f64 = 12.0;
const ARRIVALS_PER_S: u64 = 36;
/// The service time while the upstream is cold, twice the usual one.
const SERVICE: Duration = Duration::from_millis(320);
const OBJECTIVE: Duration = Duration::from_millis(1_000);
const SIMULATED_S: u64 = 20;

#[derive(Debug, Default)]
struct Results {
    starts: Vec<Timestamp>,
    in_time: u32,
    late: u32,
    /// The refused requests, each with its time in the queue and its retry-after time.
    refused: Vec<(Duration, Duration)>,
    expired: u32,
}

impl Results {
    fn starts_per_s_max(&self) -> usize {
        let within = |from: &Timestamp| {
            let until = *from + Duration::from_secs(1);
            self.starts.iter().filter(|it| **it >= *from && **it < until).count()
        };
        self.starts.iter().map(within).max().unwrap_or(0)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ends(Ticket),
    Arrives,
    Tick,
}

fn simulate(rate_limit: SharedRateLimit) -> Results {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut admission =
        Admission::new(config(SLOTS, &[1.0]), Timestamp::ZERO).with_rate_limit(rate_limit);
    let mut events = BinaryHeap::new();
    for _ in 0..ARRIVALS_PER_S * SIMULATED_S {
        let at = ms(rng.random_range(0..SIMULATED_S * 1_000));
        events.push(Reverse((Timestamp::ZERO + at, Event::Arrives)));
    }
    let mut results = Results::default();
    let mut arrived_at = std::collections::HashMap::new();
    let mut decisions: Vec<Decision> = Vec::new();
    while let Some(Reverse((now, event))) = events.pop() {
        match event {
            Event::Arrives => {
                let (deadline, timeliness) = (now + OBJECTIVE, Timeliness::InTime);
                let arrival = Arrival {
                    class: ClassIndex(0),
                    route: None,
                    deadline,
                    timeliness,
                    is_express: false,
                    objective: None,
                };
                let ticket = admission.offer(now, arrival, &mut rng, &mut decisions);
                arrived_at.insert(ticket, now);
            }
            Event::Ends(ticket) => {
                match now.since(arrived_at[&ticket]) <= OBJECTIVE {
                    true => results.in_time += 1,
                    false => results.late += 1,
                }
                admission.finish(now, ticket, Completion::Answered, &mut rng, &mut decisions);
            }
            Event::Tick => admission.tick(now, &mut rng, &mut decisions),
        }
        for Decision { ticket, verdict } in decisions.drain(..) {
            match verdict {
                Verdict::Start => {
                    results.starts.push(now);
                    events.push(Reverse((now + SERVICE, Event::Ends(ticket))));
                }
                Verdict::Shed { reason, retry_after } => {
                    assert_eq!(reason, NotRunReason::Overloaded);
                    results.refused.push((now.since(arrived_at[&ticket]), retry_after));
                }
                Verdict::Expired => results.expired += 1,
            }
        }
        if let Some(at) = admission.next_wakeup(now) {
            events.push(Reverse((at.max(now), Event::Tick)));
        }
    }
    results
}

/// Asserts that most of the requests that the rate allows are answered in time, none are late, and the others are
/// refused long before they could be late.
#[track_caller]
fn assert_served_in_time_or_refused_early(results: &Results) {
    let allowed = COLD_PER_S * SIMULATED_S as f64;
    assert!(
        f64::from(results.in_time) >= 0.85 * allowed,
        "{} of {allowed} requests in time",
        results.in_time
    );
    assert_eq!((results.late, results.expired), (0, 0));
    let wait_max = results.refused.iter().map(|it| it.0).max().unwrap();
    assert!(wait_max < OBJECTIVE.mul_f64(0.75), "a request was refused only after {wait_max:?}");
}

fn cold_rate_limit() -> SharedRateLimit {
    let rate_limit = SharedRateLimit::new(Timestamp::ZERO);
    rate_limit.with(|it| {
        it.set_cold_rate(Some(COLD_PER_S));
        it.set_cold_period(Timestamp::ZERO, Duration::from_secs(3_600));
    });
    rate_limit
}

#[test]
fn a_cold_upstream_gets_its_rate_and_other_requests_are_refused_early() {
    let results = simulate(cold_rate_limit());
    assert!(
        results.starts_per_s_max() as f64 <= COLD_PER_S,
        "{} starts in a second",
        results.starts_per_s_max()
    );
    assert_served_in_time_or_refused_early(&results);
    // The next request can start one interval later at the earliest.
    let start_interval = Duration::from_secs_f64(COLD_PER_S.recip());
    assert!(
        results.refused.iter().all(|it| it.1 >= start_interval),
        "a retry-after time is shorter than the time between two starts"
    );
}

#[test]
fn a_warm_upstream_is_limited_only_by_its_slots() {
    let rate_limit = SharedRateLimit::new(Timestamp::ZERO);
    rate_limit.with(|it| {
        it.set_cold_rate(Some(COLD_PER_S));
        it.set_cold_period(Timestamp::ZERO, Duration::ZERO);
    });
    let results = simulate(rate_limit);
    let slot_capacity = SLOTS as f64 / SERVICE.as_secs_f64() * SIMULATED_S as f64;
    assert!(
        f64::from(results.in_time) >= 0.85 * slot_capacity,
        "{} of {slot_capacity} requests in time",
        results.in_time
    );
}

fn stated_rate_limit() -> SharedRateLimit {
    let rate_limit = SharedRateLimit::new(Timestamp::ZERO);
    rate_limit.with(|it| {
        it.set_cold_period(Timestamp::ZERO, Duration::ZERO);
        it.set_stated_rate(RequestRate::from_per_s(COLD_PER_S));
    });
    rate_limit
}

#[test]
fn an_upstream_that_states_a_limit_gets_its_rate_and_other_requests_are_refused_early() {
    let results = simulate(stated_rate_limit());
    let starts_max = COLD_PER_S * SIMULATED_S as f64 + COLD_PER_S;
    assert!(results.starts.len() as f64 <= starts_max, "{} starts", results.starts.len());
    assert_served_in_time_or_refused_early(&results);
}

#[test]
fn a_request_uses_its_share_of_a_stated_limit() {
    let admission = |it| Admission::new(config(SLOTS, &[1.0]), Timestamp::ZERO).with_rate_limit(it);
    let limited = admission(stated_rate_limit());
    let second = Duration::from_secs(1);
    let share = second.mul_f64(SLOTS as f64 / COLD_PER_S);
    assert!(limited.capacity_used(SERVICE).abs_diff(share) < Duration::from_millis(1));
    assert_eq!(limited.capacity_used(second * 5), second * 5);
    assert_eq!(admission(cold_rate_limit()).capacity_used(SERVICE), SERVICE);
}
