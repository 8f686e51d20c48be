//! Tests of the drawn faults and of the verdict.

use std::time::Duration;

use model::RequestId;
use standins::journal::{Attempt, AttemptResult, CallRecord, FinalOutcome, RunEntry};

use crate::demo::evidence::{Evidence, UpstreamJournal, Window};

use super::{
    faults,
    harmful::{self, Disturbance, HARMFUL_KEY},
    verdict::violations,
};

const MINUTE: Duration = Duration::from_secs(60);

#[test]
fn a_seed_determines_the_faults_and_all_end_within_the_fault_period() {
    for seed in 0..50 {
        let planned = faults::plan(seed, &[0, 1, 2], MINUTE);
        assert_eq!(planned, faults::plan(seed, &[0, 1, 2], MINUTE));
        assert!(planned.len() > 5, "seed {seed}: expected more than 5 faults, got {planned:?}");
        let mut previous_end = Duration::ZERO;
        for it in &planned {
            assert!(
                it.after >= previous_end && it.after + it.duration <= MINUTE,
                "seed {seed}: overlaps or ends late: {it:?}"
            );
            previous_end = it.after + it.duration;
        }
    }
}

#[test]
fn all_kinds_of_faults_are_drawn() {
    let planned: Vec<_> = (0..50).flat_map(|it| faults::plan(it, &[0], MINUTE)).collect();
    assert_eq!(faults::counts(&planned).len(), 10, "{:?}", faults::counts(&planned));
}

fn call(key: &str, sent_ns: u64, outcome: FinalOutcome) -> CallRecord {
    let target = ([127, 0, 0, 1], 1).into();
    let attempt =
        Attempt { target, sent_ns, ended_ns: sent_ns + 1, result: AttemptResult::Crossed };
    CallRecord {
        id: RequestId(u128::from(sent_ns)),
        service: "standings".to_owned(),
        key: key.to_owned(),
        class: "read".to_owned(),
        idempotent: true,
        attempts: vec![attempt],
        outcome,
    }
}

#[test]
fn the_verdict_reports_crossed_responses_and_keys_not_served_after_the_faults() {
    let evidence = Evidence {
        calls: vec![
            call("key-1", 5, FinalOutcome::Answered),
            call("key-1", 15, FinalOutcome::NotRun),
            call("key-2", 15, FinalOutcome::Answered),
        ],
        probed_keys: ["key-1".to_owned(), "key-2".to_owned()].into(),
        ..Evidence::default()
    };
    let found = violations(&evidence, Window { from_ns: 10, until_ns: 20 });
    let count = |invariant: &str| found.iter().filter(|it| it.invariant == invariant).count();
    assert_eq!((count("crossed_answers"), count("unserved")), (3, 1), "found {found:?}");
}

fn harmful_runs(at_s: &[u64]) -> Evidence {
    let entries = at_s.iter().map(|it| RunEntry::Started {
        at_ns: it * 1_000_000_000,
        run: *it,
        id: RequestId(u128::from(*it)),
        key: HARMFUL_KEY.to_owned(),
        class: "read".to_owned(),
        token: None,
    });
    let upstream = UpstreamJournal {
        instance: "standings-1".to_owned(),
        service: "standings".to_owned(),
        keyed: true,
        entries: entries.collect(),
        exited_ns: u64::MAX,
        frozen: Vec::new(),
    };
    Evidence { upstreams: vec![upstream], ..Evidence::default() }
}

#[test]
fn excess_runs_of_a_harmful_request_are_reported_unless_a_fault_excuses_them() {
    let few = harmful_runs(&[1, 2, 3, 5, 10, 20, 30]);
    assert_eq!(harmful::violations(&few, &[]), []);
    let many = harmful_runs(&[1, 2, 3, 10, 20, 30, 40]);
    assert_eq!(harmful::violations(&many, &[]).len(), 1);
    let window = Window { from_ns: 38_000_000_000, until_ns: 39_000_000_000 };
    let other = Disturbance { instance: Some("standings-2".to_owned()), window };
    assert_eq!(harmful::violations(&many, std::slice::from_ref(&other)).len(), 1);
    assert_eq!(harmful::violations(&many, &[Disturbance { instance: None, ..other }]), []);
}
