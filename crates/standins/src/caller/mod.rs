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
pub use call::{CallPolicy, CallRequest, Caller, TargetKind};
pub use load::{Load, LoadReport, SendMode, run_load};
pub use options::{CallerOptions, WeightedRoute, run};
pub use summary::{Latency, LoadSummary};
