//! The expected service times of a class, as mean and deviation: of the route if it has been measured,
//! else of the class, which starts from an initial value.

use std::time::Duration;

use super::RouteIndex;
use crate::SmoothedDuration;

/// The number of routes with their own estimate. Routes with a higher index use that of the class.
const ROUTES_MAX: usize = 256;

#[derive(Debug)]
pub(super) struct ServiceTimes {
    class: SmoothedDuration,
    /// The estimates by index of the route; `None` where no request has been measured.
    routes: Vec<Option<SmoothedDuration>>,
}

impl ServiceTimes {
    pub(super) fn new(initial: Duration) -> ServiceTimes {
        ServiceTimes { class: SmoothedDuration::new(initial), routes: Vec::new() }
    }

    /// Returns the estimate over all requests of the class.
    pub(super) fn class_estimate(&self) -> &SmoothedDuration {
        &self.class
    }

    pub(super) fn expected_for(&self, route: Option<RouteIndex>) -> &SmoothedDuration {
        route.and_then(|it| self.measured_for(it)).unwrap_or(&self.class)
    }

    pub(super) fn measured_for(&self, route: RouteIndex) -> Option<&SmoothedDuration> {
        self.routes.get(route.0)?.as_ref()
    }

    pub(super) fn add(&mut self, route: Option<RouteIndex>, service_time: Duration) {
        self.class.add(service_time);
        let Some(RouteIndex(index @ ..ROUTES_MAX)) = route else { return };
        if self.routes.len() <= index {
            self.routes.resize(index + 1, None);
        }
        self.routes[index]
            .get_or_insert_with(|| SmoothedDuration::new(service_time))
            .add(service_time);
    }
}
