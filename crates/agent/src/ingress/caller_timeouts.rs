//! Estimates the usual timeout of each route's callers. A request with less time left is probably a retry.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use settings::HostRoute;
use traffic::TimeoutEstimate;

/// Largest number of routes with an estimate; beyond it all estimates are discarded.
const ROUTES_MAX: usize = 4096;

/// Timeout estimates by the name of the host route.
#[derive(Debug, Default)]
pub(super) struct CallerTimeouts {
    routes: Mutex<HashMap<Arc<str>, TimeoutEstimate>>,
}

impl CallerTimeouts {
    /// Updates the route's estimate with the time left of one caller. Returns how long the caller has probably
    /// waited before this sending, or `None` if this looks like its first one.
    pub(super) fn time_waited_before(&self, route: &HostRoute, left: Duration) -> Option<Duration> {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if routes.len() >= ROUTES_MAX && !routes.contains_key(&route.name) {
            routes.clear();
        }
        routes.entry(Arc::clone(&route.name)).or_default().observe(left)
    }
}
