//! Check that each key has at most one owner at any time.

use std::collections::HashMap;

use super::Finding;
use crate::demo::evidence::{Execution, by_key};

const INVARIANT: &str = "double_owned";

/// Returns the runs of one key that overlap on two upstreams, or whose fence token is below that of
/// an earlier run.
pub(super) fn double_owned(executions: &[Execution]) -> Vec<Finding> {
    by_key(executions).values().flat_map(|it| check_key(it)).collect()
}

fn check_key(runs: &[&Execution]) -> Vec<Finding> {
    let mut findings = Vec::new();
    // The run of this key that ends last, by upstream.
    let mut last: HashMap<&str, &Execution> = HashMap::new();
    let mut highest = None::<&Execution>;
    for run in runs {
        let others = last.values().filter(|it| it.instance != run.instance);
        findings.extend(others.filter(|it| it.until_ns > run.from_ns).map(|it| overlap(it, run)));
        if let Some(highest) = highest.filter(|it| it.token > run.token) {
            findings.push(token_decrease(highest, run));
        }
        if highest.is_none_or(|it| it.token <= run.token) {
            highest = Some(run);
        }
        let longest = last.entry(&run.instance).or_insert(run);
        if longest.until_ns < run.until_ns {
            *longest = run;
        }
    }
    findings
}

fn overlap(first: &Execution, second: &Execution) -> Finding {
    let overlap_us = (first.until_ns.min(second.until_ns) - second.from_ns) / 1000;
    let detail = format!(
        "{} overlaps for {overlap_us} us with {}",
        describe_run(first),
        describe_run(second)
    );
    Finding { invariant: INVARIANT, detail }
}

fn token_decrease(first: &Execution, second: &Execution) -> Finding {
    Finding {
        invariant: INVARIANT,
        detail: format!(
            "{} was followed by a lower token: {}",
            describe_run(first),
            describe_run(second)
        ),
    }
}

fn describe_run(run: &Execution) -> String {
    let token = run.token.map_or("none".to_owned(), |it| it.to_string());
    format!(
        "run of {}/{} on {} with token {token}, started at {} ns, lasted {} us, ended as {:?}, request {:x}",
        run.service,
        run.key,
        run.instance,
        run.from_ns,
        run.until_ns.saturating_sub(run.from_ns) / 1000,
        run.end,
        run.id.0
    )
}
