//! The use of return times at the gate: on the refusal of a request for overload, and on its return.

use std::time::Duration;

use logging::LineRateLimiter;
use model::{NotRunReason, Timestamp};
use traffic::{PromiseState, ReturnTime, Timeliness};

use crate::gate::{
    admission_queue::{AdmissionDecision, ReturningRequest},
    run::{LATE_QUEUE_TIME_SHARE, QUEUE_TIME_SHARE_MIN, RequestContext},
};

/// Long-term rate limit of the log lines: an overloaded gate refuses hundreds of requests a second.
const LINES_PER_S: f64 = 1.0;
const BURST_LINES: f64 = 10.0;

/// Rate limit of the log lines on refusals.
#[derive(Debug)]
pub(super) struct ReturnLog(LineRateLimiter);

impl Default for ReturnLog {
    fn default() -> ReturnLog {
        ReturnLog(LineRateLimiter::new(LINES_PER_S, BURST_LINES))
    }
}

impl ReturnLog {
    fn log(&self, now: Timestamp, time: &ReturnTime, promised: usize) {
        let Some(left_out) = self.0.admit(now) else { return };
        log::info!(
            target: "gate",
            is_promised = time.is_promised,
            after_ms = whole_ms(time.after),
            supply_slots = time.supply_slots,
            demand_slots = time.demand_slots,
            waiting_ms = whole_ms(time.waiting),
            promised,
            left_out;
            "A refused caller is told when to return."
        );
    }
}

impl RequestContext<'_> {
    /// Returns until when a request waits for a slot, and its timeliness, if it may be the return of a refused caller.
    /// `until` and `timeliness` are those of a new request.
    pub(super) fn apply_promise(
        &self,
        until: Timestamp,
        timeliness: Timeliness,
    ) -> (Timestamp, Timeliness) {
        if !self.bound.document.limits.promises_returns {
            return (until, timeliness);
        }
        let now = self.gate.clock.now();
        let remaining = self.deadline.since(now);
        let (result, until, timeliness) =
            match self.bound.queue.check_return(&self.returning_request()) {
                PromiseState::Unpromised => return (until, timeliness),
                PromiseState::Due => {
                    let queue_time = remaining.mul_f64(QUEUE_TIME_SHARE_MIN);
                    ("on_time", until.max(now + queue_time), Timeliness::Promised)
                }
                PromiseState::Early => {
                    let queue_time = remaining.mul_f64(LATE_QUEUE_TIME_SHARE);
                    ("early", until.min(now + queue_time), Timeliness::Late)
                }
            };
        self.gate.metrics.record_return(&self.bound.document.team, result);
        (until, timeliness)
    }

    /// Sets the time after which the caller of a request refused for overload is to return.
    pub(super) fn set_return_time(&self, decision: AdmissionDecision) -> AdmissionDecision {
        let AdmissionDecision::Refused { reason: NotRunReason::Overloaded, .. } = &decision else {
            return decision;
        };
        if !self.request.wants_return {
            return decision;
        }
        let queue = &self.bound.queue;
        let Some(time) = queue.return_time(&self.returning_request()) else { return decision };
        let result = if time.is_promised { "promised" } else { "unpromised" };
        self.gate.metrics.record_return(&self.bound.document.team, result);
        self.gate.return_log.log(self.gate.clock.now(), &time, queue.promised_returns());
        AdmissionDecision::Refused {
            reason: NotRunReason::Overloaded,
            retry_after: Some(time.after),
        }
    }

    fn returning_request(&self) -> ReturningRequest<'_> {
        ReturningRequest {
            fingerprint: self.request.fingerprint,
            class: &self.request.class,
            route: self.route(),
            deadline: self.deadline,
            is_retry: self.request.is_retry_after_refusal,
        }
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
