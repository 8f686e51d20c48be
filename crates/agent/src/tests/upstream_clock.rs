//! Tests of time bounds converted to the upstream's clock, which may only be too early.

use std::time::Duration;

use model::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::gate::UpstreamClock;

/// Checks a converted bound of an upstream whose clock started at `origin`, after a reading that arrived with the delay
/// `delay`.
fn check(origin: Timestamp, read_at: Timestamp, delay: Duration, bound: Timestamp) {
    let upstream_ms = |at: Timestamp| at.since(origin).as_millis() as u64;
    let clock = UpstreamClock::default();
    clock.update(Some(upstream_ms(read_at)), read_at + delay);
    let upstream_bound_ms = clock.to_upstream_ms(bound).unwrap();
    assert!(upstream_bound_ms <= upstream_ms(bound), "{upstream_bound_ms} is after {bound:?}");
    let slack = delay + Duration::from_millis(3);
    assert!(
        upstream_bound_ms + slack.as_millis() as u64 >= upstream_ms(bound),
        "{upstream_bound_ms} is far too early"
    );
}

#[test]
fn converted_bounds_are_never_too_late() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    for _ in 0..10_000 {
        let origin = Timestamp { ns: rng.random_range(0..5_000_000_000) };
        let read_at = origin + Duration::from_nanos(rng.random_range(0..100_000_000_000));
        let delay = Duration::from_nanos(rng.random_range(0..3_000_000_000));
        let bound = read_at + delay + Duration::from_nanos(rng.random_range(0..2_000_000_000));
        check(origin, read_at, delay, bound);
    }
}

#[test]
fn upstream_without_a_clock_gets_no_bounds() {
    let clock = UpstreamClock::default();
    assert_eq!(clock.to_upstream_ms(Timestamp::from_ms(5)), None);
    clock.update(Some(5), Timestamp::from_ms(5));
    clock.update(None, Timestamp::from_ms(6));
    assert_eq!(clock.to_upstream_ms(Timestamp::from_ms(7)), None);
}
