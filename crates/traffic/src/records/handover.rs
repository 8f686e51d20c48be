//! The form in which records are handed over from one owner to the next. Times are written as ages,
//! because the owners have different clocks.

use std::time::Duration;

use model::{KeyHash, RequestId, UnknownReason};
use serde::{Deserialize, Serialize};

/// The outcome of a recorded request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RecordedOutcome<A> {
    Answered(A),
    Unknown(UnknownReason),
}

/// The record of one ended request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record<A> {
    pub id: RequestId,
    pub key_hash: KeyHash,
    /// Time since the caller first sent the request.
    pub first_sent_age: Duration,
    /// Time since the request ended.
    pub ended_age: Duration,
    pub end: RecordedOutcome<A>,
}

/// The records of a slot or hot key, for its next owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnitRecords<A> {
    /// The age up to which `records` is complete: it holds every request that was started and was
    /// first sent no longer ago than this.
    pub complete_age: Duration,
    pub records: Vec<Record<A>>,
}
