//! The graceful stop.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::fakes::{TestAgent, WAIT_TIMEOUT, check, post};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_cuts_off_nothing() {
    let (a, b) = (TestAgent::start("a").await, TestAgent::start("b").await);
    a.route_to(&b.own, 1).await;
    b.route_to(&b.own, 1).await;
    b.grant_all(1);
    let mut idle = TcpStream::connect(a.caller_address).await.unwrap();
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
    tokio::time::timeout(WAIT_TIMEOUT, a.plane.drain()).await.unwrap();
    tokio::time::timeout(WAIT_TIMEOUT, b.plane.drain()).await.unwrap();
    // A connection made before is told; a later one is not made.
    idle.write_all(b"POST /svc/echo HTTP/1.1\r\nhost: x\r\nx-key: k\r\n\r\n").await.unwrap();
    let mut told = String::new();
    tokio::time::timeout(WAIT_TIMEOUT, idle.read_to_string(&mut told)).await.unwrap().unwrap();
    assert!(told.contains("not-run; reason=draining"), "{told}");
    assert!(TcpStream::connect(a.caller_address).await.is_err());
    assert_eq!(b.upstream.ran().len(), 1);
}

/// What is left after that has to do for handing over and for the longest request.
#[test]
fn an_instance_serves_on_for_a_part_of_its_stop() {
    let ms = Duration::from_millis;
    assert_eq!(crate::run::serving_time_before_handover(ms(5_500)), ms(1_750));
    assert_eq!(crate::run::serving_time_before_handover(ms(60_000)), ms(1_750));
    assert_eq!(crate::run::serving_time_before_handover(ms(1_000)), ms(330));
}
