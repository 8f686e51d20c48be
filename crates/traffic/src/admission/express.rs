//! Express requests: short requests that must not wait behind long ones, such as calls that another upstream makes
//! while it runs a request. Refusing one wastes the run that made it.
//!
//! They start before all classes, up to half of the open slots, and may have a reserve of slots that other requests do
//! not take. Without express requests, none of this changes a decision.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{NotRunReason, Timestamp};
use rand::Rng;

use super::{
    Admission, Arrival, ClassIndex, Completion, Decision, Entry, RouteIndex, RunningRequest,
    Ticket, Timeliness, Verdict, class::QueuePosition,
};
use crate::SmoothedDuration;

/// The time after the last express arrival for which slots are reserved, and for which long waits are remembered. A
/// reserve that only follows the current wait is gone when the next burst fills all slots.
const RESERVE_TIME: Duration = Duration::from_secs(5);
/// The time constant of the measured arrival rate: long enough to hold several arrivals of a load that needs a whole
/// slot, short enough to follow a burst of seconds.
const RATE_TIME_CONSTANT_S: f64 = 1.0;
/// The interval at which waiting requests are offered the reserved slots again, since the reserve also changes without
/// an event.
const RESERVE_REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// The most virtual time by which express requests put their class behind the others. Express requests start out of
/// turn, so an unbounded debt would starve the other requests of the class.
const DEBT_MAX_S: f64 = 1.0;

/// The express requests of an upstream, and the measurements that the reserve depends on.
#[derive(Debug)]
pub(super) struct ExpressRequests {
    /// The waiting requests of each class, by deadline.
    queues: Vec<BTreeMap<QueuePosition, QueueEntry>>,
    /// The waiting requests by the latest time at which they can start.
    latest_starts: BTreeSet<(Timestamp, ClassIndex, QueuePosition)>,
    running: usize,
    service_time: SmoothedDuration,
    arrivals: ArrivalRate,
    shortest_objective: RecentExtreme,
    /// The shortest objective above the express service time. Shorter ones have been used up by a wait for routes or
    /// for the body where the request began, and state nothing of other requests.
    shortest_feasible_objective: RecentExtreme,
    /// The longest mean age of the running requests.
    longest_age: RecentExtreme,
    /// The start times of all running requests.
    starts: StartTimes,
}

/// The express load of an upstream, and the number of slots reserved for it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ExpressLoad {
    pub running: usize,
    pub queued: usize,
    /// The slots that other requests may not take.
    pub reserved_slots: usize,
    pub arrivals_per_s: f64,
    /// The mean service time of express requests.
    pub service_time: Duration,
    /// The expected wait for a free slot without a reserve: the mean service time of all requests, or the mean age of
    /// the running ones where that is or recently was greater, over the open slots.
    pub expected_wait: Duration,
    /// The expected wait up to which no slot is reserved. `None` if no objective has been measured.
    pub acceptable_wait: Option<Duration>,
}

impl ExpressRequests {
    pub(super) fn new(classes: usize, initial_service_time: Duration) -> ExpressRequests {
        ExpressRequests {
            queues: vec![BTreeMap::new(); classes],
            latest_starts: BTreeSet::new(),
            running: 0,
            service_time: SmoothedDuration::new(initial_service_time),
            arrivals: ArrivalRate::default(),
            shortest_objective: RecentExtreme::new(Duration::min),
            shortest_feasible_objective: RecentExtreme::new(Duration::min),
            longest_age: RecentExtreme::new(Duration::max),
            starts: StartTimes::default(),
        }
    }

    pub(super) fn record_arrival(&mut self, now: Timestamp, objective: Option<Duration>) {
        self.arrivals.add(now);
        let Some(objective) = objective else { return };
        self.shortest_objective.add(now, objective);
        if objective > self.service_time.mean() {
            self.shortest_feasible_objective.add(now, objective);
        }
    }

    pub(super) fn record_start(&mut self, now: Timestamp, is_express: bool) {
        self.starts.add(now);
        self.running += usize::from(is_express);
    }

    pub(super) fn record_end(
        &mut self,
        it: &RunningRequest,
        elapsed: Duration,
        completion: Completion,
    ) {
        let now = it.started + elapsed;
        self.longest_age.add(now, self.starts.mean_age(now));
        self.starts.remove(it.started);
        if !it.is_express {
            return;
        }
        self.running -= 1;
        match completion {
            Completion::Answered => self.service_time.add(elapsed),
            Completion::Aborted if elapsed > self.service_time.mean() => {
                self.service_time.add(elapsed);
            }
            Completion::Aborted | Completion::NotSent => {}
        }
    }

    fn queued(&self) -> usize {
        self.latest_starts.len()
    }

    fn push(&mut self, it: QueuedExpress) {
        let QueuedExpress { class, position, entry } = it;
        self.queues[class.0].insert(position, entry);
        self.latest_starts.insert((entry.latest_start, class, position));
    }

    pub(super) fn remove(&mut self, class: ClassIndex, position: QueuePosition) -> bool {
        let Some(entry) = self.queues[class.0].remove(&position) else { return false };
        self.latest_starts.remove(&(entry.latest_start, class, position))
    }

    fn first_of(&self, class: ClassIndex) -> Option<QueuedExpress> {
        let (&position, &entry) = self.queues[class.0].first_key_value()?;
        Some(QueuedExpress { class, position, entry })
    }

    fn all_of(&self, class: ClassIndex) -> impl Iterator<Item = QueuedExpress> {
        let queue = self.queues[class.0].iter();
        queue.map(move |(&position, &entry)| QueuedExpress { class, position, entry })
    }

    fn last_of(&self, class: ClassIndex) -> Option<QueuedExpress> {
        let (&position, &entry) = self.queues[class.0].last_key_value()?;
        Some(QueuedExpress { class, position, entry })
    }

    fn classes(&self) -> impl Iterator<Item = ClassIndex> + use<> {
        (0..self.queues.len()).map(ClassIndex)
    }

    /// Returns the waiting request with the earliest deadline.
    fn first(&self) -> Option<QueuedExpress> {
        self.classes().filter_map(|it| self.first_of(it)).min_by_key(|it| it.position)
    }

    /// Returns the waiting request with the latest deadline.
    fn last(&self) -> Option<QueuedExpress> {
        self.classes().filter_map(|it| self.last_of(it)).max_by_key(|it| it.position)
    }

    /// Returns the waiting requests that are not expected to finish by their deadline if one request starts per
    /// `start_interval`.
    fn infeasible(&self, now: Timestamp, start_interval: Duration) -> Vec<QueuedExpress> {
        let mut waiting: Vec<_> = self.classes().flat_map(|it| self.all_of(it)).collect();
        waiting.sort_by_key(|it| it.position);
        let mut start = now;
        let is_infeasible = |it: &QueuedExpress| {
            let is_late = start > it.entry.latest_start;
            start = if is_late { start } else { start + start_interval };
            is_late
        };
        waiting.into_iter().filter(is_infeasible).collect()
    }

    /// Returns the load with the reserve for this number of open slots. `mean_service_time` is that of all requests.
    fn load(&self, now: Timestamp, open_slots: usize, mean_service_time: Duration) -> ExpressLoad {
        let service_time = self.service_time.mean();
        // If none is feasible, the estimated service time may be too high: the slots stay reserved.
        let feasible = self.shortest_feasible_objective.get(now);
        let objective = feasible.or_else(|| self.shortest_objective.get(now));
        let mut load = ExpressLoad {
            running: self.running,
            queued: self.queued(),
            reserved_slots: 0,
            arrivals_per_s: self.arrivals.per_s(now),
            service_time,
            // Upstreams that call each other, both full of runs that wait for their calls, complete nothing. Only the
            // age of the runs shows that they make no progress.
            expected_wait: mean_service_time
                .max(self.starts.mean_age(now))
                .max(self.longest_age.get(now).unwrap_or_default())
                .div_f64(open_slots as f64),
            acceptable_wait: objective.map(|it| it.saturating_sub(service_time) / 2),
        };
        let is_needed = self.arrivals.is_recent(now)
            && open_slots > 1
            && load.acceptable_wait.is_some_and(|it| load.expected_wait > it);
        if is_needed {
            let needed_slots = load.arrivals_per_s * service_time.as_secs_f64();
            load.reserved_slots = (needed_slots.ceil() as usize).clamp(1, open_slots / 2);
        }
        load
    }
}

/// A waiting express request.
#[derive(Debug, Clone, Copy)]
struct QueuedExpress {
    class: ClassIndex,
    position: QueuePosition,
    entry: QueueEntry,
}

/// The properties of a waiting express request other than its position.
#[derive(Debug, Clone, Copy)]
struct QueueEntry {
    route: Option<RouteIndex>,
    /// The latest time at which the request is expected to finish by its deadline if it starts then.
    latest_start: Timestamp,
}

impl Admission {
    /// Returns the load of express requests, and the slots reserved for them.
    pub fn express_load(&self, now: Timestamp) -> ExpressLoad {
        self.express.load(now, self.slots_at(now), self.service_time.mean())
    }

    /// Returns the number of open slots that requests other than express requests may take.
    pub(super) fn unreserved_slots_at(&self, now: Timestamp) -> usize {
        self.slots_at(now) - self.express_load(now).reserved_slots
    }

    /// Returns whether the reserve leaves a slot for a request that is not express.
    pub(super) fn has_unreserved_slot(&self, now: Timestamp) -> bool {
        self.running - self.express.running < self.unreserved_slots_at(now)
    }

    /// Adds an express request to the queue. Unlike for other requests, no deviations of the service time are reserved
    /// before its deadline, since a refusal wastes the run that made the request.
    pub(super) fn enqueue_express(&mut self, ticket: Ticket, arrival: Arrival) {
        let Arrival { class, route, deadline, .. } = arrival;
        let position = QueuePosition { timeliness: Timeliness::InTime, deadline, ticket };
        let service_time = self.classes[class.0].service_times.expected_for(route).mean();
        let entry = QueueEntry { route, latest_start: deadline - service_time };
        self.express.push(QueuedExpress { class, position, entry });
        self.entries.insert(ticket, Entry::Queued { class, position, is_express: true });
        self.queued += 1;
    }

    /// Starts the next waiting express request if it is its turn; one that can no longer finish is refused instead.
    /// Returns false if it is the turn of another request.
    pub(super) fn start_express(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let is_first = self.express_is_first(now);
        let next = match is_first {
            true => self.express.first(),
            false => self.express_in_turn(),
        };
        let Some(it) = next else { return false };
        let can_finish = now <= it.entry.latest_start;
        self.remove_express(&it);
        match can_finish {
            // An idle upstream gets the request even if it is not expected to finish: see `offer`.
            _ if self.running == 0 && it.position.deadline > now => {}
            true => {}
            false => {
                self.refuse_express(now, &it, rng, decisions);
                return true;
            }
        }
        let QueuedExpress { class, position, entry } = it;
        match is_first {
            true => self.start_express_first(now, position.ticket, class, entry.route, decisions),
            false => self.start(now, position.ticket, class, entry.route, true, decisions),
        }
        true
    }

    /// Returns whether an express request that arrives now may start without a wait if a slot is free. While others
    /// wait, a free slot is a reserved one.
    pub(super) fn may_start_express_at_once(&self, now: Timestamp) -> bool {
        self.express.queued() == 0 && self.express_is_first(now)
    }

    /// Returns whether express requests start before all classes.
    fn express_is_first(&self, now: Timestamp) -> bool {
        !self.others_wait() || self.express.running < self.express_slots_max(now)
    }

    /// Returns whether requests other than express requests wait.
    fn others_wait(&self) -> bool {
        self.queued > self.express.queued()
    }

    /// Returns the number of slots up to which express requests start before all classes.
    fn express_slots_max(&self, now: Timestamp) -> usize {
        (self.slots_at(now) / 2).max(1)
    }

    /// Returns the expected time between two starts of express requests. They may use more slots than those in which
    /// they start before all classes, but only in the turn of their class.
    fn express_start_interval(&self, now: Timestamp) -> Duration {
        let slots = match self.others_wait() {
            true => self.express_slots_max(now),
            false => self.slots_at(now),
        };
        let slot_interval = self.express.service_time.mean().div_f64(slots as f64);
        self.limited_start_interval(now).map_or(slot_interval, |it| it.max(slot_interval))
    }

    /// Starts an express request before all classes.
    pub(super) fn start_express_first(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        class: ClassIndex,
        route: Option<RouteIndex>,
        decisions: &mut Vec<Decision>,
    ) {
        let is_out_of_turn = self.others_wait();
        let virtual_time_s = self.virtual_time_s;
        let before_s = self.classes[class.0].virtual_time_s;
        self.start(now, ticket, class, route, true, decisions);
        if is_out_of_turn {
            // A start out of turn doesn't advance the time from which idle classes start.
            self.virtual_time_s = virtual_time_s;
            let remitted_s = self.limit_express_debt(class, before_s);
            if let Some(Entry::Running(it)) = self.entries.get_mut(&ticket) {
                it.cost_s -= remitted_s;
            }
        }
    }

    /// Limits the debt of a class after an express request has raised its virtual time from `before_s`. A debt that was
    /// there before stays. Returns by how much the virtual time was lowered.
    pub(super) fn limit_express_debt(&mut self, class: ClassIndex, before_s: f64) -> f64 {
        let limit_s = before_s.max(self.virtual_time_s + DEBT_MAX_S);
        let class = &mut self.classes[class.0];
        let charged_s = class.virtual_time_s;
        class.virtual_time_s = charged_s.min(limit_s);
        charged_s - class.virtual_time_s
    }

    /// Returns the next express request if it is the turn of its class and it is the first of that.
    fn express_in_turn(&self) -> Option<QueuedExpress> {
        let virtual_time_s = |it: &ClassIndex| match &self.classes[it.0] {
            // A class without other waiting requests may have been idle.
            class if class.len() == 0 => class.virtual_time_s.max(self.virtual_time_s),
            class => class.virtual_time_s,
        };
        let class = self
            .express
            .classes()
            .filter(|it| self.classes[it.0].len() > 0 || self.express.first_of(*it).is_some())
            .min_by(|a, b| virtual_time_s(a).total_cmp(&virtual_time_s(b)))?;
        let first = self.express.first_of(class)?;
        let other = self.classes[class.0].first();
        other.is_none_or(|it| first.position < it.position).then_some(first)
    }

    /// Refuses the waiting express requests that are not expected to finish by their deadline.
    pub(super) fn refuse_infeasible_express(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) {
        for it in self.express.infeasible(now, self.express_start_interval(now)) {
            self.remove_express(&it);
            self.refuse_express(now, &it, rng, decisions);
        }
    }

    /// While the queue is too long although only express requests wait, refuses those with the latest deadlines.
    pub(super) fn enforce_express_queue_limit(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) {
        while self.express.queued() > self.config.queue_len_max {
            let it = self.express.last().expect("express requests are waiting");
            self.remove_express(&it);
            self.refuse_express(now, &it, rng, decisions);
        }
    }

    /// Returns when the next express request has to be refused, or the reserve has to be looked at again.
    pub(super) fn next_express_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let refusal = self.express.latest_starts.first();
        let refusal = refusal.map(|(latest_start, ..)| *latest_start + Duration::from_nanos(1));
        let may_have_reserve = self.others_wait() && self.express.arrivals.is_recent(now);
        let review = may_have_reserve.then(|| now + RESERVE_REVIEW_INTERVAL);
        refusal.into_iter().chain(review).min()
    }

    /// Refuses all waiting express requests because the upstream is draining.
    pub(super) fn drain_express(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) {
        while let Some(it) = self.express.first() {
            self.remove_express(&it);
            let verdict = self.shed_verdict(now, it.class, NotRunReason::Draining, rng);
            decisions.push(Decision { ticket: it.position.ticket, verdict });
        }
    }

    fn remove_express(&mut self, it: &QueuedExpress) {
        self.dequeue(it.class, it.position, true);
        self.entries.remove(&it.position.ticket);
    }

    fn refuse_express(
        &self,
        now: Timestamp,
        it: &QueuedExpress,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) {
        let verdict = match it.position.deadline <= now {
            true => Verdict::Expired,
            false => self.shed_verdict(now, it.class, NotRunReason::Overloaded, rng),
        };
        decisions.push(Decision { ticket: it.position.ticket, verdict });
    }
}

/// The exponentially weighted rate of arrivals.
#[derive(Debug, Default)]
struct ArrivalRate {
    per_s: f64,
    /// `None` before the first arrival.
    last: Option<Timestamp>,
}

impl ArrivalRate {
    fn add(&mut self, now: Timestamp) {
        self.per_s = self.per_s(now) + RATE_TIME_CONSTANT_S.recip();
        self.last = Some(now);
    }

    fn per_s(&self, now: Timestamp) -> f64 {
        let Some(last) = self.last else { return 0.0 };
        self.per_s * (-now.since(last).as_secs_f64() / RATE_TIME_CONSTANT_S).exp()
    }

    fn is_recent(&self, now: Timestamp) -> bool {
        self.last.is_some_and(|it| now.since(it) < RESERVE_TIME)
    }
}

/// The least or the greatest of the values of the last [`RESERVE_TIME`], or up to twice that.
#[derive(Debug)]
struct RecentExtreme {
    extreme_of: fn(Duration, Duration) -> Duration,
    period_start: Timestamp,
    current: Option<Duration>,
    previous: Option<Duration>,
}

impl RecentExtreme {
    fn new(extreme_of: fn(Duration, Duration) -> Duration) -> RecentExtreme {
        RecentExtreme { extreme_of, period_start: Timestamp::ZERO, current: None, previous: None }
    }

    fn add(&mut self, now: Timestamp, value: Duration) {
        match now.since(self.period_start) {
            passed if passed < RESERVE_TIME => {}
            passed if passed < RESERVE_TIME * 2 => {
                self.previous = self.current.take();
                // Not `now`: the previous period must end twice the time after it began.
                self.period_start = self.period_start + RESERVE_TIME;
            }
            _ => {
                (self.previous, self.current) = (None, None);
                self.period_start = now;
            }
        }
        self.current = Some(self.current.map_or(value, |it| (self.extreme_of)(it, value)));
    }

    fn get(&self, now: Timestamp) -> Option<Duration> {
        let passed = now.since(self.period_start);
        let current = self.current.filter(|_| passed < RESERVE_TIME * 2);
        let previous = self.previous.filter(|_| passed < RESERVE_TIME);
        current.into_iter().chain(previous).reduce(self.extreme_of)
    }
}

/// The start times of the running requests, as their number and sum.
#[derive(Debug, Default)]
struct StartTimes {
    count: usize,
    sum_ns: u128,
}

impl StartTimes {
    fn add(&mut self, start: Timestamp) {
        self.count += 1;
        self.sum_ns += u128::from(start.ns);
    }

    fn remove(&mut self, start: Timestamp) {
        self.count -= 1;
        self.sum_ns -= u128::from(start.ns);
    }

    fn mean_age(&self, now: Timestamp) -> Duration {
        let Some(mean_ns) = self.sum_ns.checked_div(self.count as u128) else {
            return Duration::ZERO;
        };
        now.since(Timestamp { ns: u64::try_from(mean_ns).unwrap_or(u64::MAX) })
    }
}
