//! The keys of instances in a closed zone.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use crate::control::tests::{
    agent::{Agent, wait_until},
    documents::DOCUMENT,
    platform::FakeStore,
};
use crate::snapshot::LeaveReason;

/// Two instances in two zones share the keys of a service. The zone of the first is closed and then
/// opened again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_closed_zone_releases_its_keys_and_receives_keys_again_once_opened() {
    let platform = Arc::new(FakeStore::new());
    platform.put("services/standings", DOCUMENT);
    let first = Agent::start("standings-1", &platform, &[]).await;
    first.wait_version(model::ConfigVersion(1)).await;
    let second =
        Agent::start_in("drivers-stand", "standings-2", &platform, &[first.own.control]).await;
    wait_until("both instances to own keys", || first.owners_of_slots().len() == 2).await;
    platform.put("zones/pitlane", r#"{"closed": true}"#);
    wait_until("the other zone to own all keys", || {
        let owners = first.owners_of_slots();
        owners.len() == 1 && owners.contains(&second.own.name)
    })
    .await;
    wait_until("one owner at the second", || second.owners_of_slots().len() == 1).await;
    platform.put("zones/pitlane", r#"{"closed": false}"#);
    wait_until("both instances to own keys again", || second.owners_of_slots().len() == 2).await;
    first.kill();
    second.kill();
}

/// An agent that was started again beside an upstream in a closed zone must not send it requests before it has read
/// the closed zones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_is_not_published_before_the_closed_zones_are_read() {
    let platform = Arc::new(FakeStore::new());
    platform.put("zones/pitlane", r#"{"closed": true}"#);
    platform.is_down.store(true, Ordering::SeqCst);
    let agent = Agent::start_centrally_configured("standings-1", &platform, DOCUMENT).await;
    agent.wait_version(model::ConfigVersion(1)).await;
    // Gives a faulty control thread the time to publish the announced upstream.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(agent.upstream_started_ms(), None);
    platform.is_down.store(false, Ordering::SeqCst);
    wait_until("the upstream", || agent.upstream_started_ms().is_some()).await;
    assert_eq!(agent.leaving(), Some(LeaveReason::ZoneClosed));
    platform.put("zones/pitlane", r#"{"closed": false}"#);
    wait_until("keys", || agent.owns_slots()).await;
    agent.kill();
}

/// Documents that peers hand over are served while the store is unavailable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_counts_as_open_while_the_documents_come_from_peers_and_the_store_is_down() {
    let platform = Arc::new(FakeStore::new());
    platform.put("services/standings", DOCUMENT);
    let first = Agent::start("standings-1", &platform, &[]).await;
    first.wait_version(model::ConfigVersion(1)).await;
    wait_until("keys of the first", || first.owns_slots()).await;
    platform.is_down.store(true, Ordering::SeqCst);
    let second = Agent::start("standings-2", &platform, &[first.own.control]).await;
    wait_until("the upstream", || second.upstream_started_ms().is_some()).await;
    assert_eq!(second.leaving(), None);
    first.kill();
    second.kill();
}
