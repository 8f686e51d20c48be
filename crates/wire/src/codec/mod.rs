//! CBOR by `ciborium`: one value a message, nothing after it.

use serde::{Serialize, de::DeserializeOwned};

/// How deep values may nest; our own are far below.
const DEPTH_MAX: usize = 16;

/// Why bytes are no message.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CodecError {
    #[error("malformed CBOR: {0}")]
    Malformed(String),
    #[error("{0} bytes follow the message")]
    Trailing(usize),
    /// Well-formed, with a value out of range.
    #[error("invalid {field}: {reason}")]
    Invalid { field: &'static str, reason: String },
}

/// Encodes one value.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(value, &mut bytes).expect("wire types have a CBOR form");
    bytes
}

/// Decodes one value that takes up all bytes.
pub fn decode<T: DeserializeOwned>(mut bytes: &[u8]) -> Result<T, CodecError> {
    let value = ciborium::de::from_reader_with_recursion_limit(&mut bytes, DEPTH_MAX)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    match bytes.len() {
        0 => Ok(value),
        rest => Err(CodecError::Trailing(rest)),
    }
}
