//! Tests of the tables of control.

mod config;
mod documents;
mod fleet;
mod leaving;
mod status_schedule;
pub(crate) mod platform;
mod suspension;
mod upstream;
mod watch;
mod zones;
