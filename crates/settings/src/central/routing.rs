//! Routes by host and path prefix.

use std::{collections::HashMap, sync::Arc, time::Duration};

use model::{ClassName, ServiceName};

/// One of the services over which the requests of a route are spread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    pub service: ServiceName,
    /// Its share against the other backends of the route.
    pub weight: u32,
}

/// What becomes of the requests of one host whose path begins with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRoute {
    pub name: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    /// At least one.
    pub backends: Vec<Backend>,
    pub class: ClassName,
    /// Whether running a request twice does no more than running it once.
    pub idempotent: bool,
    /// How long a request may take, if the caller names no shorter time.
    pub timeout: Duration,
    /// How long an answer may take to be of full use to the caller.
    pub objective: Duration,
    /// The most upstreams that one request may be given to.
    pub attempts_max: u8,
}

/// The routes of all hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RoutingTable {
    /// Of each host in lower case, the longest prefix first.
    hosts: HashMap<Arc<str>, Vec<Arc<HostRoute>>>,
}

impl RoutingTable {
    /// A table of routes, each with its host.
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

    /// The route of the host with the longest prefix that begins the path. A port behind the host
    /// does not count.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<HostRoute>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// All routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<HostRoute>> {
        self.hosts.values().flatten()
    }
}
