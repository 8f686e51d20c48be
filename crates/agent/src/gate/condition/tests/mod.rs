//! Tests of the condition that an upstream states.

mod many_agents;

use std::sync::Arc;

use model::{RequestRate, Timestamp};
use upstream::StatedCondition;
use wire::traffic::KnownCondition;

use super::{ConditionChange, Statement, UpstreamCondition};
use crate::gate::leases::UpstreamIncarnation;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(ms)
}

fn rate(per_s: f64) -> Option<RequestRate> {
    RequestRate::from_per_s(per_s)
}

fn incarnation(id: &str) -> UpstreamIncarnation {
    (Some(Arc::from(id)), Some(1))
}

/// Records the answer to a request, sent and answered at these times in milliseconds.
fn answer(condition: &UpstreamCondition, (sent, received): (u64, u64), limit: Option<RequestRate>) {
    let incarnation = incarnation("i-1");
    condition.record(Statement {
        incarnation: &incarnation,
        sent_at: at(sent),
        received_at: at(received),
        condition: StatedCondition { limit, is_leaving: false },
        is_served: true,
    });
}

fn condition() -> UpstreamCondition {
    let condition = UpstreamCondition::default();
    condition.follow_incarnation(&incarnation("i-1"));
    condition
}

#[test]
fn limit_holds_until_a_later_request_is_answered_without_one() {
    let condition = condition();
    answer(&condition, (0, 100), rate(12.3));
    answer(&condition, (50, 150), None);
    assert_eq!(condition.limit(), rate(12.3), "the request was sent before the limit was stated");
    answer(&condition, (110, 160), rate(7.6));
    assert_eq!(condition.limit(), rate(7.6));
    answer(&condition, (155, 170), None);
    assert_eq!(condition.limit(), rate(7.6));
    answer(&condition, (165, 180), None);
    assert_eq!(condition.limit(), None);
}

#[test]
fn refusal_or_failure_without_a_limit_does_not_end_one() {
    let condition = condition();
    answer(&condition, (0, 100), rate(5.0));
    let incarnation = incarnation("i-1");
    condition.record(Statement {
        incarnation: &incarnation,
        sent_at: at(110),
        received_at: at(120),
        condition: StatedCondition::default(),
        is_served: false,
    });
    assert_eq!(condition.limit(), rate(5.0));
}

#[test]
fn another_incarnation_has_no_condition_of_its_predecessor() {
    let condition = condition();
    let leaving = StatedCondition { limit: rate(5.0), is_leaving: true };
    let state = |id: &str| {
        let incarnation = incarnation(id);
        let (sent_at, received_at) = (at(1), at(2));
        condition.record(Statement {
            incarnation: &incarnation,
            sent_at,
            received_at,
            condition: leaving,
            is_served: true,
        });
    };
    state("i-1");
    condition.follow_incarnation(&incarnation("i-1"));
    assert_eq!((condition.limit(), condition.leaving_since()), (rate(5.0), Some(at(2))));
    condition.follow_incarnation(&incarnation("i-2"));
    state("i-1");
    assert_eq!((condition.limit(), condition.leaving_since()), (None, None));
}

/// Returns what a peer knows after the gate has answered it, `age_ms` ago.
fn known(limit: Option<RequestRate>, age_ms: u64) -> KnownCondition {
    let former = condition();
    answer(&former, (0, 1), limit);
    let condition = former.to_wire(&incarnation("i-1")).expect("a limit is stated");
    KnownCondition { condition, age_us: age_ms * 1_000 }
}

#[test]
fn peers_tell_a_new_process_the_latest_limit_until_the_upstream_has_served() {
    let condition = condition();
    let now = at(10_000);
    assert!(condition.adopt(now, &incarnation("i-1"), &known(rate(5.0), 3_000)).limit);
    let older = condition.adopt(now, &incarnation("i-1"), &known(rate(9.0), 4_000));
    assert_eq!(older, ConditionChange::default());
    assert!(condition.adopt(now, &incarnation("i-1"), &known(rate(7.0), 2_000)).limit);
    assert_eq!(condition.limit(), rate(7.0));
    answer(&condition, (9_999, 10_100), None);
    assert_eq!(condition.limit(), None, "the answer is later than what peers know");
    assert!(!condition.adopt(at(10_200), &incarnation("i-1"), &known(rate(7.0), 0)).limit);
    assert_eq!(condition.limit(), None);
}

#[test]
fn condition_that_peers_know_of_another_incarnation_is_ignored() {
    let condition = condition();
    condition.follow_incarnation(&incarnation("i-2"));
    assert!(!condition.adopt(at(10_000), &incarnation("i-2"), &known(rate(5.0), 0)).limit);
    assert_eq!(condition.limit(), None);
}

#[test]
fn leaving_is_stated_once_and_not_undone() {
    let condition = condition();
    let incarnation = incarnation("i-1");
    let record = |received_ms, is_leaving| {
        condition.record(Statement {
            incarnation: &incarnation,
            sent_at: at(0),
            received_at: at(received_ms),
            condition: StatedCondition { limit: None, is_leaving },
            is_served: true,
        })
    };
    assert!(record(10, true).is_leaving);
    assert!(!record(20, true).is_leaving);
    assert!(!record(30, false).is_leaving);
    assert_eq!(condition.leaving_since(), Some(at(10)));
}

#[test]
fn upstream_without_an_identity_is_not_held_to_its_leaving() {
    let condition = UpstreamCondition::default();
    let change = condition.record(Statement {
        incarnation: &(None, None),
        sent_at: at(0),
        received_at: at(10),
        condition: StatedCondition { limit: None, is_leaving: true },
        is_served: true,
    });
    assert_eq!((change, condition.leaving_since()), (ConditionChange::default(), None));
}
