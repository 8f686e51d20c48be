//! Unavailability in virtual time after the loss of hosts, by kind of loss, over many simulations of
//! the real ownership core.

use model::SlotCount;
use ownership::sim::{LossReport, measure_losses};
use serde::Serialize;

use crate::demo::print_line;

/// Numbers of hosts in a group; each distributes differently over three zones.
const HOSTS: [usize; 3] = [4, 5, 7];
const SLOTS: u16 = 96;
const RUNS: u64 = 40;

/// Result for one kind of loss in groups of one size.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct LossRow {
    hosts: usize,
    lost: &'static str,
    runs: u64,
    /// Number of slots that were unavailable at some time, over all runs.
    slots: u64,
    unavailable_p50_ms: u64,
    unavailable_max_ms: u64,
    /// Longest unavailability of a slot whose host was not lost.
    bystander_max_ms: u64,
}

/// Measures each kind of loss at each size.
pub(crate) fn run(seed: u64) -> anyhow::Result<Vec<LossRow>> {
    let slots = SlotCount::new(SLOTS)?;
    let rows = HOSTS.iter().flat_map(|hosts| {
        let reports = measure_losses(RUNS, seed, *hosts, slots);
        reports.into_iter().map(|it| row(*hosts, &it))
    });
    let rows: Vec<LossRow> = rows.collect();
    for it in &rows {
        print_line(&format!(
            "{} hosts, {:24} p50 {} ms, longest {} ms; others {} ms",
            it.hosts, it.lost, it.unavailable_p50_ms, it.unavailable_max_ms, it.bystander_max_ms
        ))?;
    }
    Ok(rows)
}

fn row(hosts: usize, report: &LossReport) -> LossRow {
    LossRow {
        hosts,
        lost: report.kind.as_str(),
        runs: report.runs,
        slots: report.slots,
        unavailable_p50_ms: report.unavailable_p50_ms,
        unavailable_max_ms: report.unavailable_max_ms,
        bystander_max_ms: report.bystander_max_ms,
    }
}
