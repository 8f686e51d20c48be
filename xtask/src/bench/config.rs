//! Time until an accepted document is in force on all agents, and the platform calls it takes:
//! without load, under load, and during an outage of the platform.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use anyhow::Context;
use futures_util::future::try_join_all;
use http::Method;
use serde::Serialize;
use standins::{
    caller::{AgentClient, CallPolicy, Caller},
    journal::AttemptResult,
};
use tokio::time::{Instant, sleep, timeout};

use super::{process_usage::rates, spread::Spread};
use crate::{
    cluster::{Binaries, Cluster, Profile, Service},
    demo::{Callers, PROBE_PATH, SERVICES, print_line},
};

/// Service whose document is changed.
const SERVICE: &str = "avaliacao";
const CHANGES: usize = 20;
const CHANGES_IN_OUTAGE: usize = 5;
const PAUSE_BETWEEN_CHANGES: Duration = Duration::from_millis(300);
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(5);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);
const LOAD_DURATION: Duration = Duration::from_secs(25);
/// Time from a change to the start of the platform's outage.
const OUTAGE_AFTER: Duration = Duration::from_millis(20);
const OUTAGE_DURATION: Duration = Duration::from_secs(3);

/// Result of one phase of the measurement.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct ConfigRow {
    phase: &'static str,
    changes: usize,
    /// Time from the platform's response to the write until the last agent applies the document.
    in_force_ms: Spread,
    p99_ms: f64,
    /// Calls of all agents a second, by kind.
    platform_calls_per_s: BTreeMap<String, f64>,
}

struct Bench {
    cluster: Cluster,
    client: AgentClient,
    service: Service,
    /// The two documents that are written alternately; the second one refuses a path that the first one
    /// accepts.
    document_texts: [String; 2],
    changes: usize,
}

/// Measures all phases on both deployments.
pub(crate) async fn run(seed: u64) -> anyhow::Result<Vec<ConfigRow>> {
    let binaries = Binaries::build(Profile::Release)?;
    let cluster = Cluster::start(SERVICES, &binaries, seed).await?;
    cluster.wait_until_serving().await?;
    let service = cluster
        .service(SERVICE)
        .context("the deployments do not have the service whose document is changed")?
        .clone();
    let document_texts = [service.text.clone(), service.text_with_refusing_route(PROBE_PATH)?];
    let client = AgentClient::new()?;
    let mut bench = Bench { cluster, client, service, document_texts, changes: 0 };
    let rest = bench.phase("rest", CHANGES, None).await?;
    let callers = Callers::start(&bench.cluster, LOAD_DURATION, Instant::now(), seed);
    let rush = bench.phase("rush", CHANGES, None).await?;
    callers.finish().await?;
    let outage = bench.phase("outage", CHANGES_IN_OUTAGE, Some(OUTAGE_DURATION)).await?;
    Ok(vec![rest, rush, outage])
}

impl Bench {
    async fn phase(
        &mut self,
        phase: &'static str,
        changes: usize,
        outage: Option<Duration>,
    ) -> anyhow::Result<ConfigRow> {
        let before = self.cluster.platform_counts().await?;
        let started = Instant::now();
        let mut in_force_ms = Vec::new();
        for _ in 0..changes {
            in_force_ms.push(self.change(outage).await?.as_secs_f64() * 1e3);
            sleep(PAUSE_BETWEEN_CHANGES).await;
        }
        let after = self.cluster.platform_counts().await?;
        in_force_ms.sort_by(f64::total_cmp);
        let row = ConfigRow {
            phase,
            changes,
            in_force_ms: Spread::new(in_force_ms.iter().copied()),
            p99_ms: percentile(&in_force_ms, 0.99),
            platform_calls_per_s: rates(&before, &after, started.elapsed()),
        };
        print_line(&format!("{:8} in force after {} ms", row.phase, row.in_force_ms))?;
        Ok(row)
    }

    /// Writes the other document and returns the time until all agents apply it.
    async fn change(&mut self, outage: Option<Duration>) -> anyhow::Result<Duration> {
        self.changes += 1;
        let refuses = self.changes % 2 == 1;
        let text = &self.document_texts[usize::from(refuses)];
        self.cluster.put_document(SERVICE, text).await?;
        let written = Instant::now();
        let agents = self.cluster.caller_addresses(self.service.spec.team);
        let waits = agents.into_iter().map(|it| self.wait_in_force(it, refuses));
        let all = timeout(IN_FORCE_TIMEOUT, try_join_all(waits));
        let (all, ()) = tokio::try_join!(
            async {
                all.await.context("a changed document was not in force on all agents in time")?
            },
            self.fail_platform(outage),
        )?;
        let last = all.into_iter().max().context("the team has no agents")?;
        Ok(last - written)
    }

    /// Takes the platform down for `outage`, shortly after a change.
    async fn fail_platform(&self, outage: Option<Duration>) -> anyhow::Result<()> {
        let Some(outage) = outage else { return Ok(()) };
        sleep(OUTAGE_AFTER).await;
        self.cluster.set_platform_faults(r#"{"down": true}"#).await?;
        sleep(outage).await;
        self.cluster.set_platform_faults(r#"{"down": false}"#).await
    }

    /// Probes an agent until it applies the document, and returns the time.
    async fn wait_in_force(&self, agent: SocketAddr, refuses: bool) -> anyhow::Result<Instant> {
        let policy = CallPolicy { is_resend_enabled: false, ..CallPolicy::default() };
        let caller = Caller { client: self.client.clone(), targets: vec![agent], policy };
        let path = format!("/{SERVICE}{PROBE_PATH}");
        for number in 0_u64.. {
            let number = (self.changes as u64) << 40 | u64::from(agent.port()) << 20 | number;
            let request = self.service.request(Method::GET, &path, number);
            let record = caller.call(&request, 0).await;
            let refused = match record.attempts.last().map(|it| &it.result) {
                Some(AttemptResult::Answered) => Some(false),
                Some(AttemptResult::NotRun { reason }) if reason == "bad-request" => Some(true),
                _ => None,
            };
            if refused == Some(refuses) {
                return Ok(Instant::now());
            }
            sleep(PROBE_RETRY_DELAY).await;
        }
        unreachable!("the range of probe numbers has no end")
    }
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(index.saturating_sub(1)).copied().unwrap_or_default()
}
