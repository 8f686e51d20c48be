//! Express requests at the gate: which requests are express, and what is recorded of them.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use logging::LineRateLimiter;
use model::Timestamp;
use traffic::{ExpressLoad, RouteIndex};

use super::{admission_queue::AdmissionDecision, run::RequestContext};

/// Long-term rate limit of the log lines: each arrival may change the reserve.
const LINES_PER_S: f64 = 1.0;
const BURST_LINES: f64 = 10.0;

/// An express request that is offered to the queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct Express {
    /// The whole objective. `None` if it is unknown.
    pub(super) objective: Option<Duration>,
}

impl RequestContext<'_> {
    /// Returns whether the request is express under the document of this gate; ingress may use another version.
    pub(super) fn is_express(&self) -> bool {
        let limits = &self.bound.document.limits;
        self.request.is_express && !limits.express_objective_max.is_zero()
    }

    pub(super) fn express(&self, route: Option<RouteIndex>) -> Option<Express> {
        self.is_express().then(|| Express { objective: self.whole_objective(route) })
    }

    /// Returns the whole objective of the request. `None` after an attempt elsewhere, which has used some of it.
    fn whole_objective(&self, route: Option<RouteIndex>) -> Option<Duration> {
        let request = self.request;
        if !request.time_at_ingress.is_zero() || request.is_retry_after_refusal {
            return None;
        }
        let route_deadline = || Some(self.bound.document.routes.get(route?.0)?.deadline);
        request.objective.or_else(route_deadline)
    }

    /// Counts an express request that got a slot or was refused.
    pub(super) fn record_express(&self, decision: &AdmissionDecision, has_waited: bool) {
        let result = match decision {
            _ if !self.is_express() => return,
            AdmissionDecision::Queued(_) => return,
            AdmissionDecision::Admitted(_) if has_waited => "waited",
            AdmissionDecision::Admitted(_) => "at_once",
            AdmissionDecision::Refused { .. } => "refused",
        };
        self.gate.metrics.record_express(&self.bound.document.team, result);
    }
}

/// Logs changes of the number of slots reserved for express requests.
#[derive(Debug)]
pub(super) struct ReserveLog {
    logged_slots: AtomicUsize,
    lines: LineRateLimiter,
}

impl Default for ReserveLog {
    fn default() -> ReserveLog {
        let lines = LineRateLimiter::new(LINES_PER_S, BURST_LINES);
        ReserveLog { logged_slots: AtomicUsize::new(0), lines }
    }
}

impl ReserveLog {
    pub(super) fn update(&self, now: Timestamp, load: &ExpressLoad) {
        let logged_slots = self.logged_slots.load(Ordering::Relaxed);
        if load.reserved_slots == logged_slots {
            return;
        }
        let Some(left_out) = self.lines.admit(now) else { return };
        self.logged_slots.store(load.reserved_slots, Ordering::Relaxed);
        log::info!(
            target: "gate",
            reserved_slots = load.reserved_slots,
            running = load.running,
            queued = load.queued,
            arrivals_per_s = load.arrivals_per_s,
            service_ms = whole_ms(load.service_time),
            expected_wait_ms = whole_ms(load.expected_wait),
            acceptable_wait_ms = whole_ms(load.acceptable_wait.unwrap_or_default()),
            left_out;
            "The number of slots reserved for express requests has changed."
        );
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
