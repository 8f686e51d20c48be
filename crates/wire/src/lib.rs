//! Messages on the links between agents, and their CBOR encoding.

mod codec;
pub mod control;
pub mod exchange;
mod heads;
pub mod link;
pub mod traffic;

pub use codec::{CodecError, decode, encode};
pub use heads::{HeadDecoder, HeadEncoder};
