//! Messages between the nodes of one group, as CBOR.
//!
//! Field names are single letters and small things are arrays, since the control traffic of a
//! node has to stay under 20 KB/s. What a peer sends is bounded: first the whole, in bytes, then
//! each list, in entries.

mod convert;
mod types;

#[cfg(test)]
mod tests;

use ownership::Message;

use self::types::WireMessage;

/// The longest message that is accepted, in bytes.
pub const CONTROL_MESSAGE_MAX_BYTES: usize = 256 * 1024;

/// Why bytes are no control message.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum WireError {
    #[error("decode: {0} bytes, at most {CONTROL_MESSAGE_MAX_BYTES} are allowed")]
    TooLong(usize),
    #[error("decode: no control message: {0}")]
    Syntax(String),
    #[error("decode: {list} has {count} entries, at most {max} are allowed")]
    TooMany { list: &'static str, count: usize, max: usize },
    #[error("decode: {field}: {reason}")]
    Value { field: &'static str, reason: String },
}

/// The CBOR of a message.
pub fn encode(message: &Message) -> Vec<u8> {
    crate::codec::encode(&WireMessage::from(message))
}

/// The message that bytes of a peer stand for.
pub fn decode(bytes: &[u8]) -> Result<Message, WireError> {
    if bytes.len() > CONTROL_MESSAGE_MAX_BYTES {
        return Err(WireError::TooLong(bytes.len()));
    }
    let message: WireMessage =
        crate::codec::decode(bytes).map_err(|it| WireError::Syntax(it.to_string()))?;
    Message::try_from(message)
}
