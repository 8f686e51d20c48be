//! Tests of the log lines about requests, found by the id of the request.

use std::{
    collections::BTreeMap,
    sync::{Mutex, Once, PoisonError},
    time::Duration,
};

use log::{
    Log, Metadata, Record,
    kv::{Error, Key, Value, VisitSource},
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

use super::fakes::{Call, TestAgent, WAIT_TIMEOUT, check, get};

type Fields = BTreeMap<String, String>;

/// A logger that keeps the lines about requests of all tests in this process.
struct KeptLines {
    lines: Mutex<Vec<Fields>>,
}

static KEPT_LINES: KeptLines = KeptLines { lines: Mutex::new(Vec::new()) };
static SET_LOGGER: Once = Once::new();

impl Log for KeptLines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == "requests"
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut line = Line(Fields::new());
        line.0.insert("message".to_owned(), record.args().to_string());
        record.key_values().visit(&mut line).unwrap();
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).push(line.0);
    }

    fn flush(&self) {}
}

struct Line(Fields);

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.as_str().to_owned(), value.to_string());
        Ok(())
    }
}

fn install_logger() {
    SET_LOGGER.call_once(|| {
        log::set_logger(&KEPT_LINES).unwrap();
        log::set_max_level(log::LevelFilter::Debug);
    });
}

/// Waits for lines with this id and message, and returns them.
async fn lines(id: u128, message: &str) -> Vec<Fields> {
    let id = format!("{id:016x}");
    let matching = || -> Vec<Fields> {
        let lines = KEPT_LINES.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().filter(|it| it["id"] == id && it["message"] == message).cloned().collect()
    };
    let wait = async {
        while matching().is_empty() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait).await.expect("no such line in time");
    matching()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lines_of_a_refused_request_contain_target_and_route_version() {
    install_logger();
    let agent = TestAgent::start("a").await;
    agent.route_to(&agent.own, 7).await;
    agent.grant_all(1);
    agent.end_lease();
    let deadline = Duration::from_millis(50);
    check(
        &agent.call(Call { deadline, ..get("echo", 0x10_0001) }).await,
        503,
        "not-run; reason=no-owner",
    );
    let ended = &lines(0x10_0001, "Ended.").await[0];
    assert_eq!(ended["outcome"], "not-run; reason=no-owner");
    assert_eq!(ended["sent_to"], agent.own.to_string());
    assert_eq!(ended["routes"], "7");
    assert_ne!(ended["tries"], "0");
    let gate = &lines(0x10_0001, "The gate replied.").await[0];
    assert_eq!(gate["outcome"], "not-run; reason=no-owner");
    assert_eq!(gate["running"], "0");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deadline_exceeded_at_the_upstream_is_logged_by_its_gate() {
    install_logger();
    let agent = TestAgent::start("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.grant_all(1);
    let deadline = Duration::from_millis(100);
    check(
        &agent.call(Call { deadline, ..get("hold", 0x10_0002) }).await,
        504,
        "unknown; reason=deadline-exceeded",
    );
    let gate = &lines(0x10_0002, "The gate replied.").await[0];
    assert_eq!(gate["outcome"], "unknown; reason=deadline-exceeded");
    assert_eq!(lines(0x10_0002, "Ended.").await[0]["tries"], "1");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_of_a_caller_that_left_is_logged() {
    install_logger();
    let agent = TestAgent::start("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.grant_all(1);
    let mut stream = TcpStream::connect(agent.caller_address).await.unwrap();
    let head = "GET /svc/hold HTTP/1.1\r\nhost: x\r\nx-key: k\r\nx-request-id: 100003\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    agent.upstream.wait_started().await;
    drop(stream);
    assert_eq!(lines(0x10_0003, "The caller left.").await[0]["tries"], "1");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_without_a_key_is_logged_with_the_reason() {
    install_logger();
    let agent = TestAgent::start("a").await;
    agent.route_to(&agent.own, 1).await;
    let mut stream = TcpStream::connect(agent.caller_address).await.unwrap();
    let head = "GET /svc/echo HTTP/1.1\r\nhost: x\r\nx-request-id: 100004\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    assert!(lines(0x10_0004, "Refused.").await[0]["reason"].contains("key"));
}
