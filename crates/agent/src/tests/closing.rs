//! Tests of slots that are closed while the upstream may still run requests for them.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{HeaderMap, HeaderValue, Method, uri::PathAndQuery};
use model::{RequestId, Slot, Timestamp};
use ownership::GateCommand;
use upstream::{Request, Upstream};

use super::{
    announcements::{TestAnnounceProtocol, announce, holding, releasing},
    fakes::{Call, TestAgent, get, token},
};
use crate::report::Report;

/// The slot of [`KEY`].
const BUSY: Slot = Slot(2);
/// A slot without requests.
const IDLE: Slot = Slot(0);
const KEY: &str = "40";
const DEADLINE: Duration = Duration::from_millis(400);
/// Tolerance for deadlines, which are sent in whole milliseconds.
const ROUNDING: Duration = Duration::from_millis(10);

fn close_both(agent: &TestAgent) {
    let close = |slot| GateCommand::Close { slot, token: token(4), to: None };
    agent.gate.apply(&[close(IDLE), close(BUSY)]);
}

fn keyed_request(op: &str) -> Request {
    let mut headers = HeaderMap::new();
    headers.insert("x-key", HeaderValue::from_static(KEY));
    Request {
        method: Method::GET,
        path: PathAndQuery::try_from(format!("/svc/{op}")).unwrap(),
        headers,
        body: bytes::Bytes::new(),
        id: RequestId(1),
        token: None,
        remaining: Duration::from_secs(5),
        bounds: None,
    }
}

/// Waits until a slot is closed. Returns all slots closed until then.
async fn wait_closed(agent: &mut TestAgent, slot: Slot) -> Vec<Slot> {
    let mut all = Vec::new();
    while !all.contains(&slot) {
        let closed = agent.report(|it| match it {
            Report::ClosedSlots(closed) => Some(closed.iter().map(|it| it.0).collect::<Vec<_>>()),
            _ => None,
        });
        all.extend(closed.await);
    }
    all
}

/// Makes the upstream run a request whose connection is lost. Returns the time until which the upstream may
/// still run it.
async fn lose_request(agent: &TestAgent) -> Timestamp {
    let until = agent.gate.clock.now() + DEADLINE;
    agent.call(Call { key: KEY, deadline: DEADLINE, ..get("lost", 1) }).await;
    assert!(!agent.upstream.ran().is_empty());
    until - ROUNDING
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slot_is_not_closed_while_a_lost_request_may_still_run() {
    let mut agent = TestAgent::start_leased("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.grant_all(4);
    let until = lose_request(&agent).await;
    close_both(&agent);
    assert_eq!(wait_closed(&mut agent, IDLE).await, [IDLE]);
    assert_eq!(wait_closed(&mut agent, BUSY).await, [BUSY]);
    assert!(
        agent.gate.clock.now() >= until,
        "the slot was closed while the upstream may still run the request"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slot_released_by_announcement_is_not_closed_while_a_lost_request_may_still_run() {
    let mut agent =
        TestAgent::start_granted_by_announcements("a", Arc::new(TestAnnounceProtocol)).await;
    agent.route_to(&agent.own, 1).await;
    agent.grant_all(4);
    announce(&agent, holding(1, Vec::new())).await.unwrap();
    announce(&agent, holding(2, vec![(0, 63, 4)]));
    let until = lose_request(&agent).await;
    close_both(&agent);
    let held = vec![(16, 31, 4), (48, 63, 4)];
    let granted = announce(&agent, holding(3, vec![(0, 63, 4)])).await.unwrap();
    assert_eq!(granted, Some(held.clone()));
    announce(&agent, releasing(4, held, &[(0, 15), (32, 47)]));
    assert_eq!(wait_closed(&mut agent, IDLE).await, [IDLE]);
    assert_eq!(wait_closed(&mut agent, BUSY).await, [BUSY]);
    assert!(
        agent.gate.clock.now() >= until,
        "the slot was closed while the upstream may still run the request"
    );
}

/// The upstream may confirm the release because the connection of a request has ended, before the gate has
/// detected that end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slot_is_not_closed_before_the_gate_has_the_outcome_of_its_requests() {
    let mut agent = TestAgent::start_leased("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.grant_all(4);
    let (caller, upstream) = (agent.caller.clone(), Arc::clone(&agent.upstream));
    let call = tokio::spawn(async move { caller.call(keyed_request("hold")).await });
    upstream.wait_started().await;
    close_both(&agent);
    assert_eq!(wait_closed(&mut agent, IDLE).await, [IDLE]);
    let has_ended = Arc::new(AtomicBool::new(false));
    let ended_flag = Arc::clone(&has_ended);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        ended_flag.store(true, Ordering::SeqCst);
        upstream.release.add_permits(1);
    });
    assert_eq!(wait_closed(&mut agent, BUSY).await, [BUSY]);
    assert!(has_ended.load(Ordering::SeqCst), "the slot was closed while a request was running");
    call.await.unwrap().unwrap();
}
