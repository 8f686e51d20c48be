//! An in-memory platform with the object API and configurable faults.

mod faults;
mod server;
mod store;

#[cfg(test)]
mod tests;

pub use faults::{Counts, Faults};
pub use server::{PlatformOptions, run};
