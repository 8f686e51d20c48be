//! Simulated instances, each with a node, a clock, a gate and an upstream.

use std::{
    collections::VecDeque,
    net::{IpAddr, Ipv4Addr, SocketAddr},
};

use model::{
    GroupId, Incarnation, Instance, InstanceName, KeyHash, ServiceName, Slot, Term, Timestamp,
    Token, Zone,
};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::{Input, Node, NodeConfig, Output, UpstreamState};

use super::{SimConfig, gate::Gate, upstream::UpstreamRequest};

/// Simulated instance; other modules refer to it by its index.
pub(super) struct Host {
    pub(super) instance: Instance,
    /// Node of the agent; `None` while the agent is down.
    pub(super) node: Option<Node>,
    /// Number of starts and crashes. Events that were scheduled for an earlier generation are dropped.
    pub(super) generation: u64,
    /// Reading of the host's clock at true time zero.
    clock_offset_ns: u64,
    /// Speed of the host's clock relative to true time.
    clock_rate: f64,
    pub(super) gate: Gate,
    /// Grants of earlier incarnations and sessions of the agent that the upstream still holds.
    pub(super) orphaned_grants: Vec<Gate>,
    /// Requests that the upstream has started. Ended ones are removed later.
    pub(super) requests: Vec<UpstreamRequest>,
    pub(super) upstream: UpstreamState,
    pub(super) is_paused: bool,
    /// Inputs received during a pause or while a step is using the processor.
    pub(super) queued_inputs: VecDeque<Input>,
    /// Outputs of the step in which the pause began, carried out after the pause.
    pub(super) held_outputs: Vec<Output>,
    /// Duration of a pause that starts in the next step with outputs, before they are carried out.
    pub(super) pause_next_step_ms: Option<u64>,
    /// A step is using the processor.
    pub(super) is_busy: bool,
    /// Time at which all messages sent so far have left the host.
    pub(super) link_busy_until: Timestamp,
    /// A graceful stop has been requested.
    pub(super) is_stopping: bool,
    /// The node has completed a graceful stop.
    pub(super) has_stopped: bool,
}

impl Host {
    pub(super) fn new(at: usize, config: &SimConfig, rng: &mut Pcg64Mcg) -> Host {
        let address = |port: u16| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let name = |text: String| InstanceName::new(&text).expect("valid instance name");
        let zone = at % config.zones.max(1);
        Host {
            instance: Instance {
                name: name(format!("host-{at}")),
                incarnation: Incarnation(0),
                zone: Zone::new(&format!("zone-{zone}")).expect("valid zone name"),
                control: address(1000 + at as u16),
                traffic: address(2000 + at as u16),
            },
            node: None,
            generation: 0,
            clock_offset_ns: rng.random_range(0..1_000_000_000_000),
            clock_rate: 1.0 + config.drift_max * rng.random_range(-1.0..=1.0),
            gate: Gate::default(),
            orphaned_grants: Vec::new(),
            requests: Vec::new(),
            upstream: UpstreamState::Starting,
            is_paused: false,
            queued_inputs: VecDeque::new(),
            held_outputs: Vec::new(),
            pause_next_step_ms: None,
            is_busy: false,
            link_busy_until: Timestamp::ZERO,
            is_stopping: false,
            has_stopped: false,
        }
    }

    /// Returns the reading of the host's monotonic clock at a true time.
    pub(super) fn clock(&self, now: Timestamp) -> Timestamp {
        Timestamp { ns: self.clock_offset_ns + (now.ns as f64 * self.clock_rate) as u64 }
    }

    /// Returns whether the agent is up and not paused.
    pub(super) fn is_running(&self) -> bool {
        self.node.is_some() && !self.is_paused
    }

    /// Returns whether the agent is up; it may be paused.
    pub(super) fn is_up(&self) -> bool {
        self.node.is_some()
    }

    /// Returns the term that the host's node coordinates, if any.
    pub(super) fn term(&self) -> Option<Term> {
        let view = self.node.as_ref()?.view();
        view.is_coordinator.then_some(view.term)
    }

    /// Returns whether the host's node holds a settled term.
    pub(super) fn is_settled(&self) -> bool {
        self.node.as_ref().is_some_and(|it| it.view().settled)
    }

    /// Starts the agent as a new incarnation, with an empty gate.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        incarnation: u64,
        seed: u64,
        peers: Vec<Instance>,
        config: &SimConfig,
    ) {
        self.instance.incarnation = Incarnation(incarnation);
        self.generation += 1;
        self.gate = Gate::default();
        self.upstream = UpstreamState::Ready;
        self.is_paused = false;
        self.queued_inputs.clear();
        self.held_outputs.clear();
        self.is_busy = false;
        self.is_stopping = false;
        self.has_stopped = false;
        let node = NodeConfig {
            instance: self.instance.clone(),
            service: ServiceName::new("service").expect("valid service name"),
            group: GroupId(0),
            slot_count: config.slot_count,
            keyed: config.keyed,
            designates_members: true,
            ordered: config.ordered,
            limits: config.limits.clone(),
            seed,
            peers,
        };
        self.node = Some(Node::new(node, self.clock(now)));
    }

    /// Crashes the agent. The upstream beside it continues with its grants and requests.
    pub(super) fn crash_agent(&mut self) {
        self.orphan_grants();
        let orphaned_grants = std::mem::take(&mut self.orphaned_grants);
        let requests = std::mem::take(&mut self.requests);
        self.crash();
        self.orphaned_grants = orphaned_grants;
        self.requests = requests;
    }

    /// Moves the grants of the gate to the orphaned grants, which an upstream that enforces leases continues to hold.
    pub(super) fn orphan_grants(&mut self) {
        let orphaned_grants = std::mem::take(&mut self.gate);
        self.orphaned_grants.push(orphaned_grants);
    }

    /// Removes the orphaned grants under tokens up to this one, which the upstream has released.
    pub(super) fn clear_orphaned_grants(&mut self, token: Token) {
        self.orphaned_grants.iter_mut().for_each(|it| it.clear(token));
    }

    /// Returns whether requests of a slot may be running on this host.
    pub(super) fn holds(&self, now: Timestamp, slot: Slot) -> bool {
        let clock = self.clock(now);
        let is_held = self.is_up() && self.gate.holds(clock, slot);
        is_held || self.orphaned_grants.iter().any(|it| it.holds(clock, slot))
    }

    /// Returns whether requests of a key in a slot may be running on this host.
    pub(super) fn holds_key(&self, now: Timestamp, slot: Slot, key_hash: KeyHash) -> bool {
        let clock = self.clock(now);
        let is_held = self.is_up() && self.gate.holds_key(clock, slot, key_hash);
        is_held || self.orphaned_grants.iter().any(|it| it.holds_key(clock, slot, key_hash))
    }

    /// Crashes the agent and the upstream beside it.
    pub(super) fn crash(&mut self) {
        self.orphaned_grants.clear();
        self.requests.clear();
        self.node = None;
        self.generation += 1;
        self.gate = Gate::default();
        self.is_paused = false;
        self.is_busy = false;
        self.queued_inputs.clear();
        self.held_outputs.clear();
    }
}
