//! CBOR encoding with `ciborium`. A message consists of exactly one value.

use serde::{Serialize, de::DeserializeOwned};

/// Largest nesting depth of a received value; the types of this crate nest less deeply.
const DEPTH_MAX: usize = 16;

/// Reason why received bytes are not a valid message.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CodecError {
    #[error("malformed CBOR: {0}")]
    Malformed(String),
    #[error("{0} trailing bytes after the message")]
    Trailing(usize),
    /// Well-formed CBOR with a value that is out of range.
    #[error("invalid {field}: {reason}")]
    Invalid { field: &'static str, reason: String },
}

/// Encodes a value.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(value, &mut bytes).expect("wire types have a CBOR form");
    bytes
}

/// Decodes a value. Trailing bytes are an error.
pub fn decode<T: DeserializeOwned>(mut bytes: &[u8]) -> Result<T, CodecError> {
    let value = ciborium::de::from_reader_with_recursion_limit(&mut bytes, DEPTH_MAX)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    match bytes.len() {
        0 => Ok(value),
        rest => Err(CodecError::Trailing(rest)),
    }
}
