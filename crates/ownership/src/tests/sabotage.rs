//! Breaks one rule at a time and looks for the first random run that shows it.

use std::{ops::RangeInclusive, panic, time::Duration};

use crate::{
    rules::{Rule, disable_rule},
    sim::{RandomRunConfig, RunReport, Violation, random_run},
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
        platform_rolls_back: false,
    }
}

/// Whether the truth, or an assertion inside of the program, sees something wrong.
fn is_seen(rule: Rule, run_config: &RandomRunConfig) -> bool {
    disable_rule(Some(rule));
    let report = panic::catch_unwind(|| random_run(run_config));
    disable_rule(None);
    report.map_or(true, |it| it.violation.is_some())
}

fn check(rule: Rule, seeds: u64) {
    let first = (1..=seeds).find(|it| is_seen(rule, &run_config(*it)));
    assert!(first.is_some(), "{rule:?} was broken in {seeds} runs, and nothing was seen");
}

#[test]
fn no_wait_for_leases_is_seen() {
    check(Rule::WaitForLeases, 10);
}

#[test]
fn no_wait_for_a_coordinators_own_lease_is_seen() {
    let ordered = |seed| RandomRunConfig { ordered: true, ..run_config(seed) };
    let seen = (1..=200).any(|it| is_seen(Rule::WaitForCoordinatorLease, &ordered(it)));
    assert!(seen, "the rule was broken in 200 runs, and nothing was seen");
}

#[test]
fn an_earlier_life_taken_as_ended_before_its_upstream_is_cleared_is_seen() {
    let restarting =
        |seed| RandomRunConfig { ordered: true, agents_restart: true, ..run_config(seed) };
    let seen = (1..=2000).any(|it| is_seen(Rule::ClearEarlierIncarnations, &restarting(it)));
    assert!(seen, "the rule was broken in 2000 runs, and nothing was seen");
}

#[test]
fn no_wait_for_close_is_seen() {
    check(Rule::WaitForClose, 10);
}

/// Breaks a rule in runs with upstreams at work: one has to be granted what another works on.
fn check_at_work(rule: Rule, agents_restart: bool, runs: u64) {
    let working = |seed| RandomRunConfig {
        ordered: true,
        agents_restart,
        simulates_requests: true,
        ..run_config(seed)
    };
    disable_rule(Some(rule));
    let worked_on =
        |it: &RunReport| matches!(it.violation, Some(Violation::RequestStillInFlight { .. }));
    let is_seen = (1..=runs).any(|it| worked_on(&random_run(&working(it))));
    disable_rule(None);
    assert!(is_seen, "{rule:?} was broken in {runs} runs, and nothing was seen");
}

#[test]
fn no_wait_for_running_work_is_seen() {
    check_at_work(Rule::WaitForRequestsInFlight, false, 10);
}

#[test]
fn no_wait_for_runs_of_earlier_lives_is_seen() {
    check_at_work(Rule::WaitForEarlierRequests, true, 400);
}

#[test]
fn no_proof_after_a_lapse_is_seen() {
    check(Rule::ProveTermAfterLapse, 1000);
}

#[test]
fn a_lease_counted_from_the_answer_is_seen() {
    check(Rule::LeaseFromSendTime, 1000);
}

#[test]
fn an_earlier_term_followed_is_seen() {
    check(Rule::RefuseEarlierTerms, 2000);
}

#[test]
fn renewal_without_confirmation_is_seen() {
    check(Rule::RenewOnlyWhileConfirmed, 100);
}

/// Whether a trace, replayed with one of the seeds, shows that the rule is broken. The traces'
/// own tests show that nothing is seen while it holds.
fn check_trace(rule: Rule, trace: &str, mut seeds: RangeInclusive<u64>) {
    let is_seen = |seed: &u64| {
        disable_rule(Some(rule));
        let violation = panic::catch_unwind(|| replay(trace, Some(*seed)).sim.violation().cloned());
        disable_rule(None);
        violation.map_or(true, |it| it.is_some())
    };
    for seed in seeds.clone() {
        assert_eq!(replay(trace, Some(seed)).sim.violation(), None, "seed {seed}, no rule broken");
    }
    let seen = seeds.any(|it| is_seen(&it));
    assert!(seen, "{rule:?} was broken with seeds {seeds:?}, and nothing was seen");
}

#[test]
fn a_lost_answer_of_a_mode_taken_as_not_done_is_seen() {
    let trace = include_str!("../../traces/lost-answer-of-a-mode.trace");
    check_trace(Rule::AssumeUnansweredUpdateApplied, trace, 1..=5);
}

#[test]
fn settled_ignored_is_seen() {
    let trace = include_str!("../../traces/release-of-an-unsettled-term.trace");
    check_trace(Rule::AccountForUnsettledTerms, trace, 1..=5);
}

#[test]
fn a_long_own_lease_is_seen() {
    let trace = include_str!("../../traces/witnesses-at-the-moment-of-a-loss.trace");
    check_trace(Rule::CapCoordinatorLease, trace, 50..=100);
}

#[test]
fn a_witness_that_has_forgotten_its_word_is_seen() {
    let trace = include_str!("../../traces/witness-that-has-forgotten.trace");
    check_trace(Rule::ReadObjectBeforeWitnessing, trace, 1..=20);
}
