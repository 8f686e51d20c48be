//! Tests of retries.

use std::time::Duration;

use model::{NotRunReason, Outcome, Timestamp, UnknownReason};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::CONNECTION_LOST_PAUSE;
use crate::{
    Attempts, ChargePolicy, EndedAttempt, Retries, RetryConfig, RetryVerdict, tests::check_seeded,
};

const SHED: Outcome = Outcome::NotRun(NotRunReason::Overloaded);
const LOST: Outcome = Outcome::Unknown(UnknownReason::ConnectionLost);

fn attempt(outcome: Outcome) -> EndedAttempt {
    EndedAttempt { outcome, retry_after: None, is_redirect: false, has_untried_target: false }
}

fn decide(outcome: Outcome, is_idempotent: bool, remaining_ms: u64) -> RetryVerdict {
    let mut retries = Retries::new(RetryConfig::default());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let deadline = Timestamp::from_ms(remaining_ms);
    let mut attempts = Attempts::default();
    let ended = attempt(outcome);
    retries.decide(Timestamp::ZERO, deadline, is_idempotent, &mut attempts, &ended, &mut rng)
}

fn check(outcome: Outcome, is_idempotent: bool, is_retried: bool) {
    let verdict = decide(outcome, is_idempotent, 1000);
    assert_eq!(
        matches!(verdict, RetryVerdict::Retry { .. }),
        is_retried,
        "whether {outcome} is retried"
    );
}

#[test]
fn only_safe_outcomes_are_retried() {
    for is_idempotent in [false, true] {
        check(SHED, is_idempotent, true);
        check(Outcome::NotRun(NotRunReason::Unreachable), is_idempotent, true);
        check(Outcome::NotRun(NotRunReason::BadRequest), is_idempotent, false);
        check(Outcome::NotRun(NotRunReason::Cancelled), is_idempotent, false);
        check(Outcome::Unknown(UnknownReason::DeadlineExceeded), is_idempotent, false);
        check(Outcome::Answered, is_idempotent, false);
    }
    check(LOST, true, true);
    check(LOST, false, false);
    check(Outcome::Unknown(UnknownReason::NoRecord), false, false);
}

#[test]
fn a_retry_after_a_lost_connection_waits_for_a_crash_report() {
    for remaining_ms in [500, 5_000] {
        let RetryVerdict::Retry { after } = decide(LOST, true, remaining_ms) else {
            panic!("an idempotent request must be retried after a lost connection");
        };
        assert!(after >= CONNECTION_LOST_PAUSE, "the retry follows after {after:?}");
    }
    check(Outcome::NotRun(NotRunReason::Quarantined), true, false);
}

#[test]
fn a_refusal_is_final_at_once_if_no_retry_fits_the_deadline() {
    let RetryVerdict::GiveUp { retry_after: Some(_) } = decide(SHED, true, 0) else {
        panic!("expected a refusal with a retry-after time");
    };
    assert_eq!(decide(LOST, false, 1000), RetryVerdict::GiveUp { retry_after: None });
}

#[test]
fn a_retry_waits_for_the_retry_after_time_of_the_peer() {
    let mut retries = Retries::new(RetryConfig::default());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let peer_retry_after = Duration::from_millis(300);
    let ended = EndedAttempt { retry_after: Some(peer_retry_after), ..attempt(SHED) };
    let mut decide = |remaining_ms| {
        let deadline = Timestamp::from_ms(remaining_ms);
        let mut attempts = Attempts::default();
        retries.decide(Timestamp::ZERO, deadline, true, &mut attempts, &ended, &mut rng)
    };
    assert!(matches!(decide(1000), RetryVerdict::Retry { after } if after >= peer_retry_after));
    let RetryVerdict::GiveUp { retry_after: Some(after) } = decide(200) else {
        panic!("expected a refusal, since the deadline is before the peer's retry-after time");
    };
    assert!(after >= peer_retry_after);
}

#[test]
fn redirects_are_limited_but_not_charged() {
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

/// Even if all attempts fail, the number of retries stays within the budget for the new requests.
#[test]
fn retries_stay_within_the_budget() {
    fn property(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let config = RetryConfig::default();
        let mut retries = Retries::new(config.clone());
        let requests = 1000;
        let mut retries_sent = 0;
        for ms in 0..requests {
            retries.add_request();
            let now = Timestamp::from_ms(ms);
            let deadline = now + Duration::from_millis(rng.random_range(0..2000));
            let mut attempts = Attempts::default();
            let mut decide =
                || retries.decide(now, deadline, true, &mut attempts, &attempt(SHED), &mut rng);
            while let RetryVerdict::Retry { after } = decide() {
                assert!(now + after < deadline);
                retries_sent += 1;
            }
        }
        f64::from(retries_sent) <= config.budget_max / 2.0 + config.budget_share * requests as f64
    }
    check_seeded(property as fn(u64) -> bool);
}

/// Agents that restart in turn must not add more retries to a full service than their new requests allow.
#[test]
fn restarts_add_no_retries_if_the_budget_starts_empty() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let deadline = Timestamp::from_ms(60_000);
    let mut retries_of_restarts = |starts_empty| {
        let config = RetryConfig { starts_empty, ..RetryConfig::default() };
        let mut retries_sent = 0;
        for _restart in 0..5 {
            let mut retries = Retries::new(config.clone());
            for _request in 0..100 {
                retries.add_request();
                let mut attempts = Attempts::default();
                let mut decide = || {
                    let ended = attempt(REFUSED);
                    retries.decide(Timestamp::ZERO, deadline, true, &mut attempts, &ended, &mut rng)
                };
                while let RetryVerdict::Retry { .. } = decide() {
                    retries_sent += 1;
                }
            }
        }
        retries_sent
    };
    // The share of the new requests is one in ten. Without the option, each restart adds half a budget of 10.
    let (of_requests, of_restarts) = (5 * 100 / 10, 5 * 10);
    let sent = retries_of_restarts(true);
    assert!((of_requests - 5..=of_requests).contains(&sent), "{sent} retries");
    let sent = retries_of_restarts(false);
    assert!(sent >= of_requests + of_restarts - 5, "{sent} retries");
}

const REFUSED: Outcome = Outcome::NotRun(NotRunReason::Refused);

/// Retries until the verdict is to give up. Returns the number of retries.
fn count_retries(config: &RetryConfig, outcome: Outcome, attempts: Attempts) -> u32 {
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
fn a_request_is_sent_to_no_more_upstreams_than_allowed() {
    let config = RetryConfig { retries_max: 10, ..RetryConfig::default() };
    assert_eq!(count_retries(&config, REFUSED, Attempts::new(2)), 1);
    assert_eq!(count_retries(&config, LOST, Attempts::new(3)), 2);
    // A refusal by a gate does not count, since the request was not sent to its upstream.
    assert_eq!(count_retries(&config, SHED, Attempts::new(1)), 10);
}

#[test]
fn refusals_of_gates_are_not_charged_under_after_upstream() {
    let config = RetryConfig {
        budget_max: 0.0,
        charge: ChargePolicy::AfterUpstream,
        ..RetryConfig::default()
    };
    let unreachable = Outcome::NotRun(NotRunReason::Unreachable);
    assert_eq!(count_retries(&config, unreachable, Attempts::default()), 3);
    assert_eq!(count_retries(&config, REFUSED, Attempts::default()), 0);
}

#[test]
fn a_key_without_an_owner_is_waited_for_up_to_the_limit() {
    let no_owner = Outcome::NotRun(NotRunReason::NoOwner);
    let wait = Duration::from_millis(1500);
    let config = RetryConfig {
        budget_max: 0.0,
        charge: ChargePolicy::AfterUpstream,
        retries_max: 0,
        unowned_wait: wait,
        ..RetryConfig::default()
    };
    let count = count_retries(&config, no_owner, Attempts::default());
    assert!((1500 / 80..=1500 / 40).contains(&count), "{count} retries in {wait:?}");
}

/// If a target is full, up to two others are tried at once; then the caller gets the refusal with the
/// retry-after time, without a wait for a backoff.
#[test]
fn a_full_target_is_followed_by_two_others_at_once() {
    let config = RetryConfig { charge: ChargePolicy::AfterUpstream, ..RetryConfig::default() };
    let mut retries = Retries::new(config);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut attempts = Attempts::default();
    let peer_retry_after = Some(Duration::from_millis(300));
    let mut decide = |has_untried_target| {
        let ended =
            EndedAttempt { retry_after: peer_retry_after, has_untried_target, ..attempt(SHED) };
        let deadline = Timestamp::from_ms(1000);
        retries.decide(Timestamp::ZERO, deadline, true, &mut attempts, &ended, &mut rng)
    };
    let at_once = RetryVerdict::Retry { after: Duration::ZERO };
    assert_eq!(decide(true), at_once);
    assert_eq!(decide(true), at_once);
    assert_eq!(decide(true), RetryVerdict::GiveUp { retry_after: peer_retry_after });
    assert_eq!(decide(false), RetryVerdict::GiveUp { retry_after: peer_retry_after });
}

/// Guards against runs that fail because two further members were full. The limits on upstreams and on other reasons are
/// those of all requests.
#[test]
fn an_express_request_is_tried_at_four_further_full_targets() {
    let config = RetryConfig {
        budget_max: 0.0,
        charge: ChargePolicy::AfterUpstream,
        ..RetryConfig::default()
    };
    let count = |outcome, is_express| {
        let mut retries = Retries::new(config.clone());
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut attempts = Attempts { is_express, ..Attempts::new(1) };
        let ended = EndedAttempt { has_untried_target: true, ..attempt(outcome) };
        let deadline = Timestamp::from_ms(1000);
        let at_once = RetryVerdict::Retry { after: Duration::ZERO };
        let mut decide =
            || retries.decide(Timestamp::ZERO, deadline, true, &mut attempts, &ended, &mut rng);
        (0..10).take_while(|_| decide() == at_once).count()
    };
    assert_eq!((count(SHED, false), count(SHED, true)), (2, 4));
    let draining = Outcome::NotRun(NotRunReason::Draining);
    assert_eq!(count(draining, true), 2);
    assert_eq!(count(REFUSED, true), 0);
}

/// A gate that promised a return to a request which is sent on to another target would keep room in vain.
#[test]
fn no_other_target_is_tried_at_once_after_the_last_attempt() {
    for charge in [ChargePolicy::AfterUpstream, ChargePolicy::EveryRetry] {
        let mut retries = Retries::new(RetryConfig { charge, ..RetryConfig::default() });
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut attempts = Attempts::default();
        let deadline = Timestamp::from_ms(1000);
        assert!(retries.is_last_attempt(&attempts, false));
        let ended = EndedAttempt { has_untried_target: true, ..attempt(SHED) };
        let mut tried = 0;
        while !retries.is_last_attempt(&attempts, true) {
            tried += 1;
            let verdict =
                retries.decide(Timestamp::ZERO, deadline, true, &mut attempts, &ended, &mut rng);
            assert!(matches!(verdict, RetryVerdict::Retry { .. }), "{charge:?}: {verdict:?}");
        }
        let verdict =
            retries.decide(Timestamp::ZERO, deadline, true, &mut attempts, &ended, &mut rng);
        assert!(matches!(verdict, RetryVerdict::GiveUp { .. }), "{charge:?}: {verdict:?}");
        assert!((2..=3).contains(&tried), "{charge:?}: {tried}");
    }
}
