//! Receives the announcements of the local upstream.

use std::{pin::Pin, sync::Arc, time::Duration};

use body_budget::{BodyBudget, BodyKind, collect};
use http::{Method, StatusCode, request::Parts};
use ownership::UpstreamState;
use tokio::time::timeout;
use upstream::{AnnouncedKeys, AnnouncementBody, AssignedKeys, HealthState};
use volo_http::{body::Body, request::Request, response::Response};

use crate::{
    clock::Clock,
    connections::HttpListener,
    gate::UpstreamClock,
    report::{Announcement, Report, Reporter, UpstreamId},
};

/// Size limit of an announcement. One that lists 300 ranges of keys and the tokens of as many more has about
/// 30 KB.
const ANNOUNCEMENT_BYTES_MAX: usize = 64 << 10;
/// Time within which an announcement has to be received; its sender waits for a second or less.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// A message from the local upstream about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamMessage {
    Announced {
        announcement: Announcement,
        /// The upstream's monotonic clock, in milliseconds, if the message contains it.
        clock_ms: Option<u64>,
        /// The keys that the upstream holds and has released, if it is granted keys in the responses to its
        /// announcements.
        keys: Option<AnnouncedKeys>,
    },
    /// The upstream is stopping and will not announce itself again.
    Leaving {
        upstream_id: UpstreamId,
        /// Start time of this incarnation by the upstream's wall clock, in milliseconds, if the message
        /// contains it.
        incarnation_start_ms: Option<u64>,
    },
}

/// Decides which keys the local upstream is granted.
pub(crate) trait KeyGranter: Send + Sync {
    /// Processes the keys that the upstream reports, and resolves within a second to the keys that it is to
    /// hold. Resolves to `None` if the response is to list no keys.
    fn assign_keys(
        &self,
        announcement: Announcement,
        announced_keys: AnnouncedKeys,
        ranges_max: usize,
    ) -> Pin<Box<dyn Future<Output = Option<AssignedKeys>> + Send + '_>>;
}

/// The format in which the local upstream announces itself.
pub trait AnnounceProtocol: Send + Sync {
    /// Returns whether a request at the caller address is an announcement rather than a caller's request.
    fn is_announcement(&self, head: &Parts) -> bool;
    /// Reads an announcement. An error is the status and the body of the response.
    fn read(&self, head: &Parts, body: &[u8]) -> Result<UpstreamMessage, (StatusCode, String)>;
    /// Builds the response to an accepted announcement, with the keys that the upstream is to hold if there
    /// are any to list.
    fn acknowledge(&self, keys: Option<&AssignedKeys>) -> Response;
    /// Returns the largest number of key ranges that fit into a response.
    fn ranges_max(&self) -> usize;
}

/// Passes announcements on to control.
#[derive(Clone)]
pub(crate) struct Announcements {
    pub(crate) protocol: Arc<dyn AnnounceProtocol>,
    pub(crate) clock: Clock,
    pub(crate) upstream_clock: Arc<UpstreamClock>,
    pub(crate) reporter: Reporter,
    pub(crate) granter: Arc<dyn KeyGranter>,
}

impl Announcements {
    pub(super) fn is_announcement(&self, head: &Parts) -> bool {
        self.protocol.is_announcement(head)
    }

    /// Reads an announcement, passes it on to control and builds the response.
    pub(super) async fn handle(&self, head: &Parts, body: Body) -> Response {
        // Outside of the process's budget, since requests must not keep out announcements.
        let budget = BodyBudget::unlimited();
        let reading = collect(body, ANNOUNCEMENT_BYTES_MAX, &budget, BodyKind::Request);
        let message = match timeout(ANNOUNCEMENT_TIMEOUT, reading).await {
            Ok(Ok(body)) => self.protocol.read(head, &body),
            Ok(Err(error)) => Err((StatusCode::BAD_REQUEST, error.to_string())),
            Err(_) => {
                let text = format!("the body did not end within {ANNOUNCEMENT_TIMEOUT:?}");
                Err((StatusCode::REQUEST_TIMEOUT, text))
            }
        };
        match message {
            Ok(message) => {
                let keys = self.forward_to_control(message).await;
                self.protocol.acknowledge(keys.as_ref())
            }
            Err((status, text)) => {
                log::warn!(target: "ingress", "Rejected an announcement of the upstream: {text}.");
                let mut response = Response::new(Body::from(text));
                *response.status_mut() = status;
                response
            }
        }
    }

    /// Reports the message to control. Resolves to the keys that the upstream is to hold, if the response is
    /// to list them.
    async fn forward_to_control(&self, message: UpstreamMessage) -> Option<AssignedKeys> {
        match message {
            UpstreamMessage::Announced { announcement, clock_ms, keys } => {
                self.upstream_clock.update(clock_ms, self.clock.now());
                let report = Report::Announcement(announcement.clone());
                match announcement.state {
                    // Repeated about once a second.
                    UpstreamState::Starting | UpstreamState::Ready => {
                        self.reporter.try_report(report)
                    }
                    // Its acknowledgement binds this agent.
                    UpstreamState::Draining | UpstreamState::Lost => {
                        self.reporter.report(report).await
                    }
                }
                let ranges_max = self.protocol.ranges_max();
                self.granter.assign_keys(announcement, keys?, ranges_max).await
            }
            UpstreamMessage::Leaving { upstream_id, incarnation_start_ms } => {
                let upstream_id = Some(upstream_id);
                let report = Report::UpstreamLeaving { upstream_id, incarnation_start_ms };
                // Sent once, and its acknowledgement binds this agent.
                self.reporter.report(report).await;
                None
            }
        }
    }
}

/// Serves a separate address for announcements until the process ends.
pub(crate) async fn serve_announcements(listener: HttpListener, announcements: Announcements) {
    let respond = move |request: Request| {
        let announcements = announcements.clone();
        async move {
            let (head, body) = request.into_parts();
            announcements.handle(&head, body).await
        }
    };
    listener.serve(respond).await;
}

/// The default format: JSON in the body of a POST.
#[derive(Debug)]
pub(crate) struct DefaultAnnounceProtocol;

impl DefaultAnnounceProtocol {
    /// Prefix of the paths that are reserved for the upstream.
    const PREFIX: &str = "/upstream/";
    const PATH: &str = "/upstream/announce";
}

impl AnnounceProtocol for DefaultAnnounceProtocol {
    fn is_announcement(&self, head: &Parts) -> bool {
        head.uri.path().starts_with(Self::PREFIX)
    }

    fn read(&self, head: &Parts, body: &[u8]) -> Result<UpstreamMessage, (StatusCode, String)> {
        let refuse = |status, text: &str| Err((status, text.to_owned()));
        match () {
            _ if head.uri.path() != Self::PATH => refuse(StatusCode::NOT_FOUND, "no such call"),
            _ if head.method != Method::POST => {
                refuse(StatusCode::METHOD_NOT_ALLOWED, "an announcement is a POST")
            }
            _ => {
                let announced: AnnouncementBody = serde_json::from_slice(body)
                    .map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()))?;
                let clock_ms = announced.clock_ms;
                Ok(UpstreamMessage::Announced {
                    announcement: announced.into(),
                    clock_ms,
                    keys: None,
                })
            }
        }
    }

    fn acknowledge(&self, _keys: Option<&AssignedKeys>) -> Response {
        Response::new(Body::from(String::new()))
    }

    /// Returns 0, since upstreams of this protocol get their grants by calls of the agent.
    fn ranges_max(&self) -> usize {
        0
    }
}

impl From<AnnouncementBody> for Announcement {
    fn from(announced: AnnouncementBody) -> Announcement {
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
            upstream_id: None,
            incarnation_start_ms: announced.started_ms,
            sequence: 0,
            cold_for: Duration::ZERO,
        }
    }
}
