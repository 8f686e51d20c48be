//! What a message takes on the way, headers included.

/// For each message: a WebSocket frame's header with its mask (8), TCP with timestamps (32), IP
/// (20).
pub(super) const HEADER_BYTES: u64 = 60;
