//! Tests of which runs count as in flight when an upstream crashes.

use std::time::Duration;

use model::Fingerprint;
use tokio::time::sleep;

use super::{RunEnd, UnansweredRuns};
use crate::clock::Clock;

const A: Fingerprint = Fingerprint(1);
const B: Fingerprint = Fingerprint(2);
const C: Fingerprint = Fingerprint(3);

#[tokio::test(start_paused = true)]
async fn runs_lost_or_abandoned_at_the_crash_were_in_flight() {
    let (runs, clock) = (UnansweredRuns::default(), Clock::start());
    drop(runs.begin(clock, C));
    sleep(Duration::from_secs(1)).await;
    runs.begin(clock, B).end(RunEnd::Answered);
    drop(runs.begin(clock, B));
    let (first, second) = (runs.begin(clock, A), runs.begin(clock, A));
    sleep(Duration::from_millis(50)).await;
    first.end(RunEnd::Lost);
    second.end(RunEnd::Lost);
    assert_eq!(runs.take_in_flight(), [A, B]);
    assert_eq!(runs.take_in_flight(), [], "a crash is reported once");
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_answers_a_later_run_has_not_crashed() {
    let (runs, clock) = (UnansweredRuns::default(), Clock::start());
    let earlier = runs.begin(clock, B);
    sleep(Duration::from_millis(10)).await;
    runs.begin(clock, A).end(RunEnd::Lost);
    earlier.end(RunEnd::Answered);
    sleep(Duration::from_millis(10)).await;
    let later = runs.begin(clock, C);
    assert_eq!(
        runs.take_in_flight(),
        [A],
        "the answer to an earlier run may have been in flight at the crash"
    );
    later.end(RunEnd::Answered);
    runs.begin(clock, A).end(RunEnd::Lost);
    sleep(Duration::from_millis(10)).await;
    runs.begin(clock, C).end(RunEnd::Answered);
    assert_eq!(runs.take_in_flight(), []);
}

#[tokio::test(start_paused = true)]
async fn no_run_was_in_flight_if_no_connection_was_lost() {
    let (runs, clock) = (UnansweredRuns::default(), Clock::start());
    drop(runs.begin(clock, A));
    runs.begin(clock, B).end(RunEnd::NotRun);
    assert_eq!(runs.take_in_flight(), []);
}
