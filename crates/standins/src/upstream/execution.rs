//! Runs a request: it is refused, or runs in a slot until it completes, is cancelled or reaches its deadline.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, StatusCode, Uri, header::HeaderName};
use model::{REQUEST_ID_HEADER, RequestId, TOKEN_HEADER, Term, Token};
use tokio::{
    sync::Notify,
    time::{Instant, sleep_until, timeout_at},
};
use volo_http::response::Response;

use super::state::{Upstream, UpstreamState};
use crate::{
    answer::{ANSWER_BYTES, KEY, encode_answer},
    http::{text_response, with_header},
    journal::{RefusedReason, RunEnd, RunEntry, wall_clock_ns},
};

const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const START_BEFORE: HeaderName = HeaderName::from_static("x-start-before-ms");
const END_BEFORE: HeaderName = HeaderName::from_static("x-end-before-ms");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// Exit code of the process after a request for the key of `--ends-on`, which simulates a crash.
pub const CRASH_EXIT_CODE: i32 = 70;
/// Deadline of a request without the deadline header.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);

/// A request, parsed from its path and headers.
struct IncomingRequest {
    id: RequestId,
    key: String,
    /// Class of the request: the last segment of the path.
    class: String,
    token: Option<Token>,
    deadline: Instant,
    /// Time before which the run must start; `None` if only the deadline applies.
    start_before: Option<Instant>,
    answer_bytes: usize,
}

/// A started run. If it is dropped before its end, as when the connection is closed, it is recorded as cancelled.
struct Run<'a> {
    upstream: &'a Upstream,
    id: RequestId,
    run: u64,
    cancelled: Arc<Notify>,
    has_ended: bool,
}

pub(crate) async fn execute(upstream: &Upstream, uri: &Uri, headers: &HeaderMap) -> Response {
    let Some(request) = IncomingRequest::parse(upstream, uri, headers) else {
        return text_response(StatusCode::BAD_REQUEST, "a request needs x-request-id and x-key");
    };
    upstream.wait_while_frozen().await;
    let _accepted = upstream.accept();
    if let Some(reason) = refusal_reason(upstream, &request) {
        return refuse(upstream, &request, reason);
    }
    let Ok(Ok(_slot)) = timeout_at(request.deadline, upstream.slots.acquire()).await else {
        return refuse(upstream, &request, RefusedReason::DeadlineExceeded);
    };
    match () {
        _ if request.start_before.is_some_and(|it| it <= Instant::now()) => {
            refuse(upstream, &request, RefusedReason::GrantEnded)
        }
        _ if request.token.is_some_and(|it| !upstream.passes_fence(&request.key, it)) => {
            refuse(upstream, &request, RefusedReason::Fenced)
        }
        _ if request.deadline <= Instant::now() => {
            refuse(upstream, &request, RefusedReason::DeadlineExceeded)
        }
        _ => Run::start(upstream, &request).finish(&request).await,
    }
}

fn refusal_reason(upstream: &Upstream, request: &IncomingRequest) -> Option<RefusedReason> {
    match () {
        _ if upstream.state() == UpstreamState::Starting => Some(RefusedReason::Starting),
        _ if upstream.is_closed() => Some(RefusedReason::Draining),
        _ if upstream.accepted_count() > upstream.config.connections_max => {
            Some(RefusedReason::Connections)
        }
        _ if upstream.is_shedding() || upstream.accepted_count() > upstream.config.shed_above => {
            Some(RefusedReason::Shed)
        }
        _ if upstream.config.checks_fence && request.token.is_none() => Some(RefusedReason::Fenced),
        _ => None,
    }
}

fn refuse(upstream: &Upstream, request: &IncomingRequest, reason: RefusedReason) -> Response {
    let (id, key) = (request.id, request.key.clone());
    upstream.record(&RunEntry::Refused { at_ns: wall_clock_ns(), id, key, reason });
    with_header(text_response(StatusCode::SERVICE_UNAVAILABLE, "not run"), NOT_RUN, 1)
}

impl IncomingRequest {
    fn parse(upstream: &Upstream, uri: &Uri, headers: &HeaderMap) -> Option<IncomingRequest> {
        let text = |name: &str| headers.get(name)?.to_str().ok();
        let id = RequestId(u128::from_str_radix(text(REQUEST_ID_HEADER)?, 16).ok()?);
        let deadline = match text(DEADLINE.as_str()) {
            Some(ms) => Duration::from_millis(ms.parse().ok()?),
            None => DEADLINE_DEFAULT,
        };
        let parse_instant = |name: &HeaderName| {
            let ms = text(name.as_str())?.parse().ok()?;
            Some(upstream.instant_at(ms))
        };
        let deadline = Instant::now() + deadline;
        Some(IncomingRequest {
            id,
            key: text(KEY.as_str())?.to_owned(),
            class: uri.path().rsplit('/').next().unwrap_or_default().to_owned(),
            token: text(TOKEN_HEADER).and_then(parse_token),
            deadline: parse_instant(&END_BEFORE).map_or(deadline, |it| it.min(deadline)),
            start_before: parse_instant(&START_BEFORE),
            answer_bytes: text(ANSWER_BYTES.as_str()).and_then(|it| it.parse().ok()).unwrap_or(0),
        })
    }
}

/// Parses a fence token in the form `TERM.SEQUENCE`.
pub(crate) fn parse_token(text: &str) -> Option<Token> {
    let (term, sequence) = text.split_once('.')?;
    Some(Token { term: Term(term.parse().ok()?), sequence: sequence.parse().ok()? })
}

impl<'a> Run<'a> {
    fn start(upstream: &'a Upstream, request: &IncomingRequest) -> Run<'a> {
        let (run, cancelled) = upstream.register_run(request.id);
        upstream.record(&RunEntry::Started {
            at_ns: wall_clock_ns(),
            run,
            id: request.id,
            key: request.key.clone(),
            class: request.class.clone(),
            token: request.token.map(|it| it.to_string()),
        });
        Run { upstream, id: request.id, run, cancelled, has_ended: false }
    }

    async fn finish(mut self, request: &IncomingRequest) -> Response {
        let started_ns = wall_clock_ns();
        let started = Instant::now();
        let end = self.run_until_end(request.deadline).await;
        if self.upstream.config.ends_on.as_ref() == Some(&request.key) {
            self.upstream.record(&RunEntry::EndsUnder { at_ns: wall_clock_ns(), run: self.run });
            std::process::exit(CRASH_EXIT_CODE);
        }
        // A process that was frozen past the deadline has no effects after it, so the run ended at its deadline.
        let at_ns = match end {
            RunEnd::DeadlineExceeded => {
                let until =
                    u64::try_from((request.deadline - started).as_nanos()).unwrap_or(u64::MAX);
                wall_clock_ns().min(started_ns.saturating_add(until))
            }
            _ => wall_clock_ns(),
        };
        self.end(at_ns, end);
        let (status, answer_bytes) = match end {
            RunEnd::Ran => (StatusCode::OK, request.answer_bytes),
            RunEnd::Cancelled => (StatusCode::INTERNAL_SERVER_ERROR, 0),
            RunEnd::DeadlineExceeded => (StatusCode::GATEWAY_TIMEOUT, 0),
        };
        let response = text_response(status, encode_answer(request.id, &request.key, answer_bytes));
        with_header(response, KEY, &request.key)
    }

    /// Waits for the end of the run and returns its kind. The deadline has priority over completion: a process that
    /// was frozen past the deadline must not complete the run.
    async fn run_until_end(&self, deadline: Instant) -> RunEnd {
        let done = Instant::now() + self.upstream.draw_service_time();
        let work = async {
            if done > Instant::now() {
                sleep_until(done).await;
            }
            self.upstream.wait_while_frozen().await;
        };
        let end = tokio::select! {
            biased;
            _ = self.cancelled.notified() => RunEnd::Cancelled,
            _ = sleep_until(deadline) => RunEnd::DeadlineExceeded,
            _ = work => RunEnd::Ran,
        };
        if end == RunEnd::Ran && Instant::now() >= deadline {
            RunEnd::DeadlineExceeded
        } else {
            end
        }
    }

    fn end(&mut self, at_ns: u64, end: RunEnd) {
        self.has_ended = true;
        self.upstream.remove_run(self.id);
        self.upstream.record(&RunEntry::Ended { at_ns, run: self.run, end });
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.end(wall_clock_ns(), RunEnd::Cancelled);
        }
    }
}
