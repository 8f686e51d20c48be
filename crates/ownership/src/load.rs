//! Load reports are merged while they wait to be sent.

use std::collections::BTreeMap;

use model::SlotCount;

use crate::{KeyLoad, LoadReport, SlotLoad};

/// The most slots in one report.
pub(crate) const REPORT_SLOTS_MAX: usize = 64;
/// The most keys in one report.
pub(crate) const REPORT_KEYS_MAX: usize = 16;

impl LoadReport {
    /// Adds a later report to this one.
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
        }
        .keep_heaviest()
    }

    /// The same with the load of its keys counted to their slots. Where keys have an order, none has an
    /// entry of its own, and a stretch of busy neighbours shows in the loads of its slots or nowhere: of
    /// a report over 1 s with 30 requests, the 16 heaviest keys may carry most.
    pub(crate) fn attribute_keys_to_slots(self, slot_count: SlotCount) -> LoadReport {
        let mut slots: BTreeMap<_, SlotLoad> = self.slots.iter().map(|it| (it.slot, *it)).collect();
        for it in &self.keys {
            let slot = slot_count.slot_of(it.key_hash);
            let sum = slots.entry(slot).or_insert(SlotLoad { slot, load_us: 0, in_flight: 0 });
            sum.load_us = sum.load_us.saturating_add(it.load_us);
        }
        LoadReport { slots: slots.into_values().collect(), keys: Vec::new(), ..self }
    }

    /// Keeps the heaviest entries only.
    pub(crate) fn keep_heaviest(mut self) -> LoadReport {
        self.slots.sort_by_key(|it| std::cmp::Reverse(it.load_us));
        self.slots.truncate(REPORT_SLOTS_MAX);
        self.keys.sort_by_key(|it| std::cmp::Reverse(it.load_us));
        self.keys.truncate(REPORT_KEYS_MAX);
        self
    }
}
