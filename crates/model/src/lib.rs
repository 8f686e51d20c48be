//! Names, identifiers, units and the key hash that all other crates share.
//!
//! This crate does no I/O, reads no clock and draws no random numbers.

mod fence;
mod fingerprint;
mod identity;
mod key;
mod name;
mod outcome;
mod rate;
mod time;

#[cfg(test)]
mod tests;

pub use fence::{Fence, FenceError};
pub use fingerprint::Fingerprint;
pub use identity::{
    ConfigVersion, GroupId, Incarnation, Instance, ObjectVersion, RequestId, Term, Token,
    VersionError,
};
pub use key::{KeyHash, KeyRange, OrderedKeys, Slot, SlotCount, SlotCountError, key_hash};
pub use name::{ClassName, InstanceName, NameError, ServiceName, TeamName, Zone};
pub use outcome::{
    NotRunReason, OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER, TOKEN_HEADER, UnknownReason,
};
pub use rate::{RequestRate, ZeroRateError};
pub use time::Timestamp;
