//! Grants to an upstream that shows late which incarnation it is, such as one that has no slot free for a health check.

use std::time::{Duration, Instant};

use model::Slot;
use ownership::GateCommand;
use tokio::time::sleep;

use super::fakes::{KeyCall, TestAgent, WAIT_TIMEOUT, token};

async fn leased_agent(identification: Duration) -> TestAgent {
    let agent = TestAgent::start_leased("a").await;
    agent.route_to(&agent.own, 1).await;
    set_identification(&agent, identification);
    agent
}

fn set_identification(agent: &TestAgent, identification: Duration) {
    let ms = u64::try_from(identification.as_millis()).unwrap();
    agent.upstream.identification_ms.store(ms, std::sync::atomic::Ordering::SeqCst);
}

/// Waits until the upstream has received a call about keys for which `wanted` returns true.
async fn wait_for_call(agent: &TestAgent, wanted: impl Fn(&KeyCall) -> bool) {
    let started_at = Instant::now();
    while !agent.upstream.key_calls.lock().unwrap().iter().any(&wanted) {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "no such call in time");
        sleep(Duration::from_millis(1)).await;
    }
}

fn is_grant(call: &KeyCall) -> bool {
    matches!(call, KeyCall::Grant { .. })
}

fn is_release(call: &KeyCall) -> bool {
    matches!(call, KeyCall::Release(_))
}

/// Guards against an upstream that holds keys after the lease of its agent has ended, when other upstreams are granted
/// them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_grant_that_waits_for_a_connection_does_not_outlast_the_lease() {
    const LEASE: Duration = Duration::from_millis(2_000);
    let agent = leased_agent(Duration::from_millis(700)).await;
    let lease_until = Instant::now() + LEASE;
    let until = agent.gate.clock.now() + LEASE;
    agent.gate.apply(&[
        GateCommand::Lease { until },
        GateCommand::Admit { slot: Slot(1), token: token(4) },
    ]);
    wait_for_call(&agent, is_grant).await;
    let held_until = agent.upstream.held_until.lock().unwrap().unwrap();
    let excess = held_until.saturating_duration_since(lease_until);
    assert!(excess < Duration::from_millis(50), "held for {excess:?} after the lease");
}

/// Guards against a grant under a token below that of another upstream, which is granted the keys when the lease has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_grant_is_sent_after_the_lease_has_ended() {
    let agent = leased_agent(Duration::from_millis(700)).await;
    let until = agent.gate.clock.now() + Duration::from_millis(500);
    agent.gate.apply(&[
        GateCommand::Lease { until },
        GateCommand::Admit { slot: Slot(1), token: token(4) },
    ]);
    sleep(Duration::from_millis(1_500)).await;
    let calls = agent.upstream.key_calls.lock().unwrap().clone();
    assert!(!calls.iter().any(is_grant), "{calls:?}");
}

/// Guards against keys that the upstream holds again after they were taken back from it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_grant_is_sent_after_the_session_has_ended() {
    let agent = leased_agent(Duration::from_millis(800)).await;
    agent.grant_all(4);
    sleep(Duration::from_millis(100)).await;
    agent.gate.apply(&[GateCommand::DropAll, GateCommand::Clear { token: token(5) }]);
    wait_for_call(&agent, is_release).await;
    sleep(Duration::from_millis(1_200)).await;
    let calls = agent.upstream.key_calls.lock().unwrap().clone();
    let mut after_release = calls.iter().skip_while(|it| !is_release(it));
    assert!(!after_release.any(is_grant), "{calls:?}");
}

/// Guards against a move of keys that waits for a renewal which has not been sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_release_does_not_wait_for_the_connection_of_a_renewal() {
    let agent = leased_agent(Duration::ZERO).await;
    agent.grant_all(4);
    wait_for_call(&agent, is_grant).await;
    set_identification(&agent, Duration::from_millis(900));
    // The renewal is due once the lease has grown by 300 ms.
    sleep(Duration::from_millis(100)).await;
    let until = agent.gate.clock.now() + WAIT_TIMEOUT * 20;
    agent.gate.apply(&[GateCommand::Lease { until }]);
    sleep(Duration::from_millis(200)).await;
    let closing_at = Instant::now();
    let close = |it| GateCommand::Close { slot: Slot(it), token: token(4), to: None };
    agent.gate.apply(&(0..4).map(close).collect::<Vec<_>>());
    wait_for_call(&agent, is_release).await;
    let waited = closing_at.elapsed();
    assert!(waited < Duration::from_millis(300), "the release was sent after {waited:?}");
}
