//! Tests of HTTP pipelining: callers that send further requests before the first is answered.

use std::time::Duration;

use model::RequestId;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use super::fakes::{TestAgent, WAIT_TIMEOUT};

async fn owner() -> TestAgent {
    let agent = TestAgent::start("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.grant_all(1);
    agent
}

fn request(method: &str, op: &str, id: u128) -> String {
    format!("{method} /svc/{op} HTTP/1.1\r\nhost: x\r\nx-key: k\r\nx-request-id: {id:x}\r\n\r\n")
}

async fn connect(agent: &TestAgent, requests: &[String]) -> TcpStream {
    let mut stream = TcpStream::connect(agent.caller_address).await.unwrap();
    stream.write_all(requests.concat().as_bytes()).await.unwrap();
    stream
}

/// Reads until `count` answers have arrived. Returns the ids of the requests run, in the order of the answers.
async fn answers(stream: &mut TcpStream, count: usize) -> Vec<String> {
    let mut text = String::new();
    loop {
        let ran: Vec<String> =
            text.lines().filter_map(|it| it.strip_prefix("x-ran: ")).map(str::to_owned).collect();
        if ran.len() >= count {
            return ran;
        }
        let mut chunk = vec![0; 4096];
        let read = timeout(WAIT_TIMEOUT, stream.read(&mut chunk)).await.unwrap().unwrap();
        assert_ne!(read, 0, "the agent closed the connection after {text}");
        text.push_str(std::str::from_utf8(&chunk[..read]).unwrap());
    }
}

async fn wait_until(failure: &str, is_met: impl Fn() -> bool) {
    let waiting = async {
        while !is_met() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(WAIT_TIMEOUT, waiting).await.is_ok(), "{failure}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_requests_run_concurrently_and_are_answered_in_order() {
    let agent = owner().await;
    let requests = [request("GET", "hold", 1), request("GET", "echo", 2)];
    let mut stream = connect(&agent, &requests).await;
    wait_until("not both requests run", || agent.upstream.ran().len() == 2).await;
    agent.upstream.release.add_permits(1);
    assert_eq!(answers(&mut stream, 2).await, ["1", "2"]);
    assert_eq!(agent.upstream.ran().len(), 2, "a request ran twice");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_request_and_later_ones_run_in_turn() {
    let agent = owner().await;
    let requests =
        [request("GET", "hold", 1), request("POST", "hold", 2), request("GET", "echo", 3)];
    let mut stream = connect(&agent, &requests).await;
    agent.upstream.wait_started().await;
    // Without the barrier, the third request would have run by now.
    sleep(Duration::from_millis(50)).await;
    assert_eq!(agent.upstream.ran(), [RequestId(1)]);
    agent.upstream.release.add_permits(1);
    agent.upstream.wait_started().await;
    sleep(Duration::from_millis(50)).await;
    assert_eq!(agent.upstream.ran(), [RequestId(1), RequestId(2)]);
    agent.upstream.release.add_permits(1);
    assert_eq!(answers(&mut stream, 3).await, ["1", "2", "3"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closed_connection_cancels_all_its_requests() {
    let agent = owner().await;
    let stream = connect(&agent, &[request("GET", "hold", 1), request("GET", "hold", 2)]).await;
    wait_until("not both requests run", || agent.upstream.ran().len() == 2).await;
    drop(stream);
    let cancelled = || agent.upstream.cancelled.lock().unwrap().len();
    wait_until("not both requests were cancelled", || cancelled() == 2).await;
}

/// The upstream runs two requests at once, so the others that were started are queued.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn number_of_requests_in_flight_of_one_connection_is_bounded() {
    let agent = owner().await;
    let requests: Vec<String> = (1..=20).map(|it| request("GET", "hold", it)).collect();
    let mut stream = connect(&agent, &requests).await;
    wait_until("not seven requests are queued", || agent.plane.queued() == 7).await;
    sleep(Duration::from_millis(50)).await;
    assert_eq!(
        agent.plane.queued(),
        7,
        "one request is served in turn and eight are started early; two of them run"
    );
    agent.upstream.release.add_permits(20);
    let expected: Vec<String> = (1..=20).map(|it| format!("{it:x}")).collect();
    assert_eq!(answers(&mut stream, 20).await, expected);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_later_request_is_run_if_the_first_answer_closes_the_connection() {
    let agent = owner().await;
    agent.plane.leave();
    let requests = [request("GET", "hold", 1), request("GET", "echo", 2)];
    let mut stream = connect(&agent, &requests).await;
    agent.upstream.wait_started().await;
    agent.upstream.release.add_permits(1);
    let mut text = String::new();
    timeout(WAIT_TIMEOUT, stream.read_to_string(&mut text)).await.unwrap().unwrap();
    assert!(text.contains("connection: close"), "{text}");
    assert_eq!(agent.upstream.ran(), [RequestId(1)]);
}

/// The instance begins to leave while two requests of a connection run; both must be answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn started_requests_are_answered_before_the_connection_closes() {
    let agent = owner().await;
    let requests = [request("GET", "hold", 1), request("GET", "hold", 2)];
    let mut stream = connect(&agent, &requests).await;
    wait_until("not both requests run", || agent.upstream.ran().len() == 2).await;
    agent.plane.leave();
    agent.upstream.release.add_permits(2);
    let mut text = String::new();
    timeout(WAIT_TIMEOUT, stream.read_to_string(&mut text)).await.unwrap().unwrap();
    assert_eq!(text.matches("x-ran: ").count(), 2, "{text}");
    assert_eq!(text.matches("connection: close").count(), 1, "{text}");
}
