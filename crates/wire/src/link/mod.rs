//! The handshake of a link between two agents.
//!
//! The dialling side sends [`Hello`], the listening side replies with [`Welcome`], which contains
//! its proof, and the dialling side completes the handshake with [`Proof`]. Each side proves that
//! it has the link key. A proof covers both nonces, both instances, the kind of link and the side,
//! so that it cannot be replayed or used on another link.

#[cfg(test)]
mod tests;

use model::Instance;
use serde::{Deserialize, Serialize};

/// Version of the protocol between agents, which has to be the same on both sides.
pub const PROTOCOL_VERSION: u16 = 3;
/// Longest message of the handshake.
pub const HANDSHAKE_BYTES_MAX: usize = 1024;

/// Purpose of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkKind {
    /// Control messages, handled by the control thread.
    Control,
    /// Forwarded requests, handled by the traffic threads.
    Traffic,
}

/// First message, from the dialling side.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    pub version: u16,
    pub kind: LinkKind,
    pub from: Instance,
    pub nonce: [u8; 16],
}

/// Second message, from the listening side.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Welcome {
    pub from: Instance,
    pub nonce: [u8; 16],
    pub proof: [u8; 32],
}

/// Last message, from the dialling side.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proof {
    pub proof: [u8; 32],
}

/// Side of a link that computes a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    Dialling,
    Listening,
}

/// Data that a proof is computed over, in CBOR encoding.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Transcript<'a> {
    pub side: Side,
    pub hello: &'a Hello,
    pub listening: &'a Instance,
    pub listening_nonce: [u8; 16],
}
