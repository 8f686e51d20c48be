//! Tests of the rate limit of cold upstreams.

use std::time::Duration;

use crate::tests::check_seeded;
use model::Timestamp;

use super::Warmup;

const SECOND: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(ms)
}

/// Starts as many requests as the limit allows, trying each millisecond. Returns the times of the starts.
fn start_greedily(warmup: &mut Warmup, from_ms: u64, until_ms: u64) -> Vec<Timestamp> {
    let mut starts = Vec::new();
    for now in (from_ms..until_ms).map(at) {
        while warmup.next_start(now).is_none() && starts.len() < 10_000 {
            warmup.start(now);
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
    let mut warmup = Warmup::new(at(0));
    warmup.set_limit(Some(12.0));
    warmup.set_cold_period(at(0), SECOND * 60);
    let starts = start_greedily(&mut warmup, 0, 10_000);
    assert!(starts_per_s_max(&starts) <= 12, "{} starts in a second", starts_per_s_max(&starts));
    assert!(starts.len() >= 115, "only {} of 120 starts", starts.len());
}

#[test]
fn an_upstream_that_announces_it_is_warm_has_no_limit() {
    let mut warmup = Warmup::new(at(0));
    warmup.set_limit(Some(12.0));
    assert!(warmup.is_cold(at(0)), "an upstream in unknown state must count as cold");
    warmup.set_cold_period(at(10), Duration::ZERO);
    for _ in 0..100 {
        assert_eq!(warmup.next_start(at(10)), None);
        warmup.start(at(10));
    }
}

#[test]
fn a_missing_or_invalid_rate_sets_no_limit() {
    let mut warmup = Warmup::new(at(0));
    for rate in [None, Some(0.0), Some(-1.0), Some(f64::NAN), Some(f64::INFINITY), Some(1e12)] {
        warmup.set_limit(rate);
        assert_eq!(warmup.next_start(at(0)), None);
    }
}

#[test]
fn the_smallest_positive_rate_sets_a_limit() {
    let mut warmup = Warmup::new(at(0));
    warmup.set_limit(Some(f64::MIN_POSITIVE));
    warmup.set_cold_period(at(0), SECOND * 60);
    assert!(warmup.next_start(at(500)).is_some());
}

#[test]
fn starts_while_warm_count_towards_the_limit_when_cold() {
    let mut warmup = Warmup::new(at(0));
    warmup.set_limit(Some(12.0));
    warmup.set_cold_period(at(0), Duration::ZERO);
    (0..50).for_each(|_| warmup.start(at(1_000)));
    warmup.set_cold_period(at(1_001), SECOND);
    let next = warmup.next_start(at(1_001)).unwrap();
    assert!(next >= at(1_080), "next start at {next:?}, but the last windows are full");
}

#[test]
fn an_invalidated_state_needs_two_announcements_to_count_as_warm() {
    let mut warmup = Warmup::new(at(0));
    warmup.set_limit(Some(12.0));
    warmup.set_cold_period(at(0), Duration::ZERO);
    assert!(!warmup.is_cold(at(1)));
    warmup.invalidate();
    assert!(warmup.is_cold(at(2)));
    warmup.set_cold_period(at(3), Duration::ZERO);
    assert!(
        warmup.is_cold(at(4)),
        "the announcement may have been sent before the state became unknown"
    );
    warmup.set_cold_period(at(900), Duration::ZERO);
    assert!(!warmup.is_cold(at(901)));
    warmup.invalidate();
    warmup.set_cold_period(at(1_000), ms(500));
    assert!(warmup.is_cold(at(1_499)) && !warmup.is_cold(at(1_501)));
}

#[test]
fn any_rate_is_reached_but_not_exceeded() {
    for per_s in [0.5, 1.0, 3.0, 7.0, 12.5, 15.0, 43.0] {
        let mut warmup = Warmup::new(at(0));
        warmup.set_limit(Some(per_s));
        warmup.set_cold_period(at(0), SECOND * 60);
        let starts = start_greedily(&mut warmup, 0, 20_000);
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
    let mut warmup = Warmup::new(now);
    warmup.set_limit(Some(per_s));
    let mut cold_starts = Vec::new();
    for (action, value) in steps {
        match action % 16 {
            0 => warmup.set_cold_period(now, ms(u64::from(value % 3_000))),
            1 => warmup.invalidate(),
            2 => {
                // A killed agent takes a while to restart.
                now = now + ms(u64::from(value % 300));
                warmup = Warmup::new(now);
                warmup.set_limit(Some(per_s));
            }
            _ => now = now + ms(u64::from(value % 40)),
        }
        for _ in 0..value % 60 {
            if warmup.next_start(now).is_none() {
                if warmup.is_cold(now) {
                    cold_starts.push(now);
                }
                warmup.start(now);
            }
        }
    }
    starts_per_s_max(&cold_starts) as f64 <= per_s
}
