//! Authenticated WebSocket links between agents.
//!
//! Control and traffic have separate ports and links, so that a burst of requests cannot delay a lease. A link
//! carries opaque messages in both directions; an invalid message closes its link only.

mod control;
pub(crate) mod handshake;
mod key;
mod socket;
pub(crate) mod traffic;

#[cfg(test)]
mod tests;

pub use control::{ControlEvent, ControlLinks};
pub use key::LinkKey;
