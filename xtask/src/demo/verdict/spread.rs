//! Imbalance of load over upstreams, and churn of key owners.

use std::collections::BTreeMap;

use crate::demo::evidence::{Evidence, Execution, by_key};

/// Returns the runs on the busiest upstream over the mean, in the window without faults; the highest
/// value of all sharded services. Upstreams without a run count in the mean.
pub(super) fn imbalance(evidence: &Evidence, executions: &[Execution]) -> f64 {
    let mut services: BTreeMap<&str, BTreeMap<&str, usize>> = BTreeMap::new();
    for upstream in evidence.upstreams.iter().filter(|it| it.keyed) {
        services.entry(&upstream.service).or_default().insert(&upstream.instance, 0);
    }
    for run in executions.iter().filter(|it| it.keyed && evidence.fault_free.contains(it.from_ns)) {
        *services.entry(&run.service).or_default().entry(&run.instance).or_default() += 1;
    }
    services.values().map(max_over_mean).fold(0.0, f64::max)
}

fn max_over_mean(runs: &BTreeMap<&str, usize>) -> f64 {
    let total: usize = runs.values().sum();
    let busiest = runs.values().max().copied().unwrap_or(0);
    match total {
        0 => 0.0,
        _ => busiest as f64 * runs.len() as f64 / total as f64,
    }
}

/// Returns the number of changes of owners divided by the number of keys.
pub(super) fn churn(evidence: &Evidence, executions: &[Execution]) -> f64 {
    let keys = by_key(executions);
    let is_change = |it: &[&Execution]| {
        it[0].instance != it[1].instance && evidence.churn_window.contains(it[1].from_ns)
    };
    let changes: usize =
        keys.values().map(|runs| runs.windows(2).filter(|it| is_change(it)).count()).sum();
    match keys.len() {
        0 => 0.0,
        count => changes as f64 / count as f64,
    }
}
