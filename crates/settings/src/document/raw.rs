//! The document as it is written: the source of its JSON schema.

use std::ops::RangeInclusive;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What a service is and how it should be reached.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawDocument {
    /// The JSON schema of this document, for editors.
    #[serde(rename = "$schema", default)]
    pub(crate) schema: Option<String>,
    /// The name of the service: the first segment of a caller's path.
    #[schemars(regex(pattern = "^[a-z0-9._-]{1,63}$"))]
    pub(crate) service: String,
    /// The team that owns the service; the `tenant` label of histograms.
    #[schemars(regex(pattern = "^[a-z0-9._-]{1,63}$"))]
    pub(crate) team: String,
    /// Whether the service is divided by key, each key owned by one instance alone.
    pub(crate) keyed: bool,
    /// How many slots the keys of one group are spread over. May not change while the service runs.
    #[serde(default = "default_slot_count")]
    #[schemars(range(min = 1, max = 4096))]
    pub(crate) slot_count: u16,
    /// How many keys there are, where keys are whole numbers from 0 and busy ones are neighbours: a
    /// slot is a range of them then. Keys are any text and hashed, if left out. May not change while
    /// the service runs.
    #[serde(default)]
    #[schemars(range(min = 1, max = 4_294_967_295_u64))]
    pub(crate) ordered_keys: Option<u32>,
    /// Whether callers send a request that is not idempotent again under the id of its first sending.
    /// If not, no records of answers are kept.
    #[serde(default = "default_resends")]
    pub(crate) resends: bool,
    #[serde(default)]
    pub(crate) upstream: RawUpstream,
    /// The classes of requests.
    #[schemars(length(min = 1, max = 32))]
    pub(crate) classes: Vec<RawClass>,
    /// Tried in order; the first that matches a request counts.
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

// What the schema below says of some fields, for documents that are made from a fleet's configuration.

/// The rates that a cold upstream may be said to bear, in requests a second.
pub(crate) const COLD_RATES: RangeInclusive<f64> = 0.001..=10_000.0;
/// Connections that an upstream takes.
pub(crate) const CONNECTIONS: RangeInclusive<u64> = 1..=65_536;
/// The longest body, in bytes.
pub(crate) const BODY_BYTES: RangeInclusive<u64> = 1_024..=67_108_864;
/// All headers together, in bytes.
pub(crate) const HEADER_BYTES: RangeInclusive<u64> = 1_024..=262_144;

/// What each upstream of the service can do.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawUpstream {
    /// How many requests it runs at once.
    #[schemars(range(min = 1, max = 4096))]
    pub(crate) slots: u32,
    /// How many connections it takes.
    #[schemars(range(min = 1, max = 65536))]
    pub(crate) connections_max: u32,
    /// Whether it refuses requests whose fence token is older than one it has seen.
    pub(crate) checks_fence: bool,
    /// Whether it runs requests only for ranges of keys that it has been granted, until their time is
    /// over; for ordered keys only.
    pub(crate) enforces_leases: bool,
    /// How it is granted keys, if it enforces leases.
    pub(crate) key_grants: KeyGrants,
    /// How long a new upstream takes to reach its full share of the load.
    #[schemars(range(max = 600_000))]
    pub(crate) warmup_ms: u64,
    /// How many requests a second it bears while it says that it is cold; none: as many as its slots take.
    #[schemars(range(min = 0.001, max = 10_000.0))]
    pub(crate) cold_requests_per_s: Option<f64>,
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
        }
    }
}

/// How an upstream that enforces leases is granted keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum KeyGrants {
    /// By calls to it.
    Calls,
    /// By the answers to its announcements, in which it says what it holds.
    Announcements,
}

/// A class of requests.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawClass {
    #[schemars(regex(pattern = "^[a-z0-9._-]{1,63}$"))]
    pub(crate) name: String,
    /// Its share of a full target against the other classes.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 1, max = 1000))]
    pub(crate) weight: u32,
    /// Whether its requests wait for a free slot beyond the time in which an answer is of full use. If
    /// not, one that is not expected to make that is refused at once and told when to come back.
    #[serde(default = "default_queues_past_objective")]
    pub(crate) queues_past_objective: bool,
}

fn default_queues_past_objective() -> bool {
    true
}

fn default_weight() -> u32 {
    1
}

/// One kind of request.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRoute {
    /// The HTTP method; any, if left out.
    #[serde(default)]
    pub(crate) method: Option<RawMethod>,
    /// The path after the service's own segment: `{name}` stands for one segment, a last `*` for
    /// the rest.
    #[schemars(length(min = 1, max = 512))]
    pub(crate) path: String,
    /// Where the key is; for services divided by key the header `x-key`, if left out.
    #[serde(default)]
    pub(crate) key: Option<RawKey>,
    /// One of `classes`.
    pub(crate) class: String,
    /// Whether running a request twice does no more than running it once.
    pub(crate) idempotent: bool,
    /// How long a request may take, if the caller names no shorter time.
    #[serde(default = "default_deadline_ms")]
    #[schemars(range(min = 1, max = 60_000))]
    pub(crate) deadline_ms: u64,
}

fn default_deadline_ms() -> u64 {
    1_000
}

/// An HTTP method.
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

/// Where a request carries its key: one of the two.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawKey {
    /// The name of a header.
    #[serde(default)]
    pub(crate) header: Option<String>,
    /// The name of a `{segment}` of the path.
    #[serde(default)]
    pub(crate) segment: Option<String>,
}

/// Which retries count towards the share of fresh requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawRetryCount {
    All,
    AfterUpstream,
}

/// What a gate takes on.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawLimits {
    /// The longest time that a request waits for a free slot of the target.
    #[schemars(range(max = 60_000))]
    pub(crate) queue_ms_max: u64,
    /// How many requests may wait at once.
    #[schemars(range(max = 100_000))]
    pub(crate) queue_length_max: u32,
    /// Retries as a share of fresh requests.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub(crate) retry_share: f64,
    /// Retries of one agent that may be saved up while there is nothing to retry.
    #[schemars(range(max = 1_000))]
    pub(crate) retry_burst: u32,
    /// Whether retries are counted each, or only those after a sending that may have reached an
    /// upstream.
    pub(crate) retry_count: RawRetryCount,
    /// How long a request waits for a key that nobody owns at the moment.
    #[schemars(range(max = 10_000))]
    pub(crate) unowned_wait_ms: u64,
    /// How much longer a request may take in the own availability zone before another one is preferred:
    /// what the way there takes, and what its bytes are held to cost.
    #[schemars(range(max = 10_000))]
    pub(crate) zone_penalty_ms: u64,
    /// The longest body of a request or an answer.
    #[schemars(range(min = 1024, max = 67_108_864))]
    pub(crate) body_bytes_max: u64,
    /// All headers of a request together.
    #[schemars(range(min = 1024, max = 262_144))]
    pub(crate) header_bytes_max: u64,
    /// What answers to requests that are not idempotent may take up in memory.
    #[schemars(range(min = 65_536, max = 1_073_741_824))]
    pub(crate) records_bytes_max: u64,
    /// How long such an answer is kept for a caller that asks again.
    #[schemars(range(min = 1_000, max = 3_600_000))]
    pub(crate) records_ms: u64,
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
            records_bytes_max: 8_388_608,
            records_ms: 120_000,
        }
    }
}

/// Times and targets of ownership.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawOwnership {
    /// How long a member's lease lasts.
    #[schemars(range(min = 100, max = 60_000))]
    pub(crate) lease_ms: u64,
    /// How often a member renews its lease.
    #[schemars(range(min = 20, max = 30_000))]
    pub(crate) renew_every_ms: u64,
    /// How far clocks may drift apart within one lease.
    #[schemars(range(min = 1, max = 1_000))]
    pub(crate) drift_margin_ms: u64,
    /// How long one confirmation of a coordinator by witnesses is good for.
    #[schemars(range(min = 50, max = 30_000))]
    pub(crate) confirmation_ms: u64,
    /// The same where the platform confirms.
    #[schemars(range(min = 50, max = 30_000))]
    pub(crate) platform_confirmation_ms: u64,
    /// How long members wait for a silent coordinator before one of them takes the term.
    #[schemars(range(min = 50, max = 60_000))]
    pub(crate) takeover_after_ms: u64,
    /// The longest time that a coordinator goes on without reaching the platform.
    #[schemars(range(min = 5, max = 86_400))]
    pub(crate) platform_absence_max_s: u64,
    /// A gap between ticks above this counts as a pause and drops the lease.
    #[schemars(range(min = 60, max = 30_000))]
    pub(crate) pause_max_ms: u64,
    /// How long a slot's old owner may take to finish what is in flight.
    #[schemars(range(min = 100, max = 60_000))]
    pub(crate) handover_max_ms: u64,
    /// The busiest member's load over the mean that is aimed at.
    #[schemars(range(min = 1.01, max = 10.0))]
    pub(crate) imbalance_target: f64,
    /// The largest share of all keys that rebalancing may move in a minute.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub(crate) churn_per_minute_max: f64,
    /// 0 spares churn above all, 1 spares unavailable time above all.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub(crate) availability_weight: f64,
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
            imbalance_target: 1.15,
            churn_per_minute_max: 0.10,
            availability_weight: 0.5,
        }
    }
}

/// How an instance leaves.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawDrain {
    /// When, after the announcement, no new work may reach the upstream any more.
    #[schemars(range(max = 3_000))]
    pub(crate) no_new_work_ms: u64,
    /// When, after its availability zone was closed, no new work may reach the upstream any more.
    #[schemars(range(max = 60_000))]
    pub(crate) zone_no_new_work_ms: u64,
    /// How long the instance waits for what is in flight.
    #[schemars(range(min = 100, max = 600_000))]
    pub(crate) in_flight_ms_max: u64,
}

impl Default for RawDrain {
    fn default() -> RawDrain {
        RawDrain { no_new_work_ms: 2_000, zone_no_new_work_ms: 4_000, in_flight_ms_max: 60_000 }
    }
}
