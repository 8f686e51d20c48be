//! Simulation of a group of nodes in virtual time, without faults, that counts the costs of the
//! control of ownership.

use std::{
    collections::{BTreeMap, HashSet},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use model::{
    GroupId, Incarnation, Instance, InstanceName, KeyHash, ObjectVersion, ServiceName, Slot,
    SlotCount, Timestamp, Zone,
};
use nix::time::{ClockId, clock_gettime};
use ownership::{
    CallId, GateCommand, Input, KeyLoad, Limits, LoadReport, Message, Node, NodeConfig, Output,
    PlatformReply, PlatformRequest, SlotLoad, UpstreamState,
};

const TICK_INTERVAL: Duration = Duration::from_millis(20);
const LINK_DELAY: Duration = Duration::from_millis(1);
const PLATFORM_DELAY: Duration = Duration::from_millis(3);
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Load of an ordinary slot, in microseconds of upstream time a second.
const SLOT_LOAD_US_PER_S: u64 = 20_000;
/// Load of a hot key, in microseconds of upstream time a second.
const HOT_KEY_LOAD_US_PER_S: u64 = 200_000;
/// Largest numbers of slots and keys in one load report.
const REPORTED_SLOTS_MAX: usize = 64;
const REPORTED_KEYS_MAX: usize = 16;

use super::wire_size;

/// Size of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct GroupSize {
    pub(crate) members: usize,
    pub(crate) slots: u16,
    pub(crate) hot_keys: usize,
}

/// Costs of one node since the last reset.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct NodeCost {
    pub(crate) cpu: Duration,
    pub(crate) sent: u64,
    pub(crate) sent_bytes: u64,
    pub(crate) received: u64,
    pub(crate) received_bytes: u64,
    /// Processor time for encoding and decoding messages.
    pub(crate) codec_cpu: Duration,
    pub(crate) platform_calls: u64,
}

struct Host {
    instance: Instance,
    node: Node,
    slots: HashSet<Slot>,
    keys: HashSet<KeyHash>,
    cost: NodeCost,
}

enum Event {
    Tick(usize),
    Load(usize),
    Deliver { to: usize, from: usize, bytes: Vec<u8> },
    Input { to: usize, input: Box<Input> },
    Call { from: usize, call: CallId, request: Box<PlatformRequest> },
}

/// Objects in the platform's store, as JSON.
#[derive(Default)]
struct Store {
    revision: u64,
    coordinator: Option<(ObjectVersion, Bytes)>,
    plan: Option<(ObjectVersion, Bytes)>,
}

/// Simulated group.
pub(crate) struct Group {
    size: GroupSize,
    service: ServiceName,
    now: Timestamp,
    events: BTreeMap<(Timestamp, u64), Event>,
    next_event: u64,
    hosts: Vec<Host>,
    hot_keys: Vec<KeyHash>,
    store: Store,
    /// Processor time that two readings of the clock take, subtracted from measured times.
    clock_cost: Duration,
}

impl Group {
    pub(crate) fn new(size: GroupSize, seed: u64) -> Group {
        let now = Timestamp::from_ms(1_000);
        let hosts = (0..size.members).map(|it| Host::new(it, size, seed, now)).collect();
        let hot_keys = (0..size.hot_keys as u64)
            .map(|it| model::key_hash(&(seed ^ it).to_be_bytes()))
            .collect();
        let mut group = Group {
            size,
            service: ServiceName::new("standings").expect("a valid name"),
            now,
            events: BTreeMap::new(),
            next_event: 0,
            hosts,
            hot_keys,
            store: Store::default(),
            clock_cost: clock_cost(),
        };
        for host in 0..size.members {
            // The ticks of different nodes are spread evenly, as those of separate processes would be.
            let offset = TICK_INTERVAL.mul_f64(host as f64 / size.members as f64);
            group.schedule(offset, Event::Tick(host));
            group.schedule(offset + LOAD_REPORT_INTERVAL, Event::Load(host));
            let input = Box::new(Input::Upstream(UpstreamState::Ready));
            group.schedule(offset, Event::Input { to: host, input });
        }
        group
    }

    /// Runs the simulation for the given virtual time.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.events.first_entry().filter(|it| it.key().0 < end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    pub(crate) fn reset_costs(&mut self) {
        for host in &mut self.hosts {
            host.cost = NodeCost::default();
        }
    }

    pub(crate) fn coordinator(&self) -> Option<usize> {
        self.hosts.iter().position(|it| {
            let view = it.node.view();
            view.is_coordinator && view.settled
        })
    }

    pub(crate) fn cost(&self, host: usize) -> NodeCost {
        self.hosts[host].cost
    }

    /// Returns the number of slots that the gates admit.
    #[cfg(test)]
    pub(crate) fn granted_slots(&self) -> usize {
        self.hosts.iter().map(|it| it.slots.len()).sum()
    }

    /// Returns the number of hot keys that the gates admit by their own entries.
    pub(crate) fn granted_keys(&self) -> usize {
        self.hosts.iter().map(|it| it.keys.len()).sum()
    }

    /// Returns the size in bytes of the plan in the platform's store.
    pub(crate) fn plan_bytes(&self) -> usize {
        self.store.plan.as_ref().map_or(0, |(_, body)| body.len())
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now + after, self.next_event), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(host) => {
                self.schedule(TICK_INTERVAL, Event::Tick(host));
                self.step(host, Input::Tick);
            }
            Event::Load(host) => {
                self.schedule(LOAD_REPORT_INTERVAL, Event::Load(host));
                let report = self.load_report(host);
                self.step(host, Input::Load(report));
            }
            Event::Deliver { to, from, bytes } => self.receive(to, from, &bytes),
            Event::Input { to, input } => self.step(to, *input),
            Event::Call { from, call, request } => {
                let reply = self.store.answer(*request);
                let input = Box::new(Input::Platform { call, reply });
                self.schedule(PLATFORM_DELAY, Event::Input { to: from, input });
            }
        }
    }

    fn step(&mut self, host: usize, input: Input) {
        let mut out = Vec::new();
        let before = thread_cpu();
        self.hosts[host].node.step(self.now, input, &mut out);
        let spent = self.spent_since(before);
        self.hosts[host].cost.cpu += spent;
        for output in out {
            self.execute_output(host, output);
        }
    }

    fn execute_output(&mut self, host: usize, output: Output) {
        match output {
            Output::Send { to, message } | Output::SendToAddress { to, message } => {
                self.send(host, &to, message);
            }
            Output::Platform { call, request } => {
                self.hosts[host].cost.platform_calls += 1;
                let request = Box::new(request);
                self.schedule(PLATFORM_DELAY, Event::Call { from: host, call, request });
            }
            Output::Gate(command) => self.execute_gate_command(host, command),
            Output::Event(_) | Output::Stopped => {}
        }
    }

    fn send(&mut self, from: usize, to: &Instance, message: Message) {
        let before = thread_cpu();
        let bytes = wire_size::encode(&message, &self.service);
        let spent = self.spent_since(before);
        let cost = &mut self.hosts[from].cost;
        cost.codec_cpu += spent;
        cost.sent += 1;
        cost.sent_bytes += wire_size::bytes_on_wire(&bytes);
        if let Some(to) = self.hosts.iter().position(|it| it.instance == *to) {
            self.schedule(LINK_DELAY, Event::Deliver { to, from, bytes });
        }
    }

    fn receive(&mut self, to: usize, from: usize, bytes: &[u8]) {
        let before = thread_cpu();
        let message = wire_size::decode(bytes);
        let spent = self.spent_since(before);
        let cost = &mut self.hosts[to].cost;
        cost.codec_cpu += spent;
        cost.received += 1;
        cost.received_bytes += wire_size::bytes_on_wire(bytes);
        let from = self.hosts[from].instance.clone();
        self.step(to, Input::Message { from, message });
    }

    fn spent_since(&self, before: Duration) -> Duration {
        thread_cpu().saturating_sub(before).saturating_sub(self.clock_cost)
    }

    fn execute_gate_command(&mut self, host: usize, command: GateCommand) {
        let gate = &mut self.hosts[host];
        let done = match command {
            GateCommand::Lease { .. } | GateCommand::ExcludeKey { .. } => None,
            GateCommand::Prepare { slot, token } => Some(Input::Prepared { slot, token }),
            GateCommand::Clear { token } => Some(Input::Cleared { token }),
            GateCommand::Admit { slot, .. } => {
                gate.slots.insert(slot);
                None
            }
            GateCommand::AdmitKey { key_hash, .. } => {
                gate.keys.insert(key_hash);
                None
            }
            GateCommand::RemoveKey { key_hash } => {
                gate.keys.remove(&key_hash);
                None
            }
            GateCommand::Close { slot, token, .. } => {
                gate.slots.remove(&slot);
                Some(Input::Closed { slot, token })
            }
            GateCommand::CloseKey { key_hash, token, .. } => {
                gate.keys.remove(&key_hash);
                Some(Input::KeyClosed { key_hash, token })
            }
            GateCommand::DropAll => {
                gate.slots.clear();
                gate.keys.clear();
                None
            }
        };
        if let Some(input) = done {
            self.schedule(LINK_DELAY, Event::Input { to: host, input: Box::new(input) });
        }
    }

    fn load_report(&self, host: usize) -> LoadReport {
        let share = |us_per_s: u64| us_per_s * LOAD_REPORT_INTERVAL.as_millis() as u64 / 1_000;
        let host = &self.hosts[host];
        let slot_count = self.size.slot_count();
        let holds = |key: &&KeyHash| {
            host.keys.contains(*key) || host.slots.contains(&slot_count.slot_of(**key))
        };
        let keys = self
            .hot_keys
            .iter()
            .filter(holds)
            .map(|it| KeyLoad { key_hash: *it, load_us: share(HOT_KEY_LOAD_US_PER_S) });
        let keys: Vec<KeyLoad> = keys.take(REPORTED_KEYS_MAX).collect();
        let mut slots: Vec<Slot> = host.slots.iter().copied().collect();
        slots.sort_unstable();
        let total_us = share(SLOT_LOAD_US_PER_S) * slots.len() as u64
            + keys.iter().map(|it| it.load_us).sum::<u64>();
        let load = |slot: Slot| SlotLoad { slot, load_us: share(SLOT_LOAD_US_PER_S), in_flight: 1 };
        LoadReport {
            period_ms: LOAD_REPORT_INTERVAL.as_millis() as u32,
            total_us,
            slots: slots.into_iter().take(REPORTED_SLOTS_MAX).map(load).collect(),
            keys,
            capacity: None,
        }
    }
}

impl GroupSize {
    fn slot_count(self) -> SlotCount {
        SlotCount::new(self.slots).expect("all measured sizes have a valid number of slots")
    }
}

impl Host {
    fn new(index: usize, size: GroupSize, seed: u64, now: Timestamp) -> Host {
        let address = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let name = |text: String| InstanceName::new(&text).expect("a valid name");
        let instance = Instance {
            name: name(format!("standings-{index}")),
            incarnation: Incarnation(seed.wrapping_mul(31) + index as u64),
            zone: Zone::new(["porto-a", "braga-b", "gaia-c"][index % 3]).expect("a valid name"),
            control: address(20_000 + index as u16),
            traffic: address(30_000 + index as u16),
        };
        let config = NodeConfig {
            instance: instance.clone(),
            service: ServiceName::new("standings").expect("a valid name"),
            group: GroupId(0),
            slot_count: size.slot_count(),
            keyed: true,
            designates_members: true,
            ordered: false,
            limits: Limits::default(),
            seed: seed + index as u64,
            peers: Vec::new(),
        };
        Host {
            instance,
            node: Node::new(config, now),
            slots: HashSet::new(),
            keys: HashSet::new(),
            cost: NodeCost::default(),
        }
    }
}

impl Store {
    fn answer(&mut self, request: PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::ReadCoordinator => {
                let (version, object) = read(&self.coordinator);
                PlatformReply::Coordinator(version, object)
            }
            PlatformRequest::ReadPlan => {
                let (version, object) = read(&self.plan);
                PlatformReply::Plan(version, object)
            }
            PlatformRequest::UpdateCoordinator { expected, object } => {
                let body = serde_json::to_vec(&object).unwrap_or_default();
                update(&mut self.revision, &mut self.coordinator, expected, body)
            }
            PlatformRequest::UpdatePlan { expected, object } => {
                let body = serde_json::to_vec(&object).unwrap_or_default();
                update(&mut self.revision, &mut self.plan, expected, body)
            }
            // This store is never rolled back.
            PlatformRequest::DrawRound { .. } => PlatformReply::Conflict,
        }
    }
}

fn read<T: serde::de::DeserializeOwned>(
    stored: &Option<(ObjectVersion, Bytes)>,
) -> (ObjectVersion, Option<T>) {
    let version = stored.as_ref().map(|it| it.0).unwrap_or_default();
    (version, stored.as_ref().and_then(|it| serde_json::from_slice(&it.1).ok()))
}

fn update(
    revision: &mut u64,
    stored: &mut Option<(ObjectVersion, Bytes)>,
    expected: ObjectVersion,
    body: Vec<u8>,
) -> PlatformReply {
    let current = stored.as_ref().map_or(ObjectVersion(0), |it| it.0);
    if current != expected {
        return PlatformReply::Conflict;
    }
    *revision += 1;
    *stored = Some((ObjectVersion(*revision), Bytes::from(body)));
    PlatformReply::Updated(ObjectVersion(*revision))
}

/// Returns the processor time of this thread, which does not include that of other processes.
pub(super) fn thread_cpu() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

/// Measures the processor time between two readings of the clock, as the minimum of many samples.
fn clock_cost() -> Duration {
    (0..1_000)
        .map(|_| {
            let before = thread_cpu();
            thread_cpu().saturating_sub(before)
        })
        .min()
        .unwrap_or_default()
}
