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
    /// Set where the upstream runs requests only for keys that it has been granted.
    fn leases(&self) -> Option<&dyn LeasedUpstream> {
        None
    }
    /// Whether it is to be asked for its health all the time; if not, its announcements and the ends
    /// of requests have to do.
    fn is_asked_for_health(&self) -> bool {
        true
    }
    /// Ends a running request.
    fn cancel(&self, id: RequestId) -> UpstreamFuture<'_, Result<(), ControlError>>;
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
pub trait LeasedUpstream: Send + Sync {
    /// Grants keys for a time that begins when the call arrives. The same call again renews it.
    fn grant_keys(
        &self,
        granted: GrantedKeys,
        hold: Duration,
        handover: Option<HandoverToken>,
    ) -> UpstreamFuture<'_, Result<(), GrantError>>;
    /// Stops new work on the keys; resolves when the work that ran on them has ended.
    fn release_keys(
        &self,
        granted: GrantedKeys,
    ) -> UpstreamFuture<'_, Result<Option<HandoverToken>, ControlError>>;
}
