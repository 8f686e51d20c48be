//! Requests at upstreams that enforce leases. They may continue when the agent is lost, and are aborted when the lease
//! under which they started ends.

use std::{ops::Range, time::Duration};

use model::{Slot, Timestamp, Token};
use rand::RngExt;

use crate::{
    Input,
    rules::{self, Rule},
};

use super::{ScheduledEvent, Sim, host::Host};

/// Interval at which upstreams may start requests.
const START_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which a gate checks whether the requests of a closing slot have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Probability that a request starts in an admitted slot, per [`START_INTERVAL`].
const START_PROBABILITY: f64 = 0.05;
/// Duration of a short request.
const SHORT_REQUEST_MS: Range<u64> = 2..100;
/// Duration of a long request.
const LONG_REQUEST_MS: Range<u64> = 100..2500;
/// Share of long requests.
const LONG_REQUEST_SHARE: f64 = 0.1;
/// Probability that a request ends when the connection to the agent is lost.
const ABORT_PROBABILITY: f64 = 0.5;

/// Request of a slot, started under one grant.
#[derive(Debug, Clone, Copy)]
pub(super) struct UpstreamRequest {
    slot: Slot,
    token: Token,
    /// End of the request in virtual time, unless the lease ends first.
    ends_at: Timestamp,
    /// End of the grant's lease on the clock of the host.
    lease_until: Timestamp,
}

impl Host {
    /// Returns whether the upstream has a request of the slot in flight.
    pub(super) fn has_request_in_flight(&self, now: Timestamp, slot: Slot) -> bool {
        let clock = self.clock(now);
        let is_in_flight = |it: &&UpstreamRequest| now < it.ends_at && clock < it.lease_until;
        self.requests.iter().filter(is_in_flight).any(|it| it.slot == slot)
    }

    /// Extends the lease of requests whose grant is renewed. The grant of a closing slot is not.
    pub(super) fn extend_request_leases(&mut self) {
        for request in &mut self.requests {
            let entry = self.gate.slots.get(&request.slot);
            if entry.is_some_and(|it| it.token == request.token && !it.is_closing) {
                request.lease_until = self.gate.lease_until;
            }
        }
    }

    /// Returns whether a reply of the gate has to wait for requests in flight. The reply to a clear does not wait for
    /// requests of earlier incarnations and sessions, since their connections have ended.
    fn must_wait_for_requests(&self, now: Timestamp, reply: &Input) -> bool {
        matches!(reply, Input::Closed { slot, .. } if self.has_request_in_flight(now, *slot))
    }
}

impl Sim {
    /// Starts requests in admitted slots of all hosts at random, and schedules the next round.
    pub(super) fn start_requests(&mut self) {
        for host in &mut self.hosts {
            let clock = host.clock(self.now);
            host.requests.retain(|it| self.now < it.ends_at && clock < it.lease_until);
            let slots = host.gate.slots.iter().filter(|_| host.node.is_some());
            let admitted = slots.filter(|it| host.gate.admits(clock, *it.0));
            for (slot, entry) in admitted {
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
                    token: entry.token,
                    ends_at: self.now + Duration::from_millis(duration_ms),
                    lease_until: host.gate.lease_until,
                });
            }
        }
        self.schedule(self.now + START_INTERVAL, ScheduledEvent::StartRequests);
    }

    /// Aborts each request of a host with probability [`ABORT_PROBABILITY`], because the agent is lost or closes its
    /// connections.
    pub(super) fn abort_requests_randomly(&mut self, host: usize) {
        let rng = &mut self.request_rng;
        self.hosts[host].requests.retain(|_| !rng.random_bool(ABORT_PROBABILITY));
    }

    /// Reschedules a reply of a gate that has to wait for requests in flight. Returns whether it did.
    pub(super) fn postpone_reply(&mut self, host: usize, reply: &Input) -> bool {
        if !self.hosts[host].must_wait_for_requests(self.now, reply)
            || !rules::is_enforced(Rule::WaitForRequestsInFlight)
        {
            return false;
        }
        let (generation, input) = (self.hosts[host].generation, Box::new(reply.clone()));
        self.schedule(
            self.now + POLL_INTERVAL,
            ScheduledEvent::LocalInput { host, generation, input },
        );
        true
    }
}
