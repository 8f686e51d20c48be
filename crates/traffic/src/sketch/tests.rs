//! Tests of the sketch.

use std::collections::HashMap;

use crate::{Sketch, tests::check_seeded};

#[test]
fn decay_removes_keys_whose_weight_becomes_zero() {
    let mut sketch = Sketch::new(4);
    sketch.add(1, 1000);
    sketch.add(2, 3);
    sketch.decay(0.25);
    sketch.add(3, 400);
    let heaviest: Vec<_> = sketch.heaviest(4).into_iter().map(|it| (it.key, it.weight)).collect();
    assert_eq!(heaviest, [(3, 400), (1, 250)]);
    assert_eq!(sketch.total(), 650);
}

/// Compares the sketch with exact counts for random additions.
#[test]
fn true_weights_lie_within_the_bounds_and_no_heavy_key_is_missed() {
    fn property(adds: Vec<(u8, u8)>) -> bool {
        let capacity = 8;
        let mut sketch = Sketch::new(capacity);
        let mut truth: HashMap<u8, u64> = HashMap::new();
        for (key, weight) in adds {
            // Skews the distribution, so that some keys are heavy.
            let key = key.leading_zeros() as u8 * 8 + key % 4;
            sketch.add(key, u64::from(weight));
            *truth.entry(key).or_default() += u64::from(weight);
        }
        let heaviest = sketch.heaviest(capacity);
        let bounded =
            heaviest.iter().all(|it| (it.weight - it.error..=it.weight).contains(&truth[&it.key]));
        let floor = sketch.total() / capacity as u64;
        let heavy = truth.iter().filter(|(_, weight)| **weight > floor);
        bounded && heavy.into_iter().all(|(key, _)| heaviest.iter().any(|it| it.key == *key))
    }
    check_seeded(property as fn(Vec<(u8, u8)>) -> bool);
}
