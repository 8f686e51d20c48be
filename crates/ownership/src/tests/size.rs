//! Groups of many members on small machines: steps take time, and links have a width.

use std::{collections::BTreeSet, time::Duration};

use model::SlotCount;

use crate::{
    CoordinatorLease, Limits,
    sim::{Fault, Machine, Sim, SimConfig},
};

const SLOTS: u16 = 2_048;
/// How soon the first grants of a group that starts together are to come.
const FIRST_GRANTS_MAX: Duration = Duration::from_secs(3);
/// How soon all is to be served again after a loss, besides the lease of who was lost.
const RECOVERY_MAX: Duration = Duration::from_secs(2);
const LEASE: Duration = Duration::from_millis(3_500);

fn config(hosts: usize, seed: u64) -> SimConfig {
    let limits = Limits {
        lease: LEASE,
        renew_every: Duration::from_millis(400),
        drift_margin: Duration::from_millis(80),
        confirmation: Duration::from_millis(500),
        platform_confirmation: Duration::from_secs(1),
        takeover_after: Duration::from_millis(700),
        pause_max: Duration::from_millis(400),
        imbalance_target: 1.3,
        churn_per_minute_max: 0.5,
        platform_absence_max: Duration::from_secs(14),
        coordinator_lease: CoordinatorLease::Full,
        ..Limits::default()
    };
    SimConfig {
        hosts,
        zones: 5,
        slot_count: SlotCount::new(SLOTS).unwrap(),
        ordered: true,
        limits,
        machine: Some(Machine::SMALL),
        ..SimConfig::new(seed)
    }
}

fn terms(sim: &Sim) -> u64 {
    sim.events().get("BecameCoordinator").copied().unwrap_or(0)
}

fn started(hosts: usize, seed: u64) -> Sim {
    let mut sim = Sim::new(config(hosts, seed));
    sim.start_all();
    let served = sim.run_until(FIRST_GRANTS_MAX, |it| it.unowned_slots() == 0);
    assert!(served, "{hosts}: {} slots unowned, {:?}", sim.unowned_slots(), sim.events());
    assert_eq!(sim.violation(), None);
    sim
}

/// One term lasts as long as nothing happens, and no step keeps its host from renewing in time.
fn stays_up(hosts: usize) {
    let mut sim = started(hosts, 1);
    sim.run_for(Duration::from_secs(12));
    let slots: BTreeSet<_> = sim.slot_owners().into_iter().collect();
    assert_eq!(sim.violation(), None);
    assert_eq!(terms(&sim), 1, "{:?}", sim.events());
    assert_eq!(slots.len(), hosts, "members that own slots");
    assert!(!sim.events().contains_key("SessionEnded"), "{:?}", sim.events());
    let pause_max = config(hosts, 1).limits.pause_max;
    assert!(sim.longest_step < pause_max, "a step took {:?}", sim.longest_step);
}

#[test]
fn a_group_of_30_stays_up() {
    stays_up(30);
}

#[test]
fn a_group_of_112_stays_up() {
    stays_up(112);
}

#[test]
fn a_group_of_112_replaces_its_coordinator_once() {
    let mut sim = started(112, 2);
    sim.run_for(Duration::from_secs(6));
    let before = terms(&sim);
    let lost = sim.coordinator().unwrap();
    sim.apply(Fault::Crash(lost));
    let served = sim.run_until(LEASE + RECOVERY_MAX, |it| it.unowned_slots() == 0);
    assert!(served, "{} slots, {:?}", sim.unowned_slots(), sim.events());
    sim.run_for(Duration::from_secs(6));
    assert_eq!(sim.violation(), None);
    assert_eq!(terms(&sim), before + 1, "{:?}", sim.events());
}

#[test]
fn a_group_of_112_comes_back_after_all_agents_were_lost() {
    let mut sim = started(112, 3);
    sim.run_for(Duration::from_secs(6));
    for host in 0..sim.host_count() {
        sim.apply(Fault::CrashAgent(host));
    }
    sim.start_all();
    let served = sim.run_until(LEASE + RECOVERY_MAX, |it| it.unowned_slots() == 0);
    assert!(served, "{} slots, {:?}", sim.unowned_slots(), sim.events());
    assert_eq!(sim.violation(), None);
}

#[test]
fn half_of_a_group_of_112_is_replaced() {
    let mut sim = started(112, 4);
    sim.run_for(Duration::from_secs(6));
    for host in (0..sim.host_count()).step_by(2) {
        sim.apply(Fault::Crash(host));
    }
    sim.run_for(Duration::from_millis(500));
    sim.start_all();
    let served = sim.run_until(LEASE + RECOVERY_MAX, |it| it.unowned_slots() == 0);
    assert!(served, "{} slots, {:?}", sim.unowned_slots(), sim.events());
    assert_eq!(sim.violation(), None);
}
