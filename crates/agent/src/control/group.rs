//! Runs the `ownership` node of the own service's group and executes its outputs.

use std::collections::VecDeque;

use logging::LineRateLimiter;
use model::{GroupId, Instance, ServiceName, Slot, Timestamp, Token};
use ownership::{
    Event, Input, MemberCapacity, Message, MoveReason, Node, NodeConfig, NodeView, Output,
};
use settings::{MoveStatus, ServiceDocument};
use wire::exchange::Envelope;

use crate::control::{
    state::{Parts, limits},
    status::unix_ms,
};

/// The number of recent moves that the status lists.
const MOVES_MAX: usize = 32;

/// Long-term rate limit of the log lines about capacities. A group of 256 members may weigh all of
/// them at once.
const CAPACITY_LINES_PER_S: f64 = 0.5;
const CAPACITY_BURST_LINES: f64 = 10.0;

/// The group's node, its last view, and the moves listed in the status.
pub(crate) struct Group {
    node: Node,
    own: Instance,
    service: ServiceName,
    pub(crate) id: GroupId,
    outputs: Vec<Output>,
    pub(crate) view: NodeView,
    /// The recent moves, the newest first.
    pub(crate) moves: VecDeque<MoveStatus>,
    /// Whether the node has stopped and holds no slots or leases.
    pub(crate) has_stopped: bool,
    /// Whether the coordinator has refused this instance because the group is full.
    pub(crate) is_refused: bool,
    /// Slot ranges granted by the current step, for the log.
    granted_ranges: Vec<GrantedRange>,
    capacity_lines: LineRateLimiter,
}

impl Group {
    /// Creates the node. `peers` are members that it asks for the coordinator if the platform does
    /// not answer.
    pub(crate) fn new(
        now: Timestamp,
        parts: &Parts,
        document: &ServiceDocument,
        id: GroupId,
        peers: Vec<Instance>,
    ) -> Group {
        let config = NodeConfig {
            instance: parts.own.clone(),
            service: document.service.clone(),
            group: id,
            slot_count: document.slot_count,
            keyed: document.keyed,
            designates_members: document.resends,
            ordered: document.ordered_keys.is_some(),
            limits: limits(document),
            seed: parts.seed,
            peers,
        };
        let node = Node::new(config, now);
        let view = node.view();
        Group {
            node,
            own: parts.own.clone(),
            service: document.service.clone(),
            id,
            outputs: Vec::new(),
            view,
            moves: VecDeque::new(),
            has_stopped: false,
            is_refused: false,
            granted_ranges: Vec::new(),
            capacity_lines: LineRateLimiter::new(CAPACITY_LINES_PER_S, CAPACITY_BURST_LINES),
        }
    }

    /// Returns whether this instance knows the members of the group and has not been refused by it.
    pub(crate) fn is_joined(&self) -> bool {
        !self.is_refused && !self.view.members.is_empty()
    }

    /// Returns the capacities of the members whose speeds are known, while this instance is the
    /// coordinator.
    pub(crate) fn capacities(&self) -> Vec<MemberCapacity> {
        self.node.capacities()
    }

    /// Passes one input to the node and executes its outputs in order. Returns whether the routes
    /// changed.
    pub(crate) fn step(&mut self, now: Timestamp, input: Input, parts: &Parts) -> bool {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.node.step(now, input, &mut outputs);
        let mut gate = Vec::new();
        for output in outputs.drain(..) {
            match output {
                Output::Gate(command) => gate.push(command),
                Output::Event(Event::MemberWeighed(_) | Event::CapacityOutOfRange { .. })
                    if self.capacity_lines.admit(now).is_none() => {}
                other => {
                    // Earlier gate commands take effect before any later output is sent to a peer.
                    parts.gate.apply(&gate);
                    gate.clear();
                    self.execute(other, parts);
                }
            }
        }
        parts.gate.apply(&gate);
        self.outputs = outputs;
        self.log_grants();
        self.refresh_view()
    }

    /// Updates the view from the node and returns whether the routes changed.
    fn refresh_view(&mut self) -> bool {
        let (route_version, term) = (self.view.route_version, self.view.term);
        self.node.refresh(&mut self.view);
        self.view.route_version != route_version || self.view.term != term
    }

    fn execute(&mut self, output: Output, parts: &Parts) {
        match output {
            Output::Send { to, message } => {
                parts.links.send(&to, self.envelope(&message).encode());
            }
            Output::SendToAddress { to, message } => {
                parts.links.send_to_address(to.control, self.envelope(&message).encode());
            }
            Output::Platform { call, request } => {
                parts.calls.start_node_call(&self.service, self.id, call, request);
            }
            Output::Gate(_) => unreachable!("the caller applies gate commands itself"),
            Output::Event(event) => self.record_event(event),
            Output::Stopped => self.has_stopped = true,
        }
    }

    fn envelope(&self, message: &Message) -> Envelope {
        let payload = wire::control::encode(message);
        Envelope::Group { service: self.service.clone(), group: self.id, payload }
    }

    /// Logs an event. Grants are collected, for the log and for the moves in the status.
    fn record_event(&mut self, event: Event) {
        log_event(&event);
        match &event {
            Event::JoinRefused { member } if *member == self.own => {
                if !std::mem::replace(&mut self.is_refused, true) {
                    log::info!(target: "ownership", "Group {} has the maximum number of members and has refused this instance.", self.id);
                }
            }
            Event::SessionOpened => self.is_refused = false,
            _ => {}
        }
        let Event::Granted { slot, token, to, reason } = event else { return };
        match self.granted_ranges.last_mut() {
            Some(range) if range.is_extended_by(slot, token, &to, reason) => range.last = slot,
            _ => self.granted_ranges.push(GrantedRange {
                first: slot,
                last: slot,
                token,
                to: to.clone(),
                reason,
            }),
        }
        self.moves.push_front(MoveStatus {
            slot,
            token,
            to: to.name,
            reason: reason_name(reason).to_owned(),
            at_unix_ms: unix_ms(),
        });
        self.moves.truncate(MOVES_MAX);
    }

    /// Logs one line per range of consecutive slots, since one step can grant a thousand slots.
    fn log_grants(&mut self) {
        for GrantedRange { first, last, token, to, reason } in self.granted_ranges.drain(..) {
            let reason = reason_name(reason);
            log::info!(target: "ownership", "Granted slots {first}-{last} to {to}, token {token}, reason: {reason}.");
        }
    }
}

/// Consecutive slots granted in one step to the same instance, with the same token and reason.
struct GrantedRange {
    first: Slot,
    last: Slot,
    token: Token,
    to: Instance,
    reason: MoveReason,
}

impl GrantedRange {
    /// Returns whether a grant of `slot` continues this range.
    fn is_extended_by(&self, slot: Slot, token: Token, to: &Instance, reason: MoveReason) -> bool {
        self.last.0 + 1 == slot.0 && self.token == token && self.to == *to && self.reason == reason
    }
}

fn log_event(event: &Event) {
    match event {
        Event::BecameCoordinator { term } => {
            log::info!(target: "ownership", "This instance is now the coordinator, term {term}.");
        }
        Event::LostCoordination { term } => {
            log::warn!(target: "ownership", "This instance is no longer the coordinator, term {term}.");
        }
        Event::SessionOpened => {
            log::info!(target: "ownership", "Opened a session with the coordinator.")
        }
        Event::SessionEnded { reason } => {
            log::warn!(target: "ownership", "The session with the coordinator ended: {reason}.");
        }
        Event::MemberJoined { member } => {
            log::info!(target: "ownership", "Member {member} joined the group.")
        }
        Event::MemberLost { member } => log::warn!(target: "ownership", "Member {member} is lost."),
        // Repeated for as long as the group is full; the refused instance logs the first one.
        Event::JoinRefused { member } => {
            log::debug!(target: "ownership", "Refused {member}: the group has the maximum number of members.");
        }
        Event::ConfirmationChanged { confirmation, witnesses } => {
            log::info!(target: "ownership", "The term is now confirmed by {confirmation:?} with {witnesses} witnesses.");
        }
        Event::Settled { term } => {
            log::info!(target: "ownership", "Term {term} is settled: no earlier term can renew or grant leases.")
        }
        Event::Granted { .. } => {}
        Event::MemberWeighed(it) => {
            let MemberCapacity { member, slots, speed, weight } = it;
            log::info!(target: "ownership", "Planned {weight:.1} of the mean load for {member}: it runs {slots:.1} requests at a time, at {speed:.2} of the median speed.");
        }
        Event::CapacityOutOfRange { member } => {
            log::warn!(target: "ownership", "Member {member} reported a capacity that is out of range; it counts as the bound.");
        }
        Event::PlanWritten { version } => {
            log::info!(target: "ownership", "Wrote version {version} of the plan to the platform.");
        }
    }
}

fn reason_name(reason: MoveReason) -> &'static str {
    match reason {
        MoveReason::First => "first",
        MoveReason::Loss => "loss",
        MoveReason::Leave => "leave",
        MoveReason::Rebalance => "rebalance",
    }
}
