//! Tests of the rate limits of cold upstreams and of those that state a limit.

use std::time::Duration;

use crate::tests::check_seeded;
use model::{RequestRate, Timestamp};

use super::RateLimit;

const SECOND: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(ms)
}

/// Starts as many requests as the limit allows, trying each millisecond. Returns the times of the starts.
fn start_greedily(rate_limit: &mut RateLimit, from_ms: u64, until_ms: u64) -> Vec<Timestamp> {
    let mut starts = Vec::new();
    for now in (from_ms..until_ms).map(at) {
        while rate_limit.next_start(now).is_none() && starts.len() < 10_000 {
            rate_limit.start(now);
            starts.push(now);
        }
    }
    starts
}

/// Returns the largest number of starts within any second.
fn starts_per_s_max(starts: &[Timestamp]) -> usize {
    let within = |from: &Timestamp| {
        starts.iter().filter(|it| **it >= *from && **it < *from + SECOND).count()
    };
    starts.iter().map(within).max().unwrap_or(0)
}

#[test]
fn starts_at_a_cold_upstream_reach_but_never_exceed_the_rate() {
    let mut rate_limit = RateLimit::new(at(0));
    rate_limit.set_cold_rate(Some(12.0));
    rate_limit.set_cold_period(at(0), SECOND * 60);
    let starts = start_greedily(&mut rate_limit, 0, 10_000);
    assert!(starts_per_s_max(&starts) <= 12, "{} starts in a second", starts_per_s_max(&starts));
    assert!(starts.len() >= 115, "only {} of 120 starts", starts.len());
}

#[test]
fn an_upstream_that_announces_it_is_warm_has_no_limit() {
    let mut rate_limit = RateLimit::new(at(0));
    rate_limit.set_cold_rate(Some(12.0));
    assert!(rate_limit.is_cold(at(0)), "an upstream in unknown state must count as cold");
    rate_limit.set_cold_period(at(10), Duration::ZERO);
    for _ in 0..100 {
        assert_eq!(rate_limit.next_start(at(10)), None);
        rate_limit.start(at(10));
    }
}

#[test]
fn a_missing_or_invalid_rate_sets_no_limit() {
    let mut rate_limit = RateLimit::new(at(0));
    for rate in [None, Some(0.0), Some(-1.0), Some(f64::NAN), Some(f64::INFINITY), Some(1e12)] {
        rate_limit.set_cold_rate(rate);
        assert_eq!(rate_limit.next_start(at(0)), None);
    }
}

#[test]
fn the_smallest_positive_rate_sets_a_limit() {
    let mut rate_limit = RateLimit::new(at(0));
    rate_limit.set_cold_rate(Some(f64::MIN_POSITIVE));
    rate_limit.set_cold_period(at(0), SECOND * 60);
    assert!(rate_limit.next_start(at(500)).is_some());
}

#[test]
fn starts_while_warm_count_towards_the_limit_when_cold() {
    let mut rate_limit = RateLimit::new(at(0));
    rate_limit.set_cold_rate(Some(12.0));
    rate_limit.set_cold_period(at(0), Duration::ZERO);
    (0..50).for_each(|_| rate_limit.start(at(1_000)));
    rate_limit.set_cold_period(at(1_001), SECOND);
    let next = rate_limit.next_start(at(1_001)).unwrap();
    assert!(next >= at(1_080), "next start at {next:?}, but the last windows are full");
}

#[test]
fn an_invalidated_state_needs_two_announcements_to_count_as_warm() {
    let mut rate_limit = RateLimit::new(at(0));
    rate_limit.set_cold_rate(Some(12.0));
    rate_limit.set_cold_period(at(0), Duration::ZERO);
    assert!(!rate_limit.is_cold(at(1)));
    rate_limit.invalidate_cold_state();
    assert!(rate_limit.is_cold(at(2)));
    rate_limit.set_cold_period(at(3), Duration::ZERO);
    assert!(
        rate_limit.is_cold(at(4)),
        "the announcement may have been sent before the state became unknown"
    );
    rate_limit.set_cold_period(at(900), Duration::ZERO);
    assert!(!rate_limit.is_cold(at(901)));
    rate_limit.invalidate_cold_state();
    rate_limit.set_cold_period(at(1_000), ms(500));
    assert!(rate_limit.is_cold(at(1_499)) && !rate_limit.is_cold(at(1_501)));
}

#[test]
fn any_rate_is_reached_but_not_exceeded() {
    for per_s in [0.5, 1.0, 3.0, 7.0, 12.5, 15.0, 43.0] {
        let mut rate_limit = RateLimit::new(at(0));
        rate_limit.set_cold_rate(Some(per_s));
        rate_limit.set_cold_period(at(0), SECOND * 60);
        let starts = start_greedily(&mut rate_limit, 0, 20_000);
        let starts_per_s = starts_per_s_max(&starts) as f64;
        assert!(
            starts_per_s <= per_s.max(1.0).ceil(),
            "{starts_per_s} starts in a second at a rate of {per_s}"
        );
        assert!(
            starts.len() as f64 >= (per_s - 2.0) * 19.0,
            "{} starts at a rate of {per_s}",
            starts.len()
        );
    }
}

/// Random sequences of requests, of an upstream turning cold or warm, and of restarts of its agent, which loses all
/// state. While the upstream counts as cold, no second has more starts than the rate.
#[test]
fn no_second_has_more_starts_than_the_rate() {
    check_seeded(rate_is_never_exceeded as fn(Vec<(u8, u16)>, u8) -> bool);
}

fn rate_is_never_exceeded(steps: Vec<(u8, u16)>, rate: u8) -> bool {
    let per_s = f64::from(rate % 40 + 1);
    let mut now = at(1_000);
    let mut rate_limit = RateLimit::new(now);
    rate_limit.set_cold_rate(Some(per_s));
    let mut cold_starts = Vec::new();
    for (action, value) in steps {
        match action % 16 {
            0 => rate_limit.set_cold_period(now, ms(u64::from(value % 3_000))),
            1 => rate_limit.invalidate_cold_state(),
            2 => {
                // A killed agent takes a while to restart.
                now = now + ms(u64::from(value % 300));
                rate_limit = RateLimit::new(now);
                rate_limit.set_cold_rate(Some(per_s));
            }
            _ => now = now + ms(u64::from(value % 40)),
        }
        for _ in 0..value % 60 {
            if rate_limit.next_start(now).is_none() {
                if rate_limit.is_cold(now) {
                    cold_starts.push(now);
                }
                rate_limit.start(now);
            }
        }
    }
    starts_per_s_max(&cold_starts) as f64 <= per_s
}

/// The rule of upstreams that state a limit: the most requests in any 4 s at a rate.
fn most_in_4_s(starts: &[Timestamp]) -> f64 {
    let within = |from: &Timestamp| {
        starts.iter().filter(|it| **it >= *from && **it < *from + SECOND * 4).count()
    };
    starts.iter().map(within).max().unwrap_or(0) as f64
}

fn rate(per_s: f64) -> Option<RequestRate> {
    RequestRate::from_per_s(per_s)
}

#[test]
fn stated_limit_is_reached_on_average() {
    for per_s in [0.7, 1.0, 3.9, 6.5, 7.6, 9.9, 12.3, 250.0] {
        let mut rate_limit = RateLimit::new(at(0));
        rate_limit.set_cold_period(at(0), Duration::ZERO);
        rate_limit.set_stated_rate(rate(per_s));
        let starts = start_greedily(&mut rate_limit, 0, 20_000);
        let expected = per_s * 20.0;
        assert!(
            starts.len() as f64 >= 0.9 * expected - 1.0,
            "{} starts of {expected} at a rate of {per_s}",
            starts.len()
        );
        assert!(most_in_4_s(&starts) <= per_s * 4.25 + 1.0, "rate of {per_s}");
    }
}

#[test]
fn lower_of_the_cold_and_the_stated_limit_is_in_force() {
    let mut rate_limit = RateLimit::new(at(0));
    rate_limit.set_cold_rate(Some(12.0));
    rate_limit.set_stated_rate(rate(5.0));
    let starts = start_greedily(&mut rate_limit, 0, 10_000);
    assert!((45..=52).contains(&starts.len()), "{} starts", starts.len());
    rate_limit.set_stated_rate(rate(100.0));
    let starts = start_greedily(&mut rate_limit, 10_000, 20_000);
    assert!((115..=121).contains(&starts.len()), "{} starts", starts.len());
}

#[test]
fn requests_before_a_limit_is_stated_count_towards_it() {
    let mut rate_limit = RateLimit::new(at(0));
    rate_limit.set_cold_period(at(0), Duration::ZERO);
    (0..30).for_each(|_| rate_limit.start(at(1_000)));
    rate_limit.set_stated_rate(rate(10.0));
    assert_eq!(rate_limit.next_start(at(1_001)), Some(at(1_200) + Duration::from_nanos(1)));
}

#[test]
fn stated_limit_of_almost_zero_still_allows_a_request_now_and_then() {
    let mut rate_limit = RateLimit::new(at(0));
    rate_limit.set_stated_rate(rate(0.0));
    let starts = start_greedily(&mut rate_limit, 0, 20_000);
    assert!((8..=10).contains(&starts.len()), "{} starts", starts.len());
}

/// Random requests while the stated limit changes, ends and begins again, and the agent restarts knowing it. Within
/// any 4 s under limits of at most some rate, there are at most 1.5 times the requests of that rate, and 5.
#[test]
fn no_4_s_under_a_stated_limit_have_more_starts_than_allowed() {
    check_seeded(stated_rate_is_never_exceeded as fn(Vec<(u8, u16)>, u8) -> bool);
}

fn stated_rate_is_never_exceeded(steps: Vec<(u8, u16)>, rate_max: u8) -> bool {
    let max_per_s = f64::from(rate_max % 60 + 1) / 2.0;
    let mut now = at(1_000);
    let mut rate_limit = RateLimit::new(now);
    rate_limit.set_cold_period(now, Duration::ZERO);
    rate_limit.set_stated_rate(rate(max_per_s));
    let mut starts = Vec::new();
    for (action, value) in steps {
        match action % 16 {
            0 => rate_limit.set_stated_rate(rate(max_per_s * f64::from(value % 100) / 100.0)),
            1 => rate_limit.set_stated_rate(rate(max_per_s)),
            2 => {
                now = now + ms(u64::from(value % 300));
                rate_limit = RateLimit::new(now);
                rate_limit.set_stated_rate(rate(max_per_s));
            }
            _ => now = now + ms(u64::from(value % 80)),
        }
        for _ in 0..value % 60 {
            if rate_limit.next_start(now).is_none() {
                rate_limit.start(now);
                starts.push(now);
            }
        }
    }
    most_in_4_s(&starts) <= max_per_s.max(0.5) * 4.0 * 1.5 + 5.0
}
