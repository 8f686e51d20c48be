//! Construction of service documents from a central configuration and an agent's defaults.

use std::{ops::RangeInclusive, sync::Arc, time::Duration};

use model::{OrderedKeys, ServiceName, TeamName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::document::{
    BODY_BYTES, COLD_RATES, CONNECTIONS, HEADER_BYTES, HEADER_MS, IDLE_MS, KeyGrants, RawClass,
    RawDocument, RawDrain, RawKey, RawLimits, RawOwnership, RawRoute, RawUpstream, RequestClass,
    is_health_path,
};

/// Deadline of the only route of such a document: the largest that documents allow. The routes of
/// hosts set shorter timeouts.
const DEADLINE_MS_MAX: u64 = 60_000;

/// Margin of a lease over the longest request: two renewals of 0.4 s each, and 0.1 s of slack.
const RENEWAL_MARGIN_MS: u64 = 900;
/// Leases are rounded up to a multiple of this.
const LEASE_STEP_MS: u64 = 500;
/// Longest lease. The slots of a lost owner stay unavailable until its lease has expired.
const LEASE_MS_MAX: u64 = 6_000;

/// Common defaults of the service documents that are built from a central configuration.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawDocumentDefaults {
    /// Number of slots that the keys of a service are distributed over.
    #[schemars(range(min = 1, max = 4096))]
    slot_count: Option<u16>,
    /// Latency objective in milliseconds up to which a route is tight. If a central configuration
    /// has a tight route, `express_objective_ms_max` of all its services has this value, and
    /// `refuses_failing_runs` is true. If omitted, no route is tight.
    #[schemars(range(min = 1, max = 10_000))]
    tight_objective_ms_max: Option<u64>,
    limits: RawLimits,
    ownership: RawOwnership,
    drain: RawDrain,
    upstream: RawUpstream,
}

/// Common defaults of the service documents that are built from a central configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DocumentDefaults(RawDocumentDefaults);

impl From<RawDocumentDefaults> for DocumentDefaults {
    fn from(raw: RawDocumentDefaults) -> DocumentDefaults {
        DocumentDefaults(raw)
    }
}

/// Entry of a service in a central configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct CentralServiceConfig {
    pub service: ServiceName,
    pub team: TeamName,
    /// Range of the keys, if the service is keyed and its upstreams enforce leases.
    pub keys: Option<OrderedKeys>,
    /// How grants of keys are sent to upstreams, if the service is keyed.
    pub key_grants: KeyGrants,
    /// Name of the header with the key, in lower case.
    pub key_header: &'static str,
    /// Request classes, at least one.
    pub classes: Vec<RequestClass>,
    pub connections_max: u32,
    /// Path of the upstreams' health check; `None` if it is that of the defaults.
    pub health_path: Option<Arc<str>>,
    /// Requests per second that an upstream can process while it is cold; `None` if only its slots
    /// limit it.
    pub cold_requests_per_s: Option<f64>,
    /// Longest timeout of the routes to the service.
    pub timeout_max: Duration,
    /// Shortest latency objective of all routes of the configuration, also those to other services;
    /// `None` if it has no routes.
    pub objective_min: Option<Duration>,
    pub header_bytes_max: u64,
    pub body_bytes_max: u64,
    /// Longest time from the first byte of a request's headers to their end; `None` if it is that
    /// of the defaults.
    pub header_time_max: Option<Duration>,
    /// Longest time that a connection stays open without a request; `None` if it is that of the
    /// defaults.
    pub idle_time_max: Option<Duration>,
}

/// Returns the duration of leases of a service. An upstream that enforces leases aborts a request
/// at the end of the grant under which it started, even if the grant has been renewed since.
/// Therefore a lease has to last for the longest request and two renewals. It is rounded up, so
/// that small changes of timeouts do not change it.
fn lease_ms(default_ms: u64, service: &CentralServiceConfig) -> u64 {
    if service.keys.is_none() {
        return default_ms;
    }
    let timeout_max_ms = u64::try_from(service.timeout_max.as_millis()).unwrap_or(u64::MAX);
    let needed_ms = timeout_max_ms.min(LEASE_MS_MAX) + RENEWAL_MARGIN_MS;
    let needed_ms = needed_ms.next_multiple_of(LEASE_STEP_MS);
    needed_ms.clamp(default_ms, LEASE_MS_MAX)
}

/// Limits a value from a central configuration to the range that documents allow.
fn clamp_to(value: u64, range: RangeInclusive<u64>) -> u64 {
    value.clamp(*range.start(), *range.end())
}

/// Limits a duration to a range in milliseconds. A part of a millisecond is rounded up, so that the
/// limit is met by whoever meets the original one.
fn clamp_time_to(value: Duration, range_ms: RangeInclusive<u64>) -> u64 {
    let value_ms = value.as_nanos().div_ceil(1_000_000);
    clamp_to(u64::try_from(value_ms).unwrap_or(u64::MAX), range_ms)
}

/// Limits the rate of a cold upstream to the range that documents allow. Returns `None` (no limit)
/// for rates above it and for rates that are not positive.
fn cold_rate(per_s: f64) -> Option<f64> {
    let is_limit = per_s > 0.0 && per_s <= *COLD_RATES.end();
    is_limit.then(|| per_s.max(*COLD_RATES.start()))
}

impl DocumentDefaults {
    /// Returns the defaults for a service, with the features for tight objectives if the
    /// configuration has one.
    fn for_service(&self, service: &CentralServiceConfig) -> RawDocumentDefaults {
        let defaults = self.0.clone();
        let is_tight = |max_ms: &u64| {
            service.objective_min.is_some_and(|it| it <= Duration::from_millis(*max_ms))
        };
        let Some(express_objective_ms_max) = defaults.tight_objective_ms_max.filter(is_tight)
        else {
            return defaults;
        };
        RawDocumentDefaults {
            limits: RawLimits {
                express_objective_ms_max,
                refuses_failing_runs: true,
                ..defaults.limits
            },
            ..defaults
        }
    }

    /// Builds the text of the document of a service.
    pub fn build_document(&self, service: &CentralServiceConfig) -> String {
        let defaults = self.for_service(service);
        let class = |it: &RequestClass| RawClass {
            name: it.name.as_str().to_owned(),
            weight: it.weight,
            queues_past_objective: it.queues_past_objective,
        };
        let route = RawRoute {
            method: None,
            path: "/*".to_owned(),
            key: service
                .keys
                .map(|_| RawKey { header: Some(service.key_header.to_owned()), segment: None }),
            class: service.classes.first().map_or("", |it| it.name.as_str()).to_owned(),
            idempotent: false,
            deadline_ms: DEADLINE_MS_MAX,
        };
        let health_path = service.health_path.as_deref().filter(|it| is_health_path(it));
        let connections_max = clamp_to(service.connections_max.into(), CONNECTIONS) as u32;
        let document = RawDocument {
            schema: None,
            service: service.service.as_str().to_owned(),
            team: service.team.as_str().to_owned(),
            keyed: service.keys.is_some(),
            slot_count: defaults.slot_count.unwrap_or_else(crate::document::default_slot_count),
            ordered_keys: service.keys.map(OrderedKeys::count),
            resends: false,
            upstream: RawUpstream {
                slots: defaults.upstream.slots.min(connections_max),
                connections_max,
                cold_requests_per_s: service.cold_requests_per_s.and_then(cold_rate),
                enforces_leases: service.keys.is_some(),
                key_grants: match service.keys {
                    Some(_) => service.key_grants,
                    None => KeyGrants::Calls,
                },
                health_path: health_path.map_or(defaults.upstream.health_path, str::to_owned),
                ..defaults.upstream
            },
            classes: service.classes.iter().map(class).collect(),
            routes: vec![route],
            limits: RawLimits {
                body_bytes_max: clamp_to(service.body_bytes_max, BODY_BYTES),
                header_bytes_max: clamp_to(service.header_bytes_max, HEADER_BYTES),
                header_ms_max: service
                    .header_time_max
                    .map_or(defaults.limits.header_ms_max, |it| clamp_time_to(it, HEADER_MS)),
                idle_ms_max: service
                    .idle_time_max
                    .map_or(defaults.limits.idle_ms_max, |it| clamp_time_to(it, IDLE_MS)),
                ..defaults.limits
            },
            ownership: RawOwnership {
                lease_ms: lease_ms(defaults.ownership.lease_ms, service),
                ..defaults.ownership
            },
            drain: defaults.drain,
        };
        serde_json::to_string(&document).expect("a document has a JSON form")
    }
}
