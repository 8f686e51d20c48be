//! Tests of callers that come back.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::TimeoutEstimate;

const MS: Duration = Duration::from_millis(1);

/// What a caller that comes for the first time brings.
fn fresh(rng: &mut Pcg64Mcg) -> Duration {
    rng.random_range(2125..=2500) * MS
}

#[test]
fn callers_that_differ_by_a_little_have_not_waited() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut usual = TimeoutEstimate::default();
    let mistaken = (0..2000).filter(|_| usual.observe(fresh(&mut rng)).is_some()).count();
    assert_eq!(mistaken, 0);
}

#[test]
fn one_that_brings_clearly_less_has_waited() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut usual = TimeoutEstimate::default();
    for _ in 0..200 {
        usual.observe(fresh(&mut rng));
    }
    let waited = usual.observe(1500 * MS).unwrap();
    assert!((700 * MS..900 * MS).contains(&waited), "{waited:?}");
}

/// Four in ten come back: the estimate stays with those that come for the first time.
#[test]
fn many_that_come_back_are_known_too() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut usual = TimeoutEstimate::default();
    let (mut known, mut mistaken) = (0, 0);
    for request in 0..5000 {
        if request % 10 < 4 {
            let left = fresh(&mut rng) - rng.random_range(400..900) * MS;
            known += u32::from(usual.observe(left).is_some());
        } else {
            mistaken += u32::from(usual.observe(fresh(&mut rng)).is_some());
        }
    }
    assert!(known > 1700, "{known} of 2000 were known");
    assert!(mistaken < 60, "{mistaken} of 3000 were taken for others");
}

#[test]
fn what_callers_usually_bring_may_change() {
    let mut usual = TimeoutEstimate::default();
    for _ in 0..100 {
        usual.observe(6000 * MS);
    }
    for _ in 0..400 {
        usual.observe(2000 * MS);
    }
    assert_eq!(usual.observe(2000 * MS), None);
    assert!(usual.observe(1000 * MS).is_some());
}
