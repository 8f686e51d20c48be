//! Service documents that are made from a fleet's configuration and an agent's defaults.

use model::{ClassName, OrderedKeys, ServiceName, TeamName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::document::{
    RawClass, RawDocument, RawDrain, RawKey, RawLimits, RawOwnership, RawRoute, RawUpstream,
};

/// How long a request may take at most: as long as documents allow. The routes of hosts say less.
const DEADLINE_MS_MAX: u64 = 60_000;

/// What the documents of a fleet's services have in common.
#[derive(Debug, Clone, Default)]
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
#[derive(Debug, Clone, Default)]
pub struct DocumentDefaults(RawDocumentDefaults);

impl PartialEq for DocumentDefaults {
    fn eq(&self, other: &DocumentDefaults) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl From<RawDocumentDefaults> for DocumentDefaults {
    fn from(raw: RawDocumentDefaults) -> DocumentDefaults {
        DocumentDefaults(raw)
    }
}

/// What a fleet's configuration says of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetService {
    pub service: ServiceName,
    pub team: TeamName,
    /// Set where each key is owned by one instance alone, which its upstream enforces.
    pub keys: Option<OrderedKeys>,
    /// The header that carries the key, in lower case.
    pub key_header: &'static str,
    /// With their weights; at least one.
    pub classes: Vec<(ClassName, u32)>,
    pub connections_max: u32,
    pub header_bytes_max: u64,
    pub body_bytes_max: u64,
}

impl DocumentDefaults {
    /// The document of a service, as text.
    pub fn document(&self, service: &FleetService) -> String {
        let defaults = self.0.clone();
        let class = |(name, weight): &(ClassName, u32)| RawClass {
            name: name.as_str().to_owned(),
            weight: *weight,
        };
        let route = RawRoute {
            method: None,
            path: "/*".to_owned(),
            key: service
                .keys
                .map(|_| RawKey { header: Some(service.key_header.to_owned()), segment: None }),
            class: service.classes.first().map_or("", |it| it.0.as_str()).to_owned(),
            idempotent: false,
            deadline_ms: DEADLINE_MS_MAX,
        };
        let document = RawDocument {
            schema: None,
            service: service.service.as_str().to_owned(),
            team: service.team.as_str().to_owned(),
            keyed: service.keys.is_some(),
            slot_count: defaults.slot_count.unwrap_or_else(crate::document::default_slot_count),
            ordered_keys: service.keys.map(OrderedKeys::count),
            resends: false,
            upstream: RawUpstream {
                connections_max: service.connections_max,
                enforces_leases: service.keys.is_some(),
                ..defaults.upstream
            },
            classes: service.classes.iter().map(class).collect(),
            routes: vec![route],
            limits: RawLimits {
                body_bytes_max: service.body_bytes_max,
                header_bytes_max: service.header_bytes_max,
                ..defaults.limits
            },
            ownership: defaults.ownership,
            drain: defaults.drain,
        };
        serde_json::to_string(&document).expect("a document has a JSON form")
    }
}
