//! Serialised form of the service document, from which its JSON schema is generated.
//!
//! The doc comments of types and fields become the descriptions in the schema.

use std::ops::RangeInclusive;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Description of a service and of how requests are routed to it.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawDocument {
    /// Location of the JSON schema of this document, for editors.
    #[serde(rename = "$schema", default)]
    pub(crate) schema: Option<String>,
    /// Name of the service: the first path segment of a request.
    #[schemars(regex(pattern = "^[a-z0-9._-]{1,63}$"))]
    pub(crate) service: String,
    /// Team that owns the service; the value of the `tenant` label of histograms.
    #[schemars(regex(pattern = "^[a-z0-9._-]{1,63}$"))]
    pub(crate) team: String,
    /// Whether requests are partitioned by key, with each key owned by one instance at a time.
    /// Cannot be changed while the service is running.
    pub(crate) keyed: bool,
    /// Number of slots that the keys of a group are distributed over. Cannot be changed while the
    /// service is running.
    #[serde(default = "default_slot_count")]
    #[schemars(range(min = 1, max = 4096))]
    pub(crate) slot_count: u16,
    /// Number of keys, if keys are integers from 0 and busy keys are adjacent: a slot is then a
    /// range of keys. If omitted, keys are arbitrary text and are distributed over the slots by
    /// hash. Cannot be changed while the service is running.
    #[serde(default)]
    #[schemars(range(min = 1, max = 4_294_967_295_u64))]
    pub(crate) ordered_keys: Option<u32>,
    /// Whether callers resend a non-idempotent request under the request id of its first attempt.
    /// If false, no answers are recorded for resent requests.
    #[serde(default = "default_resends")]
    pub(crate) resends: bool,
    #[serde(default)]
    pub(crate) upstream: RawUpstream,
    /// Request classes of the service.
    #[schemars(length(min = 1, max = 32))]
    pub(crate) classes: Vec<RawClass>,
    /// Routes, tried in order: the first one that matches a request applies.
    #[schemars(length(min = 1, max = 256))]
    pub(crate) routes: Vec<RawRoute>,
    #[serde(default)]
    pub(crate) limits: RawLimits,
    #[serde(default)]
    pub(crate) ownership: RawOwnership,
    #[serde(default)]
    pub(crate) drain: RawDrain,
}

pub(crate) fn default_slot_count() -> u16 {
    96
}

fn default_resends() -> bool {
    true
}

// Ranges of some fields, equal to those in the schema below. Values from a central configuration
// are limited to them.

/// Request rates of a cold upstream, in requests per second.
pub(crate) const COLD_RATES: RangeInclusive<f64> = 0.001..=10_000.0;
/// Number of connections to an upstream.
pub(crate) const CONNECTIONS: RangeInclusive<u64> = 1..=65_536;
/// Largest body size, in bytes.
pub(crate) const BODY_BYTES: RangeInclusive<u64> = 1_024..=67_108_864;
/// Largest total size of the headers, in bytes.
pub(crate) const HEADER_BYTES: RangeInclusive<u64> = 1_024..=262_144;

/// Longest time from the first byte of a head to its end, in milliseconds.
pub(crate) const HEADER_MS: RangeInclusive<u64> = 100..=600_000;
/// Longest time that a connection stays idle, in milliseconds.
pub(crate) const IDLE_MS: RangeInclusive<u64> = 1_000..=3_600_000;

/// Longest path of a health check, in bytes.
const HEALTH_PATH_BYTES_MAX: usize = 512;

/// Returns whether the path of a health check has the form that the schema below states.
pub(crate) fn is_health_path(path: &str) -> bool {
    path.len() <= HEALTH_PATH_BYTES_MAX
        && path.starts_with('/')
        && path.bytes().all(|it| it.is_ascii_graphic())
}

/// Capacity and features of each upstream of the service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawUpstream {
    /// Number of requests that the upstream runs concurrently.
    #[schemars(range(min = 1, max = 4096))]
    pub(crate) slots: u32,
    /// Number of connections that the upstream accepts.
    #[schemars(range(min = 1, max = 65536))]
    pub(crate) connections_max: u32,
    /// Whether the upstream rejects requests whose fence token is older than one that it has
    /// received.
    pub(crate) checks_fence: bool,
    /// Whether the upstream runs requests only for ranges of keys that it holds an unexpired grant
    /// for. Requires `ordered_keys`.
    pub(crate) enforces_leases: bool,
    /// How grants of keys are sent to an upstream that enforces leases.
    pub(crate) key_grants: KeyGrants,
    /// Time in milliseconds until a new upstream receives its full share of the load.
    #[schemars(range(max = 600_000))]
    pub(crate) warmup_ms: u64,
    /// Requests per second that the upstream can process while it reports that it is cold. If
    /// omitted, only `slots` limits it.
    #[schemars(range(min = 0.001, max = 10_000.0))]
    pub(crate) cold_requests_per_s: Option<f64>,
    /// Whether the number of requests that the upstream runs concurrently is lowered, to half of
    /// `slots` at the least, while more of them slow it down.
    pub(crate) learns_concurrency: bool,
    /// Path of the upstream's health check.
    #[schemars(length(max = 512), regex(pattern = "^/[!-~]*$"))]
    pub(crate) health_path: String,
}

impl Default for RawUpstream {
    fn default() -> RawUpstream {
        RawUpstream {
            slots: 12,
            connections_max: 85,
            checks_fence: false,
            enforces_leases: false,
            key_grants: KeyGrants::Calls,
            warmup_ms: 2_000,
            cold_requests_per_s: None,
            learns_concurrency: false,
            health_path: "/control/health".to_owned(),
        }
    }
}

/// Way in which grants of keys are sent to an upstream that enforces leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum KeyGrants {
    /// In calls to the upstream.
    Calls,
    /// In the responses to the announcements of the upstream, which list the grants that it holds.
    Announcements,
}

/// Class of requests that share a queue and a weight.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawClass {
    #[schemars(regex(pattern = "^[a-z0-9._-]{1,63}$"))]
    pub(crate) name: String,
    /// Share of the class in the capacity of an overloaded upstream, relative to the other classes.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 1, max = 1000))]
    pub(crate) weight: u32,
    /// Whether requests of the class are queued even if they are expected to miss their latency
    /// objective. If false, such a request is refused at once, with a time after which to retry.
    #[serde(default = "default_queues_past_objective")]
    pub(crate) queues_past_objective: bool,
}

fn default_queues_past_objective() -> bool {
    true
}

fn default_weight() -> u32 {
    1
}

/// Requests with a common path pattern, and how they are handled.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRoute {
    /// HTTP method; any method if omitted.
    #[serde(default)]
    pub(crate) method: Option<RawMethod>,
    /// Pattern for the path after the segment with the service name: `{name}` matches one segment,
    /// a final `*` matches the rest.
    #[schemars(length(min = 1, max = 512))]
    pub(crate) path: String,
    /// Location of the key in the request. If omitted, the key of a keyed service is read from the
    /// header `x-key`.
    #[serde(default)]
    pub(crate) key: Option<RawKey>,
    /// Name of one of `classes`.
    pub(crate) class: String,
    /// Whether running a request twice has the same effect as running it once.
    pub(crate) idempotent: bool,
    /// Deadline of a request in milliseconds, if the caller does not set a shorter one.
    #[serde(default = "default_deadline_ms")]
    #[schemars(range(min = 1, max = 60_000))]
    pub(crate) deadline_ms: u64,
}

fn default_deadline_ms() -> u64 {
    1_000
}

/// HTTP method.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum RawMethod {
    Get,
    Head,
    Post,
    Put,
    Patch,
    Delete,
}

/// Location of the key in a request: exactly one of the fields is required.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawKey {
    /// Name of a header.
    #[serde(default)]
    pub(crate) header: Option<String>,
    /// Name of a `{segment}` of the path.
    #[serde(default)]
    pub(crate) segment: Option<String>,
}

/// Retries that count against the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawRetryCount {
    All,
    AfterUpstream,
}

/// Limits on the requests that an agent accepts.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawLimits {
    /// Longest time in milliseconds that a request waits in the queue of an upstream.
    #[schemars(range(max = 60_000))]
    pub(crate) queue_ms_max: u64,
    /// Largest number of requests in the queue of an upstream.
    #[schemars(range(max = 100_000))]
    pub(crate) queue_length_max: u32,
    /// Retry budget: largest number of retries as a share of first attempts.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub(crate) retry_share: f64,
    /// Largest number of unused retries that the retry budget of an agent accumulates.
    #[schemars(range(max = 1_000))]
    pub(crate) retry_burst: u32,
    /// Whether all retries count against the retry budget, or only those after an attempt that may
    /// have reached an upstream.
    pub(crate) retry_count: RawRetryCount,
    /// Longest time in milliseconds that a request waits while its key has no owner.
    #[schemars(range(max = 10_000))]
    pub(crate) unowned_wait_ms: u64,
    /// Additional latency in milliseconds that is assumed for an upstream in another availability
    /// zone when upstreams are compared: the network latency between zones, plus an allowance for
    /// the cost of the traffic.
    #[schemars(range(max = 10_000))]
    pub(crate) zone_penalty_ms: u64,
    /// Largest body of a request or an answer, in bytes.
    #[schemars(range(min = 1024, max = 67_108_864))]
    pub(crate) body_bytes_max: u64,
    /// Largest total size of the headers of a request, in bytes.
    #[schemars(range(min = 1024, max = 262_144))]
    pub(crate) header_bytes_max: u64,
    /// Longest time in milliseconds from the first byte of the headers of a request to their end,
    /// after which the connection is closed.
    #[schemars(range(min = 100, max = 600_000))]
    pub(crate) header_ms_max: u64,
    /// Longest time in milliseconds that a connection stays open without a request, or without
    /// progress of an answer that the caller is sent.
    #[schemars(range(min = 1_000, max = 3_600_000))]
    pub(crate) idle_ms_max: u64,
    /// Memory in bytes for recorded answers to non-idempotent requests.
    #[schemars(range(min = 65_536, max = 1_073_741_824))]
    pub(crate) records_bytes_max: u64,
    /// Time in milliseconds for which an answer is recorded, to be returned if the caller resends
    /// the request.
    #[schemars(range(min = 1_000, max = 3_600_000))]
    pub(crate) records_ms: u64,
    /// Latency objective in milliseconds up to which the requests of a route are express: they do
    /// not wait behind the longer requests of other routes. 0 for no such requests.
    #[schemars(range(max = 10_000))]
    pub(crate) express_objective_ms_max: u64,
    /// Whether a request is refused before it runs while most requests of its kind fail because
    /// express requests that they make fail.
    pub(crate) refuses_failing_runs: bool,
    /// Whether a refused caller gets a time at which there is room for its request, and is served
    /// before new requests if it returns at that time.
    pub(crate) promises_returns: bool,
}

impl Default for RawLimits {
    fn default() -> RawLimits {
        RawLimits {
            queue_ms_max: 500,
            queue_length_max: 256,
            retry_share: 0.1,
            retry_burst: 20,
            retry_count: RawRetryCount::All,
            unowned_wait_ms: 0,
            zone_penalty_ms: 2,
            body_bytes_max: 1_048_576,
            header_bytes_max: 16_384,
            header_ms_max: 15_000,
            idle_ms_max: 300_000,
            records_bytes_max: 8_388_608,
            records_ms: 120_000,
            express_objective_ms_max: 0,
            refuses_failing_runs: false,
            promises_returns: false,
        }
    }
}

/// Timing of leases and targets of rebalancing.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawOwnership {
    /// Duration of the lease of a group member, in milliseconds.
    #[schemars(range(min = 100, max = 60_000))]
    pub(crate) lease_ms: u64,
    /// Interval in milliseconds at which a member renews its lease.
    #[schemars(range(min = 20, max = 30_000))]
    pub(crate) renew_every_ms: u64,
    /// Largest drift between clocks during one lease, in milliseconds.
    #[schemars(range(min = 1, max = 1_000))]
    pub(crate) drift_margin_ms: u64,
    /// Validity in milliseconds of a confirmation of the coordinator by witnesses.
    #[schemars(range(min = 50, max = 30_000))]
    pub(crate) confirmation_ms: u64,
    /// Validity in milliseconds of a confirmation of the coordinator by the platform.
    #[schemars(range(min = 50, max = 30_000))]
    pub(crate) platform_confirmation_ms: u64,
    /// Time in milliseconds without a response from the coordinator after which a member starts a
    /// new term.
    #[schemars(range(min = 50, max = 60_000))]
    pub(crate) takeover_after_ms: u64,
    /// Longest time in seconds that a coordinator continues without reaching the platform.
    #[schemars(range(min = 5, max = 86_400))]
    pub(crate) platform_absence_max_s: u64,
    /// Longest gap in milliseconds between timer ticks of an agent. After a longer gap, the agent
    /// treats its lease as expired.
    #[schemars(range(min = 60, max = 30_000))]
    pub(crate) pause_max_ms: u64,
    /// Longest time in milliseconds for the previous owner of a slot to finish its requests in
    /// flight.
    #[schemars(range(min = 100, max = 60_000))]
    pub(crate) handover_max_ms: u64,
    /// Largest number of members of a group. An instance that finds its group full receives no
    /// requests, but still forwards those of its callers.
    #[schemars(range(min = 1, max = 256))]
    pub(crate) members_max: u16,
    /// Target for the ratio of the busiest member's load to the mean load.
    #[schemars(range(min = 1.01, max = 10.0))]
    pub(crate) imbalance_target: f64,
    /// Largest share of all keys that rebalancing moves per minute.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub(crate) churn_per_minute_max: f64,
    /// Balance between two goals: 0 minimises moves of keys, 1 minimises the time in which keys are
    /// unavailable.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub(crate) availability_weight: f64,
    /// Whether members get load in proportion to the capacity that is measured at their upstreams.
    /// If false, all members get the same load.
    pub(crate) weighs_capacity: bool,
}

impl Default for RawOwnership {
    fn default() -> RawOwnership {
        RawOwnership {
            lease_ms: 750,
            renew_every_ms: 250,
            drift_margin_ms: 10,
            confirmation_ms: 300,
            platform_confirmation_ms: 600,
            takeover_after_ms: 400,
            platform_absence_max_s: 5_400,
            pause_max_ms: 250,
            handover_max_ms: 2_000,
            members_max: 256,
            imbalance_target: 1.15,
            churn_per_minute_max: 0.10,
            availability_weight: 0.5,
            weighs_capacity: false,
        }
    }
}

/// Timing of the drain of an instance.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawDrain {
    /// Time in milliseconds after the announcement of the drain from which the upstream receives no
    /// new requests.
    #[schemars(range(max = 3_000))]
    pub(crate) no_new_work_ms: u64,
    /// Time in milliseconds after the closing of its availability zone from which the upstream
    /// receives no new requests.
    #[schemars(range(max = 60_000))]
    pub(crate) zone_no_new_work_ms: u64,
    /// Longest time in milliseconds that the instance waits for requests in flight.
    #[schemars(range(min = 100, max = 600_000))]
    pub(crate) in_flight_ms_max: u64,
}

impl Default for RawDrain {
    fn default() -> RawDrain {
        RawDrain { no_new_work_ms: 2_000, zone_no_new_work_ms: 4_000, in_flight_ms_max: 60_000 }
    }
}
