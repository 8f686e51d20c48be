//! The document in which a team says what its service is and how it should be reached.

mod raw;
mod route;
mod rules;

use std::{sync::LazyLock, time::Duration};

use model::{ClassName, OrderedKeys, ServiceName, SlotCount, TeamName};

use crate::{
    parse::{parse, schema_of},
    problem::Problems,
};

pub use raw::KeyGrants;
pub use route::{KeySource, Method, Route, RouteError, RouteMatch};

pub(crate) use raw::{
    BODY_BYTES, COLD_RATES, CONNECTIONS, HEADER_BYTES, RawClass, RawDocument, RawDrain, RawKey,
    RawLimits, RawOwnership, RawRoute, RawUpstream, default_slot_count,
};

/// Made once: each agent parses many documents.
static SCHEMA: LazyLock<serde_json::Value> = LazyLock::new(schema_of::<RawDocument>);

/// A checked service document.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDocument {
    pub service: ServiceName,
    pub team: TeamName,
    /// Whether each key is owned by one instance alone.
    pub keyed: bool,
    /// How many slots the keys of one group are spread over.
    pub slot_count: SlotCount,
    /// Set where keys are whole numbers and slots are ranges of them.
    pub ordered_keys: Option<OrderedKeys>,
    /// Whether a request may come again under the id of its first sending.
    pub resends: bool,
    pub upstream: UpstreamProperties,
    pub classes: Vec<RequestClass>,
    /// In the order in which they are tried.
    pub routes: Vec<Route>,
    pub limits: TrafficLimits,
    pub ownership: OwnershipLimits,
    pub drain: DrainLimits,
}

/// What each upstream of a service can do.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamProperties {
    /// Requests that it runs at once.
    pub slots: u32,
    pub connections_max: u32,
    /// Whether it refuses requests whose fence token is older than one it has seen.
    pub checks_fence: bool,
    /// Whether it runs requests only for ranges of keys that it holds a grant of.
    pub enforces_leases: bool,
    /// How it is granted keys, if it enforces leases.
    pub key_grants: KeyGrants,
    /// How long a new upstream takes to reach its full share of the load.
    pub warmup: Duration,
    /// How many requests a second it bears while it says that it is cold; none: as many as its slots take.
    pub cold_requests_per_s: Option<f64>,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestClass {
    pub name: ClassName,
    /// Its share of a full target against the other classes; at least 1.
    pub weight: u32,
    /// Whether its requests wait beyond the time in which an answer is of full use.
    pub queues_past_objective: bool,
}

/// What a gate takes on.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficLimits {
    /// The longest wait for a free slot of the target.
    pub queue_wait_max: Duration,
    pub queue_length_max: u32,
    /// Retries as a share of fresh requests, 0.0 to 1.0.
    pub retry_share: f64,
    /// Retries of one agent that may be saved up.
    pub retry_burst: u32,
    /// Whether a retry counts only after a sending that may have reached an upstream.
    pub retries_count_after_upstream: bool,
    /// How long a request waits for a key that nobody owns.
    pub unowned_wait: Duration,
    /// How much longer a request may take in the own availability zone before another is preferred.
    pub zone_penalty: Duration,
    pub body_bytes_max: usize,
    pub header_bytes_max: usize,
    /// What kept answers to requests that are not idempotent may take up in memory.
    pub records_bytes_max: usize,
    /// How long such an answer is kept.
    pub records_retention: Duration,
}

/// Times and targets of ownership; the same fields as in the crate that decides on ownership.
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
    /// Busiest member's load over the mean.
    pub imbalance_target: f64,
    /// Share of all keys, 0.0 to 1.0.
    pub churn_per_minute_max: f64,
    /// 0 spares churn above all, 1 spares unavailable time above all.
    pub availability_weight: f64,
}

/// How an instance leaves.
#[derive(Debug, Clone, PartialEq)]
pub struct DrainLimits {
    /// When, after the announcement, no new work may reach the upstream; 3 s at the most.
    pub no_new_work_after: Duration,
    /// The same after the availability zone of the upstream was closed.
    pub zone_no_new_work_after: Duration,
    /// How long the instance waits for what is in flight.
    pub in_flight_max: Duration,
}

impl ServiceDocument {
    /// Parses and checks a document in JSON with comments; reports all problems at once.
    pub fn parse(text: &str) -> Result<ServiceDocument, Problems> {
        let mut problems = Problems::default();
        let document = parse::<RawDocument>(text, &SCHEMA, &mut problems)
            .and_then(|it| rules::check(&it, &mut problems));
        problems.or(document)
    }

    /// Parses and checks a document that stands where that of `service` belongs.
    pub fn parse_for(service: &ServiceName, text: &str) -> Result<ServiceDocument, Problems> {
        let mut problems = Problems::default();
        let parsed = parse::<RawDocument>(text, &SCHEMA, &mut problems);
        let document = parsed.as_ref().and_then(|it| {
            rules::check_service(it, service, &mut problems);
            rules::check(it, &mut problems)
        });
        problems.or(document)
    }

    /// Parses and checks a document that is to follow `former`: what lies at the root of ownership
    /// may not change under a running service.
    pub fn parse_change(text: &str, former: &ServiceDocument) -> Result<ServiceDocument, Problems> {
        let mut problems = Problems::default();
        let parsed = parse::<RawDocument>(text, &SCHEMA, &mut problems);
        let document = parsed.as_ref().and_then(|it| {
            rules::check_change(it, former, &mut problems);
            rules::check(it, &mut problems)
        });
        problems.or(document)
    }

    /// The JSON schema of the text.
    pub fn json_schema() -> serde_json::Value {
        SCHEMA.clone()
    }

    /// Finds the route of a request and its key. `path` is what follows the service's segment,
    /// with its leading slash and without a query; `header` looks a header up by its name in
    /// lower case.
    pub fn route<'a>(
        &self,
        method: &str,
        path: &str,
        header: impl Fn(&str) -> Option<&'a str>,
    ) -> Result<RouteMatch<'_>, RouteError> {
        route::find(&self.routes, method, path, header)
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
            records_bytes_max: raw.records_bytes_max as usize,
            records_retention: Duration::from_millis(raw.records_ms),
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
            imbalance_target: raw.imbalance_target,
            churn_per_minute_max: raw.churn_per_minute_max,
            availability_weight: raw.availability_weight,
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
