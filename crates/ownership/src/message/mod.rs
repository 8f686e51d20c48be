//! Messages between the nodes of one group.
//!
//! Commands to a member and reports from a member are ordered streams: entries are numbered from 1 within one
//! session and term, resent until acknowledged, and applied in order. Loss, delay, reordering and duplication of
//! messages therefore do not affect the result.

use std::sync::Arc;

use model::{ConfigVersion, Instance, KeyHash, Slot, Term, Token};

use crate::{CapacityReport, LoadReport, UpstreamState};

/// Number of a session within one incarnation of a member; it only rises.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u32);

impl SessionId {
    /// First session of each incarnation.
    pub const FIRST: SessionId = SessionId(1);
}

/// Message between two nodes of one group. Each carries the sender's term.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Asks any member of the group for the current coordinator.
    CoordinatorQuery {
        term: Term,
    },
    /// Reply to [`Message::CoordinatorQuery`].
    CoordinatorReply {
        term: Term,
        coordinator: Option<Instance>,
        /// Time since the sender last received a message from the coordinator.
        silence_ms: u32,
    },
    /// Announces the sender as the holder of this term; members reply with [`Message::Renew`] and list their
    /// holdings.
    Announce {
        term: Term,
    },
    /// Announces that the sender has released this term.
    Released {
        term: Term,
    },
    /// Asks a witness for the highest term that it has seen, as a confirmation of the sender's term.
    WitnessQuery {
        term: Term,
        number: u64,
    },
    /// Highest term that the witness has seen; it confirms no lower term afterwards.
    WitnessReply {
        term: Term,
        /// Number of the query that this replies to.
        number: u64,
        /// Whether the witness has read the coordinator object from the platform since it started, and so has seen
        /// every term that an earlier incarnation of it confirmed.
        has_read: bool,
    },
    Renew(Box<Renew>),
    Renewed(Box<Renewed>),
    /// The coordinator has ended this session: the member no longer holds anything and has to start a new session.
    SessionEnded {
        term: Term,
        session: SessionId,
    },
    /// Reply to a [`Message::Renew`] that was sent to a node other than the coordinator.
    NotCoordinator {
        term: Term,
        coordinator: Option<Instance>,
    },
    /// The group already has the maximum number of members.
    JoinRefused {
        term: Term,
    },
}

impl Message {
    pub fn term(&self) -> Term {
        match self {
            Message::CoordinatorQuery { term }
            | Message::CoordinatorReply { term, .. }
            | Message::Announce { term }
            | Message::Released { term }
            | Message::WitnessQuery { term, .. }
            | Message::WitnessReply { term, .. }
            | Message::SessionEnded { term, .. }
            | Message::NotCoordinator { term, .. }
            | Message::JoinRefused { term } => *term,
            Message::Renew(it) => it.term,
            Message::Renewed(it) => it.term,
        }
    }
}

/// Request of a member to renew its lease or to join the group.
#[derive(Debug, Clone, PartialEq)]
pub struct Renew {
    pub term: Term,
    pub session: SessionId,
    /// Number that rises with each renewal of one incarnation.
    pub sequence: u64,
    pub upstream: UpstreamState,
    /// Whether the member is stopping: it must be granted nothing and may stop once it holds nothing.
    pub leaving: bool,
    /// Version of the service's document that the member has in force.
    pub config: ConfigVersion,
    /// Number of the last command that the member has applied.
    pub applied: u64,
    /// Number of the first entry of `reports`.
    pub first_report: u64,
    pub reports: Vec<Report>,
    /// Everything the member holds; sent until the coordinator of this term has replied for the first time.
    pub holding: Option<Holding>,
    pub load: Option<LoadReport>,
    /// Measured capacity of the upstream. Coordinators of an earlier version ignore a renewal that carries it.
    pub capacity: Option<CapacityReport>,
    pub route_version: u64,
}

/// Slots and hot keys that a session holds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Holding {
    /// Whether an earlier session of this incarnation ended so recently that the upstream may still be executing its
    /// requests.
    pub recently_lapsed: bool,
    pub slots: Vec<HeldSlot>,
    pub keys: Vec<HeldKey>,
    /// Hot keys that the member refuses although it holds their slot.
    pub excluded: Vec<KeyHash>,
}

/// Slot that a member holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldSlot {
    pub slot: Slot,
    pub token: Token,
    /// Whether the slot is closing: no request is admitted, but some may still be in flight.
    pub closing: bool,
}

/// Hot key that a member holds under an entry of its own, or is closing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldKey {
    pub key_hash: KeyHash,
    pub token: Token,
    /// Whether the key is closing: no request is admitted, but some may still be in flight.
    pub closing: bool,
}

/// Completion of a command, reported by a member to the coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    Prepared {
        slot: Slot,
        token: Token,
    },
    Closed {
        slot: Slot,
        token: Token,
    },
    KeyClosed {
        key_hash: KeyHash,
        token: Token,
    },
    /// The upstream no longer holds anything that it was granted under a token up to this one.
    Cleared {
        token: Token,
    },
}

/// Reply of the coordinator to a renewal; sent again when there are new commands.
#[derive(Debug, Clone, PartialEq)]
pub struct Renewed {
    pub term: Term,
    pub session: SessionId,
    /// Sequence number of the renewal that this replies to; the lease starts when that was sent.
    pub sequence: u64,
    pub lease_ms: u32,
    /// Number of the last report that the coordinator has received.
    pub last_report: u64,
    /// Number of the first entry of `commands`.
    pub first_command: u64,
    pub commands: Vec<Command>,
    /// Changed routes, shared by all members that receive the same changes.
    pub routes: Option<Arc<Routes>>,
    /// Highest version of the document that any member has in force.
    pub config: ConfigVersion,
    /// Whether the stopping member holds nothing and will be granted nothing.
    pub can_stop: bool,
}

/// Command from the coordinator to a member; see [`crate::GateCommand`] for the effect of each at the gate.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    Prepare {
        slot: Slot,
        token: Token,
    },
    Admit {
        slot: Slot,
        token: Token,
    },
    Close {
        slot: Slot,
        token: Token,
        to: Option<Instance>,
    },
    AdmitKey {
        key_hash: KeyHash,
        token: Token,
    },
    ExcludeKey {
        key_hash: KeyHash,
        owner: Instance,
    },
    RemoveKey {
        key_hash: KeyHash,
    },
    CloseKey {
        key_hash: KeyHash,
        token: Token,
        to: Option<Instance>,
    },
    /// Has the upstream release everything that earlier sessions or incarnations of the member granted it, all under
    /// tokens up to this one.
    Clear {
        token: Token,
    },
}

/// Changes to the group's table of owners since the receiver's version.
///
/// The coordinator numbers its members and all entries refer to these numbers, so the size of an update depends on
/// the number of changes and not on the number of members.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Routes {
    /// Version that the changes apply to. If it is below the first version of the term, this is the whole table.
    pub since: u64,
    /// Version of the receiver's table after applying the changes.
    pub version: u64,
    /// Numbers of members that have left. Applied first, because a new member may reuse a number.
    pub removed: Vec<MemberNumber>,
    pub joined: Vec<RouteMember>,
    /// Members that joined earlier and whose status has changed.
    pub changed: Vec<RouteMemberChange>,
    pub slots: Vec<RouteRange>,
    pub keys: Vec<RouteKey>,
}

/// Number of a member in the routes of one term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberNumber(pub u16);

/// Member that has joined, with the status that it last reported to the coordinator.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteMember {
    pub number: MemberNumber,
    pub instance: Instance,
    pub status: MemberStatus,
}

/// Changed status of a member that the receiver already has in its table.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteMemberChange {
    pub number: MemberNumber,
    pub status: MemberStatus,
}

/// Properties of a member that may change while it is in the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    pub state: UpstreamState,
    pub load_us_per_s: u64,
    pub config: ConfigVersion,
}

/// Range of consecutive slots, `first` to `last` inclusive, that have the same owner, token and successors.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRange {
    pub first: Slot,
    pub last: Slot,
    pub owner: Option<MemberNumber>,
    pub token: Token,
    /// Left empty in groups with so many members that the routes would become too long.
    pub successors: Vec<MemberNumber>,
}

impl RouteRange {
    /// Extends this range by `next` if `next` starts right after it and has the same owner, token and successors.
    /// Returns whether it did.
    pub(crate) fn try_extend(&mut self, next: &RouteRange) -> bool {
        let is_continuation = self.last.0.checked_add(1) == Some(next.first.0)
            && self.owner == next.owner
            && self.token == next.token
            && self.successors == next.successors;
        if is_continuation {
            self.last = next.last;
        }
        is_continuation
    }
}

/// Owner of a hot key; without an owner the key belongs to the owner of its slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteKey {
    pub key_hash: KeyHash,
    pub owner: Option<MemberNumber>,
    pub token: Token,
}
