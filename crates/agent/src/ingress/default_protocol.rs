//! The product's own form of callers' requests and answers.
//!
//! A caller sends an id again only after the former sending has ended: by its answer, by closing
//! the connection, or by its deadline. `x-first-sent-ms` is then the time since the first sending
//! that did not end as not run; if all did, the header is left out.

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
        COME_BACK,
        protocol::{CallHead, CallId, CallerProtocol, answer_response, status_of},
        refusal::Refusal,
        strip_hop_by_hop_headers,
    },
    request::GateReply,
};

/// The header that names the time left, in milliseconds.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The header that names the time, in milliseconds, since the first sending of the same id whose end
/// the caller does not know. Sendings that ended as not run don't count.
pub(super) const FIRST_SENT_HEADER: HeaderName = HeaderName::from_static("x-first-sent-ms");
/// Headers in which attempts of the same request may differ, beside those above.
const OF_ONE_ATTEMPT: [HeaderName; 4] = [
    DATE,
    USER_AGENT,
    HeaderName::from_static("traceparent"),
    HeaderName::from_static("tracestate"),
];
const OUTCOME: HeaderName = HeaderName::from_static(OUTCOME_HEADER);
/// The time of `retry-after` to the millisecond.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// The product's own form.
#[derive(Debug)]
pub(crate) struct DefaultCallerProtocol;

impl CallerProtocol for DefaultCallerProtocol {
    fn read(&self, head: &Parts) -> Result<CallHead, Refusal> {
        let given = head.headers.get(REQUEST_ID_HEADER);
        let id = given.map(|it| parse_id(it.to_str().unwrap_or_default())).transpose()?;
        let deadline = parse_ms(&head.headers, DEADLINE_HEADER)?;
        let age = parse_ms(&head.headers, FIRST_SENT_HEADER)?.unwrap_or_default();
        let mut headers = head.headers.clone();
        strip(&mut headers);
        let fingerprint = headers_fingerprint(&headers);
        Ok(CallHead { host: None, id, id_text: None, deadline, age, fingerprint, headers })
    }

    fn answer(&self, ending: FinalReply, id: &CallId) -> Response {
        let outcome = ending.reply.outcome();
        let mut response = match ending.reply {
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
        if let Some(after) = ending.retry_after {
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
            set_retry_after(headers, COME_BACK);
        }
        response
    }
}

/// Of all that the upstream is given but for what traces a single attempt.
fn headers_fingerprint(headers: &HeaderMap) -> Fingerprint {
    let counted = headers.iter().filter(|(name, _)| !OF_ONE_ATTEMPT.contains(name));
    Fingerprint::of(counted.flat_map(|(name, value)| [name.as_str().as_bytes(), value.as_bytes()]))
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
    let reason = "1 to 32 hexadecimal digits";
    let wrong = || Refusal::Header { header: HeaderName::from_static(REQUEST_ID_HEADER), reason };
    let digits = !text.is_empty() && text.bytes().all(|it| it.is_ascii_hexdigit());
    match u128::from_str_radix(text, 16) {
        Ok(id) if digits && text.len() <= 32 => Ok(RequestId(id)),
        _ => Err(wrong()),
    }
}

fn parse_ms(headers: &HeaderMap, header: HeaderName) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get(&header) else { return Ok(None) };
    match value.to_str().ok().and_then(|it| it.trim().parse().ok()) {
        Some(ms) => Ok(Some(Duration::from_millis(ms))),
        None => Err(Refusal::Header { header, reason: "a whole number of milliseconds" }),
    }
}

/// Takes out what belongs to the caller's connection and what the gate sets itself.
fn strip(headers: &mut HeaderMap) {
    strip_hop_by_hop_headers(headers);
    headers.remove(HOST);
    headers.remove(DEADLINE_HEADER);
    headers.remove(FIRST_SENT_HEADER);
    for name in ["x-start-before-ms", "x-end-before-ms", REQUEST_ID_HEADER, TOKEN_HEADER] {
        headers.remove(name);
    }
}
