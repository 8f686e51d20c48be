//! Tests of express requests on their way from ingress over a link to the gate.

use std::time::Duration;

use tokio::sync::Notify;

use super::fakes::{TestAgent, check, express_document, get};

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
