//! Groups whose platform is rolled back, with single further faults: how soon they are served again, and who may go on.

use std::time::Duration;

use crate::sim::{Fault, Sim, SimConfig};

use super::lifecycle::assert_served;

/// Guards against a group that is not served for the longest absence from the platform, 90 minutes, because a rollback
/// came while the platform confirmed the term, and the outage before it outlasted that confirmation.
#[test]
fn a_rollback_while_the_platform_confirms_the_term_costs_a_lease_and_not_the_longest_absence() {
    for (seed, outage_ms) in (1..=20).flat_map(|it| [(it, 600), (it, 900)]) {
        let mut sim = Sim::new(SimConfig { hosts: 2, ..SimConfig::new(seed) });
        sim.start_all();
        sim.run_for(Duration::from_secs(4));
        assert_served(&sim);
        sim.apply(Fault::PlatformDown);
        sim.run_for(Duration::from_millis(outage_ms));
        sim.apply(Fault::PlatformRollsBack { snapshot_age_ms: 1_000 });
        let served = sim.run_until(Duration::from_secs(4), |it| it.unowned_slots() == 0);
        assert!(served, "seed {seed}, outage {outage_ms} ms: {:?}", sim.events());
        sim.run_for(Duration::from_secs(4));
        assert_served(&sim);
    }
}

/// Guards against a group that is not served for the longest absence, because the platform has lost its first object: the
/// coordinator finds no object and took none of its state into the next term.
#[test]
fn a_rollback_to_before_the_first_object_costs_a_lease_and_not_the_longest_absence() {
    for seed in 1..=20 {
        let mut sim = Sim::new(SimConfig { hosts: 3, ..SimConfig::new(seed) });
        sim.start_all();
        let is_served = |it: &Sim| it.unowned_slots() == 0;
        assert!(sim.run_until(Duration::from_secs(4), is_served), "seed {seed}");
        sim.apply(Fault::PlatformRollsBack { snapshot_age_ms: 10_000 });
        sim.run_for(Duration::from_secs(4));
        assert!(is_served(&sim), "seed {seed}: {:?}", sim.events());
        sim.run_for(Duration::from_secs(4));
        assert_served(&sim);
    }
}

/// Guards against two owners of a slot: a coordinator that was cut off, and is the first to see a rollback, carries its
/// state over although a term of the other side, which the platform has forgotten, is confirmed by witnesses.
#[test]
fn a_coordinator_that_has_missed_a_term_with_witnesses_does_not_carry_its_state_over_a_rollback() {
    const HOSTS: usize = 5;
    for seed in 1..=10 {
        let mut sim = Sim::new(SimConfig { hosts: HOSTS, ..SimConfig::new(seed) });
        sim.start_all();
        let is_served = |it: &Sim| it.unowned_slots() == 0;
        assert!(sim.run_until(Duration::from_secs(4), is_served));
        let cut_off = sim.coordinator().unwrap();
        sim.apply(Fault::Isolate(vec![cut_off]));
        sim.apply(Fault::CutFromPlatform(cut_off));
        sim.run_for(Duration::from_secs(6));
        assert_eq!(sim.events().get("ConfirmationChanged"), Some(&1), "seed {seed}");
        sim.apply(Fault::HealLinks);
        sim.apply(Fault::Isolate(vec![cut_off]));
        for other in (0..HOSTS).filter(|it| *it != cut_off) {
            sim.apply(Fault::CutFromPlatform(other));
        }
        sim.apply(Fault::PlatformRollsBack { snapshot_age_ms: 6_200 });
        sim.run_for(Duration::from_secs(6));
        assert_eq!(sim.violation(), None, "seed {seed}");
    }
}

/// Guards against a group that is not served for the longest absence, because the update that replaces the platform by
/// witnesses was in doubt when the platform was rolled back.
#[test]
fn a_rollback_while_the_first_witnesses_are_chosen_costs_a_lease_and_not_the_longest_absence() {
    for served_for_ms in (0..2_000).step_by(20) {
        let mut sim = Sim::new(SimConfig { hosts: 3, ..SimConfig::new(served_for_ms) });
        sim.start_all();
        let is_served = |it: &Sim| it.unowned_slots() == 0;
        assert!(sim.run_until(Duration::from_secs(4), is_served));
        sim.run_for(Duration::from_millis(served_for_ms));
        sim.apply(Fault::PlatformDown);
        sim.run_for(Duration::from_millis(500));
        sim.apply(Fault::PlatformRollsBack { snapshot_age_ms: 600 });
        sim.run_for(Duration::from_secs(4));
        assert!(is_served(&sim), "after {served_for_ms} ms: {:?}", sim.events());
    }
}

/// Guards against a group that is not served for the longest absence, because the coordinator that could carry its state
/// over is lost before its next term has settled.
#[test]
fn the_loss_of_a_coordinator_after_a_rollback_costs_a_lease_and_not_the_longest_absence() {
    for seed in 1..=20 {
        let mut sim = Sim::new(SimConfig { hosts: 2, ..SimConfig::new(seed) });
        sim.start_all();
        sim.run_for(Duration::from_secs(4));
        assert_served(&sim);
        sim.apply(Fault::PlatformDown);
        sim.run_for(Duration::from_millis(900));
        sim.apply(Fault::PlatformRollsBack { snapshot_age_ms: 1_000 });
        let terms = |it: &Sim| it.events().get("BecameCoordinator").copied().unwrap_or(0);
        assert!(sim.run_until(Duration::from_secs(1), |it| terms(it) == 2), "seed {seed}");
        sim.apply(Fault::Crash(sim.coordinator().unwrap()));
        let served = sim.run_until(Duration::from_secs(4), |it| it.unowned_slots() == 0);
        assert!(served, "seed {seed}: {:?}", sim.events());
        sim.run_for(Duration::from_secs(4));
        assert_eq!(sim.unowned_slots(), 0);
    }
}
