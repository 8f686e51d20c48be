//! How long an accepted document takes until it is in force on every agent, and what that costs the
//! platform: at rest, in a rush, and with the platform down in the middle.

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

/// The service whose document changes.
const SERVICE: &str = "avaliacao";
const CHANGES: usize = 20;
const CHANGES_IN_OUTAGE: usize = 5;
const PAUSE: Duration = Duration::from_millis(300);
const ASK_AGAIN: Duration = Duration::from_millis(5);
const PATIENCE: Duration = Duration::from_secs(20);
const RUSH: Duration = Duration::from_secs(25);
/// Time after a change at which the platform goes down, and how long it stays so.
const OUTAGE_AFTER: Duration = Duration::from_millis(20);
const OUTAGE: Duration = Duration::from_secs(3);

/// One phase of the measurement.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct ConfigRow {
    phase: &'static str,
    changes: usize,
    /// From the platform's answer to the write until the last agent decides by it.
    in_force_ms: Spread,
    p99_ms: f64,
    /// Of the whole fleet, by kind.
    platform_calls_per_s: BTreeMap<String, f64>,
}

struct Bench {
    cluster: Cluster,
    client: AgentClient,
    service: Service,
    /// The documents in turn; the second one refuses a path that the first one takes.
    texts: [String; 2],
    changes: usize,
}

/// Measures all phases on both deployments.
pub(crate) async fn run(seed: u64) -> anyhow::Result<Vec<ConfigRow>> {
    let binaries = Binaries::build(Profile::Release)?;
    let cluster = Cluster::start(SERVICES, &binaries, seed).await?;
    cluster.wait_until_serving().await?;
    let service = cluster.service(SERVICE).context("a service that changes")?.clone();
    let texts = [service.text.clone(), service.text_with_refusing_route(PROBE_PATH)?];
    let client = AgentClient::new()?;
    let mut bench = Bench { cluster, client, service, texts, changes: 0 };
    let rest = bench.phase("rest", CHANGES, None).await?;
    let callers = Callers::start(&bench.cluster, RUSH, Instant::now(), seed);
    let rush = bench.phase("rush", CHANGES, None).await?;
    callers.finish().await?;
    let outage = bench.phase("outage", CHANGES_IN_OUTAGE, Some(OUTAGE)).await?;
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
        let began = Instant::now();
        let mut in_force_ms = Vec::new();
        for _ in 0..changes {
            in_force_ms.push(self.change(outage).await?.as_secs_f64() * 1e3);
            sleep(PAUSE).await;
        }
        let after = self.cluster.platform_counts().await?;
        in_force_ms.sort_by(f64::total_cmp);
        let row = ConfigRow {
            phase,
            changes,
            in_force_ms: Spread::new(in_force_ms.iter().copied()),
            p99_ms: percentile(&in_force_ms, 0.99),
            platform_calls_per_s: rates(&before, &after, began.elapsed()),
        };
        print_line(&format!("{:8} in force after {} ms", row.phase, row.in_force_ms))?;
        Ok(row)
    }

    /// Writes the other document; how long until all agents go by it.
    async fn change(&mut self, outage: Option<Duration>) -> anyhow::Result<Duration> {
        self.changes += 1;
        let refuses = self.changes % 2 == 1;
        let text = &self.texts[usize::from(refuses)];
        self.cluster.put_document(SERVICE, text).await?;
        let written = Instant::now();
        let agents = self.cluster.caller_addresses(self.service.spec.team);
        let waits = agents.into_iter().map(|it| self.wait_in_force(it, refuses));
        let all = timeout(PATIENCE, try_join_all(waits));
        let (all, ()) = tokio::try_join!(
            async { all.await.context("a document was not in force in time")? },
            self.fail_platform(outage),
        )?;
        let last = all.into_iter().max().context("agents of the team")?;
        Ok(last - written)
    }

    /// Takes the platform down for a while, soon after a change.
    async fn fail_platform(&self, outage: Option<Duration>) -> anyhow::Result<()> {
        let Some(outage) = outage else { return Ok(()) };
        sleep(OUTAGE_AFTER).await;
        self.cluster.set_platform_faults(r#"{"down": true}"#).await?;
        sleep(outage).await;
        self.cluster.set_platform_faults(r#"{"down": false}"#).await
    }

    /// When an agent first decides by the document.
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
            sleep(ASK_AGAIN).await;
        }
        unreachable!("the numbers do not end")
    }
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(index.saturating_sub(1)).copied().unwrap_or_default()
}
