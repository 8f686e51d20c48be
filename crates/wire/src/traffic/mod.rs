//! Frames of forwarded requests, and of records on their way to a new owner.
//!
//! A message is a head frame with the total length of its body and the first part of it, followed
//! by [`Chunk`]s with the rest, in order. Head and chunks share a correlation id, which the side
//! that asks draws at random.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use model::{
    ClassName, ConfigVersion, Fingerprint, Instance, KeyHash, NotRunReason, RequestId, ServiceName,
    Slot, Token, UnknownReason,
};
use serde::{Deserialize, Serialize};

use crate::{CodecError, decode, encode};

/// The largest part of a body in one frame.
pub const CHUNK_BYTES_MAX: usize = 64 << 10;
/// The largest frame: a chunk with the largest head.
pub const FRAME_BYTES_MAX: usize = CHUNK_BYTES_MAX + (512 << 10);
/// The longest body that is taken at all; documents set lower bounds.
pub const BODY_BYTES_MAX: u64 = 64 << 20;

/// Pairs an answer with its request on one link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct CorrelationId(pub u128);

/// One header of HTTP.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Header(pub String, pub Bytes);

/// One frame.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// To an owner's gate.
    Request(Box<Request>),
    /// The upstream's answer.
    Answer(Answer),
    /// There is no answer.
    Failed(Failed),
    /// The addressed gate doesn't own the key: not run.
    NotOwner(NotOwner),
    /// More of a body.
    Chunk(Chunk),
    /// The asking side needs no answer any more.
    Cancel(CorrelationId),
    /// At-most-once records for a new owner.
    Records(Records),
    /// The records have been taken over, or can't be.
    RecordsTaken(RecordsTaken),
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Request {
    pub id: CorrelationId,
    pub service: ServiceName,
    /// None where the service is not divided by key.
    pub key_hash: Option<KeyHash>,
    pub request_id: RequestId,
    /// What it asks for: the same for all attempts.
    pub content: Fingerprint,
    pub class: ClassName,
    pub idempotent: bool,
    /// Time left to answer in.
    pub remaining_us: u64,
    /// Time since the caller first sent this request id, as it says; 0: this is the first sending.
    pub age_us: u64,
    /// Time that the asking agent has held this sending.
    pub held_us: u64,
    /// Requests of one kind are expected to take alike.
    pub kind: Option<u8>,
    /// Time left in which an answer is of full use to the caller.
    pub objective_us: Option<u64>,
    /// The caller has come back with it after a refusal.
    #[serde(rename = "has_come_back")]
    pub is_retry_after_refusal: bool,
    /// The asking agent's version of the service's document.
    pub config: ConfigVersion,
    pub method: String,
    pub path: String,
    pub headers: Vec<Header>,
    pub body_len: u64,
    pub body: Bytes,
}

/// How busy the gate is that replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GateLoad {
    /// Requests at the upstream.
    pub running: u32,
    /// Requests that wait for a slot of it.
    pub queued: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What a request takes there, on average over all kinds as they come.
    pub service_us: u64,
    /// What one of the kind that was asked for takes there, if any has been measured.
    #[serde(default)]
    pub kind_us: Option<u64>,
}

/// Head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    pub id: CorrelationId,
    pub load: Option<GateLoad>,
    pub status: u16,
    pub headers: Vec<Header>,
    pub body_len: u64,
    pub body: Bytes,
}

/// Why a request has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum FailureReason {
    NotRun(NotRunReason),
    Unknown(UnknownReason),
}

/// The end of a request without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Failed {
    pub id: CorrelationId,
    pub reason: FailureReason,
    pub retry_after_ms: Option<u64>,
    pub load: Option<GateLoad>,
}

/// A request that came to the wrong gate.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NotOwner {
    pub id: CorrelationId,
    /// Who owns the key, as far as this gate knows.
    pub owner: Option<Instance>,
    /// How fresh that is.
    pub route_version: u64,
}

/// Part of a body after the head's.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Chunk {
    pub id: CorrelationId,
    /// Where in the body it belongs.
    pub offset: u64,
    pub data: Bytes,
}

/// What records belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum TransferUnit {
    /// Neighbouring slots whose upstream keeps the leases; the body is its handover token.
    Slots {
        first: Slot,
        last: Slot,
    },
    Slot(Slot),
    Key(KeyHash),
}

/// Head of a message whose body is the CBOR form of a unit's records.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Records {
    pub id: CorrelationId,
    pub service: ServiceName,
    pub unit: TransferUnit,
    /// The token under which the former owner held it.
    pub token: Token,
    pub body_len: u64,
    pub body: Bytes,
}

/// The end of a handover of records.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordsTaken {
    pub id: CorrelationId,
    pub taken: bool,
}

impl Frame {
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// How many of the last bytes of the encoded frame are those of a body.
    pub fn body_part_len(&self) -> usize {
        match self {
            Frame::Request(it) => it.body.len(),
            Frame::Answer(it) => it.body.len(),
            Frame::Records(it) => it.body.len(),
            Frame::Chunk(it) => it.data.len(),
            Frame::Failed(_) | Frame::NotOwner(_) | Frame::Cancel(_) | Frame::RecordsTaken(_) => 0,
        }
    }

    /// Decodes and checks a frame.
    pub fn parse(bytes: &[u8]) -> Result<Frame, CodecError> {
        if bytes.len() > FRAME_BYTES_MAX {
            return Err(invalid("frame", format!("{} bytes are too many", bytes.len())));
        }
        let frame: Frame = decode(bytes)?;
        match &frame {
            Frame::Request(it) => check_body(it.body_len, &it.body)?,
            Frame::Answer(it) => check_body(it.body_len, &it.body)?,
            Frame::Records(it) => check_body(it.body_len, &it.body)?,
            Frame::Chunk(it) if it.data.is_empty() || it.data.len() > CHUNK_BYTES_MAX => {
                return Err(invalid("chunk", format!("{} bytes", it.data.len())));
            }
            _ => {}
        }
        Ok(frame)
    }

    /// The correlation id that the frame belongs to.
    pub fn id(&self) -> CorrelationId {
        match self {
            Frame::Request(it) => it.id,
            Frame::Answer(it) => it.id,
            Frame::Failed(it) => it.id,
            Frame::NotOwner(it) => it.id,
            Frame::Chunk(it) => it.id,
            Frame::Cancel(it) => *it,
            Frame::Records(it) => it.id,
            Frame::RecordsTaken(it) => it.id,
        }
    }
}

fn check_body(body_len: u64, first: &Bytes) -> Result<(), CodecError> {
    match first.len() {
        _ if body_len > BODY_BYTES_MAX => {
            Err(invalid("body_len", format!("{body_len} bytes are too many")))
        }
        len if len > CHUNK_BYTES_MAX || len as u64 > body_len => {
            Err(invalid("body", format!("{len} bytes of {body_len} in the head")))
        }
        _ => Ok(()),
    }
}

fn invalid(field: &'static str, reason: String) -> CodecError {
    CodecError::Invalid { field, reason }
}

/// An answer as it is kept in records.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedAnswer {
    pub status: u16,
    pub headers: Vec<Header>,
    pub body: Bytes,
}
