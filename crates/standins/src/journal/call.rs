//! Journal entries of callers.

use std::net::SocketAddr;

use model::RequestId;
use serde::{Deserialize, Serialize};

/// One line of a caller's journal: a request with all its attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallRecord {
    #[serde(with = "super::hex_id")]
    pub id: RequestId,
    pub service: String,
    pub key: String,
    pub class: String,
    pub idempotent: bool,
    pub outcome: FinalOutcome,
    pub attempts: Vec<Attempt>,
}

impl CallRecord {
    /// Returns the time at which the first attempt was sent.
    pub fn first_sent_ns(&self) -> u64 {
        self.attempts.first().map_or(0, |it| it.sent_ns)
    }

    /// Returns the time at which the last attempt ended.
    pub fn ended_ns(&self) -> u64 {
        self.attempts.last().map_or(0, |it| it.ended_ns)
    }
}

/// One attempt to send a request through one agent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    /// Address of the agent that callers connect to.
    pub target: SocketAddr,
    pub sent_ns: u64,
    pub ended_ns: u64,
    pub result: AttemptResult,
}

/// Result of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum AttemptResult {
    /// A complete answer to this request.
    Answered,
    NotRun {
        reason: String,
    },
    Unknown {
        reason: String,
    },
    /// No connection could be opened, so nothing was sent.
    NotConnected,
    /// The connection was lost before the whole answer was received.
    ConnectionLost,
    /// The attempt timed out.
    TimedOut,
    /// Outcome `answered`, but with the answer to another request.
    Crossed,
    /// Outcome `answered` and a complete HTTP message, but its body is truncated or corrupt.
    Broken,
    /// The answer has no outcome header, or one with an unknown outcome.
    NoOutcome {
        status: u16,
    },
}

/// Outcome of a request from the caller's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalOutcome {
    Answered,
    /// The last answer was `not-run`, or each attempt did not run or could not connect.
    NotRun,
    /// The request may have run, as reported by an agent.
    Unknown,
    /// The request may have run, and the caller received no outcome.
    Lost,
}
