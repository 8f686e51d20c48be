//! Tests of the two headers by which upstreams limit their request rate and report that they are leaving.

use std::time::{Duration, Instant};

use model::{NotRunReason, RequestRate};
use upstream::{Presence, StatedCondition};

use super::fakes::{Call, TestAgent, WAIT_TIMEOUT, get, post};
use crate::report::Report;

/// Time over which the requests of an upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the most requests that arrived within any [`WINDOW`].
fn most_in_window(arrivals: &[Instant]) -> usize {
    let within = |from: &Instant| {
        arrivals.iter().filter(|it| **it >= *from && **it < *from + WINDOW).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// Returns the most requests that an upstream with this limit may get within a [`WINDOW`].
fn allowed(limit_per_s: f64) -> usize {
    (limit_per_s * WINDOW.as_secs_f64() * 1.5) as usize + 5
}

/// Asserts that the upstream beside an agent got no more requests than a limit allows.
#[track_caller]
fn assert_within_limit(agent: &TestAgent, limit_per_s: f64) {
    let most = most_in_window(&agent.upstream.arrivals.lock().unwrap());
    let allowed = allowed(limit_per_s);
    assert!(most <= allowed, "{most} requests in 4 s, {allowed} allowed");
}

/// Starts two members of one service and makes the first one's upstream state a condition.
async fn members_with(condition: StatedCondition) -> (TestAgent, TestAgent) {
    let mut agents = TestAgent::start_members(2).await;
    let (other, stating) = (agents.pop().unwrap(), agents.pop().unwrap());
    for (agent, id) in [(&stating, "i-1"), (&other, "i-2")] {
        agent.set_upstream_id(id).await;
    }
    *stating.upstream.condition.lock().unwrap() = condition;
    (stating, other)
}

/// Sends `count` requests through an agent, a few at a time.
async fn send(through: &TestAgent, op: &str, first_id: u128, count: u128) {
    const CONCURRENT: u128 = 10;
    for round in 0..count / CONCURRENT {
        let ids = (0..CONCURRENT).map(|it| first_id + round * CONCURRENT + it);
        let calls =
            ids.map(|it| through.call(Call { deadline: Duration::from_millis(40), ..get(op, it) }));
        futures_util::future::join_all(calls).await;
    }
}

/// Routes all requests of `ingress` to the upstream beside `target`.
async fn route_only_to(ingress: &TestAgent, target: &TestAgent) {
    ingress.route_to_members(&[&target.own]).await;
}

fn limit(per_s: f64) -> StatedCondition {
    StatedCondition { limit: RequestRate::from_per_s(per_s), is_leaving: false }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstream_gets_no_more_requests_than_the_limit_it_states() {
    let (limited, other) = members_with(limit(3.0)).await;
    for ingress in [&limited, &other] {
        route_only_to(ingress, &limited).await;
    }
    limited.set_upstream_id("i-1").await;
    tokio::join!(send(&limited, "echo", 1_000, 200), send(&other, "echo", 2_000, 200));
    assert_within_limit(&limited, 3.0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_holds_after_the_agent_beside_the_upstream_has_restarted() {
    let (limited, other) = members_with(limit(1.0)).await;
    route_only_to(&other, &limited).await;
    let told = other.call(get("echo", 1)).await;
    assert_eq!(told.status.as_u16(), 200, "{told:?}");
    for round in 0..12 {
        let again = limited.restart().await;
        route_only_to(&again, &again).await;
        again.set_upstream_id("i-1").await;
        route_only_to(&other, &again).await;
        send(&other, "work", 1_000 * (round + 1), 20).await;
    }
    assert_within_limit(&limited, 1.0);
}

/// An upstream that was drained gets a new queue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_holds_over_new_queues_of_the_upstream() {
    let (limited, _other) = members_with(limit(1.0)).await;
    route_only_to(&limited, &limited).await;
    limited.set_upstream_id("i-1").await;
    for round in 0..12 {
        send(&limited, "work", 1_000 * (round + 1), 20).await;
        limited.close_zone(true).await;
        limited.close_zone(false).await;
    }
    assert_within_limit(&limited, 1.0);
}

fn leaving() -> StatedCondition {
    StatedCondition { limit: None, is_leaving: true }
}

fn draining() -> String {
    format!("not-run; reason={}", NotRunReason::Draining.as_str())
}

#[track_caller]
fn assert_refused(answer: &upstream::Answer) {
    let outcome = answer.headers.get(model::OUTCOME_HEADER).unwrap().to_str().unwrap();
    assert_eq!((answer.status.as_u16(), outcome), (503, draining().as_str()));
}

#[track_caller]
fn assert_unreachable(answer: &upstream::Answer) {
    let outcome = answer.headers.get(model::OUTCOME_HEADER).unwrap().to_str().unwrap();
    assert_eq!((answer.status.as_u16(), outcome), (503, "not-run; reason=unreachable"));
}

/// The document's time until an upstream that is leaving gets no new work.
const DRAIN_TIME: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstream_that_states_it_is_leaving_gets_no_later_request() {
    let (stating, other) = members_with(leaving()).await;
    route_only_to(&other, &stating).await;
    assert_eq!(other.call(get("echo", 1)).await.status.as_u16(), 200);
    tokio::time::sleep(DRAIN_TIME).await;
    let deadline = Duration::from_millis(300);
    assert_refused(&other.call(Call { deadline, ..get("echo", 2) }).await);
    // An announcement that was sent before does not undo it.
    stating.set_upstream_id("i-1").await;
    assert_refused(&other.call(Call { deadline, ..get("echo", 3) }).await);
    assert_eq!(stating.upstream.ran().len(), 1);
    // The next incarnation gets requests again.
    *stating.upstream.condition.lock().unwrap() = StatedCondition::default();
    stating.set_upstream_id("i-3").await;
    assert_eq!(other.call(get("echo", 4)).await.status.as_u16(), 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_upstream_gets_no_request_through_its_restarted_agent() {
    let (stating, other) = members_with(leaving()).await;
    route_only_to(&other, &stating).await;
    assert_eq!(other.call(get("echo", 1)).await.status.as_u16(), 200);
    let again = stating.restart().await;
    route_only_to(&again, &again).await;
    again.set_upstream_id("i-1").await;
    route_only_to(&other, &again).await;
    tokio::time::sleep(DRAIN_TIME).await;
    let deadline = Duration::from_millis(300);
    assert_refused(&other.call(Call { deadline, ..get("echo", 2) }).await);
    assert_eq!(stating.upstream.ran().len(), 1);
}

/// A late announcement has reached an agent that was started again, and nothing shows that the upstream still runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstream_that_has_not_confirmed_that_it_runs_gets_no_request() {
    for presence in
        [None, Some(Presence::Leaving), Some(Presence::Unhealthy), Some(Presence::Replaced)]
    {
        let mut agents = TestAgent::start_members(1).await;
        let mut agent = agents.pop().unwrap();
        *agent.upstream.presence.lock().unwrap() = presence;
        agent.set_upstream("i-1", false).await;
        let deadline = Duration::from_millis(300);
        assert_unreachable(&agent.call(Call { deadline, ..get("echo", 1) }).await);
        if presence.is_some() {
            assert_eq!(probed(&mut agent).await, presence);
        }
        assert!(agent.upstream.ran().is_empty());
        *agent.upstream.presence.lock().unwrap() = Some(Presence::Present);
        while probed(&mut agent).await != Some(Presence::Present) {}
        agent.set_upstream("i-1", true).await;
        assert_eq!(agent.call(get("echo", 2)).await.status.as_u16(), 200);
    }
}

/// Guards against an upstream that counts as alive although another one has been started in its place.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn confirmed_upstream_is_probed_when_another_one_announces_itself() {
    let mut agents = TestAgent::start_members(1).await;
    let mut agent = agents.pop().unwrap();
    agent.set_upstream("i-1", true).await;
    for presence in [Presence::Present, Presence::Replaced] {
        *agent.upstream.presence.lock().unwrap() = Some(presence);
        agent.gate.probe_upstream();
        assert_eq!(probed(&mut agent).await, Some(presence));
    }
}

/// Requests that were queued for an incarnation must not be sent once another one is bound that is not confirmed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queued_request_is_refused_once_an_unconfirmed_incarnation_is_bound() {
    let mut agents = TestAgent::start_members(1).await;
    let agent = agents.pop().unwrap();
    agent.set_upstream("i-1", true).await;
    let queued = async {
        agent.upstream.wait_started().await;
        agent.upstream.wait_started().await;
        agent.call(post("echo", 3)).await
    };
    let replaced = async {
        let is_queued = async {
            while agent.plane.queued() == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, is_queued).await.expect("no request is queued");
        agent.set_upstream("i-2", false).await;
        agent.upstream.release.add_permits(2);
    };
    let running = [agent.call(post("hold", 1)), agent.call(post("hold", 2))];
    let [first, second] = running;
    let (_, _, queued, ()) = tokio::join!(first, second, queued, replaced);
    assert_unreachable(&queued);
    assert_eq!(agent.upstream.ran().len(), 2);
}

/// Returns the next answer to a probe that the gate reports.
async fn probed(agent: &mut TestAgent) -> Option<Presence> {
    let presence = agent.report(|it| match it {
        Report::UpstreamProbed { presence, .. } => Some(*presence),
        _ => None,
    });
    Some(presence.await)
}

/// The upstream has announced its leaving to a process that has ended since, and its answers do not state it. A
/// late announcement as ready reaches the next process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstream_that_announced_its_leaving_gets_no_request_through_its_restarted_agent() {
    let (left, other) = members_with(StatedCondition::default()).await;
    route_only_to(&other, &left).await;
    left.announce_leaving().await;
    assert_eq!(other.call(get("echo", 1)).await.status.as_u16(), 200, "within the drain time");
    let again = left.restart().await;
    route_only_to(&again, &again).await;
    again.set_upstream_id("i-1").await;
    route_only_to(&other, &again).await;
    tokio::time::sleep(DRAIN_TIME).await;
    let deadline = Duration::from_millis(300);
    assert_refused(&other.call(Call { deadline, ..get("echo", 2) }).await);
    assert_eq!(left.upstream.ran().len(), 1);
}
