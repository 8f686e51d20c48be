//! How much upstream time the slots and the heaviest keys took since the last report, or would have
//! taken if there had been room.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
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

/// A request refused for want of room counts as this share of what those that ran took on average. The
/// load that this answers: busy neighbouring keys ask for several times what their upstream can do. What
/// runs never shows more than a full upstream, beside others that may be nearly as full. Not the whole,
/// for the caller comes back and is counted again.
const REFUSED_WEIGHT: f64 = 0.5;

#[derive(Debug)]
struct Loads {
    since: Timestamp,
    total_us: u64,
    /// Requests that ran, and what they took.
    ran: u64,
    ran_us: u64,
    slots: HashMap<Slot, u64>,
    /// Each with the slot that it follows, if it does.
    keys: Sketch<(KeyHash, Option<Slot>)>,
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
        let mut loads = self.lock();
        loads.ran += 1;
        loads.ran_us = loads.ran_us.saturating_add(load_us);
        loads.add(slot, key_hash, load_us);
    }

    /// Adds a request that was refused for want of room.
    pub(crate) fn add_refused(&self, slot: Option<Slot>, key_hash: KeyHash) {
        let mut loads = self.lock();
        // Without any that ran there is nothing to judge it by.
        let Some(mean_us) = loads.ran_us.checked_div(loads.ran) else { return };
        loads.add(slot, key_hash, (mean_us as f64 * REFUSED_WEIGHT) as u64);
    }

    fn lock(&self) -> MutexGuard<'_, Loads> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The load since the last call, heaviest first.
    pub(crate) fn take(&self, now: Timestamp, in_flight: impl Fn(Slot) -> u32) -> LoadReport {
        let fresh = Loads::new(now);
        let mut lock = self.lock();
        let loads = std::mem::replace(&mut *lock, fresh);
        drop(lock);
        loads.report(now, in_flight)
    }
}

impl Loads {
    fn new(since: Timestamp) -> Loads {
        let keys = Sketch::new(KEYS_TRACKED_MAX);
        Loads { since, total_us: 0, ran: 0, ran_us: 0, slots: HashMap::new(), keys }
    }

    fn add(&mut self, slot: Option<Slot>, key_hash: KeyHash, load_us: u64) {
        self.total_us = self.total_us.saturating_add(load_us);
        if let Some(slot) = slot {
            *self.slots.entry(slot).or_default() += load_us;
        }
        self.keys.add((key_hash, slot), load_us);
    }

    fn report(mut self, now: Timestamp, in_flight: impl Fn(Slot) -> u32) -> LoadReport {
        let keys = self.take_heaviest_keys();
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
        let period_ms = u32::try_from(now.since(self.since).as_millis()).unwrap_or(u32::MAX);
        LoadReport { period_ms, total_us: self.total_us, slots, keys }
    }

    /// The heaviest keys, whose load is taken out of that of their slots: whoever places slots
    /// and keys must not count it twice.
    fn take_heaviest_keys(&mut self) -> Vec<KeyLoad> {
        // What is certain of each: the sketch may have counted others' load with it.
        let heaviest = self.keys.heaviest(KEYS_TRACKED_MAX);
        let mut keys: Vec<_> =
            heaviest.into_iter().map(|it| (it.key, it.weight - it.error)).collect();
        keys.sort_by_key(|((key_hash, _), load_us)| (std::cmp::Reverse(*load_us), *key_hash));
        keys.truncate(KEYS_MAX);
        for ((_, slot), load_us) in &keys {
            if let Some(of_slot) = slot.and_then(|it| self.slots.get_mut(&it)) {
                *of_slot = of_slot.saturating_sub(*load_us);
            }
        }
        keys.into_iter().map(|((key_hash, _), load_us)| KeyLoad { key_hash, load_us }).collect()
    }
}
