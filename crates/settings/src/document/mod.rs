//! Service document: the description of a service by its team, with its routes and limits.

mod raw;
mod route;
mod rules;

use std::{
    sync::{Arc, LazyLock},
    time::Duration,
};

use model::{ClassName, OrderedKeys, ServiceName, SlotCount, TeamName};

use crate::{
    parse::{parse, schema_of},
    problem::Problems,
};

pub use raw::KeyGrants;
pub use route::{KeySource, Method, Route, RouteError, RouteMatch};

pub(crate) use raw::{
    BODY_BYTES, COLD_RATES, CONNECTIONS, HEADER_BYTES, HEADER_MS, IDLE_MS, RawClass, RawDocument,
    RawDrain, RawKey, RawLimits, RawOwnership, RawRoute, RawUpstream, default_slot_count,
    is_health_path,
};

/// Generated once, since each agent parses many documents.
static SCHEMA: LazyLock<serde_json::Value> = LazyLock::new(schema_of::<RawDocument>);

/// Validated service document.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDocument {
    pub service: ServiceName,
    pub team: TeamName,
    /// Whether requests are partitioned by key, with each key owned by one instance at a time.
    pub keyed: bool,
    /// Number of slots that the keys of a group are distributed over.
    pub slot_count: SlotCount,
    /// Set if keys are integers and slots are ranges of keys; otherwise keys are hashed.
    pub ordered_keys: Option<OrderedKeys>,
    /// Whether callers resend a non-idempotent request under the request id of its first attempt.
    pub resends: bool,
    pub upstream: UpstreamProperties,
    pub classes: Vec<RequestClass>,
    /// Routes in the order in which they are tried.
    pub routes: Vec<Route>,
    pub limits: TrafficLimits,
    pub ownership: OwnershipLimits,
    pub drain: DrainLimits,
}

/// Capacity and features of each upstream of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamProperties {
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    pub connections_max: u32,
    /// Whether the upstream rejects requests whose fence token is older than one that it has
    /// received.
    pub checks_fence: bool,
    /// Whether the upstream runs requests only for ranges of keys that it holds a grant for.
    pub enforces_leases: bool,
    /// How grants of keys are sent to an upstream that enforces leases.
    pub key_grants: KeyGrants,
    /// Time until a new upstream receives its full share of the load.
    pub warmup: Duration,
    /// Requests per second that the upstream can process while it reports that it is cold; `None`
    /// if only `slots` limits it.
    pub cold_requests_per_s: Option<f64>,
    /// Whether the number of concurrent requests is lowered while more of them slow the upstream down.
    pub learns_concurrency: bool,
    /// Path of the upstream's health check.
    pub health_path: Arc<str>,
}

/// Class of requests that share a queue and a weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestClass {
    pub name: ClassName,
    /// Share of the class in the capacity of an overloaded upstream, relative to the other classes;
    /// at least 1.
    pub weight: u32,
    /// Whether requests of the class are queued even if they are expected to miss their latency
    /// objective.
    pub queues_past_objective: bool,
}

/// Limits on the requests that an agent accepts.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficLimits {
    /// Longest time that a request waits in the queue of an upstream.
    pub queue_wait_max: Duration,
    /// Largest number of requests in the queue of an upstream.
    pub queue_length_max: u32,
    /// Retry budget: retries as a share of first attempts, from 0.0 to 1.0.
    pub retry_share: f64,
    /// Largest number of unused retries that the retry budget of an agent accumulates.
    pub retry_burst: u32,
    /// Whether a retry counts against the retry budget only after an attempt that may have reached
    /// an upstream.
    pub retries_count_after_upstream: bool,
    /// Longest time that a request waits while its key has no owner.
    pub unowned_wait: Duration,
    /// Additional latency that is assumed for an upstream in another availability zone when
    /// upstreams are compared.
    pub zone_penalty: Duration,
    pub body_bytes_max: usize,
    pub header_bytes_max: usize,
    /// Longest time from the first byte of a request's headers to their end.
    pub header_time_max: Duration,
    /// Longest time that a connection stays open without a request, or without progress of an
    /// answer that is being sent.
    pub idle_time_max: Duration,
    /// Memory for recorded answers to non-idempotent requests.
    pub records_bytes_max: usize,
    /// Time for which an answer is recorded.
    pub records_retention: Duration,
    /// Latency objective up to which the requests of a route are express; zero if there are none.
    pub express_objective_max: Duration,
    /// Whether a request is refused before it runs while most requests of its kind fail because
    /// express requests that they make fail.
    pub refuses_failing_runs: bool,
    /// Whether a refused caller gets a time at which there is room for its request.
    pub promises_returns: bool,
}

/// Timing of leases and targets of rebalancing, with the same fields as `Limits` of the `ownership`
/// crate.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnershipLimits {
    pub lease: Duration,
    pub renew_every: Duration,
    pub drift_margin: Duration,
    pub confirmation: Duration,
    pub platform_confirmation: Duration,
    pub takeover_after: Duration,
    pub platform_absence_max: Duration,
    pub pause_max: Duration,
    pub handover_max: Duration,
    /// Largest number of members of a group.
    pub members_max: usize,
    /// Target for the ratio of the busiest member's load to the mean load.
    pub imbalance_target: f64,
    /// Largest share of all keys that rebalancing moves per minute, from 0.0 to 1.0.
    pub churn_per_minute_max: f64,
    /// Balance between two goals: 0 minimises moves of keys, 1 minimises the time in which keys are
    /// unavailable.
    pub availability_weight: f64,
    /// Whether members get load in proportion to the measured capacity of their upstreams.
    pub weighs_capacity: bool,
}

/// Timing of the drain of an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct DrainLimits {
    /// Time after the announcement of the drain from which the upstream receives no new requests;
    /// at most 3 s.
    pub no_new_work_after: Duration,
    /// Time after the closing of the availability zone from which the upstream receives no new
    /// requests.
    pub zone_no_new_work_after: Duration,
    /// Longest time that the instance waits for requests in flight.
    pub in_flight_max: Duration,
}

impl ServiceDocument {
    /// Parses and validates a document in JSON with comments. The error contains all problems
    /// found.
    pub fn parse(text: &str) -> Result<ServiceDocument, Problems> {
        let mut problems = Problems::default();
        let document = parse::<RawDocument>(text, &SCHEMA, &mut problems)
            .and_then(|it| rules::check(&it, &mut problems));
        problems.into_result(document)
    }

    /// Parses and validates a document that is stored for `service`.
    pub fn parse_for(service: &ServiceName, text: &str) -> Result<ServiceDocument, Problems> {
        let mut problems = Problems::default();
        let parsed = parse::<RawDocument>(text, &SCHEMA, &mut problems);
        let document = parsed.as_ref().and_then(|it| {
            rules::check_service(it, service, &mut problems);
            rules::check(it, &mut problems)
        });
        problems.into_result(document)
    }

    /// Parses and validates a document that is to replace `previous`. Fields on which ownership
    /// depends cannot be changed while a service is running.
    pub fn parse_change(
        text: &str,
        previous: &ServiceDocument,
    ) -> Result<ServiceDocument, Problems> {
        let mut problems = Problems::default();
        let parsed = parse::<RawDocument>(text, &SCHEMA, &mut problems);
        let document = parsed.as_ref().and_then(|it| {
            rules::check_change(it, previous, &mut problems);
            rules::check(it, &mut problems)
        });
        problems.into_result(document)
    }

    /// Returns the JSON schema of documents.
    pub fn json_schema() -> serde_json::Value {
        SCHEMA.clone()
    }

    /// Finds the route and the key of a request. `path` is the path after the segment with the
    /// service name, with a leading slash and without the query. `header` returns the value of a
    /// header by its lower-case name.
    pub fn route<'a>(
        &self,
        method: &str,
        path: &str,
        header: impl Fn(&str) -> Option<&'a str>,
    ) -> Result<RouteMatch<'_>, RouteError> {
        route::find_route(&self.routes, method, path, header)
    }
}

impl Default for OwnershipLimits {
    fn default() -> OwnershipLimits {
        OwnershipLimits::from(&raw::RawOwnership::default())
    }
}

impl From<&raw::RawUpstream> for UpstreamProperties {
    fn from(raw: &raw::RawUpstream) -> UpstreamProperties {
        UpstreamProperties {
            slots: raw.slots,
            connections_max: raw.connections_max,
            checks_fence: raw.checks_fence,
            enforces_leases: raw.enforces_leases,
            key_grants: raw.key_grants,
            warmup: Duration::from_millis(raw.warmup_ms),
            cold_requests_per_s: raw.cold_requests_per_s,
            learns_concurrency: raw.learns_concurrency,
            health_path: Arc::from(raw.health_path.as_str()),
        }
    }
}

impl From<&raw::RawLimits> for TrafficLimits {
    fn from(raw: &raw::RawLimits) -> TrafficLimits {
        TrafficLimits {
            queue_wait_max: Duration::from_millis(raw.queue_ms_max),
            queue_length_max: raw.queue_length_max,
            retry_share: raw.retry_share,
            retry_burst: raw.retry_burst,
            retries_count_after_upstream: raw.retry_count == raw::RawRetryCount::AfterUpstream,
            unowned_wait: Duration::from_millis(raw.unowned_wait_ms),
            zone_penalty: Duration::from_millis(raw.zone_penalty_ms),
            body_bytes_max: raw.body_bytes_max as usize,
            header_bytes_max: raw.header_bytes_max as usize,
            header_time_max: Duration::from_millis(raw.header_ms_max),
            idle_time_max: Duration::from_millis(raw.idle_ms_max),
            records_bytes_max: raw.records_bytes_max as usize,
            records_retention: Duration::from_millis(raw.records_ms),
            express_objective_max: Duration::from_millis(raw.express_objective_ms_max),
            refuses_failing_runs: raw.refuses_failing_runs,
            promises_returns: raw.promises_returns,
        }
    }
}

impl From<&raw::RawOwnership> for OwnershipLimits {
    fn from(raw: &raw::RawOwnership) -> OwnershipLimits {
        OwnershipLimits {
            lease: Duration::from_millis(raw.lease_ms),
            renew_every: Duration::from_millis(raw.renew_every_ms),
            drift_margin: Duration::from_millis(raw.drift_margin_ms),
            confirmation: Duration::from_millis(raw.confirmation_ms),
            platform_confirmation: Duration::from_millis(raw.platform_confirmation_ms),
            takeover_after: Duration::from_millis(raw.takeover_after_ms),
            platform_absence_max: Duration::from_secs(raw.platform_absence_max_s),
            pause_max: Duration::from_millis(raw.pause_max_ms),
            handover_max: Duration::from_millis(raw.handover_max_ms),
            members_max: usize::from(raw.members_max),
            imbalance_target: raw.imbalance_target,
            churn_per_minute_max: raw.churn_per_minute_max,
            availability_weight: raw.availability_weight,
            weighs_capacity: raw.weighs_capacity,
        }
    }
}

impl From<&raw::RawDrain> for DrainLimits {
    fn from(raw: &raw::RawDrain) -> DrainLimits {
        DrainLimits {
            no_new_work_after: Duration::from_millis(raw.no_new_work_ms),
            zone_no_new_work_after: Duration::from_millis(raw.zone_no_new_work_ms),
            in_flight_max: Duration::from_millis(raw.in_flight_ms_max),
        }
    }
}
