//! Planned stops: nothing in flight is cut off, no new work reaches a leaving upstream.

use std::collections::HashMap;

use standins::journal::{AttemptResult, RefusedReason, RunEnd, RunEntry};

use super::{Finding, requests::describe};
use crate::demo::evidence::{Evidence, Execution, PlannedStop};

const CUT_OFF: &str = "cut_off";

/// Runs on a leaving upstream that were broken off, and sendings through a leaving agent whose
/// connection broke.
pub(super) fn cut_off(evidence: &Evidence, executions: &[Execution]) -> Vec<Finding> {
    let stops: HashMap<&str, &PlannedStop> =
        evidence.stops.iter().map(|it| (it.instance.as_str(), it)).collect();
    let broken_runs = executions
        .iter()
        .filter(|run| {
            let stop = stops.get(run.instance.as_str());
            let in_stop = stop.is_some_and(|it| it.window.overlaps(run.from_ns, run.until_ns));
            in_stop && matches!(run.end, None | Some(RunEnd::Cancelled))
        })
        .map(|run| {
            let Execution { instance, id, end, .. } = run;
            let detail = format!("run of {:x} on {instance} ended as {end:?}", id.0);
            Finding { invariant: CUT_OFF, detail }
        });
    broken_runs.chain(broken_sendings(evidence)).collect()
}

fn broken_sendings(evidence: &Evidence) -> impl Iterator<Item = Finding> {
    let is_cut = |call: &&standins::journal::CallRecord| {
        call.attempts.iter().any(|attempt| {
            attempt.result == AttemptResult::ConnectionLost
                && evidence.stops.iter().any(|stop| {
                    stop.caller_address == attempt.target
                        && stop.window.overlaps(attempt.sent_ns, attempt.ended_ns)
                })
        })
    };
    evidence
        .calls
        .iter()
        .filter(is_cut)
        .map(|it| Finding { invariant: CUT_OFF, detail: describe(it) })
}

/// Requests that upstreams refused because they had been leaving for too long.
pub(super) fn late_work(evidence: &Evidence) -> Vec<Finding> {
    let is_late = |entry: &&RunEntry| {
        matches!(entry, RunEntry::Refused { reason: RefusedReason::Draining, .. })
    };
    evidence
        .upstreams
        .iter()
        .flat_map(|it| it.entries.iter().filter(is_late).map(move |entry| (it, entry)))
        .map(|(upstream, entry)| {
            let detail = format!("{} refused {entry:?}", upstream.instance);
            Finding { invariant: "late_work", detail }
        })
        .collect()
}
