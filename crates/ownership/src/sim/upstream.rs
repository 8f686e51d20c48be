//! What upstreams that enforce leases are at work on. They go on with it without their agents, and end what
//! outlasts the lease under which it began.

use std::{ops::Range, time::Duration};

use model::{Slot, Timestamp, Token};
use rand::RngExt;

use crate::{
    Input,
    rules::{self, Rule},
};

use super::{Happening, Sim, host::Host};

const BEGIN_EVERY: Duration = Duration::from_millis(10);
/// How often a gate asks whether what it waits for has ended.
const ASK_EVERY: Duration = Duration::from_millis(5);
/// The chance of a slot to be worked on anew, each time.
const BEGIN_SHARE: f64 = 0.05;
const SHORT_MS: Range<u64> = 2..100;
const LONG_MS: Range<u64> = 100..2500;
const LONG_SHARE: f64 = 0.1;
/// The share of runs that end with the connection of their agent.
const CUT_SHARE: f64 = 0.5;

/// One run, which has begun under one grant.
#[derive(Debug, Clone, Copy)]
pub(super) struct Run {
    slot: Slot,
    token: Token,
    ends_at: Timestamp,
    /// The end of the grant's lease, on the clock of its host.
    lease_until: Timestamp,
}

impl Host {
    /// Whether its upstream has a run of this slot that has not ended.
    pub(super) fn works_on(&self, now: Timestamp, slot: Slot) -> bool {
        let clock = self.clock(now);
        let goes_on = |it: &&Run| now < it.ends_at && clock < it.lease_until;
        self.runs.iter().filter(goes_on).any(|it| it.slot == slot)
    }

    /// A grant that is renewed is the same grant; one that is being given up is not renewed.
    pub(super) fn renew_runs(&mut self) {
        for run in &mut self.runs {
            let open = self.gate.slots.get(&run.slot);
            if open.is_some_and(|it| it.token == run.token && !it.closing) {
                run.lease_until = self.gate.lease_until;
            }
        }
    }

    /// Whether the upstream is still at work on what a gate waits for. The answer to a clear does not wait for
    /// what earlier lives and sessions began, since its connections have ended.
    fn delays(&self, now: Timestamp, answer: &Input) -> bool {
        matches!(answer, Input::Closed { slot, .. } if self.works_on(now, *slot))
    }
}

impl Sim {
    pub(super) fn begin_work(&mut self) {
        for host in &mut self.hosts {
            let clock = host.clock(self.now);
            host.runs.retain(|it| self.now < it.ends_at && clock < it.lease_until);
            let slots = host.gate.slots.iter().filter(|_| host.node.is_some());
            let admitted = slots.filter(|it| host.gate.admits(clock, *it.0));
            for (slot, open) in admitted {
                if !self.work_rng.random_bool(BEGIN_SHARE) {
                    continue;
                }
                let is_long = self.work_rng.random_bool(LONG_SHARE);
                let takes = self.work_rng.random_range(if is_long { LONG_MS } else { SHORT_MS });
                host.runs.push(Run {
                    slot: *slot,
                    token: open.token,
                    ends_at: self.now + Duration::from_millis(takes),
                    lease_until: host.gate.lease_until,
                });
            }
        }
        self.schedule(self.now + BEGIN_EVERY, Happening::BeginWork);
    }

    /// The agent is lost, or cuts off all that it has given the upstream: some of it goes on.
    pub(super) fn cut_work(&mut self, host: usize) {
        let rng = &mut self.work_rng;
        self.hosts[host].runs.retain(|_| !rng.random_bool(CUT_SHARE));
    }

    /// Whether an answer of a gate waits for work of the upstream; it is given later.
    pub(super) fn is_delayed(&mut self, host: usize, answer: &Input) -> bool {
        if !self.hosts[host].delays(self.now, answer)
            || !rules::is_enforced(Rule::WaitForRequestsInFlight)
        {
            return false;
        }
        let (life, input) = (self.hosts[host].life, Box::new(answer.clone()));
        self.schedule(self.now + ASK_EVERY, Happening::Local { host, life, input });
        true
    }
}
