//! Processor time and memory of a process, from the system's own accounts; rates of what the
//! platform counts.

use std::{collections::BTreeMap, time::Duration};

use anyhow::Context;

use super::machine::field_kb;

/// Linux counts the time of processes in hundredths of a second for its users.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// What a process has used since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) cpu: Duration,
    pub(crate) memory_kb: u64,
}

impl Usage {
    pub(crate) fn read(pid: i32) -> anyhow::Result<Usage> {
        let step = || format!("reading the usage of process {pid}");
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).with_context(step)?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).with_context(step)?;
        let ticks = cpu_ticks(&stat).with_context(step)?;
        Ok(Usage { cpu: CLOCK_TICK * ticks, memory_kb: field_kb(&status, "VmRSS:") })
    }

    /// Processor time since an earlier reading, in microseconds for each of `count`.
    pub(crate) fn cpu_us_each_since(self, earlier: Usage, count: usize) -> f64 {
        let spent = self.cpu.saturating_sub(earlier.cpu);
        spent.as_secs_f64() * 1e6 / count.max(1) as f64
    }
}

/// User and system time: the 14th and 15th field. The second one, the name in brackets, may hold
/// anything, so counting starts behind it.
fn cpu_ticks(stat: &str) -> Option<u32> {
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// Calls of the platform's counts a second, by kind.
pub(crate) fn rates(
    before: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
    passed: Duration,
) -> BTreeMap<String, f64> {
    let counted = after.iter().filter(|(kind, _)| *kind != "watches_waiting");
    let rate = |(kind, count): (&String, &f64)| {
        let previous = before.get(kind).copied().unwrap_or_default();
        (kind.clone(), (count - previous) / passed.as_secs_f64())
    };
    counted.map(rate).collect()
}
