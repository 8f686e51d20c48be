//! Admission control for one local upstream: its slots, and a short queue of bounded time and length.
//! The queue is fair between classes; within a class it is ordered by timeliness and deadline.
//!
//! A request that can no longer finish in time is refused at once, not held until its deadline.

mod class;
mod express;
mod service_times;

#[cfg(test)]
mod tests;

use std::{collections::HashMap, time::Duration};

use model::{ClassName, NotRunReason, Timestamp};
use rand::{Rng, RngExt};

use crate::{
    ConcurrencyLimit, LimitChange, SharedRateLimit, SmoothedDuration, capacity::MeasuredRequest,
};

use class::{ClassQueue, QueuePosition, QueuedRequest};
use express::ExpressRequests;

pub use express::ExpressLoad;

/// A class of requests, and its share of the upstream under load.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassConfig {
    pub name: ClassName,
    /// Relative to the other classes; above 0.
    pub weight: f64,
    /// The service time that is assumed until one has been measured.
    pub initial_service_time: Duration,
}

/// The limits on admission to one upstream, from the document of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionConfig {
    /// The number of requests that the upstream runs at a time.
    pub slots: usize,
    /// The most requests that wait in the queue, over all classes.
    pub queue_len_max: usize,
    /// The longest expected waiting time with which a request is queued.
    pub queue_time_max: Duration,
    /// The time over which the open slots of a new upstream grow from one to all.
    pub slow_start: Duration,
    /// The time reserved for running a request: its mean service time plus this many mean deviations.
    pub service_time_deviations: f64,
    /// The shortest retry-after time that a refused caller gets, before jitter.
    pub retry_after_min: Duration,
    /// The classes, at least one.
    pub classes: Vec<ClassConfig>,
}

/// Index into [`AdmissionConfig::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassIndex(pub usize);

/// Index of a group of requests with similar service times, such as those of one rule of the document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteIndex(pub usize);

/// Identifier of a request within one [`Admission`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that has arrived at the gate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    pub class: ClassIndex,
    /// The route, or `None` if only the class is known; then the service time of the class is assumed.
    pub route: Option<RouteIndex>,
    pub deadline: Timestamp,
    /// Whether the answer can still be in time.
    pub timeliness: Timeliness,
    /// Whether the request is too short to wait behind long ones.
    pub is_express: bool,
    /// The whole time in which an answer is of full use to the caller. `None` if it is unknown, as after an attempt
    /// elsewhere.
    pub objective: Option<Duration>,
}

/// Whether an answer can reach its caller in time. When slots are scarce, requests that can be in time start
/// first, so that a slot serves one caller in time rather than another one late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timeliness {
    /// The request was refused before and returns at the time that it was promised.
    Promised,
    InTime,
    /// The answer will be late even if the request starts now.
    Late,
}

/// The decision on a ticket. Each ticket gets one decision, or none if it is cancelled while queued.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decision {
    pub ticket: Ticket,
    pub verdict: Verdict,
}

/// The result of waiting for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// Send the request to the upstream now; [`Admission::finish`] must follow.
    Start,
    /// The request is refused: report the reason and the retry-after time to the caller.
    Shed { reason: NotRunReason, retry_after: Duration },
    /// The request is refused because its deadline has passed.
    Expired,
}

/// The end of a started request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The upstream answered: the elapsed time is added to the estimates.
    Answered,
    /// The request was aborted, or its connection was lost: the elapsed time is added to the estimates only
    /// if it is longer than expected.
    Aborted,
    /// The request was never sent to the upstream: the elapsed time is not added to the estimates.
    NotSent,
}

#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    class: ClassIndex,
    route: Option<RouteIndex>,
    started: Timestamp,
    /// The number of running requests at the start, with this one.
    in_flight: usize,
    /// The virtual time charged to the class at the start, in seconds.
    cost_s: f64,
    is_express: bool,
}

#[derive(Debug, Clone, Copy)]
enum Entry {
    Queued { class: ClassIndex, position: QueuePosition, is_express: bool },
    Running(RunningRequest),
}

/// The requests that run on one upstream or wait for a slot of it.
#[derive(Debug)]
pub struct Admission {
    config: AdmissionConfig,
    classes: Vec<ClassQueue>,
    express: ExpressRequests,
    entries: HashMap<Ticket, Entry>,
    running: usize,
    queued: usize,
    next_ticket: u64,
    /// The virtual time of the class that last started a request: service time divided by the weight, in
    /// seconds.
    virtual_time_s: f64,
    ramp_start: Timestamp,
    is_draining: bool,
    /// The service time over all classes.
    service_time: SmoothedDuration,
    /// The limit on the rate of starts. `None` if only the slots limit them.
    rate_limit: Option<SharedRateLimit>,
    /// The learned limit on the running requests. `None` if only the announced slots limit them.
    concurrency_limit: Option<ConcurrencyLimit>,
}

impl Admission {
    /// Creates the admission to an upstream that starts at `now` and ramps up its slots from then.
    pub fn new(config: AdmissionConfig, now: Timestamp) -> Admission {
        assert!(config.slots > 0, "an upstream needs at least one slot");
        assert!(!config.classes.is_empty(), "at least one class is required");
        assert!(
            config.classes.iter().all(|it| it.weight > 0.0),
            "the weight of a class must be above 0"
        );
        let classes = config.classes.iter().map(ClassQueue::new).collect();
        let initial_service_time = config.classes[0].initial_service_time;
        let service_time = SmoothedDuration::new(initial_service_time);
        let express = ExpressRequests::new(config.classes.len(), initial_service_time);
        Admission {
            config,
            classes,
            express,
            entries: HashMap::new(),
            running: 0,
            queued: 0,
            next_ticket: 0,
            virtual_time_s: 0.0,
            ramp_start: now,
            is_draining: false,
            service_time,
            rate_limit: None,
            concurrency_limit: None,
        }
    }

    /// Limits the rate of starts.
    pub fn with_rate_limit(self, rate_limit: SharedRateLimit) -> Admission {
        Admission { rate_limit: Some(rate_limit), ..self }
    }

    /// Limits the running requests to a number that is learned, where that is lower than the slots.
    pub fn with_concurrency_limit(self, limit: impl Into<Option<ConcurrencyLimit>>) -> Admission {
        Admission { concurrency_limit: limit.into(), ..self }
    }

    /// Adds a request. Its verdict is appended to `decisions` unless the request has to wait, together
    /// with the verdicts of other requests that it displaces from the queue.
    pub fn offer(
        &mut self,
        now: Timestamp,
        arrival: Arrival,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        if self.is_draining {
            let verdict = self.shed_verdict(now, arrival.class, NotRunReason::Draining, rng);
            decisions.push(Decision { ticket, verdict });
            return ticket;
        }
        if arrival.deadline <= now {
            decisions.push(Decision { ticket, verdict: Verdict::Expired });
            return ticket;
        }
        if arrival.is_express {
            self.express.record_arrival(now, arrival.objective);
        }
        let may_start = match arrival.is_express {
            true => self.may_start_express_at_once(now),
            false => self.queued == 0 && self.has_unreserved_slot(now),
        };
        if may_start && self.can_start(now) {
            // Starts even if the estimated service time exceeds the deadline: an estimate that is too
            // high is corrected only by measuring further requests.
            let Arrival { class, route, is_express, .. } = arrival;
            match is_express {
                true => self.start_express_first(now, ticket, class, route, decisions),
                false => self.start(now, ticket, class, route, false, decisions),
            }
            self.check_invariants();
            return ticket;
        }
        self.enqueue(now, ticket, arrival);
        self.refuse_infeasible(now, arrival.class, rng, decisions);
        self.refuse_infeasible_express(now, rng, decisions);
        self.enforce_queue_limit(now, rng, decisions);
        self.start_queued(now, rng, decisions);
        self.check_invariants();
        ticket
    }

    /// Ends a started request, and starts waiting requests in the free slot.
    pub fn finish(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        completion: Completion,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(Entry::Running(it)) = self.entries.remove(&ticket) else {
            panic!("{ticket:?} was finished, but is not running");
        };
        self.running -= 1;
        let elapsed = now.since(it.started);
        self.express.record_end(&it, elapsed, completion);
        if completion == Completion::Answered {
            self.service_time.add(elapsed);
            if let Some(limit) = &mut self.concurrency_limit {
                let RunningRequest { route, started, in_flight, .. } = it;
                limit.record(now, MeasuredRequest { route, started, in_flight });
            }
        }
        let class = &mut self.classes[it.class.0];
        let before_s = class.virtual_time_s;
        class.settle(elapsed, it.cost_s, it.route, completion);
        if it.is_express {
            self.limit_express_debt(it.class, before_s);
        }
        self.start_queued(now, rng, decisions);
        self.check_invariants();
    }

    /// Records the number of requests that wait in the upstream, as the answer to a running request states.
    pub fn record_waiting(&mut self, ticket: Ticket, waiting: u16) {
        let Some(Entry::Running(it)) = self.entries.get(&ticket) else { return };
        if let Some(limit) = &mut self.concurrency_limit {
            limit.record_waiting(it.in_flight, waiting);
        }
    }

    /// Cancels a waiting request and removes it from the queue. Returns false if the request is not
    /// waiting; a running request keeps its slot until [`Admission::finish`].
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(Entry::Queued { class, position, is_express }) =
            self.entries.get(&ticket).copied()
        else {
            return false;
        };
        self.entries.remove(&ticket);
        self.dequeue(class, position, is_express);
        true
    }

    /// Refuses waiting requests that can no longer finish in time, and starts others in slots that have
    /// opened. To be called at [`Admission::next_wakeup`].
    pub fn tick(&mut self, now: Timestamp, rng: &mut impl Rng, decisions: &mut Vec<Decision>) {
        for class in 0..self.classes.len() {
            self.refuse_infeasible(now, ClassIndex(class), rng, decisions);
        }
        self.refuse_infeasible_express(now, rng, decisions);
        self.start_queued(now, rng, decisions);
        self.check_invariants();
    }

    /// Returns when the next waiting request has to be refused, or may start because a slot opens or the
    /// rate limit allows it. `None` if no request waits.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        if self.queued == 0 {
            return None;
        }
        let refusals = self
            .classes
            .iter()
            .filter_map(|it| it.next_refusal(self.config.service_time_deviations));
        let refusals = refusals.chain(self.next_express_wakeup(now));
        let reopening = self.next_reopening(now);
        let starts = [self.next_ramp_step(now), self.next_start_in_rate(now), reopening];
        refusals.chain(starts.into_iter().flatten()).min()
    }

    /// Stops admission: refuses all waiting and all new requests. Running requests continue.
    pub fn drain(&mut self, now: Timestamp, rng: &mut impl Rng, decisions: &mut Vec<Decision>) {
        self.is_draining = true;
        self.drain_express(now, rng, decisions);
        for class in 0..self.classes.len() {
            let class = ClassIndex(class);
            while let Some(it) = self.classes[class.0].last() {
                self.remove_queued(class, it);
                let verdict = self.shed_verdict(now, class, NotRunReason::Draining, rng);
                decisions.push(Decision { ticket: it.position.ticket, verdict });
            }
        }
        self.check_invariants();
    }

    /// Resumes admission after the upstream has recovered, ramping up its slots from `now`.
    pub fn restart(&mut self, now: Timestamp) {
        self.is_draining = false;
        self.ramp_start = now;
    }

    /// Returns the mean service time over all classes, weighted by their number of requests.
    pub fn mean_service_time(&self) -> Duration {
        self.service_time.mean()
    }

    /// Returns the expected service time of a request.
    pub fn expected_service_time(&self, class: ClassIndex, route: Option<RouteIndex>) -> Duration {
        self.classes[class.0].service_times.expected_for(route).mean()
    }

    /// Returns the mean measured service time of a route. `None` if no request of the route was measured.
    pub fn measured_service_time(
        &self,
        class: ClassIndex,
        route: Option<RouteIndex>,
    ) -> Option<Duration> {
        self.classes[class.0].service_times.measured_for(route?).map(SmoothedDuration::mean)
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Returns the learned limit on the running requests. `None` if it is not learned.
    pub fn concurrency_limit(&self) -> Option<&ConcurrencyLimit> {
        self.concurrency_limit.as_ref()
    }

    /// States that the routes are numbered differently from `now` on. What was measured by route for the learned limit is
    /// measured again.
    pub fn renumber_routes(&mut self, now: Timestamp) {
        if let Some(limit) = &mut self.concurrency_limit {
            limit.renumber_routes(now);
        }
    }

    /// Returns the last change of the learned limit since the previous call.
    pub fn take_limit_change(&mut self) -> Option<LimitChange> {
        self.concurrency_limit.as_mut()?.take_change()
    }

    /// Returns when slots open again that are held back to learn the limit. `None` if none are held back.
    pub fn next_reopening(&self, now: Timestamp) -> Option<Timestamp> {
        self.concurrency_limit.as_ref()?.next_reopening(now)
    }

    /// Returns the number of slots that may be in use at `now`: fewer than all during the ramp-up, and where more have
    /// been learned to slow the upstream down.
    pub fn slots_at(&self, now: Timestamp) -> usize {
        let learned = self.concurrency_limit.as_ref().map(|it| it.open_slots(now));
        let ramped = self.ramped_slots_at(now);
        learned.map_or(ramped, |it| it.min(ramped))
    }

    /// Returns the number of slots that the ramp-up has opened.
    fn ramped_slots_at(&self, now: Timestamp) -> usize {
        let all = self.config.slots;
        let passed = now.since(self.ramp_start);
        if passed >= self.config.slow_start {
            return all;
        }
        let share = passed.as_secs_f64() / self.config.slow_start.as_secs_f64();
        (1 + ((all - 1) as f64 * share) as usize).min(all)
    }

    /// Returns the number of slots that may be in use at `now`, or at the end of the ramp-up if that is later.
    pub fn slots_when_ramped_up(&self, now: Timestamp) -> usize {
        self.slots_at(now.max(self.ramp_start + self.config.slow_start))
    }

    /// Returns whether a request may be sent to the upstream now.
    fn can_start(&self, now: Timestamp) -> bool {
        self.running < self.slots_at(now) && self.next_start_in_rate(now).is_none()
    }

    /// Returns when the rate limit allows the next start. `None` if it allows one now.
    fn next_start_in_rate(&self, now: Timestamp) -> Option<Timestamp> {
        self.rate_limit.as_ref()?.with(|it| it.next_start(now))
    }

    /// Returns the average time between two starts under the rate limit. `None` if there is no limit.
    pub fn limited_start_interval(&self, now: Timestamp) -> Option<Duration> {
        self.rate_limit.as_ref()?.with(|it| it.start_interval(now))
    }

    /// Returns the capacity that a request has used, as time in one slot. Under a limit that the upstream states, each
    /// request uses its share of the limit, so that the load of a limited upstream is relative to what it takes.
    pub fn capacity_used(&self, upstream_time: Duration) -> Duration {
        let interval =
            self.rate_limit.as_ref().and_then(|it| it.with(|it| it.stated_start_interval()));
        let slots = u32::try_from(self.config.slots).unwrap_or(u32::MAX);
        interval.map_or(upstream_time, |it| upstream_time.max(it.saturating_mul(slots)))
    }

    /// Returns when the ramp-up opens the next slot. `None` if all slots are open.
    fn next_ramp_step(&self, now: Timestamp) -> Option<Timestamp> {
        let open = self.ramped_slots_at(now);
        if open == self.config.slots {
            return None;
        }
        let steps = (self.config.slots - 1) as f64;
        let at = self.config.slow_start.mul_f64(open as f64 / steps);
        // Adds a nanosecond, so that rounding can't give a time before the slot opens, which would make
        // the caller wake up in a loop.
        Some((self.ramp_start + at + Duration::from_nanos(1)).max(now + Duration::from_nanos(1)))
    }

    fn start(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        class: ClassIndex,
        route: Option<RouteIndex>,
        is_express: bool,
        decisions: &mut Vec<Decision>,
    ) {
        if let Some(rate_limit) = &self.rate_limit {
            rate_limit.with(|it| it.start(now));
        }
        let cost_s = self.classes[class.0].charge(self.virtual_time_s, route);
        self.virtual_time_s =
            self.virtual_time_s.max(self.classes[class.0].virtual_time_s - cost_s);
        self.express.record_start(now, is_express);
        self.running += 1;
        let in_flight = self.running;
        let running = RunningRequest { class, route, started: now, in_flight, cost_s, is_express };
        self.entries.insert(ticket, Entry::Running(running));
        decisions.push(Decision { ticket, verdict: Verdict::Start });
    }

    fn enqueue(&mut self, now: Timestamp, ticket: Ticket, arrival: Arrival) {
        if arrival.is_express {
            return self.enqueue_express(ticket, arrival);
        }
        let Arrival { class, route, deadline, timeliness, .. } = arrival;
        let budget = deadline.since(now);
        let position = QueuePosition { timeliness, deadline, ticket };
        self.classes[class.0].push(QueuedRequest { position, route, budget }, self.virtual_time_s);
        self.entries.insert(ticket, Entry::Queued { class, position, is_express: false });
        self.queued += 1;
    }

    fn dequeue(&mut self, class: ClassIndex, position: QueuePosition, is_express: bool) {
        let removed = match is_express {
            true => self.express.remove(class, position),
            false => self.classes[class.0].remove(position),
        };
        assert!(removed, "{:?} has the state queued, but is in no queue", position.ticket);
        self.queued -= 1;
    }

    fn remove_queued(&mut self, class: ClassIndex, it: QueuedRequest) {
        self.dequeue(class, it.position, false);
        self.entries.remove(&it.position.ticket);
    }

    /// Refuses the waiting requests of a class that are not expected to finish by their deadline.
    fn refuse_infeasible(
        &mut self,
        now: Timestamp,
        class: ClassIndex,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) {
        let step = self.start_interval(now, class);
        let config = &self.config;
        let infeasible = self.classes[class.0].infeasible(
            now,
            step,
            config.queue_time_max,
            config.service_time_deviations,
        );
        for it in infeasible {
            self.remove_queued(class, it);
            self.refuse(now, class, it, rng, decisions);
        }
    }

    /// While the queue is too long, refuses requests of the class with the longest queue relative to its
    /// weight.
    fn enforce_queue_limit(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) {
        self.enforce_express_queue_limit(now, rng, decisions);
        while self.queued > self.config.queue_len_max {
            let relative_len =
                |it: &usize| self.classes[*it].len() as f64 / self.classes[*it].weight;
            let all = 0..self.classes.len();
            let class = all
                .max_by(|a, b| relative_len(a).total_cmp(&relative_len(b)))
                .expect("the list of classes is not empty");
            let class = ClassIndex(class);
            let it = self.classes[class.0].last().expect("the longest queue has a request");
            self.remove_queued(class, it);
            self.refuse(now, class, it, rng, decisions);
        }
    }

    /// Starts waiting requests while slots are free, from the class with the least virtual time first.
    fn start_queued(&mut self, now: Timestamp, rng: &mut impl Rng, decisions: &mut Vec<Decision>) {
        while self.queued > 0 && self.can_start(now) {
            if self.start_express(now, rng, decisions) {
                continue;
            }
            if !self.has_unreserved_slot(now) {
                return;
            }
            let waiting = (0..self.classes.len()).filter(|it| self.classes[*it].len() > 0);
            let virtual_time_s = |it: &usize| self.classes[*it].virtual_time_s;
            let class = waiting.min_by(|a, b| virtual_time_s(a).total_cmp(&virtual_time_s(b)));
            let class = ClassIndex(class.expect("a class has a waiting request"));
            let it = self.classes[class.0].first().expect("the class has a waiting request");
            self.remove_queued(class, it);
            match self.classes[class.0].can_finish(now, it, self.config.service_time_deviations) {
                // An idle upstream gets the request even if it is not expected to finish: see `offer`.
                _ if self.running == 0 && it.position.deadline > now => {
                    self.start(now, it.position.ticket, class, it.route, false, decisions);
                }
                true => self.start(now, it.position.ticket, class, it.route, false, decisions),
                false => self.refuse(now, class, it, rng, decisions),
            }
        }
    }

    fn refuse(
        &self,
        now: Timestamp,
        class: ClassIndex,
        it: QueuedRequest,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) {
        let verdict = match it.position.deadline <= now {
            true => Verdict::Expired,
            false => self.shed_verdict(now, class, NotRunReason::Overloaded, rng),
        };
        decisions.push(Decision { ticket: it.position.ticket, verdict });
    }

    fn shed_verdict(
        &self,
        now: Timestamp,
        class: ClassIndex,
        reason: NotRunReason,
        rng: &mut impl Rng,
    ) -> Verdict {
        let step = self.start_interval(now, class);
        let wait = step.mul_f64(self.classes[class.0].len() as f64);
        let base = wait.max(self.config.retry_after_min);
        let retry_after = base + base.mul_f64(rng.random_range(0.0..1.0));
        Verdict::Shed { reason, retry_after }
    }

    /// Returns the expected time between two starts of a class, given its share of the open slots.
    fn start_interval(&self, now: Timestamp, class: ClassIndex) -> Duration {
        let own = &self.classes[class.0];
        let others = self.classes.iter().enumerate();
        let others = others.filter(|(index, other)| *index != class.0 && other.len() > 0);
        let weights: f64 = own.weight + others.map(|(_, other)| other.weight).sum::<f64>();
        let share = own.weight / weights;
        let slot_step = own
            .service_times
            .class_estimate()
            .mean()
            .div_f64(self.unreserved_slots_at(now) as f64 * share);
        match self.limited_start_interval(now) {
            Some(step) => slot_step.max(step.div_f64(share)),
            None => slot_step,
        }
    }

    fn check_invariants(&self) {
        assert!(self.running <= self.config.slots, "more requests run than the upstream has slots");
        assert!(self.queued <= self.config.queue_len_max, "the queue exceeds its maximum length");
        assert_eq!(
            self.entries.len(),
            self.running + self.queued,
            "a ticket was lost: the entries are not the running and queued requests"
        );
    }
}
