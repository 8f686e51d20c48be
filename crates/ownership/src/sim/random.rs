//! Runs under faults drawn at random, and what they came to.

use std::{ops::Range, time::Duration};

use model::SlotCount;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{CoordinatorLease, Limits, UpstreamState};

use super::{Fault, Sim, SimConfig, Violation};

/// What a random run is drawn from.
#[derive(Debug, Clone)]
pub struct RandomRunConfig {
    pub seed: u64,
    pub hosts: usize,
    pub slots: u16,
    pub tracked_keys: usize,
    pub duration: Duration,
    /// The longest time from one fault to the next.
    pub fault_gap_max: Duration,
    /// Ordered slots, longer leases, and a coordinator that holds its own slots for as long as others:
    /// as where upstreams enforce leases.
    pub ordered: bool,
    /// Agents are lost and restarted beside upstreams that live on.
    pub agents_restart: bool,
    /// Upstreams are at work, and what they do may outlast their agents.
    pub simulates_requests: bool,
    /// The platform comes back from older copies.
    pub platform_rolls_back: bool,
}

/// How a run ended.
#[derive(Debug, Clone)]
pub struct RunReport {
    pub violation: Option<Violation>,
    /// Slots that nobody served when the time allowed after the last fault had passed.
    pub unowned_slots: usize,
    pub unowned_keys: usize,
    /// How long after the last fault all was served again.
    pub recovery_ms: u64,
    pub faults: u64,
    pub terms: u64,
    pub settled_terms: u64,
    pub grants: u64,
    pub handovers: u64,
    /// Admissions of hot keys by entries of their own.
    pub key_grants: u64,
    pub messages: u64,
}

/// The longest time without the platform, in random runs; short, so that it is reached.
const PLATFORM_ABSENCE_MAX: Duration = Duration::from_secs(6);
/// After the last fault all must be served again within this time: the longest absence, a takeover,
/// and the sessions and plans that follow.
const RECOVERY_MAX: Duration = Duration::from_secs(15);
/// The same where the platform rolls back: a term that waits for the longest absence may be lost to an update on a
/// condition of an earlier era, and the next one waits as long.
const RECOVERY_MAX_ROLLBACK: Duration = Duration::from_secs(30);
const KEY_LOAD_MAX_US_PER_S: u64 = 4_000_000;
const SLOT_LOAD_MAX_US_PER_S: u64 = 3_000_000;
const RESTART_INTERVAL: Duration = Duration::from_millis(500);
/// The share of steps at which the platform is away for a moment and comes back from a copy, for how long it is
/// away, and how old the copy is.
const ROLLBACK_PROBABILITY: f64 = 0.08;
const OUTAGE_BEFORE_ROLLBACK_MS: Range<u64> = 0..2_000;
const ROLLBACK_AGE_MS: Range<u64> = 100..8_000;
/// Upstreams at work that are taken for lost: how often, with each fault, and for how long.
const FALSE_LOSS_PROBABILITY: f64 = 0.2;
const FALSE_LOSS_MS: Range<u64> = 50..1500;
const FAULT_GAP_MIN: Duration = Duration::from_millis(100);

/// Runs one shape to its end.
pub fn random_run(config: &RandomRunConfig) -> RunReport {
    run(config, false).0
}

/// The same, with a line for each event.
pub fn logged_run(config: &RandomRunConfig) -> (RunReport, Vec<String>) {
    run(config, true)
}

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

fn run(config: &RandomRunConfig, log: bool) -> (RunReport, Vec<String>) {
    // Much may move, so that handovers meet faults.
    let limits = Limits {
        platform_absence_max: PLATFORM_ABSENCE_MAX,
        churn_per_minute_max: 20.0,
        ..limits(config.ordered)
    };
    // Two clocks differ by at most the margin in one lease.
    let drift_max = limits.drift_margin.as_secs_f64() / limits.lease.as_secs_f64() / 2.1;
    let mut sim = Sim::new(SimConfig {
        hosts: config.hosts,
        slot_count: SlotCount::new(config.slots).unwrap_or(SimConfig::new(0).slot_count),
        tracked_keys: config.tracked_keys,
        limits,
        drift_max,
        ordered: config.ordered,
        simulates_requests: config.simulates_requests,
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
            let for_ms = Duration::from_millis(false_loss_rng.random_range(FALSE_LOSS_MS));
            sim.apply(Fault::Upstream { host, state: UpstreamState::Lost });
            sim.schedule_fault(for_ms, Fault::Upstream { host, state: UpstreamState::Ready });
        }
        if config.platform_rolls_back && rollback_rng.random_bool(ROLLBACK_PROBABILITY) {
            let away = Duration::from_millis(rollback_rng.random_range(OUTAGE_BEFORE_ROLLBACK_MS));
            let behind_ms = rollback_rng.random_range(ROLLBACK_AGE_MS);
            sim.apply(Fault::PlatformDown);
            sim.schedule_fault(away, Fault::PlatformRollsBack { behind_ms });
        }
        let gap = rng.random_range(FAULT_GAP_MIN..config.fault_gap_max);
        sim.run_for(gap);
    }
    let healed_at = sim.now();
    sim.heal();
    let served = |it: &Sim| it.unowned_slots() == 0 && it.unowned_keys() == 0;
    let recovery_max =
        if config.platform_rolls_back { RECOVERY_MAX_ROLLBACK } else { RECOVERY_MAX };
    while sim.now().since(healed_at) < recovery_max && sim.violation().is_none() {
        if sim.run_until(RESTART_INTERVAL, served) {
            break;
        }
        // Hosts that were stopping end and come back.
        sim.start_all();
    }
    let count = |word: &str| sim.events().get(word).copied().unwrap_or(0);
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

/// The coordinator is struck more often than others.
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
        0..=2 => vec![Fault::Pause { host, for_ms: short_ms }],
        3 => vec![Fault::Pause { host, for_ms: long_ms }],
        4..=6 => vec![Fault::PauseInStep { host, for_ms: long_ms }],
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
