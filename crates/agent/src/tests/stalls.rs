//! Tests of requests that wait unread while the process of an agent is stalled or stops.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use ownership::GateCommand;

use super::fakes::{TestAgent, WAIT_TIMEOUT, check, post};

const STALL: Duration = Duration::from_millis(400);
const REQUEST: &[u8] = b"POST /svc/echo HTTP/1.1\r\nhost: x\r\nx-key: car-7\r\n\
    x-request-id: 7\r\ncontent-length: 0\r\n\r\n";

async fn owner() -> TestAgent {
    let agent = TestAgent::start("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.settle(1).await;
    // Stalls are detected once there are requests that are recorded.
    check(&agent.call(post("echo", 1)).await, 200, "answered");
    agent
}

/// Connects, and lets the agent accept the connection.
async fn connect(agent: &TestAgent) -> TcpStream {
    let stream = TcpStream::connect(agent.caller_address).unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    stream
}

fn read_head(mut stream: TcpStream) -> String {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut head = vec![0; 4096];
    let len = stream.read(&mut head).unwrap();
    String::from_utf8_lossy(&head[..len]).into_owned()
}

/// Sends a request, loses the grant of its key and gets it again, and only then lets the runtime of the test, which is
/// that of the agent, run again. Returns the head of the response.
async fn response_after_a_stall(mut stream: TcpStream, agent: &TestAgent) -> String {
    stream.write_all(REQUEST).unwrap();
    std::thread::sleep(STALL);
    agent.gate.apply(&[GateCommand::DropAll]);
    agent.grant_all(2);
    tokio::task::spawn_blocking(move || read_head(stream)).await.unwrap()
}

/// Guards against a first sending that waited unread while its resend was run elsewhere, and is taken for a new request
/// by an owner without the record of it.
#[tokio::test]
async fn a_request_that_waited_unread_is_not_run_by_a_later_owner() {
    let agent = owner().await;
    let stream = connect(&agent).await;
    let response = response_after_a_stall(stream, &agent).await;
    assert!(response.contains("not-run; reason=no-owner"), "{response}");
    assert_eq!(agent.upstream.ran().len(), 1);
}

/// Guards against the same on a connection that waited to be accepted.
#[tokio::test]
async fn a_request_on_a_connection_that_waited_to_be_accepted_is_not_run_by_a_later_owner() {
    let agent = owner().await;
    let stream = TcpStream::connect(agent.caller_address).unwrap();
    let response = response_after_a_stall(stream, &agent).await;
    assert!(response.contains("not-run; reason=no-owner"), "{response}");
    assert_eq!(agent.upstream.ran().len(), 1);
}

/// Guards against requests that are refused because of a stall before they were sent.
#[tokio::test]
async fn a_request_after_a_stall_is_run() {
    let agent = owner().await;
    let mut stream = connect(&agent).await;
    std::thread::sleep(STALL);
    tokio::time::sleep(Duration::from_millis(100)).await;
    agent.gate.apply(&[GateCommand::DropAll]);
    agent.grant_all(2);
    stream.write_all(REQUEST).unwrap();
    let response = tokio::task::spawn_blocking(move || read_head(stream)).await.unwrap();
    assert!(response.contains("answered"), "{response}");
}

/// Guards against a planned stop that resets a connection whose request has arrived but was not read yet.
#[tokio::test]
async fn a_request_that_arrived_before_the_end_of_a_stop_gets_a_response() {
    let agent = owner().await;
    let mut stream = connect(&agent).await;
    agent.plane.leave();
    stream.write_all(REQUEST).unwrap();
    let reading = tokio::task::spawn_blocking(move || read_head(stream));
    agent.plane.end().await.unwrap();
    let response = reading.await.unwrap();
    assert!(response.starts_with("HTTP/1.1 "), "{response:?}");
    assert!(response.contains("connection: close"), "{response}");
}
