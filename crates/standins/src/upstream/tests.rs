//! Tests of the requests that an upstream refuses, runs and records.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use gumdrop::Options;
use http::StatusCode;
use volo_http::{
    body::{Body, BodyConversion},
    client::Client,
};

use super::{
    options::{Config, UpstreamOptions},
    server::serve,
    state::Upstream,
};
use crate::{
    answer::check_answer,
    journal::{RefusedReason, RunEnd, RunEntry, read_journal},
};

struct Fixture {
    client: Client,
    address: SocketAddr,
    journal: PathBuf,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.journal);
    }
}

impl Fixture {
    async fn start(name: &str, flags: &str) -> Fixture {
        let file = format!("pomelohill-{}-{name}.jsonl", std::process::id());
        let journal = std::env::temp_dir().join(file);
        let flags = flags.split_whitespace().map(str::to_owned);
        let journal_flag = ["--journal".to_owned(), journal.display().to_string()];
        let flags: Vec<String> = flags.chain(journal_flag).collect();
        let options = UpstreamOptions::parse_args_default(&flags).unwrap();
        let config = Config::try_from(options).unwrap();
        let (listener, address) = crate::bind(config.listen).await.unwrap();
        tokio::spawn(serve(listener, Arc::new(Upstream::new(config).unwrap())));
        Fixture { client: Client::builder().build().unwrap(), address, journal }
    }

    async fn call(&self, id: u128, headers: &[(&'static str, &str)]) -> (StatusCode, Vec<u8>) {
        let mut request = self
            .client
            .get(format!("http://{}/s/lap", self.address))
            .header("x-request-id", format!("{id:x}"))
            .header("x-key", "car-7");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let response = request.send().await.unwrap();
        (response.status(), response.into_vec().await.unwrap())
    }

    async fn post(&self, path: &str, body: &str) {
        let uri = format!("http://{}/{path}", self.address);
        let request = self.client.post(uri).body(Body::from(body.to_owned()));
        assert_eq!(request.send().await.unwrap().status(), StatusCode::OK);
    }

    /// Compares the journal, without its times, to the expected entries.
    fn check_journal(&self, expected: &[&str]) {
        let entries: Vec<RunEntry> = read_journal(&self.journal).unwrap();
        let actual: Vec<String> = entries.iter().map(render).collect();
        assert_eq!(actual, expected);
    }
}

fn render(entry: &RunEntry) -> String {
    match entry {
        RunEntry::Started { id, .. } => format!("started {}", id.0),
        RunEntry::Ended { end: RunEnd::Ran, .. } => "ran".to_owned(),
        RunEntry::Ended { end: RunEnd::Cancelled, .. } => "cancelled".to_owned(),
        RunEntry::Ended { end: RunEnd::DeadlineExceeded, .. } => "deadline".to_owned(),
        RunEntry::Refused { id, reason: RefusedReason::Shed, .. } => format!("shed {}", id.0),
        RunEntry::Refused { id, reason: RefusedReason::Fenced, .. } => format!("fenced {}", id.0),
        RunEntry::Refused { id, reason: RefusedReason::GrantEnded, .. } => {
            format!("grant ended {}", id.0)
        }
        RunEntry::Refused { id, reason: RefusedReason::DeadlineExceeded, .. } => {
            format!("late {}", id.0)
        }
        other => format!("{other:?}"),
    }
}

#[tokio::test]
async fn an_answer_of_another_request_or_a_truncated_one_is_detected() {
    let fixture = Fixture::start("answer", "--service-ms 0").await;
    let (status, body) = fixture.call(10, &[("x-answer-bytes", "70000")]).await;
    assert_eq!(status, StatusCode::OK);
    let check = |body: &[u8], id| check_answer(body, model::RequestId(id), "car-7", 70_000);
    assert!(check(&body, 10).is_ok());
    assert!(check(&body, 11).is_err());
    assert!(check(&body[..body.len() - 1], 10).is_err());
    fixture.check_journal(&["started 10", "ran"]);
}

#[tokio::test]
async fn fenced_and_shed_requests_do_not_run() {
    let fixture = Fixture::start("refused", "--service-ms 0 --fence checked").await;
    fixture.call(1, &[("x-fence-token", "2.1")]).await;
    let (status, _) = fixture.call(2, &[("x-fence-token", "1.9")]).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    fixture.post("admin/fault", r#"{"shed": true}"#).await;
    let (status, _) = fixture.call(3, &[("x-fence-token", "2.1")]).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    fixture.check_journal(&["started 1", "ran", "fenced 2", "shed 3"]);
}

#[tokio::test]
async fn a_run_ends_at_its_deadline() {
    let fixture = Fixture::start("deadline", "--service-ms 60000").await;
    let (status, _) = fixture.call(1, &[("x-deadline-ms", "20")]).await;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    fixture.check_journal(&["started 1", "deadline"]);
}

#[tokio::test]
async fn a_request_read_after_its_time_bounds_does_not_run() {
    // After a freeze, x-deadline-ms still counts from reading the request, but the bounds are absolute times.
    let fixture = Fixture::start("bounds", "--service-ms 0").await;
    let far = "3600000";
    let bounds = [("x-start-before-ms", "0"), ("x-end-before-ms", far), ("x-deadline-ms", far)];
    fixture.call(1, &bounds).await;
    let bounds = [("x-start-before-ms", far), ("x-end-before-ms", "0"), ("x-deadline-ms", far)];
    fixture.call(2, &bounds).await;
    let bounds = [("x-start-before-ms", far), ("x-end-before-ms", far), ("x-deadline-ms", far)];
    fixture.call(3, &bounds).await;
    fixture.check_journal(&["grant ended 1", "late 2", "started 3", "ran"]);
}

#[tokio::test]
async fn a_run_can_be_cancelled() {
    let fixture = Fixture::start("cancel", "--service-ms 60000").await;
    let cancel = async {
        while std::fs::read(&fixture.journal).unwrap().is_empty() {
            tokio::task::yield_now().await;
        }
        fixture.post("control/cancel", r#"{"request_id": "1"}"#).await;
    };
    let ((status, _), ()) = tokio::join!(fixture.call(1, &[]), cancel);
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    fixture.check_journal(&["started 1", "cancelled"]);
}

#[tokio::test]
async fn answers_state_the_condition_that_was_set() {
    let fixture = Fixture::start("condition", "--service-ms 0").await;
    fixture.post("admin/condition", r#"{"limit_per_s": 12.5, "leave_after_ms": 3600000}"#).await;
    let request = fixture.client.get(format!("http://{}/s/lap", fixture.address));
    let response = request.header("x-request-id", "1").header("x-key", "k").send().await.unwrap();
    assert_eq!(response.headers()["x-requests-per-s-max"], "12.5");
    assert_eq!(response.headers()["x-leaving"], "1");
    let entries: Vec<RunEntry> = read_journal(&fixture.journal).unwrap();
    let states = |it: &RunEntry| {
        matches!(it, RunEntry::States { limit_per_s: Some(12.5), is_leaving: true, .. })
    };
    assert!(entries.iter().any(states), "{entries:?}");
}
