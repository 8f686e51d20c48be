//! Tests of callers that send the head of a request slowly or without end.

use std::time::Duration;

use body_budget::BodyKind;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{advance, pause, resume, sleep, timeout},
};

use super::fakes::{BODIES_BYTES_MAX, TestAgent, WAIT_TIMEOUT};

const REQUEST: &[u8] = b"GET /svc/echo HTTP/1.1\r\nhost: x\r\nx-key: k\r\n\r\n";
/// More than an agent and the sockets may take in before the connection ends.
const SENT_BYTES_MAX: usize = 32 << 20;

async fn owner() -> TestAgent {
    let agent = TestAgent::start("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.grant_all(1);
    agent
}

async fn connect(agent: &TestAgent) -> TcpStream {
    TcpStream::connect(agent.caller_address).await.unwrap()
}

/// Returns the next bytes that the agent sends; none if it has closed the connection.
async fn read(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 4096];
    let len = timeout(WAIT_TIMEOUT, stream.read(&mut bytes)).await.expect("no bytes in time");
    String::from_utf8_lossy(&bytes[..len.unwrap_or(0)]).into_owned()
}

/// Lets time pass for the agent, which has read all that was sent before.
async fn pass(time: Duration) {
    sleep(Duration::from_millis(50)).await;
    pause();
    advance(time).await;
    resume();
    // Lets the agent's timers fire before anything else is sent.
    sleep(Duration::from_millis(50)).await;
}

/// Guards against connections that are held open by an incomplete head.
#[tokio::test]
async fn connection_with_an_overdue_head_is_closed() {
    let agent = owner().await;
    for before in [&b""[..], REQUEST] {
        let mut stream = connect(&agent).await;
        if !before.is_empty() {
            stream.write_all(before).await.unwrap();
            assert!(read(&mut stream).await.starts_with("HTTP/1.1 200 "));
        }
        stream.write_all(b"GET /svc/echo HTTP/1.1\r\nhost").await.unwrap();
        pass(Duration::from_secs(10)).await;
        stream.write_all(b": x").await.unwrap();
        pass(Duration::from_secs(10)).await;
        assert_eq!(read(&mut stream).await, "");
    }
}

/// Guards against a limit for heads that ends idle connections, or requests that take long.
#[tokio::test]
async fn idle_connection_is_not_closed_as_one_with_an_overdue_head() {
    let agent = owner().await;
    let mut stream = connect(&agent).await;
    for _ in 0..2 {
        pass(Duration::from_secs(60)).await;
        stream.write_all(REQUEST).await.unwrap();
        assert!(read(&mut stream).await.starts_with("HTTP/1.1 200 "));
    }
}

/// Guards against bytes of a body that are taken for the begin of a head: the connection was closed while it was idle.
#[tokio::test]
async fn idle_connection_with_a_discarded_body_is_not_closed_as_one_with_an_overdue_head() {
    let agent = owner().await;
    let held = agent.bodies.hold(BodyKind::Request, BODIES_BYTES_MAX);
    let mut stream = connect(&agent).await;
    let head = "POST /svc/echo HTTP/1.1\r\nhost: x\r\nx-key: k\r\ncontent-length: 1000000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    assert!(read(&mut stream).await.starts_with("HTTP/1.1 503 "));
    stream.write_all(&vec![7; 1_000_000]).await.unwrap();
    pass(Duration::from_secs(20)).await;
    drop(held);
    stream.write_all(REQUEST).await.unwrap();
    assert!(read(&mut stream).await.starts_with("HTTP/1.1 200 "));
}

/// Guards against a head without end that is taken into memory.
#[tokio::test]
async fn head_without_end_ends_at_its_limit_and_closes_the_connection() {
    let agent = owner().await;
    for (first, repeated) in
        [("GET /svc/echo HTTP/1.1\r\n", "x-a: b\r\n"), ("GET /svc/echo?", "x"), ("", "\r\n")]
    {
        let mut stream = connect(&agent).await;
        stream.write_all(first.as_bytes()).await.unwrap();
        let block = repeated.repeat(4096);
        let mut sent = 0;
        let sending = async {
            while sent <= SENT_BYTES_MAX && stream.write_all(block.as_bytes()).await.is_ok() {
                sent += block.len();
            }
        };
        timeout(WAIT_TIMEOUT, sending).await.expect("the connection is neither read nor closed");
        assert!(sent <= SENT_BYTES_MAX, "{repeated:?}: {sent} bytes were taken in");
    }
    assert!(agent.upstream.ran().is_empty());
}
