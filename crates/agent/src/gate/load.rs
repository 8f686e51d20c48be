//! How much upstream time the slots and the heaviest keys took since the last report.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use model::{KeyHash, Slot, Timestamp};
use ownership::{KeyLoad, LoadReport, SlotLoad};

/// How many slots a report names.
const SLOTS_MAX: usize = 64;
/// How many keys a report names.
const KEYS_MAX: usize = 16;
/// How many keys are counted at a time; the lightest gives way to a new one.
const KEYS_TRACKED_MAX: usize = 128;

#[derive(Debug, Default)]
struct Loads {
    since: Timestamp,
    total_us: u64,
    slots: HashMap<Slot, u64>,
    keys: HashMap<KeyHash, KeyCount>,
}

/// Counted load of one key. `inherited_us` is what it took over from the key it replaced.
#[derive(Debug, Clone, Copy, Default)]
struct KeyCount {
    load_us: u64,
    inherited_us: u64,
}

/// Load of the local upstream; bounded in size whatever the number of keys.
#[derive(Debug, Default)]
pub(crate) struct LoadTable(Mutex<Loads>);

impl LoadTable {
    /// Adds the upstream time of one request. `slot` is none for a key owned apart from its slot.
    pub(crate) fn add(&self, slot: Option<Slot>, key_hash: KeyHash, spent: Duration) {
        let load_us = u64::try_from(spent.as_micros()).unwrap_or(u64::MAX);
        let mut loads = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        loads.total_us = loads.total_us.saturating_add(load_us);
        if let Some(slot) = slot {
            *loads.slots.entry(slot).or_default() += load_us;
        }
        loads.add_key(key_hash, load_us);
    }

    /// The load since the last call, heaviest first.
    pub(crate) fn take(&self, now: Timestamp, in_flight: impl Fn(Slot) -> u32) -> LoadReport {
        let fresh = Loads { since: now, ..Loads::default() };
        let mut lock = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let loads = std::mem::replace(&mut *lock, fresh);
        drop(lock);
        loads.report(now, in_flight)
    }
}

impl Loads {
    /// The space-saving sketch: a new key takes the place and the count of the lightest.
    fn add_key(&mut self, key_hash: KeyHash, load_us: u64) {
        if let Some(count) = self.keys.get_mut(&key_hash) {
            count.load_us += load_us;
            return;
        }
        let mut inherited_us = 0;
        if self.keys.len() >= KEYS_TRACKED_MAX {
            let lightest = self.keys.iter().min_by_key(|(_, count)| count.load_us);
            if let Some((lightest, count)) = lightest.map(|(key, count)| (*key, *count)) {
                self.keys.remove(&lightest);
                inherited_us = count.load_us;
            }
        }
        let count = KeyCount { load_us: inherited_us + load_us, inherited_us };
        self.keys.insert(key_hash, count);
    }

    fn report(self, now: Timestamp, in_flight: impl Fn(Slot) -> u32) -> LoadReport {
        let mut slots: Vec<SlotLoad> = self
            .slots
            .into_iter()
            .map(|(slot, load_us)| {
                let in_flight = u16::try_from(in_flight(slot)).unwrap_or(u16::MAX);
                SlotLoad { slot, load_us, in_flight }
            })
            .collect();
        slots.sort_by_key(|it| (std::cmp::Reverse(it.load_us), it.slot));
        slots.truncate(SLOTS_MAX);
        let mut keys: Vec<KeyLoad> = self
            .keys
            .into_iter()
            .map(|(key_hash, count)| KeyLoad {
                key_hash,
                load_us: count.load_us - count.inherited_us,
            })
            .collect();
        keys.sort_by_key(|it| (std::cmp::Reverse(it.load_us), it.key_hash));
        keys.truncate(KEYS_MAX);
        let period_ms = u32::try_from(now.since(self.since).as_millis()).unwrap_or(u32::MAX);
        LoadReport { period_ms, total_us: self.total_us, slots, keys }
    }
}
