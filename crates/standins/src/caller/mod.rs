//! Callers: many at one instant, each request with an id of its own, resent with the same id until
//! its end is known; every answer is checked.

mod attempt;
mod call;
mod load;
mod options;
mod summary;

#[cfg(test)]
mod tests;

pub use attempt::AgentClient;
pub use call::{CallRequest, CallRules, Caller, Peer};
pub use load::{Load, LoadReport, Pace, run_load};
pub use options::{CallerOptions, RouteMix, run};
pub use summary::{Latency, LoadSummary};
