//! Tests of the spreading by weight.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::WeightedRoundRobin;

fn check(weights: &[u32], requests: usize, off_max: f64) {
    let total: u32 = weights.iter().sum();
    for seed in 0..20 {
        let mut turns = WeightedRoundRobin::new(weights, &mut Pcg64Mcg::seed_from_u64(seed));
        let mut counts = vec![0; weights.len()];
        for _ in 0..requests {
            counts[turns.next_index().unwrap()] += 1;
        }
        for (count, weight) in counts.iter().zip(weights) {
            let share = f64::from(*count) / requests as f64;
            let off = (share - f64::from(*weight) / f64::from(total)).abs();
            assert!(off <= off_max, "{weights:?}: {counts:?}, seed {seed}");
        }
    }
}

/// An agent that sees 20 requests of a route keeps to the weights within one request.
#[test]
fn shares_follow_the_weights() {
    check(&[90, 10], 20, 0.05);
    check(&[1, 1, 1], 21, 0.05);
    check(&[5, 0], 20, 0.0);
    check(&[33, 33, 34], 1000, 0.001);
}

#[test]
fn agents_begin_with_different_parts() {
    let first =
        |seed| WeightedRoundRobin::new([90, 10], &mut Pcg64Mcg::seed_from_u64(seed)).next_index();
    let seconds = (0..1000).filter(|seed| first(*seed) == Some(1)).count();
    assert!((60..140).contains(&seconds), "{seconds} of 1000 begin with the part of weight 10");
}

#[test]
fn without_any_weight_there_is_no_part() {
    assert_eq!(WeightedRoundRobin::new([0, 0], &mut Pcg64Mcg::seed_from_u64(1)).next_index(), None);
}
