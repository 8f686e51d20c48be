//! Refusals: the reasons for which ingress does not forward a request.

use http::{HeaderName, StatusCode};
use settings::RouteError;

/// The reason for which ingress does not forward a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Refusal {
    #[error("the first segment of the path is not the name of a service")]
    NoService,
    #[error("there is no route for this host and path")]
    NoHostRoute,
    #[error("this agent does not know the routes of the service yet")]
    RoutesUnknown,
    #[error("{0}")]
    NoRoute(RouteError),
    #[error("{0}")]
    NoKey(RouteError),
    #[error("the key is not a whole number or is out of range")]
    KeyOutOfRange,
    #[error("the header {header} is not {expected}")]
    Header { header: HeaderName, expected: &'static str },
    #[error("the path and headers exceed {bytes_max} bytes")]
    HeadersTooLarge { bytes_max: usize },
    #[error("the body exceeds {bytes_max} bytes")]
    BodyTooLarge { bytes_max: usize },
    #[error("the body ended before it was complete")]
    BodyBroken,
}

impl Refusal {
    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> StatusCode {
        match self {
            Refusal::NoService | Refusal::NoHostRoute | Refusal::NoRoute(_) => {
                StatusCode::NOT_FOUND
            }
            Refusal::RoutesUnknown => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::NoKey(_)
            | Refusal::KeyOutOfRange
            | Refusal::Header { .. }
            | Refusal::BodyBroken => StatusCode::BAD_REQUEST,
            Refusal::HeadersTooLarge { .. } => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Refusal::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}
