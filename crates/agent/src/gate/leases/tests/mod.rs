//! Tests of the leases of slots.

mod exchange;
mod lives;

use std::{sync::Arc, time::Duration};

use model::{Slot, Term, Timestamp, Token};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use model::Instance;
use upstream::HandoverToken;

use super::slot_leases::{self, GrantOutcome, SlotLeases, SlotRange, StartedGrant};
use crate::tests::fakes::instance;

const MS: Duration = Duration::from_millis(1);

fn token(sequence: u64) -> Token {
    Token { term: Term(1), sequence }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(ms)
}

fn range(first: u16, last: u16, sequence: u64) -> SlotRange {
    SlotRange { first: Slot(first), last: Slot(last), token: token(sequence) }
}

/// More than the number of slots in any test.
const GRANTS_MAX: usize = 100;

/// A call that has been sent; a grant had its connection at once.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Call {
    Grant { range: SlotRange, hold: Duration, handover: Option<HandoverToken> },
    Release { range: SlotRange, successor: Option<Instance>, wait_max: Duration },
    Clear { token: Token },
}

/// Sends the calls that are due.
fn due_calls(leases: &mut SlotLeases, now: Timestamp, lease_until: Timestamp) -> Vec<Call> {
    let mut calls = Vec::new();
    // Slots that are not granted together become due again.
    for _ in 0..GRANTS_MAX {
        let due = leases.due_calls(now, lease_until);
        if due.is_empty() {
            return calls;
        }
        for call in due {
            calls.extend(start(leases, now, lease_until, call));
        }
    }
    panic!("calls are due that are never started");
}

fn start(
    leases: &mut SlotLeases,
    now: Timestamp,
    lease_until: Timestamp,
    call: slot_leases::Call,
) -> Option<Call> {
    Some(match call {
        slot_leases::Call::Grant { range } => {
            let started = leases.start_grant(now, lease_until, range)?;
            let StartedGrant { range, hold, handover } = started;
            Call::Grant { range, hold, handover }
        }
        slot_leases::Call::Release { range, successor, wait_max } => {
            Call::Release { range, successor, wait_max }
        }
        slot_leases::Call::Clear { token } => Call::Clear { token },
    })
}

fn grants(calls: &[Call]) -> Vec<SlotRange> {
    let range = |it: &Call| match it {
        Call::Grant { range, .. } => Some(*range),
        Call::Release { .. } | Call::Clear { .. } => None,
    };
    calls.iter().filter_map(range).collect()
}

fn releases(calls: &[Call]) -> Vec<SlotRange> {
    let range = |it: &Call| match it {
        Call::Release { range, .. } => Some(*range),
        Call::Grant { .. } | Call::Clear { .. } => None,
    };
    calls.iter().filter_map(range).collect()
}

/// Sends the due grants and has the upstream accept them at once.
fn accept_due_grants(leases: &mut SlotLeases, now: Timestamp, lease_until: Timestamp) {
    for call in due_calls(leases, now, lease_until) {
        let Call::Grant { range, hold, .. } = call else { continue };
        leases.finish_grant(now, range, now, hold, GrantOutcome::Accepted);
    }
}

/// Returns the closed slots of an upstream that runs no requests.
fn take_closed(leases: &mut SlotLeases, now: Timestamp) -> Vec<(Slot, Token)> {
    leases.take_closed(now, |_| Timestamp::ZERO)
}

/// Ends a release, then returns the closed slots of an upstream that runs no requests.
fn finish_release(
    leases: &mut SlotLeases,
    now: Timestamp,
    range: SlotRange,
    is_answered: bool,
) -> Vec<(Slot, Token)> {
    leases.finish_release(now, range, is_answered);
    take_closed(leases, now)
}

#[test]
fn adjacent_slots_under_one_token_are_granted_in_one_call() {
    let mut leases = SlotLeases::default();
    for slot in [1, 2, 3, 7] {
        leases.admit(at(0), Slot(slot), token(1));
    }
    leases.admit(at(0), Slot(4), token(2));
    let calls = due_calls(&mut leases, at(0), at(1500));
    assert_eq!(grants(&calls), [range(1, 3, 1), range(4, 4, 2), range(7, 7, 1)]);
    assert!(due_calls(&mut leases, at(0), at(1500)).is_empty(), "the grants are in flight");
}

#[test]
fn a_slot_is_usable_from_the_acceptance_of_its_grant_to_the_end_of_its_hold() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    assert!(!leases.is_usable(at(0), Slot(1)));
    let calls = due_calls(&mut leases, at(0), at(1500));
    assert!(!leases.is_usable(at(0), Slot(1)), "the grant has not been answered");
    let Call::Grant { range, hold, .. } = &calls[0] else { panic!("{calls:?}") };
    assert!(
        hold.mul_f64(1.02) < 1500 * MS,
        "the hold must end before the lease even on a slow clock"
    );
    leases.finish_grant(at(5), *range, at(0), *hold, GrantOutcome::Accepted);
    assert!(leases.is_usable(at(1400), Slot(1)));
    assert!(!leases.is_usable(at(1500), Slot(1)));
}

#[test]
fn nothing_is_granted_before_the_grants_of_earlier_incarnations_are_released() {
    let mut leases = SlotLeases::default();
    leases.clear(token(1));
    leases.admit(at(0), Slot(1), token(2));
    assert_eq!(due_calls(&mut leases, at(0), at(1500)), [Call::Clear { token: token(1) }]);
    assert!(due_calls(&mut leases, at(100), at(1500)).is_empty(), "the upstream has not answered");
    leases.finish_clear(token(9));
    assert!(
        due_calls(&mut leases, at(100), at(1500)).is_empty(),
        "the end of another revocation must not end this one"
    );
    leases.finish_clear(token(1));
    assert_eq!(grants(&due_calls(&mut leases, at(200), at(1500))), [range(1, 1, 2)]);
}

#[test]
fn a_grant_is_renewed_only_if_the_lease_has_grown_enough() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    accept_due_grants(&mut leases, at(0), at(1500));
    assert!(due_calls(&mut leases, at(100), at(1600)).is_empty());
    assert_eq!(grants(&due_calls(&mut leases, at(400), at(1900))), [range(1, 1, 1)]);
}

#[test]
fn nothing_is_granted_without_a_lease() {
    let mut leases = SlotLeases::default();
    leases.admit(at(1000), Slot(1), token(1));
    assert!(due_calls(&mut leases, at(1000), at(0)).is_empty());
    assert!(
        due_calls(&mut leases, at(1000), at(1050)).is_empty(),
        "a hold this short must not be granted"
    );
}

#[test]
fn a_closing_slot_is_not_usable_and_is_closed_by_the_answer_to_its_release() {
    let mut leases = SlotLeases::default();
    for slot in 1..=4 {
        leases.admit(at(0), Slot(slot), token(1));
    }
    accept_due_grants(&mut leases, at(0), at(1500));
    let successor = instance("other", "127.0.0.1:1".parse().unwrap());
    assert!(leases.close(at(10), Slot(2), token(1), Some(successor.clone())));
    assert!(leases.close(at(10), Slot(3), token(1), Some(successor)));
    assert!(
        !leases.close(at(10), Slot(3), token(9), None),
        "the slot is not held under this token"
    );
    assert!(!leases.is_usable(at(10), Slot(2)));
    assert!(leases.is_usable(at(10), Slot(1)));
    let calls = due_calls(&mut leases, at(10), at(1500));
    assert_eq!(releases(&calls), [range(2, 3, 1)]);
    assert!(take_closed(&mut leases, at(20)).is_empty());
    let closed = finish_release(&mut leases, at(20), range(2, 3, 1), true);
    assert_eq!(closed, [(Slot(2), token(1)), (Slot(3), token(1))]);
}

/// The upstream never answers a release, so the slot is closed once its hold has expired.
#[test]
fn an_unanswered_release_delays_the_close_until_the_hold_has_expired() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    accept_due_grants(&mut leases, at(0), at(3000));
    leases.close(at(0), Slot(1), token(1), None);
    assert_eq!(releases(&due_calls(&mut leases, at(0), at(3000))), [range(1, 1, 1)]);
    assert!(finish_release(&mut leases, at(1800), range(1, 1, 1), false).is_empty());
    assert_eq!(
        releases(&due_calls(&mut leases, at(1800), at(4000))),
        [range(1, 1, 1)],
        "the release must be retried"
    );
    assert!(finish_release(&mut leases, at(2900), range(1, 1, 1), false).is_empty());
    let closed = take_closed(&mut leases, at(3100));
    assert_eq!(closed, [(Slot(1), token(1))]);
}

#[test]
fn a_released_slot_is_closed_when_its_requests_have_ended() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    leases.admit(at(0), Slot(2), token(1));
    accept_due_grants(&mut leases, at(0), at(1500));
    leases.close(at(10), Slot(1), token(1), None);
    leases.close(at(10), Slot(2), token(1), None);
    assert_eq!(releases(&due_calls(&mut leases, at(10), at(1500))), [range(1, 2, 1)]);
    leases.finish_release(at(20), range(1, 2, 1), true);
    let runs_until = |slot: Slot| if slot == Slot(2) { at(700) } else { at(0) };
    assert_eq!(leases.take_closed(at(20), runs_until), [(Slot(1), token(1))]);
    assert!(
        due_calls(&mut leases, at(30), at(1500)).is_empty(),
        "an answered release must not be repeated"
    );
    assert!(leases.take_closed(at(699), runs_until).is_empty());
    assert_eq!(leases.take_closed(at(700), runs_until), [(Slot(2), token(1))]);
}

#[test]
fn a_slot_that_is_closed_twice_still_waits_for_its_requests() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    accept_due_grants(&mut leases, at(0), at(1500));
    leases.close(at(10), Slot(1), token(1), None);
    due_calls(&mut leases, at(10), at(1500));
    assert!(leases.close(at(15), Slot(1), token(1), None));
    assert!(due_calls(&mut leases, at(15), at(1500)).is_empty(), "the release is in flight");
    leases.finish_release(at(20), range(1, 1, 1), true);
    assert!(leases.close(at(25), Slot(1), token(1), None));
    assert!(leases.take_closed(at(30), |_| at(700)).is_empty());
    assert_eq!(leases.take_closed(at(700), |_| at(700)), [(Slot(1), token(1))]);
}

#[test]
fn a_released_slot_waits_for_its_requests_at_most_until_the_end_of_its_hold() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    accept_due_grants(&mut leases, at(0), at(1500));
    leases.close(at(10), Slot(1), token(1), None);
    due_calls(&mut leases, at(10), at(1500));
    leases.finish_release(at(20), range(1, 1, 1), true);
    assert!(leases.take_closed(at(1400), |_| at(6000)).is_empty());
    assert_eq!(leases.take_closed(at(1501), |_| at(6000)), [(Slot(1), token(1))]);
}

#[test]
fn a_handover_token_is_passed_with_the_next_grant_of_its_slots() {
    let mut leases = SlotLeases::default();
    leases.store_handover_token(at(0), Slot(2), Slot(3), Arc::from("warm"));
    for slot in 1..=3 {
        leases.admit(at(10), Slot(slot), token(1));
    }
    let calls = due_calls(&mut leases, at(10), at(1500));
    assert_eq!(grants(&calls), [range(1, 1, 1), range(2, 3, 1)]);
    let Call::Grant { handover, .. } = &calls[1] else { panic!("{calls:?}") };
    assert_eq!(handover.as_deref(), Some("warm"));
    accept_due_grants(&mut leases, at(10), at(1500));
    leases.admit(at(60_000), Slot(2), token(2));
    let calls = due_calls(&mut leases, at(60_000), at(61_500));
    let Some(Call::Grant { handover: None, .. }) = calls.first() else { panic!("{calls:?}") };
}

#[test]
fn a_new_incarnation_of_the_upstream_holds_no_slots() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    accept_due_grants(&mut leases, at(0), at(1500));
    leases.reset_for_new_incarnation(at(100));
    assert!(!leases.is_usable(at(100), Slot(1)));
}

/// Guards against the next incarnation that takes the keys of an ended one under the same token.
#[test]
fn slots_of_an_ended_incarnation_are_granted_again_only_under_a_new_token() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    accept_due_grants(&mut leases, at(0), at(1500));
    leases.reset_for_new_incarnation(at(100));
    assert!(due_calls(&mut leases, at(600), at(2100)).is_empty());
    leases.admit(at(700), Slot(1), token(2));
    assert_eq!(grants(&due_calls(&mut leases, at(700), at(2200))), [range(1, 1, 2)]);
}

/// Guards against requests that the next incarnation has to refuse.
#[test]
fn a_late_answer_of_an_ended_incarnation_makes_no_slot_usable() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    let calls = due_calls(&mut leases, at(0), at(1500));
    let Call::Grant { range, hold, .. } = &calls[0] else { panic!("{calls:?}") };
    leases.reset_for_new_incarnation(at(100));
    leases.finish_grant(at(110), *range, at(0), *hold, GrantOutcome::Accepted);
    assert!(!leases.is_usable(at(110), Slot(1)));
}

/// Guards against keys that stay with an ended incarnation until its grants have expired.
#[test]
fn a_closing_slot_of_an_ended_incarnation_is_closed_at_once() {
    for is_release_sent in [false, true] {
        let mut leases = SlotLeases::default();
        leases.admit(at(0), Slot(1), token(1));
        accept_due_grants(&mut leases, at(0), at(3000));
        leases.close(at(10), Slot(1), token(1), None);
        if is_release_sent {
            assert_eq!(releases(&due_calls(&mut leases, at(10), at(3000))), [range(1, 1, 1)]);
        }
        leases.reset_for_new_incarnation(at(100));
        assert!(
            due_calls(&mut leases, at(100), at(3000)).is_empty(),
            "nobody is left to release it"
        );
        assert_eq!(take_closed(&mut leases, at(100)), [(Slot(1), token(1))]);
    }
}

/// Another incarnation may have been bound since the one that has ended.
#[test]
fn the_end_of_another_incarnation_changes_no_lease() {
    let (ended, running) = ((Some("i-1".into()), None), (Some("i-2".into()), None));
    let mut leases = SlotLeases::default();
    leases.follow_incarnation(at(0), &running);
    leases.admit(at(0), Slot(1), token(1));
    accept_due_grants(&mut leases, at(0), at(1500));
    leases.end_incarnation(at(100), &ended);
    assert!(leases.is_usable(at(100), Slot(1)));
    leases.end_incarnation(at(100), &running);
    assert!(!leases.is_usable(at(100), Slot(1)));
}

/// Guards against a slot that is closed late although the upstream never got the grant.
#[test]
fn a_grant_that_was_not_sent_extends_no_hold() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    let calls = due_calls(&mut leases, at(0), at(1500));
    let Call::Grant { range: granted, hold, .. } = &calls[0] else { panic!("{calls:?}") };
    leases.finish_grant(at(5), *granted, at(0), *hold, GrantOutcome::NotSent);
    assert!(!leases.is_usable(at(5), Slot(1)));
    assert!(due_calls(&mut leases, at(5), at(1500)).is_empty(), "the next attempt has a delay");
    leases.close(at(10), Slot(1), token(1), None);
    assert!(due_calls(&mut leases, at(10), at(1500)).is_empty(), "there is nothing to release");
    assert_eq!(take_closed(&mut leases, at(10)), [(Slot(1), token(1))]);
}

#[test]
fn a_renewal_that_was_not_sent_leaves_the_hold_of_the_grant_before() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    accept_due_grants(&mut leases, at(0), at(1500));
    let calls = due_calls(&mut leases, at(400), at(1900));
    let Call::Grant { range: granted, hold, .. } = &calls[0] else { panic!("{calls:?}") };
    leases.finish_grant(at(405), *granted, at(400), *hold, GrantOutcome::NotSent);
    assert!(leases.is_usable(at(1400), Slot(1)));
    leases.close(at(1400), Slot(1), token(1), None);
    assert_eq!(releases(&due_calls(&mut leases, at(1400), at(1900))), [range(1, 1, 1)]);
    assert!(finish_release(&mut leases, at(1450), range(1, 1, 1), false).is_empty());
    assert!(take_closed(&mut leases, at(1499)).is_empty(), "the first grant still holds");
}

/// Guards against a grant that is sent after its slot was taken back while it waited for its connection.
#[test]
fn a_grant_leaves_out_slots_that_have_changed_since_it_was_due() {
    let mut leases = SlotLeases::default();
    for slot in 1..=3 {
        leases.admit(at(0), Slot(slot), token(1));
    }
    let due = [slot_leases::Call::Grant { range: range(1, 3, 1) }];
    assert_eq!(leases.due_calls(at(0), at(1500)), due);
    leases.close(at(10), Slot(1), token(1), None);
    leases.admit(at(10), Slot(2), token(2));
    let started = leases.start_grant(at(20), at(1500), range(1, 3, 1));
    assert_eq!(started.map(|it| it.range), Some(range(3, 3, 1)));
    leases.close(at(30), Slot(3), token(1), None);
    assert!(leases.start_grant(at(30), at(1500), range(1, 3, 1)).is_none());
}

/// Guards against a grant that is sent before the grants of earlier sessions are released, which would undo it.
#[test]
fn no_grant_that_was_due_before_is_started_while_the_upstream_is_cleared() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    assert_eq!(leases.due_calls(at(0), at(1500)).len(), 1);
    leases.clear(token(9));
    assert!(leases.start_grant(at(10), at(1500), range(1, 1, 1)).is_none());
}

/// The upstream may process the two calls in either order.
#[test]
fn a_release_waits_for_a_grant_in_flight() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    let calls = due_calls(&mut leases, at(0), at(1500));
    let Call::Grant { range: granted, hold, .. } = &calls[0] else { panic!("{calls:?}") };
    leases.close(at(1), Slot(1), token(1), None);
    assert!(
        due_calls(&mut leases, at(1), at(1500)).is_empty(),
        "the grant may arrive after the release"
    );
    leases.finish_grant(at(5), *granted, at(0), *hold, GrantOutcome::Accepted);
    assert_eq!(releases(&due_calls(&mut leases, at(5), at(1500))), [range(1, 1, 1)]);
}

/// A call in flight to the upstream of the randomized test.
struct CallInFlight {
    sent_at: Timestamp,
    arrives_at: Timestamp,
    ends_at: Timestamp,
    call: Call,
    is_answered: bool,
    has_arrived: bool,
}

/// Slots that the upstream holds: slot, token, and the end of the hold in true time.
type HeldSlots = Vec<(u16, u64, Timestamp)>;

/// Delivers a call. A grant may be applied at once or later, but its hold counts from the arrival.
fn deliver(
    rng: &mut Pcg64Mcg,
    it: &mut CallInFlight,
    held: &mut HeldSlots,
    late_grants: &mut Vec<(Timestamp, (u16, u64, Timestamp))>,
) {
    it.has_arrived = true;
    match &it.call {
        Call::Grant { range, hold, .. } => {
            let until = it.arrives_at + hold.mul_f64(1.02);
            let is_late = !it.is_answered && rng.random_bool(0.5);
            let applied_at = it.arrives_at + rng.random_range(0..1000) * MS;
            for slot in range.first.0..=range.last.0 {
                let grant = (slot, range.token.sequence, until);
                match is_late {
                    true => late_grants.push((applied_at, grant)),
                    false => held.push(grant),
                }
            }
        }
        Call::Release { range, .. } => {
            let slots = range.first.0..=range.last.0;
            held.retain(|it| !slots.contains(&it.0) || it.1 != range.token.sequence);
        }
        Call::Clear { token } => held.retain(|it| it.1 > token.sequence),
    }
}

/// Guards against a slot that counts as closed while the upstream still holds it or runs requests
/// on it. Calls arrive in any order, grants are applied late, answers are lost, the upstream's
/// clock is up to 2% slow, and it continues requests on released slots. No slot may be held after
/// it was reported as closed or after the lease, no request may run under a hold that would still
/// last, and no request may be sent for a slot that is not held.
#[test]
fn no_slot_is_closed_while_a_random_upstream_holds_it() {
    fn simulate(seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut leases = SlotLeases::default();
        let mut lease_until = at(0);
        let mut held: HeldSlots = Vec::new();
        let mut sequence = 0;
        let mut admitted_tokens: Vec<Option<u64>> = vec![None; 8];
        let mut in_flight: Vec<CallInFlight> = Vec::new();
        // Unanswered grants that are still to be applied, with the time at which they are.
        let mut late_grants: Vec<(Timestamp, (u16, u64, Timestamp))> = Vec::new();
        // Latest end of the requests on each slot, and of its hold if nothing were released.
        let mut runs_until = [Timestamp::ZERO; 8];
        let mut would_hold_until = [Timestamp::ZERO; 8];
        let mut request_rng = Pcg64Mcg::seed_from_u64(!seed);
        for step in 0..2000 {
            let now = at(step * 5);
            for (_, grant) in late_grants.extract_if(.., |it| it.0 <= now) {
                held.push(grant);
            }
            if rng.random_bool(0.05) {
                lease_until = lease_until.max(now + rng.random_range(500..1500) * MS);
            }
            let slot = rng.random_range(0..8_u16);
            match (rng.random_range(0..50), admitted_tokens[usize::from(slot)]) {
                (0..=3, None) => {
                    sequence += 1;
                    admitted_tokens[usize::from(slot)] = Some(sequence);
                    leases.admit(now, Slot(slot), token(sequence));
                }
                (0, Some(held)) => {
                    leases.close(now, Slot(slot), token(held), None);
                }
                _ => {}
            }
            for call in due_calls(&mut leases, now, lease_until) {
                if let Call::Grant { hold, .. } = &call {
                    let until = now + hold.mul_f64(1.02);
                    assert!(until <= lease_until, "seed {seed}: a grant outlasts the lease");
                }
                let latency = rng.random_range(0..20) * MS;
                in_flight.push(CallInFlight {
                    sent_at: now,
                    arrives_at: now + latency,
                    ends_at: now + latency + rng.random_range(0..100) * MS,
                    call,
                    is_answered: rng.random_bool(0.8),
                    has_arrived: false,
                });
            }
            in_flight.sort_by_key(|it| it.arrives_at);
            for it in in_flight.iter_mut().filter(|it| !it.has_arrived && it.arrives_at <= now) {
                deliver(&mut rng, it, &mut held, &mut late_grants);
            }
            for (slot, _, until) in &held {
                let would_hold = &mut would_hold_until[usize::from(*slot)];
                *would_hold = (*would_hold).max(*until);
            }
            let request_end = |slot: Slot| runs_until[usize::from(slot.0)];
            let mut closed = leases.take_closed(now, request_end);
            for it in in_flight.extract_if(.., |it| it.ends_at <= now) {
                match it.call {
                    Call::Grant { range, hold, .. } => {
                        let end = if it.is_answered {
                            GrantOutcome::Accepted
                        } else {
                            GrantOutcome::Unknown
                        };
                        leases.finish_grant(now, range, it.sent_at, hold, end);
                    }
                    Call::Release { range, .. } => {
                        leases.finish_release(now, range, it.is_answered);
                        closed.extend(leases.take_closed(now, request_end));
                    }
                    Call::Clear { token } => leases.finish_clear(token),
                }
            }
            for (slot, token) in closed {
                let holds = |it: &(u16, u64, Timestamp)| {
                    it.0 == slot.0 && it.1 == token.sequence && now < it.2
                };
                assert!(
                    !held.iter().any(holds),
                    "seed {seed}: slot {slot} was closed at {now:?} while the upstream holds it"
                );
                let request_ends_at = request_end(slot).min(would_hold_until[usize::from(slot.0)]);
                assert!(
                    request_ends_at <= now,
                    "seed {seed}: slot {slot} was closed at {now:?} while a request runs on it"
                );
                if admitted_tokens[usize::from(slot.0)] == Some(token.sequence) {
                    admitted_tokens[usize::from(slot.0)] = None;
                }
            }
            for slot in (0..8).filter(|it| leases.is_usable(now, Slot(*it))) {
                let holds = held.iter().any(|it| it.0 == slot && now < it.2);
                assert!(
                    holds,
                    "seed {seed}: slot {slot} is usable at {now:?} but the upstream does not hold it"
                );
                if request_rng.random_bool(0.02) {
                    let request_end = &mut runs_until[usize::from(slot)];
                    *request_end = (*request_end).max(now + request_rng.random_range(1..3000) * MS);
                }
            }
        }
    }
    fn property(seed: u64) {
        simulate(seed);
    }
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(100, 5))
        .quickcheck(property as fn(u64));
}
