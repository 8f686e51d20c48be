//! Instances that have left their group, and upstreams that state that they are leaving.

use std::{sync::Arc, time::Duration};

use upstream::Presence;

use crate::{
    control::tests::{
        agent::{Agent, UPSTREAM_START_MS, announcement, wait_until},
        documents::DOCUMENT,
        platform::FakeStore,
    },
    report::Announcement,
    snapshot::LeaveReason,
};

/// The only instance of a service leaves its group while its process still drains, and another
/// instance starts. An agent of another service, which only knows the first instance, must find
/// the second one. It could not if the first instance still answered queries for routes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_has_left_its_group_does_not_send_requests_to_itself() {
    let platform = Arc::new(FakeStore::new());
    platform.put("services/standings", DOCUMENT);
    let mut first = Agent::start("standings-1", &platform, &[]).await;
    let observer = Agent::start_of("lapboard", "lapboard-1", &platform, &[]).await;
    first.wait_version(model::ConfigVersion(1)).await;
    observer.request_service();
    observer.wait_routes_to(&first.own).await;
    first.leave().await;
    let second = Agent::start("standings-2", &platform, &[]).await;
    observer.wait_routes_to(&second.own).await;
    first.kill();
    second.kill();
    observer.kill();
}

/// The statement binds one incarnation: it outlasts announcements of the same one as ready, and
/// ends with the next one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_states_that_it_is_leaving_gives_up_its_keys_for_good() {
    let platform = Arc::new(FakeStore::new());
    platform.put("services/standings", DOCUMENT);
    let first = Agent::start("standings-1", &platform, &[]).await;
    let second = Agent::start("standings-2", &platform, &[]).await;
    wait_until("keys of both", || first.owns_slots() && second.owns_slots()).await;
    let changed = |slots| Announcement { slots, ..announcement() };

    first.report_leaving(UPSTREAM_START_MS - 1);
    first.announce(&changed(11)).await;
    assert_eq!(first.leaving(), None, "the statement of an earlier incarnation");

    first.report_leaving(UPSTREAM_START_MS);
    wait_until("keys of the other only", || {
        let owners = second.owners_of_slots();
        owners.contains(&second.own.name) && !owners.contains(&first.own.name)
    })
    .await;
    first.announce(&changed(10)).await;
    assert_eq!(first.leaving(), Some(LeaveReason::Stopping), "after it announced itself as ready");

    let started_ms = Some(UPSTREAM_START_MS + 1);
    first.announce(&Announcement { incarnation_start_ms: started_ms, ..changed(9) }).await;
    assert_eq!(first.leaving(), None, "the next incarnation");
    wait_until("keys of both", || first.owns_slots() && second.owns_slots()).await;
    first.kill();
    second.kill();
}

/// An agent that was started again does not know what it acknowledged before. A late announcement must not make the
/// upstream ready unless its answer to a probe shows that it is not leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_answers_its_first_probe_as_leaving_owns_no_keys() {
    let platform = Arc::new(FakeStore::new());
    platform.put("services/standings", DOCUMENT);
    let agent = Agent::start_unannounced("standings-1", &platform).await;
    agent.wait_version(model::ConfigVersion(1)).await;
    agent.announce_unprobed(announcement());
    wait_until("an upstream", || agent.upstream_started_ms().is_some()).await;
    assert!(!agent.is_upstream_confirmed(), "before its answer");
    agent.answer_probe(&announcement(), Presence::Leaving);
    wait_until("the leaving", || agent.leaving() == Some(LeaveReason::Stopping)).await;
    let start_ms = Some(UPSTREAM_START_MS + 1);
    let next = Announcement { incarnation_start_ms: start_ms, ..announcement() };
    agent.announce_unprobed(next.clone());
    wait_until("the next incarnation", || agent.leaving().is_none()).await;
    assert!(!agent.owns_slots(), "no incarnation was confirmed");
    agent.answer_probe(&next, Presence::Present);
    wait_until("keys", || agent.owns_slots()).await;
    assert!(agent.is_upstream_confirmed());
    agent.kill();
}

/// An agent that was started again acknowledges a leaving before it has heard the upstream. A late announcement
/// of this incarnation must not make it ready again, or it is sent requests that are lost when it exits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_left_before_its_first_announcement_is_never_published() {
    let platform = Arc::new(FakeStore::new());
    platform.put("services/standings", DOCUMENT);
    let agent = Agent::start_unannounced("standings-1", &platform).await;
    agent.report_leaving(UPSTREAM_START_MS);
    agent.announce_once(announcement());
    let started_ms = Some(UPSTREAM_START_MS + 1);
    let published = wait_until("an upstream", || agent.upstream_started_ms().is_some());
    let next = Announcement { incarnation_start_ms: started_ms, ..announcement() };
    // Gives a faulty control thread the time to publish the incarnation that has left.
    let announced = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        agent.announce_once(next);
    };
    tokio::join!(published, announced);
    assert_eq!(agent.upstream_started_ms(), started_ms, "the next incarnation only");
    assert_eq!(agent.leaving(), None, "the next incarnation");
    agent.kill();
}
