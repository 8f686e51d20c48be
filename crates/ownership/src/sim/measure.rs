//! Measures how long slots have no owner after a loss, by the kind of loss.

use std::time::Duration;

use model::{SlotCount, Timestamp};

use super::{Fault, Sim, SimConfig};

/// Instances that are lost at the same time, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LossKind {
    /// A member other than the coordinator crashes.
    Member,
    /// The coordinator crashes.
    Coordinator,
    /// The coordinator and another member crash.
    CoordinatorAndMember,
    /// All instances of an availability zone without the coordinator crash.
    Zone,
    /// All instances of the coordinator's availability zone crash.
    CoordinatorZone,
    /// A member crashes while the platform is unavailable.
    MemberWithoutPlatform,
    /// A member leaves gracefully.
    Leave,
}

impl LossKind {
    pub const ALL: [LossKind; 7] = [
        LossKind::Member,
        LossKind::Coordinator,
        LossKind::CoordinatorAndMember,
        LossKind::Zone,
        LossKind::CoordinatorZone,
        LossKind::MemberWithoutPlatform,
        LossKind::Leave,
    ];

    pub fn as_str(self) -> &'static str {
        match self {
            LossKind::Member => "member",
            LossKind::Coordinator => "coordinator",
            LossKind::CoordinatorAndMember => "coordinator_and_member",
            LossKind::Zone => "zone",
            LossKind::CoordinatorZone => "coordinator_zone",
            LossKind::MemberWithoutPlatform => "member_without_platform",
            LossKind::Leave => "leave",
        }
    }
}

/// Virtual time without an owner per slot, over all runs of one kind of loss. Slots that always had an owner are left
/// out.
#[derive(Debug, Clone)]
pub struct LossReport {
    pub kind: LossKind,
    pub runs: u64,
    /// Number of slots of lost hosts that had no owner for some time, over all runs.
    pub slots: u64,
    pub unavailable_p50_ms: u64,
    pub unavailable_max_ms: u64,
    /// Number of slots of other hosts that had no owner for some time, over all runs.
    pub bystander_slots: u64,
    /// Longest time without an owner of a slot of another host.
    pub bystander_max_ms: u64,
}

/// Interval at which the owners of slots are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(1);
/// Time for a group to reach a steady state before the loss.
const WARM_UP_PERIOD: Duration = Duration::from_secs(8);
/// Time over which slots are observed after the loss.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(4);

/// Measures each kind of loss in `runs` simulations, in virtual time.
pub fn measure_losses(runs: u64, seed: u64, hosts: usize, slots: SlotCount) -> Vec<LossReport> {
    LossKind::ALL.iter().map(|kind| measure_loss(*kind, runs, seed, hosts, slots)).collect()
}

fn measure_loss(
    kind: LossKind,
    runs: u64,
    seed: u64,
    hosts: usize,
    slots: SlotCount,
) -> LossReport {
    let mut affected_gaps_ms: Vec<u64> = Vec::new();
    let mut bystander_gaps_ms: Vec<u64> = Vec::new();
    for run in 0..runs {
        let config = SimConfig { hosts, slot_count: slots, ..SimConfig::new(seed + run) };
        simulate_loss(kind, config, &mut affected_gaps_ms, &mut bystander_gaps_ms);
    }
    affected_gaps_ms.sort_unstable();
    LossReport {
        kind,
        runs,
        slots: affected_gaps_ms.len() as u64,
        unavailable_p50_ms: affected_gaps_ms.get(affected_gaps_ms.len() / 2).copied().unwrap_or(0),
        unavailable_max_ms: affected_gaps_ms.last().copied().unwrap_or(0),
        bystander_slots: bystander_gaps_ms.len() as u64,
        bystander_max_ms: bystander_gaps_ms.into_iter().max().unwrap_or(0),
    }
}

/// Simulates one loss, and appends the longest time without an owner of each affected and each other slot.
fn simulate_loss(
    kind: LossKind,
    config: SimConfig,
    affected_gaps_ms: &mut Vec<u64>,
    bystander_gaps_ms: &mut Vec<u64>,
) {
    let seed = config.seed;
    let zones = config.zones;
    let mut sim = Sim::new(config);
    sim.start_all();
    // Losses occur at varying points of the lease and confirmation periods.
    sim.run_for(WARM_UP_PERIOD + Duration::from_millis(seed * 37 % 500));
    let Some(coordinator) = sim.coordinator() else { return };
    let count = sim.host_count();
    let member = (0..count).find(|it| *it != coordinator && it % zones != coordinator % zones);
    let member = member.unwrap_or((coordinator + 1) % count);
    let in_zone = |zone: usize| (0..count).filter(|it| it % zones == zone).collect::<Vec<_>>();
    let lost = match kind {
        LossKind::Coordinator => vec![coordinator],
        LossKind::CoordinatorAndMember => vec![coordinator, member],
        LossKind::Zone => in_zone(member % zones),
        LossKind::CoordinatorZone => in_zone(coordinator % zones),
        LossKind::Member | LossKind::MemberWithoutPlatform | LossKind::Leave => vec![member],
    };
    let is_affected: Vec<bool> = {
        let owners = sim.slot_owners();
        owners.iter().map(|it| it.is_none_or(|it| lost.contains(&it))).collect()
    };
    if kind == LossKind::MemberWithoutPlatform {
        sim.apply(Fault::PlatformDown);
        sim.run_for(Duration::from_secs(2));
    }
    for host in lost {
        sim.apply(if kind == LossKind::Leave { Fault::Stop(host) } else { Fault::Crash(host) });
    }
    for (slot, gap) in sim.longest_gaps(OBSERVATION_PERIOD).into_iter().enumerate() {
        match (is_affected[slot], gap.as_millis() as u64) {
            (_, 0) => {}
            (true, ms) => affected_gaps_ms.push(ms),
            (false, ms) => bystander_gaps_ms.push(ms),
        }
    }
}

impl Sim {
    /// Returns the owner of each slot.
    pub fn slot_owners(&self) -> Vec<Option<usize>> {
        self.config.slot_count.iter().map(|it| self.owner(it)).collect()
    }

    /// Advances by a period of virtual time, and returns the longest time without an owner for each slot.
    pub fn longest_gaps(&mut self, duration: Duration) -> Vec<Duration> {
        let end = self.now() + duration;
        let count = usize::from(self.config.slot_count.count());
        let mut unowned_since: Vec<Option<Timestamp>> = vec![None; count];
        let mut longest = vec![Duration::ZERO; count];
        loop {
            let now = self.now();
            for (slot, owner) in self.slot_owners().into_iter().enumerate() {
                let since = match owner {
                    Some(_) => unowned_since[slot].take(),
                    None => Some(*unowned_since[slot].get_or_insert(now)),
                };
                let gap = since.map_or(Duration::ZERO, |it| now.since(it));
                longest[slot] = longest[slot].max(gap);
            }
            if now >= end || self.violation().is_some() {
                return longest;
            }
            self.run_for(SAMPLE_INTERVAL);
        }
    }
}
