//! HTTP/1 connections to one address that are kept and reused, and that tell what may have happened
//! to a request.
//!
//! `volo-http`'s client hides its connections: it neither shows when one was reused nor lets go of one
//! whose last answer was suspicious. This goes to the library below it, `hyper`.

mod pool;

#[cfg(test)]
mod tests;

pub use pool::{CallKind, ExchangeError, Pool, PoolConfig, Reply};
