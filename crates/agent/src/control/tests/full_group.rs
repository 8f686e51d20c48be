//! Instances of a service whose first group is full.

use std::sync::Arc;

use crate::control::tests::{
    agent::{Agent, wait_until},
    documents::DOCUMENT,
    platform::FakeStore,
};

/// Puts a document in the store whose group has room for two members.
fn store_with_small_group() -> Arc<FakeStore> {
    let platform = Arc::new(FakeStore::new());
    let document = DOCUMENT.trim_end().trim_end_matches('}');
    let document = format!("{document}, \"ownership\": {{ \"members_max\": 2 }} }}");
    platform.put("services/standings", &document);
    platform
}

/// The callers of a refused instance are served by the members, as those of any other service's instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_instance_routes_to_the_members_of_its_group() {
    let platform = store_with_small_group();
    let members = [
        Agent::start("standings-1", &platform, &[]).await,
        Agent::start("standings-2", &platform, &[]).await,
    ];
    for member in &members {
        wait_until("a member that owns slots", || member.owns_slots()).await;
    }
    let refused = Agent::start("standings-3", &platform, &[]).await;
    for member in &members {
        refused.wait_routes_to(&member.own).await;
    }
    assert!(!refused.owns_slots());
    // It follows later changes of owners, and becomes a member itself once there is room.
    let [first, second] = members;
    let lost = first.own.name.clone();
    first.stop().await;
    wait_until("routes without the lost member", || !refused.owners_of_slots().contains(&lost))
        .await;
    wait_until("a place in the group", || refused.owns_slots()).await;
    refused.kill();
    second.kill();
}

const UNKEYED_DOCUMENT: &str = r#"{
    "service": "standings", "team": "club", "keyed": false,
    "routes": [{ "path": "/*", "class": "lap", "idempotent": true }],
    "classes": [{ "name": "lap", "weight": 1 }],
    "ownership": { "members_max": 2 }
}"#;

/// Instances of a service that is not sharded by key form further groups, and all of them get requests: of each other's
/// callers and of those of other services.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instances_beyond_a_full_group_form_another_one() {
    let platform = Arc::new(FakeStore::new());
    platform.put("services/standings", UNKEYED_DOCUMENT);
    let mut members = Vec::new();
    for name in ["standings-1", "standings-2", "standings-3", "standings-4", "standings-5"] {
        members.push(Agent::start(name, &platform, &[]).await);
    }
    let observer = Agent::start_of("lapboard", "lapboard-1", &platform, &[]).await;
    for member in &members {
        for other in &members {
            member.wait_routes_to(&other.own).await;
        }
        observer.request_service();
        observer.wait_routes_to(&member.own).await;
    }
    assert!(platform.text("coordinators/standings/2").is_some(), "three groups of two");
    members.into_iter().for_each(Agent::kill);
    observer.kill();
}
