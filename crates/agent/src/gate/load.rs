//! Upstream time that the slots and the heaviest keys have used since the last report, including
//! the estimated time of requests refused for lack of capacity; and the upstream time of answered
//! requests by kind, by which the coordinator compares the speeds of upstreams.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use model::{KeyHash, Slot, Timestamp};
use ownership::{CapacityReport, KeyLoad, KindTime, LoadReport, SlotLoad};
use traffic::Sketch;

/// Number of slots in a report.
const SLOTS_MAX: usize = 64;
/// Number of keys in a report.
const KEYS_MAX: usize = 16;
/// Number of keys that are tracked at a time.
const KEYS_TRACKED_MAX: usize = 128;

/// Weight of a request refused for lack of capacity, relative to the mean time of those that ran.
/// Without refused requests the load can't exceed that of a full upstream, even if busy
/// neighbouring keys request several times its capacity, so it would not stand out from upstreams
/// that are nearly full. The weight is less than one because the caller tries again and is counted
/// again.
const REFUSED_WEIGHT: f64 = 0.5;

#[derive(Debug)]
struct Loads {
    since: Timestamp,
    total_us: u64,
    /// Number of requests that ran, and their total time in microseconds.
    ran: u64,
    ran_us: u64,
    slots: HashMap<Slot, u64>,
    /// The heaviest keys, each with the slot that it follows, if it follows one.
    keys: Sketch<(KeyHash, Option<Slot>)>,
    /// Answered requests of each kind, and their total time in microseconds.
    kinds: HashMap<u8, (u32, u64)>,
    /// Slots of the upstream when it last answered.
    upstream_slots: u16,
}

/// Load of the local upstream. Its size is bounded regardless of the number of keys.
#[derive(Debug)]
pub(crate) struct LoadTable(Mutex<Loads>);

impl Default for LoadTable {
    fn default() -> LoadTable {
        LoadTable(Mutex::new(Loads::new(Timestamp::ZERO)))
    }
}

impl LoadTable {
    /// Adds the upstream time of one request. `slot` is `None` for a key that is owned separately
    /// from its slot.
    pub(crate) fn add(&self, slot: Option<Slot>, key_hash: KeyHash, upstream_time: Duration) {
        let load_us = u64::try_from(upstream_time.as_micros()).unwrap_or(u64::MAX);
        let mut loads = self.lock();
        loads.ran += 1;
        loads.ran_us = loads.ran_us.saturating_add(load_us);
        loads.add(slot, key_hash, load_us);
    }

    /// Adds a request that was refused for lack of capacity.
    pub(crate) fn add_refused(&self, slot: Option<Slot>, key_hash: KeyHash) {
        let mut loads = self.lock();
        // Without requests that ran, there is no mean time to estimate from.
        let Some(mean_us) = loads.ran_us.checked_div(loads.ran) else { return };
        loads.add(slot, key_hash, (mean_us as f64 * REFUSED_WEIGHT) as u64);
    }

    /// Adds an answered request of a kind. `slots` is the number of requests that the upstream runs at
    /// a time.
    pub(crate) fn add_answered(&self, kind: u8, upstream_time: Duration, slots: usize) {
        let time_us = u64::try_from(upstream_time.as_micros()).unwrap_or(u64::MAX);
        let mut loads = self.lock();
        loads.upstream_slots = u16::try_from(slots).unwrap_or(u16::MAX);
        let (count, total_us) = loads.kinds.entry(kind).or_default();
        *count = count.saturating_add(1);
        *total_us = total_us.saturating_add(time_us);
    }

    fn lock(&self) -> MutexGuard<'_, Loads> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the load since the last call, heaviest slots and keys first.
    pub(crate) fn take(&self, now: Timestamp, in_flight: impl Fn(Slot) -> u32) -> LoadReport {
        let empty = Loads::new(now);
        let mut current = self.lock();
        let loads = std::mem::replace(&mut *current, empty);
        drop(current);
        loads.report(now, in_flight)
    }
}

impl Loads {
    fn new(since: Timestamp) -> Loads {
        let keys = Sketch::new(KEYS_TRACKED_MAX);
        Loads {
            since,
            total_us: 0,
            ran: 0,
            ran_us: 0,
            slots: HashMap::new(),
            keys,
            kinds: HashMap::new(),
            upstream_slots: 0,
        }
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
        let capacity = self.capacity();
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
        LoadReport { period_ms, total_us: self.total_us, slots, keys, capacity }
    }

    /// Returns the measured capacity, unless no request was answered.
    fn capacity(&self) -> Option<CapacityReport> {
        if self.kinds.is_empty() {
            return None;
        }
        let kinds = self.kinds.iter();
        let kinds = kinds.map(|(kind, (count, total_us))| KindTime {
            kind: *kind,
            count: *count,
            total_us: *total_us,
        });
        let report = CapacityReport { slots: self.upstream_slots, kinds: kinds.collect() };
        Some(report.keep_heaviest())
    }

    /// Takes the heaviest keys and subtracts their load from that of their slots, so that placement
    /// does not count it twice.
    fn take_heaviest_keys(&mut self) -> Vec<KeyLoad> {
        // The error is subtracted because the sketch may count the load of other keys with that of
        // a key.
        let heaviest = self.keys.heaviest(KEYS_TRACKED_MAX);
        let mut keys: Vec<_> =
            heaviest.into_iter().map(|it| (it.key, it.weight - it.error)).collect();
        keys.sort_by_key(|((key_hash, _), load_us)| (std::cmp::Reverse(*load_us), *key_hash));
        keys.truncate(KEYS_MAX);
        for ((_, slot), load_us) in &keys {
            if let Some(slot_load_us) = slot.and_then(|it| self.slots.get_mut(&it)) {
                *slot_load_us = slot_load_us.saturating_sub(*load_us);
            }
        }
        keys.into_iter().map(|((key_hash, _), load_us)| KeyLoad { key_hash, load_us }).collect()
    }
}
