//! One request with all its sendings.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Method;
use model::RequestId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep};

use super::{AgentClient, attempt::AttemptEnd};
use crate::journal::{Attempt, AttemptResult, CallRecord, FinalOutcome, wall_clock_ns};

/// A request as a caller means it.
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
    /// How long one sending may take.
    pub deadline: Duration,
    /// Filler that the answer is to hold.
    pub answer_bytes: usize,
    pub body: Bytes,
}

/// What callers talk to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// Whose answers carry an outcome.
    Agent,
    /// An upstream without an agent in between, to compare with.
    Upstream,
}

/// How callers go about a request that did not succeed.
#[derive(Debug, Clone)]
pub struct CallPolicy {
    /// Time from the first sending after which a caller gives up.
    pub call_timeout: Duration,
    /// Beyond the deadline, the longest that a caller waits for the end of one sending.
    pub attempt_margin: Duration,
    /// Time until the next sending where the agent names none.
    pub resend_delay: Duration,
    /// Whether anything is sent more than once.
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

/// A caller that knows the addresses of some agents.
pub struct Caller {
    pub client: AgentClient,
    pub targets: Vec<SocketAddr>,
    pub policy: CallPolicy,
}

/// What a caller does after a sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NextStep {
    Done,
    /// Send again through the same agent.
    SameTarget,
    /// Send again through another one.
    NextTarget,
}

impl Caller {
    /// Sends a request until its end is known or patience runs out.
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
                // The agent asks for the same id again: it may have the first answer then.
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

/// The same id makes it safe to ask again after a lost connection; an unknown end of a request that
/// may not be repeated is left to people.
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

/// When the first sending was sent that may have run. Those before it provably did not, so that the
/// next one counts as a first sending.
pub(crate) fn first_possible_run_ns(attempts: &[Attempt]) -> Option<u64> {
    attempts.iter().find(|it| !has_not_run(it)).map(|it| it.sent_ns)
}

fn has_not_run(attempt: &Attempt) -> bool {
    matches!(attempt.result, AttemptResult::NotRun { .. } | AttemptResult::NotConnected)
}

/// What the caller holds to be true in the end.
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
