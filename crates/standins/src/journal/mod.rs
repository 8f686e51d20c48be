//! Append-only journals in JSON lines: what upstreams ran and what callers were told.
//!
//! All times are nanoseconds of the machine's wall clock (`SystemTime`), which its processes share;
//! the monotonic clock of the standard library cannot be compared between processes.

mod call;
mod file;
mod run;

pub use call::{Attempt, AttemptResult, CallRecord, FinalOutcome};
pub use file::{JournalWriter, read_journal};
pub use run::{RefusedReason, RunEnd, RunEntry};

use std::time::{SystemTime, UNIX_EPOCH};

/// Nanoseconds of the wall clock.
pub fn wall_clock_ns() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)
}

/// Request ids as hexadecimal text, as in their HTTP header.
mod hex_id {
    use model::RequestId;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(id: &RequestId, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&format_args!("{:x}", id.0))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<RequestId, D::Error> {
        let text = String::deserialize(from)?;
        u128::from_str_radix(&text, 16).map(RequestId).map_err(D::Error::custom)
    }
}
