//! The border to an upstream, as a trait.

use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, uri::PathAndQuery};
use model::{KeyRange, RequestId, Slot, Token};

use crate::{ControlError, Health, Load};

/// The header with which an upstream says that it did not run a request; the value is `1`.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// What a call to an upstream resolves to.
pub type UpstreamFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Bounds of a request as points on the clock that the upstream announces, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockBounds {
    /// It may not start at this point or after it: the grant has ended by then.
    pub start_before_ms: u64,
    /// It must have ended by this point.
    pub end_before_ms: u64,
}

/// A request as the upstream is given it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: Method,
    pub path: PathAndQuery,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub id: RequestId,
    /// None where the service is not divided by key.
    pub token: Option<Token>,
    /// Time left to answer in.
    pub remaining: Duration,
    /// None where the upstream announces no clock.
    pub bounds: Option<ClockBounds>,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CallError {
    /// Provably not run: no byte of it left this process.
    #[error("{step}: upstream {peer} not reached: {reason}")]
    NotSent { step: &'static str, peer: SocketAddr, reason: String },
    /// Provably not run: the upstream says so.
    #[error("upstream {peer} refused the request before running it")]
    Refused { peer: SocketAddr, retry_after: Option<Duration> },
    /// It may have run.
    #[error("{step}: upstream {peer} lost: {reason}")]
    Lost { step: &'static str, peer: SocketAddr, reason: String },
    /// It has run; the answer is cut short or too large.
    #[error("{step}: upstream {peer} gave a broken answer: {reason}")]
    Broken { step: &'static str, peer: SocketAddr, reason: String },
}

/// The upstream beside an agent.
pub trait Upstream: Send + Sync {
    /// Sends one request, once. Dropping the future closes its connection.
    fn call(&self, request: Request) -> UpstreamFuture<'_, Result<Answer, CallError>>;
    fn health(&self) -> UpstreamFuture<'_, Result<Health, ControlError>>;
    fn load(&self) -> UpstreamFuture<'_, Result<Load, ControlError>>;
    /// Tells it of a grant and the time left of it.
    fn grant(
        &self,
        slot: Slot,
        token: Token,
        remaining: Duration,
    ) -> UpstreamFuture<'_, Result<(), ControlError>>;
    /// Resolves once it is warm for a slot.
    fn prepare(&self, slot: Slot) -> UpstreamFuture<'_, Result<(), ControlError>>;
    /// How it is granted keys, where it runs requests only for keys that it holds.
    fn key_lease_mode(&self) -> KeyLeaseMode<'_> {
        KeyLeaseMode::NotEnforced
    }
    /// Whether it is to be asked for its health all the time; if not, its announcements and the ends
    /// of requests have to do.
    fn needs_health_polling(&self) -> bool {
        true
    }
    /// Whether nobody listens at its address: its process has ended.
    fn has_exited(&self) -> UpstreamFuture<'_, bool>;
    /// Ends a running request.
    fn cancel(&self, id: RequestId) -> UpstreamFuture<'_, Result<(), ControlError>>;
}

/// How an upstream is granted keys.
#[derive(Clone, Copy)]
pub enum KeyLeaseMode<'a> {
    /// It runs requests for any key.
    NotEnforced,
    /// Each grant and each release is a call to it.
    ByCall(&'a dyn LeaseEnforcingUpstream),
    /// It announces what it holds, and the answer says what it is to hold from then on.
    ByAnnouncement,
}

impl KeyLeaseMode<'_> {
    /// Whether it runs requests only for keys that it holds.
    pub fn is_enforced(&self) -> bool {
        !matches!(self, KeyLeaseMode::NotEnforced)
    }
}

/// Neighbouring keys, and the token under which they are granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantedKeys {
    pub keys: KeyRange,
    pub token: Token,
}

/// What an upstream hands out with keys that it gives up; whoever is granted them with it finds them
/// warm.
pub type HandoverToken = Arc<str>;

/// What an upstream that is granted keys by its announcements says of them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AnnouncedKeys {
    /// What it holds or still works on.
    pub held: Vec<GrantedKeys>,
    /// What it has given up since the last announcement that it knows to have been taken.
    pub released: Vec<ReleasedKeys>,
}

/// Keys that an upstream has given up, after the work on them has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleasedKeys {
    pub keys: KeyRange,
    pub handover: HandoverToken,
}

/// All that an upstream is to hold from now on; it gives up the rest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AssignedKeys {
    pub grants: Vec<KeyGrant>,
    /// Counted from when the upstream sent its announcement.
    pub hold: Duration,
}

/// Keys that are granted, with the token of their last holder if they are new to this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyGrant {
    pub granted: GrantedKeys,
    pub handover: Option<HandoverToken>,
}

/// Why a grant was not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum GrantError {
    /// It has seen a higher token for one of the keys.
    #[error("upstream {peer} has seen a higher token")]
    Outdated { peer: SocketAddr },
    /// It may or may not take effect, at once or later; its time counts from when it arrived.
    #[error("upstream {peer}: no answer to a grant: {reason}")]
    Unknown { peer: SocketAddr, reason: String },
}

/// An upstream that enforces leases of keys itself.
pub trait LeaseEnforcingUpstream: Send + Sync {
    /// Grants keys for a time that begins when the call arrives. The same call again renews it.
    fn grant_keys(
        &self,
        granted: GrantedKeys,
        hold: Duration,
        handover: Option<HandoverToken>,
    ) -> UpstreamFuture<'_, Result<(), GrantError>>;
    /// Stops new work on the keys; resolves to the handover token, which may be empty, when the work that ran on
    /// them has ended. Runs whose connection has ended may go on nevertheless.
    fn release_keys(
        &self,
        granted: GrantedKeys,
    ) -> UpstreamFuture<'_, Result<HandoverToken, ControlError>>;
}
