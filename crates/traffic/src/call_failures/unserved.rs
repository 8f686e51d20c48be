//! The times at which express requests ended without being served.

use std::collections::VecDeque;

use model::Timestamp;

/// The number of times that are stored. A run is compared with them at its end, so the latest few would do; the others
/// cover requests that end between the end of the run and the comparison.
const TIMES_MAX: usize = 64;

/// The times of the last express requests of one agent that ended without a success answer. An upstream makes its calls
/// through the agent beside it, so these include the failed calls of its runs.
#[derive(Debug, Default)]
pub struct UnservedRequests {
    times: VecDeque<Timestamp>,
}

impl UnservedRequests {
    pub fn record(&mut self, now: Timestamp) {
        if self.times.len() >= TIMES_MAX {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    /// Returns whether a request ended unserved between two times, both included.
    pub fn has_any_between(&self, start: Timestamp, end: Timestamp) -> bool {
        self.times.iter().any(|it| (start..=end).contains(it))
    }
}
