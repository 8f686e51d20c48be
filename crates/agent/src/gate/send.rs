//! The sending of one admitted request to the upstream, and what its end states.

use std::{pin::pin, sync::Arc, time::Duration};

use http::{HeaderMap, StatusCode};
use model::{NotRunReason, RequestId, Timestamp, UnknownReason};
use ownership::{FenceCheck, UpstreamState};
use tokio::time::{sleep_until, timeout};
use traffic::Completion;
use upstream::{CallError, ClockBounds, Upstream};

use crate::{
    gate::{
        Gate,
        admission_queue::Permit,
        bound::BoundUpstream,
        condition::Statement,
        crash::RunEnd,
        run::{RequestContext, refusal_reply},
        table::{Clearance, Entry},
    },
    report::Report,
    request::GateReply,
};

/// Time before the end of the lease by which a request must end at an upstream that does not check
/// fence tokens.
const LEASE_MARGIN: Duration = Duration::from_millis(5);
/// Time by which an upstream may time out before its deadline, because it counts in whole
/// milliseconds.
const UPSTREAM_TIMEOUT_MARGIN: Duration = Duration::from_millis(5);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

impl Gate {
    /// Reports an upstream that refuses connections as lost, if its health is not probed. Its next
    /// announcement makes it available again.
    fn report_unreachable(&self, bound: &BoundUpstream, error: &CallError) {
        let is_unreachable = matches!(error, CallError::NotSent { .. });
        if is_unreachable && !bound.upstream.needs_health_polling() {
            self.reporter.try_report(Report::Upstream(UpstreamState::Lost));
        }
    }

    pub(super) fn cancel_upstream(&self, upstream: &Arc<dyn Upstream>, id: RequestId) {
        let upstream = Arc::clone(upstream);
        tokio::spawn(async move {
            if let Ok(Err(error)) = timeout(CANCEL_TIMEOUT, upstream.cancel(id)).await {
                log::debug!(target: "gate", "Cancelling a request failed: {error}.");
            }
        });
    }
}

impl RequestContext<'_> {
    /// Sends the request to the upstream, once.
    pub(super) async fn send(&self, mut permit: Permit, clearance: Option<Clearance>) -> GateReply {
        let gate = self.gate;
        let started_at = gate.clock.now();
        let until = self.upstream_deadline(clearance.as_ref());
        if let Some(it) = &clearance {
            assert!(
                it.checked_at < it.lease_until,
                "a request passed the last check without a lease"
            );
        }
        if started_at >= until {
            let reason = match until < self.deadline {
                true => NotRunReason::NoOwner,
                false => NotRunReason::DeadlineExceeded,
            };
            return GateReply::not_run(reason);
        }
        permit.completion = Completion::Aborted;
        let remaining = until.since(started_at);
        let run =
            gate.upstream_runs.begin(started_at, self.entry.as_ref().map(Entry::slot), remaining);
        let tracked_run = gate.unanswered_runs.begin(gate.clock, self.request.fingerprint);
        let call = self.bound.upstream.call(upstream::Request {
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers: HeaderMap::clone(&self.request.headers),
            body: self.request.body.clone(),
            id: self.request.id,
            token: clearance.map(|it| it.token),
            remaining,
            bounds: self.clock_bounds(clearance.as_ref(), until),
        });
        let cancel_guard = CancelGuard { context: self, is_armed: true };
        let result = self.wait_for_end(call, until).await;
        cancel_guard.disarm();
        if result.has_ended_run() {
            run.finish();
        }
        tracked_run.end(result.run_end());
        let ended_at = gate.clock.now();
        self.record_condition(started_at, ended_at, &result);
        self.record_run_result(started_at, ended_at, result.status());
        permit.stated_waiting = self.stated_waiting(&result);
        if let Some((slot, key_hash)) = self.load_key() {
            let used = self.bound.queue.capacity_used(ended_at.since(started_at));
            gate.handle.load.add(slot, key_hash, used);
        }
        gate.metrics.record_upstream_time(
            &self.bound.document.team,
            &self.request.class,
            ended_at.since(started_at),
        );
        match result {
            // The deadline that the upstream exceeded may be that of the lease, not the caller's.
            CallEnd::Answered(answer) if is_upstream_timeout(&answer, ended_at, until) => {
                gate.record_response(ended_at);
                GateReply::unknown(UnknownReason::DeadlineExceeded)
            }
            CallEnd::Answered(answer) => {
                gate.record_response(ended_at);
                // An upstream that fails may answer without having begun the request.
                if !answer.status.is_server_error() {
                    gate.quarantine.share_answer(self.request.fingerprint);
                }
                // An upstream that fails fast must not be measured as one that works fast.
                permit.completion = match answer.status.is_server_error() {
                    true => Completion::Aborted,
                    false => Completion::Answered,
                };
                if permit.completion == Completion::Answered {
                    self.record_answer_time(ended_at.since(started_at));
                }
                GateReply::Answered(answer)
            }
            CallEnd::Failed(error) => {
                log::debug!(target: "gate", "A request to the upstream failed: {error}.");
                gate.report_unreachable(self.bound, &error);
                if !matches!(error, CallError::NotSent { .. } | CallError::Lost { .. }) {
                    gate.record_response(ended_at);
                }
                failure_reply(&mut permit, &error)
            }
            CallEnd::Abandoned(reason) => {
                gate.cancel_upstream(&self.bound.upstream, self.request.id);
                GateReply::unknown(reason)
            }
        }
    }

    /// Records the time of an answered request, by which the group weighs its members.
    fn record_answer_time(&self, upstream_time: Duration) {
        if !self.bound.document.ownership.weighs_capacity || self.entry.is_none() {
            return;
        }
        // A kind of the document beyond the range of the reports is left out: speeds are measured
        // with the other kinds.
        let kind = self.route().and_then(|it| u8::try_from(it.0).ok());
        if let Some(kind) = kind {
            let slots = self.bound.queue.slots_when_ramped_up();
            self.gate.handle.load.add_answered(kind, upstream_time, slots);
            self.gate.metrics.record_measured_answer();
        }
    }

    /// Records the condition that the upstream states in its answer or refusal.
    fn record_condition(&self, sent_at: Timestamp, received_at: Timestamp, result: &CallEnd) {
        let (condition, is_served) = match result {
            CallEnd::Answered(it) => {
                let condition = self.bound.upstream.stated_condition(&it.headers);
                (condition, !it.status.is_server_error())
            }
            CallEnd::Failed(CallError::Refused { condition, .. }) => (*condition, false),
            CallEnd::Failed(_) | CallEnd::Abandoned(_) => return,
        };
        let incarnation = &self.bound.incarnation();
        let statement = Statement { incarnation, sent_at, received_at, condition, is_served };
        self.gate.apply(self.gate.condition.record(statement));
    }

    /// Returns the number of requests that wait in the upstream, as its answer states. `None` also if the limit on
    /// its requests is not learned.
    fn stated_waiting(&self, result: &CallEnd) -> Option<u16> {
        match result {
            CallEnd::Answered(it) if self.bound.document.upstream.learns_concurrency => {
                self.bound.upstream.stated_load(&it.headers).map(|it| it.waiting)
            }
            CallEnd::Answered(_) | CallEnd::Failed(_) | CallEnd::Abandoned(_) => None,
        }
    }

    async fn wait_for_end(
        &self,
        mut call: upstream::UpstreamFuture<'_, Result<upstream::Answer, CallError>>,
        until: Timestamp,
    ) -> CallEnd {
        let mut changes = self.gate.handle.table.changes();
        let mut deadline = pin!(sleep_until(self.gate.clock.instant(until)));
        loop {
            tokio::select! {
                biased;
                result = &mut call => return match result {
                    Ok(answer) => CallEnd::Answered(answer),
                    Err(error) => CallEnd::Failed(error),
                },
                _ = &mut deadline => return CallEnd::Abandoned(UnknownReason::DeadlineExceeded),
                _ = changes.changed() => {
                    if self.must_abandon() {
                        return CallEnd::Abandoned(UnknownReason::ConnectionLost);
                    }
                }
            }
        }
    }

    fn must_abandon(&self) -> bool {
        let Some(entry) = &self.entry else { return false };
        let is_dropped = entry.is_dropped() && fence_check(self.bound) == FenceCheck::Unchecked;
        is_dropped || entry.is_stopped()
    }

    /// Returns the latest time until which the upstream may run the request.
    fn upstream_deadline(&self, clearance: Option<&Clearance>) -> Timestamp {
        match (clearance, fence_check(self.bound)) {
            (Some(it), FenceCheck::Unchecked) => self.deadline.min(it.lease_until - LEASE_MARGIN),
            _ => self.deadline,
        }
    }

    /// Converts the deadlines to the upstream's own clock, if it announces one, so that an upstream
    /// that was frozen does not run a request that it reads too late.
    fn clock_bounds(&self, clearance: Option<&Clearance>, until: Timestamp) -> Option<ClockBounds> {
        let clock = &self.gate.upstream_clock;
        let start_before = clearance.map_or(until, |it| it.lease_until.min(until));
        Some(ClockBounds {
            start_before_ms: clock.to_upstream_ms(start_before)?,
            end_before_ms: clock.to_upstream_ms(until)?,
        })
    }
}

/// Guard that cancels a request at the upstream when the task that waits for it is dropped with its
/// caller.
struct CancelGuard<'a> {
    context: &'a RequestContext<'a>,
    is_armed: bool,
}

impl CancelGuard<'_> {
    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            let RequestContext { gate, bound, request, .. } = self.context;
            gate.cancel_upstream(&bound.upstream, request.id);
        }
    }
}

/// Result of a call to the upstream.
enum CallEnd {
    Answered(upstream::Answer),
    Failed(CallError),
    /// The gate stopped waiting for the answer.
    Abandoned(UnknownReason),
}

impl CallEnd {
    /// Returns the status of the upstream's answer, if it gave one.
    fn status(&self) -> Option<StatusCode> {
        match self {
            CallEnd::Answered(answer) => Some(answer.status),
            CallEnd::Failed(_) | CallEnd::Abandoned(_) => None,
        }
    }

    fn run_end(&self) -> RunEnd {
        match self {
            CallEnd::Answered(_) => RunEnd::Answered,
            CallEnd::Failed(CallError::NotSent { .. } | CallError::Refused { .. }) => {
                RunEnd::NotRun
            }
            CallEnd::Failed(CallError::Lost { .. } | CallError::Broken { .. }) => RunEnd::Lost,
            CallEnd::Abandoned(_) => RunEnd::Abandoned,
        }
    }

    /// Returns whether the upstream is known to have stopped running the request.
    fn has_ended_run(&self) -> bool {
        match self {
            CallEnd::Answered(_)
            | CallEnd::Failed(CallError::NotSent { .. } | CallError::Refused { .. }) => true,
            CallEnd::Failed(CallError::Lost { .. } | CallError::Broken { .. })
            | CallEnd::Abandoned(_) => false,
        }
    }
}

/// Returns whether the answer states that the upstream timed out at its deadline.
fn is_upstream_timeout(answer: &upstream::Answer, ended_at: Timestamp, until: Timestamp) -> bool {
    answer.status == StatusCode::GATEWAY_TIMEOUT && ended_at + UPSTREAM_TIMEOUT_MARGIN >= until
}

fn fence_check(bound: &BoundUpstream) -> FenceCheck {
    // An upstream that enforces leases ends requests that outlast them by itself.
    if bound.upstream.key_lease_mode().is_enforced() {
        return FenceCheck::Checked;
    }
    // Both must declare the check: the announcement alone does not bind the team, which is
    // accountable for the document.
    match bound.document.upstream.checks_fence && bound.announcement.checks_fence {
        true => FenceCheck::Checked,
        false => FenceCheck::Unchecked,
    }
}

fn failure_reply(permit: &mut Permit, error: &CallError) -> GateReply {
    match error {
        CallError::NotSent { .. } => {
            permit.completion = Completion::NotSent;
            GateReply::not_run(NotRunReason::Unreachable)
        }
        CallError::Refused { retry_after, .. } => {
            permit.completion = Completion::NotSent;
            refusal_reply(NotRunReason::Refused, *retry_after)
        }
        CallError::Lost { .. } => GateReply::unknown(UnknownReason::ConnectionLost),
        CallError::Broken { .. } => GateReply::unknown(UnknownReason::BrokenAnswer),
    }
}
