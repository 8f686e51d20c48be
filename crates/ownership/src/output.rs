//! What a node asks for.

use model::{Instance, KeyHash, ObjectVersion, Slot, Timestamp, Token};

use crate::{Confirmation, Coordinator, Message, Plan};

/// Names a platform call within one node's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One thing to be carried out by the driver of a [`crate::Node`], in the order given.
#[derive(Debug, Clone)]
pub enum Output {
    /// Send to a peer; may be lost, late, doubled or out of order.
    Send { to: Instance, message: Message },
    /// The same to whichever life of the peer is at its address by now.
    SendToAddress { to: Instance, message: Message },
    /// Call the platform and give its reply as [`crate::Input::Platform`].
    Platform { call: CallId, request: PlatformRequest },
    /// Change what the local gate admits.
    Gate(GateCommand),
    /// For logs and the status.
    Event(Event),
    /// A graceful stop is complete.
    Stopped,
}

/// A call to the platform's object API about this node's own group.
#[derive(Debug, Clone)]
pub enum PlatformRequest {
    ReadCoordinator,
    ReadPlan,
    /// Update on condition that the object still has `expected`; without a revision: that it does not exist.
    UpdateCoordinator {
        expected: ObjectVersion,
        object: Coordinator,
    },
    UpdatePlan {
        expected: ObjectVersion,
        object: Box<Plan>,
    },
}

/// A change of what the gate admits. The gate holds one lease for all it admits.
#[derive(Debug, Clone, PartialEq)]
pub enum GateCommand {
    /// The lease over everything admitted ends at this time (exclusive), unless extended. Requests
    /// to upstreams that check no fence token must end before it.
    Lease { until: Timestamp },
    /// Warm the upstream up for a slot, then give [`crate::Input::Prepared`].
    Prepare { slot: Slot, token: Token },
    /// Admit requests of this slot under this token.
    Admit { slot: Slot, token: Token },
    /// Admit requests of one hot key, whatever its slot says.
    AdmitKey { key_hash: KeyHash, token: Token },
    /// A hot key of this slot is owned elsewhere: refuse it though the slot is admitted.
    ExcludeKey { key_hash: KeyHash, owner: Instance },
    /// The hot key follows its slot again.
    RemoveKey { key_hash: KeyHash },
    /// Admit no more requests of this key, whether it has an entry of its own or follows its slot;
    /// finish what is in flight, hand its records to `to`, then give
    /// [`crate::Input::KeyClosed`]. The key stays refused until [`GateCommand::AdmitKey`] or
    /// [`GateCommand::RemoveKey`].
    CloseKey { key_hash: KeyHash, token: Token, to: Option<Instance> },
    /// Admit no more requests of this slot, finish what is in flight, hand its records to `to`,
    /// then give [`crate::Input::Closed`].
    Close { slot: Slot, token: Token, to: Option<Instance> },
    /// Have the upstream give up what it was granted under tokens up to this one, by earlier sessions or
    /// lives of this agent, then give [`crate::Input::Cleared`]. What is admitted later waits for that.
    Clear { token: Token },
    /// The lease is gone: admit nothing from this moment on; cancel what is in flight if the
    /// upstream does not check fence tokens. Later admissions carry new tokens.
    DropAll,
}

/// Something worth a line in the log or the status.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    BecameCoordinator {
        term: u64,
    },
    LostCoordination {
        term: u64,
    },
    SessionOpened,
    /// Why: "lapsed", "pause", "older term", ...
    SessionEnded {
        reason: &'static str,
    },
    MemberJoined {
        member: Instance,
    },
    MemberLost {
        member: Instance,
    },
    /// The group has its largest number of members already.
    JoinRefused {
        member: Instance,
    },
    /// The coordinator's confirmation has moved to another path or other witnesses.
    ConfirmationChanged {
        confirmation: Confirmation,
        witnesses: u16,
    },
    /// No earlier term can renew or grant any more.
    Settled {
        term: u64,
    },
    Granted {
        slot: Slot,
        token: Token,
        to: Instance,
        reason: MoveReason,
    },
    PlanWritten {
        version: u64,
    },
}

/// Why a slot has come to its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MoveReason {
    /// Nobody had owned it.
    First,
    /// The former owner was lost.
    Loss,
    /// The former owner is leaving.
    Leave,
    /// To even out the load.
    Rebalance,
}
