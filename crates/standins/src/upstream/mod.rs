//! A stand-in upstream with slots, drain, cold start, load shedding, cancellation, deadlines and fence tokens. Its
//! reports of health and load can be delayed or false. A journal records the requests that ran.

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
pub use server::{LEFT_EXIT_CODE, run};
