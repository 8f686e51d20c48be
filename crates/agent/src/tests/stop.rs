//! Tests of the graceful stop.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::fakes::{TestAgent, WAIT_TIMEOUT, check, post};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_waits_for_requests_in_flight() {
    let (a, b) = (TestAgent::start("a").await, TestAgent::start("b").await);
    a.route_to(&b.own, 1).await;
    b.route_to(&b.own, 1).await;
    b.grant_all(1);
    let mut idle = TcpStream::connect(a.caller_address).await.unwrap();
    a.plane.leave();
    b.plane.leave();
    let (answer, ()) = tokio::join!(a.call(post("hold", 1)), async {
        b.upstream.wait_started().await;
        // Both agents stop at the same time while a request of one runs at the other.
        let drains = async { tokio::join!(a.plane.drain(), b.plane.drain()) };
        let early_drain = tokio::time::timeout(Duration::from_millis(50), drains).await;
        assert!(early_drain.is_err(), "drained with a request in flight");
        b.upstream.release.add_permits(1);
    });
    check(&answer, 200, "answered");
    assert_eq!(answer.headers.get("connection").unwrap(), "close");
    tokio::time::timeout(WAIT_TIMEOUT, a.plane.drain()).await.unwrap();
    tokio::time::timeout(WAIT_TIMEOUT, b.plane.drain()).await.unwrap();
    // A request on an earlier connection is refused; a new connection is not accepted.
    idle.write_all(b"POST /svc/echo HTTP/1.1\r\nhost: x\r\nx-key: k\r\n\r\n").await.unwrap();
    let mut response = String::new();
    tokio::time::timeout(WAIT_TIMEOUT, idle.read_to_string(&mut response)).await.unwrap().unwrap();
    assert!(response.contains("not-run; reason=draining"), "{response}");
    assert!(TcpStream::connect(a.caller_address).await.is_err());
    assert_eq!(b.upstream.ran().len(), 1);
}

/// The rest of the time limit must suffice for the handover and for the longest request.
#[test]
fn serving_time_before_the_handover_is_bounded() {
    let ms = Duration::from_millis;
    assert_eq!(crate::run::serving_time_before_handover(ms(5_500)), ms(1_750));
    assert_eq!(crate::run::serving_time_before_handover(ms(60_000)), ms(1_750));
    assert_eq!(crate::run::serving_time_before_handover(ms(1_000)), ms(330));
}
