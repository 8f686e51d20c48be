//! Tests of at-most-once execution, leases and fence tokens at the gate.

use std::{sync::atomic::Ordering, time::Duration};

use model::RequestId;
use ownership::{GateCommand, UpstreamState};

use crate::report::Report;

use super::fakes::{Call, TestAgent, check, get, post};

async fn owner() -> TestAgent {
    let agent = TestAgent::start("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.settle(1).await;
    agent
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer_is_unknown_and_the_resend_is_not_run() {
    let agent = owner().await;
    check(&agent.call(post("lost", 1)).await, 502, "unknown; reason=connection-lost");
    let age = Some(Duration::from_millis(10));
    check(
        &agent.call(Call { age, ..post("echo", 1) }).await,
        502,
        "unknown; reason=connection-lost",
    );
    assert_eq!(agent.upstream.ran(), [RequestId(1)]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_gets_the_first_answer() {
    let agent = owner().await;
    let first = agent.call(Call { body: "first".into(), ..post("echo", 1) }).await;
    let again =
        Call { body: "second".into(), age: Some(Duration::from_millis(5)), ..post("echo", 1) };
    let second = agent.call(again).await;
    check(&second, 200, "answered");
    assert_eq!((first.body, second.headers), ("first".into(), first.headers));
    assert_eq!(agent.upstream.ran(), [RequestId(1)]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_waits_for_the_running_first_sending() {
    let agent = owner().await;
    let both = async {
        tokio::join!(
            agent.call(post("hold", 1)),
            async {
                agent.upstream.wait_started().await;
                agent.call(Call { age: Some(Duration::from_millis(5)), ..post("hold", 1) }).await
            },
            async {
                // The resend must not run, whether it arrives before or after this release.
                tokio::time::sleep(Duration::from_millis(50)).await;
                agent.upstream.release.add_permits(1);
            }
        )
    };
    let (first, second, ()) = both.await;
    check(&first, 200, "answered");
    check(&second, 200, "answered");
    assert_eq!(agent.upstream.ran(), [RequestId(1)]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_owner_without_records_does_not_run_resends() {
    let agent = owner().await;
    let age = Some(Duration::from_secs(60));
    check(&agent.call(Call { age, ..post("echo", 1) }).await, 502, "unknown; reason=no-record");
    check(&agent.call(post("echo", 2)).await, 200, "answered");
    assert_eq!(agent.upstream.ran(), [RequestId(2)]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_during_an_ownership_change_runs_only_if_it_is_answered() {
    let agent = owner().await;
    agent.gate.apply(&[GateCommand::DropAll]);
    let (answer, ()) = tokio::join!(agent.call(post("echo", 1)), async {
        // The lease is restored before the slots are granted; ingress retries meanwhile.
        tokio::time::sleep(Duration::from_millis(5)).await;
        agent.grant_all(2);
    });
    let outcome = answer.headers.get(model::OUTCOME_HEADER).unwrap().to_str().unwrap();
    assert!(outcome.starts_with("not-run") || outcome == "answered", "{answer:?}");
    assert_eq!(agent.upstream.ran().len(), usize::from(outcome == "answered"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn timeout_answer_of_the_upstream_is_unknown() {
    let agent = owner().await;
    let deadline = Duration::from_millis(100);
    let answer = agent.call(Call { deadline, ..post("time-out", 1) }).await;
    check(&answer, 504, "unknown; reason=deadline-exceeded");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_resend_after_a_lost_answer_is_unknown() {
    let agent = owner().await;
    check(&agent.call(get("lost", 1)).await, 502, "unknown; reason=connection-lost");
    let age = Some(Duration::from_millis(5));
    let answer = agent.call(Call { age, ..get("refuse", 1) }).await;
    check(&answer, 502, "unknown; reason=no-record");
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_refused_by_the_upstream_may_run_later() {
    let agent = owner().await;
    check(&agent.call(post("refuse", 1)).await, 503, "not-run; reason=refused");
    check(&agent.call(post("echo", 1)).await, 200, "answered");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_is_refused_without_a_lease() {
    let agent = owner().await;
    agent.end_lease();
    check(&agent.call(post("echo", 1)).await, 503, "not-run; reason=no-owner");
    assert!(agent.upstream.ran().is_empty());
}

/// Guards against a run that outlasts the lease, after which the slot may be granted to another member.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn time_of_a_request_ends_with_the_lease_at_an_upstream_that_checks_no_fence() {
    let agent = owner().await;
    let lease = Duration::from_secs(8);
    agent.gate.apply(&[GateCommand::Lease { until: agent.gate.clock.now() + lease }]);
    let call = post("echo", 1);
    assert!(lease < call.deadline);
    check(&agent.call(call).await, 200, "answered");
    let remaining = agent.upstream.remaining.lock().unwrap().clone();
    assert!(matches!(remaining[..], [it] if it < lease), "{remaining:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queued_request_is_refused_when_the_lease_ends() {
    let agent = owner().await;
    let (first, second, queued_call, ()) = tokio::join!(
        agent.call(get("hold", 1)),
        agent.call(get("hold", 2)),
        async {
            agent.upstream.wait_started().await;
            agent.upstream.wait_started().await;
            agent.call(post("echo", 3)).await
        },
        async {
            while agent.plane.queued() == 0 {
                tokio::task::yield_now().await;
            }
            agent.end_lease();
            agent.upstream.release.add_permits(2);
        }
    );
    check(&first, 200, "answered");
    check(&second, 200, "answered");
    check(&queued_call, 503, "not-run; reason=no-owner");
    assert_eq!(agent.upstream.ran().len(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drop_all_cancels_requests_at_an_upstream_that_checks_no_fence() {
    let agent = owner().await;
    let (answer, ()) = tokio::join!(agent.call(post("hold", 1)), async {
        agent.upstream.wait_started().await;
        agent.gate.apply(&[GateCommand::DropAll]);
    });
    check(&answer, 502, "unknown; reason=connection-lost");
    assert_eq!(agent.upstream.cancelled.lock().unwrap().as_slice(), [RequestId(1)]);
    // A new grant starts without the records of the previous one.
    agent.grant_all(2);
    let age = Some(Duration::from_secs(1));
    check(&agent.call(Call { age, ..post("echo", 1) }).await, 502, "unknown; reason=no-record");
    check(&agent.call(post("echo", 2)).await, 200, "answered");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_upstream_is_reported_lost_and_then_ready() {
    let mut agent = owner().await;
    let state = |it: &Report| match it {
        Report::Upstream(state) => Some(*state),
        _ => None,
    };
    assert_eq!(agent.report(state).await, UpstreamState::Ready);
    let set_frozen = |it| agent.upstream.is_frozen.store(it, std::sync::atomic::Ordering::SeqCst);
    set_frozen(true);
    let mut agent = agent;
    assert_eq!(agent.report(state).await, UpstreamState::Lost);
    agent.upstream.is_frozen.store(false, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(agent.report(state).await, UpstreamState::Ready);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_through_another_member_is_not_run_again() {
    let (a, b) = (TestAgent::start("a").await, TestAgent::start("b").await);
    for agent in [&a, &b] {
        agent.route_to_members(&[&a.own, &b.own]).await;
    }
    for id in 0..20 {
        check(&a.call(post("echo", id)).await, 200, "answered");
        let age = Some(Duration::from_millis(1));
        check(&b.call(Call { age, ..post("echo", id) }).await, 200, "answered");
    }
    let (at_a, at_b) = (a.upstream.ran().len(), b.upstream.ran().len());
    assert_eq!(at_a + at_b, 20);
    assert!(at_a > 0 && at_b > 0, "{at_a} and {at_b}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn added_and_removed_hot_key_keeps_its_records_and_increasing_tokens() {
    let agent = owner().await;
    let key_hash = model::key_hash(b"car-7");
    check(&agent.call(post("echo", 1)).await, 200, "answered");
    agent.gate.apply(&[GateCommand::AdmitKey { key_hash, token: super::fakes::token(9) }]);
    check(&agent.call(post("echo", 2)).await, 200, "answered");
    agent.gate.apply(&[GateCommand::RemoveKey { key_hash }]);
    check(&agent.call(post("echo", 3)).await, 200, "answered");
    // The slot is granted again without a gap.
    agent.grant_all(12);
    let age = Some(Duration::from_millis(5));
    for id in 1..4 {
        check(&agent.call(Call { age, ..post("echo", id) }).await, 200, "answered");
    }
    check(&agent.call(post("echo", 4)).await, 200, "answered");
    assert_eq!(agent.upstream.ran(), [1, 2, 3, 4].map(RequestId));
    let tokens = agent.upstream.tokens.lock().unwrap().clone();
    assert_eq!(tokens, [1, 9, 9, 12].map(|it| Some(super::fakes::token(it))));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstream_in_a_closed_zone_gets_no_new_requests() {
    let agent = TestAgent::start("a").await;
    agent.route_to_members(&[&agent.own]).await;
    check(&agent.call(get("echo", 1)).await, 200, "answered");
    agent.close_zone(true).await;
    let refused = Call { deadline: Duration::from_millis(300), ..get("echo", 2) };
    check(&agent.call(refused).await, 503, "not-run; reason=draining");
    agent.close_zone(false).await;
    check(&agent.call(get("echo", 3)).await, 200, "answered");
    assert_eq!(agent.upstream.ran(), [RequestId(1), RequestId(3)]);
}

/// The request is queued before the zone is closed, and would get its slot afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queued_request_does_not_reach_an_upstream_in_a_closed_zone() {
    let agent = TestAgent::start("a").await;
    agent.route_to_members(&[&agent.own]).await;
    let holding = async { tokio::join!(agent.call(get("hold", 1)), agent.call(get("hold", 2))) };
    let queued_call = async {
        agent.upstream.wait_started().await;
        agent.upstream.wait_started().await;
        let deadline = Duration::from_millis(1_500);
        let waited = agent.call(Call { deadline, ..get("echo", 3) });
        let closing = async {
            while agent.plane.queued() == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            agent.close_zone(true).await;
            agent.upstream.release.add_permits(2);
        };
        tokio::join!(waited, closing).0
    };
    let (_, refused) = tokio::join!(holding, queued_call);
    check(&refused, 503, "not-run; reason=draining");
    assert_eq!(agent.upstream.ran().len(), 2);
}

/// Two queues for one upstream would give it twice as many requests as it has slots.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_updates_of_the_gate_create_one_client_and_queue() {
    let agent = TestAgent::start("a").await;
    agent.upstream.client_creation_ms.store(50, Ordering::SeqCst);
    // The gate's own task and the test both apply the snapshot.
    agent.route_to_members(&[&agent.own]).await;
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(agent.upstream.clients.load(Ordering::SeqCst), 1);
}
