//! The form of callers' requests, and of what they are answered, as a trait.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, StatusCode, request::Parts};
use model::{Fingerprint, NotRunReason, Outcome, RequestId, UnknownReason};
use upstream::Answer;
use volo_http::{body::Body, response::Response};

use crate::{
    forward::FinalReply,
    ingress::{refusal::Refusal, strip_hop_by_hop_headers},
};

/// What the head of a request says, apart from its method and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// Selects the route, together with the path. None: the first segment of the path names the
    /// service.
    pub host: Option<Arc<str>>,
    /// None: the caller has given the request no name.
    pub id: Option<RequestId>,
    /// The name as the caller wrote it, to be given back.
    pub id_text: Option<HeaderValue>,
    /// How long the caller waits, if it says so.
    pub deadline: Option<Duration>,
    /// Time since the first sending of this id whose end the caller does not know; zero: this is it.
    pub age: Duration,
    /// Of the headers that count for what is asked for: attempts of the same request agree in them.
    pub fingerprint: Fingerprint,
    /// What the upstream is given of the headers.
    pub headers: HeaderMap,
}

/// How callers speak.
pub trait CallerProtocol: Send + Sync {
    /// Reads the head of a request.
    fn read(&self, head: &Parts) -> Result<CallHead, Refusal>;
    /// The response for the end of a request.
    fn answer(&self, ending: FinalReply, id: &CallId) -> Response;
    /// The response to a request that goes nowhere.
    fn refuse(&self, refusal: &Refusal) -> Response;
}

/// The name of a request: as it is known in here, and as its caller wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallId {
    pub id: RequestId,
    pub text: Option<HeaderValue>,
}

/// An upstream's whole answer as the response to its caller: all but what is about one connection.
pub fn answer_response(answer: Answer) -> Response {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    strip_hop_by_hop_headers(response.headers_mut());
    response
}

/// The status for an outcome: 503 promises that the request has not run; 502 and 504 promise nothing.
pub fn status_of(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::Answered => StatusCode::OK,
        Outcome::NotRun(NotRunReason::BadRequest) => StatusCode::BAD_REQUEST,
        Outcome::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown(UnknownReason::DeadlineExceeded) => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Unknown(_) => StatusCode::BAD_GATEWAY,
    }
}
