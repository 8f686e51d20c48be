//! What upstreams that enforce leases are at work on. They go on with it without their agents, and end what
//! outlasts the lease under which it began.

use std::{ops::Range, time::Duration};

use model::{Slot, Timestamp, Token};
use rand::RngExt;

use crate::{
    Input,
    rules::{self, Rule},
};

use super::{ScheduledEvent, Sim, host::Host};

const START_INTERVAL: Duration = Duration::from_millis(10);
/// How often a gate asks whether what it waits for has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The chance of a slot to be worked on anew, each time.
const START_PROBABILITY: f64 = 0.05;
const SHORT_REQUEST_MS: Range<u64> = 2..100;
const LONG_REQUEST_MS: Range<u64> = 100..2500;
const LONG_REQUEST_SHARE: f64 = 0.1;
/// The share of runs that end with the connection of their agent.
const ABORT_SHARE: f64 = 0.5;

/// One run, which has begun under one grant.
#[derive(Debug, Clone, Copy)]
pub(super) struct UpstreamRequest {
    slot: Slot,
    token: Token,
    ends_at: Timestamp,
    /// The end of the grant's lease, on the clock of its host.
    lease_until: Timestamp,
}

impl Host {
    /// Whether its upstream has a run of this slot that has not ended.
    pub(super) fn has_request_in_flight(&self, now: Timestamp, slot: Slot) -> bool {
        let clock = self.clock(now);
        let is_in_flight = |it: &&UpstreamRequest| now < it.ends_at && clock < it.lease_until;
        self.requests.iter().filter(is_in_flight).any(|it| it.slot == slot)
    }

    /// A grant that is renewed is the same grant; one that is being given up is not renewed.
    pub(super) fn extend_request_leases(&mut self) {
        for request in &mut self.requests {
            let open = self.gate.slots.get(&request.slot);
            if open.is_some_and(|it| it.token == request.token && !it.is_closing) {
                request.lease_until = self.gate.lease_until;
            }
        }
    }

    /// Whether the upstream is still at work on what a gate waits for. The answer to a clear does not wait for
    /// what earlier lives and sessions began, since its connections have ended.
    fn must_wait_for_requests(&self, now: Timestamp, answer: &Input) -> bool {
        matches!(answer, Input::Closed { slot, .. } if self.has_request_in_flight(now, *slot))
    }
}

impl Sim {
    pub(super) fn start_requests(&mut self) {
        for host in &mut self.hosts {
            let clock = host.clock(self.now);
            host.requests.retain(|it| self.now < it.ends_at && clock < it.lease_until);
            let slots = host.gate.slots.iter().filter(|_| host.node.is_some());
            let admitted = slots.filter(|it| host.gate.admits(clock, *it.0));
            for (slot, open) in admitted {
                if !self.request_rng.random_bool(START_PROBABILITY) {
                    continue;
                }
                let is_long = self.request_rng.random_bool(LONG_REQUEST_SHARE);
                let duration_ms = self.request_rng.random_range(if is_long {
                    LONG_REQUEST_MS
                } else {
                    SHORT_REQUEST_MS
                });
                host.requests.push(UpstreamRequest {
                    slot: *slot,
                    token: open.token,
                    ends_at: self.now + Duration::from_millis(duration_ms),
                    lease_until: host.gate.lease_until,
                });
            }
        }
        self.schedule(self.now + START_INTERVAL, ScheduledEvent::StartRequests);
    }

    /// The agent is lost, or cuts off all that it has given the upstream: some of it goes on.
    pub(super) fn abort_some_requests(&mut self, host: usize) {
        let rng = &mut self.request_rng;
        self.hosts[host].requests.retain(|_| !rng.random_bool(ABORT_SHARE));
    }

    /// Whether an answer of a gate waits for work of the upstream; it is given later.
    pub(super) fn postpone_reply(&mut self, host: usize, answer: &Input) -> bool {
        if !self.hosts[host].must_wait_for_requests(self.now, answer)
            || !rules::is_enforced(Rule::WaitForRequestsInFlight)
        {
            return false;
        }
        let (generation, input) = (self.hosts[host].generation, Box::new(answer.clone()));
        self.schedule(
            self.now + POLL_INTERVAL,
            ScheduledEvent::LocalInput { host, generation, input },
        );
        true
    }
}
