//! Frames for forwarding requests and for transferring records to a new owner.
//!
//! A message starts with a head frame, which contains the total length of the body and its first
//! part. [`Chunk`]s with the rest of the body follow in order. Head and chunks have the same
//! correlation id, which the requesting side draws at random.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use model::{
    ClassName, ConfigVersion, Fingerprint, Instance, KeyHash, NotRunReason, RequestId, RequestRate,
    ServiceName, Slot, Token, UnknownReason,
};
use serde::{Deserialize, Serialize};

use crate::{CodecError, decode, encode};

/// Largest part of a body in a frame.
pub const CHUNK_BYTES_MAX: usize = 64 << 10;
/// Largest frame: one part of a body, and space for the largest head.
pub const FRAME_BYTES_MAX: usize = CHUNK_BYTES_MAX + (512 << 10);
/// Longest body of a message. Service documents set lower limits.
pub const BODY_BYTES_MAX: u64 = 64 << 20;

/// Number that matches an answer to its request on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct CorrelationId(pub u128);

/// HTTP header: name and value.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Header(pub String, pub Bytes);

/// Frame on a traffic link.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// Request to the gate of an owner.
    Request(Box<Request>),
    /// Answer of the upstream.
    Answer(Answer),
    /// Failure of a request without an answer.
    Failed(Failed),
    /// Refusal of a request, which was not run: the addressed gate does not own the key.
    NotOwner(NotOwner),
    /// Next part of a body.
    Chunk(Chunk),
    /// Cancellation of a request whose answer is no longer needed.
    Cancel(CorrelationId),
    /// At-most-once records, sent to a new owner.
    Records(Records),
    /// Reply to `Records`: whether the new owner has imported them.
    RecordsTaken(RecordsTaken),
    /// The sender starts no further exchange on this link, and none of its own is pending. The receiver closes the
    /// link once its own exchanges have ended.
    Retire,
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Request {
    pub id: CorrelationId,
    pub service: ServiceName,
    /// Hash of the key; `None` if the service is not keyed.
    pub key_hash: Option<KeyHash>,
    pub request_id: RequestId,
    /// Fingerprint of the content of the request, which is the same for all attempts.
    pub content: Fingerprint,
    pub class: ClassName,
    pub idempotent: bool,
    /// Time until the deadline.
    pub remaining_us: u64,
    /// Time since the first attempt with this request id, as reported by the caller; 0 for the
    /// first attempt.
    pub age_us: u64,
    /// Time for which the sending agent has held this attempt.
    pub held_us: u64,
    /// Kind of request. Requests of the same kind are expected to have similar service times.
    pub kind: Option<u8>,
    /// Time until the latency objective; `None` if the objective is the deadline.
    pub objective_us: Option<u64>,
    /// Whether the caller sends the request again after a refusal.
    #[serde(rename = "has_come_back")]
    pub is_retry_after_refusal: bool,
    /// Whether the request is too short to wait behind long ones.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_express: bool,
    /// Version of the service document in force on the sending agent.
    pub config: ConfigVersion,
    /// Whether the caller is told of a refusal for overload, because no further gate is tried.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub wants_return: bool,
    /// The condition that the addressed upstream has last stated to the sending agent, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_condition: Option<KnownCondition>,
    pub method: String,
    pub path: String,
    pub headers: Vec<Header>,
    /// Total length of the body, in bytes.
    pub body_len: u64,
    /// First part of the body.
    pub body: Bytes,
}

/// Condition that an upstream has stated in its answers. It is only sent if there is a limit or the upstream is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamCondition {
    /// Hash that identifies the incarnation of the upstream; `None` if the upstream announces neither an id nor its
    /// start time.
    pub incarnation: Option<u64>,
    /// The most requests that the upstream takes from all callers together.
    pub limit: Option<RequestRate>,
    pub is_leaving: bool,
}

/// Condition of an upstream that the sending agent has learned from an earlier reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KnownCondition {
    pub condition: UpstreamCondition,
    /// Time since that reply.
    pub age_us: u64,
}

/// Load of the gate that sends the reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GateLoad {
    /// Requests in flight at the upstream.
    pub running: u32,
    /// Requests waiting for a free slot of the upstream.
    pub queued: u32,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Mean service time over all requests.
    pub service_us: u64,
    /// Mean service time of requests of the same kind; `None` if none has been measured.
    #[serde(default)]
    pub kind_us: Option<u64>,
    /// The condition that the upstream states, if it states a limit or that it is leaving.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub condition: Option<UpstreamCondition>,
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

/// Reason why a request has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum FailureReason {
    NotRun(NotRunReason),
    Unknown(UnknownReason),
}

/// Failure of a request without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Failed {
    pub id: CorrelationId,
    pub reason: FailureReason,
    pub retry_after_ms: Option<u64>,
    pub load: Option<GateLoad>,
}

/// Refusal of a request by a gate that does not own the key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NotOwner {
    pub id: CorrelationId,
    /// Owner of the key in the routes of this gate, if there is one.
    pub owner: Option<Instance>,
    /// Version of the routes of this gate.
    pub route_version: u64,
}

/// Part of a body after the one in the head frame.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Chunk {
    pub id: CorrelationId,
    /// Offset of the part in the body, in bytes.
    pub offset: u64,
    pub data: Bytes,
}

/// Unit whose records, or handover token, are transferred to a new owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum TransferUnit {
    /// Consecutive slots of an upstream that enforces leases. The body is the handover token of the
    /// upstream.
    Slots {
        first: Slot,
        last: Slot,
    },
    Slot(Slot),
    Key(KeyHash),
}

/// Head of a message whose body is the CBOR encoding of the records of a unit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Records {
    pub id: CorrelationId,
    pub service: ServiceName,
    pub unit: TransferUnit,
    /// Fence token of the grant of the previous owner.
    pub token: Token,
    pub body_len: u64,
    pub body: Bytes,
}

/// Reply to a transfer of records.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordsTaken {
    pub id: CorrelationId,
    /// Whether the new owner has imported the records.
    pub taken: bool,
}

impl Frame {
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Returns the number of bytes at the end of the encoded frame that belong to a body.
    pub fn body_part_len(&self) -> usize {
        match self {
            Frame::Request(it) => it.body.len(),
            Frame::Answer(it) => it.body.len(),
            Frame::Records(it) => it.body.len(),
            Frame::Chunk(it) => it.data.len(),
            Frame::Failed(_)
            | Frame::NotOwner(_)
            | Frame::Cancel(_)
            | Frame::RecordsTaken(_)
            | Frame::Retire => 0,
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
}

fn check_body(body_len: u64, first: &Bytes) -> Result<(), CodecError> {
    match first.len() {
        _ if body_len > BODY_BYTES_MAX => {
            Err(invalid("body_len", format!("{body_len} bytes are too many")))
        }
        len if len > CHUNK_BYTES_MAX || len as u64 > body_len => {
            Err(invalid("body", format!("the head frame contains {len} of {body_len} bytes")))
        }
        _ => Ok(()),
    }
}

fn invalid(field: &'static str, reason: String) -> CodecError {
    CodecError::Invalid { field, reason }
}

/// Answer in at-most-once records.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedAnswer {
    pub status: u16,
    pub headers: Vec<Header>,
    pub body: Bytes,
}
