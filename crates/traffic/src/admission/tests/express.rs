//! Simulates upstreams that are full of long requests and get express requests as well, also as calls of their runs.

use std::{collections::HashMap, time::Duration};

use model::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Fixture, config, ms};
use crate::{
    Admission, AdmissionConfig, Arrival, ClassIndex, Completion, Decision, RouteIndex, Ticket,
    Timeliness, Verdict,
};

const SLOTS: usize = 7;
const SIMULATED_MS: u64 = 20_000;
/// While the upstream is three times slower, these take 1.8 of the 3 slots that express requests may hold.
const EXPRESS_PER_S: f64 = 40.0;
const BURST_INTERVAL_MS: u64 = 500;
const EXPRESS: Kind =
    Kind { class: 0, work_ms: 15, objective_ms: 60, deadline_ms: 200, makes_call: false };
const LONG: Kind =
    Kind { class: 1, work_ms: 150, objective_ms: 800, deadline_ms: 1000, makes_call: false };
const LONG_OF_SAME_CLASS: Kind = Kind { class: EXPRESS.class, ..LONG };
/// After half of its work, it makes a call of the kind [`EXPRESS`] to the other upstream.
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

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Waiting,
    Running,
    /// It occupies its slot until its call ends.
    Calling,
    Served,
    Failed,
}

struct Request {
    kind: Kind,
    gate: usize,
    deadline: Timestamp,
    ticket: Ticket,
    /// The run that made this call.
    caller: Option<usize>,
    state: State,
    was_started: bool,
    work_done_ms: f64,
    ended: Timestamp,
}

/// Upstreams in steps of one millisecond.
struct Simulation {
    is_on: bool,
    now: Timestamp,
    rng: Pcg64Mcg,
    gates: Vec<Admission>,
    tickets: HashMap<(usize, Ticket), usize>,
    requests: Vec<Request>,
}

impl Simulation {
    fn new(gates: usize, is_on: bool) -> Simulation {
        let now = Timestamp::from_ms(1000);
        let gate = || Admission::new(config(SLOTS, &[1.0, 1.0]), now);
        let gates = (0..gates).map(|_| gate()).collect();
        let rng = Pcg64Mcg::seed_from_u64(7);
        Simulation { is_on, now, rng, gates, tickets: HashMap::new(), requests: Vec::new() }
    }

    fn arrive(&mut self, kind: Kind, gate: usize, caller: Option<usize>) {
        let now = self.now;
        let run_deadline = caller.map(|it| self.requests[it].deadline);
        let deadline = now + ms(kind.deadline_ms);
        let deadline = run_deadline.map_or(deadline, |it| it.min(deadline));
        let is_express = self.is_on && kind == EXPRESS;
        // The gate's limit on the wait of requests that aren't express.
        let queue_time = ms(kind.objective_ms).max(deadline.since(now) / 2);
        let arrival = Arrival {
            class: ClassIndex(kind.class),
            route: Some(RouteIndex(kind.work_ms as usize)),
            deadline: if is_express { deadline } else { deadline.min(now + queue_time) },
            timeliness: Timeliness::InTime,
            is_express,
            objective: Some(ms(kind.objective_ms)),
        };
        let mut decisions = Vec::new();
        let ticket = self.gates[gate].offer(now, arrival, &mut self.rng, &mut decisions);
        self.tickets.insert((gate, ticket), self.requests.len());
        self.requests.push(Request {
            kind,
            gate,
            deadline,
            ticket,
            caller,
            state: State::Waiting,
            was_started: false,
            work_done_ms: 0.0,
            ended: now,
        });
        self.apply(gate, decisions);
    }

    fn arrive_at_random(&mut self, kind: Kind, per_s: f64) {
        if self.rng.random_bool(per_s / 1000.0) {
            self.arrive(kind, 0, None);
        }
    }

    fn apply(&mut self, gate: usize, decisions: Vec<Decision>) {
        for Decision { ticket, verdict } in decisions {
            let index = self.tickets[&(gate, ticket)];
            match verdict {
                Verdict::Start => {
                    let it = &mut self.requests[index];
                    (it.state, it.was_started) = (State::Running, true);
                }
                Verdict::Shed { .. } | Verdict::Expired => self.end(index, State::Failed),
            }
        }
    }

    /// Passes a millisecond, in which the upstreams do this much work on each running request.
    fn step(&mut self, work_ms: f64) {
        self.now = self.now + ms(1);
        for index in 0..self.requests.len() {
            let it = &mut self.requests[index];
            it.work_done_ms += if it.state == State::Running { work_ms } else { 0.0 };
            let (kind, done_ms) = (it.kind, it.work_done_ms);
            match it.state {
                State::Served | State::Failed => {}
                _ if self.now >= it.deadline => self.end(index, State::Failed),
                State::Running if done_ms >= kind.work_ms as f64 => self.end(index, State::Served),
                State::Running if kind.makes_call && done_ms == (kind.work_ms / 2) as f64 => {
                    it.state = State::Calling;
                    let other = 1 - it.gate;
                    self.arrive(EXPRESS, other, Some(index));
                }
                State::Waiting | State::Running | State::Calling => {}
            }
        }
        for gate in 0..self.gates.len() {
            let mut decisions = Vec::new();
            self.gates[gate].tick(self.now, &mut self.rng, &mut decisions);
            self.apply(gate, decisions);
        }
    }

    fn end(&mut self, index: usize, state: State) {
        let it = &mut self.requests[index];
        let former = std::mem::replace(&mut it.state, state);
        it.ended = self.now;
        let (gate, ticket, caller) = (it.gate, it.ticket, it.caller);
        let completion = match self.now >= it.deadline {
            true => Completion::Aborted,
            false => Completion::Answered,
        };
        let (gates, rng, mut decisions) = (&mut self.gates, &mut self.rng, Vec::new());
        match former {
            State::Waiting => drop(gates[gate].cancel(ticket)),
            _ => gates[gate].finish(self.now, ticket, completion, rng, &mut decisions),
        }
        self.apply(gate, decisions);
        match caller.filter(|it| self.requests[*it].state == State::Calling) {
            Some(run) if state == State::Served => self.requests[run].state = State::Running,
            // The upstream answers its run with status 500.
            Some(run) => self.end(run, State::Failed),
            None => {}
        }
    }

    fn of(&self, kind: Kind) -> impl Iterator<Item = &Request> {
        self.requests.iter().filter(move |it| it.kind == kind)
    }

    fn served(&self, kind: Kind) -> usize {
        self.of(kind).filter(|it| it.state == State::Served).count()
    }

    fn served_share(&self, kind: Kind) -> f64 {
        self.served(kind) as f64 / self.of(kind).count() as f64
    }

    /// Returns the work of all served requests, in ms.
    fn served_work_ms(&self) -> f64 {
        let served = self.requests.iter().filter(|it| it.state == State::Served);
        served.map(|it| it.kind.work_ms as f64).sum()
    }
}

/// One upstream full of long requests of two classes, and three times slower for 0.4 s out of 2 s.
fn mixed_load(is_on: bool) -> Simulation {
    let mut it = Simulation::new(1, is_on);
    let long_per_s = 1.5 * SLOTS as f64 / 0.150;
    for at_ms in 0..SIMULATED_MS {
        it.arrive_at_random(EXPRESS, EXPRESS_PER_S);
        it.arrive_at_random(LONG, long_per_s / 2.0);
        it.arrive_at_random(LONG_OF_SAME_CLASS, long_per_s / 2.0);
        it.step(if at_ms % 2000 < 400 { 1.0 / 3.0 } else { 1.0 });
    }
    it
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
    // The class that express requests are charged to does not starve.
    assert!(on.served(LONG_OF_SAME_CLASS) >= off.served(LONG_OF_SAME_CLASS) / 2);
}

/// Guards against express requests above their share that are held until they can't be tried elsewhere, or start too late
/// to finish.
#[test]
fn express_requests_above_their_share_are_refused_early() {
    let mut it = Simulation::new(1, true);
    let express_slots = (SLOTS / 2) as f64;
    let (express_per_s, long_per_s) = (1.5 * express_slots / 0.015, 1.5 * SLOTS as f64 / 0.150);
    for _ in 0..SIMULATED_MS {
        it.arrive_at_random(EXPRESS, express_per_s);
        it.arrive_at_random(LONG, long_per_s);
        it.step(1.0);
    }
    let (started, refused) = it.of(EXPRESS).partition::<Vec<_>, _>(|it| it.was_started);
    let in_time = started.iter().filter(|it| it.state == State::Served).count() as f64;
    let in_time = in_time / started.len() as f64;
    let share_left = |it: &&Request| it.deadline.since(it.ended).as_secs_f64() / 0.2;
    let mut left: Vec<_> = refused.iter().map(share_left).collect();
    left.sort_by(f64::total_cmp);
    assert!(in_time >= 0.95, "{in_time} of those that start are in time");
    assert!(left[left.len() / 20] >= 0.5, "{} of the time is left", left[left.len() / 20]);
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
    let mut it = Simulation::new(2, is_on);
    for at_ms in 0..SIMULATED_MS {
        let burst = if at_ms % BURST_INTERVAL_MS == 0 { 2 * SLOTS } else { 0 };
        for gate in [0, 1].repeat(burst) {
            it.arrive(RUN, gate, None);
        }
        it.step(1.0);
    }
    it
}

/// Guards against two full upstreams that wait for each other until the deadlines. Nine in ten of the runs that they
/// start are to be of use.
#[test]
fn full_upstreams_that_call_each_other_do_not_stand_still() {
    let useful_share = |it: &Simulation| {
        it.served(RUN) as f64 / it.of(RUN).filter(|it| it.was_started).count() as f64
    };
    let (off, on) = (mutual_calls(false), mutual_calls(true));
    assert!(useful_share(&off) < 0.7, "the load must be hard: {}", useful_share(&off));
    assert!(useful_share(&on) >= 0.9, "{}", useful_share(&on));
    let mut ends: Vec<_> =
        on.of(RUN).filter(|it| it.state == State::Served).map(|it| it.ended).collect();
    ends.sort();
    let longest = ends.windows(2).map(|it| it[1].since(it[0])).max().unwrap();
    // A burst from which the reserve is learned may fail, but not the next one as well.
    assert!(longest < ms(2 * BURST_INTERVAL_MS), "no run was served for {longest:?}");
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
    let other = it.offer(1, ms(350));
    let express = [300, 200, 400].map(|left| it.offer_express(1, ms(left)));
    let started = |it: &Fixture| express.map(|ticket| it.verdict(ticket) == Some(Verdict::Start));
    it.finish(running[0]);
    assert_eq!(started(&it), [false, true, false], "the earliest deadline starts first");
    it.finish(running[1]);
    assert_eq!(started(&it), [true, true, false]);
    assert_eq!(it.verdict(other), None);
    it.finish(running[2]);
    assert_eq!(it.verdict(other), Some(Verdict::Start), "it competes beyond half of the slots");
    it.finish(running[3]);
    assert_eq!(started(&it), [true; 3]);
}

/// Guards against a class whose other requests wait for minutes because its express requests have started out of turn.
#[test]
fn express_requests_do_not_starve_the_others_of_their_class() {
    let mut it = Fixture::new(config(2, &[0.1, 1.0]));
    let mut running = vec![it.offer(1, ms(900)), it.offer(1, ms(900))];
    let mut serve = |it: &mut Fixture, is_express: bool| {
        let express = is_express.then(|| it.offer_express(0, ms(900)));
        let offered: Vec<_> = express.into_iter().chain([it.offer(1, ms(900))]).collect();
        running.extend(offered);
        it.now = it.now + ms(100);
        let started = |ticket: &Ticket| it.verdict(*ticket) == Some(Verdict::Start);
        let (ended, waiting) = running.drain(..).partition::<Vec<_>, _>(started);
        running = waiting;
        ended.into_iter().for_each(|ticket| it.finish(ticket));
    };
    (0..100).for_each(|_| serve(&mut it, true));
    let other = it.offer(0, ms(60_000));
    (0..30).for_each(|_| serve(&mut it, false));
    assert_eq!(it.verdict(other), Some(Verdict::Start), "it has not started after 3 s");
}

/// Guards against a class that gets more than its share because an express request clears the debt of its others.
#[test]
fn express_requests_leave_the_debt_of_the_others_of_their_class() {
    for completion in [Completion::Answered, Completion::NotSent] {
        let queue_time_max = ms(60_000);
        let config = AdmissionConfig { queue_time_max, ..config(2, &[0.1, 1.0]) };
        let mut it = Fixture::new(config);
        let running = [it.offer(0, ms(90_000)), it.offer(1, ms(90_000))];
        let [first, second, third] = [(); 3].map(|()| it.offer(1, ms(90_000)));
        let indebted = it.offer(0, ms(90_000));
        it.now = it.now + ms(10_000);
        // The class has used 100 s of its virtual time now, the other one 10 s, and 15 s at the end.
        running.into_iter().for_each(|ticket| it.finish(ticket));
        assert_eq!(it.verdict(second), Some(Verdict::Start));
        it.now = it.now + ms(5000);
        let express = it.offer_express(0, ms(60_000));
        it.finish(second);
        assert_eq!((it.verdict(express), it.verdict(third)), (Some(Verdict::Start), None));
        it.now = it.now + ms(15);
        let (rng, decisions) = (&mut it.rng, &mut it.decisions);
        it.admission.finish(it.now, express, completion, rng, decisions);
        // The other slot stays reserved.
        it.finish(first);
        let started = (it.verdict(third), it.verdict(indebted));
        assert_eq!(started, (Some(Verdict::Start), None), "{completion:?}");
    }
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
    // As after a restart, or a suspension of that length.
    assert_eq!(reserved(&it), 0);
}

/// Serves an express request with this objective for 10 ms, and returns the wait that is acceptable then.
fn acceptable_wait_after(it: &mut Fixture, objective: Duration) -> Option<Duration> {
    let arrival = Arrival {
        class: ClassIndex(0),
        route: None,
        deadline: it.now + ms(200),
        timeliness: Timeliness::InTime,
        is_express: true,
        objective: Some(objective),
    };
    let ticket = it.admission.offer(it.now, arrival, &mut it.rng, &mut it.decisions);
    it.now = it.now + ms(10);
    it.finish(ticket);
    it.admission.express_load(it.now).acceptable_wait
}

/// Guards against a slot that is reserved for 10 s because one request waited for its routes or its body.
#[test]
fn an_objective_that_is_used_up_reserves_no_slot() {
    let mut it = Fixture::new(config(2, &[1.0, 1.0]));
    assert_eq!(acceptable_wait_after(&mut it, ms(0)), Some(ms(0)), "no other objective is known");
    assert_eq!(acceptable_wait_after(&mut it, ms(60)), Some(ms(25)));
    assert_eq!(acceptable_wait_after(&mut it, ms(5)), Some(ms(25)));
    assert_eq!(acceptable_wait_after(&mut it, ms(40)), Some(ms(15)));
    assert_eq!(reserved(&it), 0, "the expected wait is 5 ms");
}

/// Guards against a short objective that reserves slots for longer than the documented 5 to 10 s.
#[test]
fn an_objective_counts_for_5_to_10_s() {
    for (age_ms, short_counts) in [(4900, true), (10_100, false)] {
        // A request in between may end the period that began with the short objective.
        for last_ms in [4000, 5100, 9900] {
            let mut it = Fixture::new(config(2, &[1.0, 1.0]));
            // The first value after a pause starts a period.
            it.now = it.now + ms(20_000);
            acceptable_wait_after(&mut it, ms(30));
            let start = it.now;
            let at = |at_ms| start + ms(at_ms);
            if last_ms < age_ms {
                it.now = at(last_ms);
                acceptable_wait_after(&mut it, ms(60));
            }
            it.now = at(age_ms);
            let expected = if short_counts { ms(10) } else { ms(25) };
            assert_eq!(acceptable_wait_after(&mut it, ms(60)), Some(expected), "{last_ms} ms");
        }
    }
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

/// Guards against an estimate that is too high, as after a suspension, and refuses all express requests for as long as
/// others wait, which keeps it from being corrected.
#[test]
fn express_requests_are_served_again_after_a_suspension() {
    let queue_time_max = ms(60_000);
    let mut it = Fixture::new(AdmissionConfig { queue_time_max, ..config(4, &[1.0, 1.0]) });
    let suspended = [(); 3].map(|()| it.offer_express(0, ms(200)));
    let mut others: Vec<_> = (0..20).map(|_| (it.offer(1, ms(60_000)), None)).collect();
    it.now = it.now + ms(10_000);
    suspended.into_iter().for_each(|ticket| it.finish(ticket));
    let mut express = Vec::new();
    for _ in 0..40 {
        express.push(it.offer_express(0, ms(200)));
        others.push((it.offer(1, ms(60_000)), None));
        it.now = it.now + ms(15);
        if it.verdict(express[express.len() - 1]) == Some(Verdict::Start) {
            it.finish(express[express.len() - 1]);
        }
        it.now = it.now + ms(35);
        let now = it.now;
        for (ticket, end) in &mut others {
            if it.verdict(*ticket) == Some(Verdict::Start) {
                end.get_or_insert(now + ms(300));
            }
        }
        let (ended, left) = others.drain(..).partition(|(_, end)| end.is_some_and(|it| it <= now));
        others = left;
        ended.into_iter().for_each(|(ticket, _): (Ticket, _)| it.finish(ticket));
    }
    assert!(it.admission.queued() > 0, "others must wait");
    let served = express.split_off(20);
    let served = served.iter().filter(|ticket| it.verdict(**ticket) == Some(Verdict::Start));
    assert_eq!(served.count(), 20, "from a second after the suspension on, all are served");
}
