//! A request and its reply, as passed between ingress, links and the gate.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, uri::PathAndQuery};
use model::{
    ClassName, ConfigVersion, Fingerprint, Instance, KeyHash, NotRunReason, Outcome, RequestId,
    ServiceName, UnknownReason,
};
use upstream::Answer;
use wire::{
    CodecError,
    traffic::{self as frames, CorrelationId, FailureReason, GateLoad, Header, KnownCondition},
};

/// A request to be run at a gate.
#[derive(Debug, Clone)]
pub(crate) struct GateRequest {
    pub(crate) service: ServiceName,
    /// `None` if the service is not sharded by key.
    pub(crate) key_hash: Option<KeyHash>,
    pub(crate) id: RequestId,
    /// Fingerprint of the method, path, relevant headers and body: equal for all attempts of a request, at
    /// whichever agents they arrive.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) class: ClassName,
    pub(crate) idempotent: bool,
    /// Time left until the deadline.
    pub(crate) remaining: Duration,
    /// Time since the caller first sent this id, as the caller states it; zero for the first sending.
    pub(crate) age: Duration,
    /// Time that this sending has spent at ingress; zero for the first attempt, unless it may have waited before.
    pub(crate) time_at_ingress: Duration,
    /// Requests of one kind are expected to have similar service times. `None` for a request that no host
    /// route selected.
    pub(crate) kind: Option<u8>,
    /// Time left in which an answer is of full use to the caller. `None` if that is the whole time until the
    /// deadline.
    pub(crate) objective: Option<Duration>,
    /// Whether the caller appears to send the request again after a refusal.
    pub(crate) is_retry_after_refusal: bool,
    /// Whether the request is too short to wait behind long ones.
    pub(crate) is_express: bool,
    /// Whether the caller is told of a refusal for overload, because no further gate is tried.
    pub(crate) wants_return: bool,
    /// The largest number of upstreams that the request may be sent to; enforced at ingress.
    pub(crate) upstream_attempts_max: u8,
    /// Version of the service's document that ingress used.
    pub(crate) config_version: ConfigVersion,
    /// The condition that the addressed upstream has last stated to ingress. The gate may have restarted since.
    pub(crate) known_condition: Option<KnownCondition>,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    /// Shared because a request is cloned for each attempt.
    pub(crate) headers: Arc<HeaderMap>,
    pub(crate) body: Bytes,
}

/// A gate's reply to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateReply {
    /// The upstream's complete answer.
    Answered(Answer),
    /// The upstream gave no answer; the outcome is never [`Outcome::Answered`].
    Failed { outcome: Outcome, retry_after: Option<Duration> },
    /// The request was not run because another instance owns the key.
    NotOwner { owner: Option<Instance>, route_version: u64 },
}

impl GateReply {
    pub(crate) fn not_run(reason: NotRunReason) -> GateReply {
        GateReply::Failed { outcome: Outcome::NotRun(reason), retry_after: None }
    }

    pub(crate) fn unknown(reason: UnknownReason) -> GateReply {
        GateReply::Failed { outcome: Outcome::Unknown(reason), retry_after: None }
    }

    /// Returns the outcome that the reply amounts to.
    pub fn outcome(&self) -> Outcome {
        match self {
            GateReply::Answered(_) => Outcome::Answered,
            GateReply::Failed { outcome, .. } => *outcome,
            GateReply::NotOwner { .. } => Outcome::NotRun(NotRunReason::NotOwner),
        }
    }
}

/// A gate's reply together with its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplyWithLoad {
    pub(crate) reply: GateReply,
    /// The gate's load, if the gate reports it.
    pub(crate) load: Option<GateLoad>,
}

impl From<GateReply> for ReplyWithLoad {
    fn from(reply: GateReply) -> ReplyWithLoad {
        ReplyWithLoad { reply, load: None }
    }
}

/// Converts headers to their wire form.
pub(crate) fn headers_to_wire(headers: &HeaderMap) -> Vec<Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        Header(name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
    };
    headers.iter().map(header).collect()
}

/// Converts headers from their wire form; fails on names and values that are not valid in HTTP.
pub(crate) fn headers_from_wire(headers: &[Header]) -> Result<HeaderMap, CodecError> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for Header(name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes())
            .map_err(|error| invalid("header name", error.to_string()))?;
        let value = HeaderValue::from_maybe_shared(value.clone())
            .map_err(|error| invalid("header value", error.to_string()))?;
        map.append(name, value);
    }
    Ok(map)
}

fn invalid(field: &'static str, reason: String) -> CodecError {
    CodecError::Invalid { field, reason }
}

pub(crate) fn whole_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl GateRequest {
    /// Builds the head frame, with the first `first_len` bytes of the body.
    pub(crate) fn to_wire(&self, id: CorrelationId, first_len: usize) -> frames::Request {
        frames::Request {
            id,
            service: self.service.clone(),
            key_hash: self.key_hash,
            request_id: self.id,
            content: self.fingerprint,
            class: self.class.clone(),
            idempotent: self.idempotent,
            remaining_us: whole_us(self.remaining),
            // At least 1 for a resend, since zero would mark it as a first sending.
            age_us: whole_us(self.age).max(u64::from(!self.age.is_zero())),
            held_us: whole_us(self.time_at_ingress),
            kind: self.kind,
            objective_us: self.objective.map(whole_us),
            is_retry_after_refusal: self.is_retry_after_refusal,
            is_express: self.is_express,
            wants_return: self.wants_return,
            config: self.config_version,
            known_condition: self.known_condition,
            method: self.method.as_str().to_owned(),
            path: self.path.as_str().to_owned(),
            headers: headers_to_wire(&self.headers),
            body_len: self.body.len() as u64,
            body: self.body.slice(..first_len),
        }
    }
}

impl TryFrom<frames::Request> for GateRequest {
    type Error = CodecError;

    /// Converts a head frame whose body has been assembled in full.
    fn try_from(raw: frames::Request) -> Result<GateRequest, CodecError> {
        Ok(GateRequest {
            service: raw.service,
            key_hash: raw.key_hash,
            id: raw.request_id,
            fingerprint: raw.content,
            class: raw.class,
            idempotent: raw.idempotent,
            remaining: Duration::from_micros(raw.remaining_us),
            age: Duration::from_micros(raw.age_us),
            time_at_ingress: Duration::from_micros(raw.held_us),
            upstream_attempts_max: 1,
            kind: raw.kind,
            objective: raw.objective_us.map(Duration::from_micros),
            is_retry_after_refusal: raw.is_retry_after_refusal,
            is_express: raw.is_express,
            wants_return: raw.wants_return,
            config_version: raw.config,
            known_condition: raw.known_condition,
            method: Method::from_bytes(raw.method.as_bytes())
                .map_err(|error| invalid("method", error.to_string()))?,
            path: PathAndQuery::from_maybe_shared(raw.path)
                .map_err(|error| invalid("path", error.to_string()))?,
            headers: Arc::new(headers_from_wire(&raw.headers)?),
            body: raw.body,
        })
    }
}

/// Builds an answer from its wire parts.
pub(crate) fn answer_from_parts(
    status: u16,
    headers: &[Header],
    body: Bytes,
) -> Result<Answer, CodecError> {
    let status =
        StatusCode::from_u16(status).map_err(|error| invalid("status", error.to_string()))?;
    Ok(Answer { status, headers: headers_from_wire(headers)?, body })
}

impl From<frames::Failed> for GateReply {
    fn from(raw: frames::Failed) -> GateReply {
        let outcome = match raw.reason {
            FailureReason::NotRun(reason) => Outcome::NotRun(reason),
            FailureReason::Unknown(reason) => Outcome::Unknown(reason),
        };
        GateReply::Failed { outcome, retry_after: raw.retry_after_ms.map(Duration::from_millis) }
    }
}
