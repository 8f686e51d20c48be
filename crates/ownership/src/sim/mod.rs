//! Deterministic simulation of many real [`crate::Node`]s in virtual time, with injected faults and with invariants
//! checked from outside of the nodes.
//!
//! Only the environment of the nodes is simulated, by small fakes: the links between nodes, the platform's two
//! objects, the gates, and upstreams with delays. A seed determines the whole run.

mod costs;
mod drive;
mod fault;
mod gate;
mod host;
mod invariants;
mod measure;
mod platform;
mod random;
mod speeds;
#[cfg(test)]
mod tests;
mod upstream;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{Instance, KeyHash, Slot, SlotCount, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    CallId, CapacityReport, Event, Input, Limits, Message, MoveReason, Output, PlatformReply,
    PlatformRequest,
};

pub use self::{
    costs::Machine,
    fault::Fault,
    invariants::Violation,
    measure::{LossKind, LossReport, measure_losses},
    random::{RandomRunConfig, Rollbacks, RunReport, logged_run, random_run},
};

use self::{host::Host, invariants::InvariantChecker, platform::Store};

/// Configuration of a simulation.
#[derive(Debug, Clone)]
pub struct SimConfig {
    pub seed: u64,
    pub hosts: usize,
    pub zones: usize,
    pub slot_count: SlotCount,
    pub keyed: bool,
    pub ordered: bool,
    pub limits: Limits,
    /// Largest relative deviation of a host's clock rate from true time, in both directions.
    pub drift_max: f64,
    /// Number of keys whose ownership is checked individually. [`Fault::KeyLoad`] can make them hot.
    pub tracked_keys: usize,
    /// Simulates requests at the upstreams. They may outlast the agent, as at upstreams that enforce leases.
    pub simulates_requests: bool,
    /// Processor and link capacity of each host. With `None`, steps take no time and bandwidth is unlimited.
    pub machine: Option<Machine>,
    /// Speed of the upstream of each host. If empty, all speeds are 1, and no capacities are reported.
    pub speeds: Vec<f64>,
}

impl SimConfig {
    /// Creates a configuration of seven hosts in three zones with eight slots.
    pub fn new(seed: u64) -> SimConfig {
        SimConfig {
            seed,
            hosts: 7,
            zones: 3,
            slot_count: SlotCount::new(8).expect("8 is a valid number of slots"),
            keyed: true,
            ordered: false,
            limits: Limits::default(),
            drift_max: 0.0,
            tracked_keys: 0,
            simulates_requests: false,
            machine: None,
            speeds: Vec::new(),
        }
    }
}

/// Faults of the links between hosts and of the platform that are in effect.
#[derive(Debug, Clone)]
pub(crate) struct Links {
    /// Share of messages that are lost, from 0 to 1.
    pub(crate) loss_share: f64,
    /// Share of messages that are delivered twice.
    pub(crate) duplicate_share: f64,
    /// Share of messages that are delayed by up to `late_delay_max` beyond the usual delay.
    pub(crate) late_share: f64,
    pub(crate) late_delay_max: Duration,
    /// Pairs of sender and receiver between which all messages are lost, in this direction only.
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    /// Hosts whose calls do not reach the platform.
    pub(crate) cut_from_platform: BTreeSet<usize>,
    pub(crate) is_platform_down: bool,
    /// Share of updates that take effect but whose reply is lost.
    pub(crate) lost_reply_share: f64,
    /// Share of updates that may take effect only after the caller's timeout.
    pub(crate) late_update_share: f64,
}

impl Default for Links {
    fn default() -> Links {
        Links {
            loss_share: 0.0,
            duplicate_share: 0.0,
            late_share: 0.0,
            late_delay_max: Duration::from_millis(500),
            cut_links: BTreeSet::new(),
            cut_from_platform: BTreeSet::new(),
            is_platform_down: false,
            lost_reply_share: 0.0,
            late_update_share: 0.0,
        }
    }
}

/// Time after which an unanswered platform call fails at its caller.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(250);
/// Initial load of each slot: a few requests in flight per host, so that the planner does not dismiss differences in
/// load as random fluctuation.
const SLOT_LOAD_US_PER_S: u64 = 500_000;
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Event scheduled for a point in virtual time. The `generation` of a host is the one at the time of scheduling: once
/// the host has crashed or restarted, its events are dropped. Calls still reach the platform, but get no reply.
#[derive(Debug)]
enum ScheduledEvent {
    Tick {
        host: usize,
        generation: u64,
    },
    Deliver {
        to: usize,
        generation: u64,
        from: Instance,
        message: Box<Message>,
    },
    /// A call reaches the platform; its reply is sent back only if `is_answered`.
    PlatformCallArrives {
        host: usize,
        generation: u64,
        call: CallId,
        request: Box<PlatformRequest>,
        is_answered: bool,
    },
    PlatformReplyArrives {
        host: usize,
        generation: u64,
        call: CallId,
        reply: Box<PlatformReply>,
    },
    /// The gate or the upstream of a host has completed a command.
    LocalInput {
        host: usize,
        generation: u64,
        input: Box<Input>,
    },
    /// Upstreams start new requests.
    StartRequests,
    /// The pause of a host ends.
    Resume {
        host: usize,
        generation: u64,
    },
    /// A step of a host has used its processor time, so that its outputs are carried out.
    StepCompleted {
        host: usize,
        generation: u64,
        out: Vec<Output>,
    },
    Fault(Fault),
}

/// Simulation of one group.
pub struct Sim {
    config: SimConfig,
    rng: Pcg64Mcg,
    /// Generator for requests at upstreams. It is separate so that they draw nothing from `rng`, and a seed gives the
    /// same run as before where no requests are simulated.
    request_rng: Pcg64Mcg,
    /// Virtual time.
    now: Timestamp,
    /// Scheduled events by time, and in the order of scheduling at the same time.
    queue: BTreeMap<(Timestamp, u64), ScheduledEvent>,
    /// Sequence number of the event scheduled last.
    next_sequence: u64,
    next_incarnation: u64,
    hosts: Vec<Host>,
    pub(crate) links: Links,
    store: Store,
    checker: InvariantChecker,
    /// Keys whose ownership is checked individually.
    keys: Vec<KeyHash>,
    /// Load of each slot without its keys in `key_loads`, in microseconds of upstream time per second.
    slot_loads: Vec<u64>,
    /// Load of each tracked key, in microseconds of upstream time per second.
    key_loads: BTreeMap<KeyHash, u64>,
    /// Capacities that hosts report instead of the measured ones.
    pub(crate) false_capacities: BTreeMap<usize, CapacityReport>,
    /// Hosts of an earlier version, which refuses renewals that carry a capacity.
    pub(crate) earlier_versions: BTreeSet<usize>,
    /// Hosts whose document numbers its routes in another way.
    changed_documents: BTreeSet<usize>,
    /// Log of commands, events and faults, if enabled.
    log: Option<Vec<String>>,
    /// Number of messages that hosts have sent, including lost ones.
    pub messages: u64,
    /// Longest processor time of a step so far; zero if steps take no time.
    pub longest_step: Duration,
}

impl Sim {
    /// Creates a simulation whose hosts have not started yet.
    pub fn new(config: SimConfig) -> Sim {
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let hosts = (0..config.hosts).map(|it| Host::new(it, &config, &mut rng)).collect();
        let keys = (0..config.tracked_keys).map(|_| KeyHash(rng.random())).collect();
        let slot_count = config.slot_count;
        let request_rng = Pcg64Mcg::seed_from_u64(config.seed ^ 0x3042);
        let mut sim = Sim {
            rng,
            request_rng,
            now: Timestamp::from_ms(1000),
            queue: BTreeMap::new(),
            next_sequence: 0,
            next_incarnation: 1,
            hosts,
            links: Links::default(),
            store: Store::default(),
            checker: InvariantChecker::new(slot_count),
            keys,
            slot_loads: vec![SLOT_LOAD_US_PER_S; usize::from(slot_count.count())],
            key_loads: BTreeMap::new(),
            false_capacities: BTreeMap::new(),
            earlier_versions: BTreeSet::new(),
            changed_documents: BTreeSet::new(),
            log: None,
            messages: 0,
            longest_step: Duration::ZERO,
            config,
        };
        if sim.config.simulates_requests {
            sim.schedule(sim.now, ScheduledEvent::StartRequests);
        }
        sim
    }

    /// Records log lines from now on.
    pub fn enable_log(&mut self) {
        self.log = Some(Vec::new());
    }

    /// Returns the recorded log lines.
    pub fn log(&self) -> &[String] {
        self.log.as_deref().unwrap_or_default()
    }

    pub fn now(&self) -> Timestamp {
        self.now
    }

    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the first violated invariant, if any.
    pub fn violation(&self) -> Option<&Violation> {
        self.checker.violation.as_ref()
    }

    /// Returns the view of a host's node, or `None` if the host is down.
    pub fn view(&self, host: usize) -> Option<crate::NodeView> {
        self.hosts[host].node.as_ref().map(crate::Node::view)
    }

    /// Changes the limits of all nodes, including those that start later.
    pub fn change_limits(&mut self, limits: Limits) {
        self.config.limits = limits.clone();
        for host in 0..self.hosts.len() {
            self.pass_input(host, Input::Limits(Box::new(limits.clone())));
        }
    }

    /// Returns the coordinator with the highest term, if any host is a coordinator.
    pub fn coordinator(&self) -> Option<usize> {
        let terms = self.hosts.iter().enumerate().filter_map(|(at, it)| Some((it.term()?, at)));
        terms.max().map(|it| it.1)
    }

    /// Returns the host whose gate admits new requests of the slot now.
    pub fn owner(&self, slot: Slot) -> Option<usize> {
        self.hosts.iter().position(|it| it.is_running() && it.gate.admits(it.clock(self.now), slot))
    }

    /// Returns the number of slots that no gate admits.
    pub fn unowned_slots(&self) -> usize {
        self.config.slot_count.iter().filter(|it| self.owner(*it).is_none()).count()
    }

    /// Returns the number of tracked keys that no gate admits.
    pub fn unowned_keys(&self) -> usize {
        let is_owned = |key: &KeyHash| {
            let slot = self.config.slot_count.slot_of(*key);
            self.hosts
                .iter()
                .any(|it| it.is_running() && it.gate.admits_key(it.clock(self.now), slot, *key))
        };
        self.keys.iter().filter(|it| !is_owned(it)).count()
    }

    /// Returns the slots that the host owns.
    pub fn owned_by(&self, host: usize) -> Vec<Slot> {
        self.config.slot_count.iter().filter(|it| self.owner(*it) == Some(host)).collect()
    }

    /// Returns whether the gate of a host has a lease, by the clock of that host.
    #[cfg(test)]
    pub(crate) fn has_lease(&self, host: usize) -> bool {
        let it = &self.hosts[host];
        it.clock(self.now) < it.gate.lease_until
    }

    /// Returns whether the host has completed a graceful stop and has not restarted since.
    pub fn has_stopped(&self, host: usize) -> bool {
        self.hosts[host].has_stopped
    }

    /// Returns the number of emitted events by variant name.
    pub fn events(&self) -> &BTreeMap<String, u64> {
        &self.checker.events
    }

    /// Returns the number of grants for rebalancing or because the previous owner was leaving.
    pub fn handovers(&self) -> u64 {
        self.checker.handovers
    }

    /// Returns the number of commands to admit a hot key by its own gate entry.
    pub fn key_grants(&self) -> u64 {
        self.checker.key_grants
    }

    /// Returns the number of individual keys with an entry of their own, over all gates.
    pub fn key_entries(&self) -> usize {
        self.hosts.iter().map(|it| it.gate.keys.len()).sum()
    }

    /// Returns whether any host holds a settled term.
    pub fn is_settled(&self) -> bool {
        self.hosts.iter().any(Host::is_settled)
    }

    /// Returns the coordinator object that the platform stores.
    pub fn coordinator_object(&self) -> Option<&crate::Coordinator> {
        self.store.coordinator()
    }

    /// Returns the number of calls that the platform has received.
    pub fn platform_calls(&self) -> u64 {
        self.store.calls
    }

    /// Returns the number of messages that hosts have sent.
    pub fn messages(&self) -> u64 {
        self.messages
    }

    /// Processes events for a period of virtual time; stops processing at a violation.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.checker.violation.is_none() {
            let Some(entry) = self.queue.first_entry().filter(|it| it.key().0 <= end) else {
                break;
            };
            let ((at, _), scheduled) = entry.remove_entry();
            self.now = at;
            self.process_event(scheduled);
        }
        self.now = end;
    }

    /// Advances in steps of 5 ms until the condition holds. Returns `false` if it does not within `max`.
    pub fn run_until(&mut self, max: Duration, condition: impl Fn(&Sim) -> bool) -> bool {
        let end = self.now + max;
        while self.now < end && self.checker.violation.is_none() {
            if condition(self) {
                return true;
            }
            self.run_for(Duration::from_millis(5));
        }
        condition(self)
    }

    fn schedule(&mut self, at: Timestamp, scheduled: ScheduledEvent) {
        self.next_sequence += 1;
        self.queue.insert((at, self.next_sequence), scheduled);
    }

    /// Schedules a fault after a delay.
    pub fn schedule_fault(&mut self, delay: Duration, fault: Fault) {
        self.schedule(self.now + delay, ScheduledEvent::Fault(fault));
    }

    /// Records a log line with the virtual time in milliseconds, if logging is enabled.
    fn log_line(&mut self, line: impl FnOnce() -> String) {
        let ms = self.now.ns / 1_000_000;
        if let Some(log) = &mut self.log {
            log.push(format!("{ms:>8} {}", line()));
        }
    }

    /// Logs an output that changes ownership; messages, reads and lease renewals are left out.
    fn log_output(&mut self, host: usize, output: &Output) {
        if self.log.is_none() {
            return;
        }
        match output {
            Output::Gate(crate::GateCommand::Lease { .. }) => {}
            Output::Gate(it) => self.log_line(|| format!("host {host} gate command {it:?}")),
            Output::Event(it) => self.log_line(|| format!("host {host} event {it:?}")),
            Output::Stopped => self.log_line(|| format!("host {host} stopped")),
            Output::Platform { request, .. } => match request {
                PlatformRequest::UpdateCoordinator { object, .. } => {
                    self.log_line(|| format!("host {host} writes coordinator {object:?}"));
                }
                PlatformRequest::UpdatePlan { object, .. } => {
                    let version = object.version;
                    self.log_line(|| format!("host {host} writes plan version {version}"));
                }
                _ => {}
            },
            Output::Send { .. } | Output::SendToAddress { .. } => {}
        }
    }

    /// Counts an event by its variant name.
    fn count_event(&mut self, event: &Event) {
        let text = format!("{event:?}");
        let variant = text.split(|it: char| !it.is_alphanumeric()).next().unwrap_or_default();
        let handover_reasons = [MoveReason::Rebalance, MoveReason::Leave];
        if matches!(event, Event::Granted { reason, .. } if handover_reasons.contains(reason)) {
            self.checker.handovers += 1;
        }
        *self.checker.events.entry(variant.to_owned()).or_default() += 1;
    }
}
