//! Bounds on the upstream's own clock err to the safe side only.

use std::time::Duration;

use model::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::gate::UpstreamClock;

/// The upstream's clock started at `origin`, and a reading was `late` on its way.
fn check(origin: Timestamp, read_at: Timestamp, late: Duration, bound: Timestamp) {
    let upstream_ms = |at: Timestamp| at.since(origin).as_millis() as u64;
    let clock = UpstreamClock::default();
    clock.update(Some(upstream_ms(read_at)), read_at + late);
    let point = clock.to_upstream_ms(bound).unwrap();
    assert!(point <= upstream_ms(bound), "{point} is after {bound:?}");
    let slack = late + Duration::from_millis(3);
    assert!(point + slack.as_millis() as u64 >= upstream_ms(bound), "{point} is far too early");
}

#[test]
fn bounds_are_never_too_late() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    for _ in 0..10_000 {
        let origin = Timestamp { ns: rng.random_range(0..5_000_000_000) };
        let read_at = origin + Duration::from_nanos(rng.random_range(0..100_000_000_000));
        let late = Duration::from_nanos(rng.random_range(0..3_000_000_000));
        let bound = read_at + late + Duration::from_nanos(rng.random_range(0..2_000_000_000));
        check(origin, read_at, late, bound);
    }
}

#[test]
fn an_upstream_without_a_clock_gets_no_bounds() {
    let clock = UpstreamClock::default();
    assert_eq!(clock.to_upstream_ms(Timestamp::from_ms(5)), None);
    clock.update(Some(5), Timestamp::from_ms(5));
    clock.update(None, Timestamp::from_ms(6));
    assert_eq!(clock.to_upstream_ms(Timestamp::from_ms(7)), None);
}
