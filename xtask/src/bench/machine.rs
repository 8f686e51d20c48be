//! Description of the machine and the commit of a measurement.

use std::{fmt, process::Command};

use anyhow::Context;
use serde::Serialize;

use crate::cluster::repository;

/// Size and state of the machine, and the commit that was measured.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct Machine {
    cores: usize,
    memory_mb: u64,
    /// Load average of the last minute before the measurement.
    load_average: f64,
    commit: String,
    /// Whether the working tree had changes to tracked files.
    changed: bool,
}

impl Machine {
    pub(crate) fn read() -> anyhow::Result<Machine> {
        let load = std::fs::read_to_string("/proc/loadavg").context("reading the load average")?;
        let load = load.split_whitespace().next().and_then(|it| it.parse().ok());
        let memory = std::fs::read_to_string("/proc/meminfo").context("reading the memory size")?;
        Ok(Machine {
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            memory_mb: field_kb(&memory, "MemTotal:") / 1024,
            load_average: load.context("/proc/loadavg does not start with a number")?,
            commit: git(&["rev-parse", "--short=12", "HEAD"])?,
            changed: !git(&["status", "--porcelain", "--untracked-files=no"])?.is_empty(),
        })
    }
}

impl fmt::Display for Machine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Machine { cores, memory_mb, load_average, commit, changed } = self;
        let changed = if *changed { " with changes" } else { "" };
        write!(f, "{cores} cores, {memory_mb} MB, load {load_average}, commit {commit}{changed}")
    }
}

/// Returns a field of a file such as `/proc/meminfo` in kilobytes, or 0 if the field is missing.
pub(super) fn field_kb(text: &str, name: &str) -> u64 {
    let found = text.lines().find_map(|it| it.strip_prefix(name));
    let number = found.and_then(|it| it.split_whitespace().next());
    number.and_then(|it| it.parse().ok()).unwrap_or(0)
}

fn git(arguments: &[&str]) -> anyhow::Result<String> {
    let output = Command::new("git")
        .current_dir(repository())
        .args(arguments)
        .output()
        .context("running git")?;
    anyhow::ensure!(output.status.success(), "git {arguments:?} failed with {}", output.status);
    Ok(String::from_utf8_lossy(&output.stdout).trim().to_owned())
}
