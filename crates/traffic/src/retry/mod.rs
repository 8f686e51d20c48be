//! Decides whether and when a request that was not answered is retried.
//!
//! Retries are charged to a budget that is a share of the number of new requests, so that retries add
//! little to the load of an overloaded service. Redirects because of a stale route are limited in
//! number, but not charged.

#[cfg(test)]
mod tests;

use std::time::Duration;

use model::{NotRunReason, Outcome, Timestamp, UnknownReason};
use rand::{Rng, RngExt};

/// The shortest pause before a request for a key without an owner is retried; the longest is twice
/// that. A handover takes some tens of milliseconds, so an earlier retry would fail again.
const UNOWNED_PAUSE_MIN: Duration = Duration::from_millis(40);

/// The shortest pause before a retry after a lost connection. If the upstream crashed while it ran the
/// request, the report of the crash has arrived by then.
const CONNECTION_LOST_PAUSE: Duration = Duration::from_millis(50);

/// The shortest time to the deadline with which a request is retried: the shortest requests run for
/// half of it, and the network round trip takes the rest. A retry with less time would probably end
/// with an unknown outcome, while without it the caller gets a definite "not run".
const RETRY_TIME_MIN: Duration = Duration::from_millis(100);

/// How many further targets are tried at once after one was full. The load reports of the targets are
/// slightly out of date, so another one may have room; more tries would only spread the overload.
const IMMEDIATE_RETRIES_MAX: u8 = 2;

/// The same for an express request after an overloaded target. Refusing it fails the run that made it, which costs more
/// than the further tries of a short request.
const IMMEDIATE_EXPRESS_RETRIES_MAX: u8 = 4;

/// Which retries are charged to the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargePolicy {
    /// Every retry, whether a gate or an upstream refused the previous attempt.
    EveryRetry,
    /// Only retries after an attempt that may have reached an upstream. An attempt that a gate refuses
    /// costs the upstreams nothing.
    AfterUpstream,
}

/// The limits on retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryConfig {
    /// The number of retries that each new request adds to the budget.
    pub budget_share: f64,
    /// The largest number of retries that the budget can hold.
    pub budget_max: f64,
    /// Whether the budget of an agent that has just started is empty instead of half full. The budget that its
    /// predecessor spent is not known, so agents that restart in turn would otherwise each add half a budget of
    /// retries to the load of a service that is already full.
    pub starts_empty: bool,
    /// The upper bound of the backoff before the first retry; it doubles with each retry.
    pub backoff_base: Duration,
    pub backoff_max: Duration,
    /// The most retries of one request, not counting redirects.
    pub retries_max: u8,
    /// The most redirects that one request follows because of stale routes.
    pub redirects_max: u8,
    pub charge: ChargePolicy,
    /// The longest total time that a request waits for its key to get an owner; not charged.
    pub unowned_wait: Duration,
}

impl Default for RetryConfig {
    fn default() -> RetryConfig {
        RetryConfig {
            budget_share: 0.1,
            budget_max: 20.0,
            starts_empty: false,
            backoff_base: Duration::from_millis(10),
            backoff_max: Duration::from_millis(500),
            retries_max: 3,
            redirects_max: 3,
            charge: ChargePolicy::EveryRetry,
            unowned_wait: Duration::ZERO,
        }
    }
}

/// The attempts made for one request so far, and their limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts {
    pub retries: u8,
    pub redirects: u8,
    /// Retries without a pause, each after a gate refused the request without sending it to its upstream.
    pub immediate_retries: u8,
    /// Attempts that may have reached an upstream.
    pub upstream_attempts: u8,
    /// The limit of `upstream_attempts`.
    pub upstream_attempts_max: u8,
    /// Time spent waiting for the key to get an owner.
    pub owner_wait: Duration,
    /// Whether the request is express, so that it is tried at more targets that are overloaded.
    pub is_express: bool,
}

impl Attempts {
    /// Creates the count for a request that may be sent to at most `upstream_attempts_max` upstreams.
    pub fn new(upstream_attempts_max: u8) -> Attempts {
        Attempts {
            retries: 0,
            redirects: 0,
            immediate_retries: 0,
            upstream_attempts: 0,
            upstream_attempts_max,
            owner_wait: Duration::ZERO,
            is_express: false,
        }
    }
}

impl Default for Attempts {
    fn default() -> Attempts {
        Attempts::new(u8::MAX)
    }
}

/// The result of one attempt to send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedAttempt {
    pub outcome: Outcome,
    /// The pause before the next attempt that the peer asked for, if any.
    pub retry_after: Option<Duration>,
    /// Whether the peer named a different owner of the key than the instance that was tried.
    pub is_redirect: bool,
    /// Whether there is a ready target that this request has not been sent to yet.
    pub has_untried_target: bool,
}

/// The next step for a request whose last attempt was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryVerdict {
    /// Send the request to the owner that the peer named, at once.
    FollowRedirect,
    /// Send the request again after this time.
    Retry { after: Duration },
    /// Report the outcome to the caller now, with the time after which a retry makes sense, if any.
    GiveUp { retry_after: Option<Duration> },
}

/// The retry budget of one agent for one service.
#[derive(Debug)]
pub struct Retries {
    config: RetryConfig,
    /// The number of retries that are available now.
    budget: f64,
}

impl Retries {
    /// Creates a budget that is half full, or empty if the configuration says so.
    pub fn new(config: RetryConfig) -> Retries {
        let budget = if config.starts_empty { 0.0 } else { config.budget_max / 2.0 };
        Retries { config, budget }
    }

    /// Adds the share of a new request, in retries, to the budget.
    pub fn add_request(&mut self) {
        self.budget = (self.budget + self.config.budget_share).min(self.config.budget_max);
    }

    /// Decides on the next step after an attempt that was not answered, and charges the budget for a
    /// retry.
    pub fn decide(
        &mut self,
        now: Timestamp,
        deadline: Timestamp,
        is_idempotent: bool,
        attempts: &mut Attempts,
        ended: &EndedAttempt,
        rng: &mut impl Rng,
    ) -> RetryVerdict {
        let remaining = deadline.since(now);
        let may_have_reached = may_have_reached_upstream(ended.outcome);
        attempts.upstream_attempts =
            attempts.upstream_attempts.saturating_add(u8::from(may_have_reached));
        if ended.is_redirect
            && attempts.redirects < self.config.redirects_max
            && remaining > Duration::ZERO
        {
            attempts.redirects += 1;
            return RetryVerdict::FollowRedirect;
        }
        if let Some(after) = self.pause_for_owner(ended.outcome, attempts, remaining, rng) {
            return RetryVerdict::Retry { after };
        }
        if let Some(verdict) = self.retry_immediately(ended, may_have_reached, attempts, remaining)
        {
            return verdict;
        }
        let backoff = self.backoff(attempts.retries, rng);
        let backoff = match ended.outcome {
            Outcome::Unknown(UnknownReason::ConnectionLost) => backoff.max(CONNECTION_LOST_PAUSE),
            _ => backoff,
        };
        let after = ended.retry_after.map_or(backoff, |it| it + backoff);
        let give_up = RetryVerdict::GiveUp { retry_after: self.retry_after(ended, after) };
        let allowed = may_retry(ended.outcome, is_idempotent)
            && attempts.retries < self.config.retries_max
            && attempts.upstream_attempts < attempts.upstream_attempts_max
            && after + RETRY_TIME_MIN < remaining;
        let charge = match self.config.charge {
            ChargePolicy::AfterUpstream if !may_have_reached => 0.0,
            ChargePolicy::AfterUpstream | ChargePolicy::EveryRetry => 1.0,
        };
        if !allowed || self.budget < charge {
            return give_up;
        }
        self.budget -= charge;
        attempts.retries += 1;
        RetryVerdict::Retry { after }
    }

    /// Returns whether the caller is told of a refusal for overload, or the agent waits for the time that the gate
    /// gives, instead of trying another target soon. `has_other_target` states whether there is one.
    pub fn is_last_attempt(&self, attempts: &Attempts, has_other_target: bool) -> bool {
        match self.config.charge {
            _ if !has_other_target => true,
            ChargePolicy::AfterUpstream => attempts.immediate_retries >= IMMEDIATE_RETRIES_MAX,
            ChargePolicy::EveryRetry => {
                attempts.retries >= self.config.retries_max || self.budget < 1.0
            }
        }
    }

    /// Decides on a request that a gate refused, where only attempts at upstreams are charged. Such a
    /// refusal costs the upstreams nothing, so the next target is tried at once. When all have refused
    /// because they are overloaded, the caller gets that outcome and a retry-after time at once instead
    /// of waiting for a backoff.
    fn retry_immediately(
        &self,
        ended: &EndedAttempt,
        may_have_reached: bool,
        attempts: &mut Attempts,
        remaining: Duration,
    ) -> Option<RetryVerdict> {
        let Outcome::NotRun(reason) = ended.outcome else { return None };
        if self.config.charge != ChargePolicy::AfterUpstream
            || may_have_reached
            || !is_transient(reason)
        {
            return None;
        }
        let retries_max = match reason {
            NotRunReason::Overloaded if attempts.is_express => IMMEDIATE_EXPRESS_RETRIES_MAX,
            _ => IMMEDIATE_RETRIES_MAX,
        };
        if ended.has_untried_target
            && attempts.immediate_retries < retries_max
            && remaining > Duration::ZERO
        {
            attempts.immediate_retries += 1;
            return Some(RetryVerdict::Retry { after: Duration::ZERO });
        }
        let is_overloaded = reason == NotRunReason::Overloaded;
        is_overloaded.then_some(RetryVerdict::GiveUp { retry_after: ended.retry_after })
    }

    /// Returns the pause before a request for a key without an owner is retried, if enough time is left.
    fn pause_for_owner(
        &self,
        outcome: Outcome,
        attempts: &mut Attempts,
        remaining: Duration,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        let is_unowned =
            matches!(outcome, Outcome::NotRun(NotRunReason::NoOwner | NotRunReason::NotOwner));
        let pause = UNOWNED_PAUSE_MIN.mul_f64(rng.random_range(1.0..2.0));
        let is_in_time = attempts.owner_wait + pause <= self.config.unowned_wait
            && pause + RETRY_TIME_MIN < remaining;
        (is_unowned && is_in_time).then(|| attempts.owner_wait += pause)?;
        Some(pause)
    }

    /// Returns the number of retries that the budget holds.
    pub fn budget(&self) -> f64 {
        self.budget
    }

    /// Returns a random pause up to the exponential bound (full jitter).
    fn backoff(&self, retries: u8, rng: &mut impl Rng) -> Duration {
        let factor = 1_u32 << u32::from(retries).min(16);
        let bound = self.config.backoff_base.saturating_mul(factor).min(self.config.backoff_max);
        bound.mul_f64(rng.random_range(0.0..1.0))
    }

    fn retry_after(&self, ended: &EndedAttempt, after: Duration) -> Option<Duration> {
        match ended.outcome {
            Outcome::NotRun(reason) if is_transient(reason) => Some(after),
            _ => None,
        }
    }
}

/// Returns whether the request may have reached an upstream.
fn may_have_reached_upstream(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Answered | Outcome::Unknown(_) | Outcome::NotRun(NotRunReason::Refused)
    )
}

/// Returns whether a retry after this outcome is safe and may succeed.
fn may_retry(outcome: Outcome, is_idempotent: bool) -> bool {
    match outcome {
        Outcome::Answered => false,
        Outcome::NotRun(reason) => is_transient(reason),
        Outcome::Unknown(UnknownReason::DeadlineExceeded) => false,
        Outcome::Unknown(_) => is_idempotent,
    }
}

/// Returns whether the reason is temporary, so that a later attempt may succeed.
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
