//! What an instance that has left its group says of it.

use std::sync::Arc;

use crate::control::tests::{documents::DOCUMENT, fleet::Agent, platform::FakeStore};

/// The only instance of a service leaves, and its process drains on. Another instance takes its place.
/// One of another service, which knows the first alone, asks it for routes: it has to find the second
/// though the first is still there to be asked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_has_left_sends_nobody_to_itself() {
    let platform = Arc::new(FakeStore::new());
    platform.put("services/standings", DOCUMENT);
    let mut first = Agent::start("standings-1", &platform, &[]).await;
    let observer = Agent::start_of("lapboard", "lapboard-1", &platform, &[]).await;
    first.wait_version(model::ConfigVersion(1)).await;
    observer.want_service();
    observer.wait_routes_to(&first.own).await;
    first.leave().await;
    let second = Agent::start("standings-2", &platform, &[]).await;
    observer.wait_routes_to(&second.own).await;
    first.kill();
    second.kill();
    observer.kill();
}
