//! Large groups on small machines, with limited processor time and link bandwidth.

use std::{collections::BTreeSet, time::Duration};

use model::SlotCount;

use crate::{
    CoordinatorLease, Limits,
    sim::{Fault, Machine, Sim, SimConfig},
};

const SLOTS: u16 = 2_048;
/// Time within which all slots must have an owner when a whole group starts.
const FIRST_GRANTS_MAX: Duration = Duration::from_secs(3);
/// Time within which all slots must have an owner after a loss, in addition to the lease of the lost hosts.
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

/// Returns how often a host became coordinator.
fn terms_started(sim: &Sim) -> u64 {
    sim.events().get("BecameCoordinator").copied().unwrap_or(0)
}

fn start_group(hosts: usize, seed: u64) -> Sim {
    let mut sim = Sim::new(config(hosts, seed));
    sim.start_all();
    let served = sim.run_until(FIRST_GRANTS_MAX, |it| it.unowned_slots() == 0);
    assert!(served, "{hosts} hosts: {} unowned slots, {:?}", sim.unowned_slots(), sim.events());
    assert_eq!(sim.violation(), None);
    sim
}

/// Guards against steps of a coordinator that weighs capacity that delay the renewals of its members.
#[test]
fn a_group_of_112_that_weighs_capacity_keeps_its_coordinator() {
    let base = config(112, 1);
    let limits = Limits { weighs_capacity: true, ..base.limits.clone() };
    let speeds = (0..112).map(|it| [0.7, 0.7, 1.6][it % 3]).collect();
    let mut sim = Sim::new(SimConfig { limits, speeds, ..base });
    sim.start_all();
    assert!(sim.run_until(FIRST_GRANTS_MAX, |it| it.unowned_slots() == 0));
    sim.run_for(Duration::from_secs(12));
    assert_eq!(sim.violation(), None);
    assert_eq!(terms_started(&sim), 1, "{:?}", sim.events());
    assert!(!sim.events().contains_key("SessionEnded"), "{:?}", sim.events());
    assert!(sim.events().contains_key("MemberWeighed"));
    let pause_max = config(112, 1).limits.pause_max;
    assert!(sim.longest_step < pause_max, "a step took {:?}", sim.longest_step);
}

/// Asserts that without faults the first term continues, no session ends, and every step is shorter than `pause_max`,
/// so that renewals are in time.
fn assert_group_is_stable(hosts: usize) {
    let mut sim = start_group(hosts, 1);
    sim.run_for(Duration::from_secs(12));
    let owners: BTreeSet<_> = sim.slot_owners().into_iter().collect();
    assert_eq!(sim.violation(), None);
    assert_eq!(terms_started(&sim), 1, "{:?}", sim.events());
    assert_eq!(owners.len(), hosts, "number of members that own slots");
    assert!(!sim.events().contains_key("SessionEnded"), "{:?}", sim.events());
    let pause_max = config(hosts, 1).limits.pause_max;
    assert!(
        sim.longest_step < pause_max,
        "a step took {:?}, longer than the limit of {pause_max:?}",
        sim.longest_step
    );
}

#[test]
fn a_group_of_30_keeps_its_coordinator() {
    assert_group_is_stable(30);
}

#[test]
fn a_group_of_112_keeps_its_coordinator() {
    assert_group_is_stable(112);
}

#[test]
fn a_group_of_112_replaces_a_lost_coordinator_with_one_term() {
    let mut sim = start_group(112, 2);
    sim.run_for(Duration::from_secs(6));
    let terms_before = terms_started(&sim);
    let lost = sim.coordinator().unwrap();
    sim.apply(Fault::Crash(lost));
    let served = sim.run_until(LEASE + RECOVERY_MAX, |it| it.unowned_slots() == 0);
    assert!(served, "{} unowned slots, {:?}", sim.unowned_slots(), sim.events());
    sim.run_for(Duration::from_secs(6));
    assert_eq!(sim.violation(), None);
    assert_eq!(terms_started(&sim), terms_before + 1, "{:?}", sim.events());
}

#[test]
fn a_group_of_112_recovers_after_all_agents_crashed() {
    let mut sim = start_group(112, 3);
    sim.run_for(Duration::from_secs(6));
    for host in 0..sim.host_count() {
        sim.apply(Fault::CrashAgent(host));
    }
    sim.start_all();
    let served = sim.run_until(LEASE + RECOVERY_MAX, |it| it.unowned_slots() == 0);
    assert!(served, "{} unowned slots, {:?}", sim.unowned_slots(), sim.events());
    assert_eq!(sim.violation(), None);
}

#[test]
fn a_group_of_112_recovers_after_half_of_its_hosts_crashed() {
    let mut sim = start_group(112, 4);
    sim.run_for(Duration::from_secs(6));
    for host in (0..sim.host_count()).step_by(2) {
        sim.apply(Fault::Crash(host));
    }
    sim.run_for(Duration::from_millis(500));
    sim.start_all();
    let served = sim.run_until(LEASE + RECOVERY_MAX, |it| it.unowned_slots() == 0);
    assert!(served, "{} unowned slots, {:?}", sim.unowned_slots(), sim.events());
    assert_eq!(sim.violation(), None);
}
