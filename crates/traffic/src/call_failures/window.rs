//! Counts of the runs that ended within a sliding window.

use std::time::Duration;

use model::Timestamp;

use super::WINDOW;

/// The number of steps that the window is divided into. Ends expire a step at a time.
const STEPS: usize = 20;
/// The time without a failure after which refused runs no longer count, if enough runs were served.
const RECOVERY_TIME: Duration = Duration::from_millis(500);
/// The number of served runs since the last failure that shows a recovery.
const RECOVERED_MIN: u32 = 3;
const STEP: Duration = Duration::from_millis(WINDOW.as_millis() as u64 / STEPS as u64);

/// The runs that ended within the window, without those that failed for other reasons than a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndCounts {
    pub ended: u32,
    pub served: u32,
    /// The runs that were refused.
    pub refused: u32,
}

/// The ends of one kind within the last [`WINDOW`]. The latest step is incomplete, so that ends are counted for at most
/// the window, and for at least all of its other steps.
#[derive(Debug, Clone, Default)]
pub(super) struct EndWindow {
    /// The number of the latest step since the time zero.
    last_step: u64,
    /// The counts of each step, at its number modulo [`STEPS`].
    steps: [StepCounts; STEPS],
    /// The sum of the steps.
    sum: EndCounts,
    last_failure: Timestamp,
    served_since_failure: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct StepCounts {
    ended: u16,
    served: u16,
    refused: u16,
}

impl EndWindow {
    pub(super) fn add(&mut self, now: Timestamp, is_served: bool) {
        self.advance(now);
        match is_served {
            true => self.served_since_failure = self.served_since_failure.saturating_add(1),
            false => {
                self.served_since_failure = 0;
                self.last_failure = now;
            }
        }
        let step = &mut self.steps[index_of(self.last_step)];
        // A full step already shows the share of the failures.
        let Some(ended) = step.ended.checked_add(1) else { return };
        step.ended = ended;
        step.served += u16::from(is_served);
        self.sum.ended += 1;
        self.sum.served += u32::from(is_served);
    }

    pub(super) fn add_refused(&mut self, now: Timestamp) {
        self.advance(now);
        let step = &mut self.steps[index_of(self.last_step)];
        let Some(refused) = step.refused.checked_add(1) else { return };
        step.refused = refused;
        self.sum.refused += 1;
    }

    /// Returns whether the runs that still start are served again.
    pub(super) fn has_recovered(&self, now: Timestamp) -> bool {
        self.served_since_failure >= RECOVERED_MIN && now.since(self.last_failure) >= RECOVERY_TIME
    }

    pub(super) fn counts(&mut self, now: Timestamp) -> EndCounts {
        self.advance(now);
        self.sum
    }

    /// Removes the steps that have left the window. A time before the latest step counts as being in it, since threads
    /// read the clock before they have access to the window.
    fn advance(&mut self, now: Timestamp) {
        let step = now.ns / STEP.as_nanos() as u64;
        let passed = step.saturating_sub(self.last_step).min(STEPS as u64);
        for number in 1..=passed {
            let expired = std::mem::take(&mut self.steps[index_of(self.last_step + number)]);
            self.sum.ended -= u32::from(expired.ended);
            self.sum.served -= u32::from(expired.served);
            self.sum.refused -= u32::from(expired.refused);
        }
        self.last_step = self.last_step.max(step);
    }
}

fn index_of(step: u64) -> usize {
    (step % STEPS as u64) as usize
}
