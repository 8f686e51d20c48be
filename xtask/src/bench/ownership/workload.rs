//! Seeded workloads: loads of keys and lifetimes of members.

use model::{KeyHash, SlotCount, Zone, key_hash};
use rand::{Rng, RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];
/// Capacity of one member, in microseconds of upstream time a second: 12 slots.
pub(super) const CAPACITY_US_PER_S: f64 = 12e6;
/// Load of all callers, as a share of the capacity of all members.
const UTILISATION: f64 = 0.65;
/// Seconds until a new member has its full weight.
const WARM_UP_S: u32 = 30;
const DURATION_S: u32 = 900;

/// Reason for which a member is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndReason {
    Leave,
    Loss,
}

#[derive(Debug, Clone)]
pub(super) struct MemberLifetime {
    pub(super) zone: Zone,
    pub(super) from_s: u32,
    pub(super) end: Option<(u32, EndReason)>,
}

impl MemberLifetime {
    fn new(index: usize, from_s: u32, end: Option<(u32, EndReason)>) -> MemberLifetime {
        let zone = Zone::new(ZONES[index % ZONES.len()]).expect("the zone has a valid name");
        MemberLifetime { zone, from_s, end }
    }

    /// Returns the weight at a second: 0 while the member is absent, rising while it warms up.
    pub(super) fn weight(&self, second: u32) -> f64 {
        let is_gone = self.end.is_some_and(|(at, _)| second >= at);
        match second.checked_sub(self.from_s) {
            Some(_) if is_gone => 0.0,
            Some(_) if self.from_s == 0 => 1.0,
            Some(age) => (f64::from(age + 1) / f64::from(WARM_UP_S)).min(1.0),
            None => 0.0,
        }
    }
}

/// Period in which a share of the load goes to a few hot keys.
#[derive(Debug, Clone)]
struct HotPeriod {
    from_s: u32,
    until_s: u32,
    keys: Vec<usize>,
    /// Share of the total load that goes to all these keys together.
    share: f64,
}

/// Workload: loads of keys over time, and lifetimes of members.
#[derive(Debug, Clone)]
pub(super) struct Workload {
    pub(super) name: &'static str,
    pub(super) seconds: u32,
    pub(super) keys: Vec<KeyHash>,
    pub(super) slot_count: SlotCount,
    pub(super) members: Vec<MemberLifetime>,
    /// Share of the load of each key, outside of hot periods.
    base: Vec<f64>,
    hot_periods: Vec<HotPeriod>,
    /// Second at which the load starts.
    start_s: u32,
    total_us_per_s: f64,
}

impl Workload {
    fn new(
        name: &'static str,
        rng: &mut impl Rng,
        members: usize,
        keys: usize,
        slots: u16,
    ) -> Workload {
        // A mild skew: the busiest key has about ten times the mean.
        let mut base: Vec<f64> = (0..keys).map(|it| (it as f64 + 4.0).powf(-0.6)).collect();
        base.shuffle(rng);
        let sum: f64 = base.iter().sum();
        base.iter_mut().for_each(|it| *it /= sum);
        Workload {
            name,
            seconds: DURATION_S,
            keys: (0..keys).map(|it| key_hash(format!("key-{it}").as_bytes())).collect(),
            slot_count: SlotCount::new(slots).expect("a valid number of slots"),
            members: (0..members).map(|it| MemberLifetime::new(it, 0, None)).collect(),
            base,
            hot_periods: Vec::new(),
            start_s: 0,
            total_us_per_s: UTILISATION * CAPACITY_US_PER_S * members as f64,
        }
    }

    /// Returns the true load of each key at a second, in microseconds of upstream time a second.
    pub(super) fn loads_us_per_s(&self, second: u32) -> Vec<f64> {
        if second < self.start_s {
            return vec![0.0; self.keys.len()];
        }
        let hot = self.hot_periods.iter().filter(|it| (it.from_s..it.until_s).contains(&second));
        let hot: Vec<&HotPeriod> = hot.collect();
        let rest = 1.0 - hot.iter().map(|it| it.share).sum::<f64>();
        let mut shares: Vec<f64> = self.base.iter().map(|it| it * rest).collect();
        for add_hot_periods in hot {
            for key in &add_hot_periods.keys {
                shares[*key] += add_hot_periods.share / add_hot_periods.keys.len() as f64;
            }
        }
        shares.into_iter().map(|it| it * self.total_us_per_s).collect()
    }

    /// Returns whether some key at some time has more load than a member's fair share.
    pub(super) fn has_key_over_fair_share(&self) -> bool {
        (0..self.seconds).any(|second| {
            let loads = self.loads_us_per_s(second);
            let weights: f64 = self.members.iter().map(|it| it.weight(second)).sum();
            let fair_load = loads.iter().sum::<f64>() / weights;
            loads.iter().any(|it| *it > fair_load)
        })
    }

    /// Adds consecutive hot periods of equal length, each with newly drawn keys.
    fn add_hot_periods(&mut self, rng: &mut impl Rng, each_s: u32, keys: usize, share: f64) {
        for from_s in (0..self.seconds).step_by(each_s as usize) {
            let keys = (0..keys).map(|_| rng.random_range(0..self.keys.len())).collect();
            self.hot_periods.push(HotPeriod { from_s, until_s: from_s + each_s, keys, share });
        }
    }
}

/// Returns all workloads of the measurement.
pub(super) fn all(seed: u64) -> Vec<Workload> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let rng = &mut rng;
    let mut leader = Workload::new("one car leads a heat", rng, 4, 2000, 96);
    leader.add_hot_periods(rng, 180, 1, 0.15);
    let mut house = Workload::new("one house all afternoon", rng, 5, 4000, 96);
    let keys = vec![rng.random_range(0..house.keys.len())];
    house.hot_periods.push(HotPeriod { from_s: 60, until_s: DURATION_S, keys, share: 0.30 });
    let mut rush = Workload::new("the whole field starts in one second", rng, 4, 2000, 96);
    rush.start_s = 60;
    let mut churn_workload = Workload::new("servers join and leave", rng, 6, 4000, 96);
    churn_workload.members[1].end = Some((120, EndReason::Loss));
    churn_workload.members[4].end = Some((360, EndReason::Leave));
    churn_workload.members.push(MemberLifetime::new(1, 240, Some((720, EndReason::Loss))));
    churn_workload.members.push(MemberLifetime::new(4, 480, None));
    let mut hot = Workload::new("the hot set changes in minutes", rng, 24, 20_000, 480);
    hot.add_hot_periods(rng, 180, 32, 0.40);
    vec![leader, house, rush, churn_workload, hot]
}
