//! Finds the service that a request is for: by the first segment of its path, or by host and longest prefix.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use http::{Uri, request::Parts};
use model::{KeyHash, OrderedKeys, ServiceName, key_hash};
use settings::{HostRoute, RouteError, RouteMatch, RoutingTable, ServiceDocument};
use traffic::WeightedRoundRobin;

use crate::{
    ingress::{protocol::CallHead, refusal::Refusal},
    snapshot::{ServiceRoutes, Snapshot},
};

/// First path segments that are reserved for calls to upstreams or to this agent.
const RESERVED: [&str; 3] = ["control", "upstream", "admin"];
/// Largest number of host routes with a round-robin state; beyond it all states are discarded.
const ROUND_ROBINS_MAX: usize = 4096;

/// The service that a request is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Destination {
    pub(super) service: ServiceName,
    /// The host route, if hosts select the service.
    pub(super) route: Option<Arc<HostRoute>>,
}

/// Finds destinations, and keeps the round-robin state of host routes with several services.
#[derive(Debug, Default)]
pub(super) struct Destinations {
    round_robins: Mutex<HashMap<Arc<str>, WeightedRoundRobin>>,
}

impl Destinations {
    pub(super) fn find(
        &self,
        head: &CallHead,
        uri: &Uri,
        snapshot: &Snapshot,
    ) -> Result<Destination, Refusal> {
        match (&head.host, &snapshot.routing) {
            (None, _) => by_segment(uri),
            // Without any host routes the agent cannot tell whether this one exists.
            (Some(_), None) => Err(Refusal::RoutesUnknown),
            (Some(host), Some(table)) => self.by_host(host, uri, table),
        }
    }

    /// Returns whether the request's route marks it as idempotent; false if there is no route.
    pub(super) fn is_idempotent(
        &self,
        head: &CallHead,
        parts: &Parts,
        snapshot: &Snapshot,
    ) -> bool {
        match (&head.host, &snapshot.routing) {
            (Some(host), Some(table)) => {
                table.find(host, parts.uri.path()).is_some_and(|it| it.idempotent)
            }
            (Some(_), None) => false,
            (None, _) => is_idempotent_by_segment(head, parts, snapshot).unwrap_or(false),
        }
    }

    fn by_host(&self, host: &str, uri: &Uri, table: &RoutingTable) -> Result<Destination, Refusal> {
        let route = table.find(host, uri.path()).ok_or(Refusal::NoHostRoute)?;
        let backend = match route.backends.as_slice() {
            [only] => only,
            several => &several[self.next_backend(route)],
        };
        Ok(Destination { service: backend.service.clone(), route: Some(Arc::clone(route)) })
    }

    fn next_backend(&self, route: &HostRoute) -> usize {
        let weights: Vec<u32> = route.backends.iter().map(|it| it.weight).collect();
        let mut all = self.round_robins.lock().unwrap_or_else(PoisonError::into_inner);
        if all.len() >= ROUND_ROBINS_MAX {
            all.clear();
        }
        let round_robin = all
            .entry(Arc::clone(&route.name))
            .or_insert_with(|| WeightedRoundRobin::new(weights.clone(), &mut rand::rng()));
        if round_robin.weights() != weights {
            *round_robin = WeightedRoundRobin::new(weights, &mut rand::rng());
        }
        round_robin.next_index().unwrap_or(0)
    }
}

fn by_segment(uri: &Uri) -> Result<Destination, Refusal> {
    let path = uri.path_and_query().ok_or(Refusal::NoService)?;
    let name = path.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    match ServiceName::new(name) {
        Ok(service) if path.path().starts_with(&format!("/{service}")) => match () {
            _ if RESERVED.contains(&service.as_str()) => Err(Refusal::NoService),
            _ => Ok(Destination { service, route: None }),
        },
        _ => Err(Refusal::NoService),
    }
}

/// Like [`Destinations::is_idempotent`], for requests whose first path segment is the service. `None` if there
/// is no route.
fn is_idempotent_by_segment(head: &CallHead, parts: &Parts, snapshot: &Snapshot) -> Option<bool> {
    let destination = by_segment(&parts.uri).ok()?;
    let routes = snapshot.services.get(&destination.service)?;
    let path = destination.document_path(&parts.uri);
    let (found, _) = route_and_key(routes, parts.method.as_str(), path, head).ok()?;
    Some(found.route.idempotent)
}

impl Destination {
    /// Returns the path to match against the routes of the service's document.
    pub(super) fn document_path<'a>(&self, uri: &'a Uri) -> &'a str {
        match self.route {
            Some(_) => uri.path(),
            None => match &uri.path()[1 + self.service.as_str().len()..] {
                "" => "/",
                rest => rest,
            },
        }
    }
}

/// Finds the document's route for a request, and the hash of the key if the route has one.
pub(super) fn route_and_key<'a>(
    routes: &'a ServiceRoutes,
    method: &str,
    path: &str,
    head: &CallHead,
) -> Result<(RouteMatch<'a>, Option<KeyHash>), Refusal> {
    let document = &routes.document;
    let header = |name: &str| head.headers.get(name).and_then(|it| it.to_str().ok());
    let found = document.route(method, path, header).map_err(|error| match error {
        RouteError::NoRoute { .. } => Refusal::NoRoute(error),
        RouteError::NoHeader(_) | RouteError::EmptySegment(_) => Refusal::NoKey(error),
    })?;
    let key = match &found.key {
        Some(key) => Some(hash_key(document, key)?),
        None => None,
    };
    Ok((found, key))
}

fn hash_key(document: &ServiceDocument, key: &[u8]) -> Result<KeyHash, Refusal> {
    match document.ordered_keys {
        None => Ok(key_hash(key)),
        Some(keys) => ordered_key_hash(keys, key).ok_or(Refusal::KeyOutOfRange),
    }
}

fn ordered_key_hash(keys: OrderedKeys, key: &[u8]) -> Option<KeyHash> {
    keys.hash_of(std::str::from_utf8(key).ok()?.parse().ok()?)
}
