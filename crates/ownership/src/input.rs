//! Inputs of a [`crate::Node`].

use model::{ConfigVersion, Instance, KeyHash, ObjectVersion, Slot, Token};

use crate::{CallId, Coordinator, Limits, Message, Plan};

/// One input of [`crate::Node::step`].
#[derive(Debug, Clone)]
pub enum Input {
    /// Passage of time; must be passed at least every 50 ms.
    Tick,
    /// Message from a peer, received over an authenticated link.
    Message { from: Instance, message: Message },
    /// Reply to a call requested by [`crate::Output::Platform`].
    Platform { call: CallId, reply: PlatformReply },
    /// State that the upstream beside this agent reports.
    Upstream(UpstreamState),
    /// The upstream has completed a [`crate::GateCommand::Prepare`].
    Prepared { slot: Slot, token: Token },
    /// The gate has completed a [`crate::GateCommand::Close`]: no request of the slot is in flight, and its records
    /// have been handed over or dropped.
    Closed { slot: Slot, token: Token },
    /// Same as [`Input::Closed`] for several slots, for upstreams that release whole ranges.
    ClosedSlots(Vec<(Slot, Token)>),
    /// Same as [`Input::Prepared`] for several slots, for upstreams that accept whole ranges.
    PreparedSlots(Vec<(Slot, Token)>),
    /// The gate has completed a [`crate::GateCommand::CloseKey`].
    KeyClosed { key_hash: KeyHash, token: Token },
    /// The upstream has completed a [`crate::GateCommand::Clear`].
    Cleared { token: Token },
    /// Load since the last report.
    Load(LoadReport),
    /// The service's document has changed.
    Limits(Box<Limits>),
    /// Highest accepted version of the service's document that this agent has in force.
    Config(ConfigVersion),
    /// The upstream has lost its grants or refuses them: end the session, drop everything that it holds, and start a
    /// new one.
    DropSession { reason: &'static str },
    /// The instance was suspended and its clock did not advance meanwhile: earlier leases and confirmations are no
    /// longer valid.
    Suspended,
    /// The agent has learned by other calls that the platform was rolled back to an older snapshot.
    PlatformRolledBack,
    /// Leave gracefully: hand over all slots and the term, then emit [`crate::Output::Stopped`].
    Stop,
}

/// State of the upstream beside an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UpstreamState {
    /// Running, but not ready for requests.
    Starting,
    Ready,
    /// Stopping: accepts no new slots.
    Draining,
    /// Hung or terminated.
    Lost,
}

/// Result of a platform call.
#[derive(Debug, Clone)]
pub enum PlatformReply {
    /// Coordinator object and its version, which has no revision if the object does not exist.
    Coordinator(ObjectVersion, Option<Coordinator>),
    /// Plan and its version, which has no revision if the plan does not exist.
    Plan(ObjectVersion, Option<Box<Plan>>),
    /// The conditional update took effect and gave the object this version.
    Updated(ObjectVersion),
    /// The round that [`crate::PlatformRequest::DrawRound`] has drawn.
    RoundDrawn(u32),
    /// The conditional update was refused because the object has another version.
    Conflict,
    /// The call failed or its reply was lost: an update may or may not have taken effect.
    Failed,
}

impl PlatformReply {
    /// Returns the era of the platform, if the reply carries an object version.
    pub(crate) fn era(&self) -> Option<u64> {
        match self {
            PlatformReply::Coordinator(version, _)
            | PlatformReply::Plan(version, _)
            | PlatformReply::Updated(version) => Some(version.era()),
            PlatformReply::RoundDrawn(_) | PlatformReply::Conflict | PlatformReply::Failed => None,
        }
    }
}

/// Load of one instance over a period, truncated to its heaviest slots and keys.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadReport {
    pub period_ms: u32,
    /// Total upstream time over all slots, in microseconds.
    pub total_us: u64,
    /// Up to 64 slots with the highest load.
    pub slots: Vec<SlotLoad>,
    /// Up to 16 keys with the highest load.
    pub keys: Vec<KeyLoad>,
    /// Measured capacity of the upstream; `None` if it answered no request, or if the service does not weigh capacity.
    /// A renewal carries it apart from the rest, as [`crate::Renew::capacity`].
    pub capacity: Option<CapacityReport>,
}

/// Capacity of one upstream, as measured at its gate over a period.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CapacityReport {
    /// Number of requests that the upstream runs at a time.
    pub slots: u16,
    /// Up to four kinds of requests, those with the most time.
    pub kinds: Vec<KindTime>,
}

/// Answered requests of one kind, and their time at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindTime {
    pub kind: u8,
    pub count: u32,
    pub total_us: u64,
}

/// Load of one slot without the hot keys that have their own entry and without the keys of the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotLoad {
    pub slot: Slot,
    pub load_us: u64,
    pub in_flight: u16,
}

/// Load of one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyLoad {
    pub key_hash: KeyHash,
    pub load_us: u64,
}
