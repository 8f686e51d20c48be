//! Wire types of an upstream's announcement and control port.

use std::{fmt, net::SocketAddr};

use model::{ServiceName, Slot, Token};
use serde::{Deserialize, Serialize};

/// What an upstream can do at the moment, as it says itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    Starting,
    Ready,
    Draining,
}

/// Answer of `/control/health`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Health {
    pub state: HealthState,
    pub slots: u16,
}

/// Answer of `/control/load`; may lag or lie.
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
    pub slots: u16,
    pub checks_fence: bool,
    /// What its monotonic clock shows, in milliseconds from an origin of its own.
    #[serde(default)]
    pub clock_ms: Option<u64>,
}

/// Body of `/control/grant`.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Grant {
    slot: Slot,
    token: String,
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
    /// Hexadecimal, as in the request's header.
    pub(crate) request_id: String,
}

/// A control call that failed.
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
