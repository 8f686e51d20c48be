//! Tests of the book of leases.

mod exchange;

use std::{sync::Arc, time::Duration};

use model::{Slot, Term, Timestamp, Token};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::slot_leases::{Call, GrantOutcome, SlotLeases, SlotRange};
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

/// Admits slots and has the upstream take their grants at once.
fn granted(leases: &mut SlotLeases, now: Timestamp, lease_until: Timestamp) {
    for call in leases.due_calls(now, lease_until) {
        let Call::Grant { range, hold, .. } = call else { continue };
        leases.finish_grant(now, range, now, hold, GrantOutcome::Accepted);
    }
}

/// Slots that are closed at an upstream which works on nothing.
fn take_closed(leases: &mut SlotLeases, now: Timestamp) -> Vec<(Slot, Token)> {
    leases.take_closed(now, |_| Timestamp::ZERO)
}

/// The same after the end of a release.
fn release_ended(
    leases: &mut SlotLeases,
    now: Timestamp,
    range: SlotRange,
    is_answered: bool,
) -> Vec<(Slot, Token)> {
    leases.finish_release(now, range, is_answered);
    take_closed(leases, now)
}

#[test]
fn neighbours_under_one_token_are_one_grant() {
    let mut leases = SlotLeases::default();
    for slot in [1, 2, 3, 7] {
        leases.admit(at(0), Slot(slot), token(1));
    }
    leases.admit(at(0), Slot(4), token(2));
    let calls = leases.due_calls(at(0), at(1500));
    assert_eq!(grants(&calls), [range(1, 3, 1), range(4, 4, 2), range(7, 7, 1)]);
    assert!(leases.due_calls(at(0), at(1500)).is_empty(), "they are on their way");
}

#[test]
fn a_slot_is_usable_once_the_upstream_has_taken_its_grant_and_while_it_lasts() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    assert!(!leases.is_usable(at(0), Slot(1)));
    let calls = leases.due_calls(at(0), at(1500));
    assert!(!leases.is_usable(at(0), Slot(1)), "no answer yet");
    let Call::Grant { range, hold, .. } = &calls[0] else { panic!("{calls:?}") };
    assert!(hold.mul_f64(1.02) < 1500 * MS, "a slow clock must not outlast the lease");
    leases.finish_grant(at(5), *range, at(0), *hold, GrantOutcome::Accepted);
    assert!(leases.is_usable(at(1400), Slot(1)));
    assert!(!leases.is_usable(at(1500), Slot(1)));
}

#[test]
fn nothing_is_granted_before_earlier_lives_are_cleared() {
    let mut leases = SlotLeases::default();
    leases.clear(token(1));
    leases.admit(at(0), Slot(1), token(2));
    assert_eq!(leases.due_calls(at(0), at(1500)), [Call::Clear { token: token(1) }]);
    assert!(leases.due_calls(at(100), at(1500)).is_empty(), "the upstream has not answered");
    leases.finish_clear(token(9));
    assert!(leases.due_calls(at(100), at(1500)).is_empty(), "that was another one");
    leases.finish_clear(token(1));
    assert_eq!(grants(&leases.due_calls(at(200), at(1500))), [range(1, 1, 2)]);
}

#[test]
fn renewals_follow_the_lease_but_not_each_step_of_it() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    granted(&mut leases, at(0), at(1500));
    assert!(leases.due_calls(at(100), at(1600)).is_empty());
    assert_eq!(grants(&leases.due_calls(at(400), at(1900))), [range(1, 1, 1)]);
}

#[test]
fn without_a_lease_nothing_is_granted() {
    let mut leases = SlotLeases::default();
    leases.admit(at(1000), Slot(1), token(1));
    assert!(leases.due_calls(at(1000), at(0)).is_empty());
    assert!(leases.due_calls(at(1000), at(1050)).is_empty(), "too short to be of use");
}

#[test]
fn a_closing_slot_is_not_used_and_is_closed_by_the_upstreams_answer() {
    let mut leases = SlotLeases::default();
    for slot in 1..=4 {
        leases.admit(at(0), Slot(slot), token(1));
    }
    granted(&mut leases, at(0), at(1500));
    let successor = instance("other", "127.0.0.1:1".parse().unwrap());
    assert!(leases.close(at(10), Slot(2), token(1), Some(successor.clone())));
    assert!(leases.close(at(10), Slot(3), token(1), Some(successor)));
    assert!(!leases.close(at(10), Slot(3), token(9), None), "another token");
    assert!(!leases.is_usable(at(10), Slot(2)));
    assert!(leases.is_usable(at(10), Slot(1)));
    let calls = leases.due_calls(at(10), at(1500));
    assert_eq!(releases(&calls), [range(2, 3, 1)]);
    assert!(take_closed(&mut leases, at(20)).is_empty());
    let closed = release_ended(&mut leases, at(20), range(2, 3, 1), true);
    assert_eq!(closed, [(Slot(2), token(1)), (Slot(3), token(1))]);
}

/// The upstream never answers a release: the slot is closed once it cannot hold it any more.
#[test]
fn a_lost_release_delays_the_close_until_the_grant_has_run_out() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    granted(&mut leases, at(0), at(3000));
    leases.close(at(0), Slot(1), token(1), None);
    assert_eq!(releases(&leases.due_calls(at(0), at(3000))), [range(1, 1, 1)]);
    assert!(release_ended(&mut leases, at(1800), range(1, 1, 1), false).is_empty());
    assert_eq!(releases(&leases.due_calls(at(1800), at(4000))), [range(1, 1, 1)], "asked again");
    assert!(release_ended(&mut leases, at(2900), range(1, 1, 1), false).is_empty());
    let closed = take_closed(&mut leases, at(3100));
    assert_eq!(closed, [(Slot(1), token(1))]);
}

#[test]
fn a_released_slot_is_closed_when_the_work_on_it_has_ended() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    leases.admit(at(0), Slot(2), token(1));
    granted(&mut leases, at(0), at(1500));
    leases.close(at(10), Slot(1), token(1), None);
    leases.close(at(10), Slot(2), token(1), None);
    assert_eq!(releases(&leases.due_calls(at(10), at(1500))), [range(1, 2, 1)]);
    leases.finish_release(at(20), range(1, 2, 1), true);
    let runs_until = |slot: Slot| if slot == Slot(2) { at(700) } else { at(0) };
    assert_eq!(leases.take_closed(at(20), runs_until), [(Slot(1), token(1))]);
    assert!(leases.due_calls(at(30), at(1500)).is_empty(), "it is not released again");
    assert!(leases.take_closed(at(699), runs_until).is_empty());
    assert_eq!(leases.take_closed(at(700), runs_until), [(Slot(2), token(1))]);
}

#[test]
fn a_slot_that_is_closed_twice_waits_for_its_work_all_the_same() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    granted(&mut leases, at(0), at(1500));
    leases.close(at(10), Slot(1), token(1), None);
    leases.due_calls(at(10), at(1500));
    assert!(leases.close(at(15), Slot(1), token(1), None));
    assert!(leases.due_calls(at(15), at(1500)).is_empty(), "the release is on its way");
    leases.finish_release(at(20), range(1, 1, 1), true);
    assert!(leases.close(at(25), Slot(1), token(1), None));
    assert!(leases.take_closed(at(30), |_| at(700)).is_empty());
    assert_eq!(leases.take_closed(at(700), |_| at(700)), [(Slot(1), token(1))]);
}

#[test]
fn a_released_slot_waits_for_work_no_longer_than_it_would_have_been_held() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    granted(&mut leases, at(0), at(1500));
    leases.close(at(10), Slot(1), token(1), None);
    leases.due_calls(at(10), at(1500));
    leases.finish_release(at(20), range(1, 1, 1), true);
    assert!(leases.take_closed(at(1400), |_| at(6000)).is_empty());
    assert_eq!(leases.take_closed(at(1501), |_| at(6000)), [(Slot(1), token(1))]);
}

#[test]
fn a_handover_token_goes_with_the_grant_that_follows_it() {
    let mut leases = SlotLeases::default();
    leases.store_handover_token(at(0), Slot(2), Slot(3), Arc::from("warm"));
    for slot in 1..=3 {
        leases.admit(at(10), Slot(slot), token(1));
    }
    let calls = leases.due_calls(at(10), at(1500));
    assert_eq!(grants(&calls), [range(1, 1, 1), range(2, 3, 1)]);
    let Call::Grant { handover, .. } = &calls[1] else { panic!("{calls:?}") };
    assert_eq!(handover.as_deref(), Some("warm"));
    granted(&mut leases, at(10), at(1500));
    leases.admit(at(60_000), Slot(2), token(2));
    let calls = leases.due_calls(at(60_000), at(61_500));
    let Some(Call::Grant { handover: None, .. }) = calls.first() else { panic!("{calls:?}") };
}

#[test]
fn another_life_of_the_upstream_holds_nothing() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    granted(&mut leases, at(0), at(1500));
    leases.reset_for_new_incarnation(at(100));
    assert!(!leases.is_usable(at(100), Slot(1)));
}

/// The upstream may take the two in either order.
#[test]
fn a_release_waits_for_a_grant_that_is_on_its_way() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    let calls = leases.due_calls(at(0), at(1500));
    let Call::Grant { range: granted, hold, .. } = &calls[0] else { panic!("{calls:?}") };
    leases.close(at(1), Slot(1), token(1), None);
    assert!(leases.due_calls(at(1), at(1500)).is_empty(), "the grant may arrive after the release");
    leases.finish_grant(at(5), *granted, at(0), *hold, GrantOutcome::Accepted);
    assert_eq!(releases(&leases.due_calls(at(5), at(1500))), [range(1, 1, 1)]);
}

/// A call on its way to the upstream of the random runs.
struct OnItsWay {
    sent_at: Timestamp,
    arrives_at: Timestamp,
    ends_at: Timestamp,
    call: Call,
    is_answered: bool,
    has_arrived: bool,
}

/// What an upstream may hold: slot, token, until when in true time.
type Held = Vec<(u16, u64, Timestamp)>;

/// The call arrives. A grant may be applied at once or later, but its time counts from now.
fn arrive(
    rng: &mut Pcg64Mcg,
    it: &mut OnItsWay,
    held: &mut Held,
    late: &mut Vec<(Timestamp, (u16, u64, Timestamp))>,
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
                    true => late.push((applied_at, grant)),
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

/// An upstream as the platform describes it: calls arrive in any order; grants may be applied late,
/// and then count from when they arrived; its clock may be 2% slow; answers may be lost; it works on slots that
/// it has released. Whatever comes, it holds no slot after the book has said that the slot is closed, nor after
/// the lease, nor works on it under a hold that would last, and is not asked for a slot it does not hold.
#[test]
fn random_upstreams() {
    fn play(seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut leases = SlotLeases::default();
        let mut lease_until = at(0);
        let mut held: Held = Vec::new();
        let mut sequence = 0;
        let mut current: Vec<Option<u64>> = vec![None; 8];
        let mut waiting: Vec<OnItsWay> = Vec::new();
        // Grants without an answer that are still to be applied, and when.
        let mut late: Vec<(Timestamp, (u16, u64, Timestamp))> = Vec::new();
        // Until when it works on each slot, and would hold it if nothing was released.
        let mut runs_until = [Timestamp::ZERO; 8];
        let mut would_hold_until = [Timestamp::ZERO; 8];
        let mut work_rng = Pcg64Mcg::seed_from_u64(!seed);
        for reconcile_by_calls in 0..2000 {
            let now = at(reconcile_by_calls * 5);
            for (_, grant) in late.extract_if(.., |it| it.0 <= now) {
                held.push(grant);
            }
            if rng.random_bool(0.05) {
                lease_until = lease_until.max(now + rng.random_range(500..1500) * MS);
            }
            let slot = rng.random_range(0..8_u16);
            match (rng.random_range(0..50), current[usize::from(slot)]) {
                (0..=3, None) => {
                    sequence += 1;
                    current[usize::from(slot)] = Some(sequence);
                    leases.admit(now, Slot(slot), token(sequence));
                }
                (0, Some(held)) => {
                    leases.close(now, Slot(slot), token(held), None);
                }
                _ => {}
            }
            for call in leases.due_calls(now, lease_until) {
                if let Call::Grant { hold, .. } = &call {
                    let until = now + hold.mul_f64(1.02);
                    assert!(until <= lease_until, "seed {seed}: a grant outlasts the lease");
                }
                let way = rng.random_range(0..20) * MS;
                waiting.push(OnItsWay {
                    sent_at: now,
                    arrives_at: now + way,
                    ends_at: now + way + rng.random_range(0..100) * MS,
                    call,
                    is_answered: rng.random_bool(0.8),
                    has_arrived: false,
                });
            }
            waiting.sort_by_key(|it| it.arrives_at);
            for it in waiting.iter_mut().filter(|it| !it.has_arrived && it.arrives_at <= now) {
                arrive(&mut rng, it, &mut held, &mut late);
            }
            for (slot, _, until) in &held {
                let would_hold = &mut would_hold_until[usize::from(*slot)];
                *would_hold = (*would_hold).max(*until);
            }
            let works = |slot: Slot| runs_until[usize::from(slot.0)];
            let mut closed = leases.take_closed(now, works);
            for it in waiting.extract_if(.., |it| it.ends_at <= now) {
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
                        closed.extend(leases.take_closed(now, works));
                    }
                    Call::Clear { token } => leases.finish_clear(token),
                }
            }
            for (slot, token) in closed {
                let holds = |it: &(u16, u64, Timestamp)| {
                    it.0 == slot.0 && it.1 == token.sequence && now < it.2
                };
                assert!(!held.iter().any(holds), "seed {seed}: closed {slot} is held");
                let at_work_until = works(slot).min(would_hold_until[usize::from(slot.0)]);
                assert!(at_work_until <= now, "seed {seed}: closed {slot} is worked on");
                if current[usize::from(slot.0)] == Some(token.sequence) {
                    current[usize::from(slot.0)] = None;
                }
            }
            for slot in (0..8).filter(|it| leases.is_usable(now, Slot(*it))) {
                let holds = held.iter().any(|it| it.0 == slot && now < it.2);
                assert!(holds, "seed {seed}: {slot} is used but not held");
                if work_rng.random_bool(0.02) {
                    let work = &mut runs_until[usize::from(slot)];
                    *work = (*work).max(now + work_rng.random_range(1..3000) * MS);
                }
            }
        }
    }
    fn property(seed: u64) {
        play(seed);
    }
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(100, 5))
        .quickcheck(property as fn(u64));
}
