//! A group without faults: starting, joining, leaving.

use std::time::Duration;

use crate::sim::{Fault, Sim, SimConfig};

fn started(seed: u64) -> Sim {
    let mut sim = Sim::new(SimConfig::new(seed));
    sim.start_all();
    let served = sim.run_until(Duration::from_secs(5), |it| it.unowned() == 0);
    assert!(served, "unowned: {}, events: {:?}", sim.unowned(), sim.events());
    sim
}

fn check(sim: &Sim) {
    assert_eq!(sim.violation(), None);
    assert_eq!(sim.unowned(), 0, "{:?}", sim.events());
}

#[test]
fn a_group_that_starts_together_serves_all_slots() {
    let mut sim = started(1);
    sim.run_for(Duration::from_secs(5));
    check(&sim);
    assert!(sim.is_settled());
    let owners: std::collections::BTreeSet<_> = sim.slot_owners().into_iter().collect();
    assert!(owners.len() >= 6, "{owners:?}");
}

#[test]
fn a_lost_member_is_replaced() {
    let mut sim = started(2);
    sim.run_for(Duration::from_secs(5));
    let lost = (sim.coordinator().unwrap() + 1) % sim.host_count();
    sim.apply(Fault::Crash(lost));
    sim.run_for(Duration::from_secs(3));
    check(&sim);
}

#[test]
fn a_lost_coordinator_is_replaced() {
    let mut sim = started(3);
    sim.run_for(Duration::from_secs(5));
    let lost = sim.coordinator().unwrap();
    sim.apply(Fault::Crash(lost));
    sim.run_for(Duration::from_secs(3));
    check(&sim);
    assert_ne!(sim.coordinator(), Some(lost));
}
