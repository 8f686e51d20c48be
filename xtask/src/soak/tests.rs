//! The plan of faults, and what the verdict sees.

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
fn a_plan_is_the_same_for_the_same_seed_and_ends_in_time() {
    for seed in 0..50 {
        let planned = faults::plan(seed, &[0, 1, 2], MINUTE);
        assert_eq!(planned, faults::plan(seed, &[0, 1, 2], MINUTE));
        assert!(planned.len() > 5, "seed {seed}: {planned:?}");
        let mut free_at = Duration::ZERO;
        for it in &planned {
            assert!(it.after >= free_at && it.after + it.duration <= MINUTE, "seed {seed}: {it:?}");
            free_at = it.after + it.duration;
        }
    }
}

#[test]
fn every_kind_of_fault_is_drawn() {
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
fn a_crossed_answer_and_a_key_that_is_not_served_again_are_seen() {
    let evidence = Evidence {
        calls: vec![
            call("key-1", 5, FinalOutcome::Answered),
            call("key-1", 15, FinalOutcome::NotRun),
            call("key-2", 15, FinalOutcome::Answered),
        ],
        probed_keys: ["key-1".to_owned(), "key-2".to_owned()].into(),
        ..Evidence::default()
    };
    let seen = violations(&evidence, Window { from_ns: 10, until_ns: 20 });
    let count = |invariant: &str| seen.iter().filter(|it| it.invariant == invariant).count();
    assert_eq!((count("crossed_answers"), count("unserved")), (3, 1), "{seen:?}");
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
fn a_harmful_request_that_is_sent_on_is_seen_unless_word_of_it_was_kept_back() {
    let few = harmful_runs(&[1, 2, 3, 5, 10, 20, 30]);
    assert_eq!(harmful::violations(&few, &[]), []);
    let many = harmful_runs(&[1, 2, 3, 10, 20, 30, 40]);
    assert_eq!(harmful::violations(&many, &[]).len(), 1);
    let window = Window { from_ns: 38_000_000_000, until_ns: 39_000_000_000 };
    let other = Disturbance { instance: Some("standings-2".to_owned()), window };
    assert_eq!(harmful::violations(&many, std::slice::from_ref(&other)).len(), 1);
    assert_eq!(harmful::violations(&many, &[Disturbance { instance: None, ..other }]), []);
}
