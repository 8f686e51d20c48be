//! What the nodes of one group say to each other.
//!
//! Commands to a member and reports of a member are streams: numbered from 1 within one session
//! and term, repeated until heard, applied in order. So loss, delay, reordering and duplication
//! of messages cannot change what a stream says.

use std::sync::Arc;

use model::{ConfigVersion, Instance, KeyHash, Slot, Term, Token};

use crate::{LoadReport, UpstreamState};

/// Numbers the sessions of one incarnation of a member; only rises.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u32);

impl SessionId {
    /// The session that each incarnation begins with.
    pub const FIRST: SessionId = SessionId(1);
}

/// A message between two nodes of one group. Each names the sender's term.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Ask any member of the group who coordinates it.
    CoordinatorQuery {
        term: Term,
    },
    /// The answer to that, and how long ago the sender last heard from the coordinator.
    CoordinatorReply {
        term: Term,
        coordinator: Option<Instance>,
        silence_ms: u32,
    },
    /// The sender holds this term: say what you hold (with [`Message::Renew`]).
    Announce {
        term: Term,
    },
    /// The sender has given this term up.
    Released {
        term: Term,
    },
    /// Ask a witness whether it has heard of a higher term.
    WitnessQuery {
        term: Term,
        number: u64,
    },
    /// The highest term that the witness has heard of; it will confirm no lower one.
    WitnessReply {
        term: Term,
        number: u64,
        /// Whether it has read the platform's object since it started, and so knows of every term that
        /// an earlier life of it has confirmed.
        has_read: bool,
    },
    Renew(Box<Renew>),
    Renewed(Box<Renewed>),
    /// This session holds nothing any more: a new one has to be started.
    SessionEnded {
        term: Term,
        session: SessionId,
    },
    /// The sender of a [`Message::Renew`] asked a node that does not coordinate.
    NotCoordinator {
        term: Term,
        coordinator: Option<Instance>,
    },
    /// The group has its largest number of members already.
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

/// A member renews its lease, or joins.
#[derive(Debug, Clone, PartialEq)]
pub struct Renew {
    pub term: Term,
    pub session: SessionId,
    /// Rises with each renewal of one incarnation.
    pub sequence: u64,
    pub upstream: UpstreamState,
    /// The member stops: it is to be given nothing, and dismissed once it holds nothing.
    pub leaving: bool,
    /// The version of the service's document that the member has in force.
    pub config: ConfigVersion,
    /// The last command that has been applied.
    pub applied: u64,
    /// The number of the first of `reports`.
    pub first_report: u64,
    pub reports: Vec<Report>,
    /// What the member holds; until the coordinator of this term has first answered.
    pub holding: Option<Holding>,
    pub load: Option<LoadReport>,
    pub route_version: u64,
}

/// All that a session holds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Holding {
    /// An earlier session of this incarnation ended less than a lease ago, so that its upstream
    /// may still be running something of it.
    pub recently_lapsed: bool,
    pub slots: Vec<HeldSlot>,
    pub keys: Vec<HeldKey>,
    /// Hot keys refused though their slot is held.
    pub excluded: Vec<KeyHash>,
}

/// A slot that a member holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldSlot {
    pub slot: Slot,
    pub token: Token,
    /// Nothing more is admitted, but something may still be in flight.
    pub closing: bool,
}

/// A hot key that a member holds by an entry of its own, or is giving up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldKey {
    pub key_hash: KeyHash,
    pub token: Token,
    pub closing: bool,
}

/// What a member has done.
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
    /// The upstream holds nothing that it was granted under a token up to this one.
    Cleared {
        token: Token,
    },
}

/// The coordinator's answer to a renewal; also sent again when there are new commands.
#[derive(Debug, Clone, PartialEq)]
pub struct Renewed {
    pub term: Term,
    pub session: SessionId,
    /// The renewal that this answers; the lease counts from when that was sent.
    pub sequence: u64,
    pub lease_ms: u32,
    /// The last report that has been heard.
    pub last_report: u64,
    /// The number of the first of `commands`.
    pub first_command: u64,
    pub commands: Vec<Command>,
    /// Shared by all that are told the same.
    pub routes: Option<Arc<Routes>>,
    /// The highest version of the document that any member has in force.
    pub config: ConfigVersion,
    /// The member holds nothing and will be given nothing.
    pub can_stop: bool,
}

/// What a member is to do.
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
    /// Have the upstream give up what earlier sessions or lives of the member granted it, all of it under tokens up
    /// to this one.
    Clear {
        token: Token,
    },
}

/// Changes of the group's table of owners since the receiver's version.
///
/// A coordinator numbers its members, and all else names them by these numbers: what a change costs follows
/// what has changed, and not how many members there are.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Routes {
    /// The version that these are changes of; below the first one of the term: all.
    pub since: u64,
    /// The receiver's version once these have been taken in.
    pub version: u64,
    /// Numbers that name nobody any more; taken in before all else, for a later member may have one of them.
    pub removed: Vec<MemberNumber>,
    pub joined: Vec<RouteMember>,
    /// Members that have joined before, and have changed.
    pub changed: Vec<RouteMemberChange>,
    pub slots: Vec<RouteRange>,
    pub keys: Vec<RouteKey>,
}

/// Names a member in the routes of one term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberNumber(pub u16);

/// A member, as its coordinator last heard of it.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteMember {
    pub number: MemberNumber,
    pub instance: Instance,
    pub status: MemberStatus,
}

/// A member that the receiver knows, as its coordinator last heard of it.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteMemberChange {
    pub number: MemberNumber,
    pub status: MemberStatus,
}

/// What may change of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    pub state: UpstreamState,
    pub load_us_per_s: u64,
    pub config: ConfigVersion,
}

/// Who owns neighbouring slots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRange {
    pub first: Slot,
    pub last: Slot,
    pub owner: Option<MemberNumber>,
    pub token: Token,
    /// Empty where so many members make the routes too long.
    pub successors: Vec<MemberNumber>,
}

impl RouteRange {
    /// Takes the next run in if it goes on where this one ends and all else is the same; says whether it
    /// did.
    pub(crate) fn try_extend(&mut self, next: &RouteRange) -> bool {
        let alike = self.last.0.checked_add(1) == Some(next.first.0)
            && self.owner == next.owner
            && self.token == next.token
            && self.successors == next.successors;
        if alike {
            self.last = next.last;
        }
        alike
    }
}

/// Who owns a hot key; none: it follows its slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteKey {
    pub key_hash: KeyHash,
    pub owner: Option<MemberNumber>,
    pub token: Token,
}
