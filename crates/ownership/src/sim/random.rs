//! Simulated runs under random faults, and their reports.

use std::{ops::Range, time::Duration};

use model::SlotCount;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{CoordinatorLease, Limits, UpstreamState};

use super::{Fault, Sim, SimConfig, Violation};

/// Configuration of a random run. Faults, delays and loads are drawn from the seed.
#[derive(Debug, Clone)]
pub struct RandomRunConfig {
    pub seed: u64,
    pub hosts: usize,
    pub slots: u16,
    pub tracked_keys: usize,
    pub duration: Duration,
    /// Longest time from one round of faults to the next.
    pub fault_gap_max: Duration,
    /// Uses ordered slots, longer leases, and a full lease for the coordinator's own slots, as for upstreams that
    /// enforce leases.
    pub ordered: bool,
    /// Crashes agents without their upstreams, which continue.
    pub agents_restart: bool,
    /// Simulates requests at the upstreams, which may outlast the agents, and false reports of lost upstreams.
    pub simulates_requests: bool,
    pub rollbacks: Rollbacks,
    /// Number of tokens after which a coordinator releases its term.
    pub tokens_per_term: u64,
    /// Gives upstreams different speeds, by which the group weighs its members.
    pub weighs_capacity: bool,
}

/// When the platform is restored from older snapshots during a random run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rollbacks {
    Never,
    /// In some rounds of faults, independently of the other faults.
    Scattered,
    /// More often, and when terms begin: soon after the first object of the group, twice in quick succession, while
    /// agents restart, and during takeovers.
    AtNewTerms,
}

/// Result of a random run.
#[derive(Debug, Clone)]
pub struct RunReport {
    pub violation: Option<Violation>,
    /// Number of slots that have no owner at the end of the run.
    pub unowned_slots: usize,
    /// Number of tracked keys that have no owner at the end of the run.
    pub unowned_keys: usize,
    /// Time from the end of the last fault until all slots and keys had an owner again, or until the run ended.
    pub recovery_ms: u64,
    /// Number of faults drawn, without false reports of lost upstreams and rollbacks.
    pub faults: u64,
    pub terms: u64,
    pub settled_terms: u64,
    pub grants: u64,
    pub handovers: u64,
    /// Number of commands to admit a hot key by its own gate entry.
    pub key_grants: u64,
    /// Number of messages that hosts sent, including lost ones.
    pub messages: u64,
}

/// Limit on a coordinator's time without the platform, short enough to be exceeded in random runs.
const PLATFORM_ABSENCE_MAX: Duration = Duration::from_secs(6);
/// Recovery period: all slots and keys must have an owner again this long after the last fault. Covers
/// [`PLATFORM_ABSENCE_MAX`], a takeover, and the sessions and plans that follow.
const RECOVERY_MAX: Duration = Duration::from_secs(15);
/// Recovery period with rollbacks of the platform. A term that waits for [`PLATFORM_ABSENCE_MAX`] may be lost to an
/// update whose expected version is of an earlier era, and the next term waits as long again.
const RECOVERY_MAX_ROLLBACK: Duration = Duration::from_secs(30);
/// Largest load that is drawn for a tracked key.
const KEY_LOAD_MAX_US_PER_S: u64 = 4_000_000;
/// Largest load that is drawn for a slot.
const SLOT_LOAD_MAX_US_PER_S: u64 = 3_000_000;
/// Interval at which stopped hosts are restarted during recovery.
const RESTART_INTERVAL: Duration = Duration::from_millis(500);
/// Probability, per round of faults, that the platform becomes unavailable and is then rolled back.
const ROLLBACK_PROBABILITY: f64 = 0.08;
/// Duration of the outage before a rollback.
const OUTAGE_BEFORE_ROLLBACK_MS: Range<u64> = 0..2_000;
/// Age of the snapshot that a rollback restores.
const ROLLBACK_AGE_MS: Range<u64> = 100..8_000;
/// Probability that a run with [`Rollbacks::AtNewTerms`] has a rollback soon after the first object of the group.
const FIRST_ROLLBACK_PROBABILITY: f64 = 0.5;
/// Time from the start of the group to that rollback.
const FIRST_ROLLBACK_MS: Range<u64> = 20..1500;
/// Age of the snapshot that it restores, which may be older than the first object.
const FIRST_ROLLBACK_AGE_MS: Range<u64> = 20..2000;
/// Probability, per round of faults, of a rollback beside faults that lead to a new term.
const ROLLBACK_AT_NEW_TERM_PROBABILITY: f64 = 0.2;
/// Age of the snapshot that such a rollback restores.
const ROLLBACK_AT_NEW_TERM_AGE_MS: Range<u64> = 20..4_000;
/// Delay of the rollback after these faults. It covers the times at which successors read the object and acquire terms.
const TAKEOVER_MS: Range<u64> = 0..1500;
/// Time for which a host that is restarted beside a rollback is down, or for which its coordinator is paused.
const DOWN_MS: Range<u64> = 10..1200;
/// Probability that updates are late beside a rollback. A late update is conditional on a version of an earlier era,
/// and may replace the object of a later term.
const LATE_UPDATES_PROBABILITY: f64 = 0.3;
/// Probability that an outage precedes a rollback with [`Rollbacks::AtNewTerms`].
const SHORT_OUTAGE_PROBABILITY: f64 = 0.5;
/// Duration of that outage.
const SHORT_OUTAGE_MS: Range<u64> = 0..400;
/// Probability that a second rollback follows the first one.
const SECOND_ROLLBACK_PROBABILITY: f64 = 0.4;
/// Time from the first rollback to the second one.
const SECOND_ROLLBACK_MS: Range<u64> = 20..1000;
/// Probability, per round of faults, that a running upstream is falsely reported as lost.
const FALSE_LOSS_PROBABILITY: f64 = 0.2;
/// Duration of a false report of a lost upstream.
const FALSE_LOSS_MS: Range<u64> = 50..1500;
/// Speeds of the upstreams if they differ.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.6];
/// Shortest time from one round of faults to the next.
const FAULT_GAP_MIN: Duration = Duration::from_millis(100);

/// Runs a simulation under random faults, ends the faults and waits for recovery.
pub fn random_run(config: &RandomRunConfig) -> RunReport {
    run(config, false).0
}

/// Same as [`random_run`], but also returns the log lines of the simulation.
pub fn logged_run(config: &RandomRunConfig) -> (RunReport, Vec<String>) {
    run(config, true)
}

/// Returns the limits of a run, with longer leases for ordered slots.
fn limits(ordered: bool) -> Limits {
    if !ordered {
        return Limits::default();
    }
    Limits {
        lease: Duration::from_millis(1500),
        renew_every: Duration::from_millis(400),
        drift_margin: Duration::from_millis(40),
        confirmation: Duration::from_millis(500),
        platform_confirmation: Duration::from_millis(1000),
        takeover_after: Duration::from_millis(700),
        pause_max: Duration::from_millis(400),
        coordinator_lease: CoordinatorLease::Full,
        ..Limits::default()
    }
}

/// Runs a simulation, with a log if requested.
fn run(config: &RandomRunConfig, log: bool) -> (RunReport, Vec<String>) {
    // A high churn limit makes handovers frequent, so that faults occur during handovers.
    let limits = Limits {
        platform_absence_max: PLATFORM_ABSENCE_MAX,
        churn_per_minute_max: 20.0,
        tokens_per_term: config.tokens_per_term,
        weighs_capacity: config.weighs_capacity,
        ..limits(config.ordered)
    };
    // Two clocks drift apart by less than the drift margin within one lease.
    let drift_max = limits.drift_margin.as_secs_f64() / limits.lease.as_secs_f64() / 2.1;
    let mut sim = Sim::new(SimConfig {
        hosts: config.hosts,
        slot_count: SlotCount::new(config.slots).unwrap_or(SimConfig::new(0).slot_count),
        tracked_keys: config.tracked_keys,
        limits,
        drift_max,
        ordered: config.ordered,
        simulates_requests: config.simulates_requests,
        speeds: match config.weighs_capacity {
            true => (0..config.hosts).map(|it| SPEEDS[it % SPEEDS.len()]).collect(),
            false => Vec::new(),
        },
        ..SimConfig::new(config.seed)
    });
    if log {
        sim.enable_log();
    }
    let mut rng = Pcg64Mcg::seed_from_u64(config.seed ^ 0x5eed);
    for key in 0..config.tracked_keys {
        let us_per_s = rng.random_range(0..KEY_LOAD_MAX_US_PER_S);
        sim.apply(Fault::KeyLoad { key, us_per_s });
    }
    let mut rollback_rng = Pcg64Mcg::seed_from_u64(config.seed ^ 0xf0e7);
    let mut false_loss_rng = Pcg64Mcg::seed_from_u64(config.seed ^ 0x3043);
    sim.start_all();
    if config.rollbacks == Rollbacks::AtNewTerms {
        schedule_first_rollback(&mut sim, &mut rollback_rng);
    }
    sim.run_for(Duration::from_millis(rng.random_range(500..4000)));
    let mut faults = 0;
    let end = sim.now() + config.duration;
    while sim.now() < end && sim.violation().is_none() {
        let coordinator = sim.coordinator();
        for fault in draw_faults(&mut rng, config, coordinator) {
            let fault = match fault {
                Fault::Crash(host) if config.agents_restart => Fault::CrashAgent(host),
                other => other,
            };
            sim.apply(fault);
            faults += 1;
        }
        if config.simulates_requests && false_loss_rng.random_bool(FALSE_LOSS_PROBABILITY) {
            let host = false_loss_rng.random_range(0..config.hosts);
            let duration = Duration::from_millis(false_loss_rng.random_range(FALSE_LOSS_MS));
            sim.apply(Fault::Upstream { host, state: UpstreamState::Lost });
            sim.schedule_fault(duration, Fault::Upstream { host, state: UpstreamState::Ready });
        }
        match config.rollbacks {
            Rollbacks::Scattered if rollback_rng.random_bool(ROLLBACK_PROBABILITY) => {
                let outage =
                    Duration::from_millis(rollback_rng.random_range(OUTAGE_BEFORE_ROLLBACK_MS));
                let snapshot_age_ms = rollback_rng.random_range(ROLLBACK_AGE_MS);
                sim.apply(Fault::PlatformDown);
                sim.schedule_fault(outage, Fault::PlatformRollsBack { snapshot_age_ms });
            }
            Rollbacks::AtNewTerms if rollback_rng.random_bool(ROLLBACK_AT_NEW_TERM_PROBABILITY) => {
                schedule_rollback_at_new_term(&mut sim, &mut rollback_rng, config);
            }
            _ => {}
        }
        let gap = rng.random_range(FAULT_GAP_MIN..config.fault_gap_max);
        sim.run_for(gap);
    }
    let healed_at = sim.now();
    sim.heal();
    let is_served = |it: &Sim| it.unowned_slots() == 0 && it.unowned_keys() == 0;
    let recovery_max =
        if config.rollbacks == Rollbacks::Never { RECOVERY_MAX } else { RECOVERY_MAX_ROLLBACK };
    while sim.now().since(healed_at) < recovery_max && sim.violation().is_none() {
        if sim.run_until(RESTART_INTERVAL, is_served) {
            break;
        }
        // Restarts hosts that have completed a graceful stop meanwhile.
        sim.start_all();
    }
    let count = |variant: &str| sim.events().get(variant).copied().unwrap_or(0);
    let report = RunReport {
        violation: sim.violation().cloned(),
        unowned_slots: sim.unowned_slots(),
        unowned_keys: sim.unowned_keys(),
        recovery_ms: sim.now().since(healed_at).as_millis() as u64,
        faults,
        terms: count("BecameCoordinator"),
        settled_terms: count("Settled"),
        grants: count("Granted"),
        handovers: sim.handovers(),
        key_grants: sim.key_grants(),
        messages: sim.messages,
    };
    let log = sim.log().to_vec();
    (report, log)
}

/// Schedules a rollback soon after the first object of the group, in a part of the runs.
fn schedule_first_rollback(sim: &mut Sim, rng: &mut Pcg64Mcg) {
    if rng.random_bool(FIRST_ROLLBACK_PROBABILITY) {
        let delay = Duration::from_millis(rng.random_range(FIRST_ROLLBACK_MS));
        schedule_rollbacks(sim, rng, delay, FIRST_ROLLBACK_AGE_MS);
    }
}

/// Schedules a rollback beside faults that lead to a new term.
fn schedule_rollback_at_new_term(sim: &mut Sim, rng: &mut Pcg64Mcg, config: &RandomRunConfig) {
    let any_host = rng.random_range(0..config.hosts);
    let other = rng.random_range(0..config.hosts);
    let coordinator = sim.coordinator().unwrap_or(any_host);
    if rng.random_bool(LATE_UPDATES_PROBABILITY) {
        sim.apply(Fault::UncertainUpdates {
            lost_reply_percent: rng.random_range(0..40),
            late_update_percent: rng.random_range(0..40),
        });
    }
    let restarted = match rng.random_range(0..6) {
        0 => vec![coordinator],
        1 => vec![coordinator, other],
        2 => (0..config.hosts).collect(),
        3 => {
            let duration_ms = rng.random_range(DOWN_MS);
            sim.apply(Fault::Pause { host: coordinator, duration_ms });
            Vec::new()
        }
        4 => {
            sim.apply(Fault::Isolate(vec![coordinator]));
            Vec::new()
        }
        _ => Vec::new(),
    };
    for host in restarted {
        sim.apply(match config.agents_restart {
            true => Fault::CrashAgent(host),
            false => Fault::Crash(host),
        });
        let down = Duration::from_millis(rng.random_range(DOWN_MS));
        sim.schedule_fault(down, Fault::Start(host));
    }
    let delay = Duration::from_millis(rng.random_range(TAKEOVER_MS));
    schedule_rollbacks(sim, rng, delay, ROLLBACK_AT_NEW_TERM_AGE_MS);
}

/// Schedules one rollback, or two in quick succession, in part of the cases after an outage.
fn schedule_rollbacks(sim: &mut Sim, rng: &mut Pcg64Mcg, delay: Duration, ages_ms: Range<u64>) {
    let mut at = delay;
    if rng.random_bool(SHORT_OUTAGE_PROBABILITY) {
        sim.schedule_fault(at, Fault::PlatformDown);
        at += Duration::from_millis(rng.random_range(SHORT_OUTAGE_MS));
    }
    let snapshot_age_ms = rng.random_range(ages_ms.clone());
    sim.schedule_fault(at, Fault::PlatformRollsBack { snapshot_age_ms });
    if rng.random_bool(SECOND_ROLLBACK_PROBABILITY) {
        at += Duration::from_millis(rng.random_range(SECOND_ROLLBACK_MS));
        let snapshot_age_ms = rng.random_range(ages_ms);
        sim.schedule_fault(at, Fault::PlatformRollsBack { snapshot_age_ms });
    }
}

/// Draws the next faults. The coordinator is affected more often than other hosts.
fn draw_faults(
    rng: &mut Pcg64Mcg,
    config: &RandomRunConfig,
    coordinator: Option<usize>,
) -> Vec<Fault> {
    let any_host = rng.random_range(0..config.hosts);
    let host = coordinator.filter(|_| rng.random_bool(0.4)).unwrap_or(any_host);
    let other = rng.random_range(0..config.hosts);
    let short_ms = rng.random_range(20..1000);
    let long_ms = rng.random_range(300..4000);
    match rng.random_range(0..36) {
        0..=2 => vec![Fault::Pause { host, duration_ms: short_ms }],
        3 => vec![Fault::Pause { host, duration_ms: long_ms }],
        4..=6 => vec![Fault::PauseInStep { host, duration_ms: long_ms }],
        7..=8 => vec![Fault::Crash(host)],
        9 => vec![Fault::Crash(host), Fault::Crash(other)],
        10..=12 => vec![Fault::Start(host), Fault::Start(other)],
        13..=14 => vec![Fault::CutLink { from: host, to: other }],
        15 => vec![Fault::Isolate(vec![host])],
        16 => vec![Fault::Isolate(vec![host, other])],
        17 => vec![Fault::CutFromPlatform(host)],
        18 => vec![Fault::PlatformDown],
        19 => vec![Fault::PlatformUp],
        20..=22 => vec![Fault::HealLinks],
        23 => vec![Fault::Lossy {
            loss_percent: rng.random_range(0..30),
            duplicate_percent: rng.random_range(0..30),
            late_percent: rng.random_range(0..30),
        }],
        24..=25 => vec![Fault::UncertainUpdates {
            lost_reply_percent: rng.random_range(0..70),
            late_update_percent: rng.random_range(0..40),
        }],
        26 => vec![Fault::Stop(host)],
        27 => vec![Fault::Stop(host), Fault::Stop(other)],
        31 => vec![Fault::Upstream { host, state: UpstreamState::Lost }],
        29 => vec![Fault::Upstream { host, state: UpstreamState::Ready }],
        28 | 30 if config.tracked_keys > 0 => vec![Fault::KeyLoad {
            key: rng.random_range(0..config.tracked_keys),
            us_per_s: rng.random_range(0..KEY_LOAD_MAX_US_PER_S),
        }],
        32 => vec![Fault::DropOutgoing(host)],
        33 => vec![Fault::DropIncoming(host)],
        34 => vec![Fault::DropOutgoing(host), Fault::Stop(other)],
        35 => vec![Fault::Isolate(vec![host, other]), Fault::CutFromPlatform(host)],
        _ => vec![Fault::SlotLoad {
            slot: rng.random_range(0..usize::from(config.slots)),
            us_per_s: rng.random_range(0..SLOT_LOAD_MAX_US_PER_S),
        }],
    }
}
