//! Faults of hosts, links and the platform.

use std::time::Duration;

use model::Timestamp;
use rand::RngExt;

use crate::{Input, UpstreamState};

use super::{Links, ScheduledEvent, Sim};

/// Fault, its repair, or another change in the environment of the nodes. Hosts are given by index.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Starts a host that is down, as a new incarnation.
    Start(usize),
    /// Crashes the agent and the upstream of a host.
    Crash(usize),
    /// Crashes the agent of a host. The upstream continues, and keeps its grants for the rest of the lease.
    CrashAgent(usize),
    /// Pauses the agent of a host at once: it gets no processor time.
    Pause {
        host: usize,
        duration_ms: u64,
    },
    /// Pauses the agent of a host in its next step with outputs, before they are carried out.
    PauseInStep {
        host: usize,
        duration_ms: u64,
    },
    /// Starts a graceful stop of a host.
    Stop(usize),
    /// Changes the state that the upstream of a host reports.
    Upstream {
        host: usize,
        state: UpstreamState,
    },
    /// Drops messages from one host to the other, in this direction only.
    CutLink {
        from: usize,
        to: usize,
    },
    /// Drops messages between these hosts and all others, in both directions.
    Isolate(Vec<usize>),
    /// Drops all messages that a host sends.
    DropOutgoing(usize),
    /// Drops all messages that are sent to a host.
    DropIncoming(usize),
    /// Drops all calls of a host to the platform.
    CutFromPlatform(usize),
    /// Makes all calls to the platform fail.
    PlatformDown,
    PlatformUp,
    /// Restores the platform from a snapshot of this age, so that later updates are lost, and makes it available again.
    PlatformRollsBack {
        snapshot_age_ms: u64,
    },
    /// Sets the shares of messages that are lost, duplicated or late.
    Lossy {
        loss_percent: u32,
        duplicate_percent: u32,
        late_percent: u32,
    },
    /// Sets the shares of updates to the platform whose reply is lost, and of those that take effect late.
    UncertainUpdates {
        lost_reply_percent: u32,
        late_update_percent: u32,
    },
    /// Ends all faults of links and the platform.
    HealLinks,
    /// Changes the load of one slot.
    SlotLoad {
        slot: usize,
        us_per_s: u64,
    },
    /// Changes the load of one tracked key, given by index.
    KeyLoad {
        key: usize,
        us_per_s: u64,
    },
}

fn share_from_percent(percent: u32) -> f64 {
    f64::from(percent.min(100)) / 100.0
}

impl Sim {
    /// Applies a fault now.
    pub fn apply(&mut self, fault: Fault) {
        self.log_line(|| format!("fault {fault:?}"));
        match fault {
            Fault::Start(host) => self.start(host),
            Fault::Crash(host) => self.hosts[host].crash(),
            Fault::CrashAgent(host) => {
                self.abort_requests_randomly(host);
                self.hosts[host].crash_agent();
            }
            Fault::Pause { host, duration_ms } => {
                self.pause(host, Duration::from_millis(duration_ms))
            }
            Fault::PauseInStep { host, duration_ms } => {
                self.hosts[host].pause_next_step_ms = Some(duration_ms);
            }
            Fault::Stop(host) => {
                self.hosts[host].is_stopping = true;
                self.pass_input(host, Input::Stop);
            }
            Fault::Upstream { host, state } => {
                self.hosts[host].upstream = state;
                self.pass_input(host, Input::Upstream(state));
            }
            Fault::CutLink { from, to } => {
                self.links.cut_links.insert((from, to));
            }
            Fault::Isolate(hosts) => self.isolate(&hosts),
            Fault::DropOutgoing(host) => {
                self.links.cut_links.extend((0..self.hosts.len()).map(|it| (host, it)));
            }
            Fault::DropIncoming(host) => {
                self.links.cut_links.extend((0..self.hosts.len()).map(|it| (it, host)));
            }
            Fault::CutFromPlatform(host) => {
                self.links.cut_from_platform.insert(host);
            }
            Fault::PlatformDown => self.links.is_platform_down = true,
            Fault::PlatformUp => self.links.is_platform_down = false,
            Fault::PlatformRollsBack { snapshot_age_ms } => {
                let snapshot_age_ns = snapshot_age_ms * 1_000_000;
                let ns = self.now.ns.saturating_sub(snapshot_age_ns);
                self.store.roll_back_to(Timestamp { ns });
                self.links.is_platform_down = false;
                // Agents watch the platform for documents. Groups with keys learn of the rollback by their own calls.
                if !self.config.keyed {
                    for host in 0..self.hosts.len() {
                        self.pass_input(host, Input::PlatformRolledBack);
                    }
                }
            }
            Fault::Lossy { loss_percent, duplicate_percent, late_percent } => {
                self.links.loss_share = share_from_percent(loss_percent);
                self.links.duplicate_share = share_from_percent(duplicate_percent);
                self.links.late_share = share_from_percent(late_percent);
            }
            Fault::UncertainUpdates { lost_reply_percent, late_update_percent } => {
                self.links.lost_reply_share = share_from_percent(lost_reply_percent);
                self.links.late_update_share = share_from_percent(late_update_percent);
            }
            Fault::HealLinks => self.links = Links::default(),
            Fault::SlotLoad { slot, us_per_s } => self.slot_loads[slot] = us_per_s,
            Fault::KeyLoad { key, us_per_s } => {
                let key_hash = self.keys[key];
                self.key_loads.insert(key_hash, us_per_s);
            }
        }
    }

    /// Cuts the links between these hosts and all others, in both directions.
    fn isolate(&mut self, hosts: &[usize]) {
        for a in 0..self.hosts.len() {
            for b in 0..self.hosts.len() {
                if hosts.contains(&a) != hosts.contains(&b) {
                    self.links.cut_links.insert((a, b));
                }
            }
        }
    }

    /// Starts a host that is down.
    fn start(&mut self, host: usize) {
        if self.hosts[host].is_up() {
            return;
        }
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let seed = self.rng.random();
        let others = self.hosts.iter().enumerate().filter(|(at, it)| *at != host && it.is_up());
        let peers = others.map(|it| it.1.instance.clone()).collect();
        let (now, config) = (self.now, self.config.clone());
        self.hosts[host].start(now, incarnation, seed, peers, &config);
        let generation = self.hosts[host].generation;
        let delay = Duration::from_micros(self.rng.random_range(0..20_000));
        self.schedule(now + delay, ScheduledEvent::Tick { host, generation });
        self.pass_input(host, Input::Upstream(UpstreamState::Ready));
    }

    /// Starts all hosts that are down.
    pub fn start_all(&mut self) {
        for host in 0..self.hosts.len() {
            self.start(host);
        }
    }

    /// Ends all faults of links, the platform and upstreams, cancels pauses that have not begun, and starts hosts that
    /// are down.
    pub fn heal(&mut self) {
        self.apply(Fault::HealLinks);
        for host in 0..self.hosts.len() {
            self.hosts[host].pause_next_step_ms = None;
            if self.hosts[host].is_up() && self.hosts[host].upstream != UpstreamState::Ready {
                self.apply(Fault::Upstream { host, state: UpstreamState::Ready });
            }
        }
        self.start_all();
    }
}
