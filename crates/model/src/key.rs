//! Key hashes and the slots into which they are divided. Ownership is assigned by slot.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the key hash. It must never change, since all agents must map a key to the same slot.
const KEY_HASH_SEED: u64 = 0x706f_6d65_6c6f;

/// Hash of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub u64);

/// Hashes a key with xxh3-64.
pub fn key_hash(key: &[u8]) -> KeyHash {
    KeyHash(xxh3_64_with_seed(key, KEY_HASH_SEED))
}

/// Number of keys, at least one, of a service whose keys are consecutive integers from 0. Their order is meaningful:
/// load on a key tends to come with load on its neighbours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrderedKeys(u32);

/// Inclusive range of ordered keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyRange {
    pub first: u32,
    pub last: u32,
}

impl OrderedKeys {
    /// Creates the number of keys of a service. Returns `None` for 0 keys.
    pub fn new(count: u32) -> Option<OrderedKeys> {
        (count > 0).then_some(OrderedKeys(count))
    }

    pub fn count(self) -> u32 {
        self.0
    }

    /// Returns the hash of a key, such that hashes are in the order of the keys. Returns `None` if there is no such key.
    pub fn hash_of(self, key: u32) -> Option<KeyHash> {
        let hash = (u128::from(key) << 64).div_ceil(u128::from(self.0));
        (key < self.0).then_some(KeyHash(hash as u64))
    }

    /// Returns the keys of the slots from `first` to `last`. The number of slots must not exceed the number of keys.
    pub fn range_of_slots(self, slot_count: SlotCount, first: Slot, last: Slot) -> KeyRange {
        let first_key =
            |slot: u64| (slot * u64::from(self.0)).div_ceil(u64::from(slot_count.count())) as u32;
        KeyRange { first: first_key(first.0.into()), last: first_key(u64::from(last.0) + 1) - 1 }
    }
}

/// Number of a slot, a share of a service's keys that has one owner at a time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slot(pub u16);

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number of slots into which the keys of one group are divided, 1 to 4096.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "u16", into = "u16")]
pub struct SlotCount(u16);

/// Error for a number of slots that is out of range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the number of slots is 1 to {max}, not {0}", max = SlotCount::MAX)]
pub struct SlotCountError(u16);

impl SlotCount {
    pub const MAX: u16 = 4096;

    /// Creates a slot count after checking that it is 1 to [`SlotCount::MAX`].
    pub fn new(count: u16) -> Result<SlotCount, SlotCountError> {
        match count {
            1..=Self::MAX => Ok(SlotCount(count)),
            _ => Err(SlotCountError(count)),
        }
    }

    /// Returns the slot of a hash. The slots divide the hash range into equal parts, in ascending order.
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
