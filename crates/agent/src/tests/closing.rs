//! Keys that are given on while the upstream may still work on them.

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
    announcements::{TestAnnounceProtocol, announce, releasing, said},
    fakes::{Call, TestAgent, get, token},
};
use crate::report::Report;

/// The slot of [`KEY`], and one without requests.
const BUSY: Slot = Slot(2);
const IDLE: Slot = Slot(0);
const KEY: &str = "40";
const DEADLINE: Duration = Duration::from_millis(400);
/// Deadlines are passed on in whole milliseconds.
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

/// Waits until a slot is closed; gives those that were closed before or with it.
async fn closed_until(agent: &mut TestAgent, slot: Slot) -> Vec<Slot> {
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

/// Has the upstream run a request whose connection ends. Returns until when the upstream may work on it.
async fn cut_off(agent: &TestAgent) -> Timestamp {
    let until = agent.gate.clock.now() + DEADLINE;
    agent.call(Call { key: KEY, deadline: DEADLINE, ..get("lost", 1) }).await;
    assert!(!agent.upstream.ran().is_empty());
    until - ROUNDING
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slot_is_not_closed_while_a_run_that_was_cut_off_may_go_on() {
    let mut agent = TestAgent::start_leased("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.grant_all(4);
    let until = cut_off(&agent).await;
    close_both(&agent);
    assert_eq!(closed_until(&mut agent, IDLE).await, [IDLE]);
    assert_eq!(closed_until(&mut agent, BUSY).await, [BUSY]);
    assert!(agent.gate.clock.now() >= until, "the upstream may still work on it");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slot_given_up_with_an_announcement_waits_for_a_run_that_was_cut_off() {
    let mut agent =
        TestAgent::start_granted_by_announcements("a", Arc::new(TestAnnounceProtocol)).await;
    agent.route_to(&agent.own, 1).await;
    agent.grant_all(4);
    announce(&agent, said(1, Vec::new())).await.unwrap();
    announce(&agent, said(2, vec![(0, 63, 4)]));
    let until = cut_off(&agent).await;
    close_both(&agent);
    let kept = vec![(16, 31, 4), (48, 63, 4)];
    let told = announce(&agent, said(3, vec![(0, 63, 4)])).await.unwrap();
    assert_eq!(told, Some(kept.clone()));
    announce(&agent, releasing(4, kept, &[(0, 15), (32, 47)]));
    assert_eq!(closed_until(&mut agent, IDLE).await, [IDLE]);
    assert_eq!(closed_until(&mut agent, BUSY).await, [BUSY]);
    assert!(agent.gate.clock.now() >= until, "the upstream may still work on it");
}

/// The release may be answered because the connection of the run has ended, of which the gate hears later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slot_is_not_closed_before_the_gate_knows_how_its_runs_ended() {
    let mut agent = TestAgent::start_leased("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.grant_all(4);
    let (caller, upstream) = (agent.caller.clone(), Arc::clone(&agent.upstream));
    let call = tokio::spawn(async move { caller.call(keyed_request("hold")).await });
    upstream.wait_started().await;
    close_both(&agent);
    assert_eq!(closed_until(&mut agent, IDLE).await, [IDLE]);
    let has_ended = Arc::new(AtomicBool::new(false));
    let ends = Arc::clone(&has_ended);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        ends.store(true, Ordering::SeqCst);
        upstream.release.add_permits(1);
    });
    assert_eq!(closed_until(&mut agent, BUSY).await, [BUSY]);
    assert!(has_ended.load(Ordering::SeqCst), "it still runs");
    call.await.unwrap().unwrap();
}
