//! The default HTTP protocol between callers and the agent.
//!
//! A caller resends an id only after the previous sending has ended: by its response, by closing the
//! connection or by its deadline. `x-first-sent-ms` is then the time since the first sending that did not
//! end as not run. The header is omitted if all of them ended so.

use std::time::Duration;

use http::{
    HeaderMap, HeaderName, HeaderValue,
    header::{DATE, HOST, RETRY_AFTER, USER_AGENT},
    request::Parts,
};
use model::{
    Fingerprint, NotRunReason, OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER, RequestId, TOKEN_HEADER,
};
use volo_http::{body::Body, response::Response};

use crate::{
    forward::FinalReply,
    ingress::{
        RETRY_AFTER_DEFAULT,
        protocol::{CallHead, CallId, CallerProtocol, answer_response, status_of},
        refusal::Refusal,
        strip_hop_by_hop_headers,
    },
    request::GateReply,
};

/// Header with the time left until the deadline, in milliseconds.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Header with the time in milliseconds since the first sending of the same id whose outcome the caller does
/// not know. Sendings that ended as not run do not count.
pub(super) const FIRST_SENT_HEADER: HeaderName = HeaderName::from_static("x-first-sent-ms");
/// Headers that may differ between attempts of the same request, besides those above.
const VARIES_BY_ATTEMPT: [HeaderName; 4] = [
    DATE,
    USER_AGENT,
    HeaderName::from_static("traceparent"),
    HeaderName::from_static("tracestate"),
];
const OUTCOME: HeaderName = HeaderName::from_static(OUTCOME_HEADER);
/// Header with the `retry-after` time in milliseconds.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// The default protocol, see the module documentation.
#[derive(Debug)]
pub(crate) struct DefaultCallerProtocol;

impl CallerProtocol for DefaultCallerProtocol {
    fn read(&self, head: &Parts) -> Result<CallHead, Refusal> {
        let id_value = head.headers.get(REQUEST_ID_HEADER);
        let id = id_value.map(|it| parse_id(it.to_str().unwrap_or_default())).transpose()?;
        let deadline = parse_ms(&head.headers, DEADLINE_HEADER)?;
        let age = parse_ms(&head.headers, FIRST_SENT_HEADER)?.unwrap_or_default();
        let mut headers = head.headers.clone();
        strip_own_headers(&mut headers);
        let fingerprint = headers_fingerprint(&headers);
        Ok(CallHead { host: None, id, id_text: None, deadline, age, fingerprint, headers })
    }

    fn answer(&self, final_reply: FinalReply, id: &CallId) -> Response {
        let outcome = final_reply.reply.outcome();
        let mut response = match final_reply.reply {
            GateReply::Answered(answer) => answer_response(answer),
            GateReply::Failed { .. } | GateReply::NotOwner { .. } => {
                let mut response = Response::new(Body::from(format!("{outcome}\n")));
                *response.status_mut() = status_of(outcome);
                response
            }
        };
        let headers = response.headers_mut();
        headers.insert(OUTCOME, outcome_value(outcome));
        let value = HeaderValue::from_str(&format!("{:x}", id.id.0)).expect("hexadecimal digits");
        headers.insert(REQUEST_ID_HEADER, value);
        if let Some(after) = final_reply.retry_after {
            set_retry_after(headers, after);
        }
        response
    }

    fn refuse(&self, refusal: &Refusal) -> Response {
        let reason = match refusal {
            Refusal::RoutesUnknown => NotRunReason::Unreachable,
            _ => NotRunReason::BadRequest,
        };
        let mut response = Response::new(Body::from(format!("{refusal}\n")));
        *response.status_mut() = refusal.status();
        let headers = response.headers_mut();
        headers.insert(OUTCOME, outcome_value(Outcome::NotRun(reason)));
        if *refusal == Refusal::RoutesUnknown {
            set_retry_after(headers, RETRY_AFTER_DEFAULT);
        }
        response
    }
}

/// Computes the fingerprint of the headers passed to the upstream, without those that vary by attempt.
fn headers_fingerprint(headers: &HeaderMap) -> Fingerprint {
    let fingerprinted = headers.iter().filter(|(name, _)| !VARIES_BY_ATTEMPT.contains(name));
    Fingerprint::of(
        fingerprinted.flat_map(|(name, value)| [name.as_str().as_bytes(), value.as_bytes()]),
    )
}

fn outcome_value(outcome: Outcome) -> HeaderValue {
    match outcome {
        Outcome::Answered => HeaderValue::from_static("answered"),
        outcome => HeaderValue::from_str(&outcome.to_string()).expect("visible ASCII"),
    }
}

fn set_retry_after(headers: &mut HeaderMap, after: Duration) {
    let ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX).max(1);
    headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
    headers.insert(RETRY_AFTER_MS, HeaderValue::from(ms));
}

fn parse_id(text: &str) -> Result<RequestId, Refusal> {
    let expected = "1 to 32 hexadecimal digits";
    let invalid =
        || Refusal::Header { header: HeaderName::from_static(REQUEST_ID_HEADER), expected };
    let is_hexadecimal = !text.is_empty() && text.bytes().all(|it| it.is_ascii_hexdigit());
    match u128::from_str_radix(text, 16) {
        Ok(id) if is_hexadecimal && text.len() <= 32 => Ok(RequestId(id)),
        _ => Err(invalid()),
    }
}

fn parse_ms(headers: &HeaderMap, header: HeaderName) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get(&header) else { return Ok(None) };
    match value.to_str().ok().and_then(|it| it.trim().parse().ok()) {
        Some(ms) => Ok(Some(Duration::from_millis(ms))),
        None => Err(Refusal::Header { header, expected: "a whole number of milliseconds" }),
    }
}

/// Removes the headers that belong to the caller's connection and those that the gate sets itself.
fn strip_own_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop_headers(headers);
    headers.remove(HOST);
    headers.remove(DEADLINE_HEADER);
    headers.remove(FIRST_SENT_HEADER);
    for name in ["x-start-before-ms", "x-end-before-ms", REQUEST_ID_HEADER, TOKEN_HEADER] {
        headers.remove(name);
    }
}
