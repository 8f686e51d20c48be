//! Tests of non-idempotent requests in a service that is not sharded by key, while its members change.

use std::time::Duration;

use model::{Instance, RequestId};
use ownership::UpstreamState;
use tokio::time::sleep;

use crate::{forward::designated_member, snapshot::MemberRoute};

use super::fakes::{Call, TestAgent, check, document_text, get, parsed, post};

/// Lease in the documents of these tests.
const LEASE: Duration = Duration::from_millis(750);
/// Time after which a list has settled. Longer than a lease and the age of the resends.
const SETTLING_TIME: Duration = Duration::from_millis(1_200);

/// Returns the id of a request that `agent` is to run of all `members`.
fn id_designated_to(agent: &TestAgent, members: &[&TestAgent]) -> u128 {
    let route =
        |it: &&TestAgent| MemberRoute { instance: it.own.clone(), state: UpstreamState::Ready };
    let routes: Vec<MemberRoute> = members.iter().map(route).collect();
    let is_designated =
        |id: &u128| designated_member(&routes, RequestId(*id)).as_ref() == Some(&agent.own);
    (0..).find(is_designated).unwrap()
}

fn ran(agents: &[&TestAgent]) -> Vec<RequestId> {
    agents.iter().flat_map(|it| it.upstream.ran()).collect()
}

/// Publishes a list of members to an agent, with a lease that outlasts the test.
async fn route(agent: &TestAgent, members: &[&TestAgent]) {
    let text = document_text(false).replace("\"lease_ms\": 60000", "\"lease_ms\": 750");
    let members: Vec<&Instance> = members.iter().map(|it| &it.own).collect();
    agent.route_to_members_under(parsed(&text), &members).await;
}

async fn two_members() -> (TestAgent, TestAgent) {
    let (a, b) = (TestAgent::start("a").await, TestAgent::start("b").await);
    for agent in [&a, &b] {
        route(agent, &[&a, &b]).await;
    }
    (a, b)
}

fn resend(id: u128) -> Call<'static> {
    Call { age: Some(Duration::from_millis(60)), ..post("echo", id) }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resend_without_a_record_runs_once_the_list_has_settled() {
    let (a, b) = two_members().await;
    let id = id_designated_to(&b, &[&a, &b]);
    check(&b.call(resend(id)).await, 502, "unknown; reason=no-record");
    sleep(SETTLING_TIME).await;
    check(&a.call(resend(id)).await, 200, "answered");
    assert_eq!(ran(&[&a, &b]), [RequestId(id)]);
}

/// Guards against a member that was frozen and runs a request of that time, which another one has run: the list that
/// it had before is the one that it gets afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resend_is_not_run_by_a_member_whose_lease_was_interrupted() {
    let (a, b) = two_members().await;
    let id = id_designated_to(&b, &[&a, &b]);
    sleep(SETTLING_TIME).await;
    b.end_lease();
    route(&a, &[&a]).await;
    check(&a.call(post("echo", id)).await, 200, "answered");
    route(&a, &[&a, &b]).await;
    b.renew_membership(LEASE);
    let renewing = async {
        sleep(Duration::from_millis(50)).await;
        b.renew_membership(LEASE);
    };
    let (answer, ()) = tokio::join!(b.call(resend(id)), renewing);
    check(&answer, 502, "unknown; reason=no-record");
    assert_eq!(ran(&[&a, &b]), [RequestId(id)]);
}

/// Guards against a member that has not received the latest list yet, and runs a request that a new member has run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resend_waits_until_the_list_is_confirmed_after_its_arrival() {
    let (a, b) = two_members().await;
    let id = id_designated_to(&a, &[&a, &b]);
    route(&b, &[&b]).await;
    b.renew_membership(LEASE);
    sleep(SETTLING_TIME - LEASE).await;
    b.renew_membership(LEASE);
    sleep(LEASE - Duration::from_millis(50)).await;
    check(&a.call(post("echo", id)).await, 200, "answered");
    let renewing = async {
        sleep(Duration::from_millis(20)).await;
        route(&b, &[&a, &b]).await;
    };
    let (answer, ()) = tokio::join!(b.call(resend(id)), renewing);
    check(&answer, 502, "unknown; reason=no-record");
    assert_eq!(ran(&[&a, &b]), [RequestId(id)]);
}

/// Guards against a member that was frozen and runs requests that others have been designated for meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_is_recorded_is_refused_without_a_lease() {
    let (a, b) = two_members().await;
    let id = id_designated_to(&b, &[&a, &b]);
    b.end_lease();
    let deadline = Duration::from_millis(300);
    let answer = b.call(Call { deadline, ..post("echo", id) }).await;
    check(&answer, 503, "not-run; reason=no-owner");
    assert!(ran(&[&a, &b]).is_empty());
    check(&b.call(get("echo", id)).await, 200, "answered");
}
