//! Service documents that are made from a fleet's configuration and an agent's defaults.

use std::{ops::RangeInclusive, time::Duration};

use model::{OrderedKeys, ServiceName, TeamName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::document::{
    BODY_BYTES, COLD_RATES, CONNECTIONS, HEADER_BYTES, KeyGrants, RawClass, RawDocument, RawDrain,
    RawKey, RawLimits, RawOwnership, RawRoute, RawUpstream, RequestClass,
};

/// How long a request may take at most: as long as documents allow. The routes of hosts say less.
const DEADLINE_MS_MAX: u64 = 60_000;

/// By how much a lease outlasts the longest request: two renewals of 0.4 s, and a little.
const RENEWALS_MS: u64 = 900;
const LEASE_STEP_MS: u64 = 500;
/// Whoever is lost for good is waited for as long as its lease.
const LEASE_MS_MAX: u64 = 6_000;

/// What the documents of a fleet's services have in common.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawDocumentDefaults {
    /// How many slots the keys of a service are spread over.
    #[schemars(range(min = 1, max = 4096))]
    slot_count: Option<u16>,
    limits: RawLimits,
    ownership: RawOwnership,
    drain: RawDrain,
    upstream: RawUpstream,
}

/// What the documents of a fleet's services have in common.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DocumentDefaults(RawDocumentDefaults);

impl From<RawDocumentDefaults> for DocumentDefaults {
    fn from(raw: RawDocumentDefaults) -> DocumentDefaults {
        DocumentDefaults(raw)
    }
}

/// What a fleet's configuration says of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct CentralServiceConfig {
    pub service: ServiceName,
    pub team: TeamName,
    /// Set where each key is owned by one instance alone, which its upstream enforces.
    pub keys: Option<OrderedKeys>,
    /// How upstreams are granted keys, if the service has any.
    pub key_grants: KeyGrants,
    /// The header that carries the key, in lower case.
    pub key_header: &'static str,
    /// At least one.
    pub classes: Vec<RequestClass>,
    pub connections_max: u32,
    /// How many requests a second an upstream bears while it is cold; none: as many as its slots take.
    pub cold_requests_per_s: Option<f64>,
    /// The longest time that any route to the service gives a request.
    pub timeout_max: Duration,
    pub header_bytes_max: u64,
    pub body_bytes_max: u64,
}

/// An upstream that enforces leases ends a request with the grant under which it began, also when the
/// grant was renewed meanwhile. So a lease lasts as long as the longest request and two renewals, in
/// whole steps: a small change of a route leaves the leases as they are.
fn lease_ms(default_ms: u64, service: &CentralServiceConfig) -> u64 {
    if service.keys.is_none() {
        return default_ms;
    }
    let longest_ms = u64::try_from(service.timeout_max.as_millis()).unwrap_or(u64::MAX);
    let needed_ms = longest_ms.min(LEASE_MS_MAX) + RENEWALS_MS;
    let needed_ms = needed_ms.next_multiple_of(LEASE_STEP_MS);
    needed_ms.clamp(default_ms, LEASE_MS_MAX)
}

/// A fleet may name any bound; documents keep to theirs.
fn bounded(value: u64, range: RangeInclusive<u64>) -> u64 {
    value.clamp(*range.start(), *range.end())
}

/// A fleet may say any rate; one above what documents take is no limit.
fn cold_rate(per_s: f64) -> Option<f64> {
    let in_reach = per_s > 0.0 && per_s <= *COLD_RATES.end();
    in_reach.then(|| per_s.max(*COLD_RATES.start()))
}

impl DocumentDefaults {
    /// The document of a service, as text.
    pub fn build_document(&self, service: &CentralServiceConfig) -> String {
        let defaults = self.0.clone();
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
        let connections_max = bounded(service.connections_max.into(), CONNECTIONS) as u32;
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
                ..defaults.upstream
            },
            classes: service.classes.iter().map(class).collect(),
            routes: vec![route],
            limits: RawLimits {
                body_bytes_max: bounded(service.body_bytes_max, BODY_BYTES),
                header_bytes_max: bounded(service.header_bytes_max, HEADER_BYTES),
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
