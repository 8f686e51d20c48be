//! Small stand-ins for the platform, upstreams and callers, for development only.
//!
//! They count the ground truth on their own: upstreams keep a journal of what ran, callers one of
//! what they were told.

pub mod caller;
pub mod journal;
pub mod platform;
pub mod upstream;

mod answer;
mod http;

pub use http::{bind, print_address};
