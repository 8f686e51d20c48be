//! Distribution of the requests of a route over services by weight.
//!
//! Each agent follows the weights by itself, over any dozen requests. So agents need no coordination, and
//! the shares are exact even for a route with few requests, where random choices would deviate.

#[cfg(test)]
mod tests;

use rand::{Rng, RngExt};

/// Chooses among services in proportion to their weights, with the choices of each spread evenly (smooth
/// weighted round-robin).
#[derive(Debug, Clone)]
pub struct WeightedRoundRobin {
    weights: Vec<u32>,
    /// The credit of each service: it grows by the weight with each choice, and the chosen service pays the total.
    /// The sum is 0.
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Starts at a random point of the sequence, so that agents that start together don't all begin with the same
    /// service.
    pub fn new(weights: impl Into<Vec<u32>>, rng: &mut impl Rng) -> WeightedRoundRobin {
        let weights = weights.into();
        let credits = vec![0; weights.len()];
        let mut schedule = WeightedRoundRobin { weights, credits };
        let total = schedule.total();
        for _ in 0..rng.random_range(0..total.clamp(1, 1000)) {
            schedule.next_index();
        }
        schedule
    }

    pub fn weights(&self) -> &[u32] {
        &self.weights
    }

    /// Returns the index of the next service. `None` if all weights are 0.
    pub fn next_index(&mut self) -> Option<usize> {
        let total = self.total();
        if total == 0 {
            return None;
        }
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += i64::from(*weight);
        }
        let next = (0..self.credits.len()).max_by_key(|it| (self.credits[*it], usize::MAX - it))?;
        self.credits[next] -= total;
        Some(next)
    }

    fn total(&self) -> i64 {
        self.weights.iter().map(|it| i64::from(*it)).sum()
    }
}
