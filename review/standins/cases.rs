//! The cases. Each returns the exit status.

mod age;
mod explore;
mod fence;
mod left;
mod refused;

use std::time::Duration;

use crate::{
    client::{Attempt, HOST},
    mesh::{Agent, Machine, Setup, free_port, wait_until},
    store::Store,
    target::{Options, Target},
};

pub fn run(case: &str, setup: &Setup, trouble: bool) -> u8 {
    let result = match case {
        "refused" => refused::run(setup, trouble),
        "explore" => explore::run(setup, trouble),
        "age" => age::run(setup),
        "fence" => fence::run(setup, trouble),
        "left" => left::run(setup, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    result.unwrap_or_else(|reason| {
        setup.record.line(&format!("cannot run: {reason}"));
        2
    })
}

const SERVICE: &str = "huvo11a";

/// A deployment of one service, with a target beside each agent.
pub struct Deployment {
    pub store: Store,
    pub agents: Vec<Agent>,
    pub targets: Vec<Target>,
}

/// The operator's configuration, like that on the page of the deployment.
fn config(service: &str, is_sharded: bool) -> String {
    let keys = match is_sharded {
        true => ",\"sharded\":true,\"warm_s\":3.0,\"grants\":\"heartbeat\"",
        false => "",
    };
    let route = |name: &str, prefix: &str, kind: &str, timeout: f64, aim: f64, priority: u8| {
        format!(
            "{{\"name\":\"{name}\",\"path_prefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeout_s\":{timeout},\"target_latency_s\":{aim},\"priority\":{priority},\"service\":\"{service}\",\"attempts\":2}}"
        )
    };
    format!(
        "{{\"version\":\"r7\",\"services\":[{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false{keys}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\"hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{},{}]}}]}}",
        route("r-post", "/pufi791/", "non_idempotent", 1.5, 0.8, 1),
        route("r-read", "/lohu930/", "idempotent", 1.2, 0.6, 2),
    )
}

/// Starts the store, the agents and the targets, and waits until requests are served everywhere.
pub fn deploy(setup: &Setup, options: &Options) -> Result<Deployment, String> {
    deploy_with(setup, options, "[]")
}

/// Does the same over a store that holds what the system wrote before.
pub fn deploy_with(setup: &Setup, options: &Options, stored: &str) -> Result<Deployment, String> {
    let error = |it: std::io::Error| it.to_string();
    let zones = ["thika-rd", "ngong-rd", "mombasa-rd"];
    let machines: Vec<Machine> =
        (0..3).map(|it| Machine::new(setup, it, zones[usize::from(it)], SERVICE)).collect();
    let store_address = free_port(machines[0].ip);
    let store = Store::start(store_address).map_err(error)?;
    if !store.load(stored) {
        return Err("what the store held cannot be read".to_owned());
    }
    store.put_config(&config(SERVICE, options.sharded));
    let mut agents = Vec::new();
    for it in &machines {
        agents.push(Agent::start(setup, it, store_address).map_err(error)?);
    }
    let mut targets = Vec::new();
    for it in &machines {
        targets.push(Target::start(&setup.record, it, options.clone()).map_err(error)?);
    }
    let key = options.sharded.then_some(20_000);
    let is_served = |agent: &Agent| {
        let attempt = Attempt::new("GET", "/lohu930/w1", key, 2000);
        attempt.send(&setup.record, agent.machine.egress(), false) == 200
    };
    let is_up = wait_until(Duration::from_secs(30), || {
        agents.iter().all(|it| it.is_ready() && is_served(it))
    });
    if !is_up {
        return Err("the deployment does not serve".to_owned());
    }
    setup.record.line("all machines are ready and serve");
    Ok(Deployment { store, agents, targets })
}
