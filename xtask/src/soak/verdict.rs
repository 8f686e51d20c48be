//! Violated invariants, found in the journals of callers and upstreams alone.

use std::collections::BTreeSet;

use standins::journal::FinalOutcome;

use crate::demo::{
    evidence::{Evidence, Window},
    verdict::{Finding, Verdict},
};

pub(super) type Violation = Finding;

/// Invariants of the demo that hold under any number of overlapping faults. Bounds on the time that a
/// key is unavailable, and that no request is lost, hold for single faults only.
const INVARIANTS: [&str; 8] = [
    "ran_twice",
    "not_run_but_ran",
    "double_owned",
    "crossed_answers",
    "broken_answers",
    "cut_off",
    "limit_exceeded",
    "work_after_leaving",
];

/// Returns all violations; each probed key has to be served again within `check_window`.
pub(super) fn violations(evidence: &Evidence, check_window: Window) -> Vec<Violation> {
    let verdict = Verdict::new(evidence, None);
    let mut violations: Vec<Violation> =
        verdict.findings.into_iter().filter(|it| INVARIANTS.contains(&it.invariant)).collect();
    violations.extend(unserved(evidence, check_window));
    violations
}

/// Returns a violation for each probed key that was requested but never answered in the window.
fn unserved(evidence: &Evidence, check_window: Window) -> impl Iterator<Item = Violation> {
    let of_key = |service: &str, key: &str| format!("{service}/{key}");
    let in_time = evidence.calls.iter().filter(move |it| check_window.contains(it.first_sent_ns()));
    let requested: BTreeSet<String> =
        in_time.clone().map(|it| of_key(&it.service, &it.key)).collect();
    let answered = in_time.filter(|it| it.outcome == FinalOutcome::Answered);
    let answered: BTreeSet<String> = answered.map(|it| of_key(&it.service, &it.key)).collect();
    let probed: Vec<String> = requested
        .difference(&answered)
        .filter(|it| evidence.probed_keys.iter().any(|key| it.ends_with(&format!("/{key}"))))
        .cloned()
        .collect();
    probed.into_iter().map(|it| Finding { invariant: "unserved", detail: it })
}
