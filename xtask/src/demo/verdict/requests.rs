//! Checks of requests: none is lost, none runs twice unless idempotent, "not run" is true, responses
//! are complete and belong to their request.

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

/// Returns requests without a final outcome for their caller, and requests that were answered but
/// never ran to the end.
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

/// Returns requests that are not idempotent and ran more than once.
pub(super) fn ran_twice(evidence: &Evidence, executions: &[Execution]) -> Vec<Finding> {
    let runs = by_id(executions);
    let ran_again =
        |it: &&CallRecord| !it.idempotent && runs.get(&it.id).is_some_and(|runs| runs.len() > 1);
    evidence
        .calls
        .iter()
        .filter(ran_again)
        .map(|it| {
            let runs: Vec<String> = runs[&it.id].iter().map(|run| describe_run(it, run)).collect();
            let detail = format!("{} ran on {}", describe(it), runs.join(", "));
            Finding { invariant: "ran_twice", detail }
        })
        .collect()
}

/// Returns requests with an attempt that ended as not run, although the request had already run or
/// ran later without a further attempt.
pub(super) fn not_run_but_ran(evidence: &Evidence, executions: &[Execution]) -> Vec<Finding> {
    let runs = by_id(executions);
    let is_false = |call: &&CallRecord| {
        let runs = runs.get(&call.id).map_or(&[][..], Vec::as_slice);
        (0..call.attempts.len()).any(|index| {
            is_not_run(&call.attempts[index])
                && runs.iter().any(|it| contradicts_not_run(&call.attempts, index, it.from_ns))
        })
    };
    evidence.calls.iter().filter(is_false).map(|it| finding("not_run_but_ran", it)).collect()
}

fn is_not_run(attempt: &Attempt) -> bool {
    matches!(attempt.result, AttemptResult::NotRun { .. })
}

/// Returns whether a run that started at this time contradicts the "not run" of the attempt with this
/// index: it started before the next attempt was sent.
fn contradicts_not_run(attempts: &[Attempt], index: usize, started_ns: u64) -> bool {
    let next_sent_ns = attempts.get(index + 1).map_or(u64::MAX, |it| it.sent_ns);
    started_ns < next_sent_ns
}

/// Returns requests with an attempt that received the response to another request.
pub(super) fn crossed_answers(evidence: &Evidence) -> Vec<Finding> {
    with_result(evidence, "crossed_answers", &AttemptResult::Crossed)
}

/// Returns requests with an attempt that received an incomplete response, without an error of the
/// connection.
pub(super) fn broken_answers(evidence: &Evidence) -> Vec<Finding> {
    with_result(evidence, "broken_answers", &AttemptResult::Broken)
}

fn with_result(
    evidence: &Evidence,
    invariant: &'static str,
    result: &AttemptResult,
) -> Vec<Finding> {
    let has_attempt_with = |it: &&CallRecord| it.attempts.iter().any(|it| it.result == *result);
    evidence.calls.iter().filter(has_attempt_with).map(|it| finding(invariant, it)).collect()
}

fn finding(invariant: &'static str, call: &CallRecord) -> Finding {
    Finding { invariant, detail: describe(call) }
}

/// Formats a run of a request; its start is in milliseconds from the first attempt.
fn describe_run(call: &CallRecord, run: &Execution) -> String {
    let token = run.token.map_or("none".to_owned(), |it| it.to_string());
    let after_ms = run.from_ns.saturating_sub(call.first_sent_ns()) / 1_000_000;
    format!("{} at {after_ms} with token {token}, ended as {:?}", run.instance, run.end)
}

/// Formats a request with its attempts, whose times are in milliseconds from the first attempt.
pub(super) fn describe(call: &CallRecord) -> String {
    let first_ns = call.first_sent_ns();
    let ms = |at_ns: u64| at_ns.saturating_sub(first_ns) / 1_000_000;
    let attempts: Vec<String> = call
        .attempts
        .iter()
        .map(|it| format!("{} {}-{} {:?}", it.target, ms(it.sent_ns), ms(it.ended_ns), it.result))
        .collect();
    format!(
        "request {:x} for {}/{} of class {}, first sent at {} ns, ended as {:?}, attempts: {}",
        call.id.0,
        call.service,
        call.key,
        call.class,
        first_ns,
        call.outcome,
        attempts.join(", ")
    )
}
