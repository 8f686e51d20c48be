//! Reports from the traffic threads to the control thread, over one bounded channel.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use model::{ConfigVersion, Instance, KeyHash, ServiceName, Slot, Token};
use ownership::UpstreamState;
use tokio::sync::mpsc;
use upstream::Presence;

/// Largest number of reports queued for the control thread.
const REPORT_QUEUE_MAX: usize = 1024;

/// An event in the traffic plane that control acts on. Load is collected separately, by
/// [`crate::gate::GateHandle::take_load`].
#[derive(Debug, Clone)]
pub enum Report {
    /// An announcement of the local upstream, repeated about once a second.
    Announcement(Announcement),
    /// The local upstream has announced, or stated in an answer, that it is stopping.
    UpstreamLeaving { upstream_id: Option<UpstreamId>, incarnation_start_ms: Option<u64> },
    /// The local upstream has answered a probe that was sent after its announcement.
    UpstreamProbed {
        upstream_id: Option<UpstreamId>,
        incarnation_start_ms: Option<u64>,
        presence: Presence,
    },
    /// The upstream has seen a higher token for a grant than `token`, which this agent granted.
    GrantOutdated { token: Token },
    /// The upstream's state as the gate observes it: lost, or responding again.
    Upstream(UpstreamState),
    /// The upstream is prepared to serve a slot.
    Prepared { slot: Slot, token: Token },
    /// A closed slot has no running requests, and its records have been handed over or discarded.
    Closed { slot: Slot, token: Token },
    /// Several slots are closed at once, when an upstream that enforces leases has released them.
    ClosedSlots(Vec<(Slot, Token)>),
    /// Several slots are ready that need no preparation.
    PreparedSlots(Vec<(Slot, Token)>),
    /// The upstream holds no grants of earlier sessions or incarnations of this agent.
    Cleared { token: Token },
    /// A closed hot key has no running requests, and its records have been handed over or discarded.
    KeyClosed { key_hash: KeyHash, token: Token },
    /// A peer refused a request because it is not the owner or is leaving, or the peer cannot be reached.
    StaleRoute {
        service: ServiceName,
        /// `None` if the service is not sharded by key.
        key_hash: Option<KeyHash>,
        owner: Option<Instance>,
        route_version: u64,
    },
    /// A caller sent a request for a service that is not in the snapshot.
    UnknownService { service: ServiceName },
    /// A peer uses a later version of a service's document.
    Config { service: ServiceName, version: ConfigVersion, from: Instance },
}

/// The state that the local upstream announces to its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    pub service: ServiceName,
    pub address: SocketAddr,
    pub state: UpstreamState,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u16,
    pub checks_fence: bool,
    /// Id that the upstream has chosen, if any. A later incarnation may have the same id.
    pub upstream_id: Option<UpstreamId>,
    /// Start time of this incarnation by the upstream's wall clock, in milliseconds, if it announces one.
    pub incarnation_start_ms: Option<u64>,
    /// Increases with each announcement of an incarnation; 0 if announcements are not numbered.
    pub sequence: u64,
    /// Time for which the upstream remains cold and takes only the load that the document allows for a cold
    /// one; zero if it is warm.
    pub cold_for: Duration,
}

impl Announcement {
    /// Returns whether both announcements come from the same incarnation of an upstream.
    pub(crate) fn is_same_incarnation(&self, other: &Announcement) -> bool {
        self.upstream_id == other.upstream_id
            && self.incarnation_start_ms == other.incarnation_start_ms
    }

    /// Returns whether the announcements are equal apart from their sequence and the remaining cold time.
    pub(crate) fn is_equivalent(&self, other: &Announcement) -> bool {
        let without_changing_fields = |it: &Announcement| Announcement {
            sequence: 0,
            cold_for: Duration::ZERO,
            ..it.clone()
        };
        without_changing_fields(self) == without_changing_fields(other)
    }
}

/// The id that an upstream announces for itself.
pub type UpstreamId = Arc<str>;

/// The sending end of the channel. Clones share it.
#[derive(Debug, Clone)]
pub struct Reporter(mpsc::Sender<Report>);

/// Creates the channel.
pub fn channel() -> (Reporter, mpsc::Receiver<Report>) {
    let (sender, receiver) = mpsc::channel(REPORT_QUEUE_MAX);
    (Reporter(sender), receiver)
}

impl Reporter {
    /// Sends a report that may be lost, because it is repeated or only a hint. Never waits; drops the report if
    /// the channel is full.
    pub(crate) fn try_report(&self, report: Report) {
        if let Err(error) = self.0.try_send(report) {
            log::debug!(target: "report", "Dropped a report to the control thread: {error}.");
        }
    }

    /// Sends a report that must not be lost; waits while the channel is full.
    pub(crate) async fn report(&self, report: Report) {
        if self.0.send(report).await.is_err() {
            log::debug!(target: "report", "Dropped a report, because the control thread has ended.");
        }
    }
}
