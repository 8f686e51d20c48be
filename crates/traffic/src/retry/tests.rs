//! Tests of retries.

use std::time::Duration;

use model::{NotRunReason, Outcome, Timestamp, UnknownReason};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::CONNECTION_LOST_PAUSE;
use crate::{
    Attempts, ChargePolicy, EndedAttempt, Retries, RetryConfig, RetryVerdict, tests::seeded,
};

const SHED: Outcome = Outcome::NotRun(NotRunReason::Overloaded);
const LOST: Outcome = Outcome::Unknown(UnknownReason::ConnectionLost);

fn attempt(outcome: Outcome) -> EndedAttempt {
    EndedAttempt { outcome, retry_after: None, is_redirect: false, has_untried_target: false }
}

fn decide(outcome: Outcome, idempotent: bool, left_ms: u64) -> RetryVerdict {
    let mut retries = Retries::new(RetryConfig::default());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let deadline = Timestamp::from_ms(left_ms);
    let mut attempts = Attempts::default();
    let ended = attempt(outcome);
    retries.decide(Timestamp::ZERO, deadline, idempotent, &mut attempts, &ended, &mut rng)
}

fn check(outcome: Outcome, idempotent: bool, is_retried: bool) {
    let verdict = decide(outcome, idempotent, 1000);
    assert_eq!(matches!(verdict, RetryVerdict::Retry { .. }), is_retried, "{outcome}");
}

#[test]
fn only_safe_outcomes_are_retried() {
    for idempotent in [false, true] {
        check(SHED, idempotent, true);
        check(Outcome::NotRun(NotRunReason::Unreachable), idempotent, true);
        check(Outcome::NotRun(NotRunReason::BadRequest), idempotent, false);
        check(Outcome::NotRun(NotRunReason::Cancelled), idempotent, false);
        check(Outcome::Unknown(UnknownReason::DeadlineExceeded), idempotent, false);
        check(Outcome::Answered, idempotent, false);
    }
    check(LOST, true, true);
    check(LOST, false, false);
    check(Outcome::Unknown(UnknownReason::NoRecord), false, false);
}

#[test]
fn a_retry_after_a_lost_connection_waits_for_word_of_an_ended_upstream() {
    for left_ms in [500, 5_000] {
        let RetryVerdict::Retry { after } = decide(LOST, true, left_ms) else {
            panic!("it may be sent again");
        };
        assert!(after >= CONNECTION_LOST_PAUSE, "{after:?}");
    }
    check(Outcome::NotRun(NotRunReason::Quarantined), true, false);
}

#[test]
fn a_refusal_is_final_at_once_when_no_retry_fits_the_deadline() {
    let RetryVerdict::GiveUp { retry_after: Some(_) } = decide(SHED, true, 0) else {
        panic!("the caller is told when to come back");
    };
    assert_eq!(decide(LOST, false, 1000), RetryVerdict::GiveUp { retry_after: None });
}

#[test]
fn a_peers_retry_after_is_kept() {
    let mut retries = Retries::new(RetryConfig::default());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let asked = Duration::from_millis(300);
    let ended = EndedAttempt { retry_after: Some(asked), ..attempt(SHED) };
    let mut decide = |left_ms| {
        let deadline = Timestamp::from_ms(left_ms);
        let mut attempts = Attempts::default();
        retries.decide(Timestamp::ZERO, deadline, true, &mut attempts, &ended, &mut rng)
    };
    assert!(matches!(decide(1000), RetryVerdict::Retry { after } if after >= asked));
    let RetryVerdict::GiveUp { retry_after: Some(after) } = decide(200) else {
        panic!("there is no time for the wait that the peer asked for");
    };
    assert!(after >= asked);
}

#[test]
fn stale_routes_are_followed_without_charge_a_few_times() {
    let config = RetryConfig { budget_max: 0.0, ..RetryConfig::default() };
    let mut retries = Retries::new(config);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let ended =
        EndedAttempt { is_redirect: true, ..attempt(Outcome::NotRun(NotRunReason::NotOwner)) };
    let mut attempts = Attempts::default();
    let mut decide = || {
        let deadline = Timestamp::from_ms(1000);
        retries.decide(Timestamp::ZERO, deadline, false, &mut attempts, &ended, &mut rng)
    };
    for _ in 0..3 {
        assert_eq!(decide(), RetryVerdict::FollowRedirect);
    }
    assert!(matches!(decide(), RetryVerdict::GiveUp { .. }));
}

/// However everything fails, sendings stay within the share of fresh traffic.
#[test]
fn retries_stay_within_the_budget() {
    fn property(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let config = RetryConfig::default();
        let mut retries = Retries::new(config.clone());
        let fresh = 1000;
        let mut sent_again = 0;
        for ms in 0..fresh {
            retries.add_request();
            let now = Timestamp::from_ms(ms);
            let deadline = now + Duration::from_millis(rng.random_range(0..2000));
            let mut attempts = Attempts::default();
            let mut decide =
                || retries.decide(now, deadline, true, &mut attempts, &attempt(SHED), &mut rng);
            while let RetryVerdict::Retry { after } = decide() {
                assert!(now + after < deadline);
                sent_again += 1;
            }
        }
        f64::from(sent_again) <= config.budget_max / 2.0 + config.budget_share * fresh as f64
    }
    seeded(property as fn(u64) -> bool);
}

const REFUSED: Outcome = Outcome::NotRun(NotRunReason::Refused);

/// Tries again until it is told to give up; gives the number of retries.
fn retries_of(config: &RetryConfig, outcome: Outcome, attempts: Attempts) -> u32 {
    let mut retries = Retries::new(config.clone());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut attempts = attempts;
    let mut now = Timestamp::ZERO;
    let mut count = 0;
    loop {
        let deadline = Timestamp::from_ms(60_000);
        let ended = attempt(outcome);
        match retries.decide(now, deadline, true, &mut attempts, &ended, &mut rng) {
            RetryVerdict::Retry { after } => now = now + after,
            RetryVerdict::FollowRedirect | RetryVerdict::GiveUp { .. } => return count,
        }
        count += 1;
    }
}

#[test]
fn a_request_is_given_to_no_more_upstreams_than_its_route_allows() {
    let config = RetryConfig { retries_max: 10, ..RetryConfig::default() };
    assert_eq!(retries_of(&config, REFUSED, Attempts::new(2)), 1);
    assert_eq!(retries_of(&config, LOST, Attempts::new(3)), 2);
    // A gate that refuses has not given it to its upstream.
    assert_eq!(retries_of(&config, SHED, Attempts::new(1)), 10);
}

#[test]
fn refusals_of_gates_are_free_where_only_upstreams_count() {
    let config = RetryConfig {
        budget_max: 0.0,
        charge: ChargePolicy::AfterUpstream,
        ..RetryConfig::default()
    };
    let unreachable = Outcome::NotRun(NotRunReason::Unreachable);
    assert_eq!(retries_of(&config, unreachable, Attempts::default()), 3);
    assert_eq!(retries_of(&config, REFUSED, Attempts::default()), 0);
}

#[test]
fn a_key_that_moves_is_waited_for_but_not_for_ever() {
    let unowned = Outcome::NotRun(NotRunReason::NoOwner);
    let wait = Duration::from_millis(1500);
    let config = RetryConfig {
        budget_max: 0.0,
        charge: ChargePolicy::AfterUpstream,
        retries_max: 0,
        unowned_wait: wait,
        ..RetryConfig::default()
    };
    let count = retries_of(&config, unowned, Attempts::default());
    assert!((1500 / 80..=1500 / 40).contains(&count), "{count}");
}

/// A service that is full holds nobody: others are asked at once, a few, and then the caller is told
/// when to come back.
#[test]
fn a_full_target_is_followed_by_others_at_once() {
    let config = RetryConfig { charge: ChargePolicy::AfterUpstream, ..RetryConfig::default() };
    let mut retries = Retries::new(config);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut attempts = Attempts::default();
    let back = Some(Duration::from_millis(300));
    let mut decide = |has_untried_target| {
        let ended = EndedAttempt { retry_after: back, has_untried_target, ..attempt(SHED) };
        let deadline = Timestamp::from_ms(1000);
        retries.decide(Timestamp::ZERO, deadline, true, &mut attempts, &ended, &mut rng)
    };
    let at_once = RetryVerdict::Retry { after: Duration::ZERO };
    assert_eq!(decide(true), at_once);
    assert_eq!(decide(true), at_once);
    assert_eq!(decide(true), RetryVerdict::GiveUp { retry_after: back });
    assert_eq!(decide(false), RetryVerdict::GiveUp { retry_after: back });
}
