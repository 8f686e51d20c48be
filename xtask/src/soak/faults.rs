//! Sequences of faults drawn from a seed, one for each injector.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::proxy::LinkState;

/// Fault, by the component that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// The processes of one instance.
    Instance(InstanceFault),
    /// The connections between one agent and the object store.
    StoreLink(LinkState),
    /// The object store, for all agents.
    Store(StoreFault),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InstanceFault {
    /// Agent and upstream are suspended.
    Freeze,
    /// The agent alone is suspended.
    PauseAgent,
    /// Agent and upstream are killed, and restarted at the same addresses.
    Kill,
    /// The agent alone is killed and restarted; the upstream keeps running.
    KillAgent,
    /// Agent and upstream stop gracefully, and are restarted.
    Leave,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreFault {
    /// All requests to the store fail.
    Down,
    Slow,
    /// Some updates take effect, but their responses are lost.
    LosesAnswers,
    /// After a short outage the store is restored from a snapshot taken at the start of the fault.
    RollsBack,
}

impl Fault {
    pub(super) fn name(self) -> &'static str {
        match self {
            Fault::Instance(InstanceFault::Freeze) => "freeze",
            Fault::Instance(InstanceFault::PauseAgent) => "pause_agent",
            Fault::Instance(InstanceFault::Kill) => "kill",
            Fault::Instance(InstanceFault::KillAgent) => "kill_agent",
            Fault::Instance(InstanceFault::Leave) => "leave",
            Fault::StoreLink(_) => "store_link",
            Fault::Store(StoreFault::Down) => "store_down",
            Fault::Store(StoreFault::Slow) => "store_slow",
            Fault::Store(StoreFault::LosesAnswers) => "store_loses_answers",
            Fault::Store(StoreFault::RollsBack) => "store_rolls_back",
        }
    }
}

/// Scheduled fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PlannedFault {
    /// Time from the start of the fault period.
    pub(super) after: Duration,
    pub(super) duration: Duration,
    /// Index of the affected instance among those of the injector; a fault of the store affects all.
    pub(super) instance: usize,
    pub(super) fault: Fault,
}

const PAUSE_RANGE_MS: std::ops::Range<u64> = 200..2_500;
const DURATION_RANGE_MS: std::ops::Range<u64> = 200..3_500;

/// Draws the faults of one injector, one after another, all ending before `until`. Injectors have
/// disjoint instances, so that no process is killed or restarted by two of them.
pub(super) fn plan(seed: u64, instances: &[usize], until: Duration) -> Vec<PlannedFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut after = Duration::ZERO;
    loop {
        after += Duration::from_millis(rng.random_range(PAUSE_RANGE_MS));
        let duration = Duration::from_millis(rng.random_range(DURATION_RANGE_MS));
        if after + duration > until || instances.is_empty() {
            return planned;
        }
        let instance = instances[rng.random_range(0..instances.len())];
        planned.push(PlannedFault { after, duration, instance, fault: draw(&mut rng) });
        after += duration;
    }
}

fn draw(rng: &mut Pcg64Mcg) -> Fault {
    match rng.random_range(0..18) {
        0..=1 => Fault::Instance(InstanceFault::Freeze),
        2..=3 => Fault::Instance(InstanceFault::PauseAgent),
        4..=5 => Fault::Instance(InstanceFault::Kill),
        6..=7 => Fault::Instance(InstanceFault::KillAgent),
        8..=9 => Fault::Instance(InstanceFault::Leave),
        10 => Fault::Store(StoreFault::Down),
        11 => Fault::Store(StoreFault::Slow),
        12 => Fault::Store(StoreFault::LosesAnswers),
        13 => Fault::StoreLink(LinkState::Silent),
        14 => Fault::StoreLink(LinkState::CutToClient),
        15..=16 => Fault::Store(StoreFault::RollsBack),
        _ => Fault::StoreLink(draw_link(rng)),
    }
}

fn draw_link(rng: &mut Pcg64Mcg) -> LinkState {
    match rng.random_range(0..3) {
        0 => LinkState::Closed,
        1 => LinkState::CutToServer,
        _ => LinkState::Slow(Duration::from_millis(rng.random_range(20..400))),
    }
}

/// Counts the faults by name.
pub(super) fn counts<'a>(
    faults: impl IntoIterator<Item = &'a PlannedFault>,
) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for it in faults {
        *counts.entry(it.fault.name()).or_default() += 1;
    }
    counts
}
