//! Refuses runs that would probably fail because of their calls, see [`CallFailures`].
//!
//! An upstream makes its calls through the agent beside it, where they are requests like any other. A run whose
//! upstream answers with a server error is therefore attributed to a call if an express request that began at this
//! agent ended unserved during the run.

#[cfg(test)]
mod tests;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::StatusCode;
use logging::LineRateLimiter;
use model::{NotRunReason, RequestId, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use traffic::{CallFailures, RunResult, StartRefusal, StartVerdict, UnservedRequests};

use crate::{
    clock::Clock,
    gate::run::{RequestContext, refusal_reply},
    request::GateReply,
};

/// Rate limit of the lines about refusals. Each states the counts of its kind, which change slowly.
const LINES_PER_S: f64 = 1.0;
const BURST_LINES: f64 = 5.0;

/// The times at which express requests of callers at this agent ended unserved. Written by ingress, read by the gate.
#[derive(Debug)]
pub(crate) struct SharedUnservedRequests {
    clock: Clock,
    times: Mutex<UnservedRequests>,
}

/// An express request at ingress. It counts as unserved if it is dropped before it has ended, since its caller has
/// left without an answer.
#[derive(Debug)]
pub(crate) struct ExpressRequest<'a> {
    unserved: &'a SharedUnservedRequests,
    is_served: bool,
}

impl SharedUnservedRequests {
    pub(crate) fn new(clock: Clock) -> SharedUnservedRequests {
        SharedUnservedRequests { clock, times: Mutex::default() }
    }

    /// Starts to track an express request.
    pub(crate) fn track(&self) -> ExpressRequest<'_> {
        ExpressRequest { unserved: self, is_served: false }
    }

    fn times(&self) -> MutexGuard<'_, UnservedRequests> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ExpressRequest<'_> {
    /// Ends the request with its final reply.
    pub(crate) fn end(mut self, reply: &GateReply) {
        self.is_served = match reply {
            GateReply::Answered(answer) => !answer.status.is_server_error(),
            GateReply::Failed { .. } | GateReply::NotOwner { .. } => false,
        };
    }
}

impl Drop for ExpressRequest<'_> {
    fn drop(&mut self) {
        if !self.is_served {
            self.unserved.times().record(self.unserved.clock.now());
        }
    }
}

/// The ends of the runs at this gate, as far as their calls caused them.
#[derive(Debug)]
pub(super) struct RunFailures {
    failures: Mutex<CallFailures>,
    unserved: Arc<SharedUnservedRequests>,
    refusal_lines: LineRateLimiter,
}

impl RunFailures {
    pub(super) fn new(unserved: Arc<SharedUnservedRequests>) -> RunFailures {
        let refusal_lines = LineRateLimiter::new(LINES_PER_S, BURST_LINES);
        RunFailures { failures: Mutex::default(), unserved, refusal_lines }
    }

    /// Returns the highest probability with which runs of any kind are refused.
    pub(super) fn refusal_probability_max(&self, now: Timestamp) -> f64 {
        self.failures().refusal_probability_max(now)
    }

    fn failures(&self) -> MutexGuard<'_, CallFailures> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run_result(
        &self,
        start: Timestamp,
        end: Timestamp,
        status: Option<StatusCode>,
    ) -> RunResult {
        match status {
            Some(status) if !status.is_server_error() => RunResult::Served,
            Some(_) if self.unserved.times().has_any_between(start, end) => RunResult::FailedByCall,
            Some(_) | None => RunResult::FailedOtherwise,
        }
    }
}

impl RequestContext<'_> {
    /// Refuses the request if it would probably fail because of the calls that it makes.
    pub(super) fn refuse_failing_run(&self) -> Result<(), Box<GateReply>> {
        let Some(kind) = self.failing_kind() else { return Ok(()) };
        let now = self.gate.clock.now();
        // The same at each gate, so that a request that one gate refuses does not start at the next.
        let mut rng = Pcg64Mcg::seed_from_u64(seed_of(self.request.id));
        let verdict = self.gate.run_failures.failures().may_start(now, kind, &mut rng);
        match verdict {
            StartVerdict::Start => Ok(()),
            StartVerdict::Refuse(refusal) => {
                self.log_refused_run(now, kind, &refusal);
                self.gate.metrics.record_call_failure(&self.bound.document.team, "refused");
                let retry_after = Some(refusal.retry_after);
                Err(Box::new(refusal_reply(NotRunReason::Overloaded, retry_after)))
            }
        }
    }

    /// Records the end of a run. `status` is that of the upstream's answer, if it gave one.
    pub(super) fn record_run_result(
        &self,
        start: Timestamp,
        end: Timestamp,
        status: Option<StatusCode>,
    ) {
        let Some(kind) = self.failing_kind() else { return };
        let result = self.gate.run_failures.run_result(start, end, status);
        self.gate.run_failures.failures().record_end(end, kind, result);
        if result == RunResult::FailedByCall {
            self.gate.metrics.record_call_failure(&self.bound.document.team, "failed");
        }
    }

    /// Returns the kind under which the ends of the run are counted. `None` if it is never refused.
    fn failing_kind(&self) -> Option<u8> {
        let is_enabled = self.bound.document.limits.refuses_failing_runs;
        self.request.kind.filter(|_| is_enabled && !self.request.is_express)
    }

    fn log_refused_run(&self, now: Timestamp, kind: u8, refusal: &StartRefusal) {
        let Some(left_out) = self.gate.run_failures.refusal_lines.admit(now) else { return };
        log::info!(
            target: "gate",
            id:% = format_args!("{:016x}", self.request.id.0),
            service:% = self.request.service,
            kind,
            ended = refusal.counts.ended,
            served = refusal.counts.served,
            refused = refusal.counts.refused,
            probability = refusal.probability,
            retry_after_ms = refusal.retry_after.as_millis() as u64,
            left_out;
            "Refused a run, since most runs of its kind fail because of the calls that they make."
        );
    }
}

fn seed_of(id: RequestId) -> u64 {
    (id.0 >> 64) as u64 ^ id.0 as u64
}
