//! Simulates many agents that send requests to a few upstreams, which state limits, while the agents beside them restart.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use model::{InstanceName, RequestRate, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use traffic::RateLimit;
use upstream::StatedCondition;
use wire::traffic::GateLoad;

use super::{Statement, UpstreamCondition, at, incarnation};
use crate::forward::KnownConditions;

const UPSTREAMS: usize = 3;
const SLOTS: u32 = 12;
const REQUESTS_PER_S: f64 = 150.0;
const SIMULATED_MS: u64 = 60_000;
/// Requests count from this time on, since until then no agent may know of the limits.
const COUNTED_FROM_MS: u64 = 3_000;
/// Time from an answer that states the limit until requests of the agent that has passed it on count.
const TOLD_AFTER_MS: u64 = 500;
const WINDOW_MS: u64 = 4_000;

/// An upstream with the gate beside it.
struct Limited {
    name: InstanceName,
    condition: UpstreamCondition,
    rate_limit: RateLimit,
    running: u32,
    /// Number of the process of the agent. Answers to earlier processes are lost.
    process: u32,
    is_down: bool,
    limit_per_s: f64,
    /// Times of the requests that count towards the limit, in milliseconds.
    counted: Vec<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sends,
    Ends { upstream: usize, agent: usize, process: u32, sent_ms: u64 },
    Stops(usize),
    Starts(usize),
}

impl Limited {
    fn new(index: usize, limit_per_s: f64) -> Limited {
        Limited {
            name: InstanceName::new(&format!("a{index}")).unwrap(),
            condition: super::condition(),
            rate_limit: warm_rate_limit(0),
            running: 0,
            process: 0,
            is_down: false,
            limit_per_s,
            counted: Vec::new(),
        }
    }

    fn restart(&mut self, now_ms: u64) {
        self.condition = super::condition();
        self.rate_limit = warm_rate_limit(now_ms);
        self.running = 0;
        self.process += 1;
        self.is_down = false;
    }

    fn load(&self) -> GateLoad {
        let condition = self.condition.to_wire(&incarnation("i-1"));
        GateLoad { running: 0, queued: 0, slots: SLOTS, service_us: 0, kind_us: None, condition }
    }

    /// Returns the most counted requests in any window.
    fn most_in_window(&self) -> usize {
        let within = |from: &u64| {
            self.counted.iter().filter(|it| (*from..from + WINDOW_MS).contains(it)).count()
        };
        self.counted.iter().map(within).max().unwrap_or(0)
    }

    fn allowed(&self) -> usize {
        (self.limit_per_s * WINDOW_MS as f64 / 1_000.0 * 1.5) as usize + 5
    }
}

/// Returns the rate limit of a new process beside a warm upstream.
fn warm_rate_limit(now_ms: u64) -> RateLimit {
    let mut rate_limit = RateLimit::new(at(now_ms));
    rate_limit.set_cold_period(at(now_ms), Duration::ZERO);
    rate_limit
}

/// Runs the simulation. Agents send along what they know if `agents_share` is set.
fn simulate(agents: usize, seed: u64, agents_share: bool) -> Vec<Limited> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut upstreams: Vec<Limited> =
        (0..UPSTREAMS).map(|it| Limited::new(it, rng.random_range(1.0..5.0))).collect();
    let known: Vec<KnownConditions> = (0..agents).map(|_| KnownConditions::default()).collect();
    let mut told_ms = vec![[None::<u64>; UPSTREAMS]; agents];
    let mut events = BinaryHeap::new();
    for _ in 0..(REQUESTS_PER_S * SIMULATED_MS as f64 / 1_000.0) as u64 {
        events.push(Reverse((rng.random_range(0..SIMULATED_MS), Event::Sends)));
    }
    for upstream in 0..UPSTREAMS {
        let mut stop_ms = 0;
        while stop_ms < SIMULATED_MS {
            stop_ms += rng.random_range(500..6_000);
            let start_ms = stop_ms + rng.random_range(50..300);
            events.push(Reverse((stop_ms, Event::Stops(upstream))));
            events.push(Reverse((start_ms, Event::Starts(upstream))));
            stop_ms = start_ms;
        }
    }
    while let Some(Reverse((now_ms, event))) = events.pop() {
        let now = at(now_ms);
        match event {
            Event::Stops(upstream) => upstreams[upstream].is_down = true,
            Event::Starts(upstream) => upstreams[upstream].restart(now_ms),
            Event::Sends => {
                let (agent, upstream) =
                    (rng.random_range(0..agents), rng.random_range(0..UPSTREAMS));
                let target = &mut upstreams[upstream];
                let sent_along = known[agent].get(now, &target.name).filter(|_| agents_share);
                if target.is_down {
                    continue;
                }
                if let Some(it) = sent_along {
                    target.condition.adopt(now, &incarnation("i-1"), &it);
                    target.rate_limit.set_stated_rate(target.condition.limit());
                }
                if target.running >= SLOTS || target.rate_limit.next_start(now).is_some() {
                    continue;
                }
                target.rate_limit.start(now);
                target.running += 1;
                let is_told =
                    told_ms[agent][upstream].is_some_and(|it| it + TOLD_AFTER_MS <= now_ms);
                if is_told && now_ms >= COUNTED_FROM_MS {
                    target.counted.push(now_ms);
                }
                let (process, end_ms) = (target.process, now_ms + rng.random_range(100..600));
                let end = Event::Ends { upstream, agent, process, sent_ms: now_ms };
                events.push(Reverse((end_ms, end)));
            }
            Event::Ends { upstream, agent, process, sent_ms } => {
                let target = &mut upstreams[upstream];
                if target.is_down || process != target.process {
                    continue;
                }
                target.running -= 1;
                record_answer(target, at(sent_ms), now);
                known[agent].record(now, &target.name, at(sent_ms), &target.load());
                told_ms[agent][upstream].get_or_insert(now_ms);
            }
        }
    }
    upstreams
}

fn record_answer(target: &mut Limited, sent_at: Timestamp, received_at: Timestamp) {
    let limit = RequestRate::from_per_s(target.limit_per_s);
    target.condition.record(Statement {
        incarnation: &incarnation("i-1"),
        sent_at,
        received_at,
        condition: StatedCondition { limit, is_leaving: false },
        is_served: true,
    });
    target.rate_limit.set_stated_rate(target.condition.limit());
}

#[test]
fn limits_hold_over_many_agents_while_those_beside_the_upstreams_restart() {
    for agents in [10, 100, 1_000] {
        for seed in 0..10 {
            for it in simulate(agents, seed, true) {
                let most = it.most_in_window();
                assert!(most <= it.allowed(), "{agents} agents, seed {seed}: {most} requests");
            }
        }
    }
}

#[test]
fn limits_do_not_hold_if_agents_do_not_share_what_they_know() {
    let exceeded = (0..10).flat_map(|seed| simulate(10, seed, false));
    let exceeded = exceeded.filter(|it| it.most_in_window() > it.allowed()).count();
    assert!(exceeded > 0, "the simulation does not need what agents share");
}
