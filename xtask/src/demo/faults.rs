//! Faults of the demo: their schedule, drawn from a seed, and their injection.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep, sleep_until};

use super::{
    config_probe::{ConfigChange, PROBE_PATH},
    evidence::Evidence,
};
use crate::cluster::{Cluster, Instance};

/// Time between the starts of two faults, before jitter.
const FAULT_SPACING: Duration = Duration::from_millis(4_500);
const JITTER_RANGE_MS: std::ops::Range<u64> = 0..1_000;
const FREEZE_RANGE_MS: std::ops::Range<u64> = 1_500..3_000;
const OUTAGE_RANGE_MS: std::ops::Range<u64> = 3_000..6_000;
/// Number of attempts to change a document, since the platform may be down.
const CHANGE_ATTEMPTS_MAX: u32 = 100;
const CHANGE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Fault with its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Kills the instance with this index.
    Kill(usize),
    /// Suspends the instance for a time.
    Freeze(usize, Duration),
    /// Stops the instance gracefully.
    Leave(usize),
    PlatformOutage(Duration),
    /// Changes the document of the service with this name.
    ChangeDocument(String),
}

/// Fault with its time, counted from the start of the callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlannedFault {
    pub(crate) after: Duration,
    pub(crate) fault: Fault,
}

/// Instance as the schedule of faults needs it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<'a> {
    pub(crate) service: &'a str,
    pub(crate) keyed: bool,
}

/// Draws the schedule of faults. The kill and the freeze affect instances of sharded services, and no
/// instance is affected by two faults.
pub(crate) fn plan(candidates: &[Candidate<'_>], first: Duration, seed: u64) -> Vec<PlannedFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut keyed = indexes(candidates, |it| it.keyed);
    keyed.shuffle(&mut rng);
    let mut faults = Vec::new();
    if let [killed, frozen, ..] = keyed[..] {
        faults.push(Fault::Kill(killed));
        faults.push(Fault::Freeze(frozen, draw_ms(&mut rng, FREEZE_RANGE_MS)));
        let mut rest = indexes(candidates, |_| true);
        rest.retain(|it| *it != killed && *it != frozen);
        rest.shuffle(&mut rng);
        faults.extend(rest.first().copied().map(Fault::Leave));
    }
    faults.push(Fault::PlatformOutage(draw_ms(&mut rng, OUTAGE_RANGE_MS)));
    if let Some(index) = keyed.last() {
        faults.push(Fault::ChangeDocument(candidates[*index].service.to_owned()));
    }
    faults.shuffle(&mut rng);
    let mut after = first;
    faults
        .into_iter()
        .map(|fault| {
            let planned = PlannedFault { after: after + draw_ms(&mut rng, JITTER_RANGE_MS), fault };
            after += FAULT_SPACING;
            planned
        })
        .collect()
}

fn indexes(candidates: &[Candidate<'_>], wanted: impl Fn(&Candidate<'_>) -> bool) -> Vec<usize> {
    (0..candidates.len()).filter(|it| wanted(&candidates[*it])).collect()
}

fn draw_ms(rng: &mut impl Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Injects each fault at its time and returns after the last one has ended.
pub(crate) async fn inject(
    cluster: &mut Cluster,
    faults: &[PlannedFault],
    start: Instant,
    change: &mut Option<ConfigChange>,
    evidence: &mut Evidence,
) -> anyhow::Result<()> {
    let mut outage_until = None;
    for PlannedFault { after, fault } in faults {
        wait_until(cluster, start + *after, &mut outage_until).await?;
        log::info!(target: "demo", "Injecting {fault:?}.");
        match fault {
            Fault::Kill(index) => {
                let outage = cluster.instances[*index].kill().await?;
                evidence.ingress_outages.push(outage);
            }
            Fault::Freeze(index, duration) => {
                let frozen_ns = cluster.instances[*index].freeze()?;
                wait_until(cluster, Instant::now() + *duration, &mut outage_until).await?;
                evidence.ingress_outages.push(cluster.instances[*index].resume(frozen_ns)?);
            }
            Fault::Leave(index) => evidence.stops.push(cluster.instances[*index].leave().await?),
            Fault::PlatformOutage(duration) => {
                cluster.set_platform_faults(r#"{"down": true}"#).await?;
                outage_until = Some(Instant::now() + *duration);
            }
            Fault::ChangeDocument(service) => {
                end_outage(cluster, &mut outage_until).await?;
                *change = Some(change_document(cluster, service).await?);
            }
        }
    }
    end_outage(cluster, &mut outage_until).await
}

/// Waits until the given time, and ends a platform outage that is due before.
async fn wait_until(
    cluster: &Cluster,
    until: Instant,
    outage_until: &mut Option<Instant>,
) -> anyhow::Result<()> {
    if outage_until.is_some_and(|it| it < until) {
        end_outage(cluster, outage_until).await?;
    }
    sleep_until(until).await;
    Ok(())
}

async fn end_outage(cluster: &Cluster, outage_until: &mut Option<Instant>) -> anyhow::Result<()> {
    let Some(until) = outage_until.take() else { return Ok(()) };
    sleep_until(until).await;
    cluster.set_platform_faults(r#"{"down": false}"#).await
}

async fn change_document(cluster: &Cluster, name: &str) -> anyhow::Result<ConfigChange> {
    let service = cluster
        .service(name)
        .ok_or_else(|| anyhow::anyhow!("the cluster has no service {name}"))?;
    let text = service.text_with_refusing_route(PROBE_PATH)?;
    for _ in 0..CHANGE_ATTEMPTS_MAX {
        if cluster.put_document(name, &text).await.is_ok() {
            return Ok(ConfigChange::now(name));
        }
        sleep(CHANGE_RETRY_DELAY).await;
    }
    anyhow::bail!("the platform accepted no change of {name} in {CHANGE_ATTEMPTS_MAX} attempts")
}

/// Stops instances gracefully under load until one of each service is left: one after another, but
/// the first two together where a service has at least three.
pub(crate) async fn stop_gracefully(
    cluster: &mut Cluster,
    evidence: &mut Evidence,
) -> anyhow::Result<()> {
    let names: Vec<String> = cluster.services.iter().map(|it| it.name().to_owned()).collect();
    let mut groups: Vec<Vec<&mut Instance>> = names.iter().map(|_| Vec::new()).collect();
    for instance in cluster.instances.iter_mut().filter(|it| it.is_running()) {
        let group = names.iter().position(|it| *it == instance.service);
        if let Some(group) = group {
            groups[group].push(instance);
        }
    }
    let stops = groups.into_iter().map(stop_group);
    for stops in futures_util::future::try_join_all(stops).await? {
        evidence.stops.extend(stops);
    }
    Ok(())
}

async fn stop_group(
    mut instances: Vec<&mut Instance>,
) -> anyhow::Result<Vec<super::evidence::PlannedStop>> {
    let mut stops = Vec::new();
    while instances.len() > 1 {
        let at_once = if instances.len() > 2 && stops.is_empty() { 2 } else { 1 };
        let leaving = instances.drain(..at_once).map(|it| it.leave());
        stops.extend(futures_util::future::try_join_all(leaving).await?);
    }
    Ok(stops)
}

/// Stops all remaining instances together.
pub(crate) async fn stop_rest(
    cluster: &mut Cluster,
    evidence: &mut Evidence,
) -> anyhow::Result<()> {
    let rest = cluster.instances.iter_mut().filter(|it| it.is_running()).map(|it| it.leave());
    evidence.stops.extend(futures_util::future::try_join_all(rest).await?);
    Ok(())
}
