//! Stand-in callers. Each request has a unique id and is sent again with the same id until its outcome is final.
//! Every answer is checked.

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
