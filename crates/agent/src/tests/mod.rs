//! The traffic plane on real sockets, with upstreams in memory and control played by the test.

mod announcements;
mod callers;
mod closing;
pub(crate) mod fakes;
mod forwarding;
mod gate;
mod handover;
mod load;
mod pipelining;
mod poison;
mod reload;
mod restart;
mod request_log;
mod stop;
mod upstream_clock;
