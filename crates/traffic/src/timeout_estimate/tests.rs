//! Tests of the distinction of first attempts and retries by their timeouts.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::TimeoutEstimate;

const MS: Duration = Duration::from_millis(1);

/// Returns the timeout of a first attempt.
fn first_attempt(rng: &mut Pcg64Mcg) -> Duration {
    rng.random_range(2125..=2500) * MS
}

#[test]
fn slightly_different_timeouts_are_first_attempts() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut estimate = TimeoutEstimate::default();
    let mistaken =
        (0..2000).filter(|_| estimate.observe(first_attempt(&mut rng)).is_some()).count();
    assert_eq!(mistaken, 0);
}

#[test]
fn a_clearly_shorter_timeout_is_a_retry() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut estimate = TimeoutEstimate::default();
    for _ in 0..200 {
        estimate.observe(first_attempt(&mut rng));
    }
    let waited = estimate.observe(1500 * MS).unwrap();
    assert!((700 * MS..900 * MS).contains(&waited), "estimated wait of {waited:?}");
}

/// With four retries in ten requests, the estimate stays at the timeout of first attempts.
#[test]
fn retries_are_recognised_if_four_in_ten_requests_are_retries() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut estimate = TimeoutEstimate::default();
    let (mut recognised, mut mistaken) = (0, 0);
    for request in 0..5000 {
        if request % 10 < 4 {
            let remaining = first_attempt(&mut rng) - rng.random_range(400..900) * MS;
            recognised += u32::from(estimate.observe(remaining).is_some());
        } else {
            mistaken += u32::from(estimate.observe(first_attempt(&mut rng)).is_some());
        }
    }
    assert!(recognised > 1700, "{recognised} of 2000 retries were recognised");
    assert!(mistaken < 60, "{mistaken} of 3000 first attempts were taken for retries");
}

#[test]
fn the_estimate_follows_a_change_of_the_timeouts() {
    let mut estimate = TimeoutEstimate::default();
    for _ in 0..100 {
        estimate.observe(6000 * MS);
    }
    for _ in 0..400 {
        estimate.observe(2000 * MS);
    }
    assert_eq!(estimate.observe(2000 * MS), None);
    assert!(estimate.observe(1000 * MS).is_some());
}
