//! What an upstream ran.

use model::RequestId;
use serde::{Deserialize, Serialize};

/// One line of an upstream's journal.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum RunEntry {
    /// A request began to run. From here on it counts as run, whatever its end.
    Started {
        at_ns: u64,
        /// Numbers the runs of one upstream.
        run: u64,
        #[serde(with = "super::hex_id")]
        id: RequestId,
        key: String,
        class: String,
        /// The fence token as received: `TERM.SEQUENCE`.
        token: Option<String>,
    },
    /// A run ended. Its effects fall between its start and this time.
    Ended { at_ns: u64, run: u64, end: RunEnd },
    /// A request was refused before it ran.
    Refused {
        at_ns: u64,
        #[serde(with = "super::hex_id")]
        id: RequestId,
        key: String,
        reason: RefusedReason,
    },
    /// The process ends under a run.
    EndsUnder { at_ns: u64, run: u64 },
    /// The upstream began to leave.
    Draining { at_ns: u64 },
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// To its end.
    Ran,
    /// Broken off by a cancellation or a closed connection.
    Cancelled,
    /// Broken off by its deadline.
    DeadlineExceeded,
}

/// Why an upstream refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusedReason {
    Starting,
    Draining,
    Shed,
    Connections,
    DeadlineExceeded,
    Fenced,
    GrantEnded,
}
