//! Measured speeds of upstreams, and the weights that they give to members in the planner.
//!
//! Members report how long their upstreams take for each kind of request. A member's speed is the median time of a kind
//! over all members relative to its own, so it does not depend on the mix of requests that its keys get. Speeds and
//! weights change only by more than the variation of measurements, because each change may move slots.

use std::collections::BTreeMap;

use model::Instance;

use crate::{CapacityReport, Event, KindTime, ctx::Ctx, work};

use super::{Coordination, members::MemberRow, slots::KeyHolder};

/// The number of capacity reports of a member after which its speed is known.
pub(super) const REPORTS_MIN: u32 = 3;
/// The share of the earlier measurements of a kind that remains with each report. Reports come once a second, so a
/// speed is measured over the last 20 s, and an upstream that is three times slower for 0.4 s now and then keeps it.
const KEPT_SHARE: f64 = 0.95;
/// The number of measured requests from which the mean time of a kind is used. With fewer, the mean varies by more than
/// [`SPEED_CHANGE_MIN`] at random.
const KIND_COUNT_MIN: f64 = 20.0;
/// The most kinds whose times are kept for a member.
const KINDS_MAX: usize = 8;
/// The number of reports after a change of the service's document that are left out. Kinds are numbers of routes in the
/// document, and a report covers a second, which may have begun before the change.
const REPORTS_LEFT_OUT: u32 = 2;
/// The number of reports after a change of the document for which a known speed is kept: the time over which a mean is
/// measured. A mean of a few requests would change speeds at random.
const REPORTS_KEPT: u32 = 20;
/// The smallest and the largest speed and weight. They bound the load that a member with wrong measurements attracts or
/// repels.
const FACTOR_MIN: f64 = 0.25;
const FACTOR_MAX: f64 = 4.0;
/// The smallest relative change of a speed that is applied: three standard deviations of the mean of 400 requests whose
/// times deviate by half of their mean.
const SPEED_CHANGE_MIN: f64 = 0.08;
/// Weights are multiples of this step.
const WEIGHTS_PER_UNIT: f64 = 10.0;
/// The smallest difference between a member's capacity and its weight that changes the weight. It is larger than half a
/// step, so that a capacity between two steps does not alternate between them.
const WEIGHT_CHANGE_MIN: f64 = 0.075;
/// The largest number of slots of an upstream that is accepted in a report.
const SLOTS_MAX: u16 = 4_096;
/// The bounds of the mean time of a kind of request in a report, in microseconds.
const MEAN_US_MIN: u64 = 1;
const MEAN_US_MAX: u64 = 600_000_000;
/// The largest number of requests of a kind in a report. It corresponds to ten seconds at 100,000 requests per second.
const COUNT_MAX: u32 = 1_000_000;

/// The capacity of a member, as the coordinator plans with it.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberCapacity {
    pub member: Instance,
    /// Smoothed number of requests that the upstream runs at a time.
    pub slots: f64,
    /// Speed of the upstream relative to the median member.
    pub speed: f64,
    /// Share of the load relative to the mean member.
    pub weight: f64,
}

/// The measurements of one kind of request. Earlier ones count less with each report.
#[derive(Debug, Clone, Copy)]
struct KindMeasurement {
    kind: u8,
    count: f64,
    total_us: f64,
}

/// The measured speed and the weight of one member.
#[derive(Debug)]
pub(crate) struct SpeedRow {
    reports: u32,
    slots: f64,
    kinds: Vec<KindMeasurement>,
    /// The number of next reports that are left out, and for which the speed is kept.
    left_out: u32,
    kept: u32,
    /// The speed that loads are converted with.
    pub(super) speed: f64,
    /// The weight in the planner while the member may own slots; `None` until it is first computed.
    weight: Option<f64>,
}

impl Default for SpeedRow {
    fn default() -> SpeedRow {
        SpeedRow {
            reports: 0,
            slots: 0.0,
            kinds: Vec::new(),
            left_out: 0,
            kept: 0,
            speed: 1.0,
            weight: None,
        }
    }
}

impl SpeedRow {
    /// Adds a report. Returns whether a value was out of range and was replaced by its bound.
    pub(super) fn record(&mut self, report: &CapacityReport) -> bool {
        let (report, is_clamped) = clamped(report);
        if report.kinds.is_empty() {
            return is_clamped;
        }
        self.kept = self.kept.saturating_sub(1);
        if self.left_out > 0 {
            self.left_out -= 1;
            return is_clamped;
        }
        let slots = f64::from(report.slots);
        self.slots = match self.reports {
            0 => slots,
            _ => KEPT_SHARE * self.slots + (1.0 - KEPT_SHARE) * slots,
        };
        self.reports = self.reports.saturating_add(1);
        for it in &mut self.kinds {
            it.count *= KEPT_SHARE;
            it.total_us *= KEPT_SHARE;
        }
        for it in &report.kinds {
            self.add(it);
        }
        self.kinds.sort_by(|a, b| b.total_us.total_cmp(&a.total_us));
        self.kinds.truncate(KINDS_MAX);
        is_clamped
    }

    /// Forgets the measured kinds, whose numbers have another meaning in a new document, and keeps the speed.
    pub(super) fn clear_kinds(&mut self) {
        self.kinds.clear();
        self.left_out = REPORTS_LEFT_OUT;
        self.kept = if self.is_known() { REPORTS_KEPT } else { 0 };
    }

    fn add(&mut self, time: &KindTime) {
        let (count, total_us) = (f64::from(time.count), time.total_us as f64);
        match self.kinds.iter_mut().find(|it| it.kind == time.kind) {
            Some(it) => {
                it.count += count;
                it.total_us += total_us;
            }
            None => self.kinds.push(KindMeasurement { kind: time.kind, count, total_us }),
        }
    }

    /// Returns whether the member has reported its capacity often enough to be weighed.
    pub(super) fn is_known(&self) -> bool {
        self.reports >= REPORTS_MIN
    }

    /// Returns whether the member has begun to report its capacity, but is not known yet.
    pub(super) fn is_pending(&self) -> bool {
        self.reports > 0 && !self.is_known()
    }

    /// Returns the kinds with enough measurements, each with its mean time.
    fn means(&self) -> impl Iterator<Item = (&KindMeasurement, f64)> {
        let measured = self.kinds.iter().filter(|it| self.is_known() && it.count >= KIND_COUNT_MIN);
        measured.map(|it| (it, it.total_us / it.count))
    }

    /// Returns the measured speed, or `None` if no kind has enough measurements.
    fn measured_speed(&self, medians: &BTreeMap<u8, f64>) -> Option<f64> {
        let (mut sum, mut total_us) = (0.0, 0.0);
        for (it, mean_us) in self.means() {
            let Some(median_us) = medians.get(&it.kind) else { continue };
            sum += it.total_us * (median_us / mean_us).ln();
            total_us += it.total_us;
        }
        (total_us > 0.0).then(|| (sum / total_us).exp().clamp(FACTOR_MIN, FACTOR_MAX))
    }

    /// Returns the speed to apply: the measured one, unless it differs too little from the one in use.
    fn next_speed(&self, medians: &BTreeMap<u8, f64>) -> f64 {
        match self.measured_speed(medians) {
            Some(it) if (it / self.speed).ln().abs() >= SPEED_CHANGE_MIN => it,
            _ => self.speed,
        }
    }

    /// Returns the weight for a capacity relative to the mean one.
    fn next_weight(&self, capacity: f64) -> f64 {
        let capacity = capacity.clamp(FACTOR_MIN, FACTOR_MAX);
        match self.weight {
            Some(it) if (capacity - it).abs() < WEIGHT_CHANGE_MIN => it,
            _ => (capacity * WEIGHTS_PER_UNIT).round() / WEIGHTS_PER_UNIT,
        }
    }
}

/// Replaces the values of a report that are out of range by their bounds, and drops kinds without requests. Returns
/// whether there were any.
fn clamped(report: &CapacityReport) -> (CapacityReport, bool) {
    let kind = |it: &KindTime| {
        let count = it.count.min(COUNT_MAX);
        let range = u64::from(count) * MEAN_US_MIN..=u64::from(count) * MEAN_US_MAX;
        KindTime { count, total_us: it.total_us.clamp(*range.start(), *range.end()), ..*it }
    };
    let kinds = report.kinds.iter().filter(|it| it.count > 0).map(kind).collect();
    let clamped = CapacityReport { slots: report.slots.clamp(1, SLOTS_MAX), kinds };
    let is_clamped = clamped != *report;
    (clamped, is_clamped)
}

/// Returns the median of the values, which is the mean of the middle two if their number is even.
fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() % 2 {
        1 => values[middle],
        _ => (values[middle - 1] + values[middle]) / 2.0,
    }
}

/// Returns the median over the members of the mean time of each kind.
fn medians<'a>(rows: impl Iterator<Item = &'a SpeedRow>) -> BTreeMap<u8, f64> {
    let mut means: BTreeMap<u8, Vec<f64>> = BTreeMap::new();
    for row in rows {
        for (it, mean_us) in row.means() {
            means.entry(it.kind).or_default().push(mean_us);
        }
    }
    means.into_iter().map(|(kind, mut values)| (kind, median(&mut values))).collect()
}

/// Returns the next speed of each member. Members with an older version of the document than others, and those whose
/// version has just risen, keep their speed and do not count in the medians, since their kinds are not comparable. All
/// keep their speeds while these are more than half, because the rest may be a single member.
fn next_speeds(rows: &[&MemberRow]) -> Vec<f64> {
    let known = || rows.iter().filter(|it| it.speed.is_known());
    let newest = known().map(|it| it.config).max().unwrap_or_default();
    let is_compared = |it: &MemberRow| it.config == newest && it.speed.kept == 0;
    let compared = || known().filter(|it| is_compared(it));
    if 2 * compared().count() < known().count() {
        return rows.iter().map(|it| it.speed.speed).collect();
    }
    let medians = medians(compared().map(|it| &it.speed));
    let next = |it: &&MemberRow| match is_compared(it) {
        true => it.speed.next_speed(&medians),
        false => it.speed.speed,
    };
    rows.iter().map(next).collect()
}

impl Coordination {
    /// Updates the speeds and weights of all members from their reports, and converts the loads measured at members
    /// whose speed has changed. Without the weighing of capacity all are 1.
    pub(super) fn update_speeds(&mut self, ctx: &mut Ctx<'_>) {
        if !ctx.limits().weighs_capacity {
            return self.reset_speeds();
        }
        work::add_entries(2 * KINDS_MAX * self.members.rows.len());
        self.apply_speeds(next_speeds(&self.members.rows.values().collect::<Vec<_>>()));
        self.update_weights(ctx);
    }

    /// Resets all speeds and weights after the weighing of capacity was switched off.
    fn reset_speeds(&mut self) {
        if self.members.rows.values().all(|it| it.speed.reports == 0) {
            return;
        }
        self.apply_speeds(vec![1.0; self.members.rows.len()]);
        self.members.rows.values_mut().for_each(|it| it.speed = SpeedRow::default());
    }

    /// Sets the speeds of the members, in the order of their ids. Loads are kept as time at an upstream of speed 1, so
    /// those measured at a member are converted together with its speed.
    fn apply_speeds(&mut self, speeds: Vec<f64>) {
        let mut factors = BTreeMap::new();
        for ((id, row), speed) in self.members.rows.iter_mut().zip(speeds) {
            if speed != row.speed.speed {
                factors.insert(id.clone(), speed / row.speed.speed);
                row.speed.speed = speed;
            }
        }
        if factors.is_empty() {
            return;
        }
        work::add_entries(2 * self.slot_table.slots.len());
        for row in &mut self.slot_table.slots {
            let factor = row.holder.grant().and_then(|it| factors.get(&it.member));
            if let (Some(load), Some(factor)) = (&mut row.load_us_per_s, factor) {
                *load *= factor;
            }
        }
        let slot_table = &self.slot_table;
        self.hot_keys.scale(|key_hash| {
            let slot = &slot_table.slots[usize::from(slot_table.slot_count.slot_of(key_hash).0)];
            let grant = match slot_table.keys.get(&key_hash).map(|it| &it.holder) {
                None | Some(KeyHolder::Slot) => slot.holder.grant(),
                Some(holder) => holder.grant(),
            };
            grant.and_then(|it| factors.get(&it.member)).copied().unwrap_or(1.0)
        });
    }

    /// Sets the weights of the members that may own slots: their capacity relative to the mean. A member that is not
    /// known yet counts with the median number of slots and its speed of 1. Capacities are bounded relative to the
    /// median first, so that a member that reports an absurd one has no influence on the mean.
    fn update_weights(&mut self, ctx: &mut Ctx<'_>) {
        let known = self.members.rows.values().map(|it| &it.speed).filter(|it| it.is_known());
        let mut slots: Vec<f64> = known.map(|it| it.slots).collect();
        if slots.is_empty() {
            return;
        }
        let slots_median = median(&mut slots);
        let relative_capacity = |it: &SpeedRow| match it.is_known() {
            true => (it.slots / slots_median * it.speed).clamp(FACTOR_MIN, FACTOR_MAX),
            false => 1.0,
        };
        let eligible = self.members.rows.values_mut().filter(|it| it.is_eligible());
        let mut eligible: Vec<(f64, &mut MemberRow)> =
            eligible.map(|it| (relative_capacity(&it.speed), it)).collect();
        let mean = eligible.iter().map(|it| it.0).sum::<f64>() / eligible.len() as f64;
        for (capacity, row) in &mut eligible {
            let weight = row.speed.next_weight(*capacity / mean);
            let is_changed = row.speed.weight.unwrap_or(1.0) != weight;
            row.speed.weight = Some(weight);
            if is_changed {
                ctx.emit(Event::MemberWeighed(row.capacity()));
            }
        }
    }

    /// Returns the capacities of the members whose speeds are known.
    pub(crate) fn capacities(&self) -> impl Iterator<Item = MemberCapacity> {
        self.members.rows.values().filter(|it| it.speed.is_known()).map(MemberRow::capacity)
    }
}

impl MemberRow {
    /// Returns the member's weight in the planner: 0 unless slots may be granted to it.
    pub(super) fn planner_weight(&self) -> f64 {
        match self.is_eligible() {
            true => self.speed.weight.unwrap_or(1.0),
            false => 0.0,
        }
    }

    fn capacity(&self) -> MemberCapacity {
        MemberCapacity {
            member: self.instance.clone(),
            slots: self.speed.slots,
            speed: self.speed.speed,
            weight: self.speed.weight.unwrap_or(1.0),
        }
    }
}
