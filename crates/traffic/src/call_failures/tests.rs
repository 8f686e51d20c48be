//! Tests of the refusal of runs whose calls fail.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use model::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{CallFailures, KINDS_MAX, RunResult, StartVerdict, UnservedRequests};

const KIND: u8 = 7;
const OTHER_KIND: u8 = 8;
const NOW: Timestamp = Timestamp { ns: 5_000_000_000 };

fn record(failures: &mut CallFailures, now: Timestamp, kind: u8, end: RunResult, count: usize) {
    (0..count).for_each(|_| failures.record_end(now, kind, end));
}

/// Returns how many of 1,000 runs would be refused if each were the next one.
fn count_refused(failures: &mut CallFailures, now: Timestamp, kind: u8) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    failures.refusal_probability_max(now);
    let mut is_refused = || failures.clone().may_start(now, kind, &mut rng) != StartVerdict::Start;
    (0..1_000).filter(|_| is_refused()).count()
}

/// A run that fails for its own reasons is no sign that the next one fails.
#[test]
fn other_failures_refuse_nothing() {
    let mut failures = CallFailures::default();
    record(&mut failures, NOW, KIND, RunResult::FailedOtherwise, 500);
    record(&mut failures, NOW, OTHER_KIND, RunResult::FailedByCall, 500);
    assert_eq!(count_refused(&mut failures, NOW, KIND), 0);
    // They do not dilute the share of the failures by a call either.
    record(&mut failures, NOW, OTHER_KIND, RunResult::FailedOtherwise, 5_000);
    assert!(count_refused(&mut failures, NOW, OTHER_KIND) > 850);
}

/// Guards against refusals by chance, and against refusing all runs, after which nothing would show a recovery.
#[test]
fn half_of_failures_is_tolerated_and_a_tenth_of_the_runs_always_starts() {
    let refused = |failed: usize, served: usize| {
        let mut failures = CallFailures::default();
        record(&mut failures, NOW, KIND, RunResult::FailedByCall, failed);
        record(&mut failures, NOW, KIND, RunResult::Served, served);
        count_refused(&mut failures, NOW, KIND)
    };
    assert_eq!(refused(4, 0), 0, "too few ends");
    assert_eq!(refused(50, 50), 0);
    assert!((350..=450).contains(&refused(70, 30)));
    assert!((850..=950).contains(&refused(1_000, 0)));
}

/// A request that is passed from member to member must not start just because it is offered often.
#[test]
fn gates_with_equal_counts_agree_on_a_request() {
    let mut gate = CallFailures::default();
    record(&mut gate, NOW, KIND, RunResult::FailedByCall, 70);
    record(&mut gate, NOW, KIND, RunResult::Served, 30);
    let verdicts = Vec::from_iter((0..200).map(|request| {
        let [first, second] = [gate.clone(), gate.clone()]
            .map(|mut it| it.may_start(NOW, KIND, &mut Pcg64Mcg::seed_from_u64(request)));
        assert_eq!(first, second);
        first
    }));
    let started = verdicts.iter().filter(|it| **it == StartVerdict::Start).count();
    assert!((50..=150).contains(&started), "{started} of 200 start, so the generators matter");
}

/// Guards against refusals because of failures that are long past.
#[test]
fn a_suspension_longer_than_the_window_empties_it() {
    let mut failures = CallFailures::default();
    record(&mut failures, NOW, KIND, RunResult::FailedByCall, 100);
    let resumed = NOW + Duration::from_millis(1_500);
    assert!(count_refused(&mut failures, resumed, KIND) > 850);
    // A thread may have read the clock before another one moved the window.
    assert!(count_refused(&mut failures, NOW, KIND) > 850);
    let resumed = NOW + Duration::from_millis(2_001);
    assert_eq!(count_refused(&mut failures, resumed, KIND), 0);
    assert_eq!(failures.refusal_probability_max(resumed), 0.0);
}

/// Guards against unbounded memory, and against idle kinds that keep others out.
#[test]
fn kinds_beyond_the_bound_are_never_refused_and_idle_kinds_are_replaced() {
    let mut failures = CallFailures::default();
    for end in [RunResult::Served, RunResult::FailedByCall] {
        (0..=u8::MAX).for_each(|kind| record(&mut failures, NOW, kind, end, 10));
    }
    let is_refused = |kind: &u8| count_refused(&mut failures, NOW, *kind) > 0;
    assert_eq!((0..=u8::MAX).filter(is_refused).count(), KINDS_MAX);
    assert_eq!(count_refused(&mut failures, NOW, u8::MAX), 0);
    let later = NOW + Duration::from_secs(2);
    record(&mut failures, later, u8::MAX, RunResult::FailedByCall, 10);
    assert!(count_refused(&mut failures, later, u8::MAX) > 0);
}

#[test]
fn unserved_requests_are_found_between_two_times_and_the_oldest_are_evicted() {
    let (mut unserved, at) = (UnservedRequests::default(), Timestamp::from_ms);
    unserved.record(at(100));
    assert!(!unserved.has_any_between(at(0), at(99)));
    assert!(!unserved.has_any_between(at(101), at(200)));
    (0..63).for_each(|it| unserved.record(at(200 + it)));
    assert!(unserved.has_any_between(at(100), at(100)));
    unserved.record(at(300));
    assert!(!unserved.has_any_between(at(0), at(199)));
}

/// Gates of the played service, and the requests that each gets per second.
const GATES: usize = 14;
const REQUESTS_PER_S: usize = 32;
const PLAYED_S: usize = 16;
/// Until then, the callee serves only this share of the calls that all runs together make, so that most runs fail.
const OVERLOADED_UNTIL: Timestamp = Timestamp { ns: 10_000_000_000 };
const CALLS_SERVED_SHARE: f64 = 0.4;
/// Calls that the callee takes at once after a pause.
const CALLS_BURST: f64 = 20.0;
/// Time from the start of a run to its first call, from there to the second one, and to the end.
const RUN_STEP: Duration = Duration::from_millis(30);
/// The longest wait of a refused caller before its only retry: a third of a deadline of 600 ms.
const RETURN_MAX: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    Return,
    FirstCall,
    SecondCall,
}

/// What the callers of requests received, with the times at which they first sent them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Received {
    Answer,
    Failure,
    Refusal,
}

/// Plays callers, gates and a callee with limited capacity. The gates restart at `restart_at`.
fn play(
    is_on: bool,
    calls_served_share: f64,
    restart_at: Timestamp,
    seed: u64,
) -> Vec<(Timestamp, Received)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let new_gates = || Vec::from_iter((0..GATES).map(|_| CallFailures::default()));
    let (mut gates, mut restart_at) = (new_gates(), Some(restart_at));
    let count = GATES * REQUESTS_PER_S * PLAYED_S;
    let mut sent_at = || Timestamp::from_ms(rng.random_range(0..PLAYED_S as u64 * 1_000));
    let sent_at = Vec::from_iter((0..count).map(|_| sent_at()));
    let arrivals = sent_at.iter().enumerate().map(|(id, at)| Reverse((*at, id, Step::Arrive)));
    let mut events = BinaryHeap::from_iter(arrivals);
    let calls_per_s = 2.0 * (GATES * REQUESTS_PER_S) as f64 * calls_served_share;
    let (mut callee_room, mut callee_at) = (CALLS_BURST, Timestamp::ZERO);
    let mut received = Vec::new();
    while let Some(Reverse((now, id, step))) = events.pop() {
        if restart_at.take_if(|it| *it <= now).is_some() {
            gates = new_gates();
        }
        let gate = &mut gates[id % GATES];
        if matches!(step, Step::Arrive | Step::Return) {
            match gate.may_start(now, KIND, &mut rng) {
                StartVerdict::Refuse(it) if is_on && step == Step::Arrive => {
                    events.push(Reverse((now + it.retry_after.min(RETURN_MAX), id, Step::Return)));
                }
                StartVerdict::Refuse(_) if is_on => received.push((sent_at[id], Received::Refusal)),
                _ => events.push(Reverse((now + RUN_STEP, id, Step::FirstCall))),
            }
            continue;
        }
        let passed = now.since(std::mem::replace(&mut callee_at, now)).as_secs_f64();
        callee_room = (callee_room + passed * calls_per_s).min(CALLS_BURST);
        let is_call_served = callee_room >= 1.0 || now >= OVERLOADED_UNTIL;
        callee_room -= if is_call_served { 1.0 } else { 0.0 };
        let (end, result) = match is_call_served {
            true if step == Step::FirstCall => {
                events.push(Reverse((now + RUN_STEP, id, Step::SecondCall)));
                continue;
            }
            true => (RunResult::Served, Received::Answer),
            false => (RunResult::FailedByCall, Received::Failure),
        };
        gate.record_end(now, KIND, end);
        received.push((sent_at[id], result));
    }
    received
}

/// Returns the shares of the answers, failures and refusals among the requests first sent between two times.
fn shares(received: &[(Timestamp, Received)], from_ms: u64, until_ms: u64) -> [f64; 3] {
    let sent = Timestamp::from_ms(from_ms)..Timestamp::from_ms(until_ms);
    let results = Vec::from_iter(received.iter().filter(|it| sent.contains(&it.0)));
    [Received::Answer, Received::Failure, Received::Refusal].map(|wanted| {
        results.iter().filter(|it| it.1 == wanted).count() as f64 / results.len() as f64
    })
}

/// Guards against lost requests: a caller that is refused can return, one whose run fails cannot.
#[test]
fn fewer_requests_fail_and_more_are_answered_while_calls_fail() {
    for seed in 1..=5 {
        let [off, on] = [false, true].map(|is_on| {
            let received = play(is_on, CALLS_SERVED_SHARE, Timestamp::ZERO, seed);
            let all_start_again = shares(&received, 12_000, 16_000);
            assert_eq!(all_start_again, [1.0, 0.0, 0.0], "2 s after the calls are served again");
            shares(&received, 2_000, 10_000)
        });
        assert_eq!(off[2], 0.0);
        assert!(on[0] > off[0] && on[1] < 0.9 * off[1], "off {off:?}, on {on:?}");
    }
}

/// Guards against refusing runs of which most would be served.
#[test]
fn runs_that_probably_succeed_are_not_refused() {
    for seed in 1..=5 {
        let [off, on] = [false, true]
            .map(|is_on| shares(&play(is_on, 0.8, Timestamp::ZERO, seed), 2_000, 10_000));
        assert!(on[0] > off[0] - 0.02 && on[2] < 0.02, "off {off:?}, on {on:?}");
    }
}

/// Restarted gates let all runs start, as without the part, and refuse again within 2 s.
#[test]
fn restarted_gates_relearn_the_failures() {
    let restart_at = Timestamp::from_ms(6_000);
    let play = |is_on| play(is_on, CALLS_SERVED_SHARE, restart_at, 1);
    let (off, on) = (play(false), play(true));
    let (off, on) = (shares(&off, 8_000, 10_000), shares(&on, 8_000, 10_000));
    assert!(on[1] < 0.9 * off[1], "off {off:?}, on {on:?}");
}
