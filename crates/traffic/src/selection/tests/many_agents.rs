//! Simulates many agents that select among the same targets by the load reports of their gates. The targets
//! differ in speed, the zones in size, and machines are temporarily slowed down by other work. There are two
//! kinds of requests, of which one takes ten times as long as the other.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use model::{ClassName, Instance, Timestamp, Zone};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{ms, spec};
use crate::{
    Admission, AdmissionConfig, Arrival, ClassConfig, ClassIndex, Completion, Decision, GateReport,
    RequestProfile, RouteIndex, Selection, SelectionConfig, TargetResult, TargetSpec, Ticket,
    Timeliness, Verdict,
};

const SLOTS: usize = 9;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// The number of targets in each zone.
const TARGETS: [usize; 3] = [8, 9, 6];
/// The number of agents in each zone.
const AGENTS: [usize; 3] = [28, 25, 25];
/// The relative speeds of the targets, assigned in turn.
const SPEEDS: [f64; 4] = [0.5, 1.0, 1.0, 1.5];
/// The time for which a machine stays busy or idle.
const BUSY_PERIOD: Duration = Duration::from_millis(400);
/// The share of periods in which a machine is busy.
const BUSY_SHARE: f64 = 0.2;
/// The factor on service times while a machine is busy.
const BUSY_FACTOR: f64 = 3.0;
/// The network latency in each direction, also between zones.
const NETWORK_LATENCY: Duration = Duration::from_millis(1);
const SIMULATED: Duration = Duration::from_secs(20);
/// The time at the start for which results are not counted, because agents have no reports yet.
const WARM_UP: Duration = Duration::from_secs(4);

struct Kind {
    /// The request rate in each zone.
    requests_per_s: [f64; 3],
    mean_ms: f64,
    /// The standard deviation of the logarithm of the service time.
    log_deviation: f64,
    objective: Duration,
    timeout: Duration,
}

const KINDS: [Kind; 2] = [
    Kind {
        requests_per_s: [76.0, 61.0, 76.0],
        mean_ms: 300.0,
        log_deviation: 0.7,
        objective: Duration::from_millis(800),
        timeout: Duration::from_millis(1_500),
    },
    Kind {
        requests_per_s: [145.0, 116.0, 144.0],
        mean_ms: 30.0,
        log_deviation: 0.5,
        objective: Duration::from_millis(120),
        timeout: Duration::from_millis(400),
    },
];

#[derive(Debug, Default, Clone, PartialEq)]
struct Results {
    offered: [u32; 2],
    in_time: [u32; 2],
    refused: [u32; 2],
    cross_zone: u32,
    /// The total service time at each target, in seconds.
    slot_time_s: Vec<f64>,
}

impl Results {
    fn in_time_share(&self, kind: usize) -> f64 {
        f64::from(self.in_time[kind]) / f64::from(self.offered[kind])
    }

    /// Returns the share of slot time used at the busiest target.
    fn utilisation_max(&self) -> f64 {
        let available_s = (SIMULATED.as_secs_f64()) * SLOTS as f64;
        self.slot_time_s.iter().copied().fold(0.0, f64::max) / available_s
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives {
        agent: usize,
        kind: usize,
    },
    ReachesGate {
        request: usize,
    },
    Ends {
        target: usize,
        ticket: Ticket,
    },
    Tick {
        target: usize,
    },
    /// The reply arrives at the agent: an answer or a refusal.
    Reply {
        request: usize,
        is_answered: bool,
        report: Option<usize>,
    },
}

struct Request {
    agent: usize,
    kind: usize,
    target: usize,
    arrived: Timestamp,
    sent: Timestamp,
    tried: Vec<Instance>,
}

struct Simulation {
    rng: Pcg64Mcg,
    specs: Vec<TargetSpec>,
    gates: Vec<Admission>,
    agents: Vec<(Selection, Zone)>,
    busy_periods: Vec<Vec<bool>>,
    requests: Vec<Request>,
    requests_by_ticket: Vec<std::collections::HashMap<Ticket, usize>>,
    reports: Vec<GateReport>,
    events: BinaryHeap<Reverse<(Timestamp, Event)>>,
    results: Results,
}

fn admission() -> Admission {
    let class = |name: &str| ClassConfig {
        name: ClassName::new(name).unwrap(),
        weight: 1.0,
        initial_service_time: ms(10),
    };
    let config = AdmissionConfig {
        slots: SLOTS,
        queue_len_max: 256,
        queue_time_max: ms(3_000),
        slow_start: Duration::ZERO,
        service_time_deviations: 4.0,
        retry_after_min: ms(50),
        classes: vec![class("reads"), class("calls")],
    };
    Admission::new(config, Timestamp::ZERO)
}

impl Simulation {
    fn new(config: SelectionConfig, seed: u64) -> Simulation {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let zones = (0..ZONES.len()).flat_map(|it| vec![ZONES[it]; TARGETS[it]]);
        let specs: Vec<TargetSpec> = zones.zip(0..).map(|(zone, it)| spec(it, zone)).collect();
        let agents = (0..ZONES.len()).flat_map(|it| vec![ZONES[it]; AGENTS[it]]);
        let agents = agents.map(|zone| {
            let zone = Zone::new(zone).unwrap();
            let mut selection = Selection::new(config.clone(), zone.clone());
            selection.update(Timestamp::ZERO, &specs);
            (selection, zone)
        });
        let agents: Vec<_> = agents.collect();
        let steps = (SIMULATED.as_millis() / BUSY_PERIOD.as_millis()) as usize + 10;
        let busy_periods =
            specs.iter().map(|_| (0..steps).map(|_| rng.random_bool(BUSY_SHARE)).collect());
        let mut simulation = Simulation {
            busy_periods: busy_periods.collect(),
            gates: specs.iter().map(|_| admission()).collect(),
            requests_by_ticket: specs.iter().map(|_| Default::default()).collect(),
            results: Results { slot_time_s: vec![0.0; specs.len()], ..Results::default() },
            specs,
            agents,
            requests: Vec::new(),
            reports: Vec::new(),
            events: BinaryHeap::new(),
            rng,
        };
        simulation.add_arrivals();
        simulation
    }

    fn add_arrivals(&mut self) {
        for (kind, it) in KINDS.iter().enumerate() {
            let mut first_agent = 0;
            for (requests_per_s, agents) in it.requests_per_s.iter().zip(AGENTS) {
                let count = (requests_per_s * SIMULATED.as_secs_f64()) as usize;
                for _ in 0..count {
                    let at = SIMULATED.mul_f64(self.rng.random_range(0.0..1.0));
                    let agent = first_agent + self.rng.random_range(0..agents);
                    let event = Event::Arrives { agent, kind };
                    self.events.push(Reverse((Timestamp::ZERO + at, event)));
                }
                first_agent += agents;
            }
        }
    }

    /// Draws the service time of a request that starts at a target now.
    fn draw_service_time(&mut self, now: Timestamp, target: usize, kind: usize) -> Duration {
        let Kind { mean_ms, log_deviation, .. } = KINDS[kind];
        // Log-normal. The normal variable is approximated by the sum of twelve uniform ones.
        let normal: f64 = (0..12).map(|_| self.rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
        let work_ms =
            mean_ms * (log_deviation * normal - log_deviation * log_deviation / 2.0).exp();
        let mut work_left = Duration::from_secs_f64(work_ms / 1e3 / SPEEDS[target % SPEEDS.len()]);
        let mut at = now;
        loop {
            let step = (at.ns / BUSY_PERIOD.as_nanos() as u64) as usize;
            let is_busy = self.busy_periods[target].get(step).is_some_and(|it| *it);
            let factor = if is_busy { BUSY_FACTOR } else { 1.0 };
            let end = Timestamp { ns: (step as u64 + 1) * BUSY_PERIOD.as_nanos() as u64 };
            let period_left = end.since(at);
            let needed = work_left.mul_f64(factor);
            if needed <= period_left {
                return (at + needed).since(now);
            }
            work_left -= period_left.div_f64(factor);
            at = end;
        }
    }

    fn send(&mut self, now: Timestamp, request: usize) {
        let Request { agent, kind, ref tried, .. } = self.requests[request];
        let tried: Vec<_> = tried.iter().map(|it| it.name.clone()).collect();
        let (selection, zone) = &mut self.agents[agent];
        let objective = Some(KINDS[kind].objective);
        let profile = RequestProfile { kind: Some(kind as u8), objective };
        let Some(picked) = selection.pick(now, profile, &tried, &mut self.rng) else {
            self.results.refused[self.requests[request].kind] += 1;
            return;
        };
        let is_picked = |it: &TargetSpec| it.instance == picked.instance;
        let target = self.specs.iter().position(is_picked).unwrap();
        self.results.cross_zone += u32::from(self.specs[target].instance.zone != *zone);
        self.requests[request].target = target;
        self.requests[request].sent = now;
        self.events.push(Reverse((now + NETWORK_LATENCY, Event::ReachesGate { request })));
    }

    fn apply_decisions(&mut self, now: Timestamp, target: usize, decisions: &mut Vec<Decision>) {
        for Decision { ticket, verdict } in decisions.drain(..) {
            let request = self.requests_by_ticket[target][&ticket];
            match verdict {
                Verdict::Start => {
                    let service_time =
                        self.draw_service_time(now, target, self.requests[request].kind);
                    self.results.slot_time_s[target] += service_time.as_secs_f64();
                    self.events.push(Reverse((now + service_time, Event::Ends { target, ticket })));
                }
                Verdict::Shed { .. } | Verdict::Expired => self.reply(now, request, false),
            }
        }
        if let Some(at) = self.gates[target].next_wakeup(now) {
            self.events.push(Reverse((at.max(now), Event::Tick { target })));
        }
    }

    fn reply(&mut self, now: Timestamp, request: usize, is_answered: bool) {
        let Request { target, kind, .. } = self.requests[request];
        let gate = &self.gates[target];
        let route = Some(RouteIndex(kind));
        let report = GateReport {
            backlog: (gate.running() + gate.queued()) as u32,
            slots: gate.slots_at(now) as u32,
            service_time: gate.mean_service_time(),
            kind_service_time: gate
                .measured_service_time(ClassIndex(kind), route)
                .map(|it| (kind as u8, it)),
        };
        self.reports.push(report);
        let report = Some(self.reports.len() - 1);
        self.events
            .push(Reverse((now + NETWORK_LATENCY, Event::Reply { request, is_answered, report })));
    }

    fn step(&mut self, now: Timestamp, event: Event) {
        let mut decisions = Vec::new();
        match event {
            Event::Arrives { agent, kind } => {
                if now >= Timestamp::ZERO + WARM_UP {
                    self.results.offered[kind] += 1;
                }
                let tried = Vec::new();
                self.requests.push(Request {
                    agent,
                    kind,
                    target: 0,
                    arrived: now,
                    sent: now,
                    tried,
                });
                self.send(now, self.requests.len() - 1);
            }
            Event::ReachesGate { request } => {
                let Request { kind, target, arrived, .. } = self.requests[request];
                let deadline = arrived + KINDS[kind].objective.max(KINDS[kind].timeout / 2);
                let arrival = Arrival {
                    class: ClassIndex(kind),
                    route: Some(RouteIndex(kind)),
                    deadline,
                    timeliness: Timeliness::InTime,
                    is_express: false,
                    objective: None,
                };
                let ticket = self.gates[target].offer(now, arrival, &mut self.rng, &mut decisions);
                self.requests_by_ticket[target].insert(ticket, request);
                self.apply_decisions(now, target, &mut decisions);
            }
            Event::Ends { target, ticket } => {
                let request = self.requests_by_ticket[target][&ticket];
                let completion = Completion::Answered;
                self.gates[target].finish(now, ticket, completion, &mut self.rng, &mut decisions);
                self.reply(now, request, true);
                self.apply_decisions(now, target, &mut decisions);
            }
            Event::Tick { target } => {
                self.gates[target].tick(now, &mut self.rng, &mut decisions);
                self.apply_decisions(now, target, &mut decisions);
            }
            Event::Reply { request, is_answered, report } => {
                let Request { agent, kind, target, arrived, sent, .. } = self.requests[request];
                let instance = self.specs[target].instance.clone();
                let selection = &mut self.agents[agent].0;
                if let Some(report) = report {
                    selection.report(now, &instance, self.reports[report]);
                }
                let result = if is_answered { TargetResult::Answered } else { TargetResult::Shed };
                selection.finish(now, &instance, now.since(sent), result);
                if is_answered {
                    let is_counted = arrived >= Timestamp::ZERO + WARM_UP;
                    let in_time = now.since(arrived) <= KINDS[kind].objective;
                    self.results.in_time[kind] += u32::from(in_time && is_counted);
                    return;
                }
                self.requests[request].tried.push(instance);
                match now.since(arrived) < KINDS[kind].objective / 2 {
                    true => self.send(now, request),
                    false => self.results.refused[kind] += 1,
                }
            }
        }
    }

    fn simulate(mut self) -> Results {
        while let Some(Reverse((now, event))) = self.events.pop() {
            self.step(now, event);
        }
        self.results
    }
}

fn simulate(seed: u64) -> Results {
    let config = SelectionConfig { zone_penalty: ms(150), ..SelectionConfig::default() };
    Simulation::new(config, seed).simulate()
}

/// Guards against estimates by the mean service time over all kinds and by backlogs that are assumed to shrink
/// after a report. With these, the target with the most short requests looked fastest: it used 0.97 of its slots,
/// while 0.87 to 0.91 of the calls were answered in time and 0.05 refused. All targets together use 0.4 of their
/// slots.
#[test]
fn no_target_is_full_while_others_have_free_slots() {
    for seed in 1..4 {
        let results = simulate(seed);
        assert!(
            results.utilisation_max() < 0.85,
            "a target used {:.2} of its slots",
            results.utilisation_max()
        );
        assert!(
            results.in_time_share(0) > 0.92,
            "{:.3} of the reads in time",
            results.in_time_share(0)
        );
        assert!(
            results.in_time_share(1) > 0.93,
            "{:.3} of the calls in time",
            results.in_time_share(1)
        );
        let refused = f64::from(results.refused[1]) / f64::from(results.offered[1]);
        assert!(refused < 0.02, "{refused:.3} of the calls refused");
    }
}
