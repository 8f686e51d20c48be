//! Tests of what callers make of the ends of their sendings.

use crate::journal::{Attempt, AttemptResult, FinalOutcome};

use super::{
    RouteMix,
    call::{Next, final_outcome, next},
};

fn not_run(reason: &str) -> AttemptResult {
    AttemptResult::NotRun { reason: reason.to_owned() }
}

fn unknown() -> AttemptResult {
    AttemptResult::Unknown { reason: "no-record".to_owned() }
}

#[test]
fn what_is_sent_again() {
    let check = |result: AttemptResult, idempotent, expected| {
        assert_eq!(next(&result, idempotent), expected, "{result:?}");
    };
    check(AttemptResult::Answered, true, Next::Done);
    check(not_run("overloaded"), false, Next::Same);
    check(not_run("bad-request"), true, Next::Done);
    check(unknown(), true, Next::Same);
    check(unknown(), false, Next::Done);
    check(AttemptResult::ConnectionLost, false, Next::Other);
}

#[test]
fn what_a_caller_holds_to_be_true() {
    let check = |results: &[AttemptResult], expected| {
        let attempt = |result: &AttemptResult| Attempt {
            target: "127.0.0.1:1".parse().unwrap(),
            sent_ns: 0,
            ended_ns: 0,
            result: result.clone(),
        };
        let attempts: Vec<Attempt> = results.iter().map(attempt).collect();
        assert_eq!(final_outcome(&attempts), expected, "{results:?}");
    };
    check(&[not_run("no-owner"), AttemptResult::Answered], FinalOutcome::Answered);
    check(&[not_run("no-owner"), AttemptResult::NotConnected], FinalOutcome::NotRun);
    check(&[AttemptResult::ConnectionLost, AttemptResult::NotConnected], FinalOutcome::Lost);
    check(&[AttemptResult::ConnectionLost, unknown()], FinalOutcome::Unknown);
    check(&[], FinalOutcome::Lost);
}

#[test]
fn routes_are_parsed() {
    let route: RouteMix = "POST:/racecontrol/{key}/penalty:once:0.2".parse().unwrap();
    assert_eq!((route.class(), route.idempotent), ("penalty", false));
    assert!("POST:/racecontrol".parse::<RouteMix>().is_err());
}
