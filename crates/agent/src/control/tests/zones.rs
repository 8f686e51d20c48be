//! The keys of instances in a closed zone.

use std::sync::Arc;

use crate::control::tests::{
    agent::{Agent, wait_until},
    documents::DOCUMENT,
    platform::FakeStore,
};

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
