//! Unavailability of keys, as callers saw it.

use std::collections::BTreeMap;

use standins::journal::{Attempt, AttemptResult};

use super::Finding;
use crate::demo::evidence::{Evidence, ServiceKey};

const ANY_KEY: &str = "*";

/// Interval in which attempts for a key failed and none was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Gap {
    pub(super) key: ServiceKey,
    pub(super) from_ns: u64,
    pub(super) gap_ms: u64,
}

impl Gap {
    pub(super) fn finding(self) -> Finding {
        let Gap { key, from_ns, gap_ms } = self;
        let detail = format!(
            "{}/{} was not served for {gap_ms} ms from {from_ns} ns on",
            key.service, key.key
        );
        Finding { invariant: "unavailable_ms_max", detail }
    }
}

/// Answered and failed attempts for one key.
#[derive(Default)]
struct KeyHistory {
    /// Ends of answered attempts.
    answered_ns: Vec<u64>,
    failed: Vec<FailedAttempt>,
}

struct FailedAttempt {
    sent_ns: u64,
    ended_ns: u64,
}

/// Returns the longest gap of all probed keys within the observed window.
pub(super) fn longest_gap(evidence: &Evidence) -> Option<Gap> {
    let histories = histories(evidence);
    histories
        .into_iter()
        .filter_map(|(key, history)| longest_gap_of(key, history, evidence.observed.until_ns))
        .max_by_key(|it| it.gap_ms)
}

fn histories(evidence: &Evidence) -> BTreeMap<ServiceKey, KeyHistory> {
    let mut histories: BTreeMap<ServiceKey, KeyHistory> = BTreeMap::new();
    for call in &evidence.calls {
        let key = match evidence.is_keyed(&call.service) {
            true if evidence.probed_keys.contains(&call.key) => call.key.clone(),
            true => continue,
            // Any upstream may answer, so that only the service as a whole can be unavailable.
            false => ANY_KEY.to_owned(),
        };
        let key = ServiceKey { service: call.service.clone(), key };
        let history = histories.entry(key).or_default();
        for attempt in call.attempts.iter().filter(|it| evidence.observed.contains(it.sent_ns)) {
            match () {
                _ if attempt.result == AttemptResult::Answered => {
                    history.answered_ns.push(attempt.ended_ns);
                }
                _ if is_failure(attempt) && !is_during_outage(evidence, attempt) => {
                    let Attempt { sent_ns, ended_ns, .. } = *attempt;
                    history.failed.push(FailedAttempt { sent_ns, ended_ns });
                }
                _ => {}
            }
        }
    }
    histories
}

/// Returns whether an attempt shows that its key is not served. A refusal of an overloaded owner does
/// not, nor does an agent that accepts no connection.
fn is_failure(attempt: &Attempt) -> bool {
    match &attempt.result {
        AttemptResult::Answered | AttemptResult::NotConnected => false,
        AttemptResult::NotRun { reason } => reason != "overloaded",
        _ => true,
    }
}

/// Returns whether the called agent was killed or suspended during the attempt.
fn is_during_outage(evidence: &Evidence, attempt: &Attempt) -> bool {
    evidence.ingress_outages.iter().any(|it| {
        it.caller_address == attempt.target && it.window.overlaps(attempt.sent_ns, attempt.ended_ns)
    })
}

fn longest_gap_of(key: ServiceKey, mut history: KeyHistory, until_ns: u64) -> Option<Gap> {
    history.answered_ns.sort_unstable();
    let gaps = history.failed.iter().flat_map(|it| gaps_of(&history.answered_ns, it, until_ns));
    let (gap_ns, from_ns) = gaps.max()?;
    Some(Gap { key, from_ns, gap_ms: gap_ns / 1_000_000 })
}

/// Returns the durations and starts of the gaps between answers that a failed attempt falls into:
/// from its start, divided by the answers that other attempts got during it, to the first answer
/// after its end.
fn gaps_of(
    answered_ns: &[u64],
    failure: &FailedAttempt,
    until_ns: u64,
) -> impl Iterator<Item = (u64, u64)> {
    let FailedAttempt { sent_ns, ended_ns } = *failure;
    let first = answered_ns.partition_point(|it| *it <= sent_ns);
    let last = answered_ns.partition_point(|it| *it <= ended_ns);
    (first..=last).map(move |next| {
        let from_ns = if next == first { sent_ns } else { answered_ns[next - 1] };
        let to_ns = answered_ns.get(next).copied().unwrap_or(until_ns.max(ended_ns));
        (to_ns.saturating_sub(from_ns), from_ns)
    })
}
