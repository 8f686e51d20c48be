//! Disables one safety rule at a time and checks that a random run or a trace detects a violation.

use std::{ops::RangeInclusive, panic, time::Duration};

use crate::{
    Limits,
    rules::{Rule, disable_rule},
    sim::{RandomRunConfig, Rollbacks, RunReport, Violation, random_run},
};

use super::trace::replay;

fn run_config(seed: u64) -> RandomRunConfig {
    RandomRunConfig {
        seed,
        hosts: 4 + (seed % 4) as usize,
        slots: 8,
        tracked_keys: 0,
        duration: Duration::from_secs(40),
        fault_gap_max: Duration::from_millis(600 + seed * 131 % 2500),
        ordered: false,
        agents_restart: false,
        simulates_requests: false,
        rollbacks: Rollbacks::Never,
        tokens_per_term: Limits::default().tokens_per_term,
        weighs_capacity: false,
    }
}

/// Returns whether a run without the rule violates an invariant or fails an assertion of the crate.
fn is_violation_detected(rule: Rule, run_config: &RandomRunConfig) -> bool {
    disable_rule(Some(rule));
    let report = panic::catch_unwind(|| random_run(run_config));
    disable_rule(None);
    report.map_or(true, |it| it.violation.is_some())
}

/// Asserts that a violation is detected in random runs with the first seeds.
fn assert_detected(rule: Rule, seeds: u64) {
    let first_detected = (1..=seeds).find(|it| is_violation_detected(rule, &run_config(*it)));
    assert!(first_detected.is_some(), "no violation detected in {seeds} runs without {rule:?}");
}

#[test]
fn granting_before_earlier_leases_end_is_detected() {
    assert_detected(Rule::WaitForLeases, 10);
}

#[test]
fn granting_before_the_coordinators_own_lease_ends_is_detected() {
    let ordered = |seed| RandomRunConfig { ordered: true, ..run_config(seed) };
    let detected =
        (1..=200).any(|it| is_violation_detected(Rule::WaitForCoordinatorLease, &ordered(it)));
    assert!(detected, "no violation detected in 200 runs without the rule");
}

#[test]
fn ending_an_earlier_incarnation_before_its_upstream_is_cleared_is_detected() {
    let with_restarts =
        |seed| RandomRunConfig { ordered: true, agents_restart: true, ..run_config(seed) };
    let detected = (1..=2000)
        .any(|it| is_violation_detected(Rule::ClearEarlierIncarnations, &with_restarts(it)));
    assert!(detected, "no violation detected in 2000 runs without the rule");
}

#[test]
fn granting_before_the_old_owner_has_closed_is_detected() {
    assert_detected(Rule::WaitForClose, 10);
}

/// Asserts that a slot is granted while a request of it is in flight, in random runs with requests at upstreams.
fn assert_detected_with_requests(rule: Rule, agents_restart: bool, runs: u64) {
    let with_requests = |seed| RandomRunConfig {
        ordered: true,
        agents_restart,
        simulates_requests: true,
        ..run_config(seed)
    };
    disable_rule(Some(rule));
    let is_granted_early =
        |it: &RunReport| matches!(it.violation, Some(Violation::RequestStillInFlight { .. }));
    let detected = (1..=runs).any(|it| is_granted_early(&random_run(&with_requests(it))));
    disable_rule(None);
    assert!(detected, "no violation detected in {runs} runs without {rule:?}");
}

#[test]
fn releasing_a_slot_with_requests_in_flight_is_detected() {
    assert_detected_with_requests(Rule::WaitForRequestsInFlight, false, 10);
}

#[test]
fn granting_during_requests_of_earlier_incarnations_is_detected() {
    assert_detected_with_requests(Rule::WaitForEarlierRequests, true, 400);
}

#[test]
fn granting_after_a_lapse_without_a_new_confirmation_is_detected() {
    assert_detected(Rule::ProveTermAfterLapse, 1000);
}

#[test]
fn a_lease_that_starts_at_the_reply_is_detected() {
    assert_detected(Rule::LeaseFromSendTime, 1000);
}

#[test]
fn following_a_lower_term_is_detected() {
    assert_detected(Rule::RefuseEarlierTerms, 2000);
}

#[test]
fn renewing_without_a_confirmation_is_detected() {
    assert_detected(Rule::RenewOnlyWhileConfirmed, 100);
}

/// Asserts that a trace, replayed with one of the seeds, shows a violation without the rule, and none with it.
fn assert_detected_by_trace(rule: Rule, trace: &str, mut seeds: RangeInclusive<u64>) {
    let is_violation_detected = |seed: &u64| {
        disable_rule(Some(rule));
        let violation = panic::catch_unwind(|| replay(trace, Some(*seed)).sim.violation().cloned());
        disable_rule(None);
        violation.map_or(true, |it| it.is_some())
    };
    for seed in seeds.clone() {
        assert_eq!(replay(trace, Some(seed)).sim.violation(), None, "seed {seed}, rule enforced");
    }
    let detected = seeds.any(|it| is_violation_detected(&it));
    assert!(detected, "no violation detected with seeds {seeds:?} without {rule:?}");
}

#[test]
fn assuming_that_an_unanswered_update_failed_is_detected() {
    let trace = include_str!("../../traces/lost-answer-of-a-mode.trace");
    assert_detected_by_trace(Rule::AssumeUnansweredUpdateApplied, trace, 1..=5);
}

#[test]
fn ignoring_terms_before_an_unsettled_one_is_detected() {
    let trace = include_str!("../../traces/release-of-an-unsettled-term.trace");
    assert_detected_by_trace(Rule::AccountForUnsettledTerms, trace, 1..=5);
}

#[test]
fn switching_to_witnesses_with_a_long_coordinator_lease_is_detected() {
    let trace = include_str!("../../traces/witnesses-at-the-moment-of-a-loss.trace");
    assert_detected_by_trace(Rule::CapCoordinatorLease, trace, 50..=100);
}

#[test]
fn a_restarted_witness_that_has_not_read_the_object_is_detected() {
    let trace = include_str!("../../traces/witness-that-has-forgotten.trace");
    assert_detected_by_trace(Rule::ReadObjectBeforeWitnessing, trace, 1..=20);
}
