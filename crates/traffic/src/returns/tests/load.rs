//! Simulates bursts at one upstream, with callers that return once after a refusal, with and without return times.

use std::{collections::HashMap, time::Duration};

use model::{Fingerprint, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{config, ms};
use crate::{
    Admission, Arrival, ClassIndex, Completion, Decision, PromiseState, ReturnBook, ReturnRequest,
    Ticket, Timeliness, Verdict,
};

const SLOTS: usize = 9;
const SERVICE_MS: u64 = 100;
const OBJECTIVE: Duration = Duration::from_millis(400);
const BURST_START_MS: u64 = 1000;
/// The time after the burst in which all its requests end.
const AFTER_BURST_MS: u64 = 3000;
const HASTY_SHARE: f64 = 0.1;
/// The time in which a hasty caller returns.
const HASTY_WAIT: Duration = Duration::from_millis(2);
const SEEDS: u64 = 20;
/// The class of all requests.
const CLASS: ClassIndex = ClassIndex(0);

/// A burst, with loads relative to the capacity of the upstream.
#[derive(Debug, Clone, Copy)]
struct Burst {
    base_load: f64,
    load: f64,
    length_ms: u64,
    queue_time_max: Duration,
    deadline: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Caller {
    arrived: Timestamp,
    is_hasty: bool,
    refusals: u32,
    is_promised: bool,
    served: Option<Timestamp>,
}

/// Shares of the callers that arrived in a burst.
#[derive(Debug, Clone, Copy)]
struct Results {
    refused: f64,
    refused_twice: f64,
    in_time: f64,
    served: f64,
    promised: f64,
    /// Share of the promised callers that were served, if they returned at their time.
    promises_kept: f64,
    /// Share of the refused callers that were served: first of those that wait as told, then of hasty ones.
    returns_served: [f64; 2],
}

struct Simulation {
    burst: Burst,
    rng: Pcg64Mcg,
    admission: Admission,
    book: Option<ReturnBook>,
    callers: Vec<Caller>,
    tickets: HashMap<Ticket, usize>,
    /// The times of future ends and returns.
    ends: Vec<(Timestamp, Ticket)>,
    returns: Vec<(Timestamp, usize)>,
    decisions: Vec<Decision>,
}

impl Simulation {
    fn run(burst: Burst, promises_returns: bool, seed: u64) -> Simulation {
        let now = Timestamp::ZERO;
        let mut simulation = Simulation {
            burst,
            rng: Pcg64Mcg::seed_from_u64(seed),
            admission: Admission::new(config(SLOTS, burst.queue_time_max, [1.0]), now),
            book: promises_returns.then(|| ReturnBook::new(now, [1.0])),
            callers: Vec::new(),
            tickets: HashMap::new(),
            ends: Vec::new(),
            returns: Vec::new(),
            decisions: Vec::new(),
        };
        // The arrivals are the same with and without the part.
        let mut arrivals = Pcg64Mcg::seed_from_u64(seed);
        for at_ms in 0..BURST_START_MS + burst.length_ms + AFTER_BURST_MS {
            let load = match burst.contains(Timestamp::from_ms(at_ms)) {
                true => burst.load,
                false => burst.base_load,
            };
            simulation.step(Timestamp::from_ms(at_ms), load, &mut arrivals);
        }
        simulation
    }

    fn step(&mut self, now: Timestamp, load: f64, arrivals: &mut Pcg64Mcg) {
        for (_, ticket) in self.ends.extract_if(.., |it| it.0 <= now).collect::<Vec<_>>() {
            let caller = self.tickets[&ticket];
            self.callers[caller].served = Some(now);
            let completion = Completion::Answered;
            self.admission.finish(now, ticket, completion, &mut self.rng, &mut self.decisions);
        }
        self.admission.tick(now, &mut self.rng, &mut self.decisions);
        for (_, caller) in self.returns.extract_if(.., |it| it.0 <= now).collect::<Vec<_>>() {
            self.offer(now, caller);
        }
        // Ten draws a millisecond come close to a Poisson process.
        let probability = load * SLOTS as f64 / SERVICE_MS as f64 / 10.0;
        for _ in 0..10 {
            if arrivals.random_bool(probability) {
                let is_hasty = arrivals.random_bool(HASTY_SHARE);
                self.callers.push(Caller {
                    arrived: now,
                    is_hasty,
                    refusals: 0,
                    is_promised: false,
                    served: None,
                });
                self.offer(now, self.callers.len() - 1);
            }
        }
        self.apply_decisions(now);
    }

    fn request(&self, caller: usize) -> ReturnRequest {
        let deadline = self.callers[caller].arrived + self.burst.deadline;
        ReturnRequest {
            fingerprint: Fingerprint(caller as u64),
            class: CLASS,
            route: None,
            deadline,
        }
    }

    /// Offers a request with the times for which a gate lets it wait.
    fn offer(&mut self, now: Timestamp, caller: usize) {
        let request = self.request(caller);
        let Caller { arrived, refusals, .. } = self.callers[caller];
        let remaining = request.deadline.since(now);
        // The agent tells a retry by a remaining time that is clearly shorter than usual.
        let is_return = refusals > 0 && remaining < self.burst.deadline.mul_f64(0.88);
        let state = self.book.as_mut().map_or(PromiseState::Unpromised, |it| {
            it.arrive(now, &self.admission, request, is_return)
        });
        let objective = (arrived + OBJECTIVE).since(now);
        let expected = self.admission.expected_service_time(CLASS, None);
        let (wait, timeliness) = match state {
            PromiseState::Due => (objective.max(remaining / 2), Timeliness::Promised),
            PromiseState::Early => (remaining / 4, Timeliness::Late),
            PromiseState::Unpromised if is_return && objective < expected => {
                (remaining / 4, Timeliness::Late)
            }
            PromiseState::Unpromised if is_return => (objective, Timeliness::InTime),
            PromiseState::Unpromised => (objective.max(remaining / 2), Timeliness::InTime),
        };
        let deadline = request.deadline.min(now + wait);
        let arrival = Arrival {
            class: CLASS,
            route: None,
            deadline,
            timeliness,
            is_express: false,
            objective: None,
        };
        let ticket = self.admission.offer(now, arrival, &mut self.rng, &mut self.decisions);
        self.tickets.insert(ticket, caller);
        self.apply_decisions(now);
    }

    fn apply_decisions(&mut self, now: Timestamp) {
        for Decision { ticket, verdict } in std::mem::take(&mut self.decisions) {
            match verdict {
                Verdict::Start => {
                    let service_ms = self.rng.random_range(SERVICE_MS / 2..=SERVICE_MS * 3 / 2);
                    self.ends.push((now + ms(service_ms), ticket));
                }
                Verdict::Shed { retry_after, .. } => {
                    self.refuse(now, self.tickets[&ticket], retry_after);
                }
                Verdict::Expired => self.refuse(now, self.tickets[&ticket], ms(200)),
            }
        }
    }

    fn refuse(&mut self, now: Timestamp, caller: usize, retry_after: Duration) {
        let request = self.request(caller);
        let time = self.book.as_mut().map(|it| it.refuse(now, &self.admission, request));
        let remaining = request.deadline.since(now);
        let told = time.map_or(retry_after, |it| it.after).min(remaining / 3);
        let it = &mut self.callers[caller];
        it.refusals += 1;
        if it.refusals == 1 {
            it.is_promised = time.is_some_and(|it| it.is_promised);
            let wait = if it.is_hasty { HASTY_WAIT } else { told };
            self.returns.push((now + wait, caller));
        }
    }

    fn callers_of_burst(&self) -> impl Iterator<Item = Caller> {
        self.callers.iter().copied().filter(|it| self.burst.contains(it.arrived))
    }
}

/// Simulates a burst with all seeds.
fn simulate(burst: Burst, promises_returns: bool) -> Results {
    let runs = (0..SEEDS).map(|seed| Simulation::run(burst, promises_returns, seed));
    let callers: Vec<Caller> =
        runs.flat_map(|it| it.callers_of_burst().collect::<Vec<_>>()).collect();
    let is_served_by =
        |it: &Caller, time: Duration| it.served.is_some_and(|at| at <= it.arrived + time);
    let is_served = |it: &Caller| is_served_by(it, burst.deadline);
    let share = |of: &dyn Fn(&Caller) -> bool, is: &dyn Fn(&Caller) -> bool| {
        let all = callers.iter().filter(|it| of(it));
        all.clone().filter(|it| is(it)).count() as f64 / all.count().max(1) as f64
    };
    let returned = |is_hasty| move |it: &Caller| it.refusals > 0 && it.is_hasty == is_hasty;
    Results {
        refused: share(&|_| true, &|it| it.refusals > 0),
        refused_twice: share(&|_| true, &|it| it.refusals > 1),
        in_time: share(&|_| true, &|it| is_served_by(it, OBJECTIVE)),
        served: share(&|_| true, &is_served),
        promised: share(&|_| true, &|it| it.is_promised),
        promises_kept: share(&|it| it.is_promised && !it.is_hasty, &is_served),
        returns_served: [false, true].map(|it| share(&returned(it), &is_served)),
    }
}

impl Burst {
    /// A burst that the queue is long enough for, as in the default document.
    fn long(load: f64) -> Burst {
        Burst { base_load: 0.5, load, length_ms: 3000, queue_time_max: ms(500), deadline: ms(1000) }
    }

    fn contains(&self, at: Timestamp) -> bool {
        (BURST_START_MS..BURST_START_MS + self.length_ms).contains(&(at.ns / 1_000_000))
    }
}

/// Largest loss of callers that a simulation may show by chance, as a share of the callers.
const NOISE: f64 = 0.01;

/// A burst of some seconds leaves no room for returns, so return times can't serve more callers. They must not cost
/// any either, and a caller that ignores its time must not take the place of others: without return times, nearly all
/// of those are served, since their requests are the next to expire.
#[test]
fn long_bursts_serve_as_many_callers_and_give_hasty_ones_no_advantage() {
    for load in [1.3, 2.0, 3.0] {
        let [off, on] = [false, true].map(|it| simulate(Burst::long(load), it));
        assert!(on.refused <= off.refused, "load {load}: off {off:?}, on {on:?}");
        assert!(
            on.refused_twice <= off.refused_twice + NOISE,
            "load {load}: off {off:?}, on {on:?}"
        );
        assert!(on.in_time >= off.in_time - NOISE, "load {load}: off {off:?}, on {on:?}");
        assert!(on.served >= off.served - NOISE, "load {load}: off {off:?}, on {on:?}");
        let [waiting, hasty] = on.returns_served;
        assert!(hasty <= waiting + NOISE, "load {load}: off {off:?}, on {on:?}");
    }
}

/// After a short burst there is room. Callers that return all at once are refused again; return times spread them.
#[test]
fn short_bursts_refuse_fewer_callers_twice_and_keep_promises() {
    let burst =
        Burst { length_ms: 300, queue_time_max: ms(50), base_load: 0.2, ..Burst::long(2.0) };
    let [off, on] = [false, true].map(|it| simulate(burst, it));
    assert!(on.refused_twice <= 0.75 * off.refused_twice, "off {off:?}, on {on:?}");
    assert!(on.served >= off.served, "off {off:?}, on {on:?}");
    let [waiting, hasty] = on.returns_served;
    assert!(hasty <= waiting, "off {off:?}, on {on:?}");
    assert!(on.promised > 0.0, "no promise was given");
    assert!(on.promises_kept >= 0.95, "off {off:?}, on {on:?}");
}
