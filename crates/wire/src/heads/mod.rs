//! Compression of the heads of messages, with the previous heads on the same link as the
//! dictionary.
//!
//! With one owner per key, two thirds of all requests cross between availability zones. Apart from
//! their bodies, they consist mostly of repeated field and header names. Bodies are sent
//! uncompressed.
//!
//! An encoded message consists of the length of its head, the length of the compressed head, the
//! compressed head, and the uncompressed rest. Both lengths are in LEB128. Messages have to be
//! decoded in the order in which they were encoded, since both sides keep the last heads as the
//! dictionary.

#[cfg(test)]
mod tests;

use lz4_flex::block::{compress_with_dict, decompress_with_dict};

use crate::CodecError;

/// Size of the dictionary. It holds five to ten heads, so one of each kind of message.
const DICTIONARY_BYTES_MAX: usize = 4096;
/// Longest head: that of the largest message without a body, the routes of a plan.
const HEAD_BYTES_MAX: usize = 1 << 20;
/// Longest encoded length. LEB128 has seven bits per byte, so three bytes hold the length of the
/// longest head.
const LENGTH_BYTES_MAX: usize = 3;

/// Dictionary for one direction of a link: the last bytes of the previous heads.
#[derive(Debug, Default)]
struct Dictionary(Vec<u8>);

impl Dictionary {
    fn add(&mut self, head: &[u8]) {
        let head = &head[head.len().saturating_sub(DICTIONARY_BYTES_MAX)..];
        let excess = (self.0.len() + head.len()).saturating_sub(DICTIONARY_BYTES_MAX);
        self.0.drain(..excess);
        self.0.extend_from_slice(head);
    }
}

/// Encoder for the sending end of a link.
#[derive(Debug, Default)]
pub struct HeadEncoder(Dictionary);

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

/// Decoder for the receiving end of a link.
#[derive(Debug, Default)]
pub struct HeadDecoder(Dictionary);

impl HeadDecoder {
    /// Decodes a message. After an error, the link can no longer be used, since the dictionaries of
    /// both ends differ.
    pub fn decode(&mut self, encoded: &[u8]) -> Result<Vec<u8>, CodecError> {
        let (head_len, encoded) = split_length(encoded)?;
        let (compressed_len, encoded) = split_length(encoded)?;
        if head_len > HEAD_BYTES_MAX || compressed_len > encoded.len() {
            return Err(invalid(format!(
                "invalid lengths: {head_len} bytes, compressed to {compressed_len}"
            )));
        }
        let (compressed, rest) = encoded.split_at(compressed_len);
        let mut message = decompress_with_dict(compressed, head_len, &self.0.0)
            .map_err(|error| invalid(error.to_string()))?;
        if message.len() != head_len {
            return Err(invalid(format!(
                "decompressed to {} bytes, expected {head_len}",
                message.len()
            )));
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

fn split_length(bytes: &[u8]) -> Result<(usize, &[u8]), CodecError> {
    let mut length = 0;
    for (at, byte) in bytes.iter().take(LENGTH_BYTES_MAX).enumerate() {
        length |= usize::from(byte & 0x7f) << (7 * at);
        if byte & 0x80 == 0 {
            return Ok((length, &bytes[at + 1..]));
        }
    }
    Err(invalid("the encoded length is too long or truncated".to_owned()))
}

fn invalid(reason: String) -> CodecError {
    CodecError::Invalid { field: "head", reason }
}
