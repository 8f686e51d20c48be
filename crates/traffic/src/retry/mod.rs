//! Whether a request that came back without an answer is sent again, and when.
//!
//! Retries are paid from a budget that is a share of fresh traffic, so that an overloaded service
//! gets little more than its callers ask. A stale route is followed without charge, a few times.

#[cfg(test)]
mod tests;

use std::time::Duration;

use model::{NotRunReason, Outcome, Timestamp, UnknownReason};
use rand::{Rng, RngExt};

/// How long a request for a key that nobody owns waits between two tries, at the least; at the most
/// twice as long. A handover takes some tens of milliseconds, so a shorter wait asks in vain.
const UNOWNED_PAUSE: Duration = Duration::from_millis(40);

/// How long a request waits at the least whose connection was lost: if its upstream has ended under it, word of that
/// is here by then.
const LOST_PAUSE: Duration = Duration::from_millis(50);

/// A sending with less time than this is of no use: the shortest requests run for half of it, and the rest is
/// the way there and back. It would end unknown where the caller can be told that nothing has run.
const USEFUL_MIN: Duration = Duration::from_millis(100);

/// How many more targets are asked when one has no room: what they say of their load is a little old,
/// so one may have room after all; more would only spread the rush.
const ELSEWHERE_MAX: u8 = 2;

/// Which retries the budget pays for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargePolicy {
    /// Each one, whoever refused the sending before it.
    EveryRetry,
    /// Only those after a sending that may have reached an upstream: what a gate refuses by itself
    /// costs the upstreams nothing.
    AfterUpstream,
}

/// Bounds on retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryConfig {
    /// Retries allowed for each fresh request, on average.
    pub budget_share: f64,
    /// Retries that may be saved up.
    pub budget_max: f64,
    /// The longest wait before the first retry; doubles with each.
    pub backoff_base: Duration,
    pub backoff_max: Duration,
    /// Retries of one request, stale routes not counted.
    pub retries_max: u8,
    /// Stale routes that one request follows.
    pub redirects_max: u8,
    pub charge: ChargePolicy,
    /// How long a request waits in all for a key that nobody owns; without charge.
    pub unowned_wait: Duration,
}

impl Default for RetryConfig {
    fn default() -> RetryConfig {
        RetryConfig {
            budget_share: 0.1,
            budget_max: 20.0,
            backoff_base: Duration::from_millis(10),
            backoff_max: Duration::from_millis(500),
            retries_max: 3,
            redirects_max: 3,
            charge: ChargePolicy::EveryRetry,
            unowned_wait: Duration::ZERO,
        }
    }
}

/// What one request has used up so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts {
    pub retries: u8,
    pub redirects: u8,
    /// Targets that were asked after others had refused the request without giving it to an upstream.
    pub immediate_retries: u8,
    /// Sendings that may have reached an upstream, and the most of them.
    pub upstream_attempts: u8,
    pub upstream_attempts_max: u8,
    /// Time spent waiting for an owner of the key.
    pub waited: Duration,
}

impl Attempts {
    /// A request that may be given to so many upstreams.
    pub fn new(upstream_attempts_max: u8) -> Attempts {
        Attempts {
            retries: 0,
            redirects: 0,
            immediate_retries: 0,
            upstream_attempts: 0,
            upstream_attempts_max,
            waited: Duration::ZERO,
        }
    }
}

impl Default for Attempts {
    fn default() -> Attempts {
        Attempts::new(u8::MAX)
    }
}

/// How one sending ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedAttempt {
    pub outcome: Outcome,
    /// When the peer asked to come back.
    pub retry_after: Option<Duration>,
    /// The peer named another owner for the key than the one that was asked.
    pub is_redirect: bool,
    /// There is a target that has not been asked yet and may take it.
    pub has_untried_target: bool,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryVerdict {
    /// Send it to the owner that the peer named, now.
    FollowRedirect,
    /// Send it again after this time.
    Retry { after: Duration },
    /// Tell the caller the outcome now, and when to come back if that makes sense.
    GiveUp { retry_after: Option<Duration> },
}

/// The retries of one agent towards one service.
#[derive(Debug)]
pub struct Retries {
    config: RetryConfig,
    budget: f64,
}

impl Retries {
    /// Starts with half the budget saved up.
    pub fn new(config: RetryConfig) -> Retries {
        let budget = config.budget_max / 2.0;
        Retries { config, budget }
    }

    /// A fresh request of a caller: pays a share of a retry into the budget.
    pub fn add_request(&mut self) {
        self.budget = (self.budget + self.config.budget_share).min(self.config.budget_max);
    }

    /// Decides on a request whose sending ended, and charges what it uses.
    pub fn decide(
        &mut self,
        now: Timestamp,
        deadline: Timestamp,
        idempotent: bool,
        attempts: &mut Attempts,
        ended: &EndedAttempt,
        rng: &mut impl Rng,
    ) -> RetryVerdict {
        let left = deadline.since(now);
        let reached = may_have_reached_upstream(ended.outcome);
        attempts.upstream_attempts = attempts.upstream_attempts.saturating_add(u8::from(reached));
        if ended.is_redirect
            && attempts.redirects < self.config.redirects_max
            && left > Duration::ZERO
        {
            attempts.redirects += 1;
            return RetryVerdict::FollowRedirect;
        }
        if let Some(after) = self.wait_for_owner(ended.outcome, attempts, left, rng) {
            return RetryVerdict::Retry { after };
        }
        if let Some(verdict) = self.retry_immediately(ended, reached, attempts, left) {
            return verdict;
        }
        let backoff = self.backoff(attempts.retries, rng);
        let backoff = match ended.outcome {
            Outcome::Unknown(UnknownReason::ConnectionLost) => backoff.max(LOST_PAUSE),
            _ => backoff,
        };
        let after = ended.retry_after.map_or(backoff, |it| it + backoff);
        let give_up = RetryVerdict::GiveUp { retry_after: self.come_back(ended, after) };
        let allowed = may_retry(ended.outcome, idempotent)
            && attempts.retries < self.config.retries_max
            && attempts.upstream_attempts < attempts.upstream_attempts_max
            && after + USEFUL_MIN < left;
        let charge = match self.config.charge {
            ChargePolicy::AfterUpstream if !reached => 0.0,
            ChargePolicy::AfterUpstream | ChargePolicy::EveryRetry => 1.0,
        };
        if !allowed || self.budget < charge {
            return give_up;
        }
        self.budget -= charge;
        attempts.retries += 1;
        RetryVerdict::Retry { after }
    }

    /// Where only upstreams count, a gate's refusal costs nobody else anything: the next target is asked
    /// at once, and when all have refused for want of room the caller is told so, and when to come back,
    /// in place of being held.
    fn retry_immediately(
        &self,
        ended: &EndedAttempt,
        reached: bool,
        attempts: &mut Attempts,
        left: Duration,
    ) -> Option<RetryVerdict> {
        let Outcome::NotRun(reason) = ended.outcome else { return None };
        if self.config.charge != ChargePolicy::AfterUpstream || reached || !is_transient(reason) {
            return None;
        }
        if ended.has_untried_target
            && attempts.immediate_retries < ELSEWHERE_MAX
            && left > Duration::ZERO
        {
            attempts.immediate_retries += 1;
            return Some(RetryVerdict::Retry { after: Duration::ZERO });
        }
        let full = reason == NotRunReason::Overloaded;
        full.then_some(RetryVerdict::GiveUp { retry_after: ended.retry_after })
    }

    /// The pause until a key that nobody owns is asked for again, if there is time for it.
    fn wait_for_owner(
        &self,
        outcome: Outcome,
        attempts: &mut Attempts,
        left: Duration,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        let unowned =
            matches!(outcome, Outcome::NotRun(NotRunReason::NoOwner | NotRunReason::NotOwner));
        let pause = UNOWNED_PAUSE.mul_f64(rng.random_range(1.0..2.0));
        let in_time =
            attempts.waited + pause <= self.config.unowned_wait && pause + USEFUL_MIN < left;
        (unowned && in_time).then(|| attempts.waited += pause)?;
        Some(pause)
    }

    /// Retries that the budget still holds.
    pub fn budget(&self) -> f64 {
        self.budget
    }

    /// Full jitter: anything up to the exponential bound.
    fn backoff(&self, retries: u8, rng: &mut impl Rng) -> Duration {
        let factor = 1_u32 << u32::from(retries).min(16);
        let bound = self.config.backoff_base.saturating_mul(factor).min(self.config.backoff_max);
        bound.mul_f64(rng.random_range(0.0..1.0))
    }

    fn come_back(&self, ended: &EndedAttempt, after: Duration) -> Option<Duration> {
        match ended.outcome {
            Outcome::NotRun(reason) if is_transient(reason) => Some(after),
            _ => None,
        }
    }
}

/// Whether the upstream may have seen the request.
fn may_have_reached_upstream(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Answered | Outcome::Unknown(_) | Outcome::NotRun(NotRunReason::Refused)
    )
}

/// Whether sending a request again after this outcome is safe and makes sense.
fn may_retry(outcome: Outcome, idempotent: bool) -> bool {
    match outcome {
        Outcome::Answered => false,
        Outcome::NotRun(reason) => is_transient(reason),
        Outcome::Unknown(UnknownReason::DeadlineExceeded) => false,
        Outcome::Unknown(_) => idempotent,
    }
}

/// Whether the reason may pass by itself.
fn is_transient(reason: NotRunReason) -> bool {
    match reason {
        NotRunReason::Overloaded
        | NotRunReason::NoOwner
        | NotRunReason::NotOwner
        | NotRunReason::Unreachable
        | NotRunReason::Draining
        | NotRunReason::Refused => true,
        NotRunReason::BadRequest
        | NotRunReason::DeadlineExceeded
        | NotRunReason::Cancelled
        | NotRunReason::Quarantined => false,
    }
}
