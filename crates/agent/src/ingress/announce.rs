//! Announcements of the local upstream.

use http::{Method, StatusCode, request::Parts};
use ownership::UpstreamState;
use upstream::{Announced, HealthState};
use volo_http::{body::Body, response::Response};

use crate::{
    ingress::{IngressParts, read},
    report::{Announcement, Report},
};

/// Paths that are the upstream's own.
pub(super) const PREFIX: &str = "/upstream/";
const PATH: &str = "/upstream/announce";
const BYTES_MAX: usize = 4096;

/// Takes an announcement and passes it on to control.
pub(super) async fn take(ingress: &IngressParts, parts: &Parts, body: Body) -> Response {
    let (status, text) = match () {
        _ if parts.uri.path() != PATH => (StatusCode::NOT_FOUND, "no such call".to_owned()),
        _ if parts.method != Method::POST => {
            (StatusCode::METHOD_NOT_ALLOWED, "an announcement is a POST".to_owned())
        }
        _ => match parse(body).await {
            Ok(announced) => {
                ingress.upstream_clock.heard(announced.clock_ms, ingress.clock.now());
                ingress.reporter.hint(Report::Announcement(announced.into()));
                (StatusCode::OK, String::new())
            }
            Err(error) => (StatusCode::BAD_REQUEST, error),
        },
    };
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}

async fn parse(body: Body) -> Result<Announced, String> {
    let body = read(body, BYTES_MAX).await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

impl From<Announced> for Announcement {
    fn from(announced: Announced) -> Announcement {
        Announcement {
            service: announced.service,
            address: announced.address,
            state: match announced.state {
                HealthState::Starting => UpstreamState::Starting,
                HealthState::Ready => UpstreamState::Ready,
                HealthState::Draining => UpstreamState::Draining,
            },
            slots: announced.slots,
            checks_fence: announced.checks_fence,
        }
    }
}
