//! Routing of requests to services by host and path prefix.

use std::{collections::HashMap, sync::Arc, time::Duration};

use model::{ClassName, ServiceName};

/// Service that receives a share of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    pub service: ServiceName,
    /// Share of the requests, relative to the other backends of the route.
    pub weight: u32,
}

/// Route for the requests of a host whose path starts with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRoute {
    pub name: Arc<str>,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Services that requests are distributed over, at least one.
    pub backends: Vec<Backend>,
    pub class: ClassName,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Deadline of a request, if the caller does not set a shorter one.
    pub timeout: Duration,
    /// Latency objective: time within which the answer has its full value for the caller.
    pub objective: Duration,
    /// Largest number of upstreams to which a request is sent.
    pub attempts_max: u8,
}

/// The routes of all hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RoutingTable {
    /// Routes of each host, the longest prefix first. Host names are in lower case.
    hosts: HashMap<Arc<str>, Vec<Arc<HostRoute>>>,
}

impl RoutingTable {
    /// Creates a table from routes with their hosts.
    pub fn new(routes: impl IntoIterator<Item = (Arc<str>, HostRoute)>) -> RoutingTable {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<HostRoute>>> = HashMap::new();
        for (host, route) in routes {
            let host = Arc::from(host.to_ascii_lowercase());
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        RoutingTable { hosts }
    }

    /// Finds the route of the host with the longest prefix of the path. A port after the host name
    /// is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<HostRoute>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// Returns all routes, in arbitrary order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<HostRoute>> {
        self.hosts.values().flatten()
    }
}
