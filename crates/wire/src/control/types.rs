//! Wire types of control messages. Tuple structs are encoded as arrays, which contain no field
//! names.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Instance: name, incarnation, availability zone, control address, traffic address.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireInstance(
    pub(super) String,
    pub(super) u64,
    pub(super) String,
    pub(super) SocketAddr,
    pub(super) SocketAddr,
);

/// Fence token: term and sequence.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireToken(pub(super) u64, pub(super) u64);

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) enum WireMessage {
    /// Term.
    #[serde(rename = "w")]
    CoordinatorQuery(u64),
    /// Term, coordinator, milliseconds since the sender last received a message from it.
    #[serde(rename = "c")]
    CoordinatorReply(u64, Option<WireInstance>, u32),
    /// Term.
    #[serde(rename = "a")]
    Announce(u64),
    /// Term.
    #[serde(rename = "x")]
    Released(u64),
    /// Term, number of the query.
    #[serde(rename = "q")]
    WitnessQuery(u64, u64),
    /// Term, number of the query, whether the witness has read the coordinator object.
    #[serde(rename = "y")]
    WitnessReply(u64, u64, bool),
    #[serde(rename = "r")]
    Renew(Box<WireRenew>),
    #[serde(rename = "l")]
    Renewed(Box<WireRenewed>),
    /// Term, session.
    #[serde(rename = "e")]
    SessionEnded(u64, u32),
    /// Term, current coordinator.
    #[serde(rename = "n")]
    NotCoordinator(u64, Option<WireInstance>),
    /// Term.
    #[serde(rename = "f")]
    JoinRefused(u64),
}

#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub(super) enum WireUpstream {
    #[serde(rename = "s")]
    Starting,
    #[serde(rename = "r")]
    Ready,
    #[serde(rename = "d")]
    Draining,
    #[serde(rename = "l")]
    Lost,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WireRenew {
    #[serde(rename = "t")]
    pub(super) term: u64,
    #[serde(rename = "s")]
    pub(super) session: u32,
    #[serde(rename = "q")]
    pub(super) sequence: u64,
    #[serde(rename = "u")]
    pub(super) upstream: WireUpstream,
    #[serde(rename = "l", default, skip_serializing_if = "is_default")]
    pub(super) leaving: bool,
    #[serde(rename = "c", default, skip_serializing_if = "is_default")]
    pub(super) config: u64,
    #[serde(rename = "a", default, skip_serializing_if = "is_default")]
    pub(super) applied: u64,
    #[serde(rename = "f", default, skip_serializing_if = "is_default")]
    pub(super) first_report: u64,
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub(super) reports: Vec<WireReport>,
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub(super) holding: Option<WireHolding>,
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub(super) load: Option<WireLoad>,
    #[serde(rename = "v", default, skip_serializing_if = "is_default")]
    pub(super) route_version: u64,
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub(super) capacity: Option<WireCapacity>,
}

/// Grants held by a member: whether a session ended recently, slots, keys, excluded keys.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireHolding(
    pub(super) bool,
    pub(super) Vec<WireHeldSlot>,
    pub(super) Vec<WireHeldKey>,
    pub(super) Vec<u64>,
);

/// Held slot: slot, token, whether it is being closed.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireHeldSlot(pub(super) u16, pub(super) WireToken, pub(super) bool);

/// Held key: key hash, token, whether it is being closed.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireHeldKey(pub(super) u64, pub(super) WireToken, pub(super) bool);

/// Load report: period in milliseconds, total load in microseconds, loads of slots, loads of keys.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireLoad(
    pub(super) u32,
    pub(super) u64,
    pub(super) Vec<WireSlotLoad>,
    pub(super) Vec<WireKeyLoad>,
);

/// Load of a slot: slot, load in microseconds, requests in flight.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireSlotLoad(pub(super) u16, pub(super) u64, pub(super) u16);

/// Load of a key: key hash, load in microseconds.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireKeyLoad(pub(super) u64, pub(super) u64);

/// Capacity of an upstream: slots, times of kinds of requests.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireCapacity(pub(super) u16, pub(super) Vec<WireKindTime>);

/// Time of a kind of request: kind, number of requests, total time in microseconds.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireKindTime(pub(super) u8, pub(super) u32, pub(super) u64);

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) enum WireReport {
    #[serde(rename = "p")]
    Prepared(u16, WireToken),
    #[serde(rename = "c")]
    Closed(u16, WireToken),
    #[serde(rename = "k")]
    KeyClosed(u64, WireToken),
    #[serde(rename = "e")]
    Cleared(WireToken),
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WireRenewed {
    #[serde(rename = "t")]
    pub(super) term: u64,
    #[serde(rename = "s")]
    pub(super) session: u32,
    #[serde(rename = "q")]
    pub(super) sequence: u64,
    #[serde(rename = "l")]
    pub(super) lease_ms: u32,
    #[serde(rename = "h", default, skip_serializing_if = "is_default")]
    pub(super) last_report: u64,
    #[serde(rename = "f", default, skip_serializing_if = "is_default")]
    pub(super) first_command: u64,
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub(super) commands: Vec<WireCommand>,
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub(super) routes: Option<Box<WireRoutes>>,
    #[serde(rename = "c", default, skip_serializing_if = "is_default")]
    pub(super) config: u64,
    #[serde(rename = "d", default, skip_serializing_if = "is_default")]
    pub(super) can_stop: bool,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) enum WireCommand {
    #[serde(rename = "p")]
    Prepare(u16, WireToken),
    #[serde(rename = "a")]
    Admit(u16, WireToken),
    #[serde(rename = "c")]
    Close(u16, WireToken, Option<WireInstance>),
    #[serde(rename = "k")]
    AdmitKey(u64, WireToken),
    #[serde(rename = "x")]
    ExcludeKey(u64, WireInstance),
    #[serde(rename = "f")]
    RemoveKey(u64),
    #[serde(rename = "d")]
    CloseKey(u64, WireToken, Option<WireInstance>),
    #[serde(rename = "e")]
    Clear(WireToken),
}

/// Routes: version that the changes apply to, new version, members that were removed, joined and
/// changed, slots, keys.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireRoutes(
    pub(super) u64,
    pub(super) u64,
    pub(super) Vec<u16>,
    pub(super) Vec<WireRouteMember>,
    pub(super) Vec<WireRouteMemberChange>,
    pub(super) Vec<WireRouteRange>,
    pub(super) Vec<WireRouteKey>,
);

/// Member: number, instance, status.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireRouteMember(
    pub(super) u16,
    pub(super) WireInstance,
    pub(super) WireMemberStatus,
);

/// Changed member: number, status.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireRouteMemberChange(pub(super) u16, pub(super) WireMemberStatus);

/// Status of a member: state of its upstream, load in microseconds per second, version of its
/// document.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireMemberStatus(pub(super) WireUpstream, pub(super) u64, pub(super) u64);

/// Routes of consecutive slots: first and last slot, owner, token, successors.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireRouteRange(
    pub(super) u16,
    pub(super) u16,
    pub(super) Option<u16>,
    pub(super) WireToken,
    pub(super) Vec<u16>,
);

/// Route of a hot key: key hash, owner, token.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireRouteKey(pub(super) u64, pub(super) Option<u16>, pub(super) WireToken);

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
