//! The border to an upstream, as a trait.

use std::{future::Future, net::SocketAddr, pin::Pin, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, uri::PathAndQuery};
use model::{RequestId, Slot, Token};

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
    /// Ends a running request.
    fn cancel(&self, id: RequestId) -> UpstreamFuture<'_, Result<(), ControlError>>;
}
