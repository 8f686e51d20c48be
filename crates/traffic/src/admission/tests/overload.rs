//! Simulates overload: an upstream with random service times, and random arrivals at a multiple of its
//! capacity. Requests that exceed their deadline run to their end and occupy their slot until then.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use model::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{config, ms};
use crate::{
    Admission, AdmissionConfig, Arrival, ClassIndex, Completion, RouteIndex, Ticket, Timeliness,
    Verdict,
};

const SLOTS: usize = 12;
const SIMULATED: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
struct Load {
    /// The offered load of each class, relative to the capacity of the upstream.
    factors: [f64; 2],
    deadline: Duration,
    /// Whether service times are exponentially distributed rather than constant.
    is_exponential: bool,
    /// The routes, each with its share of the requests and its mean service time in ms.
    routes: &'static [(f64, f64)],
    /// Whether arrivals carry their route.
    knows_routes: bool,
}

const ONE_ROUTE: &[(f64, f64)] = &[(1.0, 20.0)];
/// Nine in ten requests take 5 ms, the others 100 ms.
const TWO_ROUTES: &[(f64, f64)] = &[(0.9, 5.0), (0.1, 100.0)];

impl Load {
    fn new(factors: [f64; 2], deadline: Duration, is_exponential: bool) -> Load {
        Load { factors, deadline, is_exponential, routes: ONE_ROUTE, knows_routes: false }
    }

    fn mean_s(&self) -> f64 {
        self.routes.iter().map(|(share, mean_ms)| share * mean_ms / 1000.0).sum()
    }
}

#[derive(Debug, Default)]
struct Results {
    offered: [u64; 2],
    in_time: [u64; 2],
    answered: u64,
    /// The number of answers after the deadline.
    late: u64,
}

fn exponential(rng: &mut Pcg64Mcg, mean_s: f64) -> Duration {
    Duration::from_secs_f64(-mean_s * (1.0 - rng.random_range(0.0..1.0_f64)).ln())
}

#[derive(Debug, Clone, Copy)]
struct ArrivedRequest {
    at: Timestamp,
    class: usize,
    mean_s: f64,
}

struct Simulation {
    load: Load,
    rng: Pcg64Mcg,
    admission: Admission,
    arrivals: Vec<ArrivedRequest>,
    ends: BinaryHeap<Reverse<(Timestamp, Ticket)>>,
    results: Results,
}

impl Simulation {
    fn new(load: Load, admission: AdmissionConfig, seed: u64) -> Simulation {
        Simulation {
            load,
            rng: Pcg64Mcg::seed_from_u64(seed),
            admission: Admission::new(admission, Timestamp::ZERO),
            arrivals: Vec::new(),
            ends: BinaryHeap::new(),
            results: Results::default(),
        }
    }

    fn step(
        &mut self,
        now: Timestamp,
        event: impl FnOnce(&mut Simulation, &mut Vec<crate::Decision>),
    ) {
        let mut decisions = Vec::new();
        event(self, &mut decisions);
        for it in decisions.iter().filter(|it| it.verdict == Verdict::Start) {
            let mean_s = self.arrivals[it.ticket.0 as usize].mean_s;
            let service = match self.load.is_exponential {
                true => exponential(&mut self.rng, mean_s),
                false => Duration::from_secs_f64(mean_s),
            };
            self.ends.push(Reverse((now + service, it.ticket)));
        }
    }

    fn arrive(&mut self, now: Timestamp, class: usize) {
        self.results.offered[class] += 1;
        let route = self.draw_route();
        let mean_s = self.load.routes[route].1 / 1000.0;
        // Tickets are numbered from 0, so they are indexes into `arrivals`.
        self.arrivals.push(ArrivedRequest { at: now, class, mean_s });
        let arrival = Arrival {
            class: ClassIndex(class),
            route: self.load.knows_routes.then_some(RouteIndex(route)),
            deadline: now + self.load.deadline,
            timeliness: Timeliness::InTime,
            is_express: false,
            objective: None,
        };
        self.step(now, |it, decisions| {
            it.admission.offer(now, arrival, &mut it.rng, decisions);
        });
    }

    fn draw_route(&mut self) -> usize {
        let mut rest = self.rng.random_range(0.0..1.0);
        let routes = self.load.routes.iter();
        let skipped = routes.take_while(|(share, _)| {
            rest -= share;
            rest >= 0.0
        });
        skipped.count().min(self.load.routes.len() - 1)
    }

    fn end(&mut self, now: Timestamp, ticket: Ticket) {
        let ArrivedRequest { at, class, .. } = self.arrivals[ticket.0 as usize];
        self.results.answered += 1;
        match now <= at + self.load.deadline {
            true => self.results.in_time[class] += 1,
            false => self.results.late += 1,
        }
        self.step(now, |it, decisions| {
            it.admission.finish(now, ticket, Completion::Answered, &mut it.rng, decisions);
        });
    }

    fn simulate(mut self) -> Results {
        let capacity = SLOTS as f64 / self.load.mean_s();
        let mut next = [Timestamp::ZERO; 2];
        let mut now = Timestamp::ZERO;
        while now.since(Timestamp::ZERO) < SIMULATED {
            let class = usize::from(next[1] < next[0]);
            let wakeup = self.admission.next_wakeup(now).unwrap_or(next[class]);
            let end = self.ends.peek().map_or(next[class], |it| it.0.0);
            now = next[class].min(wakeup).min(end);
            if now == end
                && let Some(Reverse((_, ticket))) = self.ends.pop()
            {
                self.end(now, ticket);
            } else if now == next[class] {
                let gap = exponential(&mut self.rng, 1.0 / (capacity * self.load.factors[class]));
                next[class] = now + gap;
                self.arrive(now, class);
            } else {
                self.step(now, |it, decisions| it.admission.tick(now, &mut it.rng, decisions));
            }
        }
        self.results
    }
}

fn simulate(load: Load, seed: u64) -> Results {
    Simulation::new(load, config(SLOTS, &[1.0, 1.0]), seed).simulate()
}

fn check(deadline: Duration, is_exponential: bool) {
    let at = |factor: f64| {
        let factors = [factor / 2.0, factor / 2.0];
        simulate(Load::new(factors, deadline, is_exponential), 7)
    };
    let goodput = |it: &Results| it.in_time[0] + it.in_time[1];
    let peak = [0.9, 1.0, 1.2, 2.0].map(|it| goodput(&at(it))).into_iter().max().unwrap();
    let overload = at(3.0);
    let share = goodput(&overload) as f64 / peak as f64;
    let late = overload.late as f64 / overload.answered as f64;
    assert!(share >= 0.9, "goodput fell to {share} of its peak at three times the capacity");
    assert!(late <= 0.01, "{late} of the answers came after their deadline");
}

#[test]
fn goodput_holds_at_three_times_the_capacity() {
    check(ms(250), false);
    check(ms(150), true);
    check(ms(500), true);
    check(ms(1000), true);
}

#[test]
fn no_class_starves_another() {
    let load = Load::new([3.0, 0.4], ms(500), true);
    let results = simulate(load, 8);
    let share = results.in_time[1] as f64 / results.offered[1] as f64;
    assert!(
        share >= 0.95,
        "a class within its share had only {share} of its requests answered in time"
    );
    let load = Load::new([3.0, 3.0], ms(500), true);
    let admission = config(SLOTS, &[1.0, 3.0]);
    let results = Simulation::new(load, admission, 9).simulate();
    let ratio = results.in_time[1] as f64 / results.in_time[0] as f64;
    assert!((2.5..3.5).contains(&ratio), "weights of 1 and 3 gave shares of 1 and {ratio}");
}

/// In a class with short and long routes, separate estimates let more requests be answered in time.
#[test]
fn estimates_by_route_answer_more_requests_in_time() {
    for is_exponential in [false, true] {
        let in_time = |knows_routes| {
            let load = Load::new([1.5, 1.5], ms(500), is_exponential);
            let results = simulate(Load { routes: TWO_ROUTES, knows_routes, ..load }, 10);
            (results.in_time[0] + results.in_time[1]) as f64
        };
        let gain = in_time(true) / in_time(false);
        assert!(
            gain >= 1.2,
            "exponential service times {is_exponential}: only {gain} times as many requests in time"
        );
    }
}
