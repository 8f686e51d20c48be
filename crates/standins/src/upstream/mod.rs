//! An upstream: slots, drain, cold start, shedding, cancellation, deadlines, fence tokens, health
//! and load that may lag or lie, and a journal of what ran.

mod announce;
mod control;
mod execution;
mod options;
mod server;
mod state;

#[cfg(test)]
mod tests;

pub use execution::CRASH_EXIT_CODE;
pub use options::UpstreamOptions;
pub use server::run;
