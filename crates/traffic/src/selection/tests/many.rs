//! Many agents that choose among the same targets by what the gates of these report: targets of unequal speed,
//! in zones of unequal size, whose machines are busy with other work now and then; two kinds of requests of which
//! one takes ten times as long as the other.

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
/// Targets of each zone, and the requests of each kind that come to its agents in a second.
const TARGETS: [usize; 3] = [8, 9, 6];
const AGENTS: [usize; 3] = [28, 25, 25];
const SPEEDS: [f64; 4] = [0.5, 1.0, 1.0, 1.5];
/// How long a machine is as busy as it is, how often it is, and how much slower its target is then.
const BUSY_FOR: Duration = Duration::from_millis(400);
const BUSY_SHARE: f64 = 0.2;
const BUSY_FACTOR: f64 = 3.0;
const WAY: Duration = Duration::from_millis(1);
const PLAYED: Duration = Duration::from_secs(20);
/// Nothing is counted before: all is new to all.
const WARM_UP: Duration = Duration::from_secs(4);

struct Kind {
    per_s: [f64; 3],
    mean_ms: f64,
    /// Of the logarithm.
    spread: f64,
    objective: Duration,
    timeout: Duration,
}

const KINDS: [Kind; 2] = [
    Kind {
        per_s: [76.0, 61.0, 76.0],
        mean_ms: 300.0,
        spread: 0.7,
        objective: Duration::from_millis(800),
        timeout: Duration::from_millis(1_500),
    },
    Kind {
        per_s: [145.0, 116.0, 144.0],
        mean_ms: 30.0,
        spread: 0.5,
        objective: Duration::from_millis(120),
        timeout: Duration::from_millis(400),
    },
];

#[derive(Debug, Default, Clone, PartialEq)]
struct Seen {
    asked: [u32; 2],
    in_time: [u32; 2],
    refused: [u32; 2],
    crossed: u32,
    /// Slot seconds used at each target.
    used_s: Vec<f64>,
}

impl Seen {
    fn in_time_share(&self, kind: usize) -> f64 {
        f64::from(self.in_time[kind]) / f64::from(self.asked[kind])
    }

    /// The busiest target's use of its slots.
    fn use_max(&self) -> f64 {
        let s = (PLAYED.as_secs_f64()) * SLOTS as f64;
        self.used_s.iter().copied().fold(0.0, f64::max) / s
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Comes {
        agent: usize,
        kind: usize,
    },
    Reaches {
        request: usize,
    },
    Ends {
        target: usize,
        ticket: Ticket,
    },
    Tick {
        target: usize,
    },
    /// The reply is back at the agent: answered, or refused.
    Back {
        request: usize,
        answered: bool,
        report: Option<usize>,
    },
}

struct Request {
    agent: usize,
    kind: usize,
    target: usize,
    came: Timestamp,
    sent: Timestamp,
    tried: Vec<Instance>,
}

struct World {
    rng: Pcg64Mcg,
    specs: Vec<TargetSpec>,
    gates: Vec<Admission>,
    agents: Vec<(Selection, Zone)>,
    busy: Vec<Vec<bool>>,
    requests: Vec<Request>,
    tickets: Vec<std::collections::HashMap<Ticket, usize>>,
    reports: Vec<GateReport>,
    events: BinaryHeap<Reverse<(Timestamp, Event)>>,
    seen: Seen,
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

impl World {
    fn new(config: SelectionConfig, seed: u64) -> World {
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
        let steps = (PLAYED.as_millis() / BUSY_FOR.as_millis()) as usize + 10;
        let busy = specs.iter().map(|_| (0..steps).map(|_| rng.random_bool(BUSY_SHARE)).collect());
        let mut world = World {
            busy: busy.collect(),
            gates: specs.iter().map(|_| admission()).collect(),
            tickets: specs.iter().map(|_| Default::default()).collect(),
            seen: Seen { used_s: vec![0.0; specs.len()], ..Seen::default() },
            specs,
            agents,
            requests: Vec::new(),
            reports: Vec::new(),
            events: BinaryHeap::new(),
            rng,
        };
        world.arrivals();
        world
    }

    fn arrivals(&mut self) {
        for (kind, it) in KINDS.iter().enumerate() {
            let mut first_agent = 0;
            for (per_s, agents) in it.per_s.iter().zip(AGENTS) {
                let count = (per_s * PLAYED.as_secs_f64()) as usize;
                for _ in 0..count {
                    let at = PLAYED.mul_f64(self.rng.random_range(0.0..1.0));
                    let agent = first_agent + self.rng.random_range(0..agents);
                    let event = Event::Comes { agent, kind };
                    self.events.push(Reverse((Timestamp::ZERO + at, event)));
                }
                first_agent += agents;
            }
        }
    }

    /// What a request takes at a target that it starts at now.
    fn service(&mut self, now: Timestamp, target: usize, kind: usize) -> Duration {
        let Kind { mean_ms, spread, .. } = KINDS[kind];
        // Of a logarithmic normal distribution, from twelve equal ones.
        let normal: f64 = (0..12).map(|_| self.rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
        let work_ms = mean_ms * (spread * normal - spread * spread / 2.0).exp();
        let mut left = Duration::from_secs_f64(work_ms / 1e3 / SPEEDS[target % SPEEDS.len()]);
        let mut at = now;
        loop {
            let step = (at.ns / BUSY_FOR.as_nanos() as u64) as usize;
            let is_busy = self.busy[target].get(step).is_some_and(|it| *it);
            let factor = if is_busy { BUSY_FACTOR } else { 1.0 };
            let end = Timestamp { ns: (step as u64 + 1) * BUSY_FOR.as_nanos() as u64 };
            let room = end.since(at);
            let needed = left.mul_f64(factor);
            if needed <= room {
                return (at + needed).since(now);
            }
            left -= room.div_f64(factor);
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
            self.seen.refused[self.requests[request].kind] += 1;
            return;
        };
        let is_it = |it: &TargetSpec| it.instance == picked.instance;
        let target = self.specs.iter().position(is_it).unwrap();
        self.seen.crossed += u32::from(self.specs[target].instance.zone != *zone);
        self.requests[request].target = target;
        self.requests[request].sent = now;
        self.events.push(Reverse((now + WAY, Event::Reaches { request })));
    }

    fn verdicts(&mut self, now: Timestamp, target: usize, out: &mut Vec<Decision>) {
        for Decision { ticket, verdict } in out.drain(..) {
            let request = self.tickets[target][&ticket];
            match verdict {
                Verdict::Start => {
                    let service = self.service(now, target, self.requests[request].kind);
                    self.seen.used_s[target] += service.as_secs_f64();
                    self.events.push(Reverse((now + service, Event::Ends { target, ticket })));
                }
                Verdict::Shed { .. } | Verdict::Expired => self.reply(now, request, false),
            }
        }
        if let Some(at) = self.gates[target].next_wakeup(now) {
            self.events.push(Reverse((at.max(now), Event::Tick { target })));
        }
    }

    fn reply(&mut self, now: Timestamp, request: usize, answered: bool) {
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
        self.events.push(Reverse((now + WAY, Event::Back { request, answered, report })));
    }

    fn step(&mut self, now: Timestamp, event: Event) {
        let mut out = Vec::new();
        match event {
            Event::Comes { agent, kind } => {
                if now >= Timestamp::ZERO + WARM_UP {
                    self.seen.asked[kind] += 1;
                }
                let tried = Vec::new();
                self.requests.push(Request { agent, kind, target: 0, came: now, sent: now, tried });
                self.send(now, self.requests.len() - 1);
            }
            Event::Reaches { request } => {
                let Request { kind, target, came, .. } = self.requests[request];
                let deadline = came + KINDS[kind].objective.max(KINDS[kind].timeout / 2);
                let arrival = Arrival {
                    class: ClassIndex(kind),
                    route: Some(RouteIndex(kind)),
                    deadline,
                    timeliness: Timeliness::InTime,
                };
                let ticket = self.gates[target].offer(now, arrival, &mut self.rng, &mut out);
                self.tickets[target].insert(ticket, request);
                self.verdicts(now, target, &mut out);
            }
            Event::Ends { target, ticket } => {
                let request = self.tickets[target][&ticket];
                let completion = Completion::Answered;
                self.gates[target].finish(now, ticket, completion, &mut self.rng, &mut out);
                self.reply(now, request, true);
                self.verdicts(now, target, &mut out);
            }
            Event::Tick { target } => {
                self.gates[target].tick(now, &mut self.rng, &mut out);
                self.verdicts(now, target, &mut out);
            }
            Event::Back { request, answered, report } => {
                let Request { agent, kind, target, came, sent, .. } = self.requests[request];
                let instance = self.specs[target].instance.clone();
                let selection = &mut self.agents[agent].0;
                if let Some(report) = report {
                    selection.report(now, &instance, self.reports[report]);
                }
                let result = if answered { TargetResult::Answered } else { TargetResult::Shed };
                selection.finish(now, &instance, now.since(sent), result);
                if answered {
                    let is_counted = came >= Timestamp::ZERO + WARM_UP;
                    let in_time = now.since(came) <= KINDS[kind].objective;
                    self.seen.in_time[kind] += u32::from(in_time && is_counted);
                    return;
                }
                self.requests[request].tried.push(instance);
                match now.since(came) < KINDS[kind].objective / 2 {
                    true => self.send(now, request),
                    false => self.seen.refused[kind] += 1,
                }
            }
        }
    }

    fn play(mut self) -> Seen {
        while let Some(Reverse((now, event))) = self.events.pop() {
            self.step(now, event);
        }
        self.seen
    }
}

fn play(seed: u64) -> Seen {
    let config = SelectionConfig { zone_penalty: ms(150), ..SelectionConfig::default() };
    World::new(config, seed).play()
}

/// By the mean of all kinds alone, and with backlogs that were taken to be worked off, the target that was
/// asked for most short requests looked fastest: it used 0.97 of its slots, and 0.87 to 0.91 of the calls were
/// answered in time, 0.05 refused. The targets together are used to 0.4.
#[test]
fn no_target_is_full_while_others_idle() {
    for seed in 1..4 {
        let seen = play(seed);
        assert!(seen.use_max() < 0.85, "a target used {:.2} of its slots", seen.use_max());
        assert!(seen.in_time_share(0) > 0.92, "{:.3} of the reads in time", seen.in_time_share(0));
        assert!(seen.in_time_share(1) > 0.93, "{:.3} of the calls in time", seen.in_time_share(1));
        let refused = f64::from(seen.refused[1]) / f64::from(seen.asked[1]);
        assert!(refused < 0.02, "{refused:.3} of the calls refused");
    }
}
