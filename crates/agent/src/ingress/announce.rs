//! Announcements of the local upstream.

use std::{convert::Infallible, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode, request::Parts};
use ownership::UpstreamState;
use tokio::net::TcpListener;
use upstream::{AnnouncedKeys, AnnouncementBody, AssignedKeys, HealthState};
use volo::{Service, net::incoming::DefaultIncoming};
use volo_http::{
    body::Body, context::ServerContext, request::Request, response::Response, server::Server,
};

use crate::{
    clock::Clock,
    gate::UpstreamClock,
    ingress::read,
    report::{Announcement, Report, Reporter, UpstreamId},
};

/// The largest announcement, in bytes: one that names 300 ranges of keys with the tokens of as many more
/// has about 30 KB.
const BYTES_MAX: usize = 64 << 10;

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamMessage {
    Announced {
        announcement: Announcement,
        /// What its monotonic clock shows, in milliseconds, if it says so.
        clock_ms: Option<u64>,
        /// What it says of its keys, where it is granted them by its announcements.
        keys: Option<AnnouncedKeys>,
    },
    /// It leaves for good.
    Leaving {
        upstream_id: UpstreamId,
        /// When this life of it began, in milliseconds of its time of day, if it says so.
        incarnation_start_ms: Option<u64>,
    },
}

/// Who knows what the upstream is to hold.
pub(crate) trait KeyGranter: Send + Sync {
    /// Takes in what the upstream says of its keys, and resolves to what it is to be told, within a second.
    /// None: nothing.
    fn keys_to_hold(
        &self,
        announcement: Announcement,
        held: AnnouncedKeys,
        ranges_max: usize,
    ) -> Pin<Box<dyn Future<Output = Option<AssignedKeys>> + Send + '_>>;
}

/// How the local upstream announces itself.
pub trait AnnounceProtocol: Send + Sync {
    /// Whether a request at the caller address is an announcement and not a caller's.
    fn is_announcement(&self, head: &Parts) -> bool;
    /// Reads an announcement; the error is what the upstream is told, and its status.
    fn read(&self, head: &Parts, body: &[u8]) -> Result<UpstreamMessage, (StatusCode, String)>;
    /// The response to one that has been taken; with what the upstream is to hold, if there is something
    /// to say about that.
    fn acknowledge(&self, keys: Option<&AssignedKeys>) -> Response;
    /// The most runs of keys that fit into a response.
    fn ranges_max(&self) -> usize;
}

/// Takes announcements to control.
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

    /// Takes an announcement and passes it on to control.
    pub(super) async fn take(&self, head: &Parts, body: Body) -> Response {
        let body: Result<Bytes, _> = read(body, BYTES_MAX).await;
        let heard = match body {
            Ok(body) => self.protocol.read(head, &body),
            Err(error) => Err((StatusCode::BAD_REQUEST, error.to_string())),
        };
        match heard {
            Ok(heard) => {
                let keys = self.pass_on(heard).await;
                self.protocol.acknowledge(keys.as_ref())
            }
            Err((status, text)) => {
                log::warn!(target: "ingress", "Refused an announcement: {text}.");
                let mut response = Response::new(Body::from(text));
                *response.status_mut() = status;
                response
            }
        }
    }

    /// Resolves to what the upstream is to hold, if there is something to say about that.
    async fn pass_on(&self, heard: UpstreamMessage) -> Option<AssignedKeys> {
        match heard {
            UpstreamMessage::Announced { announcement, clock_ms, keys } => {
                self.upstream_clock.update(clock_ms, self.clock.now());
                self.reporter.try_report(Report::Announcement(announcement.clone()));
                let ranges_max = self.protocol.ranges_max();
                self.granter.keys_to_hold(announcement, keys?, ranges_max).await
            }
            UpstreamMessage::Leaving { upstream_id, incarnation_start_ms } => {
                self.reporter
                    .try_report(Report::UpstreamLeaving { upstream_id, incarnation_start_ms });
                None
            }
        }
    }
}

impl Service<ServerContext, Request> for Announcements {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _cx: &mut ServerContext,
        request: Request,
    ) -> Result<Response, Infallible> {
        let (head, body) = request.into_parts();
        Ok(self.take(&head, body).await)
    }
}

/// Serves an address that is for announcements alone, for ever.
pub(crate) async fn serve_announcements(listener: TcpListener, announcements: Announcements) {
    let server = Server::new(announcements)
        // Signals are none of its business: it ends with the process.
        .register_shutdown_hook(|| Box::pin(std::future::pending()));
    if let Err(error) = server.run(DefaultIncoming::from(listener)).await {
        log::error!(target: "ingress", "The server for announcements ended: {error}.");
    }
}

/// The product's own form.
#[derive(Debug)]
pub(crate) struct DefaultAnnounceProtocol;

impl DefaultAnnounceProtocol {
    /// Paths that are the upstream's own.
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

    /// Its upstreams are told of grants by calls.
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
            incarnation_start_ms: None,
            sequence: 0,
            cold_for: Duration::ZERO,
        }
    }
}
