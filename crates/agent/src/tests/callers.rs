//! Tests of the responses to callers.

use std::time::Duration;

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::fakes::{Call, TestAgent, WAIT_TIMEOUT, check, get, post};

async fn owner() -> TestAgent {
    let agent = TestAgent::start("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.grant_all(1);
    agent
}

/// Sends raw bytes and returns the status line of the answer.
async fn send_raw(agent: &TestAgent, request: &str) -> String {
    let mut stream = TcpStream::connect(agent.caller_address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    while !answer.windows(2).any(|it| it == b"\r\n") {
        let read = timeout(WAIT_TIMEOUT, stream.read_buf(&mut answer)).await.unwrap().unwrap();
        assert_ne!(read, 0, "the agent closed the connection");
    }
    String::from_utf8_lossy(&answer).lines().next().unwrap().to_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn local_owner_answers_with_body_id_and_token() {
    let agent = owner().await;
    let body = Bytes::from_static(b"lap 12");
    let answer = agent.call(Call { body: body.clone(), ..post("echo", 0xbeef) }).await;
    check(&answer, 200, "answered");
    assert_eq!(answer.body, body);
    assert_eq!(answer.headers.get("x-request-id").unwrap(), "beef");
    assert_eq!(agent.upstream.tokens.lock().unwrap()[0], Some(super::fakes::token(1)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unroutable_or_invalid_requests_are_refused() {
    let agent = owner().await;
    for (request, status) in [
        ("GET / HTTP/1.1\r\nhost: x\r\n\r\n", "404"),
        ("GET /control/health HTTP/1.1\r\nhost: x\r\n\r\n", "404"),
        ("GET /svc/a/b HTTP/1.1\r\nhost: x\r\nx-key: k\r\n\r\n", "404"),
        ("GET /svc/echo HTTP/1.1\r\nhost: x\r\n\r\n", "400"),
        ("GET /svc/echo HTTP/1.1\r\nhost: x\r\nx-key: k\r\nx-request-id: zz\r\n\r\n", "400"),
        ("GET /svc/echo HTTP/1.1\r\nhost: x\r\nx-key: k\r\nx-deadline-ms: -1\r\n\r\n", "400"),
        (
            "POST /svc/echo HTTP/1.1\r\nhost: x\r\nx-key: k\r\ncontent-length: 4194305\r\n\r\n",
            "413",
        ),
    ] {
        let status_line = send_raw(&agent, request).await;
        assert!(status_line.contains(status), "{request:?}: {status_line}");
    }
    let long = format!("GET /svc/echo HTTP/1.1\r\nhost: x\r\nx-a: {}\r\n\r\n", "a".repeat(20_000));
    assert!(send_raw(&agent, &long).await.contains("431"));
    assert!(agent.upstream.ran().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exceeded_deadline_is_unknown_and_cancels_the_request() {
    let agent = owner().await;
    let deadline = Duration::from_millis(100);
    check(
        &agent.call(Call { deadline, ..get("hold", 1) }).await,
        504,
        "unknown; reason=deadline-exceeded",
    );
    while agent.upstream.cancelled.lock().unwrap().is_empty() {
        tokio::task::yield_now().await;
    }
    // The upstream's slots are free again.
    for id in 2..5 {
        check(&agent.call(get("echo", id)).await, 200, "answered");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closed_connection_cancels_the_request_and_frees_its_slot() {
    let agent = owner().await;
    for id in 1..3 {
        let mut stream = TcpStream::connect(agent.caller_address).await.unwrap();
        let request =
            format!("GET /svc/hold HTTP/1.1\r\nhost: x\r\nx-key: k\r\nx-request-id: {id}\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        agent.upstream.wait_started().await;
        drop(stream);
    }
    let cancelled = || agent.upstream.cancelled.lock().unwrap().clone();
    while cancelled().len() < 2 {
        tokio::task::yield_now().await;
    }
    let mut cancelled = cancelled();
    cancelled.sort();
    assert_eq!(cancelled, [model::RequestId(1), model::RequestId(2)]);
    // Both slots of the upstream were occupied and are free again.
    check(&agent.call(get("echo", 3)).await, 200, "answered");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_cannot_meet_its_deadline_is_refused() {
    let agent = owner().await;
    let mut held = Vec::new();
    for id in 1..3 {
        let call = agent.caller.clone();
        let request = keyed_request("hold", id);
        held.push(tokio::spawn(async move { upstream::Upstream::call(&call, request).await }));
        agent.upstream.wait_started().await;
    }
    // Less time than the expected service time of this class.
    let deadline = Duration::from_millis(5);
    let answer = agent.call(Call { deadline, ..get("echo", 3) }).await;
    assert_eq!(answer.status.as_u16(), 503, "{answer:?}");
    assert!(agent.upstream.ran().len() == 2);
    agent.upstream.release.add_permits(2);
    for it in held {
        assert_eq!(it.await.unwrap().unwrap().status.as_u16(), 200);
    }
}

#[tokio::test]
async fn refused_resend_is_unknown_rather_than_not_run() {
    let agent = owner().await;
    agent.end_lease();
    let deadline = Duration::from_millis(50);
    let first = agent.call(Call { deadline, ..get("echo", 1) }).await;
    assert_eq!(first.headers["x-pomelohill-outcome"], "not-run; reason=no-owner");
    let age = Some(Duration::from_millis(700));
    let resend = agent.call(Call { deadline, age, ..get("echo", 1) }).await;
    assert_eq!(resend.headers["x-pomelohill-outcome"], "unknown; reason=no-record");
    assert!(resend.headers.contains_key("retry-after-ms"));
}

fn keyed_request(op: &str, id: u128) -> upstream::Request {
    let mut headers = http::HeaderMap::new();
    headers.insert("x-key", http::HeaderValue::from_static("car-7"));
    upstream::Request {
        method: http::Method::GET,
        path: format!("/svc/{op}").try_into().unwrap(),
        headers,
        body: Bytes::new(),
        id: model::RequestId(id),
        token: None,
        remaining: WAIT_TIMEOUT / 2,
        bounds: None,
    }
}
