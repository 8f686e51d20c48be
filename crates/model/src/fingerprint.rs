//! Fingerprint of a request's content, independent of the caller and of the attempt.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::key_hash;

/// Hash of a request's content, equal for all attempts and callers that send the same content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of the parts in their order. The boundaries between parts are hashed as well, so the
    /// same bytes divided differently give another fingerprint.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Fingerprint {
        let mut bytes = Vec::with_capacity(256);
        for part in parts {
            bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
            bytes.extend_from_slice(part);
        }
        Fingerprint(key_hash(&bytes).0)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
