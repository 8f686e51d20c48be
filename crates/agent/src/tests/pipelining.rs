//! Callers that send further requests before the first is answered.

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

/// Reads until as many answers have come; returns what they say that has run.
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
        assert_ne!(read, 0, "the agent hung up after {text}");
        text.push_str(std::str::from_utf8(&chunk[..read]).unwrap());
    }
}

async fn wait_until(what: &str, is_so: impl Fn() -> bool) {
    let waiting = async {
        while !is_so() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(WAIT_TIMEOUT, waiting).await.is_ok(), "{what}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reads_run_side_by_side_and_are_answered_in_order() {
    let agent = owner().await;
    let requests = [request("GET", "hold", 1), request("GET", "echo", 2)];
    let mut stream = connect(&agent, &requests).await;
    wait_until("both run", || agent.upstream.ran().len() == 2).await;
    agent.upstream.release.add_permits(1);
    assert_eq!(answers(&mut stream, 2).await, ["1", "2"]);
    assert_eq!(agent.upstream.ran().len(), 2, "none ran twice");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_may_not_be_repeated_waits_for_its_turn_and_so_do_those_behind_it() {
    let agent = owner().await;
    let requests =
        [request("GET", "hold", 1), request("POST", "hold", 2), request("GET", "echo", 3)];
    let mut stream = connect(&agent, &requests).await;
    agent.upstream.wait_started().await;
    // The read behind them would have run by now.
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
async fn a_caller_that_hangs_up_cancels_all_that_it_asked() {
    let agent = owner().await;
    let stream = connect(&agent, &[request("GET", "hold", 1), request("GET", "hold", 2)]).await;
    wait_until("both run", || agent.upstream.ran().len() == 2).await;
    drop(stream);
    let cancelled = || agent.upstream.cancelled.lock().unwrap().len();
    wait_until("both are cancelled", || cancelled() == 2).await;
}

/// The upstream has room for two, so the others that were started wait for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_connection_has_a_bounded_number_of_requests_under_way() {
    let agent = owner().await;
    let requests: Vec<String> = (1..=20).map(|it| request("GET", "hold", it)).collect();
    let mut stream = connect(&agent, &requests).await;
    wait_until("some are queued", || agent.plane.queued() == 7).await;
    sleep(Duration::from_millis(50)).await;
    assert_eq!(agent.plane.queued(), 7, "one in turn and eight ahead, of which two run");
    agent.upstream.release.add_permits(20);
    let expected: Vec<String> = (1..=20).map(|it| format!("{it:x}")).collect();
    assert_eq!(answers(&mut stream, 20).await, expected);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_closes_the_connection_leaves_nothing_behind_that_has_run() {
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

/// The instance begins to leave while two requests of a connection are under way: both are answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_was_started_is_answered_before_the_connection_closes() {
    let agent = owner().await;
    let requests = [request("GET", "hold", 1), request("GET", "hold", 2)];
    let mut stream = connect(&agent, &requests).await;
    wait_until("both run", || agent.upstream.ran().len() == 2).await;
    agent.plane.leave();
    agent.upstream.release.add_permits(2);
    let mut text = String::new();
    timeout(WAIT_TIMEOUT, stream.read_to_string(&mut text)).await.unwrap().unwrap();
    assert_eq!(text.matches("x-ran: ").count(), 2, "{text}");
    assert_eq!(text.matches("connection: close").count(), 1, "{text}");
}
