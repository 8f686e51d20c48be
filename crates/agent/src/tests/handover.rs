//! Tests of planned moves of slots: running requests finish, and records are handed over.

use std::time::Duration;

use model::{RequestId, Slot, key_hash};
use ownership::GateCommand;

use crate::report::Report;

use super::fakes::{Call, TestAgent, check, document, post, token};

fn slot() -> Slot {
    document(true).slot_count.slot_of(key_hash(b"car-7"))
}

fn closed_slot(report: &Report) -> Option<Slot> {
    match report {
        Report::Closed { slot, .. } => Some(*slot),
        _ => None,
    }
}

async fn two_agents() -> (TestAgent, TestAgent) {
    let (a, b) = (TestAgent::start("a").await, TestAgent::start("b").await);
    a.route_to(&a.own, 1).await;
    b.route_to(&a.own, 1).await;
    a.grant_all(1);
    (a, b)
}

async fn hand_over(a: &mut TestAgent, b: &TestAgent) {
    let to = Some(b.own.clone());
    a.gate.apply(&[GateCommand::Close { slot: slot(), token: token(1), to }]);
    assert_eq!(a.report(closed_slot).await, slot());
    b.grant_all(2);
    a.route_to(&b.own, 2).await;
    b.route_to(&b.own, 2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn records_are_handed_over_with_a_slot() {
    let (mut a, b) = two_agents().await;
    check(&a.call(Call { body: "one".into(), ..post("echo", 1) }).await, 200, "answered");
    check(&a.call(post("lost", 2)).await, 502, "unknown; reason=connection-lost");
    hand_over(&mut a, &b).await;
    let age = Some(Duration::from_millis(20));
    let resent = a.call(Call { age, ..post("echo", 1) }).await;
    check(&resent, 200, "answered");
    assert_eq!(resent.body, "one");
    check(&a.call(Call { age, ..post("echo", 2) }).await, 502, "unknown; reason=connection-lost");
    assert!(b.upstream.ran().is_empty());
    check(&a.call(post("echo", 3)).await, 200, "answered");
    assert_eq!(b.upstream.ran(), [RequestId(3)]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slot_is_closed_after_its_requests_in_flight() {
    let (mut a, b) = two_agents().await;
    let (upstream, gate) = (std::sync::Arc::clone(&a.upstream), a.gate.clone());
    let caller = a.caller.clone();
    let mut headers = http::HeaderMap::new();
    headers.insert("x-key", http::HeaderValue::from_static("car-7"));
    let request = upstream::Request {
        method: http::Method::POST,
        path: "/svc/hold".try_into().unwrap(),
        headers,
        body: bytes::Bytes::new(),
        id: RequestId(1),
        token: None,
        remaining: Duration::from_secs(9),
        bounds: None,
    };
    let held_call = tokio::spawn(async move { upstream::Upstream::call(&caller, request).await });
    upstream.wait_started().await;
    let to = Some(b.own.clone());
    gate.apply(&[GateCommand::Close { slot: slot(), token: token(1), to }]);
    // New requests are refused at once.
    check(&a.call(post("echo", 2)).await, 503, "not-run; reason=not-owner");
    while let Ok(report) = a.reports.try_recv() {
        assert!(closed_slot(&report).is_none(), "the slot was closed with a request in flight");
    }
    upstream.release.add_permits(1);
    assert_eq!(a.report(closed_slot).await, slot());
    assert_eq!(held_call.await.unwrap().unwrap().status.as_u16(), 200);
}
