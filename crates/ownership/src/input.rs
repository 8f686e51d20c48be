//! What a node is told.

use model::{ConfigVersion, Instance, KeyHash, ObjectVersion, Slot, Token};

use crate::{CallId, Coordinator, Limits, Message, Plan};

/// One event for [`crate::Node::step`].
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed; to be given at least every 50 ms.
    Tick,
    /// A message of a peer, over an authenticated link.
    Message {
        from: Instance,
        message: Message,
    },
    /// The end of a call asked for by [`crate::Output::Platform`].
    Platform {
        call: CallId,
        reply: PlatformReply,
    },
    /// What the upstream beside this agent says of itself.
    Upstream(UpstreamState),
    /// The upstream is ready for a slot that [`crate::GateCommand::Prepare`] named.
    Prepared {
        slot: Slot,
        token: Token,
    },
    /// Nothing of a slot closed by [`crate::GateCommand::Close`] is in flight any more, and its
    /// records have been handed over or given up.
    Closed {
        slot: Slot,
        token: Token,
    },
    /// Several slots at once, as they come from an upstream that gives up or takes whole ranges.
    ClosedSlots(Vec<(Slot, Token)>),
    PreparedSlots(Vec<(Slot, Token)>),
    /// The same for one key closed by [`crate::GateCommand::CloseKey`].
    KeyClosed {
        key_hash: KeyHash,
        token: Token,
    },
    /// The upstream has answered that it holds nothing of what [`crate::GateCommand::Clear`] named.
    Cleared {
        token: Token,
    },
    /// The load since the last report.
    Load(LoadReport),
    /// The service's document has changed.
    Limits(Box<Limits>),
    /// The highest accepted version of the service's document that this agent has in force.
    Config(ConfigVersion),
    /// What the upstream held is gone, or refused: give up the session with all that it holds, and
    /// start one that holds nothing.
    DropSession {
        reason: &'static str,
    },
    /// The whole instance was suspended, and the clock stood still meanwhile: what was held or proved
    /// before counts no more.
    Suspended,
    /// Leave gracefully: hand over all slots and the term, then say [`crate::Output::Stopped`].
    Stop,
}

/// State of the local upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UpstreamState {
    /// Up, but not ready for work.
    Starting,
    Ready,
    /// Leaving: no new work.
    Draining,
    /// Hung or gone.
    Lost,
}

/// The end of a platform call.
#[derive(Debug, Clone)]
pub enum PlatformReply {
    /// The version of one that does not exist has no revision.
    Coordinator(ObjectVersion, Option<Coordinator>),
    Plan(ObjectVersion, Option<Box<Plan>>),
    /// The conditional update took effect; the object's version now.
    Updated(ObjectVersion),
    /// The conditional update was refused: the object has another version.
    Conflict,
    /// No answer, or an error: an update may or may not have taken effect.
    Failed,
}

impl PlatformReply {
    /// The era of the platform that it shows; none: it shows no version.
    pub(crate) fn era(&self) -> Option<u64> {
        match self {
            PlatformReply::Coordinator(version, _)
            | PlatformReply::Plan(version, _)
            | PlatformReply::Updated(version) => Some(version.era()),
            PlatformReply::Conflict | PlatformReply::Failed => None,
        }
    }
}

/// Load of the local instance over a period, in bounded size.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadReport {
    pub period_ms: u32,
    /// Upstream time spent, in microseconds, over all slots.
    pub total_us: u64,
    /// The heaviest slots first; at most 64.
    pub slots: Vec<SlotLoad>,
    /// The heaviest keys first; at most 16.
    pub keys: Vec<KeyLoad>,
}

/// Load of one slot, keys with an entry of their own and those named in the report left out.
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
