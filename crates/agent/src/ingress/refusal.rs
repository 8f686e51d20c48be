//! Refusals: the reasons for which ingress does not forward a request.

use http::{HeaderName, StatusCode};
use settings::RouteError;

/// The reason for which ingress does not forward a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Refusal {
    #[error("the path's first segment names no service")]
    NoService,
    #[error("no route leads on from this host and path")]
    NoHostRoute,
    #[error("the routes of this service are not known here yet")]
    RoutesUnknown,
    #[error("{0}")]
    NoRoute(RouteError),
    #[error("{0}")]
    NoKey(RouteError),
    #[error("the key is no whole number, or too large a one")]
    KeyOutOfRange,
    #[error("{header}: {expected}")]
    Header { header: HeaderName, expected: &'static str },
    #[error("the headers have more than {bytes_max} bytes")]
    HeadersTooLarge { bytes_max: usize },
    #[error("the body has more than {bytes_max} bytes")]
    BodyTooLarge { bytes_max: usize },
    #[error("the body broke off")]
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
