//! Outputs of a [`crate::Node`], to be carried out by its caller.

use model::{Instance, KeyHash, ObjectVersion, Slot, Timestamp, Token};

use crate::{Confirmation, Coordinator, MemberCapacity, Message, Plan};

/// Identifier of a platform call, unique within one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Action to be carried out by the caller of [`crate::Node::step`], in the order of the outputs.
#[derive(Debug, Clone)]
pub enum Output {
    /// Send a message to a peer. It may be lost, delayed, duplicated or reordered.
    Send { to: Instance, message: Message },
    /// Send a message to the current incarnation at the peer's address, which may be a later one than `to` names.
    SendToAddress { to: Instance, message: Message },
    /// Call the platform and pass its reply as [`crate::Input::Platform`].
    Platform { call: CallId, request: PlatformRequest },
    /// Apply a command at the local gate.
    Gate(GateCommand),
    /// Report an event for the log and the status object.
    Event(Event),
    /// The graceful stop is complete; no further output follows.
    Stopped,
}

/// Call to the platform's object API for an object of this node's group.
#[derive(Debug, Clone)]
pub enum PlatformRequest {
    ReadCoordinator,
    ReadPlan,
    /// Update the object if it still has the version `expected`. A version without a revision stands for an object that
    /// does not exist, so that the update creates it.
    UpdateCoordinator {
        expected: ObjectVersion,
        object: Coordinator,
    },
    /// Update the plan on the same condition.
    UpdatePlan {
        expected: ObjectVersion,
        object: Box<Plan>,
    },
    /// Draw a round for a term after a rollback: above `above` and all rounds drawn before in `era`. Fails if the platform
    /// is in another era.
    DrawRound {
        era: u64,
        above: u32,
    },
}

/// Command to the gate, which admits requests for slots and hot keys under a single lease.
#[derive(Debug, Clone, PartialEq)]
pub enum GateCommand {
    /// Set the end of the lease (exclusive) over everything admitted. Requests to upstreams that do not check fence
    /// tokens must end before it.
    Lease { until: Timestamp },
    /// Have the upstream prepare for a slot, then pass [`crate::Input::Prepared`].
    Prepare { slot: Slot, token: Token },
    /// Admit requests of this slot under this token.
    Admit { slot: Slot, token: Token },
    /// Admit requests of one hot key under this token, regardless of its slot.
    AdmitKey { key_hash: KeyHash, token: Token },
    /// Refuse requests of a hot key that another instance owns, although its slot is admitted.
    ExcludeKey { key_hash: KeyHash, owner: Instance },
    /// Remove the entry of a hot key, which then follows its slot again.
    RemoveKey { key_hash: KeyHash },
    /// Stop admitting requests of this key, whether it has an entry of its own or follows its slot. Finish its requests
    /// in flight, hand its records to `to`, then pass [`crate::Input::KeyClosed`]. The key is refused until
    /// [`GateCommand::AdmitKey`] or [`GateCommand::RemoveKey`].
    CloseKey { key_hash: KeyHash, token: Token, to: Option<Instance> },
    /// Stop admitting requests of this slot. Finish its requests in flight, hand its records to `to`, then pass
    /// [`crate::Input::Closed`].
    Close { slot: Slot, token: Token, to: Option<Instance> },
    /// Have the upstream release everything that earlier sessions or incarnations of this agent granted it under tokens
    /// up to this one, then pass [`crate::Input::Cleared`]. Later admissions wait for the release.
    Clear { token: Token },
    /// Stop admitting requests at once, because the lease has ended. Cancel requests in flight if the upstream does not
    /// check fence tokens. Later admissions carry new tokens.
    DropAll,
}

/// Event for the log and the status object.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    BecameCoordinator {
        term: u64,
    },
    LostCoordination {
        term: u64,
    },
    SessionOpened,
    /// The session has ended; `reason` is a short text for the log.
    SessionEnded {
        reason: &'static str,
    },
    MemberJoined {
        member: Instance,
    },
    MemberLost {
        member: Instance,
    },
    /// A member was refused because the group already has the maximum number of members.
    JoinRefused {
        member: Instance,
    },
    /// The coordinator is now confirmed by another party or by other witnesses.
    ConfirmationChanged {
        confirmation: Confirmation,
        witnesses: u16,
    },
    /// Earlier terms can no longer renew or grant leases.
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
    /// The weight of a member in the planner has changed.
    MemberWeighed(MemberCapacity),
    /// A member has reported a capacity that is out of range, and was replaced by its bound.
    CapacityOutOfRange {
        member: Instance,
    },
}

/// Reason why a slot was granted to its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MoveReason {
    /// The slot had no owner.
    First,
    /// The previous owner was lost.
    Loss,
    /// The previous owner is leaving.
    Leave,
    /// The move balances the load.
    Rebalance,
}
