//! Real processes under faults that overlap, for as long as is asked for, judged by what callers and
//! upstreams have seen.
//!
//! What is asserted are promises that hold at any time: an answer is one's own and whole, what may not be
//! repeated runs once, "not run" is true, one owner for each key, a planned stop cuts nothing off; and once the
//! faults are over each key is served again.

mod faults;
mod harmful;
mod lane;
mod proxy;
mod verdict;

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, process::ExitCode, time::Duration};

use serde::Serialize;
use standins::journal::wall_clock_ns;
use tokio::time::{Instant, sleep_until};

use crate::{
    cluster::{Binaries, Cluster, Ports, Profile, ServiceSpec},
    demo::{Callers, SERVICES, evidence::Evidence, line, load::probed_keys},
    turn,
};

use self::{harmful::HARMFUL_KEY, proxy::Proxy, verdict::Violation};

/// Faults that strike at a time.
const LANES: usize = 3;
/// The first faults come once all callers are at work.
const FIRST_FAULT: Duration = Duration::from_secs(2);
/// What is left to recover after the last fault: a lease, a takeover and the starts of processes.
const RECOVERY: Duration = Duration::from_secs(10);
/// For so long after that each key is asked for, and has to be served.
const CHECKED: Duration = Duration::from_secs(5);
const VIOLATIONS_SHOWN: usize = 20;

/// Flags of `cargo xtask soak`.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub(crate) struct SoakOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "what the faults are drawn from; at random if left out")]
    seed: Option<u64>,
    #[options(no_short, help = "for how many minutes faults strike", default = "1")]
    minutes: f64,
    #[options(no_short, help = "print one JSON object as the last line")]
    json: bool,
}

/// What a soak came to.
#[derive(Debug)]
#[derive(Serialize)]
struct Report {
    seed: u64,
    minutes: f64,
    /// Processes started over the whole run.
    processes: usize,
    requests: usize,
    answered: usize,
    faults: BTreeMap<&'static str, usize>,
    violations: usize,
}

/// Runs the soak; the exit code tells whether the promises held.
pub(crate) async fn run(options: SoakOptions) -> anyhow::Result<ExitCode> {
    anyhow::ensure!(options.minutes > 0.0, "--minutes: {} is no time to run for", options.minutes);
    let binaries = Binaries::build(Profile::Dev)?;
    let _turn = turn::wait().await?;
    let seed = options.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    line(&format!("seed {seed}"))?;
    let mut ports = Ports::new();
    let mut cluster = Cluster::prepare(&services(), &binaries, &mut ports, seed).await?;
    let (report, violations) = match play(&mut cluster, &mut ports, &binaries, seed, &options).await
    {
        Ok(done) => done,
        Err(error) => {
            cluster.dir.keep();
            line(&format!("logs and journals are in {}", cluster.dir.path().display()))?;
            return Err(error.context(format!("seed {seed}")));
        }
    };
    for it in violations.iter().take(VIOLATIONS_SHOWN) {
        line(&format!("broken: {it}"))?;
    }
    if !violations.is_empty() {
        cluster.dir.keep();
        line(&format!("seed {seed}; logs and journals are in {}", cluster.dir.path().display()))?;
    }
    line(if violations.is_empty() { "all promises held" } else { "promises broken" })?;
    if options.json {
        line(&serde_json::to_string(&report)?)?;
    }
    Ok(if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// One service with a token check of its upstreams and one without, and one that is not divided by key.
fn services() -> Vec<ServiceSpec> {
    let wanted = ["standings", "avaliacao", "racecontrol"];
    let is_wanted = |it: &&ServiceSpec| wanted.iter().any(|name| it.document.contains(name));
    SERVICES.iter().filter(is_wanted).cloned().collect()
}

async fn play(
    cluster: &mut Cluster,
    ports: &mut Ports,
    binaries: &Binaries,
    seed: u64,
    options: &SoakOptions,
) -> anyhow::Result<(Report, Vec<Violation>)> {
    let mut proxies = Vec::new();
    for _ in 0..cluster.instances.len() {
        proxies.push(Proxy::start(ports.next()?, cluster.platform_address).await?);
    }
    cluster.instances.iter_mut().for_each(|it| it.ends_on(HARMFUL_KEY));
    cluster.start_instances(binaries, seed, |it| proxies[it].address).await?;
    cluster.wait_serving().await?;
    let struck = Duration::from_secs_f64(options.minutes * 60.0);
    let start = Instant::now() + Duration::from_millis(100);
    let load = FIRST_FAULT + struck + RECOVERY + CHECKED;
    let mut callers = Callers::start(cluster, load, start, seed);
    harmful::add_callers(&mut callers, cluster, FIRST_FAULT + struck, start, seed);
    let mut evidence = Evidence { probed_keys: probed_keys().collect(), ..Evidence::default() };
    let mut lanes = lane::split(cluster, proxies, LANES, seed, struck);
    let faults = faults::counts(lanes.iter().flat_map(|it| &it.planned));
    let strikes = lanes.iter_mut().map(|it| it.strike(cluster, binaries, start + FIRST_FAULT));
    let mut disturbed = Vec::new();
    let struck_lanes = futures_util::future::try_join_all(strikes).await?;
    for it in struck_lanes {
        evidence.sick.extend(it.sick);
        evidence.stops.extend(it.stops);
        disturbed.extend(it.disturbed);
    }
    let proxies = lane::merge(cluster, lanes);
    sleep_until(start + FIRST_FAULT + struck + RECOVERY).await;
    let checked_from_ns = wall_clock_ns();
    sleep_until(start + load).await;
    let checked_until_ns = wall_clock_ns();
    evidence.calls = callers.finish().await?;
    crate::demo::stop_rest(cluster, &mut evidence).await?;
    drop(proxies);
    evidence.upstreams = cluster.journals()?;
    let checked =
        crate::demo::evidence::Window { from_ns: checked_from_ns, until_ns: checked_until_ns };
    let mut violations = verdict::violations(&evidence, checked);
    violations.extend(harmful::violations(&evidence, &disturbed));
    let answered = |it: &&standins::journal::CallRecord| {
        it.outcome == standins::journal::FinalOutcome::Answered
    };
    let report = Report {
        seed,
        minutes: options.minutes,
        processes: 1 + evidence.upstreams.len() + cluster.instances.len(),
        requests: evidence.calls.len(),
        answered: evidence.calls.iter().filter(answered).count(),
        faults,
        violations: violations.len(),
    };
    Ok((report, violations))
}
