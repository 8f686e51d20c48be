//! Objects that a group stores in the platform's object store.

use model::{GroupId, Instance, KeyHash, ObjectVersion, ServiceName, Slot, SlotCount, Term, Token};
use serde::{Deserialize, Serialize};

/// How a coordinator confirms that its term has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Confirmation {
    Witnesses,
    Platform,
}

/// Object `coordinators/{service}/{group}`: the current term of a group and its holder.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Coordinator {
    pub service: ServiceName,
    pub group: GroupId,
    pub term: Term,
    /// `None` after the coordinator has released the term.
    pub holder: Option<Instance>,
    /// Random for each update, so that after a lost reply a read shows whether the update took effect.
    pub nonce: u64,
    pub witnesses: Vec<Instance>,
    pub confirmation: Confirmation,
    /// Whether earlier terms can no longer renew or grant leases.
    pub settled: bool,
    pub times: TermTimes,
    /// Era of the platform in which this object was written; see [`Coordinator::is_rolled_back`].
    #[serde(default, skip_serializing_if = "is_zero")]
    pub era: u64,
    /// Whether the platform has lost the last writes of earlier terms, so that terms may be active that no object
    /// names.
    #[serde(default, skip_serializing_if = "is_false")]
    pub history_lost: bool,
    /// Whether only the platform and `witnesses` can confirm the terms that no object names.
    #[serde(default, skip_serializing_if = "is_false")]
    pub lost_has_known_witnesses: bool,
}

impl Coordinator {
    /// Returns whether the platform was rolled back (restored from an older snapshot) after this was written, so that
    /// later states of the object may have been lost.
    pub fn is_rolled_back(&self, version: ObjectVersion) -> bool {
        self.era < version.era()
    }
}

/// Longest timeouts in use by this term and by every earlier term that may still be active. A new coordinator that
/// waits for an earlier term to end uses these and not the ones from its own document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TermTimes {
    pub lease_ms: u32,
    pub drift_margin_ms: u32,
    pub confirmation_ms: u32,
    pub platform_confirmation_ms: u32,
    pub platform_absence_max_ms: u32,
}

/// Planned owner and successors of one slot in a [`Plan`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanSlot {
    pub slot: Slot,
    /// Index into [`Plan::members`]; `None` while no member can own the slot.
    pub owner: Option<u16>,
    /// Indices into [`Plan::members`], in order of preference.
    pub successors: Vec<u16>,
}

/// Key with enough load to have an owner of its own, which may differ from its slot's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotKey {
    pub key_hash: KeyHash,
    pub owner: Option<u16>,
    pub successors: Vec<u16>,
}

/// Object `plans/{service}/{group}`: the planned owner and successors of each slot and hot key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub service: ServiceName,
    pub group: GroupId,
    /// Version that rises with each update, across terms.
    pub version: u64,
    pub term: Term,
    pub nonce: u64,
    pub slot_count: SlotCount,
    pub members: Vec<Instance>,
    pub slots: Vec<PlanSlot>,
    pub hot_keys: Vec<HotKey>,
    /// Lower bound for the tokens of new grants.
    pub token_floor: Token,
    /// Era of the platform in which this object was written.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub era: u64,
}

impl Plan {
    /// Returns whether the platform was rolled back (restored from an older snapshot) after this was written.
    pub fn is_rolled_back(&self, version: ObjectVersion) -> bool {
        self.era < version.era()
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

fn is_false(flag: &bool) -> bool {
    !flag
}
