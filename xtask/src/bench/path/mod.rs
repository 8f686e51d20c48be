//! Measurement of the request path through one agent, compared with direct calls to the same
//! upstream in the same run.

mod cases;
mod caller;

use serde::Serialize;

use self::cases::{Latencies, OpenCallers, Peak, Rush, Scaling};
use super::BenchOptions;
use crate::{
    cluster::{Binaries, Profile},
    demo::print_line,
    run_lock,
};

/// Results of all cases; those that were not run are empty.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct PathReport {
    latency: Option<Latencies>,
    peak: Option<Peak>,
    open_callers: Option<OpenCallers>,
    scaling: Vec<Scaling>,
    rush: Vec<Rush>,
}

/// Runs all cases, or the one given by `--case`.
pub(crate) async fn run(options: &BenchOptions) -> anyhow::Result<PathReport> {
    let binaries = Binaries::build(Profile::Release)?;
    let _run_lock = run_lock::acquire().await?;
    let wanted = |case: &str| options.case.is_empty() || options.case == case;
    let mut report = PathReport {
        latency: None,
        peak: None,
        open_callers: None,
        scaling: Vec::new(),
        rush: Vec::new(),
    };
    if wanted("latency") {
        let latency = cases::latency(&binaries, options).await?;
        print_line(&format!("latency at a steady rate: {latency:#?}"))?;
        report.latency = Some(latency);
    }
    if wanted("peak") {
        let peak = cases::peak(&binaries, options).await?;
        print_line(&format!("peak: {peak:#?}"))?;
        report.peak = Some(peak);
    }
    if wanted("open_callers") {
        let open_callers = cases::open_callers(&binaries, options).await?;
        print_line(&format!("open callers: {open_callers:#?}"))?;
        report.open_callers = Some(open_callers);
    }
    if wanted("scaling") {
        report.scaling = cases::scaling(&binaries, options).await?;
        print_line(&format!("upstreams: {:#?}", report.scaling))?;
    }
    if wanted("rush") {
        report.rush = cases::rush(&binaries, options).await?;
        print_line(&format!("rush: {:#?}", report.rush))?;
    }
    Ok(report)
}
