//! Keys hash to slots; slots are what instances own.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fixed for ever: all agents must agree on where a key lies.
const KEY_HASH_SEED: u64 = 0x706f_6d65_6c6f;

/// The hash of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub u64);

/// Hashes a key with xxh3-64.
pub fn key_hash(key: &[u8]) -> KeyHash {
    KeyHash(xxh3_64_with_seed(key, KEY_HASH_SEED))
}

/// How many keys a service has whose keys are whole numbers from 0, in an order that means
/// something: neighbours are busy together. At least one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrderedKeys(u32);

/// Neighbouring keys, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyRange {
    pub first: u32,
    pub last: u32,
}

impl OrderedKeys {
    /// None for no keys at all.
    pub fn new(count: u32) -> Option<OrderedKeys> {
        (count > 0).then_some(OrderedKeys(count))
    }

    pub fn count(self) -> u32 {
        self.0
    }

    /// The place of a key among all hashes, such that the order of keys is that of their places.
    /// None: there is no such key.
    pub fn hash_of(self, key: u32) -> Option<KeyHash> {
        let place = (u128::from(key) << 64).div_ceil(u128::from(self.0));
        (key < self.0).then_some(KeyHash(place as u64))
    }

    /// The keys of neighbouring slots, of which there are no more than keys.
    pub fn range_of_slots(self, slot_count: SlotCount, first: Slot, last: Slot) -> KeyRange {
        let begin =
            |slot: u64| (slot * u64::from(self.0)).div_ceil(u64::from(slot_count.count())) as u32;
        KeyRange { first: begin(first.0.into()), last: begin(u64::from(last.0) + 1) - 1 }
    }
}

/// A share of a service's keys that is owned as a whole.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slot(pub u16);

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// How many slots the keys of one group are spread over: 1 to 4096.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "u16", into = "u16")]
pub struct SlotCount(u16);

/// A number of slots out of range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the number of slots is 1 to {max}, not {0}", max = SlotCount::MAX)]
pub struct SlotCountError(u16);

impl SlotCount {
    pub const MAX: u16 = 4096;

    /// Makes a count of 1 to [`SlotCount::MAX`] slots.
    pub fn new(count: u16) -> Result<SlotCount, SlotCountError> {
        match count {
            1..=Self::MAX => Ok(SlotCount(count)),
            _ => Err(SlotCountError(count)),
        }
    }

    /// The slot in which a hash lies: equal ranges of the hash, in order.
    pub fn slot_of(self, hash: KeyHash) -> Slot {
        Slot(((u128::from(hash.0) * u128::from(self.0)) >> 64) as u16)
    }

    pub fn iter(self) -> impl Iterator<Item = Slot> {
        (0..self.0).map(Slot)
    }

    pub fn count(self) -> u16 {
        self.0
    }
}

impl TryFrom<u16> for SlotCount {
    type Error = SlotCountError;

    fn try_from(count: u16) -> Result<SlotCount, SlotCountError> {
        SlotCount::new(count)
    }
}

impl From<SlotCount> for u16 {
    fn from(count: SlotCount) -> u16 {
        count.0
    }
}
