//! The upstream beside an agent, over HTTP: its announcements, control port and data port.
//!
//! HTTP of an upstream:
//! - `GET /control/health`: 200 `{"state": "starting"|"ready"|"draining", "slots": N}`.
//! - `GET /control/load`: 200 `{"in_flight": N, "queued": N}`. Both may lag or lie.
//! - `POST /control/grant` `{"slot", "token": "T.S", "until_ms"}`: the remaining time of the grant;
//!   an upstream that checks fence tokens refuses requests of lower tokens from then on.
//! - `POST /control/prepare` `{"slot"}`: answers once it is warm for the slot.
//! - `POST /control/cancel` `{"request_id"}`: ends a running request.
//! - Everything else is a request: headers `x-request-id` (hexadecimal), `x-fence-token` (`T.S`),
//!   `x-deadline-ms` (remaining); `x-start-before-ms` and `x-end-before-ms`, points on the clock that
//!   the upstream announces. It answers 503 with `x-not-run: 1` when it provably did not run.
//!
//! An upstream announces itself to the agent beside it: `POST /upstream/announce`
//! `{"service", "address", "state", "slots", "checks_fence", "clock_ms"}` at the agent's caller port,
//! at start and every second; the agent's silence or the upstream's ends the pairing after some
//! seconds. `clock_ms` is optional: what its monotonic clock shows, from an origin of its own.

mod client;
mod control;
mod request;

#[cfg(test)]
mod tests;

pub use client::HttpUpstream;
pub use control::{AnnouncementBody, ControlError, Health, HealthState, Load};
pub use request::{
    AnnouncedKeys, Answer, AssignedKeys, CallError, ClockBounds, GrantError, GrantedKeys,
    HandoverToken, KeyGrant, KeyLeaseMode, LeaseEnforcingUpstream, NOT_RUN_HEADER, ReleasedKeys,
    Request, Upstream, UpstreamFuture,
};
