//! Faults and call counts of the stand-in platform.

use serde::{Deserialize, Serialize};

/// The active faults. `POST /admin/fault` sets the fields that its body names and leaves the others unchanged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Calls and waiting watches end with a closed connection and no answer.
    pub down: bool,
    /// Delay before each call is handled, in milliseconds.
    pub slow_ms: u64,
    /// Number of further updates that are applied, but whose connection is closed without an answer.
    pub lose_answers: u32,
}

/// Number of calls since the start, as returned by `GET /admin/counts`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    pub reads: u64,
    pub writes: u64,
    pub lists: u64,
    pub watches: u64,
    /// Watches that are waiting now.
    pub watches_waiting: u64,
    /// Updates refused because of another version.
    pub conflicts: u64,
}
