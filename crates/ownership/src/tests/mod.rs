//! Simulations of many nodes with single faults, under random faults and from recorded traces; tests of single nodes.

mod takeover;
mod terms;
mod upstream_clearing;
mod loads;
mod lifecycle;
mod rollbacks;

mod routes;
mod speeds;
mod large_groups;
mod random;
mod disabled_rules;
mod trace;
