//! Queries for routes to an instance that has left its group.

use std::sync::Arc;

use crate::control::tests::{agent::Agent, documents::DOCUMENT, platform::FakeStore};

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
