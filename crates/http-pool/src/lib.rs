//! Pool of HTTP/1 connections to one address. Its errors distinguish requests that were never sent from requests that
//! may have been executed.
//!
//! The client of `volo-http` hides its connections: it neither shows whether a connection was reused nor closes a
//! connection after a suspicious answer. This crate therefore uses `hyper`, the library below it, directly.

mod pool;

#[cfg(test)]
mod tests;

pub use pool::{CallId, Connection, ExchangeError, Pool, PoolConfig, Reply, Reuse};
