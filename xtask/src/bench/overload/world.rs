//! Virtual time, and the requests and upstreams of the overload model.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use model::{ClassName, Fingerprint, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use traffic::{
    Admission, AdmissionConfig, Arrival, CallFailures, ClassConfig, ClassIndex, Completion,
    ConcurrencyLimit, Decision, PromiseState, ReturnBook, ReturnRequest, RouteIndex, RunResult,
    StartVerdict, Ticket, Timeliness, Verdict,
};

use super::{
    Case, KindResult, Parts,
    workload::{
        CLASS_WEIGHTS, EXPRESS_OBJECTIVE_MAX, HOP, KINDS, NOISE, SERVICES, SLOTS, SLOWDOWN, SPEEDS,
    },
};

/// Share of callers that repeat a refused request at once.
const IMPATIENT_SHARE: f64 = 0.1;
/// Share of the remaining time for which a caller waits before it returns, at most.
const RETURN_WAIT_SHARE: f64 = 1.0 / 3.0;
/// Upstreams that a refused request without a key tries besides the first.
const FURTHER_TRIES: u8 = 2;

/// Index of a request in [`World::requests`].
type RequestIndex = usize;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at its upstream's gate.
    Arrive(RequestIndex),
    /// A run has ended a part of its work.
    Step(RequestIndex),
    /// The deadline of a request has passed.
    Deadline(RequestIndex),
    /// The queue of an upstream has to be looked after.
    Wake(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    Running,
    Ended,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Served,
    Refused,
    /// A call of its run was not served.
    FailedByCall,
    /// Its deadline passed while it ran.
    Expired,
}

#[derive(Debug)]
struct Request {
    kind: usize,
    /// When its caller first sent it.
    sent_at: Timestamp,
    deadline: Timestamp,
    is_return: bool,
    /// The run that waits for this request, if it is a call.
    parent: Option<RequestIndex>,
    /// Position of its key among all keys, from 0 to 1.
    key: f64,
    upstream: usize,
    further_tries: u8,
    ticket: Option<Ticket>,
    state: State,
    calls_left: usize,
    /// Work between two calls, at an upstream of speed 1.
    part: Duration,
}

#[derive(Debug)]
struct UpstreamState {
    speed: f64,
    admission: Admission,
    /// The requests by ticket, until they have ended.
    tickets: HashMap<Ticket, RequestIndex>,
    call_failures: CallFailures,
    returns: ReturnBook,
    wake_at: Option<Timestamp>,
}

/// The model: callers, gates and upstreams in virtual time.
pub(super) struct World {
    case: Case,
    rng: Pcg64Mcg,
    now: Timestamp,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    event_count: u64,
    requests: Vec<Request>,
    upstreams: Vec<UpstreamState>,
    /// The upstreams of each service.
    services: Vec<Vec<usize>>,
    pub(super) results: Vec<KindResult>,
    /// Requests sent and served in time, by second of sending.
    pub(super) seconds: Vec<(u32, u32)>,
}

impl World {
    pub(super) fn new(case: Case) -> World {
        let mut upstreams = Vec::new();
        let mut services = Vec::new();
        for it in &SERVICES {
            let first = upstreams.len();
            let state = |index: usize| UpstreamState::new(SPEEDS[index % SPEEDS.len()], case.parts);
            upstreams.extend((0..it.upstreams).map(state));
            services.push((first..upstreams.len()).collect());
        }
        World {
            case,
            rng: Pcg64Mcg::seed_from_u64(case.seed),
            now: Timestamp::ZERO,
            events: BinaryHeap::new(),
            event_count: 0,
            requests: Vec::new(),
            upstreams,
            services,
            results: vec![KindResult::default(); KINDS.len()],
            seconds: Vec::new(),
        }
    }

    /// Plays the whole case.
    pub(super) fn run(&mut self) {
        self.draw_arrivals();
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive(request) => self.arrive(request),
                Event::Step(request) => self.step(request),
                Event::Deadline(request) => self.end_at_deadline(request),
                Event::Wake(upstream) => self.wake(upstream),
            }
        }
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    /// Draws the requests of callers: Poisson arrivals, at the case's multiple of the usual rate during its burst.
    fn draw_arrivals(&mut self) {
        for (index, kind) in KINDS.iter().enumerate().filter(|(_, it)| it.per_s > 0.0) {
            let mut at_s = 0.0;
            loop {
                let factor = self.case.factor_at(at_s);
                at_s -= (1.0 - self.rng.random_range(0.0..1.0_f64)).ln() / (kind.per_s * factor);
                if at_s >= self.case.duration_s {
                    break;
                }
                let at = Timestamp::ZERO + Duration::from_secs_f64(at_s);
                let deadline = at + Duration::from_millis(kind.deadline_ms);
                let request = self.new_request(index, at, deadline, None);
                self.send(request, at);
            }
        }
    }

    fn new_request(
        &mut self,
        kind: usize,
        sent_at: Timestamp,
        deadline: Timestamp,
        parent: Option<RequestIndex>,
    ) -> RequestIndex {
        let properties = &KINDS[kind];
        let calls = properties.calls.filter(|it| self.rng.random_bool(it.share));
        let calls_left = calls.map_or(0, |it| it.count);
        // Service times between a half and one and a half of the mean.
        let work = Duration::from_millis(properties.service_ms)
            .mul_f64(self.rng.random_range(0.5..1.5))
            .div_f64(calls_left as f64 + 1.0);
        let key = self.rng.random_range(0.0..1.0);
        self.requests.push(Request {
            kind,
            sent_at,
            deadline,
            is_return: false,
            parent,
            key,
            upstream: 0,
            further_tries: FURTHER_TRIES,
            ticket: None,
            state: State::Waiting,
            calls_left,
            part: work,
        });
        self.requests.len() - 1
    }

    /// Sends a request at a time in the future.
    fn send(&mut self, request: RequestIndex, at: Timestamp) {
        self.schedule(at + HOP, Event::Arrive(request));
    }

    /// Chooses the upstream of a request: the owner of its key, or the better of two.
    fn choose_upstream(&mut self, request: RequestIndex) -> usize {
        let service = KINDS[self.requests[request].kind].service;
        let members = &self.services[service];
        let is_first_try = self.requests[request].further_tries == FURTHER_TRIES;
        if self.case.parts.returns && self.requests[request].is_return && is_first_try {
            return self.requests[request].upstream;
        }
        if SERVICES[service].is_keyed {
            return self.owner_of(service, self.requests[request].key);
        }
        let mut pick = || members[self.rng.random_range(0..members.len())];
        let (first, second) = (pick(), pick());
        let cost = |it: usize| {
            let upstream = &self.upstreams[it];
            let in_flight = upstream.admission.running() + upstream.admission.queued();
            (in_flight as f64 + 1.0) * upstream.admission.mean_service_time().as_secs_f64()
        };
        if cost(second) < cost(first) { second } else { first }
    }

    /// Returns the owner of a key: members own equal shares, or shares in proportion to their speed.
    fn owner_of(&self, service: usize, key: f64) -> usize {
        let members = &self.services[service];
        let weight = |it: usize| match self.case.parts.capacity {
            true => self.upstreams[it].speed,
            false => 1.0,
        };
        let mut rest = key * members.iter().map(|it| weight(*it)).sum::<f64>();
        let owner = members.iter().find(|it| {
            rest -= weight(**it);
            rest < 0.0
        });
        *owner.unwrap_or(&members[members.len() - 1])
    }

    fn arrive(&mut self, request: RequestIndex) {
        let upstream = self.choose_upstream(request);
        if let Some(retry_after) = self.refuse_failing_run(request, upstream) {
            return self.refuse(request, retry_after);
        }
        let it = &mut self.requests[request];
        it.upstream = upstream;
        let kind = &KINDS[it.kind];
        let objective = it.sent_at + Duration::from_millis(kind.objective_ms);
        let remaining = it.deadline.since(self.now);
        let queue_time = objective.since(self.now).max(remaining / 2);
        let deadline = it.deadline;
        let whole_objective = Duration::from_millis(kind.objective_ms);
        let is_express = self.case.parts.express && whole_objective <= EXPRESS_OBJECTIVE_MAX;
        let waits_until_deadline = kind.rank == 0 || is_express;
        let arrival = Arrival {
            is_express,
            objective: Some(whole_objective).filter(|_| !it.is_return),
            class: ClassIndex(kind.rank),
            route: Some(RouteIndex(it.kind)),
            deadline: match waits_until_deadline {
                true => deadline,
                false => deadline.min(self.now + queue_time),
            },
            timeliness: if objective > self.now { Timeliness::InTime } else { Timeliness::Late },
        };
        let arrival = self.apply_promise(request, arrival);
        let mut decisions = Vec::new();
        let state = &mut self.upstreams[upstream];
        let ticket = state.admission.offer(self.now, arrival, &mut self.rng, &mut decisions);
        state.tickets.insert(ticket, request);
        self.requests[request].ticket = Some(ticket);
        self.apply(upstream, decisions);
        self.plan_wake(upstream);
    }

    /// Applies the time that the caller of a returning request was told.
    fn apply_promise(&mut self, request: RequestIndex, arrival: Arrival) -> Arrival {
        let Some(returning) = self.return_request(request) else { return arrival };
        let Request { upstream, deadline, is_return, .. } = self.requests[request];
        let remaining = deadline.since(self.now);
        let UpstreamState { returns, admission, .. } = &mut self.upstreams[upstream];
        match returns.arrive(self.now, admission, returning, is_return) {
            PromiseState::Unpromised => arrival,
            PromiseState::Due => Arrival {
                deadline: arrival.deadline.max(self.now + remaining / 2),
                timeliness: Timeliness::Promised,
                ..arrival
            },
            PromiseState::Early => Arrival {
                deadline: arrival.deadline.min(self.now + remaining / 4),
                timeliness: Timeliness::Late,
                ..arrival
            },
        }
    }

    /// Returns the request as the book of return times sees it. `None` if the part is off or a run made it.
    fn return_request(&self, request: RequestIndex) -> Option<ReturnRequest> {
        let it = &self.requests[request];
        (self.case.parts.returns && it.parent.is_none()).then(|| ReturnRequest {
            fingerprint: Fingerprint(request as u64),
            class: ClassIndex(KINDS[it.kind].rank),
            route: Some(RouteIndex(it.kind)),
            deadline: it.deadline,
        })
    }

    /// Decides whether a run is refused since its calls would probably fail.
    fn refuse_failing_run(&mut self, request: RequestIndex, upstream: usize) -> Option<Duration> {
        let kind = self.requests[request].kind;
        if !self.case.parts.call_failures || KINDS[kind].per_s == 0.0 {
            return None;
        }
        let mut rng = Pcg64Mcg::seed_from_u64(request as u64);
        let failures = &mut self.upstreams[upstream].call_failures;
        match failures.may_start(self.now, kind as u8, &mut rng) {
            StartVerdict::Start => None,
            StartVerdict::Refuse(it) => Some(it.retry_after),
        }
    }

    fn apply(&mut self, upstream: usize, decisions: Vec<Decision>) {
        for Decision { ticket, verdict } in decisions {
            let request = self.upstreams[upstream].tickets[&ticket];
            match verdict {
                Verdict::Start => self.start(request),
                Verdict::Shed { retry_after, .. } => self.refuse(request, retry_after),
                Verdict::Expired => self.refuse(request, Duration::ZERO),
            }
        }
    }

    fn start(&mut self, request: RequestIndex) {
        self.requests[request].state = State::Running;
        let deadline = self.requests[request].deadline;
        self.schedule(deadline, Event::Deadline(request));
        self.schedule_part(request);
    }

    /// Schedules the end of the next part of a run's work.
    fn schedule_part(&mut self, request: RequestIndex) {
        let it = &self.requests[request];
        let upstream = &self.upstreams[it.upstream];
        let in_flight = upstream.admission.running();
        let slowdown = 1.0 + SLOWDOWN.1 * in_flight.saturating_sub(SLOWDOWN.0) as f64;
        let noise = if self.is_slow(it.upstream) { NOISE.1 } else { 1.0 };
        let took = it.part.mul_f64(slowdown * noise / upstream.speed);
        self.schedule(self.now + took, Event::Step(request));
    }

    /// Returns whether an upstream is one of those that are slow for a while.
    fn is_slow(&self, upstream: usize) -> bool {
        let period = self.now.ns / NOISE.0.as_nanos() as u64;
        let mixed = (period * 1_000 + upstream as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 32).is_multiple_of(5)
    }

    fn step(&mut self, request: RequestIndex) {
        if self.requests[request].state != State::Running {
            return;
        }
        if self.requests[request].calls_left == 0 {
            self.end_run(request, End::Served);
            return;
        }
        self.requests[request].calls_left -= 1;
        let calls = KINDS[self.requests[request].kind].calls.expect("the run has a call left");
        let latest = self.now + Duration::from_millis(KINDS[calls.kind].deadline_ms);
        let deadline = self.requests[request].deadline.min(latest);
        let call = self.new_request(calls.kind, self.now, deadline, Some(request));
        self.send(call, self.now);
    }

    fn end_at_deadline(&mut self, request: RequestIndex) {
        if self.requests[request].state == State::Running {
            self.end_run(request, End::Expired);
        }
    }

    /// Ends a run, frees its slot and reports its end to its caller.
    fn end_run(&mut self, request: RequestIndex, end: End) {
        let it = &mut self.requests[request];
        it.state = State::Ended;
        let (upstream, kind) = (it.upstream, it.kind);
        let ticket = it.ticket.expect("a run has a ticket");
        let completion = match end {
            End::Served => Completion::Answered,
            End::Refused | End::FailedByCall | End::Expired => Completion::Aborted,
        };
        let mut decisions = Vec::new();
        let state = &mut self.upstreams[upstream];
        state.tickets.remove(&ticket);
        let result = match end {
            End::Served => RunResult::Served,
            End::FailedByCall => RunResult::FailedByCall,
            End::Refused | End::Expired => RunResult::FailedOtherwise,
        };
        state.call_failures.record_end(self.now, kind as u8, result);
        state.admission.finish(self.now, ticket, completion, &mut self.rng, &mut decisions);
        self.report(request, end);
        self.apply(upstream, decisions);
        self.plan_wake(upstream);
    }

    /// Handles a refusal: tries another upstream, or lets the caller return once.
    fn refuse(&mut self, request: RequestIndex, retry_after: Duration) {
        let it = &mut self.requests[request];
        if let Some(ticket) = it.ticket.take() {
            self.upstreams[it.upstream].tickets.remove(&ticket);
        }
        let remaining = it.deadline.since(self.now);
        if remaining.is_zero() {
            it.state = State::Ended;
            return self.report(request, End::Refused);
        }
        if !SERVICES[KINDS[it.kind].service].is_keyed && it.further_tries > 0 {
            it.further_tries -= 1;
            return self.send(request, self.now);
        }
        if it.parent.is_some() || it.is_return {
            it.state = State::Ended;
            return self.report(request, End::Refused);
        }
        it.is_return = true;
        it.further_tries = FURTHER_TRIES;
        let retry_after = self.return_time(request).unwrap_or(retry_after);
        let is_impatient = self.rng.random_bool(IMPATIENT_SHARE);
        let wait = match is_impatient {
            true => Duration::ZERO,
            false => retry_after.min(remaining.mul_f64(RETURN_WAIT_SHARE)),
        };
        self.send(request, self.now + wait);
    }

    /// Returns when the caller of a refused request is to return, if the gate tells it a time.
    fn return_time(&mut self, request: RequestIndex) -> Option<Duration> {
        let returning = self.return_request(request)?;
        let UpstreamState { returns, admission, .. } =
            &mut self.upstreams[self.requests[request].upstream];
        Some(returns.refuse(self.now, admission, returning).after)
    }

    /// Reports the end of a request to the run that made it, or counts it for its caller.
    fn report(&mut self, request: RequestIndex, end: End) {
        let it = &self.requests[request];
        let objective = Duration::from_millis(KINDS[it.kind].objective_ms);
        let is_in_time = end == End::Served && self.now <= it.sent_at + objective;
        self.results[it.kind].count(end, is_in_time, it.is_return);
        let Some(run) = it.parent else {
            let second = (it.sent_at.ns / 1_000_000_000) as usize;
            if self.seconds.len() <= second {
                self.seconds.resize(second + 1, (0, 0));
            }
            self.seconds[second].0 += 1;
            self.seconds[second].1 += u32::from(is_in_time);
            return;
        };
        if self.requests[run].state != State::Running {
            return;
        }
        match end {
            End::Served => self.schedule_part(run),
            End::Refused | End::FailedByCall | End::Expired => {
                self.end_run(run, End::FailedByCall);
            }
        }
    }

    fn wake(&mut self, upstream: usize) {
        let mut decisions = Vec::new();
        let state = &mut self.upstreams[upstream];
        state.wake_at = None;
        state.admission.tick(self.now, &mut self.rng, &mut decisions);
        self.apply(upstream, decisions);
        self.plan_wake(upstream);
    }

    fn plan_wake(&mut self, upstream: usize) {
        let state = &mut self.upstreams[upstream];
        let Some(at) = state.admission.next_wakeup(self.now) else { return };
        let at = at.max(self.now);
        if state.wake_at.is_some_and(|it| it <= at) {
            return;
        }
        state.wake_at = Some(at);
        self.schedule(at, Event::Wake(upstream));
    }
}

impl UpstreamState {
    fn new(speed: f64, parts: Parts) -> UpstreamState {
        let class = |(index, weight): (usize, &f64)| ClassConfig {
            name: ClassName::new(&format!("rank-{index}")).expect("a valid name"),
            weight: *weight,
            initial_service_time: Duration::from_millis(10),
        };
        let config = AdmissionConfig {
            slots: SLOTS,
            queue_len_max: 256,
            queue_time_max: Duration::from_secs(3),
            slow_start: Duration::ZERO,
            service_time_deviations: 4.0,
            retry_after_min: Duration::from_millis(50),
            classes: CLASS_WEIGHTS.iter().enumerate().map(class).collect(),
        };
        let admission = Admission::new(config, Timestamp::ZERO);
        UpstreamState {
            speed,
            admission: match parts.concurrency {
                true => admission.with_concurrency_limit(ConcurrencyLimit::new(SLOTS)),
                false => admission,
            },
            tickets: HashMap::new(),
            call_failures: CallFailures::default(),
            returns: ReturnBook::new(Timestamp::ZERO, CLASS_WEIGHTS),
            wake_at: None,
        }
    }
}

impl KindResult {
    fn count(&mut self, end: End, is_in_time: bool, is_return: bool) {
        self.asked += 1;
        match end {
            End::Served if is_in_time => self.in_time += 1,
            End::Served => self.late += 1,
            End::Refused if is_return => self.refused_twice += 1,
            End::Refused => self.refused += 1,
            End::FailedByCall => self.failed_by_call += 1,
            End::Expired => self.expired += 1,
        }
    }
}
