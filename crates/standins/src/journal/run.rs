//! Journal entries of upstreams.

use model::RequestId;
use serde::{Deserialize, Serialize};

/// One line of an upstream's journal.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum RunEntry {
    /// A request started to run. It counts as run from here on, however it ends.
    Started {
        at_ns: u64,
        /// Sequence number of the run within one upstream process.
        run: u64,
        #[serde(with = "super::hex_id")]
        id: RequestId,
        key: String,
        class: String,
        /// The fence token as received: `TERM.SEQUENCE`.
        token: Option<String>,
    },
    /// A run ended. Its effects happened between its start and this time.
    Ended { at_ns: u64, run: u64, end: RunEnd },
    /// A request was refused before it ran.
    Refused {
        at_ns: u64,
        #[serde(with = "super::hex_id")]
        id: RequestId,
        key: String,
        reason: RefusedReason,
    },
    /// The process is about to exit during a run.
    EndsUnder { at_ns: u64, run: u64 },
    /// The upstream started to drain.
    Draining { at_ns: u64 },
    /// From now on, the upstream states this condition in its answers.
    States { at_ns: u64, limit_per_s: Option<f64>, is_leaving: bool },
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The run completed.
    Ran,
    /// The run was aborted by a cancellation or a closed connection.
    Cancelled,
    /// The run was aborted at its deadline.
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
