//! Smoothed loads of slots and of the hottest keys, from the reports of members.

use std::{collections::BTreeMap, time::Duration};

use model::{KeyHash, Slot, Timestamp};

use crate::{LoadReport, ctx::MemberId, work};

use super::{Coordination, members::MemberRow};

/// The weight of the newest report in a smoothed load.
const LOAD_WEIGHT: f64 = 0.3;
/// The number of load reports of a member after which its load can be compared with that of others.
const REPORTS_MIN: u32 = 3;
/// The time after a member's join after which its load is compared even with fewer reports.
const REPORTS_WAIT: Duration = Duration::from_secs(5);
/// The time for which the placement of an earlier term is kept after all slots were granted again.
/// Smoothed loads that begin with the first requests then reach nine tenths of their final values.
const KEPT_PLACEMENT_MIN: Duration = Duration::from_secs(8);
/// The most keys whose load is kept, over all members.
const HOT_KEYS_MAX: usize = 256;
/// The share of its load that a key loses at a proposal if no member has reported it since the
/// previous one.
const UNREPORTED_DECAY: f64 = 0.3;
/// The least load of a key that is kept.
const LOAD_MIN_US_PER_S: f64 = 100.0;

/// The loads of the hottest keys of the group, at most [`HOT_KEYS_MAX`].
#[derive(Debug, Default)]
pub(crate) struct HotKeys {
    loads: BTreeMap<KeyHash, HotKeyLoad>,
}

/// The smoothed load of one key, as time at an upstream of speed 1.
#[derive(Debug)]
struct HotKeyLoad {
    us_per_s: f64,
    /// Whether any member has reported it since the last proposal.
    is_reported: bool,
}

impl HotKeys {
    /// Adds a reported load of a key.
    fn report(&mut self, key_hash: KeyHash, us_per_s: f64) {
        if let Some(it) = self.loads.get_mut(&key_hash) {
            it.us_per_s += LOAD_WEIGHT * (us_per_s - it.us_per_s);
            it.is_reported = true;
            return;
        }
        if self.loads.len() < HOT_KEYS_MAX || self.evict_lighter(us_per_s) {
            self.loads.insert(key_hash, HotKeyLoad { us_per_s, is_reported: true });
        }
    }

    /// Removes the key with the least load if that is less than `us_per_s`. Returns whether there
    /// is room for another key.
    fn evict_lighter(&mut self, us_per_s: f64) -> bool {
        let lightest = self.loads.iter().min_by(|a, b| a.1.us_per_s.total_cmp(&b.1.us_per_s));
        let Some((key_hash, load)) = lightest else { return true };
        let (key_hash, is_lighter) = (*key_hash, load.us_per_s < us_per_s);
        if is_lighter {
            self.loads.remove(&key_hash);
        }
        is_lighter
    }

    /// Reduces the load of keys that no member has reported since the last call, and removes those
    /// with too little load.
    pub(crate) fn decay_unreported(&mut self) {
        for it in self.loads.values_mut() {
            if !it.is_reported {
                it.us_per_s *= 1.0 - UNREPORTED_DECAY;
            }
            it.is_reported = false;
        }
        self.loads.retain(|_, it| it.us_per_s >= LOAD_MIN_US_PER_S);
    }

    /// Multiplies the load of each key by a factor.
    pub(super) fn scale(&mut self, factor: impl Fn(KeyHash) -> f64) {
        for (key_hash, it) in &mut self.loads {
            it.us_per_s *= factor(*key_hash);
        }
    }

    /// Returns the load of a key in microseconds per second, or 0 if it is not kept.
    pub(crate) fn load(&self, key_hash: KeyHash) -> f64 {
        self.loads.get(&key_hash).map_or(0.0, |it| it.us_per_s)
    }

    /// Returns the keys whose loads are kept.
    pub(crate) fn keys(&self) -> impl Iterator<Item = KeyHash> {
        self.loads.keys().copied()
    }
}

/// Applies a reported load to a smoothed one. The first report is taken unsmoothed.
fn smooth(load: &mut Option<f64>, us_per_s: f64) {
    let load = load.get_or_insert(us_per_s);
    *load += LOAD_WEIGHT * (us_per_s - *load);
}

impl Coordination {
    /// Returns whether the loads of all members can be compared. A new coordinator receives their
    /// reports one by one, and loads can be compared only once the speeds of the upstreams at which
    /// they were measured are known. While the placement of an earlier term is kept, reports from
    /// before the slots were granted again show no load and do not count.
    pub(super) fn has_comparable_loads(&self, now: Timestamp, keeps_placement: bool) -> bool {
        let counted_since = match keeps_placement {
            true => self.served_since,
            false => Some(Timestamp::ZERO),
        };
        let Some(counted_since) = counted_since else { return false };
        if keeps_placement && now.since(counted_since) < KEPT_PLACEMENT_MIN {
            return false;
        }
        let is_comparable = |row: &MemberRow| {
            let is_reported = row.joined_at >= counted_since && row.load_reports >= REPORTS_MIN;
            !row.is_eligible()
                || row.speed.is_known()
                || (is_reported && !row.speed.is_pending())
                || now.since(row.joined_at.max(counted_since)) > REPORTS_WAIT
        };
        self.members.rows.values().all(is_comparable)
    }

    /// Applies a member's load report to the loads of its slots and hot keys, which are kept as time at
    /// an upstream of speed 1.
    pub(super) fn apply_load_report(&mut self, id: &MemberId, report: &LoadReport) {
        if report.period_ms == 0 {
            return;
        }
        let speed = self.members.rows.get(id).map_or(1.0, |it| it.speed.speed);
        let per_s = |load_us: u64| load_us as f64 * speed * 1000.0 / f64::from(report.period_ms);
        let mut keys_us = 0_u64;
        for it in &report.keys {
            keys_us = keys_us.saturating_add(it.load_us);
            self.hot_keys.report(it.key_hash, per_s(it.load_us));
        }
        let mut rest_us = report.total_us;
        let mut reported: Vec<Slot> = Vec::with_capacity(report.slots.len());
        for it in &report.slots {
            rest_us = rest_us.saturating_sub(it.load_us);
            reported.push(it.slot);
            if let Some(row) = self.slot_table.row_mut(it.slot) {
                smooth(&mut row.load_us_per_s, per_s(it.load_us));
            }
        }
        self.distribute_rest(id, &reported, per_s(rest_us.saturating_sub(keys_us)));
    }

    /// Distributes the rest of a member's load evenly over those of its slots that are too lightly
    /// loaded to be reported.
    fn distribute_rest(&mut self, id: &MemberId, reported: &[Slot], rest_us_per_s: f64) {
        work::add_entries(self.slot_table.slots.len() / 2);
        let slots = self.slot_table.slot_count.iter().zip(&mut self.slot_table.slots);
        let mut others: Vec<&mut Option<f64>> = slots
            .filter(|(slot, row)| {
                row.holder.grant().is_some_and(|it| it.member == *id) && !reported.contains(slot)
            })
            .map(|(_, row)| &mut row.load_us_per_s)
            .collect();
        let share = rest_us_per_s / others.len().max(1) as f64;
        for load in &mut others {
            smooth(load, share);
        }
    }
}
