//! Objects in the platform's store that agents and the operators' client share.
//!
//! - `services/S`: the unmodified text of the document of service S, written by its team.
//! - `accepted/S`: [`AcceptedDocument`] of service S; its version only increases.
//! - `status/S/G`: [`GroupStatus`] of group G of service S, written by the coordinator of the
//!   group.
//! - `ends/I`: [`CrashesObject`], the crashes of upstreams beside instance I with the requests they
//!   were running.
//! - `ends/quarantine.trials`: [`TrialsObject`], the trials of quarantined requests and the requests that were
//!   answered after a crash.
//! - `zones/Z`: [`ZoneObject`], whether an operator has closed availability zone Z.

use std::num::ParseIntError;

use model::{
    ConfigVersion, Fingerprint, GroupId, InstanceName, KeyHash, ObjectVersion, ServiceName, Slot,
    Term, Token, Zone,
};
use serde::{Deserialize, Serialize};

/// Returns the path of the document that the team of a service wrote.
pub fn service_path(service: &ServiceName) -> String {
    format!("services/{service}")
}

/// Returns the path of the accepted document of a service.
pub fn accepted_path(service: &ServiceName) -> String {
    format!("accepted/{service}")
}

/// Returns the path of the status of a group.
pub fn status_path(service: &ServiceName, group: GroupId) -> String {
    format!("status/{service}/{group}")
}

/// Returns the common prefix of the paths of the statuses of all groups of a service.
pub fn status_prefix(service: &ServiceName) -> String {
    format!("status/{service}/")
}

/// The path prefix of the objects of availability zones.
pub const ZONES_PREFIX: &str = "zones/";

/// Returns the path of the object of an availability zone.
pub fn zone_path(zone: &Zone) -> String {
    format!("{ZONES_PREFIX}{zone}")
}

/// Returns the availability zone of an object path, or `None` if the path is not that of a zone.
pub fn zone_of_path(path: &str) -> Option<Zone> {
    Zone::new(path.strip_prefix(ZONES_PREFIX)?).ok()
}

/// State of an availability zone as set by an operator. A zone without this object is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneObject {
    /// Whether the upstreams of the zone receive no requests.
    pub closed: bool,
}

/// The path prefix of the crash records of all instances.
pub const CRASHES_PREFIX: &str = "ends/";

/// Returns the path of the crash records of the upstreams beside an instance.
pub fn crashes_path(instance: &InstanceName) -> String {
    format!("{CRASHES_PREFIX}{instance}")
}

/// The path of the trials of quarantined requests. It has the prefix of the crash records, so that one watch follows
/// both. It is an object of its own because agents of earlier versions skip crash records with unknown fields.
pub const TRIALS_PATH: &str = "ends/quarantine.trials";

/// The requests that were tried or answered after a crash, the latest last. Written by all agents.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TrialsObject {
    #[serde(default)]
    pub requests: Vec<TrialEntry>,
}

/// What all agents together know of one request that was in flight in crashes. Its counters only increase, and an
/// answer is not withdrawn.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TrialEntry {
    /// The request, in hexadecimal digits.
    #[serde(with = "hex_fingerprint")]
    pub request: Fingerprint,
    /// Number of trials that agents have claimed.
    #[serde(default)]
    pub begun: u32,
    /// Number of the claimed trials that the upstream survived without an answer, or that did not run.
    #[serde(default)]
    pub survived: u32,
    /// Whether an upstream has answered the request.
    #[serde(default)]
    pub answered: bool,
    /// The trial that was claimed last, unless it is known to have ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub claim: Option<TrialClaim>,
}

/// The exclusive right of one agent to try a quarantined request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TrialClaim {
    /// Random hexadecimal digits that identify the claim.
    pub id: String,
    /// The time in milliseconds, counted from the claim, by which the trial has ended.
    pub ends_within_ms: u64,
}

/// Serialization of a fingerprint as hexadecimal digits, since some stores do not preserve 64-bit integers.
mod hex_fingerprint {
    use model::Fingerprint;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(
        request: &Fingerprint,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(request)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Fingerprint, D::Error> {
        let text = String::deserialize(deserializer)?;
        u64::from_str_radix(&text, 16).map(Fingerprint).map_err(D::Error::custom)
    }
}

/// Crashes of the upstreams beside one instance, the latest last.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashesObject {
    #[serde(rename = "ends")]
    pub crashes: Vec<CrashRecord>,
}

/// Crash of an upstream, with the requests that were running on it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "WireEnd", into = "WireEnd")]
pub struct CrashRecord {
    /// Random number that identifies the crash.
    pub id: u64,
    pub requests: Vec<Fingerprint>,
}

/// Stored form of a [`CrashRecord`]. Its numbers are written in hexadecimal digits, since some
/// stores do not preserve 64-bit integers.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WireEnd {
    id: String,
    requests: Vec<String>,
}

impl From<CrashRecord> for WireEnd {
    fn from(crash: CrashRecord) -> WireEnd {
        let requests = crash.requests.iter().map(ToString::to_string).collect();
        WireEnd { id: format!("{:016x}", crash.id), requests }
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

/// Document of a service that a coordinator has accepted and that agents put in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedDocument {
    pub service: ServiceName,
    /// Object version of `services/S` from which the document was accepted.
    pub version: ConfigVersion,
    /// Unmodified text of the document.
    pub document: String,
}

impl AcceptedDocument {
    /// Returns the new value of `accepted/S` for this version and text of `services/S`, or `None`
    /// if the current version is the same or newer.
    pub fn raised(
        current: Option<&AcceptedDocument>,
        service: ServiceName,
        version: ObjectVersion,
        document: String,
    ) -> Option<AcceptedDocument> {
        let version = ConfigVersion(version.0);
        let is_newer = current.is_none_or(|it| it.version < version);
        is_newer.then_some(AcceptedDocument { service, version, document })
    }
}

/// Status of a group, written by its coordinator. Unknown fields are ignored, since agents and the
/// client may have different program versions.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GroupStatus {
    pub service: ServiceName,
    pub group: GroupId,
    /// Time of the write by the writer's wall clock, in milliseconds since 1970. For display only:
    /// no decision depends on it.
    pub written_at_unix_ms: u64,
    /// Version of the accepted document; `None` until one has been accepted.
    pub accepted: Option<ConfigVersion>,
    pub in_force: InForceStatus,
    /// The newest document, if it was refused; `None` if it was accepted.
    pub refused: Option<RefusedDocument>,
    pub coordinator: CoordinatorStatus,
    pub owners: Vec<OwnerStatus>,
    pub upstreams: Vec<UpstreamStatus>,
    /// The grant of each slot, in slot order. Empty for services without keys and for groups of
    /// more than [`STATUS_GRANTS_MAX`] slots.
    #[serde(default)]
    pub grants: Vec<GrantStatus>,
    pub hot_keys: Vec<HotKeyStatus>,
    pub measures: Measures,
    /// Recent changes of owner, the newest first; at most 32.
    pub moves: Vec<MoveStatus>,
}

/// Number of instances of the group on which the accepted version is in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InForceStatus {
    pub instances: u32,
    /// Number of instances in the group.
    pub of: u32,
    /// Time since which the version is in force on all instances, in milliseconds since 1970;
    /// `None` while it is not in force on all.
    pub since_unix_ms: Option<u64>,
}

/// Document that was refused. The previously accepted document stays in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedDocument {
    /// Object version of `services/S`.
    pub version: ConfigVersion,
    /// Description of each problem, with line, column and field if it concerns the text.
    pub reasons: Vec<String>,
}

/// The coordinator of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CoordinatorStatus {
    pub instance: InstanceName,
    pub zone: Zone,
    pub term: Term,
    /// Whether coordinators of earlier terms can no longer renew leases or grant slots.
    pub settled: bool,
}

/// Instance with the number of slots that it owns and their load.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerStatus {
    pub instance: InstanceName,
    pub zone: Zone,
    pub slots: u32,
    /// Upstream time of its requests, in microseconds per second.
    pub load_us_per_s: u64,
    /// Version of the document in force on the instance.
    pub config: ConfigVersion,
    /// Measured capacity, by which the coordinator plans the load of the instance, if the service weighs capacity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<CapacityStatus>,
}

/// Measured capacity of the upstream beside an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CapacityStatus {
    /// Number of requests that it runs at a time.
    pub slots: u32,
    /// Speed relative to the median upstream, in percent.
    pub speed_percent: u32,
    /// Planned load relative to the mean instance, in percent.
    pub weight_percent: u32,
}

/// State of the upstream beside an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamStatus {
    pub instance: InstanceName,
    pub zone: Zone,
    pub state: UpstreamStateName,
}

/// State of an upstream as written in the status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamStateName {
    /// Running, but not ready to accept requests.
    Starting,
    Ready,
    /// Stopping: finishes requests in flight and accepts no new ones.
    Draining,
    /// Stopped responding.
    Lost,
}

/// The largest number of slots for which a status lists the grants.
pub const STATUS_GRANTS_MAX: usize = 512;

/// Current grant of a slot. Written as `[owner, term, sequence]`, which keeps a status with
/// hundreds of slots short.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "RawGrant", into = "RawGrant")]
pub struct GrantStatus {
    /// Index into [`GroupStatus::owners`]; `None` while the slot has no owner.
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

/// Hot key, whose owner may differ from that of its slot.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HotKeyStatus {
    pub key_hash: KeyHash,
    /// Owner of the key; `None` if the owner of its slot owns the key too.
    pub owner: Option<InstanceName>,
}

/// Load balance, churn and unavailability of the group.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Measures {
    /// Ratio of the busiest member's load to the mean load; 1.0 means an even distribution.
    pub imbalance: f64,
    /// Share of all slots that changed their owner within the last minute, computed from `moves`.
    pub churn_per_minute: f64,
    /// Longest time within the last minute that a slot had no owner, as observed by the
    /// coordinator, without the time before the first grants.
    pub unavailable_ms_max: u64,
}

/// Change of the owner of a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MoveStatus {
    pub slot: Slot,
    pub token: Token,
    pub to: InstanceName,
    /// Reason for the change: `first`, `loss`, `leave` or `rebalance`.
    pub reason: String,
    pub at_unix_ms: u64,
}
