//! Simulates upstreams that are full of long requests and get express requests as well, also as calls of their runs.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use model::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Fixture, config, ms};
use crate::{
    Admission, AdmissionConfig, Arrival, ClassIndex, Completion, Decision, RouteIndex, Ticket,
    Timeliness, Verdict,
};

const SLOTS: usize = 7;
const SIMULATED: Duration = Duration::from_secs(20);
const BURST_INTERVAL: Duration = Duration::from_millis(500);
const EXPRESS: Kind =
    Kind { class: 0, work_ms: 15, objective_ms: 60, deadline_ms: 200, makes_call: false };
const LONG: Kind =
    Kind { class: 1, work_ms: 150, objective_ms: 800, deadline_ms: 1000, makes_call: false };
const LONG_OF_SAME_CLASS: Kind = Kind { class: EXPRESS.class, ..LONG };
/// Half of its work precedes a call of the kind [`EXPRESS`] to the other upstream.
const RUN: Kind =
    Kind { class: 1, work_ms: 78, objective_ms: 250, deadline_ms: 600, makes_call: true };

#[derive(Debug, Clone, Copy, PartialEq)]
struct Kind {
    class: usize,
    work_ms: u64,
    objective_ms: u64,
    deadline_ms: u64,
    makes_call: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives { kind: usize, gate: usize },
    Calls(usize),
    Done(usize),
    Deadline(usize),
    Wakeup { gate: usize },
}

struct Request {
    kind: usize,
    gate: usize,
    deadline: Timestamp,
    /// The run that made this call.
    caller: Option<usize>,
    ticket: Ticket,
    is_running: bool,
    /// Whether it has been served; `None` while it waits or runs.
    served: Option<bool>,
    ended: Timestamp,
}

struct Simulation {
    is_on: bool,
    kinds: Vec<Kind>,
    /// The factor of the service times at a time.
    slowness: fn(Timestamp) -> u32,
    now: Timestamp,
    rng: Pcg64Mcg,
    gates: Vec<Admission>,
    /// The next wakeup of each gate.
    wakeups: Vec<Option<Timestamp>>,
    tickets: HashMap<(usize, Ticket), usize>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Timestamp, usize, Event)>>,
    event_count: usize,
}

impl Simulation {
    fn new(gates: usize, kinds: &[Kind], is_on: bool) -> Simulation {
        let now = Timestamp::from_ms(1000);
        let config = AdmissionConfig { queue_len_max: 256, ..config(SLOTS, &[1.0, 1.0]) };
        Simulation {
            is_on,
            kinds: kinds.to_vec(),
            slowness: |_| 1,
            now,
            rng: Pcg64Mcg::seed_from_u64(7),
            gates: (0..gates).map(|_| Admission::new(config.clone(), now)).collect(),
            wakeups: vec![None; gates],
            tickets: HashMap::new(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            event_count: 0,
        }
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn add_arrivals(&mut self, kind: usize, gate: usize, per_s: f64) {
        let (mut at, end) = (self.now, self.now + SIMULATED);
        while at < end {
            self.schedule(at, Event::Arrives { kind, gate });
            let gap_s = -(1.0 - self.rng.random_range(0.0..1.0_f64)).ln() / per_s;
            at = at + Duration::from_secs_f64(gap_s);
        }
    }

    fn run(mut self) -> Simulation {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrives { kind, gate } => self.arrive(kind, gate, None),
                Event::Calls(run) if self.requests[run].served.is_none() => {
                    let express = self.kinds.iter().position(|it| *it == EXPRESS).unwrap();
                    self.arrive(express, 1 - self.requests[run].gate, Some(run));
                }
                Event::Calls(_) => {}
                Event::Done(request) => self.end(request, true),
                Event::Deadline(request) => self.end(request, false),
                Event::Wakeup { gate } if self.wakeups[gate] == Some(at) => {
                    self.wakeups[gate] = None;
                    let mut decisions = Vec::new();
                    self.gates[gate].tick(at, &mut self.rng, &mut decisions);
                    self.apply(gate, decisions);
                }
                Event::Wakeup { .. } => {}
            }
        }
        self
    }

    fn arrive(&mut self, kind: usize, gate: usize, caller: Option<usize>) {
        let (it, now) = (self.kinds[kind], self.now);
        let run_deadline = caller.map(|it| self.requests[it].deadline);
        let deadline = run_deadline.into_iter().chain([now + ms(it.deadline_ms)]).min().unwrap();
        let is_express = self.is_on && it == EXPRESS;
        let queue_time = ms(it.objective_ms).max(deadline.since(now) / 2);
        let arrival = Arrival {
            class: ClassIndex(it.class),
            route: Some(RouteIndex(kind)),
            deadline: if is_express { deadline } else { deadline.min(now + queue_time) },
            timeliness: Timeliness::InTime,
            is_express,
            objective: Some(ms(it.objective_ms)),
        };
        let mut decisions = Vec::new();
        let ticket = self.gates[gate].offer(now, arrival, &mut self.rng, &mut decisions);
        let request = self.requests.len();
        self.tickets.insert((gate, ticket), request);
        self.requests.push(Request {
            kind,
            gate,
            deadline,
            caller,
            ticket,
            is_running: false,
            served: None,
            ended: now,
        });
        self.schedule(deadline, Event::Deadline(request));
        self.apply(gate, decisions);
    }

    fn apply(&mut self, gate: usize, decisions: Vec<Decision>) {
        for Decision { ticket, verdict } in decisions {
            let request = self.tickets[&(gate, ticket)];
            if verdict != Verdict::Start {
                self.end(request, false);
                continue;
            }
            self.requests[request].is_running = true;
            let kind = self.kinds[self.requests[request].kind];
            let work = ms(kind.work_ms) * (self.slowness)(self.now);
            match kind.makes_call {
                true => self.schedule(self.now + work / 2, Event::Calls(request)),
                false => self.schedule(self.now + work, Event::Done(request)),
            }
        }
        let next = self.gates[gate].next_wakeup(self.now).map(|it| it.max(self.now));
        if let Some(at) = next.filter(|_| next != self.wakeups[gate]) {
            self.schedule(at, Event::Wakeup { gate });
        }
        self.wakeups[gate] = next;
    }

    fn end(&mut self, request: usize, is_served: bool) {
        let now = self.now;
        let it = &mut self.requests[request];
        if it.served.is_some() {
            return;
        }
        (it.served, it.ended) = (Some(is_served), now);
        let (gate, ticket, caller) = (it.gate, it.ticket, it.caller);
        let mut decisions = Vec::new();
        match it.is_running {
            true => {
                let is_aborted = !is_served && now >= it.deadline;
                let end = if is_aborted { Completion::Aborted } else { Completion::Answered };
                self.gates[gate].finish(now, ticket, end, &mut self.rng, &mut decisions);
            }
            false => drop(self.gates[gate].cancel(ticket)),
        }
        self.apply(gate, decisions);
        match caller.filter(|it| self.requests[*it].served.is_none()) {
            Some(run) if is_served => {
                let rest = ms(self.kinds[self.requests[run].kind].work_ms) / 2;
                self.schedule(now + rest, Event::Done(run));
            }
            // The upstream answers its run with status 500.
            Some(run) => self.end(run, false),
            None => {}
        }
    }

    fn of(&self, kind: Kind) -> impl Iterator<Item = &Request> {
        self.requests.iter().filter(move |it| self.kinds[it.kind] == kind)
    }

    fn served(&self, kind: Kind) -> usize {
        self.of(kind).filter(|it| it.served == Some(true)).count()
    }

    fn served_share(&self, kind: Kind) -> f64 {
        self.served(kind) as f64 / self.of(kind).count() as f64
    }

    /// Returns the work of all served requests, in ms.
    fn served_work_ms(&self) -> f64 {
        self.kinds.iter().map(|it| (self.served(*it) as u64 * it.work_ms) as f64).sum()
    }
}

/// One upstream full of long requests of two classes, and three times slower for 0.4 s out of 2 s.
fn mixed_load(is_on: bool) -> Simulation {
    let mut it = Simulation::new(1, &[EXPRESS, LONG, LONG_OF_SAME_CLASS], is_on);
    it.slowness = |now| if now.ns % 2_000_000_000 < 400_000_000 { 3 } else { 1 };
    let long_per_s = 1.5 * SLOTS as f64 / 0.150;
    it.add_arrivals(0, 0, 60.0);
    it.add_arrivals(1, 0, long_per_s / 2.0);
    it.add_arrivals(2, 0, long_per_s / 2.0);
    it.run()
}

/// Guards against runs that fail because their short calls wait behind long requests. A run with two calls is to fail
/// for a call in at most one of 25 cases.
#[test]
fn express_requests_are_served_among_long_ones() {
    let (off, on) = (mixed_load(false), mixed_load(true));
    assert!(
        off.served_share(EXPRESS) < 0.8,
        "the load must be hard: {}",
        off.served_share(EXPRESS)
    );
    assert!(on.served_share(EXPRESS) >= 0.98, "{}", on.served_share(EXPRESS));
    // Another class keeps its share, and the reserve wastes less than a tenth of the upstream.
    let (other_off, other_on) = (off.served(LONG) as f64, on.served(LONG) as f64);
    assert!(other_on >= 0.9 * other_off, "{other_on} instead of {other_off} long requests");
    let (work_off, work_on) = (off.served_work_ms(), on.served_work_ms());
    assert!(work_on >= 0.9 * work_off, "{work_on} ms of work instead of {work_off} ms");
    assert!(on.served(LONG_OF_SAME_CLASS) > 0, "the class of the express requests starves");
}

#[test]
fn without_the_part_nothing_is_reserved() {
    let off = mixed_load(false);
    let load = off.gates[0].express_load(off.now);
    assert_eq!((load.reserved_slots, load.arrivals_per_s, load.acceptable_wait), (0, 0.0, None));
    let mut it = waiting_fixture();
    let tickets = [(); 3].map(|()| it.offer(1, ms(60)));
    assert_eq!(tickets.map(|ticket| it.verdict(ticket).is_some()), [true; 3]);
    assert_eq!(it.admission.running(), 2, "a slot is held back");
}

/// Two upstreams that bursts fill with runs that call the other one.
fn mutual_calls(is_on: bool) -> Simulation {
    let mut it = Simulation::new(2, &[EXPRESS, RUN], is_on);
    for at in (0..SIMULATED.as_millis() as u64).step_by(BURST_INTERVAL.as_millis() as usize) {
        for gate in [0, 1].repeat(2 * SLOTS) {
            it.schedule(it.now + ms(at), Event::Arrives { kind: 1, gate });
        }
    }
    it.run()
}

/// Guards against two full upstreams that wait for each other until the deadlines. Nine in ten of the runs that they
/// start are to be of use.
#[test]
fn full_upstreams_that_call_each_other_do_not_stand_still() {
    let useful_share = |it: &Simulation| {
        it.served(RUN) as f64 / it.of(RUN).filter(|it| it.is_running).count() as f64
    };
    let (off, on) = (mutual_calls(false), mutual_calls(true));
    assert!(useful_share(&off) < 0.7, "the load must be hard: {}", useful_share(&off));
    assert!(useful_share(&on) >= 0.9, "{}", useful_share(&on));
    let mut ends: Vec<_> =
        on.of(RUN).filter(|it| it.served == Some(true)).map(|it| it.ended).collect();
    ends.sort();
    let longest = ends.windows(2).map(|it| it[1].since(it[0])).max().unwrap();
    // A burst from which the reserve is learned may fail, but not the next one as well.
    assert!(longest < BURST_INTERVAL * 2, "no run was served for {longest:?}");
}

/// A fixture with two slots, in which other requests have made the expected wait long.
fn waiting_fixture() -> Fixture {
    let mut it = Fixture::new(config(2, &[1.0, 1.0]));
    for _ in 0..8 {
        let ticket = it.offer(1, ms(9000));
        it.now = it.now + ms(300);
        it.finish(ticket);
    }
    it
}

fn reserved(it: &Fixture) -> usize {
    it.admission.express_load(it.now).reserved_slots
}

#[test]
fn express_requests_start_first_up_to_half_of_the_slots() {
    let mut it = Fixture::new(config(4, &[1.0, 1.0]));
    let running: Vec<_> = (0..4).map(|_| it.offer(1, ms(900))).collect();
    let other = it.offer(1, ms(900));
    let express = [300, 200, 400].map(|left| it.offer_express(0, ms(left)));
    it.finish(running[0]);
    it.finish(running[1]);
    let started = |it: &Fixture| express.map(|ticket| it.verdict(ticket) == Some(Verdict::Start));
    assert_eq!(started(&it), [true, true, false], "the earliest deadlines start first");
    assert_eq!(it.verdict(other), None);
    it.finish(running[2]);
    it.finish(running[3]);
    assert_eq!(started(&it), [true; 3]);
    assert_eq!(it.verdict(other), Some(Verdict::Start), "it competes beyond half of the slots");
}

/// Guards against a slot that stays reserved, or that other requests never learn of, when the express requests end.
#[test]
fn a_slot_is_reserved_while_express_requests_arrive() {
    let mut it = waiting_fixture();
    assert_eq!(reserved(&it), 0, "no express request has arrived");
    let express = it.offer_express(0, ms(200));
    assert_eq!(it.verdict(express), Some(Verdict::Start));
    assert_eq!(reserved(&it), 1);
    it.now = it.now + ms(15);
    it.finish(express);
    let first = it.offer(1, ms(20_000));
    let second = it.offer(1, ms(20_000));
    assert_eq!((it.verdict(first), it.verdict(second)), (Some(Verdict::Start), None));
    let last_arrival = it.now - ms(15);
    while it.verdict(second).is_none() {
        it.now = it.admission.next_wakeup(it.now).unwrap();
        it.tick();
    }
    assert!(it.now.since(last_arrival) < ms(5200), "the slot was reserved for too long");
}

/// A restarted gate, and one that was suspended, have no reserve until express requests arrive.
#[test]
fn the_reserve_is_lost_on_a_restart_and_a_suspension() {
    let mut it = waiting_fixture();
    it.offer_express(0, ms(200));
    assert_eq!(reserved(&it), 1);
    it.now = it.now + ms(60_000);
    assert_eq!(reserved(&it), 0, "the reserve outlasts a suspension");
    it.offer_express(0, ms(200));
    assert_eq!(reserved(&it), 1);
    assert_eq!(reserved(&Fixture::new(config(2, &[1.0]))), 0);
}

/// Guards against refusals of express requests in favour of others, which would fail the runs that made them.
#[test]
fn a_full_queue_refuses_other_requests_first() {
    let mut it = Fixture::new(AdmissionConfig { queue_len_max: 3, ..config(1, &[1.0, 1.0]) });
    let running = it.offer(1, ms(900));
    let express = [190, 200, 180].map(|left| it.offer_express(0, ms(left)));
    let other = it.offer(1, ms(900));
    assert!(matches!(it.verdict(other), Some(Verdict::Shed { .. })));
    assert_eq!(express.map(|ticket| it.verdict(ticket)), [None; 3]);
    let earlier = it.offer_express(0, ms(100));
    assert!(matches!(it.verdict(express[1]), Some(Verdict::Shed { .. })));
    it.now = it.now + ms(89);
    it.finish(running);
    assert_eq!(it.verdict(earlier), Some(Verdict::Start), "it waits until its deadline is near");
}
