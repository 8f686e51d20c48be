//! Traits of the upstream beside an agent, with its requests, answers and key leases.

use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, header::AsHeaderName, uri::PathAndQuery};
use model::{KeyRange, RequestId, RequestRate, Slot, Token};

use crate::{ControlError, Health, Load};

/// Header with the value `1` by which an upstream reports that it did not run a request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Header by which an upstream states the most requests per second, a decimal number, that it takes from all callers
/// together. The limit holds until an answer comes without the header.
pub const LIMIT_HEADER: &str = "x-requests-per-s-max";
/// Header with the value `1` by which an upstream states that it is leaving for good.
pub const LEAVING_HEADER: &str = "x-leaving";

/// Future of a call to an upstream.
pub type UpstreamFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Time bounds of a request on the monotonic clock that the upstream announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockBounds {
    /// Time before which the request must start, since the grant ends at it.
    pub start_before_ms: u64,
    /// Time by which the request must have ended.
    pub end_before_ms: u64,
}

/// A request as it is sent to the upstream.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: Method,
    pub path: PathAndQuery,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub id: RequestId,
    /// Fence token of the key's slot. It is `None` if the service is not sharded by key.
    pub token: Option<Token>,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Time bounds. They are `None` if the upstream announces no clock.
    pub bounds: Option<ClockBounds>,
}

/// A completely received answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// State of the upstream itself, as stated in the headers of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatedCondition {
    /// The most requests that the upstream takes from all callers together, or `None` if it states no limit.
    pub limit: Option<RequestRate>,
    /// Whether this incarnation of the upstream is leaving for good.
    pub is_leaving: bool,
}

impl StatedCondition {
    /// Reads the condition from the headers with these names. A value that is not valid counts as not stated.
    pub fn from_headers(
        headers: &HeaderMap,
        limit_name: impl AsHeaderName,
        leaving_name: impl AsHeaderName,
    ) -> StatedCondition {
        let limit_per_s =
            headers.get(limit_name).and_then(|it| it.to_str().ok()?.trim().parse().ok());
        let is_leaving = headers.get(leaving_name).is_some_and(|it| it.as_bytes() == b"1");
        StatedCondition { limit: limit_per_s.and_then(RequestRate::from_per_s), is_leaving }
    }
}

/// Load of the upstream itself, as stated in the headers of an answer. It may be outdated or wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedLoad {
    /// Requests that the upstream runs.
    pub running: u16,
    /// Requests that wait in the upstream.
    pub waiting: u16,
    /// Requests that the upstream can run at a time.
    pub slots: u16,
}

impl StatedLoad {
    /// Parses the numbers of running and waiting requests and of slots, separated by commas. Returns `None` for any
    /// other text, and for numbers above 65,535.
    pub fn parse(text: &str) -> Option<StatedLoad> {
        let mut numbers = text.split(',').map(|it| it.trim().parse().ok());
        let load = StatedLoad {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slots: numbers.next()??,
        };
        numbers.next().is_none().then_some(load)
    }
}

/// State of an upstream as its own answer to a probe shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The expected incarnation runs and is not leaving.
    Present,
    /// The upstream is not ready for requests at the moment.
    Unhealthy,
    /// The upstream is leaving for good.
    Leaving,
    /// Another incarnation than the expected one runs at the address.
    Replaced,
}

/// Reason for a call without a complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CallError {
    /// The request was provably not run, as no byte of it left this process.
    #[error("{step}: could not reach upstream {peer}: {reason}")]
    NotSent { step: &'static str, peer: SocketAddr, reason: String },
    /// The request was provably not run, as the upstream reported.
    #[error("upstream {peer} refused the request before running it")]
    Refused {
        peer: SocketAddr,
        retry_after: Option<Duration>,
        /// Condition that the refusal states.
        condition: StatedCondition,
    },
    /// No valid answer was received; the request may have run.
    #[error("{step}: no valid answer from upstream {peer}: {reason}")]
    Lost { step: &'static str, peer: SocketAddr, reason: String },
    /// The request has run, but its answer is truncated or too large.
    #[error("{step}: upstream {peer} sent a truncated or too large answer: {reason}")]
    Broken { step: &'static str, peer: SocketAddr, reason: String },
}

/// Calls to the upstream beside an agent.
pub trait Upstream: Send + Sync {
    /// Sends a request exactly once, without retries. Dropping the future closes the connection.
    fn call(&self, request: Request) -> UpstreamFuture<'_, Result<Answer, CallError>>;
    /// Returns the condition that an answer states by its headers.
    fn stated_condition(&self, headers: &HeaderMap) -> StatedCondition;
    /// Returns the load that an answer states by its headers; `None` if it states none that is valid.
    fn stated_load(&self, _headers: &HeaderMap) -> Option<StatedLoad> {
        None
    }
    fn health(&self) -> UpstreamFuture<'_, Result<Health, ControlError>>;
    /// Asks the upstream whether the expected incarnation runs and can be given requests.
    fn probe(&self) -> UpstreamFuture<'_, Result<Presence, ControlError>>;
    fn load(&self) -> UpstreamFuture<'_, Result<Load, ControlError>>;
    /// Notifies the upstream of the grant of a slot and its remaining time.
    fn grant(
        &self,
        slot: Slot,
        token: Token,
        remaining: Duration,
    ) -> UpstreamFuture<'_, Result<(), ControlError>>;
    /// Prepares the upstream for a slot; resolves once it is warm for the slot.
    fn prepare(&self, slot: Slot) -> UpstreamFuture<'_, Result<(), ControlError>>;
    /// Returns whether the upstream enforces key leases, and how leases are sent to it.
    fn key_lease_mode(&self) -> KeyLeaseMode<'_> {
        KeyLeaseMode::NotEnforced
    }
    /// Returns whether the upstream's health must be polled. Otherwise its state follows from its announcements and
    /// from the outcomes of requests.
    fn needs_health_polling(&self) -> bool {
        true
    }
    /// Returns whether the upstream's process has exited, that is, its address refuses connections.
    fn has_exited(&self) -> UpstreamFuture<'_, bool>;
    /// Cancels a running request.
    fn cancel(&self, id: RequestId) -> UpstreamFuture<'_, Result<(), ControlError>>;
}

/// Way in which an upstream receives key leases.
#[derive(Clone, Copy)]
pub enum KeyLeaseMode<'a> {
    /// The upstream runs requests for any key.
    NotEnforced,
    /// The agent sends each grant and each release to the upstream as a call.
    ByCall(&'a dyn LeaseEnforcingUpstream),
    /// The upstream announces the keys that it holds, and the answer contains the keys to hold from then on.
    ByAnnouncement,
}

impl KeyLeaseMode<'_> {
    /// Returns whether the upstream runs requests only for keys that it holds.
    pub fn is_enforced(&self) -> bool {
        !matches!(self, KeyLeaseMode::NotEnforced)
    }
}

/// Consecutive keys with the fence token under which they are granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantedKeys {
    pub keys: KeyRange,
    pub token: Token,
}

/// Token that an upstream issues for released keys. A successor that is granted the keys with this token takes over
/// their warm state.
pub type HandoverToken = Arc<str>;

/// Keys in an announcement of an upstream that receives its leases by announcement.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AnnouncedKeys {
    /// Keys that the upstream holds or still runs requests for.
    pub held: Vec<GrantedKeys>,
    /// Keys that the upstream has released since its last acknowledged announcement.
    pub released: Vec<ReleasedKeys>,
}

/// Keys that an upstream has released after the requests for them had ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleasedKeys {
    pub keys: KeyRange,
    pub handover: HandoverToken,
}

/// Complete set of keys that an upstream must hold from now on. It releases all other keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AssignedKeys {
    pub grants: Vec<KeyGrant>,
    /// Duration of the leases, counted from when the upstream sent its announcement.
    pub hold: Duration,
}

/// Granted keys, with the handover token of their previous holder if this upstream did not hold them before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyGrant {
    pub granted: GrantedKeys,
    pub handover: Option<HandoverToken>,
}

/// Reason why a grant was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum GrantError {
    /// The upstream has received a higher fence token for one of the keys, or it cannot be ruled out that another
    /// incarnation than the one that is granted the keys now was granted keys under a token as high as this one.
    #[error("the fence token of these keys is outdated at upstream {peer}")]
    Outdated { peer: SocketAddr },
    /// The grant has not reached the upstream and never takes effect.
    #[error("a grant of keys was not sent to upstream {peer}: {reason}")]
    NotSent { peer: SocketAddr, reason: String },
    /// The grant may or may not take effect, immediately or later. Its duration counts from its arrival.
    #[error("upstream {peer} did not confirm a grant of keys: {reason}")]
    Unknown { peer: SocketAddr, reason: String },
}

/// Reason why there is no connection for a grant.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum KeyConnectionError {
    /// No connection could be opened, as if no process listened at the address.
    #[error("could not connect to upstream {peer}: {reason}")]
    Unreachable { peer: SocketAddr, reason: String },
    /// The upstream did not show which incarnation it is.
    #[error("upstream {peer} did not show that it is the expected incarnation: {reason}")]
    Unconfirmed { peer: SocketAddr, reason: String },
    /// Another incarnation runs at the address, so the expected one has ended.
    #[error("another incarnation than the expected one runs at {peer}")]
    Replaced { peer: SocketAddr },
}

/// Connection for one grant, whose other end has shown on this connection that it is the expected incarnation of the
/// upstream. A connection does not outlive the process at its other end, so the grant reaches no other incarnation.
pub trait KeyConnection: Send {
    /// Grants keys for the duration `hold`, counted from the arrival of the call. Repeating the grant renews it.
    fn grant_keys(
        self: Box<Self>,
        granted: GrantedKeys,
        hold: Duration,
        handover: Option<HandoverToken>,
    ) -> UpstreamFuture<'static, Result<(), GrantError>>;
}

/// Calls to an upstream that runs requests only for keys of which it holds a lease.
pub trait LeaseEnforcingUpstream: Send + Sync {
    /// Returns a connection for a grant. An upstream that is started at the address of a crashed one listens there, but
    /// must not take the keys of its predecessor under the same token.
    fn key_connection(
        &self,
    ) -> UpstreamFuture<'_, Result<Box<dyn KeyConnection>, KeyConnectionError>>;
    /// Stops the upstream from starting requests for the keys; resolves to the handover token, which may be empty, once
    /// the running requests for them have ended. Requests whose connection was closed may still be running. The answer
    /// of a successor is as good: its predecessor has ended, with all its requests.
    fn release_keys(
        &self,
        granted: GrantedKeys,
    ) -> UpstreamFuture<'_, Result<HandoverToken, ControlError>>;
}
