//! The routes of one group, as any member passes them on.

use model::{ConfigVersion, Instance, KeyHash, ServiceName, Slot, SlotCount};
use serde::{Deserialize, Serialize};

/// The members of a group, and as many that are lost while slots still name them.
const MEMBERS_MAX: usize = 2 * ownership::GROUP_MEMBERS_MAX;
/// The most hot keys with entries of their own.
const HOT_KEYS_MAX: usize = 1024;

/// Owners and members of one group. Indexes point into `members`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    pub service: ServiceName,
    /// The sender's document in force.
    pub config: ConfigVersion,
    /// Rises whenever an owner changes.
    pub version: u64,
    pub slot_count: SlotCount,
    pub members: Vec<RouteMember>,
    pub owners: Vec<RouteOwner>,
}

/// A member and whether it takes work.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteMember {
    pub instance: Instance,
    pub ready: bool,
}

/// The owner of neighbouring slots or of a hot key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteOwner {
    #[serde(rename = "s")]
    pub slot: Slot,
    /// The last of the neighbouring slots that this is about; none: just the one.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub last: Option<Slot>,
    /// Set where the entry is that of one hot key.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub key_hash: Option<KeyHash>,
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<u16>,
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub successors: Vec<u16>,
}

impl RouteOwner {
    /// The last slot that this is about.
    pub fn last(&self) -> Slot {
        self.last.unwrap_or(self.slot)
    }

    /// Takes the next slot in if all is the same there; says whether it did.
    pub fn try_extend(&mut self, next: &RouteOwner) -> bool {
        let alike = self.key_hash.is_none()
            && next.key_hash.is_none()
            && self.owner == next.owner
            && self.successors == next.successors
            && self.last().0.checked_add(1) == Some(next.slot.0);
        if alike {
            self.last = Some(next.last());
        }
        alike
    }
}

impl RouteTable {
    /// Checks sizes and indexes; says what is wrong.
    pub(super) fn check(&self) -> Result<(), String> {
        let owners_max = usize::from(SlotCount::MAX) + HOT_KEYS_MAX;
        match self {
            it if it.members.len() > MEMBERS_MAX => Err(format!("{} members", it.members.len())),
            it if it.owners.len() > owners_max => Err(format!("{} owners", it.owners.len())),
            it if !it.owners.iter().all(|owner| it.holds(owner)) => {
                Err("an index points to no member".to_owned())
            }
            _ => Ok(()),
        }
    }

    fn holds(&self, owner: &RouteOwner) -> bool {
        let mut indexes = owner.owner.iter().chain(&owner.successors);
        indexes.all(|it| usize::from(*it) < self.members.len())
            && owner.slot <= owner.last()
            && owner.last().0 < self.slot_count.count()
    }
}
