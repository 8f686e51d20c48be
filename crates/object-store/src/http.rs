//! Client of the object API over HTTP/1.1, for one address, with connections kept alive.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use model::{ObjectVersion, VersionError};
use serde::Deserialize;
use tokio::time::timeout;
use volo::{discovery::DummyDiscover, loadbalance::random::WeightedRandomBalance};
use volo_http::{
    body::Body,
    client::{Client, ClientBuilder},
    response::Response,
};

use crate::{Change, Changes, EraTracker, Object, ObjectStore, StoreError, StoreResult, parse_era};

const VERSION_HEADER: &str = "x-object-version";
const EXPECTED_VERSION_HEADER: &str = "if-object-version";
const REVISION_HEADER: &str = "x-revision";
const ERA_HEADER: &str = "x-store-era";

/// Largest accepted answer: a list of many objects, each up to a megabyte.
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Longest excerpt of an error answer that is kept as the reason.
const REASON_CHARS_MAX: usize = 200;

/// Timeouts of calls to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    pub call: Duration,
    /// Time that a watch may take in addition to its wait.
    pub watch_margin: Duration,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts { call: Duration::from_millis(500), watch_margin: Duration::from_millis(1000) }
    }
}

/// [`ObjectStore`] over HTTP.
#[derive(Clone)]
pub struct HttpObjectStore {
    client: Client,
    peer: SocketAddr,
    timeouts: Timeouts,
    eras: Arc<EraTracker>,
}

/// A call that has not been sent yet.
struct Call {
    step: String,
    method: Method,
    target: String,
    /// Revision that the object must have. It is `None` for calls that change nothing.
    expected: Option<u64>,
    body: Bytes,
    timeout: Duration,
}

/// A completely received answer.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Wire form of one object in a list.
#[derive(Deserialize)]
struct RawChange {
    path: String,
    version: u64,
    body: Option<String>,
}

impl HttpObjectStore {
    /// Connects lazily, with the first call.
    pub fn new(peer: SocketAddr, timeouts: Timeouts) -> anyhow::Result<HttpObjectStore> {
        // Each call is given the address, so the client needs no discovery and no load balancing.
        let builder =
            ClientBuilder::new().load_balance(WeightedRandomBalance::new()).discover(DummyDiscover);
        let client = builder
            .build()
            .map_err(|error| anyhow::anyhow!("platform client for {peer}: {error}"))?;
        Ok(HttpObjectStore { client, peer, timeouts, eras: Arc::default() })
    }

    async fn send(&self, call: Call) -> Result<Answer, StoreError> {
        let Call { step, method, target, expected, body, timeout: call_timeout } = call;
        let accepts_not_found = method == Method::GET;
        let exchange = async {
            let mut request = self.client.request(method, target).address(self.peer);
            if let Some(expected) = expected {
                request = request.header(EXPECTED_VERSION_HEADER, expected);
            }
            let response = request.body(Body::from(body)).send().await;
            read(response.map_err(|error| error.to_string())?).await
        };
        match timeout(call_timeout, exchange).await {
            Ok(Ok(answer)) => {
                let era = parse_era(answer.headers.get(ERA_HEADER));
                self.eras.observe(era.map_err(|reason| self.unavailable(&step, reason))?);
                self.check_status(step, answer, accepts_not_found)
            }
            Ok(Err(reason)) => Err(self.unavailable(step, reason)),
            Err(_) => Err(self.unavailable(step, format!("timed out after {call_timeout:?}"))),
        }
    }

    /// Returns the answer of a successful call, or the error that the answer's status stands for.
    fn check_status(
        &self,
        step: String,
        answer: Answer,
        accepts_not_found: bool,
    ) -> Result<Answer, StoreError> {
        let reason = || format!("{} {}", answer.status, excerpt(&answer.body));
        match answer.status {
            status if status.is_success() => Ok(answer),
            StatusCode::NOT_FOUND if accepts_not_found => Ok(answer),
            StatusCode::CONFLICT => {
                let current = self.version_in(&step, &answer, VERSION_HEADER)?;
                Err(StoreError::Conflict { step, current })
            }
            StatusCode::GONE => Err(StoreError::HistoryGone { step }),
            // The platform rejected the request as invalid, so it has had no effect.
            status if status.is_client_error() => {
                Err(StoreError::Refused { step, peer: self.peer, reason: reason() })
            }
            _ => Err(self.unavailable(step, reason())),
        }
    }

    fn unavailable(&self, step: impl Into<String>, reason: impl Into<String>) -> StoreError {
        StoreError::Unavailable { step: step.into(), peer: self.peer, reason: reason.into() }
    }

    fn version_in(
        &self,
        step: &str,
        answer: &Answer,
        header: &str,
    ) -> Result<ObjectVersion, StoreError> {
        let text = answer.headers.get(header).and_then(|it| it.to_str().ok());
        let number = text.and_then(|it| it.parse().ok()).ok_or_else(|| {
            self.unavailable(step, format!("no valid number in the header {header}"))
        })?;
        ObjectVersion::try_of(era(answer), number)
            .map_err(|error| self.unavailable(step, error.to_string()))
    }

    fn changes(&self, step: &str, answer: &Answer) -> Result<Changes, StoreError> {
        let raw: Vec<RawChange> = serde_json::from_slice(&answer.body)
            .map_err(|error| self.unavailable(step, format!("invalid list: {error}")))?;
        let era = era(answer);
        let changes = raw.into_iter().map(|it| it.into_change(era)).collect::<Result<_, _>>();
        let changes = changes.map_err(|error| self.unavailable(step, error.to_string()))?;
        Ok(Changes { revision: self.version_in(step, answer, REVISION_HEADER)?, changes })
    }

    fn get(&self, step: String, target: String, timeout: Duration) -> Call {
        Call { step, method: Method::GET, target, expected: None, body: Bytes::new(), timeout }
    }
}

impl RawChange {
    fn into_change(self, era: u64) -> Result<Change, VersionError> {
        let version = ObjectVersion::try_of(era, self.version)?;
        Ok(Change { path: self.path, version, body: self.body.map(Bytes::from) })
    }
}

/// Returns the era of an answer, which was checked when it was received.
fn era(answer: &Answer) -> u64 {
    parse_era(answer.headers.get(ERA_HEADER)).unwrap_or(0)
}

async fn read(response: Response) -> Result<Answer, String> {
    let (parts, body) = response.into_parts();
    let collected = Limited::new(body, ANSWER_BYTES_MAX).collect().await;
    let body = collected.map_err(|error| format!("reading the answer failed: {error}"))?.to_bytes();
    Ok(Answer { status: parts.status, headers: parts.headers, body })
}

fn excerpt(body: &Bytes) -> String {
    String::from_utf8_lossy(body).trim().chars().take(REASON_CHARS_MAX).collect()
}

impl ObjectStore for HttpObjectStore {
    fn read(&self, path: &str) -> StoreResult<'_, Option<Object>> {
        let step = format!("read {path}");
        let call = self.get(step.clone(), format!("/objects/{path}"), self.timeouts.call);
        Box::pin(async move {
            let answer = self.send(call).await?;
            if answer.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            let version = self.version_in(&step, &answer, VERSION_HEADER)?;
            Ok(Some(Object { version, body: answer.body }))
        })
    }

    fn update(
        &self,
        path: &str,
        expected: ObjectVersion,
        body: Bytes,
    ) -> StoreResult<'_, ObjectVersion> {
        let step = format!("update {path}");
        let target = format!("/objects/{path}");
        Box::pin(async move {
            let revision = self.eras.revision_for_update(&step, expected)?;
            let call = Call {
                step: step.clone(),
                method: Method::PUT,
                target,
                expected: Some(revision),
                body,
                timeout: self.timeouts.call,
            };
            let answer = self.send(call).await?;
            let version = self.version_in(&step, &answer, VERSION_HEADER)?;
            self.eras.confirm_update(step, self.peer, expected, version)
        })
    }

    fn era(&self) -> u64 {
        self.eras.latest()
    }

    fn list(&self, prefix: &str) -> StoreResult<'_, Changes> {
        let step = format!("list {prefix}");
        let call = self.get(step.clone(), format!("/list/{prefix}"), self.timeouts.call);
        Box::pin(async move {
            let answer = self.send(call).await?;
            self.changes(&step, &answer)
        })
    }

    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> StoreResult<'_, Changes> {
        let step = format!("watch {prefix}");
        let prefix = prefix.to_owned();
        Box::pin(async move {
            let revision = self.eras.revision_for_watch(&step, after)?;
            let target = format!("/watch/{prefix}?after={revision}&wait_ms={}", wait.as_millis());
            let call = self.get(step.clone(), target, wait + self.timeouts.watch_margin);
            let answer = self.send(call).await?;
            if era(&answer) != after.era() {
                return Err(StoreError::HistoryGone { step });
            }
            match answer.status {
                StatusCode::NO_CONTENT => Ok(Changes { revision: after, changes: Vec::new() }),
                _ => self.changes(&step, &answer),
            }
        })
    }
}
