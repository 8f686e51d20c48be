//! Stand-ins for the platform, upstreams and callers, for development and tests only.
//!
//! They record the ground truth independently of agents: upstreams write a journal of the requests that ran,
//! callers a journal of the answers that they received.

pub mod caller;
pub mod journal;
pub mod platform;
pub mod upstream;

mod answer;
mod http;

pub use http::{bind, print_address};
