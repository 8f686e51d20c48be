//! A request and its reply, as ingress, links and the gate pass them on.

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
    traffic::{self as frames, CorrelationId, GateLoad, Header, Reason},
};

/// A request on its way to a gate.
#[derive(Debug, Clone)]
pub(crate) struct GateRequest {
    pub(crate) service: ServiceName,
    /// None where the service is not divided by key.
    pub(crate) key_hash: Option<KeyHash>,
    pub(crate) id: RequestId,
    /// What it asks for: the same for all attempts, whoever takes them in.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) class: ClassName,
    pub(crate) idempotent: bool,
    /// Time left to answer in.
    pub(crate) remaining: Duration,
    /// Time since the first sending of this id, as its caller says; zero: this is it.
    pub(crate) age: Duration,
    /// Time that ingress has held this sending; zero: this is the first try to place it.
    pub(crate) time_at_ingress: Duration,
    /// Requests of one kind are expected to take alike; none: as the document's route says.
    pub(crate) kind: Option<u8>,
    /// Time left in which an answer is of full use to the caller; none: all of it.
    pub(crate) objective: Option<Duration>,
    /// Its caller has come back with it after a refusal, as far as that can be seen.
    pub(crate) is_caller_retry: bool,
    /// The most upstreams that it may be given to; the ingress sees to that.
    pub(crate) upstream_attempts_max: u8,
    /// The ingress's version of the document.
    pub(crate) config_version: ConfigVersion,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    /// Shared: a request is cloned for each try.
    pub(crate) headers: Arc<HeaderMap>,
    pub(crate) body: Bytes,
}

/// What a gate says to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateReply {
    /// The upstream's whole answer.
    Answered(Answer),
    /// The upstream gave no answer; [`Outcome::Answered`] never stands here.
    Failed { outcome: Outcome, retry_after: Option<Duration> },
    /// Not run: the key belongs elsewhere.
    NotOwner { owner: Option<Instance>, route_version: u64 },
}

impl GateReply {
    pub(crate) fn not_run(reason: NotRunReason) -> GateReply {
        GateReply::Failed { outcome: Outcome::NotRun(reason), retry_after: None }
    }

    pub(crate) fn unknown(reason: UnknownReason) -> GateReply {
        GateReply::Failed { outcome: Outcome::Unknown(reason), retry_after: None }
    }

    /// The end that the reply stands for.
    pub fn outcome(&self) -> Outcome {
        match self {
            GateReply::Answered(_) => Outcome::Answered,
            GateReply::Failed { outcome, .. } => *outcome,
            GateReply::NotOwner { .. } => Outcome::NotRun(NotRunReason::NotOwner),
        }
    }
}

/// What comes back from a gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplyWithLoad {
    pub(crate) reply: GateReply,
    /// How busy the gate is, if it says so.
    pub(crate) load: Option<GateLoad>,
}

impl From<GateReply> for ReplyWithLoad {
    fn from(reply: GateReply) -> ReplyWithLoad {
        ReplyWithLoad { reply, load: None }
    }
}

/// Headers in wire form.
pub(crate) fn headers_to_wire(headers: &HeaderMap) -> Vec<Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        Header(name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
    };
    headers.iter().map(header).collect()
}

/// Headers of a wire form; refuses what HTTP has no place for.
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
    /// The head frame, with at most `first_len` bytes of the body.
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
            // A resend must not look like a first sending for its age being short.
            age_us: whole_us(self.age).max(u64::from(!self.age.is_zero())),
            held_us: whole_us(self.time_at_ingress),
            kind: self.kind,
            objective_us: self.objective.map(whole_us),
            has_come_back: self.is_caller_retry,
            config: self.config_version,
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

    /// Takes the body as it stands in the head: whoever assembles it puts the whole there.
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
            is_caller_retry: raw.has_come_back,
            config_version: raw.config,
            method: Method::from_bytes(raw.method.as_bytes())
                .map_err(|error| invalid("method", error.to_string()))?,
            path: PathAndQuery::from_maybe_shared(raw.path)
                .map_err(|error| invalid("path", error.to_string()))?,
            headers: Arc::new(headers_from_wire(&raw.headers)?),
            body: raw.body,
        })
    }
}

/// An answer out of its wire parts.
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
            Reason::NotRun(reason) => Outcome::NotRun(reason),
            Reason::Unknown(reason) => Outcome::Unknown(reason),
        };
        GateReply::Failed { outcome, retry_after: raw.retry_after_ms.map(Duration::from_millis) }
    }
}
