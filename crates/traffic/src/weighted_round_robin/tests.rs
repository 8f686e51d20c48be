//! Tests of the weighted round-robin.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::WeightedRoundRobin;

fn check(weights: &[u32], requests: usize, deviation_max: f64) {
    let total: u32 = weights.iter().sum();
    for seed in 0..20 {
        let mut schedule = WeightedRoundRobin::new(weights, &mut Pcg64Mcg::seed_from_u64(seed));
        let mut counts = vec![0; weights.len()];
        for _ in 0..requests {
            counts[schedule.next_index().unwrap()] += 1;
        }
        for (count, weight) in counts.iter().zip(weights) {
            let share = f64::from(*count) / requests as f64;
            let deviation = (share - f64::from(*weight) / f64::from(total)).abs();
            assert!(
                deviation <= deviation_max,
                "weights {weights:?} gave counts {counts:?}, seed {seed}"
            );
        }
    }
}

/// Even with only 20 requests of a route, the shares match the weights to within one request.
#[test]
fn shares_follow_the_weights() {
    check(&[90, 10], 20, 0.05);
    check(&[1, 1, 1], 21, 0.05);
    check(&[5, 0], 20, 0.0);
    check(&[33, 33, 34], 1000, 0.001);
}

#[test]
fn agents_begin_with_different_services() {
    let first =
        |seed| WeightedRoundRobin::new([90, 10], &mut Pcg64Mcg::seed_from_u64(seed)).next_index();
    let second_first_count = (0..1000).filter(|seed| first(*seed) == Some(1)).count();
    assert!(
        (60..140).contains(&second_first_count),
        "{second_first_count} of 1000 begin with the service of weight 10"
    );
}

#[test]
fn no_service_is_chosen_if_all_weights_are_zero() {
    assert_eq!(WeightedRoundRobin::new([0, 0], &mut Pcg64Mcg::seed_from_u64(1)).next_index(), None);
}
