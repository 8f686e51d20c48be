//! Cases of the measurement of the request path.

use std::time::Duration;

use serde::Serialize;
use standins::caller::{Latency, LoadSummary};
use tokio::time::sleep;

use super::caller::CallerLoad;
use crate::{
    bench::{BenchOptions, process_usage::Usage},
    cluster::{Binaries, Cluster, ServiceSpec},
};

const ROUTE: &str = "GET:/lapboard/results:repeat:1";
const STEADY_REQUESTS_PER_S: f64 = 2_100.0;
const STEADY_CALLERS: usize = 50;
const STEADY_DURATION: Duration = Duration::from_secs(5);
const WARMUP_MARGIN: Duration = Duration::from_millis(500);
const PEAK_DURATION: Duration = Duration::from_secs(3);
const PEAK_CALLER_COUNTS: [usize; 4] = [16, 32, 64, 100];
const OPEN_CALLERS: usize = 1_000;
const UPSTREAM_COUNTS: [usize; 4] = [1, 2, 4, 8];
const RUSH_DURATION: Duration = Duration::from_secs(4);
const RUSH_FACTORS: [f64; 3] = [1.0, 2.0, 3.0];
const RUSH_CALLERS: usize = 500;
/// Mean service time in the rush: with 12 slots, a capacity of about 2,000 requests a second.
const RUSH_SERVICE_MS: f64 = 5.0;

fn spec(instances: usize, service_ms: f64) -> ServiceSpec {
    ServiceSpec {
        team: "karerang",
        document: "examples/club/lapboard.jsonc",
        instances,
        zones: &["pitlane"],
        routes: &[ROUTE],
        service_ms,
    }
}

/// Cluster of one service that is not sharded by key.
struct Bench<'a> {
    cluster: Cluster,
    binaries: &'a Binaries,
    seed: u64,
}

/// Result of one load, with its cost at the agent and the upstream.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(super) struct LoadResult {
    summary: LoadSummary,
    answered_per_s: f64,
    agent_cpu_us_each: f64,
    agent_memory_kb: u64,
    upstream_cpu_us_each: f64,
}

impl<'a> Bench<'a> {
    async fn start(
        binaries: &'a Binaries,
        options: &BenchOptions,
        instances: usize,
        service_ms: f64,
    ) -> anyhow::Result<Bench<'a>> {
        let specs = [spec(instances, service_ms)];
        let cluster = Cluster::start(&specs, binaries, options.seed).await?;
        cluster.wait_until_serving().await?;
        // Upstreams get their full share of requests only after their warm-up.
        sleep(cluster.services[0].document.upstream.warmup + WARMUP_MARGIN).await;
        Ok(Bench { cluster, binaries, seed: options.seed })
    }

    async fn measure(
        &self,
        name: &str,
        is_direct: bool,
        callers: usize,
        requests_per_s: f64,
        duration: Duration,
    ) -> anyhow::Result<LoadResult> {
        let instance = &self.cluster.instances[0];
        let target = if is_direct { instance.upstream_address } else { instance.caller };
        let load = CallerLoad {
            targets: vec![target],
            service: "lapboard".to_owned(),
            route: ROUTE.to_owned(),
            callers,
            requests_per_s,
            duration,
            is_direct,
            seed: self.seed,
        };
        let agent = instance.agent()?.pid();
        let upstream = instance.upstream()?.pid();
        let before = (Usage::read(agent)?, Usage::read(upstream)?);
        let summary = load.run(name, self.binaries, &self.cluster.dir).await?;
        let after = (Usage::read(agent)?, Usage::read(upstream)?);
        Ok(LoadResult {
            answered_per_s: summary.answered_per_s(),
            agent_cpu_us_each: after.0.cpu_us_each_since(before.0, summary.requests),
            agent_memory_kb: after.0.memory_kb,
            upstream_cpu_us_each: after.1.cpu_us_each_since(before.1, summary.requests),
            summary,
        })
    }
}

/// Latency of direct calls and of calls through the agent, at the same rate and in alternating runs.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Latencies {
    requests_per_s: f64,
    direct: Vec<Latency>,
    agent: Vec<Latency>,
    /// Difference of the medians over the runs.
    added_p50_us: i64,
    added_p99_us: i64,
    agent_cpu_us_each: f64,
}

pub(super) async fn latency(
    binaries: &Binaries,
    options: &BenchOptions,
) -> anyhow::Result<Latencies> {
    let bench = Bench::start(binaries, options, 1, 0.0).await?;
    let (mut direct, mut agent) = (Vec::new(), Vec::new());
    let mut cpu_us = 0.0;
    for turn in 0..options.repeats {
        for is_direct in [true, false] {
            let name = format!("steady-{turn}-{is_direct}");
            let callers = STEADY_CALLERS;
            let measured = bench
                .measure(&name, is_direct, callers, STEADY_REQUESTS_PER_S, STEADY_DURATION)
                .await?;
            ensure_all_answered(&measured.summary)?;
            match is_direct {
                true => direct.push(measured.summary.latency),
                false => {
                    agent.push(measured.summary.latency);
                    cpu_us += measured.agent_cpu_us_each / options.repeats as f64;
                }
            }
        }
    }
    let added = |value: fn(&Latency) -> u64| median(&agent, value) - median(&direct, value);
    Ok(Latencies {
        requests_per_s: STEADY_REQUESTS_PER_S,
        added_p50_us: added(|it| it.p50_us),
        added_p99_us: added(|it| it.p99_us),
        agent_cpu_us_each: cpu_us,
        direct,
        agent,
    })
}

fn median(latencies: &[Latency], value: fn(&Latency) -> u64) -> i64 {
    let mut values: Vec<u64> = latencies.iter().map(value).collect();
    values.sort_unstable();
    values.get(values.len() / 2).map_or(0, |it| *it as i64)
}

fn ensure_all_answered(summary: &LoadSummary) -> anyhow::Result<()> {
    let all = summary.answered == summary.requests;
    anyhow::ensure!(all, "expected an answer to each request of the steady load, got {summary:?}");
    Ok(())
}

/// Highest throughput through one agent, and directly to the upstream.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Peak {
    direct: Vec<PeakPoint>,
    agent: Vec<PeakPoint>,
    direct_max_per_s: f64,
    agent_max_per_s: f64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct PeakPoint {
    callers: usize,
    #[serde(flatten)]
    measured: LoadResult,
}

pub(super) async fn peak(binaries: &Binaries, options: &BenchOptions) -> anyhow::Result<Peak> {
    let bench = Bench::start(binaries, options, 1, 0.0).await?;
    let (mut direct, mut agent) = (Vec::new(), Vec::new());
    for callers in PEAK_CALLER_COUNTS {
        for is_direct in [true, false] {
            let name = format!("peak-{callers}-{is_direct}");
            let measured = bench.measure(&name, is_direct, callers, 0.0, PEAK_DURATION).await?;
            let point = PeakPoint { callers, measured };
            if is_direct { direct.push(point) } else { agent.push(point) }
        }
    }
    let max = |points: &[PeakPoint]| {
        points.iter().map(|it| it.measured.answered_per_s).fold(0.0, f64::max)
    };
    Ok(Peak { direct_max_per_s: max(&direct), agent_max_per_s: max(&agent), direct, agent })
}

/// Cost of many connected callers at an agent.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct OpenCallers {
    callers: usize,
    memory_before_kb: u64,
    memory_after_kb: u64,
    measured: LoadResult,
}

pub(super) async fn open_callers(
    binaries: &Binaries,
    options: &BenchOptions,
) -> anyhow::Result<OpenCallers> {
    let bench = Bench::start(binaries, options, 1, 0.0).await?;
    let agent = bench.cluster.instances[0].agent()?.pid();
    let memory_before_kb = Usage::read(agent)?.memory_kb;
    let callers = OPEN_CALLERS;
    let measured = bench
        .measure("open-callers", false, callers, STEADY_REQUESTS_PER_S, STEADY_DURATION)
        .await?;
    let memory_after_kb = measured.agent_memory_kb;
    Ok(OpenCallers { callers, memory_before_kb, memory_after_kb, measured })
}

/// Cost of the same rate through one agent, by the number of upstreams.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Scaling {
    upstreams: usize,
    measured: LoadResult,
}

pub(super) async fn scaling(
    binaries: &Binaries,
    options: &BenchOptions,
) -> anyhow::Result<Vec<Scaling>> {
    let mut points = Vec::new();
    for upstreams in UPSTREAM_COUNTS {
        let bench = Bench::start(binaries, options, upstreams, 1.0).await?;
        let name = format!("scaling-{upstreams}");
        let measured = bench
            .measure(&name, false, STEADY_CALLERS, STEADY_REQUESTS_PER_S, STEADY_DURATION)
            .await?;
        points.push(Scaling { upstreams, measured });
    }
    Ok(points)
}

/// Load at a multiple of the upstream's capacity, from callers that all start at one instant.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Rush {
    factor: f64,
    capacity_per_s: f64,
    /// Answered requests a second, divided by the capacity.
    goodput: f64,
    measured: LoadResult,
}

pub(super) async fn rush(binaries: &Binaries, options: &BenchOptions) -> anyhow::Result<Vec<Rush>> {
    let bench = Bench::start(binaries, options, 1, RUSH_SERVICE_MS).await?;
    // As many closed-loop callers as slots keep the upstream fully used without a queue.
    let slots = bench.cluster.services[0].document.upstream.slots as usize;
    let capacity_per_s =
        bench.measure("capacity", true, slots, 0.0, PEAK_DURATION).await?.answered_per_s;
    let mut points = Vec::new();
    for factor in RUSH_FACTORS {
        let name = format!("rush-{factor}");
        let rate = capacity_per_s * factor;
        let measured = bench.measure(&name, false, RUSH_CALLERS, rate, RUSH_DURATION).await?;
        let goodput = measured.answered_per_s / capacity_per_s;
        points.push(Rush { factor, capacity_per_s, goodput, measured });
    }
    Ok(points)
}
