//! Spreading the requests of a route over services by weight.
//!
//! Each agent keeps to the weights by itself, over any dozen requests: the parts of a fleet need not
//! know of each other, and chance adds nothing to the shares of a route with few requests.

#[cfg(test)]
mod tests;

use rand::{Rng, RngExt};

/// Takes turns between parts in proportion to their weights, spread as evenly as they can be.
#[derive(Debug, Clone)]
pub struct WeightedRoundRobin {
    weights: Vec<u32>,
    /// What each part is owed; the sum is 0.
    owed: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Starts anywhere in the sequence, so that agents that start together do not all begin with the
    /// same part.
    pub fn new(weights: impl Into<Vec<u32>>, rng: &mut impl Rng) -> WeightedRoundRobin {
        let weights = weights.into();
        let owed = vec![0; weights.len()];
        let mut turns = WeightedRoundRobin { weights, owed };
        let total = turns.total();
        for _ in 0..rng.random_range(0..total.clamp(1, 1000)) {
            turns.next_index();
        }
        turns
    }

    pub fn weights(&self) -> &[u32] {
        &self.weights
    }

    /// The index of the next part; none where no part has any weight.
    pub fn next_index(&mut self) -> Option<usize> {
        let total = self.total();
        if total == 0 {
            return None;
        }
        for (owed, weight) in self.owed.iter_mut().zip(&self.weights) {
            *owed += i64::from(*weight);
        }
        let next = (0..self.owed.len()).max_by_key(|it| (self.owed[*it], usize::MAX - it))?;
        self.owed[next] -= total;
        Some(next)
    }

    fn total(&self) -> i64 {
        self.weights.iter().map(|it| i64::from(*it)).sum()
    }
}
