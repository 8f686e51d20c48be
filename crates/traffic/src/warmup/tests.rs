//! Tests of what cold upstreams are given.

use std::time::Duration;

use crate::tests::seeded;
use model::Timestamp;

use super::Warmup;

const SECOND: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(ms)
}

/// Starts all that it may, asked each millisecond.
fn greedy(warmup: &mut Warmup, from_ms: u64, until_ms: u64) -> Vec<Timestamp> {
    let mut starts = Vec::new();
    for now in (from_ms..until_ms).map(at) {
        while warmup.next_start(now).is_none() && starts.len() < 10_000 {
            warmup.start(now);
            starts.push(now);
        }
    }
    starts
}

/// The most starts within any second.
fn most_in_a_second(starts: &[Timestamp]) -> usize {
    let within = |from: &Timestamp| {
        starts.iter().filter(|it| **it >= *from && **it < *from + SECOND).count()
    };
    starts.iter().map(within).max().unwrap_or(0)
}

#[test]
fn a_cold_upstream_gets_its_rate_and_no_more() {
    let mut warmup = Warmup::new(at(0));
    warmup.set_limit(Some(12.0));
    warmup.set_cold_period(at(0), SECOND * 60);
    let starts = greedy(&mut warmup, 0, 10_000);
    assert!(most_in_a_second(&starts) <= 12, "{}", most_in_a_second(&starts));
    assert!(starts.len() >= 115, "only {} of 120", starts.len());
}

#[test]
fn one_that_says_it_is_warm_has_no_limit() {
    let mut warmup = Warmup::new(at(0));
    warmup.set_limit(Some(12.0));
    assert!(warmup.is_cold(at(0)), "nothing is known of it");
    warmup.set_cold_period(at(10), Duration::ZERO);
    for _ in 0..100 {
        assert_eq!(warmup.next_start(at(10)), None);
        warmup.start(at(10));
    }
}

#[test]
fn without_a_rate_there_is_no_limit() {
    let mut warmup = Warmup::new(at(0));
    for rate in [None, Some(0.0), Some(-1.0), Some(f64::NAN), Some(f64::INFINITY), Some(1e12)] {
        warmup.set_limit(rate);
        assert_eq!(warmup.next_start(at(0)), None);
    }
}

#[test]
fn the_smallest_rate_is_a_rate() {
    let mut warmup = Warmup::new(at(0));
    warmup.set_limit(Some(f64::MIN_POSITIVE));
    warmup.set_cold_period(at(0), SECOND * 60);
    assert!(warmup.next_start(at(500)).is_some());
}

#[test]
fn what_was_given_while_warm_counts_once_it_is_cold() {
    let mut warmup = Warmup::new(at(0));
    warmup.set_limit(Some(12.0));
    warmup.set_cold_period(at(0), Duration::ZERO);
    (0..50).for_each(|_| warmup.start(at(1_000)));
    warmup.set_cold_period(at(1_001), SECOND);
    let next = warmup.next_start(at(1_001)).unwrap();
    assert!(next >= at(1_080), "{next:?}: the last windows are full");
}

#[test]
fn a_doubt_takes_two_announcements_to_clear() {
    let mut warmup = Warmup::new(at(0));
    warmup.set_limit(Some(12.0));
    warmup.set_cold_period(at(0), Duration::ZERO);
    assert!(!warmup.is_cold(at(1)));
    warmup.invalidate();
    assert!(warmup.is_cold(at(2)));
    warmup.set_cold_period(at(3), Duration::ZERO);
    assert!(warmup.is_cold(at(4)), "it may have been said before");
    warmup.set_cold_period(at(900), Duration::ZERO);
    assert!(!warmup.is_cold(at(901)));
    warmup.invalidate();
    warmup.set_cold_period(at(1_000), ms(500));
    assert!(warmup.is_cold(at(1_499)) && !warmup.is_cold(at(1_501)));
}

#[test]
fn any_rate_is_kept_and_used() {
    for per_s in [0.5, 1.0, 3.0, 7.0, 12.5, 15.0, 43.0] {
        let mut warmup = Warmup::new(at(0));
        warmup.set_limit(Some(per_s));
        warmup.set_cold_period(at(0), SECOND * 60);
        let starts = greedy(&mut warmup, 0, 20_000);
        let most = most_in_a_second(&starts) as f64;
        assert!(most <= per_s.max(1.0).ceil(), "{most} in a second at {per_s}");
        assert!(starts.len() as f64 >= (per_s - 2.0) * 19.0, "{} at {per_s}", starts.len());
    }
}

/// Requests that come at any time, an upstream that turns cold and warm at any time, agents beside it that
/// start anew at any time and know nothing of before: while it is cold and known or feared to be, no second
/// holds more than its rate of starts.
#[test]
fn no_second_holds_more_than_the_rate() {
    seeded(keeps_to_the_rate as fn(Vec<(u8, u16)>, u8) -> bool);
}

fn keeps_to_the_rate(steps: Vec<(u8, u16)>, rate: u8) -> bool {
    let per_s = f64::from(rate % 40 + 1);
    let mut now = at(1_000);
    let mut warmup = Warmup::new(now);
    warmup.set_limit(Some(per_s));
    let mut cold_starts = Vec::new();
    for (what, value) in steps {
        match what % 16 {
            0 => warmup.set_cold_period(now, ms(u64::from(value % 3_000))),
            1 => warmup.invalidate(),
            2 => {
                // A process that was killed takes a while to start again.
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
    most_in_a_second(&cold_starts) as f64 <= per_s
}
