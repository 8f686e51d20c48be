//! What a caller was told.

use std::net::SocketAddr;

use model::RequestId;
use serde::{Deserialize, Serialize};

/// One line of a caller's journal: a request with all its sendings.
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
    /// When the first attempt was sent.
    pub fn first_sent_ns(&self) -> u64 {
        self.attempts.first().map_or(0, |it| it.sent_ns)
    }

    /// When the last attempt ended.
    pub fn ended_ns(&self) -> u64 {
        self.attempts.last().map_or(0, |it| it.ended_ns)
    }
}

/// One sending of a request through one agent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    /// The agent's caller address.
    pub target: SocketAddr,
    pub sent_ns: u64,
    pub ended_ns: u64,
    pub result: AttemptResult,
}

/// How one sending ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum AttemptResult {
    /// The caller's own answer, whole.
    Answered,
    NotRun {
        reason: String,
    },
    Unknown {
        reason: String,
    },
    /// No connection could be made, so nothing was sent.
    NotConnected,
    /// The connection broke, or the answer's body did.
    ConnectionLost,
    /// The caller gave up waiting.
    TimedOut,
    /// Marked as answered, but the answer to another request.
    Crossed,
    /// Marked as answered and ended in good order, but not whole.
    Broken,
    /// No outcome header.
    NoOutcome {
        status: u16,
    },
}

/// What the caller holds to be true of its request in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalOutcome {
    Answered,
    /// Each sending ended as not run or found no agent.
    NotRun,
    /// It may have run, and an agent said so.
    Unknown,
    /// It may have run, and nobody told the caller anything.
    Lost,
}
