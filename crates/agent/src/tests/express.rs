//! Tests of express requests on their way from ingress over a link to the gate.

use std::time::{Duration, Instant};

use model::{NotRunReason, Outcome};
use tokio::{sync::Notify, time::sleep};

use crate::request::{GateReply, GateRequest};

use super::{
    call_failures::failing_run,
    fakes::{
        TestAgent, check, document_text, document_with_limits, express_document, get, parsed, post,
    },
    returns::start_refusing_peer,
};

/// Sends a request for `echo` through another agent to a full upstream whose queue holds one request for `hold`.
/// Returns whether it is served instead of that.
async fn is_preferred(is_on_at_ingress: bool, is_on_at_gate: bool) -> bool {
    let (ingress, owner) = (TestAgent::start("a").await, TestAgent::start("b").await);
    ingress.route_to_with(&owner.own, 1, express_document(is_on_at_ingress)).await;
    owner.route_to_with(&owner.own, 1, express_document(is_on_at_gate)).await;
    owner.settle(1).await;
    // The running requests end once either of the others has been refused.
    let refused = Notify::new();
    let hold = |id| owner.call(get("hold", id));
    let waiting = async {
        owner.upstream.wait_started().await;
        owner.upstream.wait_started().await;
        let answer = hold(3).await;
        refused.notify_one();
        answer
    };
    let express = async {
        while owner.plane.queued() == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let answer = ingress.call(get("echo", 9)).await;
        refused.notify_one();
        answer
    };
    let release = async {
        refused.notified().await;
        owner.upstream.release.add_permits(3);
    };
    let (first, second, third, answer, ()) =
        tokio::join!(hold(1), hold(2), waiting, express, release);
    let held = [first, second, third];
    let held_served = held.iter().filter(|it| it.status.is_success()).count();
    match answer.status.is_success() {
        true => assert_eq!(held_served, 2, "the queue holds only one request: {held:?}"),
        false => check(&answer, 503, "not-run; reason=overloaded"),
    }
    assert_eq!(held_served + usize::from(answer.status.is_success()), 3);
    answer.status.is_success()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn express_request_is_preferred_at_a_full_upstream() {
    assert!(is_preferred(true, true).await);
}

/// Guards against a change of the part off, and against agents of an earlier version: one that does not set the mark,
/// and one that ignores it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_is_not_preferred_unless_ingress_and_gate_have_the_part() {
    assert!(!is_preferred(false, false).await);
    assert!(!is_preferred(false, true).await);
    assert!(!is_preferred(true, false).await);
}

/// Guards against hopeless tries at the only member that may run a request, without a pause and with the express limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_express_request_returns_to_no_designated_member() {
    // The routes have a deadline of 10 s. With the part off, two further tries are made as before.
    for (express_ms, call, expected) in
        [(10_000, post("echo", 1), 1), (10_000, get("echo", 1), 2), (0, post("echo", 1), 3)]
    {
        let ingress = TestAgent::start("ingress").await;
        let (a, sent_to_a) = start_refusing_peer("a").await;
        let (b, sent_to_b) = start_refusing_peer("b").await;
        let limits =
            format!(r#""retry_count": "after_upstream", "express_objective_ms_max": {express_ms}"#);
        ingress.route_to_members_under(document_with_limits(&limits), &[&a, &b]).await;
        check(&ingress.call(call).await, 503, "not-run; reason=overloaded");
        let sent = sent_to_a.lock().unwrap().len() + sent_to_b.lock().unwrap().len();
        assert_eq!(sent, expected, "express_objective_ms_max: {express_ms}");
    }
}

/// Guards against express requests that wait for their turn as suspects until no time is left for another member.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_suspect_express_request_waits_no_longer_than_others() {
    let agent = TestAgent::start("a").await;
    let text = document_text(false)
        .replace(r#""name": "lap""#, r#""name": "lap", "queues_past_objective": false"#)
        .replace(r#""limits": {"#, r#""limits": { "express_objective_ms_max": 10000,"#);
    agent.route_to_members_under(parsed(&text), &[&agent.own]).await;
    let gate = agent.plane.gate();
    let request = |id, remaining_ms| GateRequest {
        remaining: Duration::from_millis(remaining_ms),
        ..failing_run(id, Some(Duration::from_millis(100)))
    };
    let crash = async {
        agent.upstream.wait_started().await;
        agent.upstream.wait_started().await;
        agent.upstream.crash();
        // Until the gate knows of the crash, as in the tests of the quarantine.
        sleep(Duration::from_millis(400)).await;
        agent.upstream.restart();
    };
    tokio::join!(gate.call(request(1, 5000)), gate.call(request(2, 5000)), crash);
    let second = async {
        agent.upstream.wait_started().await;
        let started = Instant::now();
        let reply = gate.call(request(2, 4000)).await;
        agent.upstream.release.add_permits(1);
        (reply, started.elapsed())
    };
    let (_, (reply, waited)) = tokio::join!(gate.call(request(1, 10_000)), second);
    let outcome = Outcome::NotRun(NotRunReason::Overloaded);
    assert!(matches!(reply, GateReply::Failed { outcome: it, .. } if it == outcome), "{reply:?}");
    // The limit of others is half of the time left.
    assert!(waited < Duration::from_millis(3000), "{waited:?}");
}
