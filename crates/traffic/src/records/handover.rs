//! Records on their way from one owner to the next. Times are ages: clocks are not shared.

use std::time::Duration;

use model::{KeyHash, RequestId, UnknownReason};
use serde::{Deserialize, Serialize};

/// The end of a recorded request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RecordedOutcome<A> {
    Answered(A),
    Unknown(UnknownReason),
}

/// One record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record<A> {
    pub id: RequestId,
    pub key_hash: KeyHash,
    /// Time since its first sending.
    pub first_sent_age: Duration,
    /// Time since its end.
    pub ended_age: Duration,
    pub end: RecordedOutcome<A>,
}

/// The records of a slot or hot key, for its next owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnitRecords<A> {
    /// Every request first sent within this age is in `records` if it was begun.
    pub complete_age: Duration,
    pub records: Vec<Record<A>>,
}
