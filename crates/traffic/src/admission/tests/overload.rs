//! Overload in virtual time: an upstream with random service times, and callers that come at
//! random at a multiple of what it can serve. Requests that overrun their deadline are left to
//! run, so that they cost what they cost.

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
const RUN: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
struct Load {
    /// Offered, over the upstream's capacity, for each class.
    factors: [f64; 2],
    deadline: Duration,
    /// Exponential service times; else equal ones.
    is_spread: bool,
    /// Each with its share of the requests and its mean service time.
    routes: &'static [(f64, f64)],
    /// Whether the admission is told of routes.
    is_told: bool,
}

const ONE_ROUTE: &[(f64, f64)] = &[(1.0, 20.0)];
/// Nine in ten take 5 ms, the others 100 ms.
const TWO_ROUTES: &[(f64, f64)] = &[(0.9, 5.0), (0.1, 100.0)];

impl Load {
    fn new(factors: [f64; 2], deadline: Duration, is_spread: bool) -> Load {
        Load { factors, deadline, is_spread, routes: ONE_ROUTE, is_told: false }
    }

    fn mean_s(&self) -> f64 {
        self.routes.iter().map(|(share, mean_ms)| share * mean_ms / 1000.0).sum()
    }
}

#[derive(Debug, Default)]
struct Seen {
    offered: [u64; 2],
    good: [u64; 2],
    answered: u64,
    /// Of those, after their deadline.
    late: u64,
}

fn exponential(rng: &mut Pcg64Mcg, mean_s: f64) -> Duration {
    Duration::from_secs_f64(-mean_s * (1.0 - rng.random_range(0.0..1.0_f64)).ln())
}

#[derive(Debug, Clone, Copy)]
struct Arrived {
    at: Timestamp,
    class: usize,
    mean_s: f64,
}

struct Run {
    load: Load,
    rng: Pcg64Mcg,
    admission: Admission,
    arrivals: Vec<Arrived>,
    ends: BinaryHeap<Reverse<(Timestamp, Ticket)>>,
    seen: Seen,
}

impl Run {
    fn new(load: Load, admission: AdmissionConfig, seed: u64) -> Run {
        Run {
            load,
            rng: Pcg64Mcg::seed_from_u64(seed),
            admission: Admission::new(admission, Timestamp::ZERO),
            arrivals: Vec::new(),
            ends: BinaryHeap::new(),
            seen: Seen::default(),
        }
    }

    fn step(&mut self, now: Timestamp, event: impl FnOnce(&mut Run, &mut Vec<crate::Decision>)) {
        let mut out = Vec::new();
        event(self, &mut out);
        for it in out.iter().filter(|it| it.verdict == Verdict::Start) {
            let mean_s = self.arrivals[it.ticket.0 as usize].mean_s;
            let service = match self.load.is_spread {
                true => exponential(&mut self.rng, mean_s),
                false => Duration::from_secs_f64(mean_s),
            };
            self.ends.push(Reverse((now + service, it.ticket)));
        }
    }

    fn arrive(&mut self, now: Timestamp, class: usize) {
        self.seen.offered[class] += 1;
        let route = self.draw_route();
        let mean_s = self.load.routes[route].1 / 1000.0;
        // Tickets count up from 0, one for each arrival.
        self.arrivals.push(Arrived { at: now, class, mean_s });
        let arrival = Arrival {
            class: ClassIndex(class),
            route: self.load.is_told.then_some(RouteIndex(route)),
            deadline: now + self.load.deadline,
            timeliness: Timeliness::InTime,
        };
        self.step(now, |it, out| {
            it.admission.offer(now, arrival, &mut it.rng, out);
        });
    }

    fn draw_route(&mut self) -> usize {
        let mut left = self.rng.random_range(0.0..1.0);
        let routes = self.load.routes.iter();
        let past = routes.take_while(|(share, _)| {
            left -= share;
            left >= 0.0
        });
        past.count().min(self.load.routes.len() - 1)
    }

    fn end(&mut self, now: Timestamp, ticket: Ticket) {
        let Arrived { at, class, .. } = self.arrivals[ticket.0 as usize];
        self.seen.answered += 1;
        match now <= at + self.load.deadline {
            true => self.seen.good[class] += 1,
            false => self.seen.late += 1,
        }
        self.step(now, |it, out| {
            it.admission.finish(now, ticket, Completion::Answered, &mut it.rng, out);
        });
    }

    fn run(mut self) -> Seen {
        let capacity = SLOTS as f64 / self.load.mean_s();
        let mut next = [Timestamp::ZERO; 2];
        let mut now = Timestamp::ZERO;
        while now.since(Timestamp::ZERO) < RUN {
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
                self.step(now, |it, out| it.admission.tick(now, &mut it.rng, out));
            }
        }
        self.seen
    }
}

fn run(load: Load, seed: u64) -> Seen {
    Run::new(load, config(SLOTS, &[1.0, 1.0]), seed).run()
}

fn check(deadline: Duration, is_spread: bool) {
    let at = |factor: f64| {
        let factors = [factor / 2.0, factor / 2.0];
        run(Load::new(factors, deadline, is_spread), 7)
    };
    let goodput = |it: &Seen| it.good[0] + it.good[1];
    let peak = [0.9, 1.0, 1.2, 2.0].map(|it| goodput(&at(it))).into_iter().max().unwrap();
    let rush = at(3.0);
    let share = goodput(&rush) as f64 / peak as f64;
    let late = rush.late as f64 / rush.answered as f64;
    assert!(share >= 0.9, "goodput fell to {share} of its peak at 3 times capacity");
    assert!(late <= 0.01, "{late} of the answers came after their deadline");
}

#[test]
fn goodput_holds_at_three_times_capacity() {
    check(ms(250), false);
    check(ms(150), true);
    check(ms(500), true);
    check(ms(1000), true);
}

#[test]
fn no_class_starves_another() {
    let load = Load::new([3.0, 0.4], ms(500), true);
    let seen = run(load, 8);
    let share = seen.good[1] as f64 / seen.offered[1] as f64;
    assert!(share >= 0.95, "a class within its share got only {share} of what it asked");
    let load = Load::new([3.0, 3.0], ms(500), true);
    let admission = config(SLOTS, &[1.0, 3.0]);
    let seen = Run::new(load, admission, 9).run();
    let ratio = seen.good[1] as f64 / seen.good[0] as f64;
    assert!((2.5..3.5).contains(&ratio), "shares of 1 and 3 came out as 1 and {ratio}");
}

/// Where a class mixes cheap and dear routes, knowing them apart lets more requests through.
#[test]
fn costs_by_route_answer_more_requests() {
    for is_spread in [false, true] {
        let good = |is_told| {
            let load = Load::new([1.5, 1.5], ms(500), is_spread);
            let seen = run(Load { routes: TWO_ROUTES, is_told, ..load }, 10);
            (seen.good[0] + seen.good[1]) as f64
        };
        let gain = good(true) / good(false);
        assert!(gain >= 1.2, "spread {is_spread}: only {gain} times as many");
    }
}
