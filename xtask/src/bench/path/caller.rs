//! Callers in a separate process, so that they have the same build profile as the measured programs.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use standins::caller::LoadSummary;

use crate::cluster::{Binaries, Process, RunDir};

/// Longest time from the end of a load's duration until its process exits.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Parameters of one run of `standin-caller`.
#[derive(Debug, Clone)]
pub(super) struct CallerLoad {
    pub(super) targets: Vec<SocketAddr>,
    pub(super) service: String,
    pub(super) route: String,
    pub(super) callers: usize,
    /// Rate of all callers together; 0 for a closed loop, in which each caller sends its next request
    /// after the response to the last one.
    pub(super) requests_per_s: f64,
    pub(super) duration: Duration,
    pub(super) is_direct: bool,
    pub(super) seed: u64,
}

impl CallerLoad {
    /// Runs the load without retries and returns its summary.
    pub(super) async fn run(
        &self,
        name: &str,
        binaries: &Binaries,
        dir: &RunDir,
    ) -> anyhow::Result<LoadSummary> {
        let targets: Vec<String> = self.targets.iter().map(SocketAddr::to_string).collect();
        let flags = [
            ("--targets", targets.join(",")),
            ("--service", self.service.clone()),
            ("--route", self.route.clone()),
            ("--callers", self.callers.to_string()),
            ("--requests-per-s", self.requests_per_s.to_string()),
            ("--duration-ms", self.duration.as_millis().to_string()),
            ("--seed", self.seed.to_string()),
        ];
        let mut arguments: Vec<String> =
            flags.into_iter().flat_map(|(name, it)| [name.to_owned(), it]).collect();
        arguments.push("--no-resend".to_owned());
        if self.is_direct {
            arguments.push("--direct".to_owned());
        }
        let process = Process::spawn(name, &binaries.caller, &arguments, dir)?;
        let status = process.wait(self.duration + EXIT_TIMEOUT).await?;
        anyhow::ensure!(status.success(), "the callers of {name} exited with {status}");
        let path = dir.file(&format!("{name}.log"));
        let log =
            std::fs::read_to_string(path).with_context(|| format!("reading the log of {name}"))?;
        let last = log
            .lines()
            .last()
            .with_context(|| format!("the log of {name} is empty; expected a summary"))?;
        serde_json::from_str(last).with_context(|| format!("decoding the summary of {name}"))
    }
}
