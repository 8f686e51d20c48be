//! Bounds the memory of all request and answer bodies that a process holds together.
//!
//! Room is reserved before bytes are read: for the whole body if its length is known, in steps otherwise. A
//! reservation lives as long as the last clone of the body's [`bytes::Bytes`].

mod budget;
mod buffer;
mod collect;

#[cfg(test)]
mod tests;

pub use budget::{BodyBudget, BodyKind, BudgetExceeded, BudgetUsage, Reservation};
pub use buffer::{BodyBuffer, held};
pub use collect::{CollectError, collect};
