//! Tests of a request that was in flight in crashes of upstreams by chance.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::fakes::{Call, TestAgent, check, get};

const AGENTS: usize = 3;
/// Number of crashes after which a request is quarantined.
const CRASHES: usize = 2;
const POLL: Duration = Duration::from_millis(5);
/// Far longer than it takes until the gate knows of a crash.
const SPREAD_TIME: Duration = Duration::from_millis(400);
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Far longer than the time without crashes before a trial.
const SERVED_WITHIN: Duration = Duration::from_secs(60);

fn page(id: u128) -> Call<'static> {
    Call { body: "page".into(), deadline: Duration::from_secs(2), ..get("hold", id) }
}

/// Crashes each upstream that begins to run a request, until there were as many crashes as quarantine a request.
async fn crash_running(agents: &[TestAgent]) {
    for _ in 0..CRASHES {
        let is_running = |it: &&TestAgent| !it.upstream.is_down() && !it.upstream.ran().is_empty();
        let agent = loop {
            match agents.iter().find(is_running) {
                Some(agent) => break agent,
                None => sleep(POLL).await,
            }
        };
        agent.upstream.crash();
    }
}

/// Guards against a request that all agents refuse for good, though it crashes no upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_in_flight_in_two_crashes_by_chance_is_served_again_by_all_agents() {
    let agents = TestAgent::start_members(AGENTS).await;
    tokio::join!(agents[0].call(page(1)), crash_running(&agents));
    for agent in &agents {
        agent.upstream.restart();
        agent.upstream.release.add_permits(10_000);
    }
    let (started, mut id) = (Instant::now(), 1);
    let mut served = 0;
    while served < 2 * AGENTS {
        id += 1;
        let answer = agents[id as usize % AGENTS].call(page(id)).await;
        served = if answer.status.is_success() { served + 1 } else { 0 };
        assert!(started.elapsed() < SERVED_WITHIN, "still refused: {answer:?}");
        sleep(CALL_INTERVAL).await;
    }
}

/// Guards against a request that crashes upstreams and is cleared by an upstream that fails without having begun it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_of_a_server_error_clears_nothing() {
    let agents = TestAgent::start_members(1).await;
    let agent = &agents[0];
    let call = |id| Call { deadline: Duration::from_millis(500), ..get("hold-fail", id) };
    for crash in 0..CRASHES as u128 {
        let crashing = async {
            agent.upstream.wait_started().await;
            agent.upstream.crash();
        };
        tokio::join!(agent.call(call(10 * crash + 1)), crashing);
        sleep(SPREAD_TIME).await;
        agent.upstream.restart();
        if crash == 0 {
            agent.upstream.release.add_permits(1);
            check(&agent.call(call(10 * crash + 2)).await, 500, "answered");
            agent.upstream.wait_started().await;
        }
    }
    check(&agent.call(call(100)).await, 503, "not-run; reason=quarantined");
}
