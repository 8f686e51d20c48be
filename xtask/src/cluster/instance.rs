//! An instance: the processes of an upstream and of its agent.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::ExitStatus,
    time::{Duration, Instant},
};

use anyhow::Context;
use nix::sys::signal::Signal;
use serde_json::json;
use standins::{
    journal::{read_journal, wall_clock_ns},
    upstream::{CRASH_EXIT_CODE, LEFT_EXIT_CODE},
};

use super::{Binaries, PortAllocator, Process, RunDir, Service};
use crate::demo::evidence::{IngressOutage, PlannedStop, UpstreamJournal, Window};

/// Link key of all agents of a run; it needs no secrecy on loopback.
const LINK_KEY: &str = "a key for loopback only";
/// Longest time that a process may take to exit after a signal.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Instance with its addresses, and with its processes once they are started.
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
    exited_ns: Option<u64>,
    frozen: Vec<Window>,
    /// Number of the upstream's current incarnation, from 1; each incarnation writes its own journal.
    incarnation: u32,
    past_incarnations: Vec<PastIncarnation>,
}

/// Parameters for the start of an instance's processes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartContext<'a> {
    pub(crate) binaries: &'a Binaries,
    pub(crate) dir: &'a RunDir,
    /// Address at which the agent calls the platform, possibly that of a proxy.
    pub(crate) platform: SocketAddr,
    /// Control addresses of the instances of its service.
    pub(crate) peers: &'a [SocketAddr],
    pub(crate) seed: u64,
}

/// Incarnation of an upstream that has exited.
#[derive(Debug)]
struct PastIncarnation {
    incarnation: u32,
    exited_ns: u64,
    frozen: Vec<Window>,
}

impl Instance {
    /// Assigns a name, a zone and free addresses to an instance, without starting it.
    pub(crate) fn plan(
        service: &Service,
        number: usize,
        ports: &mut PortAllocator,
    ) -> anyhow::Result<Instance> {
        let zones = service.spec.zones;
        let properties = &service.document.upstream;
        let fence = if properties.checks_fence { "checked" } else { "unchecked" };
        let flags = [
            ("--service", service.name().to_owned()),
            ("--slots", properties.slots.to_string()),
            ("--connections-max", properties.connections_max.to_string()),
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
            exited_ns: None,
            frozen: Vec::new(),
            incarnation: 1,
            past_incarnations: Vec::new(),
        })
    }

    pub(crate) fn start(&mut self, start_context: &StartContext<'_>) -> anyhow::Result<()> {
        self.start_agent(start_context)?;
        self.start_upstream(start_context)
    }

    fn start_upstream(&mut self, start_context: &StartContext<'_>) -> anyhow::Result<()> {
        let mut arguments = self.upstream_flags.clone();
        let flags = [
            ("--listen", self.upstream_address.to_string()),
            ("--agent", self.caller.to_string()),
            (
                "--journal",
                self.journal_file(start_context.dir, self.incarnation).display().to_string(),
            ),
            ("--seed", start_context.seed.to_string()),
        ];
        arguments.extend(flags.into_iter().flat_map(|(name, it)| [name.to_owned(), it]));
        let name = format!("{}-upstream", self.name);
        let program = &start_context.binaries.upstream;
        self.upstream = Some(Process::spawn(&name, program, &arguments, start_context.dir)?);
        Ok(())
    }

    /// Starts the agent alone; the upstream is running already or is started next.
    pub(crate) fn start_agent(&mut self, start_context: &StartContext<'_>) -> anyhow::Result<()> {
        let settings =
            self.write_settings(start_context.dir, start_context.platform, start_context.peers)?;
        let arguments = ["--settings".to_owned(), settings.display().to_string()];
        let name = format!("{}-agent", self.name);
        let program = &start_context.binaries.agent;
        self.agent = Some(Process::spawn(&name, program, &arguments, start_context.dir)?);
        Ok(())
    }

    /// Restarts agent and upstream at their former addresses, after both have exited.
    pub(crate) fn restart(&mut self, start_context: &StartContext<'_>) -> anyhow::Result<()> {
        let exited_ns =
            self.exited_ns.take().with_context(|| format!("{} still runs", self.name))?;
        let frozen = std::mem::take(&mut self.frozen);
        self.past_incarnations.push(PastIncarnation {
            incarnation: self.incarnation,
            exited_ns,
            frozen,
        });
        self.incarnation += 1;
        self.start(start_context)
    }

    /// Makes the upstream crash on requests for this key, from its next start.
    pub(crate) fn crash_on_key(&mut self, key: &str) {
        self.upstream_flags.extend(["--ends-on".to_owned(), key.to_owned()]);
    }

    /// Returns whether the upstream has exited without a signal: a request has crashed it, or it has left.
    pub(crate) fn has_ended_by_itself(&self) -> anyhow::Result<bool> {
        Ok(self.upstream()?.exit_status()?.is_some_and(ended_by_itself))
    }

    /// Restarts the upstream after it has ended while its agent keeps running.
    pub(crate) fn restart_upstream(
        &mut self,
        start_context: &StartContext<'_>,
    ) -> anyhow::Result<()> {
        let frozen = std::mem::take(&mut self.frozen);
        self.past_incarnations.push(PastIncarnation {
            incarnation: self.incarnation,
            exited_ns: wall_clock_ns(),
            frozen,
        });
        self.incarnation += 1;
        self.start_upstream(start_context)
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
        let text =
            serde_json::to_string_pretty(&settings).context("encoding the agent's settings")?;
        std::fs::write(&path, text).with_context(|| format!("writing {}", path.display()))?;
        Ok(path)
    }

    fn journal_file(&self, dir: &RunDir, incarnation: u32) -> PathBuf {
        dir.file(&format!("{}-{}.jsonl", self.name, incarnation))
    }

    pub(crate) async fn wait_until_listening(&self) -> anyhow::Result<()> {
        self.agent()?.wait_until_listening(self.caller).await?;
        self.upstream()?.wait_until_listening(self.upstream_address).await
    }

    pub(crate) fn agent(&self) -> anyhow::Result<&Process> {
        self.agent
            .as_ref()
            .with_context(|| format!("{}: the agent has not been started", self.name))
    }

    pub(crate) fn upstream(&self) -> anyhow::Result<&Process> {
        self.upstream
            .as_ref()
            .with_context(|| format!("{}: the upstream has not been started", self.name))
    }

    /// Returns whether the instance has neither been killed nor stopped. A crash of the
    /// upstream alone does not count as a stop.
    pub(crate) fn is_running(&self) -> bool {
        self.exited_ns.is_none()
    }

    fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        self.agent()?.signal(signal)?;
        self.upstream()?.signal(signal)
    }

    /// Kills agent and upstream together.
    pub(crate) async fn kill(&mut self) -> anyhow::Result<IngressOutage> {
        let from_ns = wall_clock_ns();
        self.signal(Signal::SIGKILL)?;
        self.agent()?.wait(STOP_TIMEOUT).await?;
        self.upstream()?.wait(STOP_TIMEOUT).await?;
        self.exited_ns = Some(wall_clock_ns());
        Ok(self.outage(from_ns, u64::MAX))
    }

    /// Kills the agent alone; the upstream keeps running.
    pub(crate) async fn kill_agent(&mut self) -> anyhow::Result<IngressOutage> {
        let from_ns = wall_clock_ns();
        self.agent()?.signal(Signal::SIGKILL)?;
        self.agent()?.wait(STOP_TIMEOUT).await?;
        Ok(self.outage(from_ns, u64::MAX))
    }

    /// Suspends agent and upstream and returns the time. Both signals are sent when this returns; a
    /// process with several threads stops a moment later.
    pub(crate) fn freeze(&self) -> anyhow::Result<u64> {
        self.signal(Signal::SIGSTOP)?;
        Ok(wall_clock_ns())
    }

    /// Resumes agent and upstream after [`Instance::freeze`].
    pub(crate) fn resume(&mut self, frozen_ns: u64) -> anyhow::Result<IngressOutage> {
        self.frozen.push(Window { from_ns: frozen_ns, until_ns: wall_clock_ns() });
        self.signal(Signal::SIGCONT)?;
        Ok(self.outage(frozen_ns, wall_clock_ns()))
    }

    /// Suspends the agent alone and returns the time.
    pub(crate) fn pause_agent(&self) -> anyhow::Result<u64> {
        self.agent()?.signal(Signal::SIGSTOP)?;
        Ok(wall_clock_ns())
    }

    /// Resumes the agent after [`Instance::pause_agent`].
    pub(crate) fn resume_agent(&self, paused_ns: u64) -> anyhow::Result<IngressOutage> {
        self.agent()?.signal(Signal::SIGCONT)?;
        Ok(self.outage(paused_ns, wall_clock_ns()))
    }

    fn outage(&self, from_ns: u64, until_ns: u64) -> IngressOutage {
        IngressOutage { caller_address: self.caller, window: Window { from_ns, until_ns } }
    }

    /// Sends SIGTERM to agent and upstream and waits until both have exited.
    pub(crate) async fn leave(&mut self) -> anyhow::Result<PlannedStop> {
        // A process that was started just now handles no signals yet, and would be ended by this one.
        self.agent()?.wait_until_listening_or_exited(self.caller).await?;
        self.upstream()?.wait_until_listening_or_exited(self.upstream_address).await?;
        let from_ns = wall_clock_ns();
        let started = Instant::now();
        self.signal(Signal::SIGTERM)?;
        for process in [self.agent()?, self.upstream()?] {
            let status = process.wait(STOP_TIMEOUT).await?;
            let is_graceful = status.success() || ended_by_itself(status);
            anyhow::ensure!(is_graceful, "{} exited with {status} after SIGTERM", self.name);
        }
        log::info!(target: "demo", "{} stopped gracefully within {:?}.", self.name, started.elapsed());
        self.exited_ns = Some(wall_clock_ns());
        let window = Window { from_ns, until_ns: wall_clock_ns() };
        let instance = self.name.clone();
        Ok(PlannedStop { instance, caller_address: self.caller, window })
    }

    /// Reads the journals of all incarnations of the upstream.
    pub(crate) fn journals(
        &self,
        dir: &RunDir,
        keyed: bool,
    ) -> anyhow::Result<Vec<UpstreamJournal>> {
        let exited_ns = self.exited_ns.unwrap_or_else(wall_clock_ns);
        let last = PastIncarnation {
            incarnation: self.incarnation,
            exited_ns,
            frozen: self.frozen.clone(),
        };
        let incarnations = self.past_incarnations.iter().chain([&last]);
        incarnations.map(|it| self.journal_of(it, dir, keyed)).collect()
    }

    fn journal_of(
        &self,
        incarnation: &PastIncarnation,
        dir: &RunDir,
        keyed: bool,
    ) -> anyhow::Result<UpstreamJournal> {
        let file = self.journal_file(dir, incarnation.incarnation);
        // An upstream creates its journal before it serves: without one, it was killed before any run.
        let entries = if file.exists() { read_journal(&file)? } else { Vec::new() };
        Ok(UpstreamJournal {
            instance: self.name.clone(),
            service: self.service.clone(),
            keyed,
            entries,
            exited_ns: incarnation.exited_ns,
            frozen: incarnation.frozen.clone(),
        })
    }
}

fn ended_by_itself(status: ExitStatus) -> bool {
    matches!(status.code(), Some(CRASH_EXIT_CODE | LEFT_EXIT_CODE))
}
