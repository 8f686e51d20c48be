//! Admission to one local upstream: its slots, and a short queue that is fair between classes,
//! ordered by use and deadline within a class and bounded in time and length.
//!
//! What can no longer finish is refused at once, never held until its deadline.

mod class;
mod costs;

#[cfg(test)]
mod tests;

use std::{collections::HashMap, time::Duration};

use model::{ClassName, NotRunReason, Timestamp};
use rand::{Rng, RngExt};

use crate::{SharedWarmup, SmoothedDuration};

use class::{Class, Place, Queued};

/// A class of requests and its share of a busy upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassConfig {
    pub name: ClassName,
    /// Relative to the other classes; above 0.
    pub weight: f64,
    /// What a request is expected to take until some have been measured.
    pub initial_service_time: Duration,
}

/// What a document sets for the admission to one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionConfig {
    /// Requests that the upstream runs at once.
    pub slots: usize,
    /// The most requests that wait, over all classes.
    pub queue_len_max: usize,
    /// The longest time that a request is expected to wait when it is taken in.
    pub queue_time_max: Duration,
    /// How long a new upstream takes to get all its slots.
    pub slow_start: Duration,
    /// How many mean deviations above the mean a request is given room to run.
    pub service_time_deviations: f64,
    /// The shortest time after which a refused caller is asked to come back, before jitter.
    pub retry_after_min: Duration,
    /// At least one.
    pub classes: Vec<ClassConfig>,
}

/// Index into [`AdmissionConfig::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassIndex(pub usize);

/// Requests that are expected to cost alike, such as those of one rule of the document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteIndex(pub usize);

/// Names a request within one [`Admission`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request at the gate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    pub class: ClassIndex,
    /// None: its cost is taken to be that of its class.
    pub route: Option<RouteIndex>,
    pub deadline: Timestamp,
    /// Of what use its answer will be.
    pub timeliness: Timeliness,
}

/// Of what use an answer will be to its caller. Where slots are short, those of full use go first: each slot
/// serves one caller in time in place of another late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timeliness {
    InTime,
    /// It will come late whatever is done.
    Late,
}

/// What becomes of a ticket. Each ticket gets at most one, unless it is cancelled while queued.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decision {
    pub ticket: Ticket,
    pub verdict: Verdict,
}

/// The end of a ticket's wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// Give it to the upstream now; [`Admission::finish`] must follow.
    Start,
    /// Not run: tell the caller now, and when to come back.
    Shed { reason: NotRunReason, retry_after: Duration },
    /// Not run: its deadline has passed.
    Expired,
}

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The upstream answered: its time counts.
    Answered,
    /// The upstream gave it up, or its link broke: its time counts only if longer than expected.
    Aborted,
    /// It was never given to the upstream after all: its time does not count.
    NotSent,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    class: ClassIndex,
    route: Option<RouteIndex>,
    since: Timestamp,
    cost_s: f64,
}

#[derive(Debug, Clone, Copy)]
enum Entry {
    Queued { class: ClassIndex, place: Place },
    Running(Running),
}

/// The table of requests that run on, or wait for, one upstream.
#[derive(Debug)]
pub struct Admission {
    config: AdmissionConfig,
    classes: Vec<Class>,
    entries: HashMap<Ticket, Entry>,
    running: usize,
    queued: usize,
    next_ticket: u64,
    /// Virtual time of the class served last.
    virtual_s: f64,
    ramp_since: Timestamp,
    draining: bool,
    /// What requests of all classes take.
    service: SmoothedDuration,
    /// What the upstream is given while it is cold; none: nothing but its slots limits that.
    warmup: Option<SharedWarmup>,
}

impl Admission {
    /// An upstream that starts cold at `now`.
    pub fn new(config: AdmissionConfig, now: Timestamp) -> Admission {
        assert!(config.slots > 0, "an upstream has at least one slot");
        assert!(!config.classes.is_empty(), "there is at least one class");
        assert!(config.classes.iter().all(|it| it.weight > 0.0), "weights are above 0");
        let classes = config.classes.iter().map(Class::new).collect();
        let service = SmoothedDuration::new(config.classes[0].initial_service_time);
        Admission {
            config,
            classes,
            entries: HashMap::new(),
            running: 0,
            queued: 0,
            next_ticket: 0,
            virtual_s: 0.0,
            ramp_since: now,
            draining: false,
            service,
            warmup: None,
        }
    }

    /// Keeps to what the upstream bears while it is cold.
    pub fn with_warmup(self, warmup: SharedWarmup) -> Admission {
        Admission { warmup: Some(warmup), ..self }
    }

    /// Takes a request in. Its own verdict may follow in `out` at once, with those of others that
    /// it displaces; else it waits.
    pub fn offer(
        &mut self,
        now: Timestamp,
        arrival: Arrival,
        rng: &mut impl Rng,
        out: &mut Vec<Decision>,
    ) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        if self.draining {
            let verdict = self.shed(now, arrival.class, NotRunReason::Draining, rng);
            out.push(Decision { ticket, verdict });
            return ticket;
        }
        if arrival.deadline <= now {
            out.push(Decision { ticket, verdict: Verdict::Expired });
            return ticket;
        }
        if self.queued == 0 && self.may_start(now) {
            // A free upstream is tried even if the estimate says no: estimates heal only by use.
            self.start(now, ticket, arrival.class, arrival.route, out);
            return ticket;
        }
        self.enqueue(now, ticket, arrival);
        self.prune(now, arrival.class, rng, out);
        self.trim(now, rng, out);
        self.fill(now, rng, out);
        self.check();
        ticket
    }

    /// Ends a started request and starts others in its place.
    pub fn finish(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        completion: Completion,
        rng: &mut impl Rng,
        out: &mut Vec<Decision>,
    ) {
        let Some(Entry::Running(it)) = self.entries.remove(&ticket) else {
            panic!("{ticket:?} was finished but is not running");
        };
        self.running -= 1;
        let taken = now.since(it.since);
        if completion == Completion::Answered {
            self.service.add(taken);
        }
        let class = &mut self.classes[it.class.0];
        class.end(taken, it.cost_s, it.route, completion);
        self.fill(now, rng, out);
        self.check();
    }

    /// Takes back a request that waits, and frees its place. False: it is not waiting (any more);
    /// one that runs keeps its slot until [`Admission::finish`].
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(Entry::Queued { class, place }) = self.entries.get(&ticket).copied() else {
            return false;
        };
        self.entries.remove(&ticket);
        self.unqueue(class, place);
        true
    }

    /// Refuses what can no longer finish and fills slots that have been ramped up. To be called
    /// at [`Admission::next_wakeup`].
    pub fn tick(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Decision>) {
        for class in 0..self.classes.len() {
            self.prune(now, ClassIndex(class), rng, out);
        }
        self.fill(now, rng, out);
        self.check();
    }

    /// When the next waiting request has to be refused, or the next slot opens.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        if self.queued == 0 {
            return None;
        }
        let drops =
            self.classes.iter().filter_map(|it| it.drop_at(self.config.service_time_deviations));
        drops.chain(self.next_ramp_step(now)).chain(self.next_cold_start(now)).min()
    }

    /// No new work from now on: refuses what waits; what runs goes on.
    pub fn drain(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Decision>) {
        self.draining = true;
        for class in 0..self.classes.len() {
            let class = ClassIndex(class);
            while let Some(it) = self.classes[class.0].last() {
                self.drop_queued(class, it);
                let verdict = self.shed(now, class, NotRunReason::Draining, rng);
                out.push(Decision { ticket: it.place.ticket, verdict });
            }
        }
        self.check();
    }

    /// The upstream has come back: admits again, ramping up from `now`.
    pub fn restart(&mut self, now: Timestamp) {
        self.draining = false;
        self.ramp_since = now;
    }

    /// What a request takes, on average over all classes as they come.
    pub fn mean_service_time(&self) -> Duration {
        self.service.mean()
    }

    /// What a request is expected to take.
    pub fn expected_service_time(&self, class: ClassIndex, route: Option<RouteIndex>) -> Duration {
        self.classes[class.0].costs.expected_for(route).mean()
    }

    /// What requests of a route were measured to take, on average; none: there were none.
    pub fn measured_service_time(
        &self,
        class: ClassIndex,
        route: Option<RouteIndex>,
    ) -> Option<Duration> {
        self.classes[class.0].costs.measured_for(route?).map(SmoothedDuration::mean)
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// The slots that may be in use at `now`: fewer than all while the upstream ramps up.
    pub fn slots_at(&self, now: Timestamp) -> usize {
        let all = self.config.slots;
        let passed = now.since(self.ramp_since);
        if passed >= self.config.slow_start {
            return all;
        }
        let share = passed.as_secs_f64() / self.config.slow_start.as_secs_f64();
        (1 + ((all - 1) as f64 * share) as usize).min(all)
    }

    /// Whether the upstream may be given a request now.
    fn may_start(&self, now: Timestamp) -> bool {
        self.running < self.slots_at(now) && self.next_cold_start(now).is_none()
    }

    /// When a cold upstream may be given the next request, if not at once.
    fn next_cold_start(&self, now: Timestamp) -> Option<Timestamp> {
        self.warmup.as_ref()?.with(|it| it.next_start(now))
    }

    /// The time between two starts at a cold upstream.
    pub fn cold_start_interval(&self, now: Timestamp) -> Option<Duration> {
        self.warmup.as_ref()?.with(|it| it.start_interval(now))
    }

    fn next_ramp_step(&self, now: Timestamp) -> Option<Timestamp> {
        let open = self.slots_at(now);
        if open == self.config.slots {
            return None;
        }
        let steps = (self.config.slots - 1) as f64;
        let at = self.config.slow_start.mul_f64(open as f64 / steps);
        // One nanosecond late rather than early: rounding must not wake the caller in a loop.
        Some((self.ramp_since + at + Duration::from_nanos(1)).max(now + Duration::from_nanos(1)))
    }

    fn start(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        class: ClassIndex,
        route: Option<RouteIndex>,
        out: &mut Vec<Decision>,
    ) {
        if let Some(warmup) = &self.warmup {
            warmup.with(|it| it.start(now));
        }
        let cost_s = self.classes[class.0].charge(self.virtual_s, route);
        self.virtual_s = self.virtual_s.max(self.classes[class.0].virtual_s - cost_s);
        self.entries.insert(ticket, Entry::Running(Running { class, route, since: now, cost_s }));
        self.running += 1;
        out.push(Decision { ticket, verdict: Verdict::Start });
    }

    fn enqueue(&mut self, now: Timestamp, ticket: Ticket, arrival: Arrival) {
        let Arrival { class, route, deadline, timeliness } = arrival;
        let budget = deadline.since(now);
        let place = Place { timeliness, deadline, ticket };
        self.classes[class.0].push(Queued { place, route, budget }, self.virtual_s);
        self.entries.insert(ticket, Entry::Queued { class, place });
        self.queued += 1;
    }

    fn unqueue(&mut self, class: ClassIndex, place: Place) {
        let removed = self.classes[class.0].remove(place);
        assert!(removed, "{:?} is listed as waiting but is in no queue", place.ticket);
        self.queued -= 1;
    }

    fn drop_queued(&mut self, class: ClassIndex, it: Queued) {
        self.unqueue(class, it.place);
        self.entries.remove(&it.place.ticket);
    }

    /// Refuses the waiting requests of a class that are not expected to finish in time.
    fn prune(
        &mut self,
        now: Timestamp,
        class: ClassIndex,
        rng: &mut impl Rng,
        out: &mut Vec<Decision>,
    ) {
        let step = self.wait_step(now, class);
        let config = &self.config;
        let doomed = self.classes[class.0].doomed(
            now,
            step,
            config.queue_time_max,
            config.service_time_deviations,
        );
        for it in doomed {
            self.drop_queued(class, it);
            self.refuse(now, class, it, rng, out);
        }
    }

    /// Refuses requests of the class that is furthest above its share while too many wait.
    fn trim(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Decision>) {
        while self.queued > self.config.queue_len_max {
            let over = |it: &usize| self.classes[*it].len() as f64 / self.classes[*it].weight;
            let all = 0..self.classes.len();
            let class = all.max_by(|a, b| over(a).total_cmp(&over(b))).expect("classes exist");
            let class = ClassIndex(class);
            let it = self.classes[class.0].last().expect("the longest queue is not empty");
            self.drop_queued(class, it);
            self.refuse(now, class, it, rng, out);
        }
    }

    /// Starts waiting requests while slots are free: the class with the least virtual time first.
    fn fill(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Decision>) {
        while self.queued > 0 && self.may_start(now) {
            let waiting = (0..self.classes.len()).filter(|it| self.classes[*it].len() > 0);
            let virtual_s = |it: &usize| self.classes[*it].virtual_s;
            let class = waiting.min_by(|a, b| virtual_s(a).total_cmp(&virtual_s(b)));
            let class = ClassIndex(class.expect("a request is waiting"));
            let it = self.classes[class.0].first().expect("the class has a request waiting");
            self.drop_queued(class, it);
            match self.classes[class.0].can_finish(now, it, self.config.service_time_deviations) {
                // An idle upstream is tried all the same: see `offer`.
                _ if self.running == 0 && it.place.deadline > now => {
                    self.start(now, it.place.ticket, class, it.route, out);
                }
                true => self.start(now, it.place.ticket, class, it.route, out),
                false => self.refuse(now, class, it, rng, out),
            }
        }
    }

    fn refuse(
        &self,
        now: Timestamp,
        class: ClassIndex,
        it: Queued,
        rng: &mut impl Rng,
        out: &mut Vec<Decision>,
    ) {
        let verdict = match it.place.deadline <= now {
            true => Verdict::Expired,
            false => self.shed(now, class, NotRunReason::Overloaded, rng),
        };
        out.push(Decision { ticket: it.place.ticket, verdict });
    }

    fn shed(
        &self,
        now: Timestamp,
        class: ClassIndex,
        reason: NotRunReason,
        rng: &mut impl Rng,
    ) -> Verdict {
        let step = self.wait_step(now, class);
        let wait = step.mul_f64(self.classes[class.0].len() as f64);
        let base = wait.max(self.config.retry_after_min);
        let retry_after = base + base.mul_f64(rng.random_range(0.0..1.0));
        Verdict::Shed { reason, retry_after }
    }

    /// The time between two starts of a class, with its share of the open slots.
    fn wait_step(&self, now: Timestamp, class: ClassIndex) -> Duration {
        let it = &self.classes[class.0];
        let others = self.classes.iter().enumerate();
        let others = others.filter(|(index, other)| *index != class.0 && other.len() > 0);
        let weights: f64 = it.weight + others.map(|(_, other)| other.weight).sum::<f64>();
        let share = it.weight / weights;
        let slot_step = it.costs.class().mean().div_f64(self.slots_at(now) as f64 * share);
        match self.cold_start_interval(now) {
            Some(step) => slot_step.max(step.div_f64(share)),
            None => slot_step,
        }
    }

    fn check(&self) {
        assert!(self.running <= self.config.slots, "more requests run than the upstream has slots");
        assert!(self.queued <= self.config.queue_len_max, "the queue is longer than allowed");
        assert_eq!(self.entries.len(), self.running + self.queued, "a ticket was lost");
    }
}
