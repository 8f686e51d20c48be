//! The protocol between callers and the agent, as a trait.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, StatusCode, request::Parts};
use model::{Fingerprint, NotRunReason, Outcome, RequestId, UnknownReason};
use upstream::Answer;
use volo_http::{body::Body, response::Response};

use crate::{
    forward::FinalReply,
    ingress::{refusal::Refusal, strip_hop_by_hop_headers},
};

/// The head of a request, apart from its method and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// Selects the route, together with the path. `None` if the first segment of the path is the service.
    pub host: Option<Arc<str>>,
    /// `None` if the caller has given the request no id.
    pub id: Option<RequestId>,
    /// The id as the caller wrote it, returned with the response.
    pub id_text: Option<HeaderValue>,
    /// Time that the caller waits for the answer, if it states one.
    pub deadline: Option<Duration>,
    /// Time since the first sending of this id whose outcome the caller does not know; zero if this is the
    /// first.
    pub age: Duration,
    /// Fingerprint of the headers in which attempts of the same request agree.
    pub fingerprint: Fingerprint,
    /// The headers to pass to the upstream.
    pub headers: HeaderMap,
}

/// The format of callers' requests and of the responses to them.
pub trait CallerProtocol: Send + Sync {
    /// Reads the head of a request.
    fn read(&self, head: &Parts) -> Result<CallHead, Refusal>;
    /// Builds the response from the final reply to a request.
    fn answer(&self, final_reply: FinalReply, id: &CallId) -> Response;
    /// Builds the response to a request that ingress refuses.
    fn refuse(&self, refusal: &Refusal) -> Response;
}

/// The id of a request, parsed and as its caller wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallId {
    pub id: RequestId,
    pub text: Option<HeaderValue>,
}

/// Builds the response to a caller from an upstream's answer, without hop-by-hop headers.
pub fn answer_response(answer: Answer) -> Response {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    strip_hop_by_hop_headers(response.headers_mut());
    response
}

/// Returns the HTTP status for an outcome. 503 guarantees that the request was not run; 502 and 504 leave
/// that open.
pub fn status_of(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::Answered => StatusCode::OK,
        Outcome::NotRun(NotRunReason::BadRequest) => StatusCode::BAD_REQUEST,
        Outcome::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown(UnknownReason::DeadlineExceeded) => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Unknown(_) => StatusCode::BAD_GATEWAY,
    }
}
