//! Repository chores: the demo and the measurements.

fn main() {}
