//! Tests of results of attempts, the steps that follow them, and outcomes of requests.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use model::RequestId;

use crate::{
    answer::encode_answer,
    journal::{Attempt, AttemptResult, FinalOutcome},
};

use super::{
    CallRequest, WeightedRoute,
    attempt::classify,
    call::{NextStep, final_outcome, first_possible_run_ns, next_step},
};

fn not_run(reason: &str) -> AttemptResult {
    AttemptResult::NotRun { reason: reason.to_owned() }
}

fn unknown() -> AttemptResult {
    AttemptResult::Unknown { reason: "no-record".to_owned() }
}

/// Returns attempts with these results, sent at 0, 1, 2, ... ns.
fn attempts(results: &[AttemptResult]) -> Vec<Attempt> {
    let attempt = |(at_ns, result): (usize, &AttemptResult)| Attempt {
        target: "127.0.0.1:1".parse().unwrap(),
        sent_ns: at_ns as u64,
        ended_ns: at_ns as u64,
        result: result.clone(),
    };
    results.iter().enumerate().map(attempt).collect()
}

#[test]
fn the_age_counts_from_the_first_attempt_that_may_have_run() {
    let check = |results: &[AttemptResult], expected| {
        assert_eq!(first_possible_run_ns(&attempts(results)), expected, "{results:?}");
    };
    check(&[], None);
    check(&[not_run("no-owner"), AttemptResult::NotConnected], None);
    check(&[not_run("no-owner"), AttemptResult::ConnectionLost, not_run("draining")], Some(1));
}

#[test]
fn the_next_step_depends_on_the_result_and_idempotency() {
    let check = |result: AttemptResult, idempotent, expected| {
        assert_eq!(next_step(&result, idempotent), expected, "{result:?}");
    };
    check(AttemptResult::Answered, true, NextStep::Done);
    check(not_run("overloaded"), false, NextStep::SameTarget);
    check(not_run("bad-request"), true, NextStep::Done);
    check(unknown(), true, NextStep::SameTarget);
    check(unknown(), false, NextStep::Done);
    check(AttemptResult::ConnectionLost, false, NextStep::NextTarget);
}

#[test]
fn the_outcome_follows_from_the_results_of_all_attempts() {
    let check = |results: &[AttemptResult], expected| {
        assert_eq!(final_outcome(&attempts(results)), expected, "{results:?}");
    };
    check(&[not_run("no-owner"), AttemptResult::Answered], FinalOutcome::Answered);
    check(&[not_run("no-owner"), AttemptResult::NotConnected], FinalOutcome::NotRun);
    check(&[AttemptResult::ConnectionLost, AttemptResult::NotConnected], FinalOutcome::Lost);
    check(&[AttemptResult::ConnectionLost, unknown()], FinalOutcome::Unknown);
    check(&[], FinalOutcome::Lost);
}

#[test]
fn routes_are_parsed() {
    let route: WeightedRoute = "POST:/racecontrol/{key}/penalty:once:0.2".parse().unwrap();
    assert_eq!((route.class(), route.idempotent), ("penalty", false));
    assert!("POST:/racecontrol".parse::<WeightedRoute>().is_err());
}

#[test]
fn answers_with_any_status_are_checked() {
    let request = CallRequest {
        id: RequestId(7),
        method: Method::GET,
        service: "s".to_owned(),
        path: "/s/lap".to_owned(),
        key: "car-7".to_owned(),
        class: "lap".to_owned(),
        idempotent: true,
        deadline: Duration::from_secs(1),
        answer_bytes: 5,
        body: Bytes::new(),
    };
    let check = |status: u16, outcome, body: &[u8], expected| {
        let status = StatusCode::from_u16(status).unwrap();
        assert_eq!(classify(status, outcome, body, &request), expected);
    };
    let whole = encode_answer(RequestId(7), "car-7", 5);
    let failed = encode_answer(RequestId(7), "car-7", 0);
    let other = encode_answer(RequestId(8), "car-7", 5);
    check(200, Some("answered"), &whole, AttemptResult::Answered);
    check(200, Some("answered"), &failed, AttemptResult::Broken);
    check(200, Some("answered"), &other, AttemptResult::Crossed);
    check(200, None, &whole, AttemptResult::NoOutcome { status: 200 });
    let service = AttemptResult::Unknown { reason: "service-504".to_owned() };
    check(504, Some("answered"), &failed, service);
    check(504, Some("answered"), b"cut", AttemptResult::Broken);
    check(503, Some("not-run; reason=no-owner"), b"", not_run("no-owner"));
}
