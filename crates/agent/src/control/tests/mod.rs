//! Tests of the control thread and of its tables.

mod calls;
mod config;
mod documents;
mod full_group;
mod agent;
mod leaving;
mod left_incarnations;
mod status_schedule;
pub(crate) mod platform;
mod successors;
mod suspension;
mod upstream;
mod watch;
mod zones;
