//! Rate limit for log lines of one kind, so that many requests don't flood the log.

use std::sync::{Mutex, PoisonError};

use model::Timestamp;

/// A token bucket that counts the suppressed lines.
#[derive(Debug)]
pub struct LineRateLimiter {
    lines_per_s: f64,
    burst: f64,
    state: Mutex<BucketState>,
}

#[derive(Debug)]
struct BucketState {
    tokens: f64,
    refilled_at: Timestamp,
    suppressed: u64,
}

impl LineRateLimiter {
    /// Creates a limiter for `lines_per_s` on average and bursts of `burst` lines.
    pub fn new(lines_per_s: f64, burst: f64) -> LineRateLimiter {
        let state = BucketState { tokens: burst, refilled_at: Timestamp::ZERO, suppressed: 0 };
        LineRateLimiter { lines_per_s, burst, state: Mutex::new(state) }
    }

    /// Returns the number of lines suppressed since the last admitted one, or `None` if this line is suppressed.
    pub fn admit(&self, now: Timestamp) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let passed = now.since(state.refilled_at).as_secs_f64();
        state.tokens = (state.tokens + passed * self.lines_per_s).min(self.burst);
        state.refilled_at = state.refilled_at.max(now);
        if state.tokens < 1.0 {
            state.suppressed += 1;
            return None;
        }
        state.tokens -= 1.0;
        Some(std::mem::take(&mut state.suppressed))
    }
}
