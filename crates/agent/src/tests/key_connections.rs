//! Grants for which there is no connection to the expected incarnation.

use std::{
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use model::Slot;
use ownership::{GateCommand, UpstreamState};
use tokio::time::{sleep, timeout};
use upstream::{KeyConnectionError, Presence};

use super::fakes::{Call, KeyCall, TestAgent, WAIT_TIMEOUT, get, token};
use crate::report::Report;

fn peer() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Returns an agent whose upstream has no connection for the grants that are due.
async fn agent_without_connection(error: KeyConnectionError) -> TestAgent {
    let agent = TestAgent::start_leased("a").await;
    agent.route_to(&agent.own, 1).await;
    *agent.upstream.key_connection_error.lock().unwrap() = Some(error);
    agent.grant_all(4);
    agent
}

fn grants(agent: &TestAgent) -> usize {
    let calls = agent.upstream.key_calls.lock().unwrap();
    calls.iter().filter(|it| matches!(it, KeyCall::Grant { .. })).count()
}

/// Guards against keys that stay with an upstream until its heartbeats are missed, although another one runs there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_another_one_answers_for_is_reported_as_replaced() {
    let mut agent = agent_without_connection(KeyConnectionError::Replaced { peer: peer() }).await;
    let presence = agent.report(|it| match it {
        Report::UpstreamProbed { presence, .. } => Some(*presence),
        _ => None,
    });
    assert_eq!(presence.await, Presence::Replaced);
    // The slots were admitted for the incarnation that has ended.
    *agent.upstream.key_connection_error.lock().unwrap() = None;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(grants(&agent), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_refuses_connections_for_grants_is_reported_as_lost() {
    let reason = "connection refused".to_owned();
    let error = KeyConnectionError::Unreachable { peer: peer(), reason };
    let mut agent = agent_without_connection(error).await;
    // The health that the fake upstream reports is ready.
    agent.report(|it| matches!(it, Report::Upstream(UpstreamState::Lost)).then_some(())).await;
}

/// Guards against renewals that are lost while a full upstream refuses identity checks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_grant_is_retried_until_the_upstream_shows_which_incarnation_it_is() {
    let error = KeyConnectionError::Unconfirmed { peer: peer(), reason: "full".to_owned() };
    let agent = agent_without_connection(error).await;
    sleep(Duration::from_millis(100)).await;
    assert_eq!(grants(&agent), 0);
    *agent.upstream.key_connection_error.lock().unwrap() = None;
    let is_granted = async {
        while grants(&agent) == 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, is_granted).await.expect("the grant was not retried");
    let call = Call { key: "7", ..get("echo", 1) };
    assert_eq!(agent.call(call).await.status.as_u16(), 200);
}

/// Guards against a hold that counts from the arrival of a delayed grant and outlasts the lease of the agent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_grant_that_waited_for_its_connection_is_shorter_by_that_time() {
    let agent = TestAgent::start_leased("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.upstream.identification_ms.store(200, Ordering::SeqCst);
    let lease = Duration::from_secs(2);
    let lease_ends_at = Instant::now() + lease;
    let until = agent.gate.clock.now() + lease;
    let admit = GateCommand::Admit { slot: Slot(0), token: token(4) };
    agent.gate.apply(&[GateCommand::Lease { until }, admit]);
    let is_granted = async {
        while grants(&agent) == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(WAIT_TIMEOUT, is_granted).await.expect("nothing was granted");
    let held_until = agent.upstream.held_until.lock().unwrap().unwrap();
    assert!(held_until < lease_ends_at, "held for {:?} too long", held_until - lease_ends_at);
}
