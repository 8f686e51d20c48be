//! Switches and counts of the stand-in platform.

use serde::{Deserialize, Serialize};

/// What is wrong with the platform. `POST /admin/fault` sets the fields that it names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are accepted and closed without an answer; waiting watches too.
    pub down: bool,
    /// Added before each call.
    pub slow_ms: u64,
    /// This many updates take effect, and then their connection closes without an answer.
    pub lose_answers: u32,
}

/// Calls since the start. `GET /admin/counts` answers with them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    pub reads: u64,
    pub writes: u64,
    pub lists: u64,
    pub watches: u64,
    pub watches_waiting: u64,
    pub conflicts: u64,
}
