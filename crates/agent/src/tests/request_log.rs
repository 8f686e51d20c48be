//! What the log tells of a request, found by its id alone.

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

/// Keeps the lines about requests, of all tests of this process.
struct Kept {
    lines: Mutex<Vec<Fields>>,
}

static KEPT: Kept = Kept { lines: Mutex::new(Vec::new()) };
static SET: Once = Once::new();

impl Log for Kept {
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

fn keep_lines() {
    SET.call_once(|| {
        log::set_logger(&KEPT).unwrap();
        log::set_max_level(log::LevelFilter::Debug);
    });
}

/// The lines with this id and message, as soon as there are any.
async fn lines(id: u128, message: &str) -> Vec<Fields> {
    let id = format!("{id:016x}");
    let found = || -> Vec<Fields> {
        let lines = KEPT.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().filter(|it| it["id"] == id && it["message"] == message).cloned().collect()
    };
    let wait = async {
        while found().is_empty() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait).await.expect("no such line");
    found()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_is_told_with_where_it_was_sent_and_what_it_was_placed_by() {
    keep_lines();
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
async fn a_deadline_that_passes_at_the_upstream_is_told_by_its_gate() {
    keep_lines();
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
async fn a_caller_that_leaves_is_told_of() {
    keep_lines();
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
async fn a_request_without_a_key_is_told_with_the_reason() {
    keep_lines();
    let agent = TestAgent::start("a").await;
    agent.route_to(&agent.own, 1).await;
    let mut stream = TcpStream::connect(agent.caller_address).await.unwrap();
    let head = "GET /svc/echo HTTP/1.1\r\nhost: x\r\nx-request-id: 100004\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    assert!(lines(0x10_0004, "Refused.").await[0]["reason"].contains("key"));
}
