//! Requests: nothing lost, nothing run twice, "not run" true, answers one's own and whole.

use std::collections::{HashMap, HashSet};

use model::RequestId;
use standins::journal::{Attempt, AttemptResult, CallRecord, FinalOutcome, RunEnd};

use super::Finding;
use crate::demo::evidence::{Evidence, Execution};

type ById<'a> = HashMap<RequestId, Vec<&'a Execution>>;

fn by_id(executions: &[Execution]) -> ById<'_> {
    let mut ids = ById::new();
    for execution in executions {
        ids.entry(execution.id).or_default().push(execution);
    }
    ids
}

/// Requests whose caller was told nothing in the end, or that were answered without having run.
pub(super) fn lost(evidence: &Evidence, executions: &[Execution]) -> Vec<Finding> {
    let ran: HashSet<RequestId> =
        executions.iter().filter(|it| it.end == Some(RunEnd::Ran)).map(|it| it.id).collect();
    let is_lost = |it: &&CallRecord| match it.outcome {
        FinalOutcome::Lost => true,
        FinalOutcome::Answered => !ran.contains(&it.id),
        FinalOutcome::NotRun | FinalOutcome::Unknown => false,
    };
    evidence.calls.iter().filter(is_lost).map(|it| finding("lost", it)).collect()
}

/// Requests that may not be repeated and ran more than once.
pub(super) fn ran_twice(evidence: &Evidence, executions: &[Execution]) -> Vec<Finding> {
    let runs = by_id(executions);
    let is_repeated =
        |it: &&CallRecord| !it.idempotent && runs.get(&it.id).is_some_and(|runs| runs.len() > 1);
    evidence
        .calls
        .iter()
        .filter(is_repeated)
        .map(|it| {
            let instances: Vec<&str> = runs[&it.id].iter().map(|it| it.instance.as_str()).collect();
            let detail = format!("{} on {instances:?}", describe(it));
            Finding { invariant: "ran_twice", detail }
        })
        .collect()
}

/// Sendings that ended as not run although the request had run by then, or ran later without
/// having been sent again.
pub(super) fn not_run_but_ran(evidence: &Evidence, executions: &[Execution]) -> Vec<Finding> {
    let runs = by_id(executions);
    let is_false = |call: &&CallRecord| {
        let runs = runs.get(&call.id).map_or(&[][..], Vec::as_slice);
        (0..call.attempts.len()).any(|index| {
            is_not_run(&call.attempts[index])
                && runs.iter().any(|it| belongs(&call.attempts, index, it.from_ns))
        })
    };
    evidence.calls.iter().filter(is_false).map(|it| finding("not_run_but_ran", it)).collect()
}

fn is_not_run(attempt: &Attempt) -> bool {
    matches!(attempt.result, AttemptResult::NotRun { .. })
}

/// Whether a run that started at a time speaks against the sending with this index: it came before
/// that sending's end, or after it and before the next sending.
fn belongs(attempts: &[Attempt], index: usize, started_ns: u64) -> bool {
    let next_sent_ns = attempts.get(index + 1).map_or(u64::MAX, |it| it.sent_ns);
    started_ns < next_sent_ns
}

/// Sendings that ended with another request's answer.
pub(super) fn crossed_answers(evidence: &Evidence) -> Vec<Finding> {
    with_result(evidence, "crossed_answers", &AttemptResult::Crossed)
}

/// Sendings that ended in good order with a part of an answer.
pub(super) fn broken_answers(evidence: &Evidence) -> Vec<Finding> {
    with_result(evidence, "broken_answers", &AttemptResult::Broken)
}

fn with_result(
    evidence: &Evidence,
    invariant: &'static str,
    result: &AttemptResult,
) -> Vec<Finding> {
    let has = |it: &&CallRecord| it.attempts.iter().any(|it| it.result == *result);
    evidence.calls.iter().filter(has).map(|it| finding(invariant, it)).collect()
}

fn finding(invariant: &'static str, call: &CallRecord) -> Finding {
    Finding { invariant, detail: describe(call) }
}

/// A request with the ends of its sendings, in milliseconds from the first.
pub(super) fn describe(call: &CallRecord) -> String {
    let first_ns = call.first_sent_ns();
    let ms = |at_ns: u64| at_ns.saturating_sub(first_ns) / 1_000_000;
    let attempts: Vec<String> = call
        .attempts
        .iter()
        .map(|it| format!("{} {}-{} {:?}", it.target, ms(it.sent_ns), ms(it.ended_ns), it.result))
        .collect();
    format!(
        "{:x} {}/{} {} first sent {} ended {:?}: {}",
        call.id.0,
        call.service,
        call.key,
        call.class,
        first_ns,
        call.outcome,
        attempts.join(", ")
    )
}
