//! How long slots go unserved after one loss, by what was lost.

use std::time::Duration;

use model::{SlotCount, Timestamp};

use super::{Fault, Sim, SimConfig};

/// What is lost at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LossKind {
    /// A member that does not coordinate.
    Member,
    Coordinator,
    /// The coordinator and another member.
    CoordinatorAndMember,
    /// All instances of one availability zone, which is not the coordinator's.
    Zone,
    /// All instances of the coordinator's availability zone.
    CoordinatorZone,
    /// A member, while the platform is down.
    MemberWithoutPlatform,
    /// A member that leaves in order.
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

/// Unserved virtual time of the slots concerned, over all runs of one kind of loss.
#[derive(Debug, Clone)]
pub struct LossReport {
    pub kind: LossKind,
    pub runs: u64,
    /// Slots that went unserved at all, over all runs.
    pub slots: u64,
    pub unavailable_p50_ms: u64,
    pub unavailable_max_ms: u64,
    /// Slots of hosts that were not lost, that went unserved all the same.
    pub bystander_slots: u64,
    pub bystander_max_ms: u64,
}

/// Times are sampled this often.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(1);
/// How long a group has to come to rest before the loss.
const WARM_UP_PERIOD: Duration = Duration::from_secs(8);
/// How long it is watched after the loss.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(4);

/// Measures each kind of loss `runs` times, in virtual time.
pub fn measure_losses(runs: u64, seed: u64, hosts: usize, slots: SlotCount) -> Vec<LossReport> {
    LossKind::ALL.iter().map(|kind| measure(*kind, runs, seed, hosts, slots)).collect()
}

fn measure(kind: LossKind, runs: u64, seed: u64, hosts: usize, slots: SlotCount) -> LossReport {
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
    // Losses fall at any point of the lease's and the confirmation's period.
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
    /// The owner of each slot, by index.
    pub fn slot_owners(&self) -> Vec<Option<usize>> {
        self.config.slot_count.iter().map(|it| self.owner(it)).collect()
    }

    /// Lets time pass, and gives the longest time for which each slot was served by nobody.
    pub fn longest_gaps(&mut self, duration: Duration) -> Vec<Duration> {
        let end = self.now() + duration;
        let count = usize::from(self.config.slot_count.count());
        let mut unserved_since: Vec<Option<Timestamp>> = vec![None; count];
        let mut longest = vec![Duration::ZERO; count];
        loop {
            let now = self.now();
            for (slot, owner) in self.slot_owners().into_iter().enumerate() {
                let since = match owner {
                    Some(_) => unserved_since[slot].take(),
                    None => Some(*unserved_since[slot].get_or_insert(now)),
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
