//! What a request asks for, whoever sends it and however often.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::key_hash;

/// Stands for the content of a request: the same for all attempts of all callers that ask for the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Of the parts in their order; where one ends and the next begins counts.
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
