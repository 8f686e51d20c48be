//! Start and stop of groups, and their recovery from single faults.

use std::{collections::BTreeSet, time::Duration};

use model::{Slot, SlotCount};

use crate::{
    CoordinatorLease, GROUP_MEMBERS_MAX, Limits,
    rules::{Rule, disable_rule},
    sim::{Fault, Sim, SimConfig},
};

/// Starts a group with the default configuration, and waits until all slots have an owner.
fn start_group(seed: u64) -> Sim {
    let mut sim = Sim::new(SimConfig::new(seed));
    sim.start_all();
    let served = sim.run_until(Duration::from_secs(5), |it| it.unowned_slots() == 0);
    assert!(served, "{} unowned slots after 5 s: {:?}", sim.unowned_slots(), sim.events());
    sim
}

/// Asserts that no invariant was violated and that all slots have an owner.
pub(super) fn assert_served(sim: &Sim) {
    assert_eq!(sim.violation(), None);
    assert_eq!(sim.unowned_slots(), 0, "{:?}", sim.events());
}

#[test]
fn a_group_that_starts_together_serves_all_slots() {
    let mut sim = start_group(1);
    sim.run_for(Duration::from_secs(5));
    assert_served(&sim);
    assert!(sim.is_settled());
    let owners: BTreeSet<_> = sim.slot_owners().into_iter().collect();
    assert!(owners.len() >= 6, "owners: {owners:?}");
}

#[test]
fn slots_of_a_lost_member_get_new_owners() {
    let mut sim = start_group(2);
    sim.run_for(Duration::from_secs(5));
    let lost = (sim.coordinator().unwrap() + 1) % sim.host_count();
    sim.apply(Fault::Crash(lost));
    sim.run_for(Duration::from_secs(3));
    assert_served(&sim);
}

#[test]
fn a_lost_coordinator_and_its_slots_are_taken_over() {
    let mut sim = start_group(3);
    sim.run_for(Duration::from_secs(5));
    let lost = sim.coordinator().unwrap();
    sim.apply(Fault::Crash(lost));
    sim.run_for(Duration::from_secs(3));
    assert_served(&sim);
    assert_ne!(sim.coordinator(), Some(lost));
}

/// Guards against a sequence of tokens that outgrows the fence.
#[test]
fn a_coordinator_releases_its_term_before_its_tokens_run_out() {
    let tokens_per_term = 6;
    let limits = Limits { tokens_per_term, ..Limits::default() };
    let mut sim = Sim::new(SimConfig { limits, ..SimConfig::new(9) });
    sim.start_all();
    assert!(sim.run_until(Duration::from_secs(5), |it| it.unowned_slots() == 0));
    for _ in 0..6 {
        let lost = (sim.coordinator().unwrap() + 1) % sim.host_count();
        sim.apply(Fault::Crash(lost));
        sim.run_for(Duration::from_secs(3));
        assert_served(&sim);
        sim.apply(Fault::Start(lost));
        sim.run_for(Duration::from_secs(5));
        assert_served(&sim);
    }
    let (grants, terms) = (sim.events()["Granted"], sim.events()["BecameCoordinator"]);
    assert!(terms > 1, "{grants} grants in {terms} terms");
    assert!(sim.coordinator_object().is_some_and(|it| it.term > model::Term(1)));
}

#[test]
fn a_single_host_owns_all_slots_stops_and_restarts() {
    let mut sim = Sim::new(SimConfig { hosts: 1, ..SimConfig::new(4) });
    sim.start_all();
    assert!(sim.run_until(Duration::from_secs(5), |it| it.unowned_slots() == 0));
    sim.apply(Fault::Stop(0));
    assert!(sim.run_until(Duration::from_secs(5), |it| it.has_stopped(0)));
    sim.start_all();
    assert!(sim.run_until(Duration::from_secs(5), |it| it.unowned_slots() == 0));
    assert_served(&sim);
}

#[test]
fn a_single_host_stops_while_the_platform_is_unavailable() {
    let mut sim = Sim::new(SimConfig { hosts: 1, ..SimConfig::new(5) });
    sim.start_all();
    assert!(sim.run_until(Duration::from_secs(5), |it| it.unowned_slots() == 0));
    sim.apply(Fault::PlatformDown);
    sim.apply(Fault::Stop(0));
    assert!(sim.run_until(Duration::from_secs(20), |it| it.has_stopped(0)));
}

#[test]
fn all_members_of_a_group_can_stop_at_the_same_time() {
    let mut sim = start_group(6);
    sim.run_for(Duration::from_secs(4));
    for host in 0..sim.host_count() {
        sim.apply(Fault::Stop(host));
    }
    let stopped = |it: &Sim| (0..it.host_count()).all(|host| it.has_stopped(host));
    assert!(sim.run_until(Duration::from_secs(25), stopped), "{:?}", sim.events());
    assert_eq!(sim.violation(), None);
}

#[test]
fn a_group_recovers_after_all_members_crashed() {
    let mut sim = start_group(7);
    sim.run_for(Duration::from_secs(5));
    for host in 0..sim.host_count() {
        sim.apply(Fault::Crash(host));
    }
    sim.run_for(Duration::from_secs(1));
    sim.start_all();
    // The group has to recover without waiting for the limit on a coordinator's time without the platform, 90 minutes.
    let served = sim.run_until(Duration::from_secs(15), |it| it.unowned_slots() == 0);
    assert!(served, "{:?}", sim.events());
    assert_served(&sim);
}

#[test]
fn a_service_without_keys_has_members_but_no_slot_owners() {
    let mut sim = Sim::new(SimConfig { hosts: 3, keyed: false, ..SimConfig::new(8) });
    sim.start_all();
    sim.run_for(Duration::from_secs(5));
    let members = |it: &Sim, host: usize| it.view(host).map_or(0, |it| it.members.len());
    assert_eq!((0..3).map(|it| members(&sim, it)).collect::<Vec<_>>(), [3, 3, 3]);
    assert_eq!(sim.unowned_slots(), 8);
    sim.apply(Fault::Crash(2));
    sim.run_for(Duration::from_secs(2));
    assert_eq!((0..2).map(|it| members(&sim, it)).collect::<Vec<_>>(), [2, 2]);
    sim.apply(Fault::Stop(0));
    sim.apply(Fault::Stop(1));
    let stopped = |it: &Sim| it.has_stopped(0) && it.has_stopped(1);
    assert!(sim.run_until(Duration::from_secs(10), stopped), "{:?}", sim.events());
}

/// Four adjacent slots of one owner become hot 1 s after the first grants. These were made regardless of load, so the
/// 10 s for which a slot stays with its new owner after a move do not apply.
#[test]
fn a_hot_range_is_divided_soon_after_the_first_grants() {
    let limits = Limits { churn_per_minute_max: 1.0, ..Limits::default() };
    let slot_count = SlotCount::new(64).unwrap();
    let config = SimConfig { hosts: 4, ordered: true, slot_count, limits, ..SimConfig::new(12) };
    let mut sim = Sim::new(config);
    sim.start_all();
    assert!(sim.run_until(Duration::from_secs(5), |it| it.unowned_slots() == 0));
    sim.run_for(Duration::from_secs(1));
    let first = sim.owned_by(0)[0].0;
    let hot_range: Vec<Slot> = (first..first + 4).map(Slot).collect();
    for slot in &hot_range {
        let us_per_s = 3_000_000;
        sim.apply(Fault::SlotLoad { slot: usize::from(slot.0), us_per_s });
    }
    let owners = |it: &Sim| {
        let owners: BTreeSet<_> = hot_range.iter().map(|slot| it.owner(*slot)).collect();
        owners.len()
    };
    assert_eq!(owners(&sim), 1);
    assert!(sim.run_until(Duration::from_secs(6), |it| owners(it) > 1), "{:?}", sim.events());
    assert_eq!(sim.violation(), None);
}

/// The coordinator of a group without keys is not confirmed, since it grants nothing. Its view, from which it answers
/// queries, must still follow joins and losses of members at any time.
#[test]
fn the_coordinator_of_a_group_without_keys_tracks_its_members() {
    let mut sim = Sim::new(SimConfig { hosts: 4, keyed: false, ..SimConfig::new(11) });
    sim.start_all();
    sim.run_for(Duration::from_secs(3));
    let coordinator = sim.coordinator().unwrap();
    let members = |it: &Sim| it.view(coordinator).map_or(0, |it| it.members.len());
    let lost = (coordinator + 1) % sim.host_count();
    for _ in 0..4 {
        assert_eq!(members(&sim), 4);
        sim.apply(Fault::Crash(lost));
        sim.run_for(Duration::from_secs(3));
        assert_eq!(members(&sim), 3);
        sim.start_all();
        sim.run_for(Duration::from_secs(3));
    }
    assert_eq!(sim.coordinator(), Some(coordinator));
    assert!(!sim.events().contains_key("SessionEnded"), "{:?}", sim.events());
}

/// Pauses the coordinator of a group without keys until another one has taken over, and resumes it while neither
/// messages nor the platform reach it. Returns whether it then renews its own session in its earlier term.
fn renews_after_a_pause(seed: u64) -> bool {
    let mut sim = Sim::new(SimConfig { hosts: 4, keyed: false, ..SimConfig::new(seed) });
    sim.start_all();
    sim.run_for(Duration::from_secs(3));
    let paused = sim.coordinator().unwrap();
    let term = sim.view(paused).unwrap().term;
    sim.apply(Fault::Pause { host: paused, duration_ms: 3000 });
    sim.apply(Fault::DropIncoming(paused));
    sim.apply(Fault::CutFromPlatform(paused));
    sim.run_for(Duration::from_millis(2900));
    let is_coordinator = |it: usize| sim.view(it).is_some_and(|it| it.is_coordinator);
    assert!((0..4).any(|it| it != paused && is_coordinator(it)));
    let is_in_term = |it: &Sim| it.view(paused).is_some_and(|it| it.term == term);
    sim.run_until(Duration::from_secs(1), |it| it.has_lease(paused) && is_in_term(it))
}

/// Guards against a coordinator that was replaced during a pause and whose member runs requests by an outdated list.
#[test]
fn after_a_pause_the_coordinator_of_a_group_without_keys_proves_its_term_before_it_renews() {
    for seed in 1..=5 {
        assert!(!renews_after_a_pause(seed), "seed {seed}");
        disable_rule(Some(Rule::ProveTermAfterPause));
        assert!(renews_after_a_pause(seed), "seed {seed}: nothing to guard against");
        disable_rule(None);
    }
}

/// Guards against two lists of members for the 10 s between two reads: a restarted member takes the term that the platform
/// shows after a rollback, and the coordinator whose term was lost goes on with the others.
#[test]
fn after_a_rollback_a_group_without_keys_soon_has_one_coordinator() {
    for seed in 1..=10 {
        let mut sim = Sim::new(SimConfig { hosts: 3, keyed: false, ..SimConfig::new(seed) });
        sim.start_all();
        sim.run_for(Duration::from_secs(3));
        let first = sim.coordinator().unwrap();
        sim.apply(Fault::Crash(first));
        sim.run_for(Duration::from_secs(2));
        sim.apply(Fault::PlatformRollsBack { snapshot_age_ms: 2_500 });
        sim.run_for(Duration::from_millis(200));
        sim.apply(Fault::Start(first));
        // The restarted member is slow to hear from the others, as while its links are being established.
        sim.apply(Fault::DropIncoming(first));
        sim.run_for(Duration::from_secs(2));
        sim.apply(Fault::HealLinks);
        sim.run_for(Duration::from_secs(1));
        let views: Vec<_> = (0..3).filter_map(|it| sim.view(it)).collect();
        let coordinators = views.iter().filter(|it| it.is_coordinator).count();
        let members: Vec<usize> = views.iter().map(|it| it.members.len()).collect();
        assert_eq!((coordinators, members), (1, vec![3, 3, 3]), "seed {seed}");
    }
}

/// Guards against a group without keys that stays without sessions after a pause of its coordinator.
#[test]
fn after_a_short_pause_the_coordinator_of_a_group_without_keys_renews_again() {
    let mut sim = Sim::new(SimConfig { hosts: 4, keyed: false, ..SimConfig::new(5) });
    sim.start_all();
    sim.run_for(Duration::from_secs(3));
    let paused = sim.coordinator().unwrap();
    sim.apply(Fault::Pause { host: paused, duration_ms: 350 });
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.coordinator(), Some(paused));
    assert!((0..4).all(|it| sim.has_lease(it)), "{:?}", sim.events());
}

#[test]
fn a_group_refuses_members_beyond_its_limit() {
    let hosts = GROUP_MEMBERS_MAX + 1;
    let slot_count = SlotCount::new(64).unwrap();
    let mut sim = Sim::new(SimConfig { hosts, slot_count, ..SimConfig::new(9) });
    sim.start_all();
    sim.run_for(Duration::from_secs(8));
    assert!(sim.events()["JoinRefused"] > 0);
    let coordinator = sim.coordinator().unwrap();
    assert_eq!(sim.view(coordinator).unwrap().members.len(), GROUP_MEMBERS_MAX);
    assert_served(&sim);
}

/// Starts as many nodes and returns the messages and platform calls of 30 s in which nothing happens.
fn quiet_traffic(hosts: usize, members_max: usize) -> (u64, u64) {
    let limits = Limits { members_max, ..Limits::default() };
    let mut sim = Sim::new(SimConfig { hosts, limits, ..SimConfig::new(9) });
    sim.start_all();
    sim.run_for(Duration::from_secs(10));
    let (messages, calls) = (sim.messages(), sim.platform_calls());
    sim.run_for(Duration::from_secs(30));
    assert_eq!(sim.events()["BecameCoordinator"], 1);
    assert_served(&sim);
    (sim.messages() - messages, sim.platform_calls() - calls)
}

/// Refused nodes hear nothing of the coordinator between two attempts to join. They must not take this for its loss,
/// and query its witnesses or read the platform.
#[test]
fn refused_nodes_leave_the_group_and_the_platform_alone() {
    let (messages_alone, calls_alone) = quiet_traffic(4, 4);
    let (messages, calls) = quiet_traffic(24, 4);
    assert!(
        calls <= calls_alone + 5,
        "{calls} platform calls, {calls_alone} without refused nodes"
    );
    // At most one attempt to join and its refusal each 2.5 s.
    let of_refused = (messages - messages_alone) / 20;
    assert!(of_refused <= 24, "{of_refused} messages for each refused node");
}

#[test]
fn a_refused_node_takes_the_place_of_a_lost_member() {
    let limits = Limits { members_max: 4, ..Limits::default() };
    let mut sim = Sim::new(SimConfig { hosts: 6, limits, ..SimConfig::new(9) });
    sim.start_all();
    sim.run_for(Duration::from_secs(10));
    for _ in 0..2 {
        let lost = sim.coordinator().unwrap();
        sim.apply(Fault::Crash(lost));
        sim.run_for(Duration::from_secs(15));
        let coordinator = sim.coordinator().unwrap();
        assert_eq!(sim.view(coordinator).unwrap().members.len(), 4);
        assert_served(&sim);
    }
}

#[test]
fn a_group_of_48_recovers_from_the_loss_of_its_coordinator_and_a_member() {
    let slot_count = SlotCount::new(512).unwrap();
    let mut sim = Sim::new(SimConfig { hosts: 48, slot_count, ..SimConfig::new(13) });
    sim.start_all();
    sim.run_for(Duration::from_secs(8));
    assert_served(&sim);
    let coordinator = sim.coordinator().unwrap();
    assert_eq!(sim.view(coordinator).unwrap().members.len(), 48);
    sim.apply(Fault::Crash(coordinator));
    sim.apply(Fault::Crash((coordinator + 1) % sim.host_count()));
    sim.run_for(Duration::from_secs(4));
    assert_served(&sim);
    let owners: BTreeSet<_> = sim.slot_owners().into_iter().collect();
    assert!(owners.len() >= 46, "only {} members own a slot", owners.len());
}

/// Starts a group whose upstreams keep their grants for a lease of 5 s, also without their agents.
fn start_group_with_long_leases(seed: u64) -> Sim {
    start_hosts_with_long_leases(SimConfig::new(seed))
}

/// Same as [`start_group_with_long_leases`], for a given configuration without its limits.
fn start_hosts_with_long_leases(config: SimConfig) -> Sim {
    let limits = Limits {
        lease: Duration::from_secs(5),
        renew_every: Duration::from_millis(400),
        drift_margin: Duration::from_millis(40),
        confirmation: Duration::from_millis(500),
        platform_confirmation: Duration::from_secs(1),
        takeover_after: Duration::from_millis(700),
        pause_max: Duration::from_millis(400),
        coordinator_lease: CoordinatorLease::Full,
        ..Limits::default()
    };
    let mut sim = Sim::new(SimConfig { ordered: true, limits, ..config });
    sim.start_all();
    sim.run_for(Duration::from_secs(12));
    assert_served(&sim);
    sim
}

/// Longest wait for the leases of an earlier term once the coordinator's agent has restarted: a lease extended by the
/// drift margin, and 0.9 s to acquire the term and to grant.
const EARLIER_TERMS_WAIT_MAX: Duration = Duration::from_secs(6);

#[test]
fn agents_restarted_together_wait_for_earlier_leases_of_other_members() {
    for seed in 20..40 {
        let mut sim = start_group_with_long_leases(seed);
        for host in 0..sim.host_count() {
            sim.apply(Fault::CrashAgent(host));
        }
        sim.start_all();
        let is_early =
            sim.run_until(EARLIER_LEASE_MIN, |it| it.unowned_slots() < it.slot_owners().len());
        assert!(
            !is_early,
            "seed {seed}: granted too early, {} unowned slots, {:?}",
            sim.unowned_slots(),
            sim.events()
        );
        let rest = EARLIER_TERMS_WAIT_MAX - EARLIER_LEASE_MIN;
        let served = sim.run_until(rest, |it| it.unowned_slots() == 0);
        assert!(served, "seed {seed}: {} unowned slots, {:?}", sim.unowned_slots(), sim.events());
        sim.run_for(Duration::from_secs(8));
        assert_served(&sim);
    }
}

#[test]
fn agents_restarted_beside_their_upstreams_do_not_wait_for_their_own_leases() {
    for seed in 20..40 {
        let mut sim = start_hosts_with_long_leases(SimConfig { hosts: 1, ..SimConfig::new(seed) });
        sim.apply(Fault::CrashAgent(0));
        sim.start_all();
        let served = sim.run_until(Duration::from_secs(2), |it| it.unowned_slots() == 0);
        assert!(served, "seed {seed}: {} unowned slots, {:?}", sim.unowned_slots(), sim.events());
        let mut sim = start_group_with_long_leases(seed);
        let owners = sim.slot_owners();
        let coordinator = sim.coordinator().unwrap();
        sim.apply(Fault::CrashAgent(coordinator));
        sim.start_all();
        let served = sim.run_until(Duration::from_secs(2), |it| it.unowned_slots() == 0);
        assert!(served, "seed {seed}: {} unowned slots, {:?}", sim.unowned_slots(), sim.events());
        assert_eq!(sim.slot_owners(), owners, "seed {seed}");
        sim.run_for(Duration::from_secs(8));
        assert_served(&sim);
    }
}

#[test]
fn agents_restarted_beside_their_upstreams_do_not_wait_for_an_upstream_without_slots() {
    for seed in 60..70 {
        let mut sim = start_hosts_with_long_leases(SimConfig { hosts: 2, ..SimConfig::new(seed) });
        // One member has left, so that no plan contains it, and restarts without an upstream.
        let left = (sim.coordinator().unwrap() + 1) % sim.host_count();
        sim.apply(Fault::Stop(left));
        sim.run_for(Duration::from_secs(4));
        for host in 0..sim.host_count() {
            sim.apply(Fault::CrashAgent(host));
        }
        sim.start_all();
        sim.apply(Fault::Upstream { host: left, state: crate::UpstreamState::Starting });
        let served = sim.run_until(Duration::from_millis(1_500), |it| it.unowned_slots() == 0);
        assert!(served, "seed {seed}: {} unowned slots, {:?}", sim.unowned_slots(), sim.events());
    }
}

#[test]
fn members_with_lapsed_sessions_wait_for_earlier_leases_of_other_members() {
    for seed in 70..80 {
        let mut sim = start_group_with_long_leases(seed);
        let coordinator = sim.coordinator().unwrap();
        sim.apply(Fault::PlatformDown);
        sim.apply(Fault::CrashAgent(coordinator));
        // No new term can start without the platform, so all sessions lapse.
        sim.run_for(Duration::from_secs(7));
        sim.apply(Fault::Start(coordinator));
        sim.apply(Fault::PlatformUp);
        let served = sim.run_until(EARLIER_TERMS_WAIT_MAX, |it| it.unowned_slots() == 0);
        assert!(served, "seed {seed}: {} unowned slots, {:?}", sim.unowned_slots(), sim.events());
        sim.run_for(Duration::from_secs(8));
        assert_served(&sim);
    }
}

#[test]
fn a_member_regains_its_slots_after_its_session_ended() {
    for seed in 70..80 {
        let mut sim = start_group_with_long_leases(seed);
        let owners = sim.slot_owners();
        let host = (sim.coordinator().unwrap() + 1) % sim.host_count();
        sim.apply(Fault::Pause { host, duration_ms: 1_000 });
        sim.run_for(Duration::from_millis(1_100));
        let served = sim.run_until(Duration::from_secs(1), |it| it.unowned_slots() == 0);
        assert!(served, "seed {seed}: {} unowned slots, {:?}", sim.unowned_slots(), sim.events());
        assert_eq!(sim.slot_owners(), owners, "seed {seed}");
        sim.run_for(Duration::from_secs(8));
        assert_served(&sim);
    }
}

#[test]
fn an_agent_restarted_beside_its_upstream_regains_its_slots() {
    for seed in 40..60 {
        let mut sim = start_group_with_long_leases(seed);
        let owners = sim.slot_owners();
        let host = (sim.coordinator().unwrap() + 1) % sim.host_count();
        sim.apply(Fault::CrashAgent(host));
        sim.apply(Fault::Start(host));
        let served = sim.run_until(Duration::from_secs(1), |it| it.unowned_slots() == 0);
        assert!(served, "seed {seed}: {} unowned slots, {:?}", sim.unowned_slots(), sim.events());
        assert_eq!(sim.slot_owners(), owners, "seed {seed}");
        sim.run_for(Duration::from_secs(8));
        assert_served(&sim);
    }
}

#[test]
fn a_change_of_the_lease_duration_leaves_no_slot_without_an_owner() {
    let mut sim = start_group(10);
    sim.run_for(Duration::from_secs(4));
    for lease_ms in [2000, 750] {
        let lease = Duration::from_millis(lease_ms);
        sim.change_limits(Limits { lease, ..Limits::default() });
        let gaps = sim.longest_gaps(Duration::from_secs(6));
        assert!(gaps.iter().all(|it| *it < Duration::from_millis(100)), "{gaps:?}");
        let times = sim.coordinator_object().unwrap().times;
        assert_eq!(u64::from(times.lease_ms), lease_ms);
    }
    assert_served(&sim);
}

#[test]
fn a_draining_or_lost_upstream_loses_its_slots() {
    let mut sim = start_group(11);
    sim.run_for(Duration::from_secs(4));
    let host = (sim.coordinator().unwrap() + 1) % sim.host_count();
    for state in [crate::UpstreamState::Draining, crate::UpstreamState::Lost] {
        sim.apply(Fault::Upstream { host, state: crate::UpstreamState::Ready });
        sim.run_for(Duration::from_secs(3));
        sim.apply(Fault::Upstream { host, state });
        sim.run_for(Duration::from_secs(4));
        assert_eq!(sim.owned_by(host), []);
        assert_served(&sim);
    }
}

/// Least remaining time of a lease of 5 s that is renewed at least every 0.5 s.
const EARLIER_LEASE_MIN: Duration = Duration::from_millis(4_500);

/// Returns those of `slots` that hosts other than `host` own.
fn owned_by_others(sim: &Sim, slots: &[Slot], host: usize) -> Vec<Slot> {
    let is_owned_by_other = |it: &Slot| sim.owner(*it).is_some_and(|owner| owner != host);
    slots.iter().copied().filter(is_owned_by_other).collect()
}

/// Asserts that no other host is granted the earlier slots of a host before `min_wait` has passed.
#[track_caller]
fn assert_not_granted_to_others(sim: &mut Sim, host: usize, slots: &[Slot], min_wait: Duration) {
    assert!(!slots.is_empty(), "host {host} owned no slots");
    let is_granted = |it: &Sim| !owned_by_others(it, slots, host).is_empty();
    assert!(!sim.run_until(min_wait, is_granted), "granted too early: {:?}", sim.events());
}

/// Asserts that all slots have an owner before `max` has passed.
#[track_caller]
fn assert_served_within(sim: &mut Sim, max: Duration) {
    let served = sim.run_until(max, |it| it.unowned_slots() == 0);
    assert!(served, "{} unowned slots after {max:?}: {:?}", sim.unowned_slots(), sim.events());
}

#[test]
fn leases_of_an_earlier_incarnation_block_grants_to_another_member() {
    for seed in 80..90 {
        let mut sim = start_group_with_long_leases(seed);
        let host = (sim.coordinator().unwrap() + 1) % sim.host_count();
        let slots = sim.owned_by(host);
        sim.apply(Fault::CrashAgent(host));
        sim.apply(Fault::Start(host));
        sim.apply(Fault::Upstream { host, state: crate::UpstreamState::Starting });
        assert_not_granted_to_others(&mut sim, host, &slots, EARLIER_LEASE_MIN);
        assert_served_within(&mut sim, Duration::from_secs(2));
        sim.run_for(Duration::from_secs(8));
        assert_served(&sim);
    }
}

#[test]
fn leases_of_an_earlier_incarnation_block_slots_that_the_later_one_releases() {
    for seed in 90..100 {
        let mut sim = start_group_with_long_leases(seed);
        let host = (sim.coordinator().unwrap() + 1) % sim.host_count();
        let slots = sim.owned_by(host);
        sim.apply(Fault::CrashAgent(host));
        sim.apply(Fault::Start(host));
        sim.run_for(Duration::from_secs(1));
        assert_eq!(sim.owned_by(host), slots, "seed {seed}: {:?}", sim.events());
        sim.apply(Fault::Stop(host));
        let min_wait = EARLIER_LEASE_MIN - Duration::from_secs(1);
        assert_not_granted_to_others(&mut sim, host, &slots, min_wait);
        assert_served_within(&mut sim, Duration::from_secs(2));
        assert_served(&sim);
    }
}

#[test]
fn leases_of_an_earlier_incarnation_block_grants_of_a_later_term() {
    for seed in 100..110 {
        let mut sim = start_group_with_long_leases(seed);
        let coordinator = sim.coordinator().unwrap();
        let host = (coordinator + 1) % sim.host_count();
        let slots = sim.owned_by(host);
        sim.apply(Fault::CrashAgent(coordinator));
        sim.apply(Fault::CrashAgent(host));
        sim.apply(Fault::Start(coordinator));
        sim.apply(Fault::Start(host));
        sim.apply(Fault::Upstream { host, state: crate::UpstreamState::Starting });
        assert_not_granted_to_others(&mut sim, host, &slots, EARLIER_LEASE_MIN);
        assert_served_within(&mut sim, Duration::from_secs(4));
        sim.run_for(Duration::from_secs(8));
        assert_served(&sim);
    }
}

#[test]
fn leases_of_an_earlier_incarnation_block_a_term_that_starts_after_its_restart() {
    for seed in 110..120 {
        let mut sim = start_group_with_long_leases(seed);
        let coordinator = sim.coordinator().unwrap();
        let host = (coordinator + 1) % sim.host_count();
        let slots = sim.owned_by(host);
        sim.apply(Fault::CrashAgent(host));
        sim.apply(Fault::Start(host));
        sim.apply(Fault::Upstream { host, state: crate::UpstreamState::Starting });
        // Enough time for a plan that assigns the upstream's slots to other members.
        sim.run_for(Duration::from_millis(1_500));
        sim.apply(Fault::Crash(coordinator));
        let min_wait = EARLIER_LEASE_MIN - Duration::from_millis(1_500);
        assert_not_granted_to_others(&mut sim, host, &slots, min_wait);
        assert_served_within(&mut sim, Duration::from_secs(6));
        assert_served(&sim);
    }
}

#[test]
fn leases_of_an_earlier_incarnation_block_a_handover_by_a_later_term() {
    for seed in 120..130 {
        let mut sim = start_group_with_long_leases(seed);
        let coordinator = sim.coordinator().unwrap();
        let host = (coordinator + 1) % sim.host_count();
        let slots = sim.owned_by(host);
        sim.apply(Fault::CrashAgent(host));
        sim.apply(Fault::Start(host));
        sim.run_for(Duration::from_millis(500));
        assert_eq!(sim.owned_by(host), slots, "seed {seed}: {:?}", sim.events());
        sim.apply(Fault::Crash(coordinator));
        sim.run_for(Duration::from_millis(1_500));
        sim.apply(Fault::Stop(host));
        let min_wait = EARLIER_LEASE_MIN - Duration::from_secs(2);
        assert_not_granted_to_others(&mut sim, host, &slots, min_wait);
        assert_served_within(&mut sim, Duration::from_secs(6));
        assert_served(&sim);
    }
}
