//! HTTP interface of the upstream beside an agent: requests, control calls and announcements.
//!
//! HTTP served by an upstream:
//! - `GET /control/health`: 200 `{"state": "starting"|"ready"|"draining", "slots": N}`.
//! - `GET /control/load`: 200 `{"in_flight": N, "queued": N}`. Both values may be outdated or wrong.
//! - `POST /control/grant` `{"slot", "token": "T.S", "until_ms"}`: `until_ms` is the remaining time of the grant. From
//!   then on an upstream that checks fence tokens refuses requests with lower tokens.
//! - `POST /control/prepare` `{"slot"}`: answers once the upstream is warm for the slot.
//! - `POST /control/cancel` `{"request_id"}`: cancels a running request.
//! - Every other path is a request, with the headers `x-request-id` (hexadecimal), `x-fence-token` (`T.S`),
//!   `x-deadline-ms` (remaining time), and `x-start-before-ms` and `x-end-before-ms` (times on the clock that the
//!   upstream announces). The upstream answers 503 with `x-not-run: 1` if it provably did not run the request. Answers
//!   may state the upstream's condition: `x-requests-per-s-max`, the most requests per second that it takes from all
//!   callers together, and `x-leaving: 1` if it is leaving for good.
//!
//! An upstream announces itself to the agent beside it at start and every second: `POST /upstream/announce`
//! `{"service", "address", "state", "slots", "checks_fence", "clock_ms", "started_ms"}` at the agent's address for
//! callers. The pairing ends after some seconds without an announcement or an answer. `clock_ms` is optional: the time on
//! the upstream's monotonic clock, since an arbitrary origin. `started_ms` is optional: the upstream's start, since the
//! Unix epoch; without it, `x-leaving` has no effect.

mod client;
mod control;
mod key_connections;
mod request;

#[cfg(test)]
mod tests;

pub use client::HttpUpstream;
pub use control::{AnnouncementBody, ControlError, Health, HealthState, Load};
pub use key_connections::{
    GrantConnection, GrantHistory, IdentityCheck, KeyConnections, Responder,
};
pub use request::{
    AnnouncedKeys, Answer, AssignedKeys, CallError, ClockBounds, GrantError, GrantedKeys,
    HandoverToken, KeyConnection, KeyConnectionError, KeyGrant, KeyLeaseMode, LEAVING_HEADER,
    LIMIT_HEADER, LeaseEnforcingUpstream, NOT_RUN_HEADER, Presence, ReleasedKeys, Request,
    StatedCondition, StatedLoad, Upstream, UpstreamFuture,
};
