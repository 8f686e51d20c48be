//! How much upstream time the slots and the heaviest keys took since the last report.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use model::{KeyHash, Slot, Timestamp};
use ownership::{KeyLoad, LoadReport, SlotLoad};
use traffic::Sketch;

/// How many slots a report names.
const SLOTS_MAX: usize = 64;
/// How many keys a report names.
const KEYS_MAX: usize = 16;
/// How many keys are counted at a time.
const KEYS_TRACKED_MAX: usize = 128;

#[derive(Debug)]
struct Loads {
    since: Timestamp,
    total_us: u64,
    slots: HashMap<Slot, u64>,
    keys: Sketch<KeyHash>,
}

/// Load of the local upstream; bounded in size whatever the number of keys.
#[derive(Debug)]
pub(crate) struct LoadTable(Mutex<Loads>);

impl Default for LoadTable {
    fn default() -> LoadTable {
        LoadTable(Mutex::new(Loads::new(Timestamp::ZERO)))
    }
}

impl LoadTable {
    /// Adds the upstream time of one request. `slot` is none for a key owned apart from its slot.
    pub(crate) fn add(&self, slot: Option<Slot>, key_hash: KeyHash, spent: Duration) {
        let load_us = u64::try_from(spent.as_micros()).unwrap_or(u64::MAX);
        let mut loads = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        loads.total_us = loads.total_us.saturating_add(load_us);
        if let Some(slot) = slot {
            *loads.slots.entry(slot).or_default() += load_us;
        }
        loads.keys.add(key_hash, load_us);
    }

    /// The load since the last call, heaviest first.
    pub(crate) fn take(&self, now: Timestamp, in_flight: impl Fn(Slot) -> u32) -> LoadReport {
        let fresh = Loads::new(now);
        let mut lock = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let loads = std::mem::replace(&mut *lock, fresh);
        drop(lock);
        loads.report(now, in_flight)
    }
}

impl Loads {
    fn new(since: Timestamp) -> Loads {
        let keys = Sketch::new(KEYS_TRACKED_MAX);
        Loads { since, total_us: 0, slots: HashMap::new(), keys }
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
        // What is certain of each: the sketch may have counted others' load with it.
        let certain = |it: traffic::Heavy<KeyHash>| KeyLoad {
            key_hash: it.key,
            load_us: it.weight - it.error,
        };
        let heaviest = self.keys.heaviest(KEYS_TRACKED_MAX);
        let mut keys: Vec<KeyLoad> = heaviest.into_iter().map(certain).collect();
        keys.sort_by_key(|it| (std::cmp::Reverse(it.load_us), it.key_hash));
        keys.truncate(KEYS_MAX);
        let period_ms = u32::try_from(now.since(self.since).as_millis()).unwrap_or(u32::MAX);
        LoadReport { period_ms, total_us: self.total_us, slots, keys }
    }
}
