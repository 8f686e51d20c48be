//! Tests of the traffic plane on real sockets, with in-memory upstreams and with the test in place of control.

mod announcements;
mod call_failures;
mod callers;
mod closing;
mod condition;
mod express;
pub(crate) mod fakes;
mod forwarding;
mod gate;
mod grants;
mod handover;
mod key_connections;
mod learned_limit;
mod load;
mod membership;
mod pipelining;
mod poison;
mod reload;
mod restart;
mod returns;
mod request_log;
mod stalls;
mod stop;
mod upstream_clock;
