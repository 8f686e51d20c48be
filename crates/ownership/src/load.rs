//! Merging and truncating load reports.

use std::collections::BTreeMap;

use model::SlotCount;

use crate::{CapacityReport, KeyLoad, KindTime, LoadReport, SlotLoad};

/// Maximum number of slots in one report.
pub(crate) const REPORT_SLOTS_MAX: usize = 64;
/// Maximum number of keys in one report.
pub(crate) const REPORT_KEYS_MAX: usize = 16;
/// Maximum number of kinds of requests in one report.
const REPORT_KINDS_MAX: usize = 4;

impl LoadReport {
    /// Adds a later report to this one, as reports accumulate until the next renewal.
    pub(crate) fn merge(self, later: LoadReport) -> LoadReport {
        let mut slots: BTreeMap<_, SlotLoad> = self.slots.iter().map(|it| (it.slot, *it)).collect();
        for it in &later.slots {
            let sum = slots.entry(it.slot).or_insert(SlotLoad { load_us: 0, ..*it });
            sum.load_us = sum.load_us.saturating_add(it.load_us);
            sum.in_flight = it.in_flight;
        }
        let mut keys: BTreeMap<_, KeyLoad> =
            self.keys.iter().map(|it| (it.key_hash, *it)).collect();
        for it in &later.keys {
            let sum = keys.entry(it.key_hash).or_insert(KeyLoad { load_us: 0, ..*it });
            sum.load_us = sum.load_us.saturating_add(it.load_us);
        }
        LoadReport {
            period_ms: self.period_ms.saturating_add(later.period_ms),
            total_us: self.total_us.saturating_add(later.total_us),
            slots: slots.into_values().collect(),
            keys: keys.into_values().collect(),
            capacity: CapacityReport::merge_pending(self.capacity, later.capacity),
        }
        .keep_heaviest()
    }

    /// Adds the load of each key to its slot and removes the keys. In services with ordered keys no key has an entry
    /// of its own, so a range of busy neighbouring keys is visible only in the loads of its slots. The keys of a
    /// report may hold most of its load: the 16 heaviest keys do so in a report over 1 s with 30 requests.
    pub(crate) fn attribute_keys_to_slots(self, slot_count: SlotCount) -> LoadReport {
        let mut slots: BTreeMap<_, SlotLoad> = self.slots.iter().map(|it| (it.slot, *it)).collect();
        for it in &self.keys {
            let slot = slot_count.slot_of(it.key_hash);
            let sum = slots.entry(slot).or_insert(SlotLoad { slot, load_us: 0, in_flight: 0 });
            sum.load_us = sum.load_us.saturating_add(it.load_us);
        }
        LoadReport { slots: slots.into_values().collect(), keys: Vec::new(), ..self }
    }

    /// Truncates the report to its heaviest slots and keys.
    pub(crate) fn keep_heaviest(mut self) -> LoadReport {
        self.slots.sort_by_key(|it| std::cmp::Reverse(it.load_us));
        self.slots.truncate(REPORT_SLOTS_MAX);
        self.keys.sort_by_key(|it| std::cmp::Reverse(it.load_us));
        self.keys.truncate(REPORT_KEYS_MAX);
        self.capacity = self.capacity.map(CapacityReport::keep_heaviest);
        self
    }
}

impl CapacityReport {
    /// Adds a later report, if there is one, to a pending one.
    pub(crate) fn merge_pending(
        pending: Option<CapacityReport>,
        later: Option<CapacityReport>,
    ) -> Option<CapacityReport> {
        match (pending, later) {
            (Some(pending), Some(later)) => Some(pending.merge(&later)),
            (pending, later) => later.or(pending),
        }
    }

    /// Adds a later report to this one. The later number of slots applies.
    fn merge(self, later: &CapacityReport) -> CapacityReport {
        let mut kinds: BTreeMap<u8, KindTime> =
            self.kinds.iter().map(|it| (it.kind, *it)).collect();
        for it in &later.kinds {
            let sum = kinds.entry(it.kind).or_insert(KindTime { count: 0, total_us: 0, ..*it });
            sum.count = sum.count.saturating_add(it.count);
            sum.total_us = sum.total_us.saturating_add(it.total_us);
        }
        CapacityReport { slots: later.slots, kinds: kinds.into_values().collect() }.keep_heaviest()
    }

    /// Truncates the report to the kinds with the most time.
    pub fn keep_heaviest(mut self) -> CapacityReport {
        self.kinds.sort_by_key(|it| (std::cmp::Reverse(it.total_us), it.kind));
        self.kinds.truncate(REPORT_KINDS_MAX);
        self
    }
}
