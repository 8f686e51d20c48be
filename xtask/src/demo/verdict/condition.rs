//! Checks of upstreams that state a limit on their requests, or that they are leaving.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use model::RequestId;
use standins::journal::{AttemptResult, CallRecord, RunEnd, RunEntry};

use super::Finding;
use crate::demo::evidence::{Evidence, UpstreamJournal};

const SECOND_NS: u64 = 1_000_000_000;
/// Length of the windows in which requests are counted.
const WINDOW_NS: u64 = 4 * SECOND_NS;
/// Time from the first statement of a limit until it is checked.
const FIRST_CHECKED_AFTER_NS: u64 = 3 * SECOND_NS;
/// Factor and number of requests by which a limit may be exceeded in a window.
const LIMIT_FACTOR: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;
/// Time from an answer that states that the upstream is leaving until the agent that has passed it on must send no
/// later request there.
const LEAVING_AFTER_NS: u64 = 2 * SECOND_NS;
/// Time after the end of an agent's outage or stop for which its requests are not counted, since it must first learn the
/// condition.
const EXCUSED_AFTER_OUTAGE_NS: u64 = 5 * SECOND_NS;

/// A request that reached an upstream.
struct Arrival<'a> {
    at_ns: u64,
    call: &'a CallRecord,
    /// Whether the upstream ran the request to its end.
    has_run: bool,
}

/// Returns the windows in which an upstream got more requests than its limit allows.
pub(super) fn limit_exceeded(evidence: &Evidence) -> Vec<Finding> {
    let calls = calls_by_id(evidence);
    evidence
        .upstreams
        .iter()
        .filter_map(|it| first_window_over_limit(evidence, &calls, it))
        .collect()
}

fn first_window_over_limit(
    evidence: &Evidence,
    calls: &HashMap<RequestId, &CallRecord>,
    upstream: &UpstreamJournal,
) -> Option<Finding> {
    let arrivals = arrivals(calls, upstream);
    let counted: Vec<u64> = arrivals
        .iter()
        .filter(|it| !is_excused(evidence, it.call, it.at_ns))
        .map(|it| it.at_ns)
        .collect();
    for (from_ns, limits) in limited_periods(upstream) {
        let checked_from_ns = from_ns + FIRST_CHECKED_AFTER_NS;
        let until_ns = limits.last().map_or(from_ns, |it| it.1);
        let starts = counted.iter().filter(|it| (checked_from_ns..until_ns).contains(it));
        for window_ns in starts {
            let window_until_ns = (window_ns + WINDOW_NS).min(until_ns);
            let count =
                counted.iter().filter(|it| (*window_ns..window_until_ns).contains(it)).count();
            let allowed = LIMIT_FACTOR * requests_allowed(&limits, *window_ns, window_until_ns)
                + EXTRA_REQUESTS;
            if count as f64 > allowed {
                let detail = format!(
                    "{} got {count} requests in the 4 s from {window_ns} ns, {allowed:.1} allowed by its limit",
                    upstream.instance
                );
                return Some(Finding { invariant: "limit_exceeded", detail });
            }
        }
    }
    None
}

/// Periods in which the upstream states a limit, each with its start and the limits by their ends.
fn limited_periods(upstream: &UpstreamJournal) -> Vec<(u64, Vec<(f64, u64)>)> {
    let mut periods: Vec<(u64, Vec<(f64, u64)>)> = Vec::new();
    let mut current: Option<(u64, f64)> = None;
    let states = upstream.entries.iter().filter_map(|it| match it {
        RunEntry::States { at_ns, limit_per_s, .. } => Some((*at_ns, *limit_per_s)),
        _ => None,
    });
    for (at_ns, limit) in states.chain([(upstream.exited_ns, None)]) {
        match (current, periods.last_mut()) {
            (Some((_, per_s)), Some((_, limits))) => limits.push((per_s, at_ns)),
            _ if limit.is_some() => periods.push((at_ns, Vec::new())),
            _ => {}
        }
        current = limit.map(|it| (at_ns, it));
    }
    periods
}

/// Returns the requests that the limits allow between two times.
fn requests_allowed(limits: &[(f64, u64)], from_ns: u64, until_ns: u64) -> f64 {
    let mut allowed = 0.0;
    let mut from_ns = from_ns;
    for (per_s, end_ns) in limits {
        let part_ns = (*end_ns).min(until_ns).saturating_sub(from_ns);
        allowed += per_s * part_ns as f64 / SECOND_NS as f64;
        from_ns += part_ns;
    }
    allowed
}

/// Returns the requests that a caller sent too long after the agent that it sent them to had passed on that the upstream
/// is leaving.
pub(super) fn work_after_leaving(evidence: &Evidence) -> Vec<Finding> {
    let calls = calls_by_id(evidence);
    let mut findings = Vec::new();
    for upstream in &evidence.upstreams {
        let states_leaving = |it: &RunEntry| match it {
            RunEntry::States { at_ns, is_leaving: true, .. } => Some(*at_ns),
            _ => None,
        };
        let Some(leaving_ns) = upstream.entries.iter().find_map(states_leaving) else { continue };
        let arrivals = arrivals(&calls, upstream);
        let mut passed_on: HashMap<SocketAddr, u64> = HashMap::new();
        for it in arrivals.iter().filter(|it| it.at_ns > leaving_ns && it.has_run) {
            if let [attempt] = &it.call.attempts[..]
                && attempt.result == AttemptResult::Answered
            {
                let at_ns = passed_on.entry(attempt.target).or_insert(attempt.ended_ns);
                *at_ns = attempt.ended_ns.min(*at_ns);
            }
        }
        let is_late = |it: &&Arrival<'_>| {
            let attempt = it.call.attempts.iter().rev().find(|attempt| attempt.sent_ns <= it.at_ns);
            let Some(attempt) = attempt else { return false };
            let Some(passed_on_ns) = passed_on.get(&attempt.target) else { return false };
            let outage = evidence.ingress_outages.iter().any(|outage| {
                outage.caller_address == attempt.target
                    && outage.window.overlaps(*passed_on_ns, it.at_ns)
            });
            attempt.sent_ns > passed_on_ns + LEAVING_AFTER_NS && !outage
        };
        findings.extend(arrivals.iter().filter(is_late).map(|it| {
            let detail = format!(
                "{} got request {:x} from an agent that knew for over 2 s that it is leaving",
                upstream.instance, it.call.id.0
            );
            Finding { invariant: "work_after_leaving", detail }
        }));
    }
    findings
}

fn calls_by_id(evidence: &Evidence) -> HashMap<RequestId, &CallRecord> {
    evidence.calls.iter().map(|it| (it.id, it)).collect()
}

/// Returns the callers' requests that reached the upstream, whether it ran or refused them.
fn arrivals<'a>(
    calls: &HashMap<RequestId, &'a CallRecord>,
    upstream: &UpstreamJournal,
) -> Vec<Arrival<'a>> {
    let completed: HashSet<u64> = upstream
        .entries
        .iter()
        .filter_map(|it| match it {
            RunEntry::Ended { run, end: RunEnd::Ran, .. } => Some(*run),
            _ => None,
        })
        .collect();
    let arrival = |it: &RunEntry| match it {
        RunEntry::Started { at_ns, id, run, .. } => {
            Some(Arrival { at_ns: *at_ns, call: calls.get(id)?, has_run: completed.contains(run) })
        }
        RunEntry::Refused { at_ns, id, .. } => {
            Some(Arrival { at_ns: *at_ns, call: calls.get(id)?, has_run: false })
        }
        _ => None,
    };
    upstream.entries.iter().filter_map(arrival).collect()
}

/// Returns whether an agent that the request was sent to had an outage shortly before.
fn is_excused(evidence: &Evidence, call: &CallRecord, at_ns: u64) -> bool {
    call.attempts.iter().any(|attempt| {
        evidence.ingress_outages.iter().any(|outage| {
            outage.caller_address == attempt.target
                && outage.window.overlaps(at_ns.saturating_sub(EXCUSED_AFTER_OUTAGE_NS), at_ns)
        }) || evidence.stops.iter().any(|stop| {
            stop.caller_address == attempt.target
                && stop.window.overlaps(at_ns.saturating_sub(EXCUSED_AFTER_OUTAGE_NS), at_ns)
        })
    })
}
