//! Runs of many nodes: in order, under random faults, and along recorded traces.

mod clear;
mod loads;
mod order;

mod routes;
mod size;
mod random;
mod sabotage;
mod trace;
