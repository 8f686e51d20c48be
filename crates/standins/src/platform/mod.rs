//! A platform in memory: its object API, and switches that break it.

mod faults;
mod server;
mod store;

#[cfg(test)]
mod tests;

pub use faults::{Counts, Faults};
pub use server::{PlatformOptions, run};
