//! Faults drawn from a seed: several lanes strike at a time, each one fault after another.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::proxy::LinkState;

/// One fault, by what it strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// The processes of one instance.
    Instance(InstanceFault),
    /// The connections between one agent and the store.
    StoreLink(LinkState),
    /// The store, for all.
    Store(StoreFault),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InstanceFault {
    /// The agent and its upstream get no processor time.
    Freeze,
    /// The agent alone gets none.
    PauseAgent,
    /// Both are killed, and started again at their addresses.
    Kill,
    /// The agent alone is killed, and started again beside its upstream.
    KillAgent,
    /// Both leave in order, and are started again.
    Leave,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreFault {
    /// It serves nobody.
    Down,
    Slow,
    /// It carries some updates out, and their answers are lost.
    LosesAnswers,
    /// It is away for a moment and comes back as it was when the fault began.
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

/// A fault at its time, counted from the start of the callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PlannedFault {
    pub(super) after: Duration,
    pub(super) duration: Duration,
    /// Which of the lane's instances it strikes; a fault of the store strikes all.
    pub(super) instance: usize,
    pub(super) fault: Fault,
}

const PAUSE_RANGE_MS: std::ops::Range<u64> = 200..2_500;
const DURATION_RANGE_MS: std::ops::Range<u64> = 200..3_500;

/// The faults of one lane, which strikes only instances of its own: so no two lanes end the same process.
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

/// How often each kind struck.
pub(super) fn counts<'a>(
    faults: impl IntoIterator<Item = &'a PlannedFault>,
) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for it in faults {
        *counts.entry(it.fault.name()).or_default() += 1;
    }
    counts
}
