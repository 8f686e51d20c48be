//! What a message takes on the way, headers included.

use model::{GroupId, ServiceName};
use ownership::Message;
use wire::{control, exchange::Envelope};

/// For each message: a WebSocket frame's header with its mask (8), TCP with timestamps (32), IP
/// (20).
pub(super) const HEADER_BYTES: u64 = 60;

/// A message between two nodes of a group, as it is put into a frame.
pub(super) fn encode(message: &Message, service: &ServiceName) -> Vec<u8> {
    let payload = control::encode(message);
    Envelope::Group { service: service.clone(), group: GroupId(0), payload }.encode()
}

/// The message in a frame that [`encode`] made.
pub(super) fn decode(bytes: &[u8]) -> Message {
    match Envelope::decode(bytes) {
        Ok(Envelope::Group { payload, .. }) => {
            control::decode(&payload).expect("what was encoded can be decoded")
        }
        other => panic!("no message of a group: {other:?}"),
    }
}

/// Bytes of a frame with all headers.
pub(super) fn bytes_on_wire(bytes: &[u8]) -> u64 {
    bytes.len() as u64 + HEADER_BYTES
}
