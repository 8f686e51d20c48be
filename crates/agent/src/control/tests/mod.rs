//! Tests of the tables of control.

mod config;
mod documents;
mod fleet;
mod leaving;
mod pace;
pub(crate) mod platform;
mod suspension;
mod upstream;
mod watch;
mod zones;
