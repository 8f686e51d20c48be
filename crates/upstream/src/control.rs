//! Wire types of an upstream's announcements and of its control calls.

use std::{fmt, net::SocketAddr};

use model::{ServiceName, Slot, Token};
use serde::{Deserialize, Serialize};

/// State that an upstream reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    Starting,
    Ready,
    Draining,
}

/// Answer to `/control/health`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Health {
    pub state: HealthState,
    /// Number of requests that the upstream runs at the same time.
    pub slots: u16,
}

/// Answer to `/control/load`. The values may be outdated or wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    pub in_flight: u32,
    pub queued: u32,
}

/// Body of `/upstream/announce`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnnouncementBody {
    pub service: ServiceName,
    pub address: SocketAddr,
    pub state: HealthState,
    /// Number of requests that the upstream runs at the same time.
    pub slots: u16,
    /// Whether the upstream refuses requests with a lower fence token than it has received before.
    pub checks_fence: bool,
    /// Time on the upstream's monotonic clock, in milliseconds since an arbitrary origin. It is `None` if the upstream
    /// announces no clock.
    #[serde(default)]
    pub clock_ms: Option<u64>,
    /// Start time of this incarnation of the upstream, in milliseconds since the Unix epoch. It identifies the
    /// incarnation; the header [`crate::LEAVING_HEADER`] has no effect without it.
    #[serde(default)]
    pub started_ms: Option<u64>,
}

/// Body of `/control/grant`.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Grant {
    slot: Slot,
    token: String,
    /// Remaining time of the grant.
    until_ms: u64,
}

impl Grant {
    pub(crate) fn new(slot: Slot, token: Token, until_ms: u64) -> Grant {
        Grant { slot, token: token.to_string(), until_ms }
    }
}

/// Body of `/control/prepare`.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Prepare {
    pub(crate) slot: Slot,
}

/// Body of `/control/cancel`.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Cancel {
    /// Request id in hexadecimal digits, as in the request's header.
    pub(crate) request_id: String,
}

/// Failure of a control call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlError {
    pub step: &'static str,
    pub peer: SocketAddr,
    pub reason: String,
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: upstream {}: {}", self.step, self.peer, self.reason)
    }
}

impl std::error::Error for ControlError {}
