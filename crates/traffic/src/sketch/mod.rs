//! Estimates the heaviest slots or keys in bounded memory, with a space-saving sketch whose weights decay.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
};

/// One of the heaviest keys. Its true weight lies between `weight - error` and `weight`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeavyHitter<K> {
    pub key: K,
    pub weight: u64,
    pub error: u64,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    weight: u64,
    error: u64,
}

/// A sketch of at most `capacity` keys, which include every key whose weight is above `total / capacity`.
#[derive(Debug, Clone)]
pub struct Sketch<K> {
    capacity: usize,
    counts: HashMap<K, Count>,
    by_weight: BTreeSet<(u64, K)>,
    total: u64,
}

impl<K: Copy + Ord + Hash> Sketch<K> {
    pub fn new(capacity: usize) -> Sketch<K> {
        assert!(capacity > 0, "a sketch needs room for at least one key");
        Sketch { capacity, counts: HashMap::new(), by_weight: BTreeSet::new(), total: 0 }
    }

    /// Adds weight to a key. In a full sketch, a key that is not counted replaces the lightest one and takes over its
    /// weight as possible error.
    pub fn add(&mut self, key: K, weight: u64) {
        self.total += weight;
        let former = match self.counts.get(&key) {
            Some(&count) => {
                self.by_weight.remove(&(count.weight, key));
                count
            }
            None if self.counts.len() < self.capacity => Count { weight: 0, error: 0 },
            None => {
                let (lightest, evicted) =
                    self.by_weight.pop_first().expect("a full sketch has a lightest key");
                self.counts.remove(&evicted);
                Count { weight: lightest, error: lightest }
            }
        };
        let count = Count { weight: former.weight + weight, error: former.error };
        self.counts.insert(key, count);
        self.by_weight.insert((count.weight, key));
        assert!(self.counts.len() <= self.capacity, "the sketch has more keys than its capacity");
    }

    /// Multiplies all weights by `factor` (0 to 1), and removes keys whose weight becomes 0.
    pub fn decay(&mut self, factor: f64) {
        assert!((0.0..=1.0).contains(&factor), "the factor of a decay must be between 0 and 1");
        let scale = |it: u64| (it as f64 * factor) as u64;
        self.total = scale(self.total);
        for count in self.counts.values_mut() {
            count.weight = scale(count.weight);
            count.error = scale(count.error);
        }
        self.counts.retain(|_, it| it.weight > 0);
        self.by_weight = self.counts.iter().map(|(key, it)| (it.weight, *key)).collect();
    }

    /// Returns the heaviest keys, at most `len`, by descending weight.
    pub fn heaviest(&self, len: usize) -> Vec<HeavyHitter<K>> {
        let heavy = |&(weight, key): &(u64, K)| {
            let error = self.counts[&key].error;
            HeavyHitter { key, weight, error }
        };
        self.by_weight.iter().rev().take(len).map(heavy).collect()
    }

    /// Returns the sum of all added weights, with the same decay.
    pub fn total(&self) -> u64 {
        self.total
    }
}
