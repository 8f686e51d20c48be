//! The graceful stop.

use std::time::Duration;

use super::fakes::{PATIENCE, TestAgent, check, post};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_cuts_off_nothing() {
    let (a, b) = (TestAgent::start("a").await, TestAgent::start("b").await);
    a.route_to(&b.own, 1).await;
    b.route_to(&b.own, 1).await;
    b.grant_all(1);
    a.plane.leave();
    b.plane.leave();
    let (answer, ()) = tokio::join!(a.call(post("hold", 1)), async {
        b.upstream.wait_started().await;
        // Both stop at once while a request of one is at the other.
        let drains = async { tokio::join!(a.plane.drain(), b.plane.drain()) };
        let early = tokio::time::timeout(Duration::from_millis(50), drains).await;
        assert!(early.is_err(), "drained with a request in flight");
        b.upstream.release.add_permits(1);
    });
    check(&answer, 200, "answered");
    assert_eq!(answer.headers.get("connection").unwrap(), "close");
    tokio::time::timeout(PATIENCE, a.plane.drain()).await.unwrap();
    tokio::time::timeout(PATIENCE, b.plane.drain()).await.unwrap();
    check(&a.call(post("echo", 2)).await, 503, "not-run; reason=draining");
    assert_eq!(b.upstream.ran().len(), 1);
}
