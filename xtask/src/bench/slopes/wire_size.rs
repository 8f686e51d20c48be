//! Bytes of a message on the wire, headers included.

use model::{GroupId, ServiceName};
use ownership::Message;
use wire::{control, exchange::Envelope};

/// Header bytes of each message: WebSocket frame with its mask (8), TCP with timestamps (32), IP
/// (20).
pub(super) const HEADER_BYTES: u64 = 60;

/// Encodes a message between two nodes of a group as the payload of a frame.
pub(super) fn encode(message: &Message, service: &ServiceName) -> Vec<u8> {
    let payload = control::encode(message);
    Envelope::Group { service: service.clone(), group: GroupId(0), payload }.encode()
}

/// Decodes a payload made by [`encode`].
pub(super) fn decode(bytes: &[u8]) -> Message {
    match Envelope::decode(bytes) {
        Ok(Envelope::Group { payload, .. }) => {
            control::decode(&payload).expect("an encoded message can be decoded")
        }
        other => panic!("expected a message of a group, got {other:?}"),
    }
}

/// Returns the bytes of a frame with this payload, all headers included.
pub(super) fn bytes_on_wire(bytes: &[u8]) -> u64 {
    bytes.len() as u64 + HEADER_BYTES
}
