//! Refuses runs that would probably fail because the calls that they make currently fail.
//!
//! Such a run occupies a slot of its upstream, and the calls that it makes before the failing one take capacity from
//! the runs that could succeed. A refused caller can return; the caller of a failed run often cannot.

mod unserved;
mod window;

#[cfg(test)]
mod tests;

use std::{collections::HashMap, time::Duration};

use model::Timestamp;
use rand::{Rng, RngExt};

use window::EndWindow;

pub use unserved::UnservedRequests;
pub use window::EndCounts;

/// The time over which the ends of runs are counted. All runs start again this long after calls no longer fail.
const WINDOW: Duration = Duration::from_secs(2);
/// The number of kinds that are tracked. Each takes about 100 bytes, and as much again if the table has just grown.
const KINDS_MAX: usize = 64;
/// Below this number of ends in the window, the share of failures says too little about the next run.
const ENDS_MIN: u32 = 5;
/// Number of ends that each served run accounts for: a run that is more likely to be served than to fail starts. With a
/// tolerance of a fifth, runs were refused of which most would have been served, since other requests filled the callee.
const ENDS_PER_SERVED: f64 = 2.0;
/// The highest probability of a refusal. The runs that start nevertheless show when calls are served again.
const REFUSAL_PROBABILITY_MAX: f64 = 0.9;
/// The shortest `retry_after`. By then half of the window has passed.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// The largest jitter that is added to `retry_after`, so that refused callers do not return together.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(500);

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunResult {
    Served,
    /// The upstream answered with a server error, and a call that it made meanwhile was not served.
    FailedByCall,
    /// Says nothing about the calls of other runs, so it is not counted.
    FailedOtherwise,
}

/// The decision on a request that asks to start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StartVerdict {
    Start,
    Refuse(StartRefusal),
}

/// A refusal of a run, with the data that it is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartRefusal {
    /// The time after which the caller may retry.
    pub retry_after: Duration,
    /// The probability with which the run was refused.
    pub probability: f64,
    pub counts: EndCounts,
}

/// The ends of the runs at one gate, by the kind of the request.
#[derive(Debug, Clone, Default)]
pub struct CallFailures {
    /// Kinds with a run that failed by a call.
    kinds: HashMap<u8, EndWindow>,
}

impl CallFailures {
    /// Records the end of a run. A kind is tracked from its first run that fails by a call.
    pub fn record_end(&mut self, now: Timestamp, kind: u8, end: RunResult) {
        let is_served = match end {
            RunResult::Served => true,
            RunResult::FailedByCall => false,
            RunResult::FailedOtherwise => return,
        };
        if !is_served && !self.kinds.contains_key(&kind) && self.has_room(now) {
            self.kinds.insert(kind, EndWindow::default());
        }
        if let Some(window) = self.kinds.get_mut(&kind) {
            window.add(now, is_served);
        }
    }

    /// Decides whether a run of this kind may start.
    ///
    /// Gates whose generators have the same seed for a request agree on it if they count the same ends. Without that,
    /// a request that is sent to several gates in turn would start at one of them although each refuses most runs.
    pub fn may_start(&mut self, now: Timestamp, kind: u8, rng: &mut impl Rng) -> StartVerdict {
        let Some(window) = self.kinds.get_mut(&kind) else { return StartVerdict::Start };
        let counts = window.counts(now);
        let probability = refusal_probability(window, now);
        if probability == 0.0 || !rng.random_bool(probability) {
            return StartVerdict::Start;
        }
        window.add_refused(now);
        let jitter = RETRY_AFTER_JITTER.mul_f64(rng.random_range(0.0..1.0));
        let retry_after = RETRY_AFTER_MIN + jitter;
        StartVerdict::Refuse(StartRefusal { retry_after, probability, counts })
    }

    /// Returns the highest probability with which runs of any kind are refused.
    pub fn refusal_probability_max(&mut self, now: Timestamp) -> f64 {
        let probabilities = self.kinds.values_mut().map(|it| refusal_probability(it, now));
        probabilities.fold(0.0, f64::max)
    }

    /// Returns whether one more kind can be tracked. A full table first evicts the kinds without an end in the window.
    fn has_room(&mut self, now: Timestamp) -> bool {
        if self.kinds.len() >= KINDS_MAX {
            self.kinds.retain(|_, window| window.counts(now).ended > 0);
        }
        self.kinds.len() < KINDS_MAX
    }
}

/// Returns the probability with which a run is refused: the share of the runs that are not served, beyond the tolerated
/// one. Refused runs count as not served until the others are served again; otherwise a refusal of some runs would need
/// a larger share of the others to fail.
fn refusal_probability(window: &mut EndWindow, now: Timestamp) -> f64 {
    let counts = window.counts(now);
    if counts.ended < ENDS_MIN {
        return 0.0;
    }
    let refused = if window.has_recovered(now) { 0 } else { counts.refused };
    let asked = f64::from(counts.ended + refused);
    let excess = asked - ENDS_PER_SERVED * f64::from(counts.served);
    (excess / (asked + 1.0)).clamp(0.0, REFUSAL_PROBABILITY_MAX)
}
