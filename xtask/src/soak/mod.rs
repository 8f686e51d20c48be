//! Soak test: real processes under overlapping faults for a given time, checked by the journals of
//! callers and upstreams.
//!
//! It checks invariants that hold at any time: a response is complete and belongs to its request, a
//! request that is not idempotent runs at most once, a request reported as "not run" has not run, each
//! key has one owner, a graceful stop aborts no request. After the faults each key has to be served
//! again.

mod faults;
mod harmful;
mod injector;
mod proxy;
mod verdict;

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, process::ExitCode, time::Duration};

use serde::Serialize;
use standins::journal::wall_clock_ns;
use tokio::time::{Instant, sleep_until};

use crate::{
    cluster::{Binaries, Cluster, PortAllocator, Profile, ServiceSpec},
    demo::{Callers, SERVICES, conditions, evidence::Evidence, load::probed_keys, print_line},
    run_lock,
};

use self::{harmful::HARMFUL_KEY, injector::FaultInjector, proxy::Proxy, verdict::Violation};

/// Number of fault injectors that run concurrently.
const CONCURRENT_INJECTORS: usize = 3;
/// Time from the start of the callers to the fault period, so that all callers are running by then.
const FIRST_FAULT_AFTER: Duration = Duration::from_secs(2);
/// Time to recover after the fault period: long enough for a lease to expire, a takeover, and the
/// start of processes.
const RECOVERY_PERIOD: Duration = Duration::from_secs(10);
/// Time after the recovery in which each key is requested and has to be served.
const CHECK_PERIOD: Duration = Duration::from_secs(5);
/// Number of violations of each invariant that are printed, so that a frequent one does not hide the others.
const SHOWN_PER_INVARIANT: usize = 8;

/// Flags of `cargo xtask soak`.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub(crate) struct SoakOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "seed of the faults; random if left out")]
    seed: Option<u64>,
    #[options(no_short, help = "minutes for which faults are injected", default = "1")]
    minutes: f64,
    #[options(no_short, help = "print one JSON object as the last line")]
    json: bool,
}

/// Report of a soak test.
#[derive(Debug)]
#[derive(Serialize)]
struct Report {
    seed: u64,
    minutes: f64,
    /// Number of processes started over the whole run.
    processes: usize,
    requests: usize,
    answered: usize,
    faults: BTreeMap<&'static str, usize>,
    violations: usize,
    /// Number of violations by invariant.
    violated: BTreeMap<&'static str, usize>,
}

/// Runs the soak test; the exit code is a success if no invariant was violated.
pub(crate) async fn run(options: SoakOptions) -> anyhow::Result<ExitCode> {
    anyhow::ensure!(
        options.minutes > 0.0,
        "--minutes: expected a positive number, got {}",
        options.minutes
    );
    let binaries = Binaries::build(Profile::Dev)?;
    let _run_lock = run_lock::acquire().await?;
    let seed = options.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    print_line(&format!("seed {seed}"))?;
    let mut ports = PortAllocator::new();
    let mut cluster = Cluster::prepare(&services(), &binaries, &mut ports, seed).await?;
    let (report, violations) =
        match run_scenario(&mut cluster, &mut ports, &binaries, seed, &options).await {
            Ok(done) => done,
            Err(error) => {
                cluster.dir.keep();
                print_line(&format!("logs and journals are in {}", cluster.dir.path().display()))?;
                return Err(error.context(format!("seed {seed}")));
            }
        };
    print_violations(&violations)?;
    if !violations.is_empty() {
        cluster.dir.keep();
        print_line(&format!(
            "seed {seed}; logs and journals are in {}",
            cluster.dir.path().display()
        ))?;
    }
    print_line(if violations.is_empty() { "all invariants held" } else { "invariants violated" })?;
    if options.json {
        print_line(&serde_json::to_string(&report)?)?;
    }
    Ok(if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Prints the first violations of each invariant and the number of all.
fn print_violations(violations: &[Violation]) -> anyhow::Result<()> {
    for it in shown(violations) {
        print_line(&format!("violated: {it}"))?;
    }
    for (invariant, count) in counts_by_invariant(violations) {
        print_line(&format!("{invariant}: {count} violations"))?;
    }
    Ok(())
}

/// Returns the first violations of each invariant, in the given order.
fn shown(violations: &[Violation]) -> impl Iterator<Item = &Violation> {
    let mut shown_counts: BTreeMap<&str, usize> = BTreeMap::new();
    violations.iter().filter(move |it| {
        let count = shown_counts.entry(it.invariant).or_default();
        *count += 1;
        *count <= SHOWN_PER_INVARIANT
    })
}

fn counts_by_invariant(violations: &[Violation]) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for it in violations {
        *counts.entry(it.invariant).or_default() += 1;
    }
    counts
}

/// Draws the conditions that upstreams state while faults are injected.
fn plan_conditions(
    injectors: &[FaultInjector],
    seed: u64,
    fault_period: Duration,
) -> Vec<conditions::PlannedCondition> {
    let upstreams: Vec<_> = injectors.iter().flat_map(FaultInjector::upstreams).collect();
    conditions::plan(seed, &upstreams, FIRST_FAULT_AFTER..FIRST_FAULT_AFTER + fault_period, true)
}

/// Selects a service whose upstreams check fence tokens, one whose upstreams do not, and one that is
/// not sharded by key.
fn services() -> Vec<ServiceSpec> {
    let wanted = ["standings", "avaliacao", "racecontrol"];
    let is_wanted = |it: &&ServiceSpec| wanted.iter().any(|name| it.document.contains(name));
    SERVICES.iter().filter(is_wanted).cloned().collect()
}

async fn run_scenario(
    cluster: &mut Cluster,
    ports: &mut PortAllocator,
    binaries: &Binaries,
    seed: u64,
    options: &SoakOptions,
) -> anyhow::Result<(Report, Vec<Violation>)> {
    let mut proxies = Vec::new();
    for _ in 0..cluster.instances.len() {
        proxies.push(Proxy::start(ports.next()?, cluster.platform_address).await?);
    }
    cluster.instances.iter_mut().for_each(|it| it.crash_on_key(HARMFUL_KEY));
    cluster.start_instances(binaries, seed, |it| proxies[it].address).await?;
    cluster.wait_until_serving().await?;
    let fault_period = Duration::from_secs_f64(options.minutes * 60.0);
    let start = Instant::now() + Duration::from_millis(100);
    let load = FIRST_FAULT_AFTER + fault_period + RECOVERY_PERIOD + CHECK_PERIOD;
    let mut callers = Callers::start(cluster, load, start, seed);
    harmful::add_callers(&mut callers, cluster, FIRST_FAULT_AFTER + fault_period, start, seed);
    let mut evidence = Evidence { probed_keys: probed_keys().collect(), ..Evidence::default() };
    let mut injectors =
        injector::split_instances(cluster, proxies, CONCURRENT_INJECTORS, seed, fault_period);
    let mut faults = faults::counts(injectors.iter().flat_map(|it| &it.planned));
    let conditions = plan_conditions(&injectors, seed, fault_period);
    faults.insert("stated_condition", conditions.len());
    let stating = conditions::state_all(&conditions, start);
    let injections =
        injectors.iter_mut().map(|it| it.inject(cluster, binaries, start + FIRST_FAULT_AFTER));
    let mut disturbances = Vec::new();
    let injections = futures_util::future::try_join_all(injections);
    let (records, ()) = tokio::try_join!(injections, stating)?;
    for it in records {
        evidence.ingress_outages.extend(it.ingress_outages);
        evidence.stops.extend(it.stops);
        disturbances.extend(it.disturbances);
    }
    let proxies = injector::return_instances(cluster, injectors);
    sleep_until(start + FIRST_FAULT_AFTER + fault_period + RECOVERY_PERIOD).await;
    let checked_from_ns = wall_clock_ns();
    sleep_until(start + load).await;
    let checked_until_ns = wall_clock_ns();
    evidence.calls = callers.finish().await?;
    crate::demo::stop_rest(cluster, &mut evidence).await?;
    drop(proxies);
    evidence.upstreams = cluster.journals()?;
    let check_window =
        crate::demo::evidence::Window { from_ns: checked_from_ns, until_ns: checked_until_ns };
    let mut violations = verdict::violations(&evidence, check_window);
    violations.extend(harmful::violations(&evidence, &disturbances));
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
        violated: counts_by_invariant(&violations),
    };
    Ok((report, violations))
}
