//! The objects that a group keeps in the platform.

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

/// `coordinators/S/G`: who holds the term of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Coordinator {
    pub service: ServiceName,
    pub group: GroupId,
    pub term: Term,
    pub holder: Option<Instance>,
    /// Drawn anew for each update, so that a lost answer can be settled by reading.
    pub nonce: u64,
    pub witnesses: Vec<Instance>,
    pub confirmation: Confirmation,
    /// No earlier term can renew or grant any more.
    pub settled: bool,
    pub times: TermTimes,
    /// The era of the platform in which this was written; see [`Coordinator::is_rolled_back`].
    #[serde(default, skip_serializing_if = "is_zero")]
    pub era: u64,
    /// The platform has lost what earlier terms wrote last, and some of them may be at work that no object names.
    #[serde(default, skip_serializing_if = "is_false")]
    pub history_lost: bool,
}

impl Coordinator {
    /// Whether the platform has come back from an older copy since this was written: later states of the object may
    /// have been lost.
    pub fn is_rolled_back(&self, version: ObjectVersion) -> bool {
        self.era < version.era()
    }
}

/// The longest times that this term, and every earlier one still at work, goes by. A successor
/// that waits for an earlier term to end goes by these and not by its own document.
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

/// One slot of a [`Plan`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanSlot {
    pub slot: Slot,
    /// Index into [`Plan::members`]; none while the group has no member for it.
    pub owner: Option<u16>,
    /// Indexes into [`Plan::members`], first choice first.
    pub successors: Vec<u16>,
}

/// A key hot enough for an owner of its own, apart from its slot.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotKey {
    pub key_hash: KeyHash,
    pub owner: Option<u16>,
    pub successors: Vec<u16>,
}

/// `plans/S/G`: for each slot the planned owner and its successors.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub service: ServiceName,
    pub group: GroupId,
    /// Rises with each update, over all terms.
    pub version: u64,
    pub term: Term,
    pub nonce: u64,
    pub slot_count: SlotCount,
    pub members: Vec<Instance>,
    pub slots: Vec<PlanSlot>,
    pub hot_keys: Vec<HotKey>,
    /// The token that grants may not fall below.
    pub token_floor: Token,
    /// The era of the platform in which this was written.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub era: u64,
}

impl Plan {
    /// Whether the platform has come back from an older copy since this was written.
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
