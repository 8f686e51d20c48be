//! Heads of messages, compressed against the heads before them on the same link.
//!
//! What this answers: where every key has one owner, two thirds of all requests cross between availability
//! zones, and what they carry besides their bodies, names of fields and headers above all, is the same each
//! time. Bodies are sent as they are.
//!
//! A message on a link is the length of its head, the length of the compressed head, the compressed head,
//! and the rest as it is; both lengths are in LEB128. Messages have to be decoded in the order in which they
//! were encoded: both sides keep the last heads as the dictionary.

#[cfg(test)]
mod tests;

use lz4_flex::block::{compress_with_dict, decompress_with_dict};

use crate::CodecError;

/// How much of the last heads is kept for reference, in bytes: five to ten heads, so one of each kind.
const RECENT_BYTES_MAX: usize = 4096;
/// The longest head, in bytes: the largest message without a body, a plan's routes.
const HEAD_BYTES_MAX: usize = 1 << 20;
/// LEB128 has seven bits a byte; three bytes hold the longest head.
const LENGTH_BYTES_MAX: usize = 3;

/// The last heads of one direction of a link.
#[derive(Debug, Default)]
struct Recent(Vec<u8>);

impl Recent {
    fn add(&mut self, head: &[u8]) {
        let head = &head[head.len().saturating_sub(RECENT_BYTES_MAX)..];
        let excess = (self.0.len() + head.len()).saturating_sub(RECENT_BYTES_MAX);
        self.0.drain(..excess);
        self.0.extend_from_slice(head);
    }
}

/// The sending end of a link.
#[derive(Debug, Default)]
pub struct HeadEncoder(Recent);

impl HeadEncoder {
    /// Encodes a message whose first `head_len` bytes are its head.
    pub fn encode(&mut self, message: &[u8], head_len: usize) -> Vec<u8> {
        let (head, rest) = message.split_at(head_len.min(HEAD_BYTES_MAX));
        let compressed = compress_with_dict(head, &self.0.0);
        self.0.add(head);
        let lengths = 2 * LENGTH_BYTES_MAX;
        let mut encoded = Vec::with_capacity(lengths + compressed.len() + rest.len());
        push_length(&mut encoded, head.len());
        push_length(&mut encoded, compressed.len());
        encoded.extend_from_slice(&compressed);
        encoded.extend_from_slice(rest);
        encoded
    }
}

/// The receiving end of a link.
#[derive(Debug, Default)]
pub struct HeadDecoder(Recent);

impl HeadDecoder {
    /// Decodes a message. After an error the link can't be used any more.
    pub fn decode(&mut self, encoded: &[u8]) -> Result<Vec<u8>, CodecError> {
        let (head_len, encoded) = take_length(encoded)?;
        let (compressed_len, encoded) = take_length(encoded)?;
        if head_len > HEAD_BYTES_MAX || compressed_len > encoded.len() {
            return Err(invalid(format!("{head_len} bytes from {compressed_len}")));
        }
        let (compressed, rest) = encoded.split_at(compressed_len);
        let mut message = decompress_with_dict(compressed, head_len, &self.0.0)
            .map_err(|error| invalid(error.to_string()))?;
        if message.len() != head_len {
            return Err(invalid(format!("{} bytes in place of {head_len}", message.len())));
        }
        self.0.add(&message);
        message.extend_from_slice(rest);
        Ok(message)
    }
}

fn push_length(bytes: &mut Vec<u8>, mut length: usize) {
    while length >= 0x80 {
        bytes.push(length as u8 | 0x80);
        length >>= 7;
    }
    bytes.push(length as u8);
}

fn take_length(bytes: &[u8]) -> Result<(usize, &[u8]), CodecError> {
    let mut length = 0;
    for (at, byte) in bytes.iter().take(LENGTH_BYTES_MAX).enumerate() {
        length |= usize::from(byte & 0x7f) << (7 * at);
        if byte & 0x80 == 0 {
            return Ok((length, &bytes[at + 1..]));
        }
    }
    Err(invalid("its length does not end".to_owned()))
}

fn invalid(reason: String) -> CodecError {
    CodecError::Invalid { field: "head", reason }
}
