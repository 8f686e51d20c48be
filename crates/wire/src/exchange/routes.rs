//! Routes of a group, which any of its members sends on request.

use model::{ConfigVersion, GroupId, Instance, KeyHash, ServiceName, Slot, SlotCount};
use serde::{Deserialize, Serialize};

/// Largest number of members: those of a group, and as many lost members that slots still refer to.
const MEMBERS_MAX: usize = 2 * ownership::GROUP_MEMBERS_MAX;
/// Largest number of hot keys.
const HOT_KEYS_MAX: usize = 1024;

/// Owners and members of a group. Owners and successors are indexes into `members`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    pub service: ServiceName,
    #[serde(default, skip_serializing_if = "GroupId::is_first")]
    pub group: GroupId,
    /// Version of the document in force on the sender.
    pub config: ConfigVersion,
    /// Version of the routes, which increases with every change of an owner.
    pub version: u64,
    pub slot_count: SlotCount,
    pub members: Vec<RouteMember>,
    pub owners: Vec<RouteOwner>,
}

/// Member of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteMember {
    pub instance: Instance,
    /// Whether the member accepts requests.
    pub ready: bool,
}

/// Owner of consecutive slots or of a hot key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteOwner {
    /// First slot of the range, or the slot of the hot key.
    #[serde(rename = "s")]
    pub slot: Slot,
    /// Last slot of the range; `None` if the range consists of one slot.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub last: Option<Slot>,
    /// Hash of the hot key; `None` for an entry of slots.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub key_hash: Option<KeyHash>,
    /// Index of the owner; `None` while there is no owner.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<u16>,
    /// Indexes of the members that are candidates for the next owner.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub successors: Vec<u16>,
}

impl RouteOwner {
    /// Returns the last slot of the range.
    pub fn last(&self) -> Slot {
        self.last.unwrap_or(self.slot)
    }

    /// Extends the range by `next` if that follows directly and has the same owner and successors.
    /// Returns whether the range was extended.
    pub fn try_extend(&mut self, next: &RouteOwner) -> bool {
        let is_continuation = self.key_hash.is_none()
            && next.key_hash.is_none()
            && self.owner == next.owner
            && self.successors == next.successors
            && self.last().0.checked_add(1) == Some(next.slot.0);
        if is_continuation {
            self.last = Some(next.last());
        }
        is_continuation
    }
}

impl RouteTable {
    /// Checks the numbers of entries and the indexes. The error is the reason for refusing the
    /// table.
    pub(super) fn check(&self) -> Result<(), String> {
        let owners_max = usize::from(SlotCount::MAX) + HOT_KEYS_MAX;
        match self {
            it if it.members.len() > MEMBERS_MAX => {
                Err(format!("{} members are too many", it.members.len()))
            }
            it if it.owners.len() > owners_max => {
                Err(format!("{} owners are too many", it.owners.len()))
            }
            it if !it.owners.iter().all(|owner| it.is_valid(owner)) => {
                Err("the index of a member or of a slot is out of range".to_owned())
            }
            _ => Ok(()),
        }
    }

    fn is_valid(&self, owner: &RouteOwner) -> bool {
        let mut indexes = owner.owner.iter().chain(&owner.successors);
        indexes.all(|it| usize::from(*it) < self.members.len())
            && owner.slot <= owner.last()
            && owner.last().0 < self.slot_count.count()
    }
}
