//! Probes that show when a changed document is in force at each agent, as its callers see it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::Method;
use standins::{
    caller::{AgentClient, CallPolicy, Caller},
    journal::{AttemptResult, wall_clock_ns},
};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};

use super::{
    evidence::{Evidence, Window},
    verdict::ConfigProbe,
};
use crate::cluster::{Cluster, Service};

/// Path that the changed document refuses.
pub(crate) const PROBE_PATH: &str = "/config-probe";
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Agents that were faulty or stopped within this time after a change are left out of the result.
const WAIT_MAX_NS: u64 = 5_000_000_000;

/// Change of a document that the platform has acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ConfigChange {
    pub(crate) service: String,
    pub(crate) acknowledged_ns: u64,
}

impl ConfigChange {
    pub(crate) fn now(service: &str) -> ConfigChange {
        ConfigChange { service: service.to_owned(), acknowledged_ns: wall_clock_ns() }
    }
}

/// Result of one probe of one agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Sample {
    pub(crate) agent: SocketAddr,
    pub(crate) sent_ns: u64,
    pub(crate) ended_ns: u64,
    /// Whether the agent applied the changed document; `None` if its reply does not show which
    /// document it applied.
    pub(crate) changed: Option<bool>,
}

/// Background tasks that probe all agents of a team.
pub(crate) struct Probes {
    stop: watch::Sender<bool>,
    agents: JoinSet<Vec<Sample>>,
}

impl Probes {
    pub(crate) fn start(cluster: &Cluster, service: &Service) -> anyhow::Result<Probes> {
        let stop = watch::Sender::new(false);
        let client = AgentClient::new()?;
        let service = Arc::new(service.clone());
        let mut agents = JoinSet::new();
        for agent in cluster.caller_addresses(service.spec.team) {
            let policy = CallPolicy { is_resend_enabled: false, ..CallPolicy::default() };
            let caller = Caller { client: client.clone(), targets: vec![agent], policy };
            agents.spawn(probe(caller, agent, Arc::clone(&service), stop.subscribe()));
        }
        Ok(Probes { stop, agents })
    }

    pub(crate) async fn finish(mut self) -> anyhow::Result<Vec<Sample>> {
        self.stop.send_replace(true);
        let mut samples = Vec::new();
        while let Some(agent) = self.agents.join_next().await {
            samples.extend(agent?);
        }
        Ok(samples)
    }
}

async fn probe(
    caller: Caller,
    agent: SocketAddr,
    service: Arc<Service>,
    stop: watch::Receiver<bool>,
) -> Vec<Sample> {
    let mut samples = Vec::new();
    let mut ticks = interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let path = format!("/{}{PROBE_PATH}", service.name());
    while !*stop.borrow() {
        ticks.tick().await;
        let number = (u64::from(agent.port()) << 32) | samples.len() as u64;
        let request = service.request(Method::GET, &path, number);
        let sent_ns = wall_clock_ns();
        let record = caller.call(&request, 0).await;
        let changed = match record.attempts.last().map(|it| &it.result) {
            Some(AttemptResult::Answered) => Some(false),
            Some(AttemptResult::NotRun { reason }) if reason == "bad-request" => Some(true),
            _ => None,
        };
        samples.push(Sample { agent, sent_ns, ended_ns: wall_clock_ns(), changed });
    }
    samples
}

/// Returns the time until the last agent applied a change, and how often agents reverted to the
/// previous document.
pub(crate) fn evaluate_change(
    change: Option<&ConfigChange>,
    samples: &[Sample],
    evidence: &Evidence,
) -> ConfigProbe {
    let Some(change) = change else { return ConfigProbe::default() };
    let mut agents: Vec<SocketAddr> = samples.iter().map(|it| it.agent).collect();
    agents.sort_unstable();
    agents.dedup();
    let from_ns = change.acknowledged_ns;
    let span = Window { from_ns, until_ns: from_ns + WAIT_MAX_NS };
    let considered_agents = agents.iter().filter(|it| !was_faulty(evidence, **it, span));
    let first_applied_ns = considered_agents.map(|agent| {
        let of_agent = samples.iter().filter(|it| it.agent == *agent);
        of_agent.filter(|it| it.changed == Some(true)).map(|it| it.ended_ns).min()
    });
    let last_ns: Option<Vec<u64>> = first_applied_ns.collect();
    let last_ns = last_ns.and_then(|it| it.into_iter().max());
    let reverted = agents.iter().map(|it| count_reversals(samples, *it)).sum();
    ConfigProbe { in_force_ms: last_ns.map(|it| it.saturating_sub(from_ns) / 1_000_000), reverted }
}

/// Returns whether the agent was faulty or stopped at some time within the window.
fn was_faulty(evidence: &Evidence, agent: SocketAddr, span: Window) -> bool {
    let outages = evidence.ingress_outages.iter().map(|it| (it.caller_address, it.window));
    let stops = evidence.stops.iter().map(|it| {
        // A stopped agent is not restarted.
        (it.caller_address, Window { until_ns: u64::MAX, ..it.window })
    });
    outages
        .chain(stops)
        .any(|(address, window)| address == agent && window.overlaps(span.from_ns, span.until_ns))
}

/// Counts how often an agent applied the previous document after the changed one.
fn count_reversals(samples: &[Sample], agent: SocketAddr) -> usize {
    let decided: Vec<bool> =
        samples.iter().filter(|it| it.agent == agent).filter_map(|it| it.changed).collect();
    decided.windows(2).filter(|it| it[0] && !it[1]).count()
}
