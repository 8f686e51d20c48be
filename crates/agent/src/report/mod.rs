//! What traffic tells the control thread, over one bounded channel.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use model::{ConfigVersion, Instance, KeyHash, ServiceName, Slot, Token};
use ownership::UpstreamState;
use tokio::sync::mpsc;

/// How many reports may wait for the control thread.
const REPORTS_MAX: usize = 1024;

/// One event of traffic that control acts on. Load is not among them: see
/// [`crate::gate::GateHandle::take_load`].
#[derive(Debug, Clone)]
pub enum Report {
    /// The upstream beside this agent said what it is; repeated about each second.
    Announcement(Announcement),
    /// The upstream beside this agent has said that it leaves, for good.
    UpstreamLeaving { upstream_id: UpstreamId, incarnation_start_ms: Option<u64> },
    /// The upstream has seen a higher token for a grant than the one it was given.
    GrantOutdated { token: Token },
    /// The upstream's state as the gate sees it: hung or gone, or answering again.
    Upstream(UpstreamState),
    /// The upstream is warm for a slot.
    Prepared { slot: Slot, token: Token },
    /// A closed slot is empty and its records have been handed over or given up.
    Closed { slot: Slot, token: Token },
    /// Several slots at once, as an upstream that enforces leases gives them up.
    ClosedSlots(Vec<(Slot, Token)>),
    /// Several slots that need no preparing.
    PreparedSlots(Vec<(Slot, Token)>),
    /// The upstream holds nothing of what earlier sessions or lives of this agent granted it.
    Cleared { token: Token },
    /// The same for a closed key.
    KeyClosed { key_hash: KeyHash, token: Token },
    /// A peer refused a request, for it is not the owner or is leaving, or it can't be reached.
    StaleRoute {
        service: ServiceName,
        /// None where the service is not divided by key.
        key_hash: Option<KeyHash>,
        owner: Option<Instance>,
        route_version: u64,
    },
    /// A caller asked for a service that is not in the snapshot.
    UnknownService { service: ServiceName },
    /// A peer has a later document in force.
    Config { service: ServiceName, version: ConfigVersion, from: Instance },
}

/// What an upstream says of itself to the agent beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    pub service: ServiceName,
    pub address: SocketAddr,
    pub state: UpstreamState,
    /// How many requests it runs at once.
    pub slots: u16,
    pub checks_fence: bool,
    /// How the upstream names itself, if it does; a later life may have the same name.
    pub upstream_id: Option<UpstreamId>,
    /// When this life of it began, in milliseconds of its time of day, if it says so.
    pub incarnation_start_ms: Option<u64>,
    /// Rises with each announcement of one life; 0 where they are not numbered.
    pub sequence: u64,
    /// For how much longer it is cold, and bears only what the document says; zero: it is warm.
    pub cold_for: Duration,
}

impl Announcement {
    /// Whether both come from one life of an upstream.
    pub(crate) fn is_same_incarnation(&self, other: &Announcement) -> bool {
        self.upstream_id == other.upstream_id
            && self.incarnation_start_ms == other.incarnation_start_ms
    }

    /// Whether both say the same, apart from their number and the time that runs down.
    pub(crate) fn is_equivalent(&self, other: &Announcement) -> bool {
        let lasting = |it: &Announcement| Announcement {
            sequence: 0,
            cold_for: Duration::ZERO,
            ..it.clone()
        };
        lasting(self) == lasting(other)
    }
}

/// How an upstream names itself.
pub type UpstreamId = Arc<str>;

/// The sending end; clones share the channel.
#[derive(Debug, Clone)]
pub struct Reporter(mpsc::Sender<Report>);

/// Makes the channel.
pub fn channel() -> (Reporter, mpsc::Receiver<Report>) {
    let (sender, receiver) = mpsc::channel(REPORTS_MAX);
    (Reporter(sender), receiver)
}

impl Reporter {
    /// Reports what may be lost, for it is repeated or only a hint. Never waits.
    pub(crate) fn try_report(&self, report: Report) {
        if let Err(error) = self.0.try_send(report) {
            log::debug!(target: "report", "Dropped a report to control: {error}.");
        }
    }

    /// Reports what must not be lost; waits for room.
    pub(crate) async fn report(&self, report: Report) {
        if self.0.send(report).await.is_err() {
            log::debug!(target: "report", "Control has ended.");
        }
    }
}
