//! Breaks one rule at a time and looks for the first random run that shows it.

use std::{panic, time::Duration};

use crate::{
    rules::{Rule, break_rule},
    sim::{Shape, random_run},
};

fn shape(seed: u64) -> Shape {
    Shape {
        seed,
        hosts: 4 + (seed % 4) as usize,
        slots: 8,
        watched_keys: 0,
        duration: Duration::from_secs(40),
        fault_gap_max: Duration::from_millis(600 + seed * 131 % 2500),
    }
}

/// Whether the truth, or an assertion inside of the program, sees something wrong.
fn is_seen(rule: Rule, seed: u64) -> bool {
    break_rule(Some(rule));
    let report = panic::catch_unwind(|| random_run(&shape(seed)));
    break_rule(None);
    report.map_or(true, |it| it.violation.is_some())
}

fn check(rule: Rule, seeds: u64) {
    let first = (1..=seeds).find(|it| is_seen(rule, *it));
    assert!(first.is_some(), "{rule:?} was broken in {seeds} runs, and nothing was seen");
}

#[test]
fn no_wait_for_leases_is_seen() {
    check(Rule::WaitForLeases, 10);
}

#[test]
fn no_wait_for_close_is_seen() {
    check(Rule::WaitForClose, 10);
}

#[test]
fn no_proof_after_a_lapse_is_seen() {
    check(Rule::ProofAfterLapse, 200);
}

#[test]
fn a_lease_counted_from_the_answer_is_seen() {
    check(Rule::LeaseFromSending, 400);
}

#[test]
fn an_earlier_term_followed_is_seen() {
    check(Rule::RefuseEarlierTerms, 400);
}

#[test]
fn renewal_without_confirmation_is_seen() {
    check(Rule::RenewConfirmed, 100);
}
