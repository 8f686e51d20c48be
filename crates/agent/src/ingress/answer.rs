//! What a caller is told.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, StatusCode,
    header::{
        CONNECTION, CONTENT_LENGTH, PROXY_AUTHENTICATE, RETRY_AFTER, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
};
use model::{NotRunReason, OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER, RequestId, UnknownReason};
use volo_http::{body::Body, response::Response};

use crate::{
    forward::Ending,
    ingress::{Counted, parse::Refusal},
    request::GateReply,
};

const OUTCOME: HeaderName = HeaderName::from_static(OUTCOME_HEADER);
/// The time of `retry-after` to the millisecond.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// The response for the end of a request.
pub(super) fn of(ending: Ending, id: Option<RequestId>) -> Response {
    let outcome = ending.reply.outcome();
    let mut response = match ending.reply {
        GateReply::Answered(answer) => {
            let mut response = Response::new(Body::from(answer.body));
            *response.status_mut() = answer.status;
            *response.headers_mut() = answer.headers;
            strip(response.headers_mut());
            response
        }
        GateReply::Failed { .. } | GateReply::NotOwner { .. } => {
            let mut response = Response::new(Body::from(format!("{outcome}\n")));
            *response.status_mut() = status(outcome);
            response
        }
    };
    let headers = response.headers_mut();
    headers.insert(OUTCOME, outcome_value(outcome));
    if let Some(id) = id {
        let value = HeaderValue::from_str(&format!("{:x}", id.0)).expect("hexadecimal digits");
        headers.insert(REQUEST_ID_HEADER, value);
    }
    if let Some(after) = ending.retry_after {
        set_retry_after(headers, after);
    }
    response
}

/// The response to a request that went nowhere.
pub(super) fn refused(refusal: &Refusal) -> Response {
    let (status, reason) = match refusal {
        Refusal::NoService | Refusal::NoRoute(_) => {
            (StatusCode::NOT_FOUND, NotRunReason::BadRequest)
        }
        Refusal::NoRoutesYet => (StatusCode::SERVICE_UNAVAILABLE, NotRunReason::Unreachable),
        Refusal::NoKey(_) | Refusal::Header { .. } | Refusal::BodyBroken => {
            (StatusCode::BAD_REQUEST, NotRunReason::BadRequest)
        }
        Refusal::HeadersTooLarge { .. } => {
            (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, NotRunReason::BadRequest)
        }
        Refusal::BodyTooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, NotRunReason::BadRequest),
    };
    let mut response = Response::new(Body::from(format!("{refusal}\n")));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(OUTCOME, outcome_value(Outcome::NotRun(reason)));
    if *refusal == Refusal::NoRoutesYet {
        set_retry_after(headers, super::COME_BACK);
    }
    response
}

/// Asks the caller to close its connection.
pub(super) fn closing(mut response: Response) -> Response {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn status(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::Answered => StatusCode::OK,
        Outcome::NotRun(NotRunReason::BadRequest) => StatusCode::BAD_REQUEST,
        Outcome::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown(UnknownReason::DeadlineExceeded) => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Unknown(_) => StatusCode::BAD_GATEWAY,
    }
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

/// Takes out what belongs to the upstream's connection.
fn strip(headers: &mut HeaderMap) {
    for name in
        [CONNECTION, CONTENT_LENGTH, PROXY_AUTHENTICATE, TE, TRAILER, TRANSFER_ENCODING, UPGRADE]
    {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// Counts the request as in flight until the connection has taken the whole answer.
pub(super) fn counted(response: Response, counted: Counted) -> Response {
    response.map(|body| Body::from_body(CountedBody { body, _counted: counted }))
}

struct CountedBody {
    body: Body,
    _counted: Counted,
}

impl http_body::Body for CountedBody {
    type Data = Bytes;
    type Error = <Body as http_body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
