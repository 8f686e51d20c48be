//! Cost of agents without load: processor time, memory, and calls to the platform.

use std::{collections::BTreeMap, time::Duration};

use anyhow::Context;
use serde::Serialize;
use tokio::time::sleep;

use super::{
    process_usage::{Usage, rates},
    spread::Spread,
};
use crate::{
    cluster::{Binaries, Cluster, Instance, Profile},
    demo::{SERVICES, print_line},
};

/// Time until plans, witnesses and statuses no longer change.
const SETTLE_TIME: Duration = Duration::from_secs(8);
const MEASURE_WINDOW: Duration = Duration::from_secs(20);

/// Cost of the agents in one role.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct RestRow {
    role: &'static str,
    agents: usize,
    /// Processor time of the process, in microseconds a second.
    cpu_us_per_s: Spread,
    memory_kb: Spread,
}

/// Cost of both deployments without load.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct RestReport {
    roles: Vec<RestRow>,
    /// Calls of all agents a second, by kind.
    platform_calls_per_s: BTreeMap<String, f64>,
    watches_waiting: f64,
    groups: usize,
}

struct Reading {
    role: &'static str,
    cpu_us_per_s: f64,
    memory_kb: f64,
}

/// Measures both deployments without callers.
pub(crate) async fn run(seed: u64) -> anyhow::Result<RestReport> {
    let binaries = Binaries::build(Profile::Release)?;
    let cluster = Cluster::start(SERVICES, &binaries, seed).await?;
    cluster.wait_until_serving().await?;
    sleep(SETTLE_TIME).await;
    let usages: Vec<Usage> = cluster.instances.iter().map(usage).collect::<Result<_, _>>()?;
    let counts = cluster.platform_counts().await?;
    sleep(MEASURE_WINDOW).await;
    let after = cluster.platform_counts().await?;
    let mut readings = Vec::new();
    for (instance, before) in cluster.instances.iter().zip(usages) {
        let now = usage(instance)?;
        readings.push(Reading {
            role: role(&cluster, instance).await?,
            cpu_us_per_s: now.cpu_us_each_since(before, 1) / MEASURE_WINDOW.as_secs_f64(),
            memory_kb: now.memory_kb as f64,
        });
    }
    let report = RestReport {
        roles: ["coordinator", "member"].map(|it| row(it, &readings)).into(),
        platform_calls_per_s: rates(&counts, &after, MEASURE_WINDOW),
        watches_waiting: after.get("watches_waiting").copied().unwrap_or_default(),
        groups: cluster.services.len(),
    };
    for it in &report.roles {
        print_line(&format!(
            "{:12} cpu {} us/s, memory {} kB",
            it.role, it.cpu_us_per_s, it.memory_kb
        ))?;
    }
    Ok(report)
}

fn usage(instance: &Instance) -> anyhow::Result<Usage> {
    Usage::read(instance.agent()?.pid())
}

async fn role(cluster: &Cluster, instance: &Instance) -> anyhow::Result<&'static str> {
    let object = cluster.read_object(&format!("coordinators/{}/0", instance.service)).await?;
    let object: serde_json::Value =
        serde_json::from_str(&object).context("decoding the coordinator's object")?;
    let is_holder = object["holder"]["name"] == instance.name.as_str();
    Ok(if is_holder { "coordinator" } else { "member" })
}

fn row(role: &'static str, readings: &[Reading]) -> RestRow {
    let with_role = || readings.iter().filter(|it| it.role == role);
    RestRow {
        role,
        agents: with_role().count(),
        cpu_us_per_s: Spread::new(with_role().map(|it| it.cpu_us_per_s)),
        memory_kb: Spread::new(with_role().map(|it| it.memory_kb)),
    }
}
