//! Authenticated WebSocket links between agents.
//!
//! Control and traffic have a port and links of their own, so that a rush of requests can't delay
//! a lease. A link carries opaque messages both ways; whatever is wrong with one ends that link.

mod control;
pub(crate) mod handshake;
mod key;
mod socket;
pub(crate) mod traffic;

#[cfg(test)]
mod tests;

pub use control::{ControlEvent, ControlLinks};
pub use key::LinkKey;
