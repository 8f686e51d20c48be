//! Agent settings and service documents, written in JSON with comments.
//!
//! A text is processed in three steps: parsing into values with their positions (`source`),
//! validation against the JSON schema of its type (`schema`), and checks of rules across fields.
//! All problems of a step are reported together; a later step runs only if the earlier one found
//! none.

mod agent_settings;
mod central;
mod document;
mod objects;
mod parse;
mod problem;
mod schema;
mod source;
mod versions;

#[cfg(test)]
mod tests;

pub use agent_settings::{AgentSettings, MemoryError, parse_memory_mb};
pub use central::{
    Backend, CentralConfig, CentralServiceConfig, DocumentDefaults, HostRoute, RoutingTable,
};
pub use document::{
    DrainLimits, KeyGrants, KeySource, Method, OwnershipLimits, RequestClass, Route, RouteError,
    RouteMatch, ServiceDocument, TrafficLimits, UpstreamProperties,
};
pub use objects::{
    AcceptedDocument, CRASHES_PREFIX, CapacityStatus, CoordinatorStatus, CrashRecord,
    CrashesObject, GrantStatus, GroupStatus, HotKeyStatus, InForceStatus, Measures, MoveStatus,
    OwnerStatus, RefusedDocument, STATUS_GRANTS_MAX, TRIALS_PATH, TrialClaim, TrialEntry,
    TrialsObject, UpstreamStateName, UpstreamStatus, ZONES_PREFIX, ZoneObject, accepted_path,
    crashes_path, service_path, status_path, status_prefix, zone_of_path, zone_path,
};
pub use problem::{Position, Problem, Problems};
pub use versions::{DocumentDecision, DocumentTable, VersionedDocument, decide_document};
