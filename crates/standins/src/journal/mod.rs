//! Append-only journals in JSON lines: requests that upstreams ran, and outcomes that callers received.
//!
//! All times are nanoseconds since the Unix epoch by the machine's wall clock (`SystemTime`), which all processes
//! share. Times of the standard library's monotonic clock can't be compared between processes.

mod call;
mod file;
mod run;

pub use call::{Attempt, AttemptResult, CallRecord, FinalOutcome};
pub use file::{JournalWriter, read_journal};
pub use run::{RefusedReason, RunEnd, RunEntry};

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the nanoseconds since the Unix epoch by the wall clock.
pub fn wall_clock_ns() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)
}

/// Serializes request ids as hexadecimal text, as in their HTTP header.
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
