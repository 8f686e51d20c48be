//! A deterministic run of many real [`crate::Node`]s in virtual time, with faults, and a ground truth that
//! is checked from outside of them.
//!
//! Only the driver's side is modelled, as small fakes: the links between nodes, the platform's two
//! objects, gates that do what they are told, upstreams that take time. One seed gives one run.

mod costs;
mod drive;
mod fault;
mod gate;
mod host;
mod invariants;
mod measure;
mod platform;
mod random;
mod upstream;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{Instance, KeyHash, Slot, SlotCount, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    CallId, Event, Input, Limits, Message, MoveReason, Output, PlatformReply, PlatformRequest,
};

pub use self::{
    costs::Machine,
    fault::Fault,
    invariants::Violation,
    measure::{LossKind, LossReport, measure_losses},
    random::{RandomRunConfig, RunReport, logged_run, random_run},
};

use self::{host::Host, invariants::InvariantChecker, platform::Store};

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct SimConfig {
    pub seed: u64,
    pub hosts: usize,
    pub zones: usize,
    pub slot_count: SlotCount,
    pub keyed: bool,
    pub ordered: bool,
    pub limits: Limits,
    /// Clocks run at most this much too fast or too slow.
    pub drift: f64,
    /// Keys that the truth watches one by one; at times they are made hot.
    pub tracked_keys: usize,
    /// Upstreams are at work, and what they do may outlast their agents: where they enforce leases.
    pub simulates_requests: bool,
    /// What each host may use; none: steps take no time, and links have any width.
    pub machine: Option<Machine>,
}

impl SimConfig {
    /// Seven hosts in three zones and eight slots.
    pub fn new(seed: u64) -> SimConfig {
        SimConfig {
            seed,
            hosts: 7,
            zones: 3,
            slot_count: SlotCount::new(8).expect("8 is a number of slots"),
            keyed: true,
            ordered: false,
            limits: Limits::default(),
            drift: 0.0,
            tracked_keys: 0,
            simulates_requests: false,
            machine: None,
        }
    }
}

/// The state of the links and of the platform.
#[derive(Debug, Clone)]
pub(crate) struct Links {
    pub(crate) loss_share: f64,
    pub(crate) duplicate_share: f64,
    /// The share of messages that take up to `late_max`.
    pub(crate) late_share: f64,
    pub(crate) late_delay_max: Duration,
    /// Cut in this direction only.
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    pub(crate) cut_from_platform: BTreeSet<usize>,
    pub(crate) platform_down: bool,
    /// The share of updates whose answer is lost although they take effect.
    pub(crate) lost_reply_share: f64,
    /// The share of updates that take effect only after their caller has given up.
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
            platform_down: false,
            lost_reply_share: 0.0,
            late_update_share: 0.0,
        }
    }
}

/// How long a caller waits for the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(250);
/// A few requests in flight for each host, so that the planner takes the loads for no chance.
const SLOT_LOAD_US_PER_S: u64 = 500_000;
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Something that happens at a set time.
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
    /// A call reaches the platform; the answer is passed on only if `answered`.
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
    LocalInput {
        host: usize,
        generation: u64,
        input: Box<Input>,
    },
    StartRequests,
    Resume {
        host: usize,
        generation: u64,
    },
    /// A host has carried its step through.
    StepCompleted {
        host: usize,
        generation: u64,
        out: Vec<Output>,
    },
    Fault(Fault),
}

/// A run under way.
pub struct Sim {
    config: SimConfig,
    rng: Pcg64Mcg,
    /// Of its own, so that a seed without work gives the same run.
    request_rng: Pcg64Mcg,
    now: Timestamp,
    queue: BTreeMap<(Timestamp, u64), ScheduledEvent>,
    next_sequence: u64,
    next_incarnation: u64,
    hosts: Vec<Host>,
    pub(crate) links: Links,
    store: Store,
    checker: InvariantChecker,
    keys: Vec<KeyHash>,
    /// The load of each slot and watched key, in microseconds a second.
    slot_loads: Vec<u64>,
    key_loads: BTreeMap<KeyHash, u64>,
    /// Lines of what happened, if asked for.
    log: Option<Vec<String>>,
    /// Messages sent so far.
    pub messages: u64,
    /// The longest time that one step has kept a host, where steps take time.
    pub longest_step: Duration,
}

impl Sim {
    /// All hosts are there, but none has started.
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

    /// Keeps a line for each event from now on.
    pub fn enable_log(&mut self) {
        self.log = Some(Vec::new());
    }

    pub fn log(&self) -> &[String] {
        self.log.as_deref().unwrap_or_default()
    }

    pub fn now(&self) -> Timestamp {
        self.now
    }

    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// What was seen to be wrong, if anything.
    pub fn violation(&self) -> Option<&Violation> {
        self.checker.violation.as_ref()
    }

    /// What a host's node knows.
    pub fn view(&self, host: usize) -> Option<crate::NodeView> {
        self.hosts[host].node.as_ref().map(crate::Node::view)
    }

    /// Gives all nodes other limits.
    pub fn change_limits(&mut self, limits: Limits) {
        self.config.limits = limits.clone();
        for host in 0..self.hosts.len() {
            self.pass_input(host, Input::Limits(Box::new(limits.clone())));
        }
    }

    /// Who coordinates, in the latest term that any host holds.
    pub fn coordinator(&self) -> Option<usize> {
        let terms = self.hosts.iter().enumerate().filter_map(|(at, it)| Some((it.term()?, at)));
        terms.max().map(|it| it.1)
    }

    /// Whose gate admits a slot now.
    pub fn owner(&self, slot: Slot) -> Option<usize> {
        self.hosts.iter().position(|it| it.is_running() && it.gate.admits(it.clock(self.now), slot))
    }

    /// How many slots are admitted nowhere.
    pub fn unowned_slots(&self) -> usize {
        self.config.slot_count.iter().filter(|it| self.owner(*it).is_none()).count()
    }

    /// Watched keys that are admitted nowhere.
    pub fn unowned_keys(&self) -> usize {
        let owned = |key: &KeyHash| {
            let slot = self.config.slot_count.slot_of(*key);
            self.hosts
                .iter()
                .any(|it| it.is_running() && it.gate.admits_key(it.clock(self.now), slot, *key))
        };
        self.keys.iter().filter(|it| !owned(it)).count()
    }

    /// Slots that a host's gate admits.
    pub fn owned_by(&self, host: usize) -> Vec<Slot> {
        self.config.slot_count.iter().filter(|it| self.owner(*it) == Some(host)).collect()
    }

    pub fn has_stopped(&self, host: usize) -> bool {
        self.hosts[host].has_stopped
    }

    /// How often each kind of event was given, by the first word of its form.
    pub fn events(&self) -> &BTreeMap<String, u64> {
        &self.checker.events
    }

    /// Slots handed over in order.
    pub fn handovers(&self) -> u64 {
        self.checker.handovers
    }

    pub fn key_grants(&self) -> u64 {
        self.checker.key_grants
    }

    /// How many keys have entries of their own now.
    pub fn key_entries(&self) -> usize {
        self.hosts.iter().map(|it| it.gate.keys.len()).sum()
    }

    /// Whether some host holds a settled term.
    pub fn is_settled(&self) -> bool {
        self.hosts.iter().any(Host::is_settled)
    }

    /// The object as the platform has it.
    pub fn coordinator_object(&self) -> Option<&crate::Coordinator> {
        self.store.coordinator()
    }

    pub fn platform_calls(&self) -> u64 {
        self.store.calls
    }

    /// Lets virtual time pass; stops early at a violation.
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

    /// Passes time in steps until the condition holds; says whether it did in time.
    pub fn run_until(&mut self, max: Duration, done: impl Fn(&Sim) -> bool) -> bool {
        let end = self.now + max;
        while self.now < end && self.checker.violation.is_none() {
            if done(self) {
                return true;
            }
            self.run_for(Duration::from_millis(5));
        }
        done(self)
    }

    fn schedule(&mut self, at: Timestamp, scheduled: ScheduledEvent) {
        self.next_sequence += 1;
        self.queue.insert((at, self.next_sequence), scheduled);
    }

    /// Lets a fault happen after a delay.
    pub fn schedule_fault(&mut self, delay: Duration, fault: Fault) {
        self.schedule(self.now + delay, ScheduledEvent::Fault(fault));
    }

    fn log_line(&mut self, line: impl FnOnce() -> String) {
        let ms = self.now.ns / 1_000_000;
        if let Some(log) = &mut self.log {
            log.push(format!("{ms:>8} {}", line()));
        }
    }

    fn log_output(&mut self, host: usize, output: &Output) {
        if self.log.is_none() {
            return;
        }
        match output {
            Output::Gate(crate::GateCommand::Lease { .. }) => {}
            Output::Gate(it) => self.log_line(|| format!("host {host} gate {it:?}")),
            Output::Event(it) => self.log_line(|| format!("host {host} event {it:?}")),
            Output::Stopped => self.log_line(|| format!("host {host} stopped")),
            Output::Platform { request, .. } => match request {
                PlatformRequest::UpdateCoordinator { object, .. } => {
                    self.log_line(|| format!("host {host} updates {object:?}"));
                }
                PlatformRequest::UpdatePlan { object, .. } => {
                    let version = object.version;
                    self.log_line(|| format!("host {host} writes plan {version}"));
                }
                _ => {}
            },
            Output::Send { .. } | Output::SendToAddress { .. } => {}
        }
    }

    fn count_event(&mut self, event: &Event) {
        let form = format!("{event:?}");
        let word = form.split(|it: char| !it.is_alphanumeric()).next().unwrap_or_default();
        let handed_over = [MoveReason::Rebalance, MoveReason::Leave];
        if matches!(event, Event::Granted { reason, .. } if handed_over.contains(reason)) {
            self.checker.handovers += 1;
        }
        *self.checker.events.entry(word.to_owned()).or_default() += 1;
    }
}
