//! Processor time and memory of a process as the system reports them, and rates of the platform's
//! call counts.

use std::{collections::BTreeMap, time::Duration};

use anyhow::Context;

use super::machine::field_kb;

/// Unit of processor time in `/proc`, a hundredth of a second on Linux.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Processor time of a process since its start, and its current memory.
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

    /// Returns the processor time since an earlier reading, in microseconds for each of `count` requests.
    pub(crate) fn cpu_us_each_since(self, earlier: Usage, count: usize) -> f64 {
        let spent = self.cpu.saturating_sub(earlier.cpu);
        spent.as_secs_f64() * 1e6 / count.max(1) as f64
    }
}

/// Returns the sum of user and system time, the 14th and 15th field. The second field, the name in
/// brackets, may contain any characters, so that fields are counted after it.
fn cpu_ticks(stat: &str) -> Option<u32> {
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// Returns the platform calls a second between two readings of the counts, by kind.
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
