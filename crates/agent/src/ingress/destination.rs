//! Where a request is to go: by the first segment of its path, or by host and longest prefix.

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

/// First segments that mean something else to upstreams or this agent.
const RESERVED: [&str; 3] = ["control", "upstream", "admin"];
/// Routes over several services whose turns are kept; more start anew.
const TURNS_MAX: usize = 4096;

/// Where a request is to go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Destination {
    pub(super) service: ServiceName,
    /// The route of the host, where hosts select the service.
    pub(super) route: Option<Arc<HostRoute>>,
}

/// Finds destinations; remembers whose turn it is where a route leads to several services.
#[derive(Debug, Default)]
pub(super) struct Destinations {
    turns: Mutex<HashMap<Arc<str>, WeightedRoundRobin>>,
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
            // Whether there is such a route is not for an agent to say that knows of none at all.
            (Some(_), None) => Err(Refusal::RoutesUnknown),
            (Some(host), Some(table)) => self.by_host(host, uri, table),
        }
    }

    /// Whether the route of a request says that it may be repeated; false where there is none.
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
            several => &several[self.turn(route)],
        };
        Ok(Destination { service: backend.service.clone(), route: Some(Arc::clone(route)) })
    }

    fn turn(&self, route: &HostRoute) -> usize {
        let weights: Vec<u32> = route.backends.iter().map(|it| it.weight).collect();
        let mut all = self.turns.lock().unwrap_or_else(PoisonError::into_inner);
        if all.len() >= TURNS_MAX {
            all.clear();
        }
        let turns = all
            .entry(Arc::clone(&route.name))
            .or_insert_with(|| WeightedRoundRobin::new(weights.clone(), &mut rand::rng()));
        if turns.weights() != weights {
            *turns = WeightedRoundRobin::new(weights, &mut rand::rng());
        }
        turns.next_index().unwrap_or(0)
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

/// The same as [`Destinations::is_idempotent`], where the first segment of the path names the service.
fn is_idempotent_by_segment(head: &CallHead, parts: &Parts, snapshot: &Snapshot) -> Option<bool> {
    let destination = by_segment(&parts.uri).ok()?;
    let routes = snapshot.services.get(&destination.service)?;
    let path = destination.document_path(&parts.uri);
    let (found, _) = route_and_key(routes, parts.method.as_str(), path, head).ok()?;
    Some(found.route.idempotent)
}

impl Destination {
    /// The path that the routes of the service's document are about.
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

/// The route of the document, and the place of the key.
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
        Some(key) => Some(place(document, key)?),
        None => None,
    };
    Ok((found, key))
}

fn place(document: &ServiceDocument, key: &[u8]) -> Result<KeyHash, Refusal> {
    match document.ordered_keys {
        None => Ok(key_hash(key)),
        Some(keys) => ordered_place(keys, key).ok_or(Refusal::KeyOutOfRange),
    }
}

fn ordered_place(keys: OrderedKeys, key: &[u8]) -> Option<KeyHash> {
    keys.hash_of(std::str::from_utf8(key).ok()?.parse().ok()?)
}
