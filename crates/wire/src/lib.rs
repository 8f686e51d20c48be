//! The conversions between typed messages and their CBOR form on the links between agents.

mod codec;
pub mod control;
pub mod exchange;
mod heads;
pub mod link;
pub mod traffic;

pub use codec::{CodecError, decode, encode};
pub use heads::{HeadDecoder, HeadEncoder};
