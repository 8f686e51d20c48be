//! An instance: an upstream with the agent beside it.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use anyhow::Context;
use nix::sys::signal::Signal;
use serde_json::json;
use standins::{
    journal::{read_journal, wall_clock_ns},
    upstream::CRASH_EXIT_CODE,
};

use super::{Binaries, Ports, Process, RunDir, Service};
use crate::demo::evidence::{PlannedStop, SickIngress, UpstreamJournal, Window};

/// Shared by all agents of a run; what it is does not matter on loopback.
const LINK_KEY: &str = "a key for loopback only";
/// How long a graceful stop may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// An instance, planned or running.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) name: String,
    pub(crate) service: String,
    pub(crate) team: String,
    pub(crate) zone: String,
    pub(crate) caller: SocketAddr,
    pub(crate) control: SocketAddr,
    traffic: SocketAddr,
    metrics: SocketAddr,
    pub(crate) upstream_address: SocketAddr,
    upstream_flags: Vec<String>,
    agent: Option<Process>,
    upstream: Option<Process>,
    gone_ns: Option<u64>,
    frozen: Vec<Window>,
    /// Counts the lives of the upstream; each writes a journal of its own.
    life: u32,
    past: Vec<PastLife>,
}

/// What an instance is started with.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartWith<'a> {
    pub(crate) binaries: &'a Binaries,
    pub(crate) dir: &'a RunDir,
    /// Where it reaches the platform.
    pub(crate) platform: SocketAddr,
    /// Control addresses of the instances of its service.
    pub(crate) peers: &'a [SocketAddr],
    pub(crate) seed: u64,
}

/// A life of an upstream that has ended, with its journal.
#[derive(Debug)]
struct PastLife {
    life: u32,
    gone_ns: u64,
    frozen: Vec<Window>,
}

impl Instance {
    /// Gives an instance its name, zone and addresses.
    pub(crate) fn plan(
        service: &Service,
        number: usize,
        ports: &mut Ports,
    ) -> anyhow::Result<Instance> {
        let zones = service.spec.zones;
        let traits = &service.document.upstream;
        let fence = if traits.checks_fence { "checked" } else { "unchecked" };
        let flags = [
            ("--service", service.name().to_owned()),
            ("--slots", traits.slots.to_string()),
            ("--connections-max", traits.connections_max.to_string()),
            ("--service-ms", service.spec.service_ms.to_string()),
            ("--fence", fence.to_owned()),
        ];
        Ok(Instance {
            name: format!("{}-{number}", service.name()),
            service: service.name().to_owned(),
            team: service.spec.team.to_owned(),
            zone: zones[(number - 1) % zones.len()].to_owned(),
            caller: ports.next()?,
            control: ports.next()?,
            traffic: ports.next()?,
            metrics: ports.next()?,
            upstream_address: ports.next()?,
            upstream_flags: flags
                .into_iter()
                .flat_map(|(name, it)| [name.to_owned(), it])
                .collect(),
            agent: None,
            upstream: None,
            gone_ns: None,
            frozen: Vec::new(),
            life: 1,
            past: Vec::new(),
        })
    }

    pub(crate) fn start(&mut self, with: &StartWith<'_>) -> anyhow::Result<()> {
        self.start_agent(with)?;
        self.start_upstream(with)
    }

    fn start_upstream(&mut self, with: &StartWith<'_>) -> anyhow::Result<()> {
        let mut arguments = self.upstream_flags.clone();
        let flags = [
            ("--listen", self.upstream_address.to_string()),
            ("--agent", self.caller.to_string()),
            ("--journal", self.journal_file(with.dir, self.life).display().to_string()),
            ("--seed", with.seed.to_string()),
        ];
        arguments.extend(flags.into_iter().flat_map(|(name, it)| [name.to_owned(), it]));
        let name = format!("{}-upstream", self.name);
        let program = &with.binaries.upstream;
        self.upstream = Some(Process::spawn(&name, program, &arguments, with.dir)?);
        Ok(())
    }

    /// Starts the agent alone, beside an upstream that lives on or is started next.
    pub(crate) fn start_agent(&mut self, with: &StartWith<'_>) -> anyhow::Result<()> {
        let settings = self.write_settings(with.dir, with.platform, with.peers)?;
        let arguments = ["--settings".to_owned(), settings.display().to_string()];
        let name = format!("{}-agent", self.name);
        let program = &with.binaries.agent;
        self.agent = Some(Process::spawn(&name, program, &arguments, with.dir)?);
        Ok(())
    }

    /// Starts both parts again at their addresses, once both have ended.
    pub(crate) fn start_again(&mut self, with: &StartWith<'_>) -> anyhow::Result<()> {
        let gone_ns = self.gone_ns.take().with_context(|| format!("{} is up", self.name))?;
        let frozen = std::mem::take(&mut self.frozen);
        self.past.push(PastLife { life: self.life, gone_ns, frozen });
        self.life += 1;
        self.start(with)
    }

    /// From its next start on, a request for this key ends its upstream.
    pub(crate) fn ends_on(&mut self, key: &str) {
        self.upstream_flags.extend(["--ends-on".to_owned(), key.to_owned()]);
    }

    /// Whether a request has ended the upstream.
    pub(crate) fn has_ended_under_a_run(&self) -> anyhow::Result<bool> {
        let status = self.upstream()?.exit_status()?;
        Ok(status.is_some_and(|it| it.code() == Some(CRASH_EXIT_CODE)))
    }

    /// Starts the upstream again, which has ended by itself beside a live agent.
    pub(crate) fn start_upstream_again(&mut self, with: &StartWith<'_>) -> anyhow::Result<()> {
        let frozen = std::mem::take(&mut self.frozen);
        self.past.push(PastLife { life: self.life, gone_ns: wall_clock_ns(), frozen });
        self.life += 1;
        self.start_upstream(with)
    }

    fn write_settings(
        &self,
        dir: &RunDir,
        platform: SocketAddr,
        peers: &[SocketAddr],
    ) -> anyhow::Result<PathBuf> {
        let peers: Vec<&SocketAddr> = peers.iter().filter(|it| **it != self.control).collect();
        let settings = json!({
            "instance": self.name,
            "zone": self.zone,
            "team": self.team,
            "service": self.service,
            "caller_address": self.caller,
            "traffic_address": self.traffic,
            "control_address": self.control,
            "metrics_address": self.metrics,
            "platform_address": platform,
            "link_key": LINK_KEY,
            "peers": peers,
        });
        let path = dir.file(&format!("{}.jsonc", self.name));
        let text = serde_json::to_string_pretty(&settings).context("encoding settings")?;
        std::fs::write(&path, text).with_context(|| format!("writing {}", path.display()))?;
        Ok(path)
    }

    fn journal_file(&self, dir: &RunDir, life: u32) -> PathBuf {
        dir.file(&format!("{}-{}.jsonl", self.name, life))
    }

    pub(crate) async fn wait_listening(&self) -> anyhow::Result<()> {
        self.agent()?.wait_listening(self.caller).await?;
        self.upstream()?.wait_listening(self.upstream_address).await
    }

    pub(crate) fn agent(&self) -> anyhow::Result<&Process> {
        self.agent.as_ref().with_context(|| format!("{} has no agent", self.name))
    }

    pub(crate) fn upstream(&self) -> anyhow::Result<&Process> {
        self.upstream.as_ref().with_context(|| format!("{} has no upstream", self.name))
    }

    /// Whether neither part has been ended.
    pub(crate) fn is_up(&self) -> bool {
        self.gone_ns.is_none()
    }

    fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        self.agent()?.signal(signal)?;
        self.upstream()?.signal(signal)
    }

    /// Kills both parts at once.
    pub(crate) async fn kill(&mut self) -> anyhow::Result<SickIngress> {
        let from_ns = wall_clock_ns();
        self.signal(Signal::SIGKILL)?;
        self.agent()?.wait(STOP_TIMEOUT).await?;
        self.upstream()?.wait(STOP_TIMEOUT).await?;
        self.gone_ns = Some(wall_clock_ns());
        Ok(self.sick(from_ns, u64::MAX))
    }

    /// Kills the agent alone; the upstream lives on.
    pub(crate) async fn kill_agent(&mut self) -> anyhow::Result<SickIngress> {
        let from_ns = wall_clock_ns();
        self.agent()?.signal(Signal::SIGKILL)?;
        self.agent()?.wait(STOP_TIMEOUT).await?;
        Ok(self.sick(from_ns, u64::MAX))
    }

    /// Freezes both parts. The signals have reached both when this returns; a process of several
    /// threads stops a moment later.
    pub(crate) fn freeze(&self) -> anyhow::Result<u64> {
        self.signal(Signal::SIGSTOP)?;
        Ok(wall_clock_ns())
    }

    /// Lets both parts go on.
    pub(crate) fn thaw(&mut self, frozen_ns: u64) -> anyhow::Result<SickIngress> {
        self.frozen.push(Window { from_ns: frozen_ns, until_ns: wall_clock_ns() });
        self.signal(Signal::SIGCONT)?;
        Ok(self.sick(frozen_ns, wall_clock_ns()))
    }

    /// Freezes the agent alone.
    pub(crate) fn pause_agent(&self) -> anyhow::Result<u64> {
        self.agent()?.signal(Signal::SIGSTOP)?;
        Ok(wall_clock_ns())
    }

    /// Lets the agent go on.
    pub(crate) fn resume_agent(&self, paused_ns: u64) -> anyhow::Result<SickIngress> {
        self.agent()?.signal(Signal::SIGCONT)?;
        Ok(self.sick(paused_ns, wall_clock_ns()))
    }

    fn sick(&self, from_ns: u64, until_ns: u64) -> SickIngress {
        SickIngress { caller_address: self.caller, window: Window { from_ns, until_ns } }
    }

    /// Tells both parts to leave and waits for their ends.
    pub(crate) async fn leave(&mut self) -> anyhow::Result<PlannedStop> {
        let from_ns = wall_clock_ns();
        let began = Instant::now();
        self.signal(Signal::SIGTERM)?;
        for process in [self.agent()?, self.upstream()?] {
            let status = process.wait(STOP_TIMEOUT).await?;
            let in_order = status.success() || status.code() == Some(CRASH_EXIT_CODE);
            anyhow::ensure!(in_order, "{} ended with {status} when told to", self.name);
        }
        log::info!(target: "demo", "{} left within {:?}.", self.name, began.elapsed());
        self.gone_ns = Some(wall_clock_ns());
        let window = Window { from_ns, until_ns: wall_clock_ns() };
        let instance = self.name.clone();
        Ok(PlannedStop { instance, caller_address: self.caller, window })
    }

    /// The journals of all lives of the upstream.
    pub(crate) fn journals(
        &self,
        dir: &RunDir,
        keyed: bool,
    ) -> anyhow::Result<Vec<UpstreamJournal>> {
        let gone_ns = self.gone_ns.unwrap_or_else(wall_clock_ns);
        let last = PastLife { life: self.life, gone_ns, frozen: self.frozen.clone() };
        let lives = self.past.iter().chain([&last]);
        lives.map(|it| self.journal_of(it, dir, keyed)).collect()
    }

    fn journal_of(
        &self,
        life: &PastLife,
        dir: &RunDir,
        keyed: bool,
    ) -> anyhow::Result<UpstreamJournal> {
        let file = self.journal_file(dir, life.life);
        // An upstream opens its journal before it serves: one that was killed earlier has run nothing.
        let entries = if file.exists() { read_journal(&file)? } else { Vec::new() };
        Ok(UpstreamJournal {
            instance: self.name.clone(),
            service: self.service.clone(),
            keyed,
            entries,
            gone_ns: life.gone_ns,
            frozen: life.frozen.clone(),
        })
    }
}
