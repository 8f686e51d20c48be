//! Which promises were broken, by the journals of callers and upstreams alone.

use std::collections::BTreeSet;

use standins::journal::FinalOutcome;

use crate::demo::{
    evidence::{Evidence, Window},
    verdict::{Finding, Verdict},
};

pub(super) type Violation = Finding;

/// Promises of the demo that hold however many faults overlap. How long a key goes unserved, and that a
/// request is answered at all, is promised for single faults only.
const INVARIANTS: [&str; 6] = [
    "ran_twice",
    "not_run_but_ran",
    "double_owned",
    "crossed_answers",
    "broken_answers",
    "cut_off",
];

/// All violations; in `check_window` each probed key has to be served again.
pub(super) fn violations(evidence: &Evidence, check_window: Window) -> Vec<Violation> {
    let verdict = Verdict::new(evidence, None);
    let mut violations: Vec<Violation> =
        verdict.findings.into_iter().filter(|it| INVARIANTS.contains(&it.invariant)).collect();
    violations.extend(unserved(evidence, check_window));
    violations
}

fn unserved(evidence: &Evidence, check_window: Window) -> impl Iterator<Item = Violation> {
    let of_key = |service: &str, key: &str| format!("{service}/{key}");
    let in_time = evidence.calls.iter().filter(move |it| check_window.contains(it.first_sent_ns()));
    let asked: BTreeSet<String> = in_time.clone().map(|it| of_key(&it.service, &it.key)).collect();
    let answered = in_time.filter(|it| it.outcome == FinalOutcome::Answered);
    let answered: BTreeSet<String> = answered.map(|it| of_key(&it.service, &it.key)).collect();
    let probed: Vec<String> = asked
        .difference(&answered)
        .filter(|it| evidence.probed_keys.iter().any(|key| it.ends_with(&format!("/{key}"))))
        .cloned()
        .collect();
    probed.into_iter().map(|it| Finding { invariant: "unserved", detail: it })
}
