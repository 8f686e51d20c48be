//! Tells callers that come back after a refusal from those that come for the first time.
//!
//! The load that this answers: an upstream that is full for seconds. Callers that it has refused come back,
//! and what is of full use to them counts from their first attempt. A caller says only how long it still
//! waits, which is less each time. So what callers of a route usually bring is learned, and one that brings
//! clearly less has waited already.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// How far one request moves the estimate, as a share of it: within some hundred requests it has come from
/// anywhere to the middle of what callers bring, and one caller moves it by little.
const STEP_SHARE: f64 = 0.005;
/// What a caller brings may differ from the middle by this share without its having waited: callers were
/// seen to bring from 85 to 100 in 100 of their longest time, so within 8 in 100 of the middle, and the
/// middle is known to within a few.
const SPREAD_SHARE: f64 = 0.12;

/// How long callers of one route usually wait: the median of what they say, as far as it is known.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimeoutEstimate(Option<Duration>);

impl TimeoutEstimate {
    /// Takes in how long a caller waits from now on, and returns how long it has waited before; none: there
    /// is no sign that it has.
    pub fn observe(&mut self, left: Duration) -> Option<Duration> {
        let usual = *self.0.get_or_insert(left);
        let step = usual.mul_f64(STEP_SHARE);
        self.0 = Some(if left > usual {
            (usual + step).min(left)
        } else {
            usual.saturating_sub(step).max(left)
        });
        let has_waited = left < usual.mul_f64(1.0 - SPREAD_SHARE);
        has_waited.then(|| usual - left)
    }
}
