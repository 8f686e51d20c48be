//! What becomes of the keys of a zone that is closed.

use std::sync::Arc;

use crate::control::tests::{
    documents::DOCUMENT,
    fleet::{Agent, wait},
    platform::FakeStore,
};

/// Two instances in two zones share the keys of a service. The zone of one is closed, and opened again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_closed_zone_gives_up_its_keys_and_gets_some_again_once_it_is_open() {
    let platform = Arc::new(FakeStore::new());
    platform.put("services/standings", DOCUMENT);
    let first = Agent::start("standings-1", &platform, &[]).await;
    first.wait_version(model::ConfigVersion(1)).await;
    let second =
        Agent::start_in("drivers-stand", "standings-2", &platform, &[first.own.control]).await;
    wait("both to own keys", || first.owners_of_slots().len() == 2).await;
    platform.put("zones/pitlane", r#"{"closed": true}"#);
    wait("the other zone to own all", || {
        let owners = first.owners_of_slots();
        owners.len() == 1 && owners.contains(&second.own.name)
    })
    .await;
    wait("the news at the other", || second.owners_of_slots().len() == 1).await;
    platform.put("zones/pitlane", r#"{"closed": false}"#);
    wait("both to own keys again", || second.owners_of_slots().len() == 2).await;
    first.kill();
    second.kill();
}
