//! CBOR encoding of the messages between the nodes of a group.
//!
//! Field names are single letters and small types are arrays, since the control traffic of a node
//! has to stay below 20 KB/s. Received messages are bounded: first their total length in bytes,
//! then the number of entries of each list.

mod convert;
mod types;

#[cfg(test)]
mod tests;

use ownership::Message;

use self::types::WireMessage;

/// Longest message that is accepted, in bytes.
pub const CONTROL_MESSAGE_MAX_BYTES: usize = 256 * 1024;

/// Reason why received bytes are not a valid control message.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum WireError {
    #[error("control message of {0} bytes: expected at most {CONTROL_MESSAGE_MAX_BYTES}")]
    TooLong(usize),
    #[error("invalid control message: {0}")]
    Syntax(String),
    #[error(
        "invalid control message: {count} entries in the list of {list}, expected at most {max}"
    )]
    TooMany { list: &'static str, count: usize, max: usize },
    #[error("invalid control message: {field}: {reason}")]
    Value { field: &'static str, reason: String },
}

/// Encodes a message in CBOR.
pub fn encode(message: &Message) -> Vec<u8> {
    crate::codec::encode(&WireMessage::from(message))
}

/// Decodes and checks a message of a peer.
pub fn decode(bytes: &[u8]) -> Result<Message, WireError> {
    if bytes.len() > CONTROL_MESSAGE_MAX_BYTES {
        return Err(WireError::TooLong(bytes.len()));
    }
    let message: WireMessage =
        crate::codec::decode(bytes).map_err(|it| WireError::Syntax(it.to_string()))?;
    Message::try_from(message)
}
