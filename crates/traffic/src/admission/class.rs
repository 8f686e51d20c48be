//! The queue of one class, with the expected service times of its requests. Requests with a
//! promised return come first, then those that can be in time, then late requests; each ordered by deadline.

use std::{collections::BTreeMap, time::Duration};

use model::Timestamp;

use super::{ClassConfig, Completion, RouteIndex, Ticket, Timeliness, service_times::ServiceTimes};

/// The position of a request in the queue of its class. Lower positions start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) timeliness: Timeliness,
    pub(super) deadline: Timestamp,
    pub(super) ticket: Ticket,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedRequest {
    pub(super) position: QueuePosition,
    pub(super) route: Option<RouteIndex>,
    /// The time to the deadline on arrival.
    pub(super) budget: Duration,
}

#[derive(Debug)]
pub(super) struct ClassQueue {
    pub(super) weight: f64,
    pub(super) service_times: ServiceTimes,
    /// The service time received, divided by the weight, in seconds. A class that was idle starts from the
    /// virtual time of the others, so that it can't make up for the time in which it sent no requests.
    pub(super) virtual_time_s: f64,
    queue: BTreeMap<QueuePosition, QueueEntry>,
}

impl ClassQueue {
    pub(super) fn new(config: &ClassConfig) -> ClassQueue {
        ClassQueue {
            weight: config.weight,
            service_times: ServiceTimes::new(config.initial_service_time),
            virtual_time_s: 0.0,
            queue: BTreeMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Adds a request. If no request was waiting, the virtual time of the class is raised to `virtual_time_s`.
    pub(super) fn push(&mut self, it: QueuedRequest, virtual_time_s: f64) {
        if self.queue.is_empty() {
            self.virtual_time_s = self.virtual_time_s.max(virtual_time_s);
        }
        let waiting = QueueEntry { route: it.route, budget: it.budget };
        self.queue.insert(it.position, waiting);
    }

    pub(super) fn remove(&mut self, position: QueuePosition) -> bool {
        self.queue.remove(&position).is_some()
    }

    pub(super) fn first(&self) -> Option<QueuedRequest> {
        self.queue.first_key_value().map(queued_request)
    }

    pub(super) fn last(&self) -> Option<QueuedRequest> {
        self.queue.last_key_value().map(queued_request)
    }

    /// Charges the expected service time of one start to the class. Returns the cost in virtual seconds.
    pub(super) fn charge(&mut self, virtual_time_s: f64, route: Option<RouteIndex>) -> f64 {
        let cost_s = self.service_times.expected_for(route).mean().as_secs_f64() / self.weight;
        self.virtual_time_s = self.virtual_time_s.max(virtual_time_s) + cost_s;
        cost_s
    }

    /// Replaces the charge of a start by the actual service time, and updates the estimates.
    pub(super) fn settle(
        &mut self,
        elapsed: Duration,
        cost_s: f64,
        route: Option<RouteIndex>,
        completion: Completion,
    ) {
        match completion {
            Completion::Answered => self.service_times.add(route, elapsed),
            Completion::Aborted if elapsed > self.service_times.expected_for(route).mean() => {
                self.service_times.add(route, elapsed);
            }
            Completion::Aborted => (),
            Completion::NotSent => {
                self.virtual_time_s -= cost_s;
                return;
            }
        }
        self.virtual_time_s += elapsed.as_secs_f64() / self.weight - cost_s;
    }

    /// Returns whether a request that starts now is expected to end by its deadline.
    pub(super) fn can_finish(&self, now: Timestamp, it: QueuedRequest, deviations: f64) -> bool {
        now + self.service_time_bound(it, deviations) <= it.position.deadline
    }

    /// Returns when the next waiting request has to be refused: the first one of each timeliness.
    pub(super) fn next_refusal(&self, deviations: f64) -> Option<Timestamp> {
        let first_of = |timeliness| {
            let first = QueuePosition { timeliness, deadline: Timestamp::ZERO, ticket: Ticket(0) };
            self.queue.range(first..).next().map(queued_request)
        };
        let latest_start =
            |it: QueuedRequest| it.position.deadline - self.service_time_bound(it, deviations);
        let firsts = [Timeliness::Promised, Timeliness::InTime, Timeliness::Late].map(first_of);
        let earliest = firsts.into_iter().flatten().map(latest_start).min()?;
        Some(earliest + Duration::from_nanos(1))
    }

    /// Returns the waiting requests that are not expected to finish by their deadline, or to start within
    /// `queue_time_max`, if one request starts per `start_interval`.
    pub(super) fn infeasible(
        &self,
        now: Timestamp,
        start_interval: Duration,
        queue_time_max: Duration,
        deviations: f64,
    ) -> Vec<QueuedRequest> {
        let mut infeasible = Vec::new();
        let start_max = now + queue_time_max;
        let mut start = now;
        for it in self.queue.iter().map(queued_request) {
            let is_late = start + self.service_time_bound(it, deviations) > it.position.deadline;
            match is_late || start > start_max {
                true => infeasible.push(it),
                false => start = start + start_interval,
            }
        }
        infeasible
    }

    /// Returns the time to reserve for running a request: a service time that few requests of its route
    /// exceed, but no more than half of the request's budget unless the typical service time is longer.
    fn service_time_bound(&self, it: QueuedRequest, deviations: f64) -> Duration {
        let expected = self.service_times.expected_for(it.route);
        expected.upper_bound(deviations).min(expected.upper_bound(0.7).max(it.budget / 2))
    }
}

/// The properties of a waiting request other than its position.
#[derive(Debug, Clone, Copy)]
struct QueueEntry {
    route: Option<RouteIndex>,
    budget: Duration,
}

fn queued_request((&position, &it): (&QueuePosition, &QueueEntry)) -> QueuedRequest {
    QueuedRequest { position, route: it.route, budget: it.budget }
}
