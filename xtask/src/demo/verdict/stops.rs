//! Checks of planned stops: no request in flight is aborted, and no late request reaches a draining
//! upstream.

use std::collections::HashMap;

use standins::journal::{AttemptResult, RefusedReason, RunEnd, RunEntry};

use super::{Finding, requests::describe};
use crate::demo::evidence::{Evidence, Execution, PlannedStop};

const CUT_OFF: &str = "cut_off";

/// Returns the runs that were aborted on a stopping upstream, and the requests whose connection to a
/// stopping agent was lost.
pub(super) fn cut_off(evidence: &Evidence, executions: &[Execution]) -> Vec<Finding> {
    let stops: HashMap<&str, &PlannedStop> =
        evidence.stops.iter().map(|it| (it.instance.as_str(), it)).collect();
    let aborted_runs = executions
        .iter()
        .filter(|run| {
            let stop = stops.get(run.instance.as_str());
            let is_stopping = stop.is_some_and(|it| it.window.overlaps(run.from_ns, run.until_ns));
            is_stopping && matches!(run.end, None | Some(RunEnd::Cancelled))
        })
        .map(|run| {
            let Execution { instance, id, end, .. } = run;
            let detail =
                format!("run of request {:x} on the stopping {instance} ended as {end:?}", id.0);
            Finding { invariant: CUT_OFF, detail }
        });
    aborted_runs.chain(lost_connections(evidence)).collect()
}

fn lost_connections(evidence: &Evidence) -> impl Iterator<Item = Finding> {
    let has_lost_connection = |call: &&standins::journal::CallRecord| {
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
        .filter(has_lost_connection)
        .map(|it| Finding { invariant: CUT_OFF, detail: describe(it) })
}

/// Returns requests that upstreams refused because they had been draining for too long.
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
