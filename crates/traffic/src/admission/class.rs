//! The queue of one class: those that can be of full use first, then by deadline, with what its requests are
//! expected to take.

use std::{collections::BTreeMap, time::Duration};

use model::Timestamp;

use super::{ClassConfig, Completion, RouteIndex, Ticket, Timeliness, costs::Costs};

/// Where a request stands in the queue; lower ones go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) timeliness: Timeliness,
    pub(super) deadline: Timestamp,
    pub(super) ticket: Ticket,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Queued {
    pub(super) place: Place,
    pub(super) route: Option<RouteIndex>,
    /// What was left to the deadline on arrival.
    pub(super) budget: Duration,
}

#[derive(Debug)]
pub(super) struct Class {
    pub(super) weight: f64,
    pub(super) costs: Costs,
    /// Service time received, over the weight; starts of a class that was idle count from the
    /// virtual time of the others.
    pub(super) virtual_s: f64,
    queue: BTreeMap<Place, Waiting>,
}

impl Class {
    pub(super) fn new(config: &ClassConfig) -> Class {
        Class {
            weight: config.weight,
            costs: Costs::new(config.initial_service_time),
            virtual_s: 0.0,
            queue: BTreeMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn push(&mut self, it: Queued, virtual_s: f64) {
        if self.queue.is_empty() {
            self.virtual_s = self.virtual_s.max(virtual_s);
        }
        let waiting = Waiting { route: it.route, budget: it.budget };
        self.queue.insert(it.place, waiting);
    }

    pub(super) fn remove(&mut self, place: Place) -> bool {
        self.queue.remove(&place).is_some()
    }

    pub(super) fn first(&self) -> Option<Queued> {
        self.queue.first_key_value().map(queued)
    }

    pub(super) fn last(&self) -> Option<Queued> {
        self.queue.last_key_value().map(queued)
    }

    /// Charges one start to the class; the cost in virtual seconds.
    pub(super) fn charge(&mut self, virtual_s: f64, route: Option<RouteIndex>) -> f64 {
        let cost_s = self.costs.expected_for(route).mean().as_secs_f64() / self.weight;
        self.virtual_s = self.virtual_s.max(virtual_s) + cost_s;
        cost_s
    }

    /// Corrects the charge by what a request took, and learns from it.
    pub(super) fn end(
        &mut self,
        taken: Duration,
        cost_s: f64,
        route: Option<RouteIndex>,
        completion: Completion,
    ) {
        match completion {
            Completion::Answered => self.costs.add(route, taken),
            Completion::Aborted if taken > self.costs.expected_for(route).mean() => {
                self.costs.add(route, taken);
            }
            Completion::Aborted => (),
            Completion::NotSent => {
                self.virtual_s -= cost_s;
                return;
            }
        }
        self.virtual_s += taken.as_secs_f64() / self.weight - cost_s;
    }

    /// Whether a request, started now, is expected to end before its deadline.
    pub(super) fn can_finish(
        &self,
        now: Timestamp,
        it: Queued,
        service_time_deviations: f64,
    ) -> bool {
        now + self.need(it, service_time_deviations) <= it.place.deadline
    }

    /// When the first request of the queue has to be refused.
    pub(super) fn drop_at(&self, service_time_deviations: f64) -> Option<Timestamp> {
        let first_late =
            Place { timeliness: Timeliness::Late, deadline: Timestamp::ZERO, ticket: Ticket(0) };
        let late = self.queue.range(first_late..).next().map(queued);
        let drop_at = |it: Queued| it.place.deadline - self.need(it, service_time_deviations);
        let earliest = self.first().into_iter().chain(late).map(drop_at).min()?;
        Some(earliest + Duration::from_nanos(1))
    }

    /// The waiting requests that are not expected to finish if one starts each `step`.
    pub(super) fn doomed(
        &self,
        now: Timestamp,
        step: Duration,
        queue_time_max: Duration,
        service_time_deviations: f64,
    ) -> Vec<Queued> {
        let mut doomed = Vec::new();
        let start_max = now + queue_time_max;
        let mut start = now;
        for it in self.queue.iter().map(queued) {
            let late = start + self.need(it, service_time_deviations) > it.place.deadline;
            match late || start > start_max {
                true => doomed.push(it),
                false => start = start + step,
            }
        }
        doomed
    }

    /// The time that a request is given to run: what few of its kind exceed, but no more than
    /// half of its budget unless even the mean is longer.
    fn need(&self, it: Queued, service_time_deviations: f64) -> Duration {
        let expected = self.costs.expected_for(it.route);
        expected
            .upper_bound(service_time_deviations)
            .min(expected.upper_bound(0.7).max(it.budget / 2))
    }
}

/// What the queue keeps of a request beside its place.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    route: Option<RouteIndex>,
    budget: Duration,
}

fn queued((&place, &it): (&Place, &Waiting)) -> Queued {
    Queued { place, route: it.route, budget: it.budget }
}
