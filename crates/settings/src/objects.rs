//! Objects of the platform that agents and the operators' client share.
//!
//! - `services/S`: the document as its team wrote it, the text as it is.
//! - `accepted/S`: [`AcceptedDocument`], the version in force; only rises.
//! - `status/S/G`: [`GroupStatus`] of one group, written by its coordinator.
//! - `ends/I`: [`CrashesObject`], under which requests the upstream beside an instance has ended.
//! - `zones/Z`: [`ZoneObject`], whether an operator has closed an availability zone.

use std::num::ParseIntError;

use model::{
    ConfigVersion, Fingerprint, GroupId, InstanceName, KeyHash, ObjectVersion, ServiceName, Slot,
    Term, Token, Zone,
};
use serde::{Deserialize, Serialize};

/// Where a service's document is.
pub fn service_path(service: &ServiceName) -> String {
    format!("services/{service}")
}

/// Where the accepted document of a service is.
pub fn accepted_path(service: &ServiceName) -> String {
    format!("accepted/{service}")
}

/// Where the status of one group is.
pub fn status_path(service: &ServiceName, group: GroupId) -> String {
    format!("status/{service}/{group}")
}

/// What the status of all groups of a service begins with.
pub fn status_prefix(service: &ServiceName) -> String {
    format!("status/{service}/")
}

/// What the objects of availability zones begin with.
pub const ZONES_PREFIX: &str = "zones/";

/// Where it is said whether a zone is closed.
pub fn zone_path(zone: &Zone) -> String {
    format!("{ZONES_PREFIX}{zone}")
}

/// The zone that an object is about.
pub fn zone_of_path(path: &str) -> Option<Zone> {
    Zone::new(path.strip_prefix(ZONES_PREFIX)?).ok()
}

/// Whether the upstreams of an availability zone are to be given nothing. A zone without one is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneObject {
    pub closed: bool,
}

/// What the objects begin with that tell of ended upstreams.
pub const CRASHES_PREFIX: &str = "ends/";

/// Where it is said when the upstreams beside an instance have ended.
pub fn crashes_path(instance: &InstanceName) -> String {
    format!("{CRASHES_PREFIX}{instance}")
}

/// The ends of upstreams beside one instance, the latest last.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashesObject {
    #[serde(rename = "ends")]
    pub crashes: Vec<CrashRecord>,
}

/// One end of an upstream, and what it had at work.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "WireEnd", into = "WireEnd")]
pub struct CrashRecord {
    /// Drawn at random; tells one end from another.
    pub id: u64,
    pub requests: Vec<Fingerprint>,
}

/// In hexadecimal digits: not every store keeps whole numbers of 64 bits.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WireEnd {
    id: String,
    requests: Vec<String>,
}

impl From<CrashRecord> for WireEnd {
    fn from(end: CrashRecord) -> WireEnd {
        let requests = end.requests.iter().map(ToString::to_string).collect();
        WireEnd { id: format!("{:016x}", end.id), requests }
    }
}

impl TryFrom<WireEnd> for CrashRecord {
    type Error = ParseIntError;

    fn try_from(wire: WireEnd) -> Result<CrashRecord, ParseIntError> {
        let number = |text: &String| u64::from_str_radix(text, 16);
        let requests = wire.requests.iter().map(|it| number(it).map(Fingerprint));
        Ok(CrashRecord { id: number(&wire.id)?, requests: requests.collect::<Result<_, _>>()? })
    }
}

/// The document that is in force, or on its way to be.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedDocument {
    pub service: ServiceName,
    /// The object version of `services/S` from which it was accepted.
    pub version: ConfigVersion,
    /// The text as it was written.
    pub document: String,
}

impl AcceptedDocument {
    /// What `accepted/S` becomes when `services/S` has this version and text; none if that would
    /// not raise the version.
    pub fn raised(
        current: Option<&AcceptedDocument>,
        service: ServiceName,
        version: ObjectVersion,
        document: String,
    ) -> Option<AcceptedDocument> {
        let version = ConfigVersion(version.0);
        let rises = current.is_none_or(|it| it.version < version);
        rises.then_some(AcceptedDocument { service, version, document })
    }
}

/// What the coordinator of a group reports. Fields that are not known are passed over, since agents
/// and the client may be of different versions.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GroupStatus {
    pub service: ServiceName,
    pub group: GroupId,
    /// When it was written, by the writer's wall clock, in milliseconds since 1970; for people only.
    pub written_at_unix_ms: u64,
    /// None until a document has been accepted.
    pub accepted: Option<ConfigVersion>,
    pub in_force: InForceStatus,
    /// The newest document that was not accepted; none if the newest was.
    pub refused: Option<RefusedDocument>,
    pub coordinator: CoordinatorStatus,
    pub owners: Vec<OwnerStatus>,
    pub upstreams: Vec<UpstreamStatus>,
    /// One for each slot, in order; empty for services that have none and for groups of more than
    /// [`GRANTS_MAX`] slots.
    #[serde(default)]
    pub grants: Vec<GrantStatus>,
    pub hot_keys: Vec<HotKeyStatus>,
    pub measures: Measures,
    /// The newest first; at most 32.
    pub moves: Vec<MoveStatus>,
}

/// On how many instances of the group the accepted version is in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InForceStatus {
    pub instances: u32,
    pub of: u32,
    /// Since when it is in force on all of them; none while it is not.
    pub since_unix_ms: Option<u64>,
}

/// A document that was not accepted; the former one stays in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedDocument {
    /// The object version of `services/S`.
    pub version: ConfigVersion,
    /// One sentence each, with line and field.
    pub reasons: Vec<String>,
}

/// Who coordinates the group.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CoordinatorStatus {
    pub instance: InstanceName,
    pub zone: Zone,
    pub term: Term,
    /// No earlier term can renew or grant any more.
    pub settled: bool,
}

/// One instance with what it owns.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerStatus {
    pub instance: InstanceName,
    pub zone: Zone,
    pub slots: u32,
    pub load_us_per_s: u64,
    /// The version of the document in force on it.
    pub config: ConfigVersion,
}

/// The upstream beside an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamStatus {
    pub instance: InstanceName,
    pub zone: Zone,
    pub state: UpstreamStateName,
}

/// The state of an upstream, as the status names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamStateName {
    /// Up, but not ready for work.
    Starting,
    Ready,
    /// Leaving: no new work.
    Draining,
    /// Hung or gone.
    Lost,
}

/// The most slots whose grants a status tells one by one.
pub const GRANTS_MAX: usize = 512;

/// The grant in force of one slot; written as `[owner, term, sequence]`, since there are many.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "RawGrant", into = "RawGrant")]
pub struct GrantStatus {
    /// Index into [`GroupStatus::owners`]; none while nobody owns the slot.
    pub owner: Option<u16>,
    pub token: Token,
}

type RawGrant = (Option<u16>, Term, u64);

impl From<RawGrant> for GrantStatus {
    fn from((owner, term, sequence): RawGrant) -> GrantStatus {
        GrantStatus { owner, token: Token { term, sequence } }
    }
}

impl From<GrantStatus> for RawGrant {
    fn from(grant: GrantStatus) -> RawGrant {
        (grant.owner, grant.token.term, grant.token.sequence)
    }
}

/// A key with an owner of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HotKeyStatus {
    pub key_hash: KeyHash,
    /// None: that of its slot.
    pub owner: Option<InstanceName>,
}

/// The three measures of the group.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Measures {
    /// Busiest member's load over the mean; 1.0 is even.
    pub imbalance: f64,
    /// Share of all slots that changed their owner within the last minute; counted over the moves
    /// that the status keeps.
    pub churn_per_minute: f64,
    /// Longest time within the last minute that a slot had no owner, as the coordinator saw it; the
    /// time before the first grants is left out.
    pub unavailable_ms_max: u64,
}

/// A change of owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MoveStatus {
    pub slot: Slot,
    pub token: Token,
    pub to: InstanceName,
    /// `first`, `loss`, `leave` or `rebalance`.
    pub reason: String,
    pub at_unix_ms: u64,
}
