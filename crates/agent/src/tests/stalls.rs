//! Tests of requests that wait unread while the process of an agent is stalled.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use ownership::GateCommand;

use super::fakes::{TestAgent, WAIT_TIMEOUT, check, post};

const STALL: Duration = Duration::from_millis(400);

/// Sends a request on a connection, loses the grant of its key and gets it again, and only then lets the runtime of the
/// test, which is that of the agent, run again. Returns the head of the response.
async fn response_after_a_stall(mut stream: TcpStream, agent: &TestAgent) -> String {
    let request = "POST /svc/echo HTTP/1.1\r\nhost: x\r\nx-key: car-7\r\nx-request-id: 7\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    std::thread::sleep(STALL);
    agent.gate.apply(&[GateCommand::DropAll]);
    agent.grant_all(2);
    let reading = tokio::task::spawn_blocking(move || {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let mut head = vec![0; 4096];
        let len = stream.read(&mut head).unwrap();
        String::from_utf8_lossy(&head[..len]).into_owned()
    });
    reading.await.unwrap()
}

async fn owner() -> TestAgent {
    let agent = TestAgent::start("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.settle(1).await;
    // Stalls are detected once there are requests that are recorded.
    check(&agent.call(post("echo", 1)).await, 200, "answered");
    agent
}

/// Guards against a first sending that waited unread while its resend was run elsewhere, and is taken for a new request
/// by an owner without the record of it.
#[tokio::test]
async fn a_request_that_waited_unread_is_not_run_by_a_later_owner() {
    let agent = owner().await;
    let stream = TcpStream::connect(agent.caller_address).unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
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
    let mut streams: Vec<TcpStream> =
        (0..2).map(|_| TcpStream::connect(agent.caller_address).unwrap()).collect();
    tokio::time::sleep(Duration::from_millis(50)).await;
    std::thread::sleep(STALL);
    tokio::time::sleep(Duration::from_millis(100)).await;
    agent.gate.apply(&[GateCommand::DropAll]);
    agent.grant_all(2);
    let request = "POST /svc/echo HTTP/1.1\r\nhost: x\r\nx-key: car-7\r\nx-request-id: 7\r\ncontent-length: 0\r\n\r\n";
    let mut stream = streams.pop().unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let reading = tokio::task::spawn_blocking(move || {
        let mut head = vec![0; 4096];
        let len = stream.read(&mut head).unwrap();
        String::from_utf8_lossy(&head[..len]).into_owned()
    });
    let response = reading.await.unwrap();
    assert!(response.contains("answered"), "{response}");
}
