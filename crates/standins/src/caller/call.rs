//! A request with all its attempts.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Method;
use model::RequestId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep};

use super::{AgentClient, attempt::AttemptEnd};
use crate::journal::{Attempt, AttemptResult, CallRecord, FinalOutcome, wall_clock_ns};

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct CallRequest {
    pub id: RequestId,
    pub method: Method,
    pub service: String,
    /// The path with the key filled in; its first segment names the service.
    pub path: String,
    pub key: String,
    pub class: String,
    pub idempotent: bool,
    /// Deadline of each attempt, relative to its start.
    pub deadline: Duration,
    /// Number of filler bytes requested in the answer.
    pub answer_bytes: usize,
    pub body: Bytes,
}

/// The kind of server that a caller sends to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// An agent, whose answers have an outcome header.
    Agent,
    /// An upstream, called directly to compare it with calls through an agent.
    Upstream,
}

/// Timeouts and retries of a caller.
#[derive(Debug, Clone)]
pub struct CallPolicy {
    /// Time from the first attempt after which a request is not sent again.
    pub call_timeout: Duration,
    /// Time that a caller waits for an answer beyond the deadline of an attempt.
    pub attempt_margin: Duration,
    /// Minimum delay before the next attempt if the agent names none. The delay is random, up to twice this time.
    pub resend_delay: Duration,
    /// Whether a request may be sent more than once.
    pub is_resend_enabled: bool,
    pub target_kind: TargetKind,
}

impl Default for CallPolicy {
    fn default() -> CallPolicy {
        CallPolicy {
            call_timeout: Duration::from_secs(10),
            attempt_margin: Duration::from_millis(250),
            resend_delay: Duration::from_millis(25),
            is_resend_enabled: true,
            target_kind: TargetKind::Agent,
        }
    }
}

/// A caller with the addresses of its targets.
pub struct Caller {
    pub client: AgentClient,
    pub targets: Vec<SocketAddr>,
    pub policy: CallPolicy,
}

/// The next step of a caller after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NextStep {
    Done,
    /// Send again to the same target.
    SameTarget,
    /// Send again to the next target.
    NextTarget,
}

impl Caller {
    /// Sends a request until its outcome is final or the call times out. The first attempt goes to the target with
    /// index `first_target`.
    pub async fn call(&self, request: &CallRequest, first_target: usize) -> CallRecord {
        let mut rng = Pcg64Mcg::seed_from_u64(request.id.0 as u64);
        let first_sent = Instant::now();
        let mut target = first_target;
        let mut attempts: Vec<Attempt> = Vec::new();
        loop {
            let age = first_possible_run_ns(&attempts)
                .map(|since_ns| Duration::from_nanos(wall_clock_ns().saturating_sub(since_ns)));
            let address = self.targets[target % self.targets.len()];
            let sent_ns = wall_clock_ns();
            let attempt_timeout = request.deadline + self.policy.attempt_margin;
            let AttemptEnd { result, retry_after } = self
                .client
                .send_attempt(address, request, age, attempt_timeout, self.policy.target_kind)
                .await;
            let next = match (&result, retry_after) {
                // The agent asks for a retry with the same id, as it may have the answer of the first attempt by then.
                (AttemptResult::Unknown { .. }, Some(_)) => NextStep::SameTarget,
                _ => next_step(&result, request.idempotent),
            };
            let ended_ns = wall_clock_ns();
            attempts.push(Attempt { target: address, sent_ns, ended_ns, result });
            if next == NextStep::Done || !self.policy.is_resend_enabled {
                break;
            }
            if next == NextStep::NextTarget {
                target += 1;
            }
            let jitter = rng.random_range(1.0..2.0);
            let wait = match retry_after {
                Some(wait) => wait,
                None if attempts
                    .last()
                    .is_some_and(|it| it.result == AttemptResult::NotConnected) =>
                {
                    Duration::ZERO
                }
                None => self.policy.resend_delay.mul_f64(jitter),
            };
            if first_sent.elapsed() + wait > self.policy.call_timeout {
                break;
            }
            sleep(wait).await;
        }
        CallRecord {
            id: request.id,
            service: request.service.clone(),
            key: request.key.clone(),
            class: request.class.clone(),
            idempotent: request.idempotent,
            outcome: final_outcome(&attempts),
            attempts,
        }
    }
}

/// Returns the next step after an attempt. A retry after a lost connection is safe because it has the same request
/// id. An unknown outcome of a non-idempotent request is final and left to operators.
pub(crate) fn next_step(result: &AttemptResult, idempotent: bool) -> NextStep {
    match result {
        AttemptResult::Answered | AttemptResult::Crossed => NextStep::Done,
        AttemptResult::NotRun { reason } if reason == "bad-request" => NextStep::Done,
        AttemptResult::NotRun { .. } => NextStep::SameTarget,
        AttemptResult::Unknown { .. } if idempotent => NextStep::SameTarget,
        AttemptResult::Unknown { .. } => NextStep::Done,
        AttemptResult::NotConnected
        | AttemptResult::ConnectionLost
        | AttemptResult::TimedOut
        | AttemptResult::Broken
        | AttemptResult::NoOutcome { .. } => NextStep::NextTarget,
    }
}

/// Returns the time of the first attempt that may have run. Attempts before it provably did not run, so the age of
/// the request doesn't count from them.
pub(crate) fn first_possible_run_ns(attempts: &[Attempt]) -> Option<u64> {
    attempts.iter().find(|it| !has_not_run(it)).map(|it| it.sent_ns)
}

fn has_not_run(attempt: &Attempt) -> bool {
    matches!(attempt.result, AttemptResult::NotRun { .. } | AttemptResult::NotConnected)
}

/// Returns the outcome of a request from the results of its attempts.
pub(crate) fn final_outcome(attempts: &[Attempt]) -> FinalOutcome {
    match attempts.last().map(|it| &it.result) {
        Some(AttemptResult::Answered | AttemptResult::Crossed) => FinalOutcome::Answered,
        Some(AttemptResult::NotRun { .. }) => FinalOutcome::NotRun,
        Some(AttemptResult::Unknown { .. }) => FinalOutcome::Unknown,
        Some(AttemptResult::NotConnected) if attempts.iter().all(has_not_run) => {
            FinalOutcome::NotRun
        }
        _ => FinalOutcome::Lost,
    }
}
