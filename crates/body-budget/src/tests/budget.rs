//! Tests of the rules by which bodies share the budget.

use std::time::Duration;

use tokio::time::{advance, timeout};

use super::{BYTES_MAX, request};
use crate::{BodyBudget, BodyKind, BudgetExceeded};

#[test]
fn bodies_together_stay_within_the_budget() {
    let budget = BodyBudget::new(BYTES_MAX);
    let held: Vec<_> = (0..100).filter_map(|_| request(&budget, 100)).collect();
    assert_eq!(held.len(), 5);
    assert_eq!(budget.usage().bytes_held, 500);
    assert_eq!(budget.usage().refused_requests, 95);
    drop(held);
    assert_eq!(budget.usage().bytes_held, 0);
    assert_eq!(budget.usage().bytes_held_max, 500);
}

/// Guards against large bodies that keep out small ones.
#[test]
fn a_small_body_fits_when_a_large_one_does_not() {
    let budget = BodyBudget::new(BYTES_MAX);
    let _large = request(&budget, 500).unwrap();
    assert!(request(&budget, 90).is_none());
    assert!(request(&budget, 10).is_some());
}

/// Guards against small bodies that keep out large ones for ever.
#[test]
fn small_bodies_leave_room_for_large_ones() {
    let budget = BodyBudget::new(BYTES_MAX);
    let small: Vec<_> = (0..1_000).filter_map(|_| request(&budget, 10)).collect();
    assert_eq!(small.len(), 16);
    assert!(request(&budget, 380).is_some());
}

/// Guards against a steady flow of bodies of medium size that keeps out a large one for ever.
#[tokio::test(start_paused = true)]
async fn a_refused_large_body_gets_the_room_that_becomes_free() {
    let budget = BodyBudget::new(BYTES_MAX);
    let mut medium: Vec<_> = (0..5).filter_map(|_| request(&budget, 100)).collect();
    assert!(request(&budget, 500).is_none());
    // Each medium body that ends is replaced by another one, unless the large one has precedence.
    for _ in 0..5 {
        medium.pop();
        medium.extend(request(&budget, 100));
    }
    assert!(medium.is_empty());
    assert!(request(&budget, 10).is_some(), "a small body was held up");
    assert!(request(&budget, 500).is_some());
    assert!(request(&budget, 30).is_some(), "the turn did not end");
}

/// Guards against a large body whose caller does not return, and against large ones that keep out all others in turn.
#[tokio::test(start_paused = true)]
async fn a_turn_ends_and_is_followed_by_a_pause() {
    let budget = BodyBudget::new(BYTES_MAX);
    let medium = request(&budget, 400);
    assert!(request(&budget, 500).is_none());
    assert!(request(&budget, 100).is_none());
    advance(Duration::from_secs(2)).await;
    assert!(request(&budget, 100).is_some());
    assert!(request(&budget, 500).is_none());
    assert!(request(&budget, 100).is_some(), "a turn began without a pause");
    drop(medium);
}

#[test]
fn a_body_that_never_fits_is_told_apart() {
    let budget = BodyBudget::new(BYTES_MAX);
    let refusal = |bytes| budget.reserve(BodyKind::Request, bytes).map(drop);
    assert_eq!(refusal(600), Err(BudgetExceeded { bytes: 600, is_permanent: true }));
    // It gets no precedence.
    assert_eq!(refusal(500), Ok(()));
}

/// Requests hold their room until they are answered, so that answers need room beside them.
#[tokio::test(start_paused = true)]
async fn answers_have_room_beside_requests_and_wait_for_more() {
    let budget = BodyBudget::new(BYTES_MAX);
    let requests: Vec<_> = (0..100).filter_map(|_| request(&budget, 100)).collect();
    let mut answer = budget.reserve(BodyKind::Answer, 30).unwrap();
    let waiting = timeout(Duration::from_secs(60), answer.grow_later(200)).await;
    assert!(waiting.is_err(), "the answer exceeds the budget");
    assert_eq!((answer.bytes(), budget.usage().delayed_answers), (30, 1));
    let growing = timeout(Duration::from_secs(60), answer.grow_later(200));
    let (grown, ()) = tokio::join!(growing, async { drop(requests) });
    assert_eq!(grown, Ok(Ok(())));
    assert_eq!(budget.usage().bytes_held, 230);
    let never = answer.grow_later(BYTES_MAX).await;
    assert!(never.is_err_and(|it| it.is_permanent));
}

#[test]
fn bytes_in_memory_count_also_beyond_the_budget() {
    let budget = BodyBudget::new(BYTES_MAX);
    let held = budget.hold(BodyKind::Answer, 700);
    assert!(request(&budget, 1).is_none());
    drop(held);
    assert!(request(&budget, 1).is_some());
    assert_eq!(budget.usage().bytes_held, 0);
}
