//! The handshake of a link between two agents.
//!
//! The dialling side sends [`Hello`], the listening side answers [`Welcome`] with its proof, the
//! dialling side ends with [`Proof`]. Each proves that it has the key, over both nonces, both
//! instances, the kind of link and its own side, so that no proof serves twice or elsewhere.

#[cfg(test)]
mod tests;

use model::Instance;
use serde::{Deserialize, Serialize};

/// Version of the protocol between agents; both sides must have the same.
pub const PROTOCOL_VERSION: u16 = 3;
/// The largest message of the handshake.
pub const HANDSHAKE_BYTES_MAX: usize = 1024;

/// What a link is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkKind {
    /// Messages of control; ends at the control thread.
    Control,
    /// Forwarded requests; ends at the traffic threads.
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

/// The side whose proof it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    Dialling,
    Listening,
}

/// What a proof is computed over, in its CBOR form.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Transcript<'a> {
    pub side: Side,
    pub hello: &'a Hello,
    pub listening: &'a Instance,
    pub listening_nonce: [u8; 16],
}
