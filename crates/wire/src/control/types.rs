//! The shapes on the wire. Tuple structs become arrays, which carry no field names.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Name, incarnation, availability zone, control address, traffic address.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireInstance(
    pub(super) String,
    pub(super) u64,
    pub(super) String,
    pub(super) SocketAddr,
    pub(super) SocketAddr,
);

/// Term and sequence.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireToken(pub(super) u64, pub(super) u64);

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) enum WireMessage {
    #[serde(rename = "w")]
    WhoCoordinates(u64),
    /// Term, coordinator, silent time in milliseconds.
    #[serde(rename = "c")]
    Coordinates(u64, Option<WireInstance>, u32),
    #[serde(rename = "a")]
    Announce(u64),
    #[serde(rename = "x")]
    Released(u64),
    /// Term and number.
    #[serde(rename = "q")]
    Question(u64, u64),
    #[serde(rename = "y")]
    Answer(u64, u64, bool),
    #[serde(rename = "r")]
    Renew(Box<WireRenew>),
    #[serde(rename = "l")]
    Renewed(Box<WireRenewed>),
    /// Term and session.
    #[serde(rename = "e")]
    SessionEnded(u64, u32),
    #[serde(rename = "n")]
    NotCoordinator(u64, Option<WireInstance>),
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
}

/// Recently lapsed, slots, keys, excluded keys.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireHolding(
    pub(super) bool,
    pub(super) Vec<WireHeldSlot>,
    pub(super) Vec<WireHeldKey>,
    pub(super) Vec<u64>,
);

/// Slot, token, closing.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireHeldSlot(pub(super) u16, pub(super) WireToken, pub(super) bool);

/// Key hash, token, closing.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireHeldKey(pub(super) u64, pub(super) WireToken, pub(super) bool);

/// Period, total, slots, keys.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireLoad(
    pub(super) u32,
    pub(super) u64,
    pub(super) Vec<WireSlotLoad>,
    pub(super) Vec<WireKeyLoad>,
);

/// Slot, load, requests in flight.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireSlotLoad(pub(super) u16, pub(super) u64, pub(super) u16);

/// Key hash, load.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireKeyLoad(pub(super) u64, pub(super) u64);

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
    ForgetKey(u64),
    #[serde(rename = "d")]
    CloseKey(u64, WireToken, Option<WireInstance>),
    #[serde(rename = "e")]
    Clear(WireToken),
}

/// Since, version, members that are gone, joined and changed, slots, keys.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireRoutes(
    pub(super) u64,
    pub(super) u64,
    pub(super) Vec<u16>,
    pub(super) Vec<WireRouteMember>,
    pub(super) Vec<WireRouteMemberChange>,
    pub(super) Vec<WireRouteRun>,
    pub(super) Vec<WireRouteKey>,
);

/// Number, instance, standing.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireRouteMember(
    pub(super) u16,
    pub(super) WireInstance,
    pub(super) WireMemberStanding,
);

/// Number, standing.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireRouteMemberChange(pub(super) u16, pub(super) WireMemberStanding);

/// State, load, version of the document.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireMemberStanding(pub(super) WireUpstream, pub(super) u64, pub(super) u64);

/// First and last slot, owner, token, successors.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireRouteRun(
    pub(super) u16,
    pub(super) u16,
    pub(super) Option<u16>,
    pub(super) WireToken,
    pub(super) Vec<u16>,
);

/// Key hash, owner, token.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WireRouteKey(pub(super) u64, pub(super) Option<u16>, pub(super) WireToken);

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
