//! One attempt to send a request.

use std::{error::Error, io, net::SocketAddr, time::Duration};

use http::{HeaderMap, StatusCode, header::HeaderName};
use model::{OUTCOME_HEADER, REQUEST_ID_HEADER};
use tokio::time::timeout;
use volo_http::{
    body::{Body, BodyConversion},
    client::Client,
    hyper,
    response::Response,
};

use super::{CallRequest, TargetKind};
use crate::{
    answer::{ANSWER_BYTES, AnswerError, KEY, check_answer},
    journal::AttemptResult,
};

const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Request header: time since the first attempt that may have run, in milliseconds.
const FIRST_SENT: HeaderName = HeaderName::from_static("x-first-sent-ms");
const NOT_RUN: &str = "x-not-run";
const RETRY_AFTER: &str = "retry-after";
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// An HTTP client that reuses its connections.
#[derive(Clone)]
pub struct AgentClient {
    client: Client,
}

/// Result of an attempt, and the delay after which the agent asks for a retry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AttemptEnd {
    pub(crate) result: AttemptResult,
    pub(crate) retry_after: Option<Duration>,
}

impl AgentClient {
    pub fn new() -> anyhow::Result<AgentClient> {
        let client = Client::builder()
            .build()
            .map_err(|error| anyhow::anyhow!("building an HTTP client: {error}"))?;
        Ok(AgentClient { client })
    }

    /// Sends a request once. `age` is the time since the first attempt that may have run; `None` if no earlier
    /// attempt may have run.
    pub(crate) async fn send_attempt(
        &self,
        target: SocketAddr,
        request: &CallRequest,
        age: Option<Duration>,
        attempt_timeout: Duration,
        target_kind: TargetKind,
    ) -> AttemptEnd {
        match timeout(attempt_timeout, self.send(target, request, age, target_kind)).await {
            Ok(end) => end,
            Err(_) => AttemptEnd { result: AttemptResult::TimedOut, retry_after: None },
        }
    }

    async fn send(
        &self,
        target: SocketAddr,
        request: &CallRequest,
        age: Option<Duration>,
        target_kind: TargetKind,
    ) -> AttemptEnd {
        let mut builder = self
            .client
            .request(request.method.clone(), format!("http://{target}{}", request.path))
            .header(REQUEST_ID_HEADER, format!("{:x}", request.id.0))
            .header(KEY, request.key.as_str())
            .header(DEADLINE, request.deadline.as_millis().to_string())
            .header(ANSWER_BYTES, request.answer_bytes.to_string())
            .body(Body::from(request.body.clone()));
        if let Some(age) = age {
            builder = builder.header(FIRST_SENT, age.as_millis().to_string());
        }
        match builder.send().await {
            Ok(response) => read_response(response, request, target_kind).await,
            Err(error) if was_not_sent(&error) => {
                AttemptEnd { result: AttemptResult::NotConnected, retry_after: None }
            }
            Err(_) => AttemptEnd { result: AttemptResult::ConnectionLost, retry_after: None },
        }
    }
}

/// Returns whether nothing of the request was sent: no connection was opened, or it was closed before the client
/// wrote to it.
fn was_not_sent(error: &(dyn Error + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(error) = next {
        let refused = error
            .downcast_ref::<io::Error>()
            .is_some_and(|it| it.kind() == io::ErrorKind::ConnectionRefused);
        // hyper marks a request as canceled if it never started to write it.
        let unwritten = error.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_canceled);
        if refused || unwritten {
            return true;
        }
        next = error.source();
    }
    false
}

async fn read_response(
    response: Response,
    request: &CallRequest,
    target_kind: TargetKind,
) -> AttemptEnd {
    let (parts, body) = response.into_parts();
    let retry_after = parse_retry_after(&parts.headers);
    let Ok(body) = body.into_bytes().await else {
        return AttemptEnd { result: AttemptResult::ConnectionLost, retry_after };
    };
    let outcome = match target_kind {
        TargetKind::Agent => parts.headers.get(OUTCOME_HEADER).and_then(|it| it.to_str().ok()),
        TargetKind::Upstream if parts.status == StatusCode::OK => Some("answered"),
        TargetKind::Upstream if parts.headers.contains_key(NOT_RUN) => Some("not-run"),
        TargetKind::Upstream => Some("unknown"),
    };
    let result = classify(parts.status, outcome, &body, request);
    AttemptEnd { result, retry_after }
}

/// Returns the result for an answer. The body of an answer with an error status is checked as well; its request
/// may have run partly, so the result is `Unknown`.
pub(crate) fn classify(
    status: StatusCode,
    outcome: Option<&str>,
    body: &[u8],
    request: &CallRequest,
) -> AttemptResult {
    let outcome = outcome.unwrap_or_default();
    let (kind, reason) = outcome.split_once("; reason=").unwrap_or((outcome, ""));
    let reason = reason.to_owned();
    let filler_bytes = if status.is_success() { request.answer_bytes } else { 0 };
    match kind {
        "answered" => match check_answer(body, request.id, &request.key, filler_bytes) {
            Ok(()) if status.is_success() => AttemptResult::Answered,
            Ok(()) => AttemptResult::Unknown { reason: format!("service-{}", status.as_u16()) },
            Err(AnswerError::OtherRequest) => AttemptResult::Crossed,
            Err(AnswerError::Corrupt) => AttemptResult::Broken,
        },
        "not-run" => AttemptResult::NotRun { reason },
        "unknown" => AttemptResult::Unknown { reason },
        _ => AttemptResult::NoOutcome { status: status.as_u16() },
    }
}

fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let number = |name: &str| headers.get(name)?.to_str().ok()?.trim().parse::<f64>().ok();
    let seconds = match number(RETRY_AFTER_MS) {
        Some(ms) => ms / 1e3,
        None => number(RETRY_AFTER)?,
    };
    Duration::try_from_secs_f64(seconds).ok()
}
