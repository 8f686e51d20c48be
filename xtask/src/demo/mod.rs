//! Demo on real processes: both example deployments, callers that all start in the same second, and
//! faults drawn from a seed. The journals show whether the invariants held.

pub(crate) mod conditions;
mod config_probe;
mod deployments;
pub(crate) mod evidence;
mod faults;
pub(crate) mod load;
mod report;
pub(crate) mod verdict;

#[cfg(test)]
mod tests;

use std::{process::ExitCode, time::Duration};

use standins::journal::wall_clock_ns;
use tokio::time::{Instant, sleep_until};

pub(crate) use self::{
    conditions::PlannedCondition, config_probe::PROBE_PATH, deployments::SERVICES,
    faults::stop_rest, load::Callers, report::print_line,
};

use self::{
    config_probe::{Probes, evaluate_change},
    evidence::{Evidence, Window},
    faults::{Candidate, Fault, PlannedFault},
    verdict::Verdict,
};
use crate::{
    cluster::{Binaries, Cluster, Profile},
    run_lock,
};

/// Start of the window without faults, after the burst of the first second.
const FAULT_FREE_AFTER: Duration = Duration::from_secs(1);
const FIRST_FAULT_AFTER: Duration = Duration::from_secs(4);
const FAULTS_END_AFTER: Duration = Duration::from_secs(29);
/// Duration of the load, longer than the faults: instances are stopped under load after them.
const LOAD_DURATION: Duration = Duration::from_secs(40);
const LOAD_DURATION_WITHOUT_FAULTS: Duration = Duration::from_secs(8);

/// Flags of `cargo xtask demo`.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub(crate) struct DemoOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "seed of the faults; random if left out")]
    seed: Option<u64>,
    #[options(no_short, help = "print one JSON object as the last line")]
    json: bool,
    #[options(no_short, help = "run without faults")]
    no_faults: bool,
    #[options(no_short, help = "keep settings, logs and journals")]
    keep: bool,
}

/// Runs the demo; the exit code is a success if all invariants held.
pub(crate) async fn run(options: DemoOptions) -> anyhow::Result<ExitCode> {
    // The dev profile keeps overflow checks and debug assertions enabled, and shares its build with
    // the tests.
    let binaries = Binaries::build(Profile::Dev)?;
    let _run_lock = run_lock::acquire().await?;
    let seed = options.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    report::print_line(&format!("seed {seed}"))?;
    let mut cluster = Cluster::start(deployments::SERVICES, &binaries, seed).await?;
    let outcome = run_scenario(&mut cluster, seed, !options.no_faults).await;
    let (evidence, verdict) = match outcome {
        Ok(done) => done,
        Err(error) => {
            cluster.dir.keep();
            report::print_line(&format!(
                "logs and journals are in {}",
                cluster.dir.path().display()
            ))?;
            return Err(error.context(format!("seed {seed}")));
        }
    };
    if options.keep || !verdict.holds() {
        cluster.dir.keep();
        report::write_calls(&cluster.dir, &evidence)?;
    }
    report::print(&verdict, seed, &cluster.dir, &options)?;
    Ok(if verdict.holds() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn run_scenario(
    cluster: &mut Cluster,
    seed: u64,
    with_faults: bool,
) -> anyhow::Result<(Evidence, Verdict)> {
    cluster.wait_until_serving().await?;
    let faults = match with_faults {
        true => plan(cluster, seed),
        false => Vec::new(),
    };
    let load = if with_faults { LOAD_DURATION } else { LOAD_DURATION_WITHOUT_FAULTS };
    let mut evidence = Evidence::default();
    let start = Instant::now() + Duration::from_millis(100);
    let start_ns = wall_clock_ns() + 100_000_000;
    let at = |after: Duration| start_ns + u64::try_from(after.as_nanos()).unwrap_or(u64::MAX);
    evidence.probed_keys = load::probed_keys().collect();
    evidence.fault_free = Window { from_ns: at(FAULT_FREE_AFTER), until_ns: at(FIRST_FAULT_AFTER) };
    evidence.churn_window = Window { from_ns: start_ns, until_ns: at(FAULTS_END_AFTER) };
    evidence.observed = Window { from_ns: start_ns, until_ns: at(load) };

    let callers = Callers::start(cluster, load, start, seed);
    let probes = start_probes(cluster, &faults)?;
    let mut change = None;
    let conditions = match with_faults {
        true => plan_conditions(cluster, seed),
        false => Vec::new(),
    };
    let stating = tokio::spawn(async move { conditions::state_all(&conditions, start).await });
    faults::inject(cluster, &faults, start, &mut change, &mut evidence).await?;
    if with_faults {
        sleep_until(start + FAULTS_END_AFTER).await;
        faults::stop_gracefully(cluster, &mut evidence).await?;
    }
    sleep_until(start + load).await;
    stating.await??;
    evidence.calls = callers.finish().await?;
    let samples = match probes {
        Some(probes) => probes.finish().await?,
        None => Vec::new(),
    };
    faults::stop_rest(cluster, &mut evidence).await?;
    evidence.upstreams = cluster.journals()?;
    let config = evaluate_change(change.as_ref(), &samples, &evidence);
    let verdict = Verdict::new(&evidence, with_faults.then_some(config));
    Ok((evidence, verdict))
}

fn plan(cluster: &Cluster, seed: u64) -> Vec<PlannedFault> {
    let candidates: Vec<Candidate<'_>> = cluster
        .instances
        .iter()
        .map(|it| {
            let keyed = cluster.service(&it.service).is_some_and(|it| it.document.keyed);
            Candidate { service: &it.service, keyed }
        })
        .collect();
    faults::plan(&candidates, FIRST_FAULT_AFTER, seed)
}

/// Draws limits of upstreams whose requests other upstreams can take. An upstream that alone owns keys would leave them
/// unserved for as long as its limit requires.
fn plan_conditions(cluster: &Cluster, seed: u64) -> Vec<PlannedCondition> {
    let is_keyed = |it: &&crate::cluster::Instance| {
        cluster.service(&it.service).is_some_and(|it| it.document.keyed)
    };
    let upstreams = cluster.instances.iter().filter(|it| !is_keyed(it));
    let upstreams: Vec<_> = upstreams.map(|it| it.upstream_address).collect();
    conditions::plan(seed, &upstreams, FIRST_FAULT_AFTER..FAULTS_END_AFTER, false)
}

fn start_probes(cluster: &Cluster, faults: &[PlannedFault]) -> anyhow::Result<Option<Probes>> {
    let changed = faults.iter().find_map(|it| match &it.fault {
        Fault::ChangeDocument(service) => cluster.service(service),
        _ => None,
    });
    changed.map(|it| Probes::start(cluster, it)).transpose()
}
