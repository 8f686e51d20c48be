//! Faults drawn from a seed: several lanes strike at a time, each one fault after another.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::proxy::LinkState;

/// One fault, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
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
    /// The connections between the agent and the store.
    StoreLink(LinkState),
    /// The store serves nobody.
    StoreDown,
    StoreSlow,
    /// The store carries some updates out, and their answers are lost.
    StoreLosesAnswers,
}

impl Fault {
    pub(super) fn name(self) -> &'static str {
        match self {
            Fault::Freeze => "freeze",
            Fault::PauseAgent => "pause_agent",
            Fault::Kill => "kill",
            Fault::KillAgent => "kill_agent",
            Fault::Leave => "leave",
            Fault::StoreLink(_) => "store_link",
            Fault::StoreDown => "store_down",
            Fault::StoreSlow => "store_slow",
            Fault::StoreLosesAnswers => "store_loses_answers",
        }
    }
}

/// A fault at its time, counted from the start of the callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PlannedFault {
    pub(super) after: Duration,
    pub(super) lasts: Duration,
    /// The instance that it strikes; the store's own faults strike all.
    pub(super) instance: usize,
    pub(super) fault: Fault,
}

const PAUSE_MS: std::ops::Range<u64> = 200..2_500;
const LASTS_MS: std::ops::Range<u64> = 200..3_500;

/// The faults of one lane, which strikes only instances of its own: so no two lanes end the same process.
pub(super) fn plan(seed: u64, instances: &[usize], until: Duration) -> Vec<PlannedFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut after = Duration::ZERO;
    loop {
        after += Duration::from_millis(rng.random_range(PAUSE_MS));
        let lasts = Duration::from_millis(rng.random_range(LASTS_MS));
        if after + lasts > until || instances.is_empty() {
            return planned;
        }
        let instance = instances[rng.random_range(0..instances.len())];
        planned.push(PlannedFault { after, lasts, instance, fault: draw(&mut rng) });
        after += lasts;
    }
}

fn draw(rng: &mut Pcg64Mcg) -> Fault {
    match rng.random_range(0..16) {
        0..=1 => Fault::Freeze,
        2..=3 => Fault::PauseAgent,
        4..=5 => Fault::Kill,
        6..=7 => Fault::KillAgent,
        8..=9 => Fault::Leave,
        10 => Fault::StoreDown,
        11 => Fault::StoreSlow,
        12 => Fault::StoreLosesAnswers,
        13 => Fault::StoreLink(LinkState::Silent),
        14 => Fault::StoreLink(LinkState::CutToClient),
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
