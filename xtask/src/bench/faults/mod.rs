//! Unavailability of keys under faults, on real processes, over repeated runs.

mod scenario;

use serde::Serialize;

use self::scenario::{SCENARIOS, Scenario};
use super::{BenchOptions, spread::Spread};
use crate::{
    cluster::{Binaries, Profile},
    demo::{print_line, verdict::Verdict},
    run_lock,
};

/// Results of all measured scenarios.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct FaultsReport {
    scenarios: Vec<ScenarioReport>,
}

/// Result of one scenario over its repeated runs.
#[derive(Debug)]
#[derive(Serialize)]
struct ScenarioReport {
    name: &'static str,
    runs: usize,
    unavailable_ms: Spread,
    /// Number of changes of a key's owner, divided by the number of keys.
    churn: Spread,
    unknown: Spread,
    not_run: Spread,
    /// Violations of invariants other than the longest unavailability, over all runs.
    breaches: usize,
    seeds: Vec<u64>,
}

/// Runs all scenarios, or those given by `--case`.
pub(crate) async fn run(options: &BenchOptions) -> anyhow::Result<FaultsReport> {
    let binaries = Binaries::build(Profile::Release)?;
    let cases: Vec<&str> = options.case.split(',').collect();
    let wanted = |it: &&Scenario| options.case.is_empty() || cases.contains(&it.name);
    let mut scenarios = Vec::new();
    for scenario in SCENARIOS.iter().filter(wanted) {
        scenarios.push(repeat(scenario, &binaries, options).await?);
    }
    anyhow::ensure!(!scenarios.is_empty(), "--case: no scenario is called {:?}", options.case);
    Ok(FaultsReport { scenarios })
}

async fn repeat(
    scenario: &Scenario,
    binaries: &Binaries,
    options: &BenchOptions,
) -> anyhow::Result<ScenarioReport> {
    // The lock is released between scenarios, so that other runs can take it.
    let _run_lock = run_lock::acquire().await?;
    let seeds: Vec<u64> = (0..options.repeats as u64).map(|it| options.seed + it).collect();
    let mut verdicts = Vec::new();
    for seed in &seeds {
        let verdict = scenario.run(binaries, *seed).await?;
        for finding in verdict.findings.iter().take(3) {
            print_line(&format!("{} with seed {seed}: {finding}", scenario.name))?;
        }
        verdicts.push(verdict);
    }
    let spread = |figure: fn(&Verdict) -> f64| Spread::new(verdicts.iter().map(figure));
    let report = ScenarioReport {
        name: scenario.name,
        runs: verdicts.len(),
        unavailable_ms: spread(|it| it.unavailable_ms_max as f64),
        churn: spread(|it| it.churn),
        unknown: spread(|it| it.unknown as f64),
        not_run: spread(|it| it.not_run as f64),
        breaches: verdicts.iter().map(breaches).sum(),
        seeds,
    };
    print_line(&format!(
        "{:24} unavailable {} ms, churn {}, unknown {}, breaches {}",
        report.name, report.unavailable_ms, report.churn, report.unknown, report.breaches
    ))?;
    Ok(report)
}

fn breaches(verdict: &Verdict) -> usize {
    verdict.findings.iter().filter(|it| it.invariant != "unavailable_ms_max").count()
}
