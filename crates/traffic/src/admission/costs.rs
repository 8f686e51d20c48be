//! What requests of a class are expected to take: by route where one has been measured, else by
//! class, else the class's guess. Each with its spread.

use std::time::Duration;

use super::RouteIndex;
use crate::SmoothedDuration;

/// Routes that are kept apart; those beyond count as their class.
const ROUTES_MAX: usize = 256;

#[derive(Debug)]
pub(super) struct Costs {
    class: SmoothedDuration,
    /// By the route's index.
    routes: Vec<Option<SmoothedDuration>>,
}

impl Costs {
    pub(super) fn new(guess: Duration) -> Costs {
        Costs { class: SmoothedDuration::new(guess), routes: Vec::new() }
    }

    /// All requests of the class, as they come.
    pub(super) fn class(&self) -> &SmoothedDuration {
        &self.class
    }

    pub(super) fn expected_for(&self, route: Option<RouteIndex>) -> &SmoothedDuration {
        route.and_then(|it| self.measured_for(it)).unwrap_or(&self.class)
    }

    pub(super) fn measured_for(&self, route: RouteIndex) -> Option<&SmoothedDuration> {
        self.routes.get(route.0)?.as_ref()
    }

    pub(super) fn add(&mut self, route: Option<RouteIndex>, taken: Duration) {
        self.class.add(taken);
        let Some(RouteIndex(index @ ..ROUTES_MAX)) = route else { return };
        if self.routes.len() <= index {
            self.routes.resize(index + 1, None);
        }
        self.routes[index].get_or_insert_with(|| SmoothedDuration::new(taken)).add(taken);
    }
}
