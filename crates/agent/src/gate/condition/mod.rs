//! The condition that the upstream states in its answers: a limit on its requests, and that it is leaving.
//!
//! Invariant: an incarnation that has stated that it is leaving counts as leaving until it ends. This requires that the
//! upstream announces an id or its start time; otherwise the statement is ignored, since it would also apply to the next
//! incarnation.

#[cfg(test)]
mod tests;

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use logging::LineRateLimiter;
use model::{RequestRate, Timestamp, key_hash};
use upstream::StatedCondition;
use wire::traffic::{KnownCondition, UpstreamCondition as WireCondition};

use crate::gate::leases::UpstreamIncarnation;

/// Long-term rate limit of the log lines: each answer may change the limit.
const LINES_PER_S: f64 = 1.0;
const BURST_LINES: f64 = 10.0;
/// Ratio of two limits from which a change is logged.
const LOGGED_CHANGE: f64 = 1.2;

/// The condition of the upstream's current incarnation.
#[derive(Debug)]
pub(super) struct UpstreamCondition {
    state: Mutex<State>,
    lines: LineRateLimiter,
}

#[derive(Debug, Default)]
struct State {
    incarnation: UpstreamIncarnation,
    limit: Option<RequestRate>,
    /// When an answer last stated a limit.
    limit_stated_at: Timestamp,
    /// The limit in the last log line.
    logged_limit: Option<RequestRate>,
    /// Since when the incarnation is known to be leaving.
    leaving_since: Option<Timestamp>,
    /// Whether the incarnation has served a request of this process. Until then, peers may know more of its condition.
    has_served: bool,
}

/// The parts of the condition that have changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ConditionChange {
    pub(super) limit: bool,
    /// Whether the upstream is known to be leaving from now on.
    pub(super) is_leaving: bool,
}

/// An answer or a refusal of the upstream that states its condition.
#[derive(Debug, Clone, Copy)]
pub(super) struct Statement<'a> {
    /// The incarnation that the request was sent to.
    pub(super) incarnation: &'a UpstreamIncarnation,
    pub(super) sent_at: Timestamp,
    pub(super) received_at: Timestamp,
    pub(super) condition: StatedCondition,
    /// Whether the upstream served the request. A refusal or a failure without a limit does not end one.
    pub(super) is_served: bool,
}

impl Default for UpstreamCondition {
    fn default() -> UpstreamCondition {
        let lines = LineRateLimiter::new(LINES_PER_S, BURST_LINES);
        UpstreamCondition { state: Mutex::default(), lines }
    }
}

impl UpstreamCondition {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets the condition if this is another incarnation of the upstream.
    pub(super) fn follow_incarnation(&self, incarnation: &UpstreamIncarnation) -> ConditionChange {
        let mut state = self.state();
        if state.incarnation == *incarnation {
            return ConditionChange::default();
        }
        let former = std::mem::take(&mut *state);
        state.incarnation = incarnation.clone();
        ConditionChange { limit: former.limit.is_some(), is_leaving: false }
    }

    /// Records the condition that the upstream states. A limit ends with an answer without one, if its request
    /// was sent after the limit was last stated: answers may overtake each other.
    pub(super) fn record(&self, statement: Statement<'_>) -> ConditionChange {
        let Statement { incarnation, sent_at, received_at, condition, is_served } = statement;
        let mut state = self.state();
        if state.incarnation != *incarnation {
            return ConditionChange::default();
        }
        state.has_served |= is_served;
        let is_leaving = condition.is_leaving && state.begin_leaving(received_at);
        if is_leaving {
            log::info!(target: "gate", "The upstream states that it is leaving; it gets no new work.");
        }
        let former_limit = state.limit;
        match condition.limit {
            Some(limit) => {
                state.limit = Some(limit);
                state.limit_stated_at = received_at;
            }
            None if is_served && sent_at > state.limit_stated_at => state.limit = None,
            None => {}
        }
        self.log_limit(&mut state, received_at);
        ConditionChange { limit: state.limit != former_limit, is_leaving }
    }

    /// Records that the incarnation has announced that it leaves for good. Peers learn it from replies and tell
    /// it to the next process of this agent, which may hear a late announcement of it as ready.
    pub(super) fn record_announced_leaving(
        &self,
        now: Timestamp,
        incarnation: &UpstreamIncarnation,
    ) {
        let mut state = self.state();
        if state.incarnation == *incarnation && state.begin_leaving(now) {
            log::info!(target: "gate", "The upstream has announced that it is leaving; peers are told with replies.");
        }
    }

    /// Takes over the condition that a peer knows, if the upstream has not served a request of this process yet: the
    /// peer may know it from an earlier process of this agent.
    pub(super) fn adopt(
        &self,
        now: Timestamp,
        incarnation: &UpstreamIncarnation,
        known: &KnownCondition,
    ) -> ConditionChange {
        let mut state = self.state();
        let WireCondition { limit, is_leaving, .. } = known.condition;
        let is_same = state.incarnation == *incarnation
            && known.condition.incarnation == incarnation_hash(incarnation);
        if state.has_served || !is_same {
            return ConditionChange::default();
        }
        let stated_at = now - Duration::from_micros(known.age_us);
        let is_leaving = is_leaving && state.begin_leaving(stated_at);
        if is_leaving {
            log::info!(target: "gate", "The upstream has stated to a peer that it is leaving; it gets no new work.");
        }
        let is_newer = state.limit.is_none() || stated_at > state.limit_stated_at;
        let former_limit = state.limit;
        if limit.is_some() && is_newer {
            state.limit = limit;
            state.limit_stated_at = stated_at;
        }
        self.log_limit(&mut state, now);
        ConditionChange { limit: state.limit != former_limit, is_leaving }
    }

    /// Returns the condition for peers. `None` if the upstream states neither a limit nor that it is leaving.
    pub(super) fn to_wire(&self, incarnation: &UpstreamIncarnation) -> Option<WireCondition> {
        let state = self.state();
        let (limit, is_leaving) = (state.limit, state.leaving_since.is_some());
        let is_stated = state.incarnation == *incarnation && (limit.is_some() || is_leaving);
        let incarnation = incarnation_hash(incarnation);
        is_stated.then_some(WireCondition { incarnation, limit, is_leaving })
    }

    fn log_limit(&self, state: &mut State, now: Timestamp) {
        let is_logged = match (state.logged_limit, state.limit) {
            (None, None) => true,
            (Some(logged), Some(limit)) => {
                let ratio = limit.per_s() / logged.per_s();
                (LOGGED_CHANGE.recip()..LOGGED_CHANGE).contains(&ratio)
            }
            _ => false,
        };
        if is_logged || self.lines.admit(now).is_none() {
            return;
        }
        state.logged_limit = state.limit;
        match state.limit {
            Some(limit) => {
                log::info!(target: "gate", "The upstream limits its requests to {limit}, over all callers.")
            }
            None => log::info!(target: "gate", "The upstream no longer limits its requests."),
        }
    }

    /// Returns the limit in force.
    pub(super) fn limit(&self) -> Option<RequestRate> {
        self.state().limit
    }

    /// Returns since when the upstream is known to be leaving. `None` if it has not stated that.
    pub(super) fn leaving_since(&self) -> Option<Timestamp> {
        self.state().leaving_since
    }
}

impl State {
    /// Marks the incarnation as leaving since then. Returns false if it is already marked, or if the upstream announces
    /// neither an id nor its start time.
    fn begin_leaving(&mut self, since: Timestamp) -> bool {
        if self.leaving_since.is_some() || incarnation_hash(&self.incarnation).is_none() {
            return false;
        }
        self.leaving_since = Some(since);
        true
    }
}

/// Returns a hash that identifies an incarnation among those of one upstream. `None` if the upstream announces neither
/// an id nor its start time.
fn incarnation_hash((id, start_ms): &UpstreamIncarnation) -> Option<u64> {
    if id.is_none() && start_ms.is_none() {
        return None;
    }
    let mut text = id.as_deref().unwrap_or_default().as_bytes().to_vec();
    text.extend(start_ms.unwrap_or_default().to_le_bytes());
    Some(key_hash(&text).0)
}
