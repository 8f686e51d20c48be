//! Tests of the budget for bodies at an agent's sockets.

use std::{sync::Arc, time::Duration};

use body_budget::BodyKind;
use bytes::Bytes;
use model::RequestId;
use settings::ServiceDocument;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use super::fakes::{
    BODIES_BYTES_MAX, Call, TestAgent, WAIT_TIMEOUT, check, document_text, get, parsed, post,
};

const LARGE: usize = 4 << 20;
/// Leaves no room for a large body, but for small ones.
const HELD: usize = BODIES_BYTES_MAX - (6 << 20);

async fn owner() -> TestAgent {
    let agent = TestAgent::start("a").await;
    agent.route_to(&agent.own, 1).await;
    // Receiving a large body takes so long that the owner's records have to reach back further.
    agent.settle(1).await;
    agent
}

fn large(id: u128) -> Call<'static> {
    Call { body: vec![7; LARGE].into(), ..post("echo", id) }
}

/// A document with which a refused request is not sent again.
fn document_without_retries() -> Arc<ServiceDocument> {
    let limits = r#""retry_burst": 0, "queue_length_max": 64"#;
    parsed(&document_text(true).replace(r#""queue_length_max": 64"#, limits))
}

async fn wait_until_released(agent: &TestAgent) {
    let released = async {
        while agent.bodies.usage().bytes_held > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, released).await.expect("bodies are still held");
}

/// Guards against a process that exceeds its memory because nothing bounds its bodies together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_without_room_is_refused_as_not_run_and_small_ones_are_served() {
    let agent = owner().await;
    let held = agent.bodies.hold(BodyKind::Request, HELD);
    let refused = agent.call(large(1)).await;
    check(&refused, 503, "not-run; reason=overloaded");
    assert!(refused.headers.contains_key("retry-after"), "{refused:?}");
    assert!(agent.upstream.ran().is_empty());
    let small = Bytes::from(vec![7; 10_000]);
    check(&agent.call(Call { body: small, ..post("echo", 2) }).await, 200, "answered");
    drop(held);
    let answer = agent.call(large(1)).await;
    check(&answer, 200, "answered");
    assert_eq!(answer.body.len(), LARGE);
    assert_eq!(agent.bodies.usage().refused_requests, 1);
    assert!(agent.bodies.usage().bytes_held_max >= HELD);
}

/// The request may have run when it was sent before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_without_room_has_an_unknown_outcome() {
    let agent = owner().await;
    let _held = agent.bodies.hold(BodyKind::Request, HELD);
    let age = Some(Duration::from_millis(50));
    let answer = agent.call(Call { age, ..large(1) }).await;
    check(&answer, 502, "unknown; reason=no-record");
}

/// Guards against room that stays reserved after its request has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn room_is_free_again_when_a_request_ends() {
    let agent = owner().await;
    for id in 1..4 {
        // Not recorded, since idempotent requests have no records.
        let body = Bytes::from(vec![7; LARGE]);
        check(&agent.call(Call { body, ..get("echo", id) }).await, 200, "answered");
    }
    wait_until_released(&agent).await;
    let usage = agent.bodies.usage();
    assert!((LARGE..3 * LARGE).contains(&usage.bytes_held_max), "{usage:?}");
}

async fn read_response(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    while !response.ends_with(b"\n") || !response.windows(4).any(|it| it == b"\r\n\r\n") {
        let read = timeout(WAIT_TIMEOUT, stream.read_buf(&mut response)).await.unwrap().unwrap();
        assert_ne!(read, 0, "the agent closed the connection");
    }
    String::from_utf8(response).unwrap()
}

/// Guards against a refusal that is lost because the connection is reset under the unread body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_sends_its_whole_body_first_gets_the_refusal() {
    for framing in ["content-length: 4194304", "transfer-encoding: chunked"] {
        let agent = owner().await;
        let held = agent.bodies.hold(BodyKind::Request, HELD);
        let mut stream = TcpStream::connect(agent.caller_address).await.unwrap();
        let head = format!("POST /svc/echo HTTP/1.1\r\nhost: x\r\nx-key: k\r\n{framing}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        match framing {
            "transfer-encoding: chunked" => {
                stream.write_all(b"400000\r\n").await.unwrap();
                stream.write_all(&vec![7; LARGE]).await.unwrap();
                stream.write_all(b"\r\n0\r\n\r\n").await.unwrap();
            }
            _ => stream.write_all(&vec![7; LARGE]).await.unwrap(),
        }
        let response = read_response(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 503 "), "{framing}: {response}");
        drop(held);
        wait_until_released(&agent).await;
        // The rest of the body was discarded, so that the connection is usable.
        stream.write_all(b"GET /svc/echo HTTP/1.1\r\nhost: x\r\nx-key: k\r\n\r\n").await.unwrap();
        assert!(read_response_head(&mut stream).await.starts_with("HTTP/1.1 200 "), "{framing}");
        assert_eq!(agent.upstream.ran().len(), 1);
    }
}

async fn read_response_head(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    while !response.windows(4).any(|it| it == b"\r\n\r\n") {
        let read = timeout(WAIT_TIMEOUT, stream.read_buf(&mut response)).await.unwrap().unwrap();
        assert_ne!(read, 0, "the agent closed the connection");
    }
    String::from_utf8(response).unwrap()
}

/// Guards against callers that announce large bodies, send nothing and keep out all others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn room_of_a_body_that_is_not_sent_is_free_after_the_deadline() {
    let agent = owner().await;
    let mut stream = TcpStream::connect(agent.caller_address).await.unwrap();
    let head = "POST /svc/echo HTTP/1.1\r\nhost: x\r\nx-key: k\r\nx-deadline-ms: 100\r\n\
                content-length: 4194304\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let response = read_response(&mut stream).await;
    assert!(response.contains("not-run; reason=deadline-exceeded"), "{response}");
    assert_eq!(agent.bodies.usage().bytes_held_max, LARGE);
    wait_until_released(&agent).await;
}

/// Guards against a peer whose requests take an agent over its memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_from_a_peer_without_room_is_refused_as_not_run() {
    let (a, b) = (TestAgent::start("a").await, TestAgent::start("b").await);
    a.route_to_with(&b.own, 1, document_without_retries()).await;
    b.route_to(&b.own, 1).await;
    b.settle(1).await;
    let held = b.bodies.hold(BodyKind::Request, HELD);
    let refused = a.call(large(1)).await;
    check(&refused, 503, "not-run; reason=overloaded");
    assert!(refused.headers.contains_key("retry-after"), "{refused:?}");
    assert!(b.upstream.ran().is_empty());
    check(&a.call(post("echo", 2)).await, 200, "answered");
    drop(held);
    let answer = a.call(large(3)).await;
    check(&answer, 200, "answered");
    assert_eq!(answer.body.len(), LARGE);
    assert_eq!(b.upstream.ran(), [RequestId(2), RequestId(3)]);
    wait_until_released(&a).await;
}

/// A request that has run must not be reported as not run, even if its answer cannot be received.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_from_a_peer_without_room_leaves_the_outcome_unknown() {
    let (a, b) = (TestAgent::start("a").await, TestAgent::start("b").await);
    a.route_to(&b.own, 1).await;
    b.route_to(&b.own, 1).await;
    b.settle(1).await;
    // The answer has about 700 KB.
    let held = a.bodies.hold(BodyKind::Request, BODIES_BYTES_MAX - (500 << 10));
    check(&a.call(post("big", 1)).await, 502, "unknown; reason=broken-answer");
    assert_eq!(b.upstream.ran(), [RequestId(1)]);
    assert_eq!(a.bodies.usage().delayed_answers, 1);
    drop(held);
    check(&a.call(post("big", 2)).await, 200, "answered");
}
