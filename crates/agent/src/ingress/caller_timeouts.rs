//! What callers of each route usually bring in time, by which those that come back are known.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use settings::HostRoute;
use traffic::TimeoutEstimate;

/// Routes whose callers are known; more start anew.
const ROUTES_MAX: usize = 4096;

#[derive(Debug, Default)]
pub(super) struct CallerTimeouts {
    routes: Mutex<HashMap<Arc<str>, TimeoutEstimate>>,
}

impl CallerTimeouts {
    /// How long a caller has waited before, that waits for `left` from now on; none: there is no sign that
    /// it has.
    pub(super) fn time_waited_before(&self, route: &HostRoute, left: Duration) -> Option<Duration> {
        let mut all = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if all.len() >= ROUTES_MAX && !all.contains_key(&route.name) {
            all.clear();
        }
        all.entry(Arc::clone(&route.name)).or_default().observe(left)
    }
}
