//! Tests of the bounds on requests that the upstream may still be running.

use std::time::Duration;

use model::{Slot, Timestamp};

use super::{OngoingRuns, UpstreamRuns};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(ms)
}

fn ends(runs: &UpstreamRuns, now_ms: u64, slot: u16) -> Timestamp {
    runs.ongoing(at(now_ms), Slot(slot), Slot(slot)).until
}

#[test]
fn an_answered_run_has_ended_and_a_disconnected_one_may_last_until_its_deadline() {
    let runs = UpstreamRuns::default();
    let second = Duration::from_secs(1);
    let answered = runs.begin(at(0), Some(Slot(1)), second);
    let disconnected = runs.begin(at(0), Some(Slot(2)), second);
    assert!(ends(&runs, 10, 1) > at(1000), "the bound must allow for a slow clock of the upstream");
    answered.finish();
    drop(disconnected);
    assert_eq!(runs.ongoing(at(10), Slot(0), Slot(1)), OngoingRuns::default());
    let ongoing = runs.ongoing(at(10), Slot(0), Slot(9));
    assert_eq!((ongoing.running, ongoing.unanswered), (0, 1));
    assert!(ongoing.until > at(1000));
    let ends = runs.latest_ends(at(10));
    assert_eq!((ends(Slot(1)), ends(Slot(2))), (Timestamp::ZERO, ongoing.until));
    assert_eq!(runs.ongoing(ongoing.until, Slot(0), Slot(9)), OngoingRuns::default());
}

#[test]
fn an_answered_run_does_not_shorten_the_bound_of_an_earlier_disconnected_one() {
    let runs = UpstreamRuns::default();
    drop(runs.begin(at(0), Some(Slot(1)), Duration::from_secs(2)));
    runs.begin(at(10), Some(Slot(1)), Duration::from_secs(1)).finish();
    assert!(ends(&runs, 20, 1) > at(2000));
}

#[test]
fn runs_of_an_earlier_incarnation_of_the_agent_may_continue_in_every_slot() {
    let runs = UpstreamRuns::default();
    runs.assume_earlier_runs_until(at(1500));
    assert_eq!(ends(&runs, 1499, 7), at(1500));
    assert_eq!(ends(&runs, 1500, 7), Timestamp::ZERO);
    assert_eq!(runs.latest_ends(at(0))(Slot(7)), at(1500));
}
