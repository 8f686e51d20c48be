//! Tests of leases that are granted by the answers to announcements.

use std::collections::BTreeMap;

use model::{Slot, Timestamp, Token};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{MS, at, finish_release, range, take_closed, token};
use crate::{
    gate::leases::{
        exchange::{AnnouncedSlots, AnnouncementAnswer, ReleasedRange, SlotTransfer},
        slot_leases::{SlotLeases, SlotRange},
    },
    tests::fakes::instance,
};

const RANGES_MAX: usize = 20;

fn announced(held: &[SlotRange]) -> AnnouncedSlots {
    AnnouncedSlots { held: held.to_vec(), released: Vec::new() }
}

fn ranges(answer: &AnnouncementAnswer) -> Vec<SlotRange> {
    answer.grants.iter().map(|it| it.0).collect()
}

fn answer(leases: &mut SlotLeases, now: u64, lease_until: u64) -> AnnouncementAnswer {
    leases.answer(at(now), at(now), at(lease_until), RANGES_MAX)
}

/// Leases of slots 1 to 4, granted at 0 under token 1 and confirmed by an announcement at 870.
fn granted_leases() -> SlotLeases {
    let mut leases = SlotLeases::default();
    for slot in 1..=4 {
        leases.admit(at(0), Slot(slot), token(1));
    }
    assert_eq!(ranges(&answer(&mut leases, 0, 2500)), [range(1, 4, 1)]);
    leases.apply_announcement(at(870), &announced(&[range(1, 4, 1)]));
    leases
}

#[test]
fn an_answer_grants_all_admitted_slots_for_no_longer_than_the_lease() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    assert!(leases.has_pending_changes(at(0), at(2500)));
    // The announcement is received 500 ms before it is answered; the hold counts from its receipt.
    let answer = leases.answer(at(500), at(0), at(2500), RANGES_MAX);
    assert!(answer.hold.mul_f64(1.02) <= 2500 * MS, "{answer:?}");
    assert!(!leases.has_pending_changes(at(500), at(2500)));
    assert!(!leases.is_usable(at(500), Slot(1)), "the upstream has not read the answer yet");
    assert!(leases.is_usable(at(510), Slot(1)));
    assert!(!leases.is_usable(at(2500), Slot(1)));
}

#[test]
fn nothing_is_granted_without_a_lease() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    assert!(!leases.has_pending_changes(at(0), at(0)));
    assert_eq!(ranges(&answer(&mut leases, 0, 0)), []);
}

#[test]
fn a_slot_is_closed_once_an_announcement_shows_it_released() {
    let mut leases = granted_leases();
    let successor = instance("other", "127.0.0.1:1".parse().unwrap());
    assert!(leases.close(at(900), Slot(2), token(1), Some(successor.clone())));
    assert!(leases.has_pending_changes(at(900), at(3400)));
    assert_eq!(ranges(&answer(&mut leases, 900, 3400)), [range(1, 1, 1), range(3, 4, 1)]);
    let effects = leases.apply_announcement(at(1000), &announced(&[range(1, 4, 1)]));
    assert!(effects.transfers.is_empty(), "the slot still has a request running");
    assert!(effects.is_releasing, "the announcement must be answered at once");
    let released = ReleasedRange { first: Slot(2), last: Slot(2), handover: "warm".into() };
    let next =
        AnnouncedSlots { held: vec![range(1, 1, 1), range(3, 4, 1)], released: vec![released] };
    let effects = leases.apply_announcement(at(1100), &next);
    let transfer = SlotTransfer {
        range: range(2, 2, 1),
        successor: Some(successor),
        handover: Some("warm".into()),
    };
    assert_eq!(effects.transfers, [transfer]);
    assert!(
        take_closed(&mut leases, at(1100)).is_empty(),
        "the handover token has not reached the next owner"
    );
    assert_eq!(finish_release(&mut leases, at(1101), range(2, 2, 1), true), [(Slot(2), token(1))]);
}

/// The upstream may read the answer that grants the slot after it has sent the announcement that
/// lacks it.
#[test]
fn a_slot_just_granted_is_not_closed_by_an_announcement_that_lacks_it() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    answer(&mut leases, 0, 2500);
    leases.close(at(10), Slot(1), token(1), None);
    answer(&mut leases, 100, 2600);
    assert!(leases.apply_announcement(at(200), &announced(&[])).transfers.is_empty());
    assert!(take_closed(&mut leases, at(200)).is_empty());
    assert_eq!(leases.apply_announcement(at(1200), &announced(&[])).transfers.len(), 1);
}

/// An answer that renews the slot may still be in flight to an upstream whose hold has just
/// expired.
#[test]
fn a_slot_that_no_answer_omitted_is_not_closed_by_an_announcement_that_lacks_it() {
    let mut leases = granted_leases();
    answer(&mut leases, 900, 3400);
    leases.close(at(950), Slot(1), token(1), None);
    assert!(leases.apply_announcement(at(960), &announced(&[range(2, 4, 1)])).transfers.is_empty());
}

#[test]
fn a_slot_that_was_never_granted_is_closed_at_once() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    assert!(leases.close(at(10), Slot(1), token(1), None));
    assert_eq!(take_closed(&mut leases, at(10)), [(Slot(1), token(1))]);
}

/// Guards against the next incarnation that is granted the keys of an ended one under the same token.
#[test]
fn an_answer_to_the_next_incarnation_grants_nothing_of_the_one_before() {
    let mut leases = granted_leases();
    leases.reset_for_new_incarnation(at(500));
    assert!(!leases.has_pending_changes(at(500), at(3000)));
    assert_eq!(ranges(&answer(&mut leases, 500, 3000)), []);
    leases.admit(at(600), Slot(1), token(2));
    assert_eq!(ranges(&answer(&mut leases, 600, 3100)), [range(1, 1, 2)]);
}

#[test]
fn without_announcements_a_slot_is_closed_when_its_hold_has_expired() {
    let mut leases = granted_leases();
    leases.close(at(900), Slot(1), token(1), None);
    assert!(take_closed(&mut leases, at(2400)).is_empty());
    assert_eq!(take_closed(&mut leases, at(2700)), [(Slot(1), token(1))]);
}

#[test]
fn grants_of_an_earlier_incarnation_of_the_agent_are_released_before_anything_is_granted() {
    let mut leases = SlotLeases::default();
    leases.apply_announcement(at(0), &announced(&[range(0, 7, 1)]));
    leases.clear(token(5));
    leases.admit(at(0), Slot(1), token(6));
    assert!(leases.has_pending_changes(at(0), at(2500)));
    assert_eq!(ranges(&answer(&mut leases, 0, 2500)), []);
    assert_eq!(leases.take_cleared(), None);
    let released = ReleasedRange { first: Slot(0), last: Slot(7), handover: "warm".into() };
    leases.apply_announcement(
        at(100),
        &AnnouncedSlots { held: vec![range(3, 3, 1)], released: vec![released] },
    );
    assert_eq!(leases.take_cleared(), None, "a slot still has a request running");
    answer(&mut leases, 100, 2500);
    leases.apply_announcement(at(200), &announced(&[]));
    assert_eq!(leases.take_cleared(), Some(token(5)));
    let answer = answer(&mut leases, 200, 2700);
    assert_eq!(
        answer.grants,
        [(range(1, 1, 6), Some("warm".into()))],
        "the grant must pass on the handover token"
    );
}

/// An announcement that was sent before the first answer may be older than the last grant of an
/// earlier incarnation.
#[test]
fn an_upstream_counts_as_cleared_only_after_an_answer_that_grants_nothing() {
    let mut leases = SlotLeases::default();
    leases.apply_announcement(at(0), &announced(&[]));
    leases.clear(token(5));
    assert_eq!(leases.take_cleared(), None);
    answer(&mut leases, 0, 2500);
    leases.apply_announcement(at(870), &announced(&[]));
    assert_eq!(leases.take_cleared(), Some(token(5)));
}

#[test]
fn a_new_incarnation_of_the_upstream_holds_no_slots_and_is_cleared_at_once() {
    let mut leases = granted_leases();
    leases.follow_incarnation(at(900), &(Some("i-1".into()), Some(1)));
    assert!(
        leases.is_usable(at(900), Slot(1)),
        "the first known incarnation must not reset the leases"
    );
    leases.follow_incarnation(at(900), &(Some("i-1".into()), Some(2)));
    assert!(!leases.is_usable(at(900), Slot(1)));
    leases.clear(token(5));
    assert_eq!(leases.take_cleared(), Some(token(5)));
}

#[test]
fn a_token_that_never_takes_effect_is_reported_as_refused() {
    let mut leases = SlotLeases::default();
    leases.admit(at(0), Slot(1), token(1));
    for round in 0..2 {
        answer(&mut leases, round * 870, 5000);
        assert_eq!(
            leases.apply_announcement(at(round * 870 + 870), &announced(&[])).refused_token,
            None
        );
        assert!(
            !leases.is_usable(at(round * 870 + 870), Slot(1)),
            "the upstream does not hold the slot"
        );
    }
    answer(&mut leases, 1740, 5000);
    assert_eq!(leases.apply_announcement(at(2610), &announced(&[])).refused_token, Some(token(1)));
}

#[test]
fn late_and_duplicate_announcements_are_rejected() {
    let mut leases = SlotLeases::default();
    assert!(leases.accept_sequence(3));
    assert!(!leases.accept_sequence(3) && !leases.accept_sequence(2));
    assert!(leases.accept_sequence(4));
}

/// The upstream releases every slot that an answer omits, so an answer without room must not omit
/// held slots.
#[test]
fn if_ranges_do_not_fit_new_ones_are_deferred_and_held_ones_stay() {
    let mut leases = SlotLeases::default();
    for slot in 0..100 {
        leases.admit(at(0), Slot(slot * 2), token(1));
    }
    let first = answer(&mut leases, 0, 2500);
    assert_eq!(
        first.grants.len(),
        RANGES_MAX * 3 / 4,
        "room must be left for ranges that are split"
    );
    assert_eq!(first.deferred, 100 - RANGES_MAX * 3 / 4);
    leases.apply_announcement(at(870), &announced(&ranges(&first)));
    assert_eq!(ranges(&answer(&mut leases, 870, 3370)), ranges(&first));
}

#[test]
fn if_split_ranges_do_not_fit_slots_are_released_later() {
    let mut leases = SlotLeases::default();
    for slot in 0..100 {
        leases.admit(at(0), Slot(slot), token(1));
    }
    answer(&mut leases, 0, 2500);
    leases.apply_announcement(at(870), &announced(&[range(0, 99, 1)]));
    for slot in 0..50 {
        leases.close(at(900), Slot(slot * 2), token(1), None);
    }
    assert_eq!(ranges(&answer(&mut leases, 900, 3400)), [range(0, 99, 1)]);
    assert!(
        leases.has_pending_changes(at(901), at(3400)),
        "the closed slots must still be released"
    );
}

/// An upstream that reads answers within a second of its announcement, in the order in which they
/// were sent.
#[derive(Default)]
struct UpstreamModel {
    /// Slot, token, end of the hold in true time, and end of the request on the slot after an
    /// answer omitted it.
    held: BTreeMap<u16, (Token, Timestamp, Option<Timestamp>)>,
    released: Vec<ReleasedRange>,
    sequence: u64,
}

impl UpstreamModel {
    fn expire(&mut self, now: Timestamp) {
        self.held.retain(|_, it| it.1 > now);
        let ended =
            self.held.extract_if(.., |_, it| it.2.is_some_and(|request_end| request_end <= now));
        for (slot, _) in ended {
            let (first, last) = (Slot(slot), Slot(slot));
            self.released.push(ReleasedRange { first, last, handover: "warm".into() });
        }
    }

    fn announce(&mut self) -> (u64, AnnouncedSlots) {
        self.sequence += 1;
        let held = self.held.iter();
        let held =
            held.map(|(slot, it)| SlotRange { first: Slot(*slot), last: Slot(*slot), token: it.0 });
        (self.sequence, AnnouncedSlots { held: held.collect(), released: self.released.clone() })
    }

    fn apply_answer(
        &mut self,
        rng: &mut Pcg64Mcg,
        now: Timestamp,
        sent_at: Timestamp,
        answer: &AnnouncementAnswer,
    ) {
        let until = sent_at + answer.hold.mul_f64(rng.random_range(1.0..1.02));
        let granted: Vec<(u16, Token)> = answer
            .grants
            .iter()
            .flat_map(|(range, _)| (range.first.0..=range.last.0).map(|slot| (slot, range.token)))
            .collect();
        for (slot, it) in &mut self.held {
            if !granted.iter().any(|granted| granted.0 == *slot) {
                it.2.get_or_insert(now + rng.random_range(0..300) * MS);
            }
        }
        for (slot, token) in granted.into_iter().filter(|_| until > now) {
            self.held.insert(slot, (token, until, None));
        }
    }
}

struct AnnouncementInFlight {
    sent_at: Timestamp,
    arrives_at: Timestamp,
    sequence: u64,
    announced: AnnouncedSlots,
}

struct AnswerInFlight {
    sent_at: Timestamp,
    arrives_at: Timestamp,
    answer: AnnouncementAnswer,
}

/// Guards against a slot that counts as closed while the upstream still holds it. Announcements are
/// late, lost or reordered, answers are lost or slow, and the upstream's clock is slow. No slot may
/// be held after it was reported as closed, no hold may outlast the lease, and no answer may omit a
/// slot that the upstream holds and is to hold.
#[test]
fn no_slot_is_closed_while_a_random_announcing_upstream_holds_it() {
    fn simulate(seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut leases, mut upstream) = (SlotLeases::default(), UpstreamModel::default());
        let (mut announcements, mut answers): (Vec<AnnouncementInFlight>, Vec<AnswerInFlight>) =
            Default::default();
        let (mut lease_until, mut next_at, mut last_arrival) = (at(0), at(0), at(0));
        let mut unanswered: Option<(Timestamp, Timestamp)> = None;
        let mut transfers: Vec<(Timestamp, SlotRange)> = Vec::new();
        let mut admitted_tokens: [Option<u64>; 8] = [None; 8];
        let (mut next_token, mut closed_count) = (0, 0);
        for step in 0..4000 {
            let now = at(step * 5);
            if rng.random_bool(0.03) {
                lease_until = lease_until.max(now + rng.random_range(500..2500) * MS);
            }
            let slot = rng.random_range(0..8_u16);
            match (rng.random_range(0..60), admitted_tokens[usize::from(slot)]) {
                (0..=3, None) => {
                    next_token += 1;
                    admitted_tokens[usize::from(slot)] = Some(next_token);
                    leases.admit(now, Slot(slot), token(next_token));
                }
                (0, Some(held)) => {
                    leases.close(now, Slot(slot), token(held), None);
                }
                _ => {}
            }
            upstream.expire(now);
            if next_at <= now {
                let (sequence, announced) = upstream.announce();
                let latency = match rng.random_range(0..20) {
                    0 => 1500,
                    1 => 400,
                    _ => rng.random_range(0..15),
                };
                let arrives_at = now + latency * MS;
                announcements.push(AnnouncementInFlight {
                    sent_at: now,
                    arrives_at,
                    sequence,
                    announced,
                });
                let period =
                    if upstream.held.values().any(|it| it.2.is_some()) { 100 } else { 870 };
                next_at = now + period * MS;
            }
            for it in announcements.extract_if(.., |it| it.arrives_at <= now) {
                if leases.accept_sequence(it.sequence) {
                    for transfer in leases.apply_announcement(now, &it.announced).transfers {
                        transfers.push((now + rng.random_range(0..20) * MS, transfer.range));
                    }
                    unanswered = Some((now, it.sent_at));
                }
            }
            if let Some((received_at, sent_at)) = unanswered
                && (leases.has_pending_changes(now, lease_until)
                    || now.since(received_at) > 600 * MS)
            {
                unanswered = None;
                let answer = leases.answer(now, received_at, lease_until, RANGES_MAX);
                let until = received_at + answer.hold.mul_f64(1.02);
                let granted = !answer.grants.is_empty();
                assert!(!granted || until <= lease_until, "seed {seed}: a hold outlasts the lease");
                let latency = if rng.random_bool(0.05) { 500 } else { rng.random_range(0..40) };
                last_arrival = last_arrival.max(now + latency * MS);
                if rng.random_bool(0.9) {
                    answers.push(AnswerInFlight { sent_at, arrives_at: last_arrival, answer });
                }
            }
            for it in answers.extract_if(.., |it| it.arrives_at <= now) {
                if it.arrives_at.since(it.sent_at) <= 1000 * MS {
                    upstream.released.clear();
                    upstream.apply_answer(&mut rng, now, it.sent_at, &it.answer);
                }
            }
            let mut closed = take_closed(&mut leases, now);
            for (_, range) in transfers.extract_if(.., |it| it.0 <= now) {
                closed.extend(finish_release(&mut leases, now, range, true));
            }
            for (slot, token) in closed {
                let held = upstream.held.get(&slot.0);
                let holds = held.is_some_and(|it| it.0 == token && it.1 > now);
                assert!(
                    !holds,
                    "seed {seed}: slot {slot} was closed at {now:?} while the upstream holds it"
                );
                admitted_tokens[usize::from(slot.0)].take_if(|it| *it == token.sequence);
                closed_count += 1;
            }
        }
        assert!(closed_count > 0, "seed {seed}: no slot was closed");
    }
    fn property(seed: u64) {
        simulate(seed);
    }
    QuickCheck::new()
        .tests(200)
        .rng(Gen::from_size_and_seed(100, 5))
        .quickcheck(property as fn(u64));
}
