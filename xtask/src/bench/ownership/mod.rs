//! Comparison of the placement policy with three baselines, on seeded workloads in virtual time.
//!
//! Each policy decides once a second, based on smoothed, noisy loads, and is evaluated on the true
//! ones.
//! The model is described in `docs/design/rebalance.md`.

mod bound;
mod measure;
mod policy;
mod report;
mod view;
mod workload;

#[cfg(test)]
mod tests;

pub(crate) use report::Report;

use measure::Run;
use report::WorkloadReport;

/// Measures all policies on all workloads.
pub(crate) fn run(seed: u64) -> Report {
    let report = |workload: workload::Workload| {
        let policies = policy::all(&workload).into_iter();
        let measured = policies.map(|it| Run::new(&workload, it, seed).run()).collect();
        WorkloadReport::new(&workload, measured)
    };
    Report { seed, workloads: workload::all(seed).into_iter().map(report).collect() }
}
