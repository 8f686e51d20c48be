//! Tests of leases that are granted by the answers to announcements.

use std::collections::BTreeMap;

use model::{Slot, Timestamp, Token};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{MS, at, release_ended, run, take_closed, token};
use crate::{
    gate::leases::{
        announced::{GivenUp, ReleasedRun, Shown, ToHold},
        book::{LeaseBook, Run},
    },
    tests::fakes::instance,
};

const RUNS_MAX: usize = 20;

fn shown(held: &[Run]) -> Shown {
    Shown { held: held.to_vec(), released: Vec::new() }
}

fn runs(answer: &ToHold) -> Vec<Run> {
    answer.grants.iter().map(|it| it.0).collect()
}

fn answer(book: &mut LeaseBook, now: u64, lease_until: u64) -> ToHold {
    book.to_hold(at(now), at(now), at(lease_until), RUNS_MAX)
}

/// A book whose slots 1 to 4 were granted at 0 under token 1, which an announcement at 870 shows.
fn granted() -> LeaseBook {
    let mut book = LeaseBook::default();
    for slot in 1..=4 {
        book.admit(at(0), Slot(slot), token(1));
    }
    assert_eq!(runs(&answer(&mut book, 0, 2500)), [run(1, 4, 1)]);
    book.heard(at(870), &shown(&[run(1, 4, 1)]));
    book
}

#[test]
fn an_answer_grants_all_that_is_admitted_for_no_longer_than_the_lease() {
    let mut book = LeaseBook::default();
    book.admit(at(0), Slot(1), token(1));
    assert!(book.has_news(at(0), at(2500)));
    // Heard 500 ms before it is answered: the time counts from then.
    let answer = book.to_hold(at(500), at(0), at(2500), RUNS_MAX);
    assert!(answer.hold.mul_f64(1.02) <= 2500 * MS, "{answer:?}");
    assert!(!book.has_news(at(500), at(2500)));
    assert!(!book.is_usable(at(500), Slot(1)), "the upstream has not read it yet");
    assert!(book.is_usable(at(510), Slot(1)));
    assert!(!book.is_usable(at(2500), Slot(1)));
}

#[test]
fn nothing_is_granted_without_a_lease() {
    let mut book = LeaseBook::default();
    book.admit(at(0), Slot(1), token(1));
    assert!(!book.has_news(at(0), at(0)));
    assert_eq!(runs(&answer(&mut book, 0, 0)), []);
}

#[test]
fn a_slot_is_closed_once_an_announcement_shows_it_given_up() {
    let mut book = granted();
    let to = instance("other", "127.0.0.1:1".parse().unwrap());
    assert!(book.close(at(900), Slot(2), token(1), Some(to.clone())));
    assert!(book.has_news(at(900), at(3400)));
    assert_eq!(runs(&answer(&mut book, 900, 3400)), [run(1, 1, 1), run(3, 4, 1)]);
    let heard = book.heard(at(1000), &shown(&[run(1, 4, 1)]));
    assert!(heard.given_up.is_empty(), "it still works on a request");
    assert!(heard.is_giving_up, "so it is answered at once, and tells soon");
    let released = ReleasedRun { first: Slot(2), last: Slot(2), handover: "warm".into() };
    let next = Shown { held: vec![run(1, 1, 1), run(3, 4, 1)], released: vec![released] };
    let heard = book.heard(at(1100), &next);
    let given_up = GivenUp { run: run(2, 2, 1), to: Some(to), handover: Some("warm".into()) };
    assert_eq!(heard.given_up, [given_up]);
    assert!(
        take_closed(&mut book, at(1100)).is_empty(),
        "its token is on the way to the next owner"
    );
    assert_eq!(release_ended(&mut book, at(1101), run(2, 2, 1), true), [(Slot(2), token(1))]);
}

/// The answer that grants it may be read after the announcement was sent that does not show it.
#[test]
fn what_was_just_granted_is_not_closed_because_it_is_not_shown_yet() {
    let mut book = LeaseBook::default();
    book.admit(at(0), Slot(1), token(1));
    answer(&mut book, 0, 2500);
    book.close(at(10), Slot(1), token(1), None);
    answer(&mut book, 100, 2600);
    assert!(book.heard(at(200), &shown(&[])).given_up.is_empty());
    assert!(take_closed(&mut book, at(200)).is_empty());
    assert_eq!(book.heard(at(1200), &shown(&[])).given_up.len(), 1);
}

/// An answer that renews it may still be on its way to an upstream whose hold has just run out.
#[test]
fn what_no_answer_has_left_out_is_not_closed_because_it_is_not_shown() {
    let mut book = granted();
    answer(&mut book, 900, 3400);
    book.close(at(950), Slot(1), token(1), None);
    assert!(book.heard(at(960), &shown(&[run(2, 4, 1)])).given_up.is_empty());
}

#[test]
fn a_slot_that_was_never_granted_is_closed_at_once() {
    let mut book = LeaseBook::default();
    book.admit(at(0), Slot(1), token(1));
    assert!(book.close(at(10), Slot(1), token(1), None));
    assert_eq!(take_closed(&mut book, at(10)), [(Slot(1), token(1))]);
}

#[test]
fn without_announcements_a_slot_is_closed_when_its_time_is_over() {
    let mut book = granted();
    book.close(at(900), Slot(1), token(1), None);
    assert!(take_closed(&mut book, at(2400)).is_empty());
    assert_eq!(take_closed(&mut book, at(2700)), [(Slot(1), token(1))]);
}

#[test]
fn what_an_earlier_life_of_the_agent_granted_is_given_up_before_anything_is_granted() {
    let mut book = LeaseBook::default();
    book.heard(at(0), &shown(&[run(0, 7, 1)]));
    book.clear(token(5));
    book.admit(at(0), Slot(1), token(6));
    assert!(book.has_news(at(0), at(2500)));
    assert_eq!(runs(&answer(&mut book, 0, 2500)), []);
    assert_eq!(book.take_cleared(), None);
    let released = ReleasedRun { first: Slot(0), last: Slot(7), handover: "warm".into() };
    book.heard(at(100), &Shown { held: vec![run(3, 3, 1)], released: vec![released] });
    assert_eq!(book.take_cleared(), None, "it still works on a request");
    answer(&mut book, 100, 2500);
    book.heard(at(200), &shown(&[]));
    assert_eq!(book.take_cleared(), Some(token(5)));
    let answer = answer(&mut book, 200, 2700);
    assert_eq!(answer.grants, [(run(1, 1, 6), Some("warm".into()))], "it comes back warm");
}

/// An announcement that was sent before the first answer may be older than the last grant of an earlier life.
#[test]
fn an_upstream_counts_as_cleared_only_after_an_answer_that_grants_nothing() {
    let mut book = LeaseBook::default();
    book.heard(at(0), &shown(&[]));
    book.clear(token(5));
    assert_eq!(book.take_cleared(), None);
    answer(&mut book, 0, 2500);
    book.heard(at(870), &shown(&[]));
    assert_eq!(book.take_cleared(), Some(token(5)));
}

#[test]
fn another_life_of_the_upstream_holds_nothing_and_is_cleared_at_once() {
    let mut book = granted();
    book.follow_life(at(900), &(Some("i-1".into()), Some(1)));
    assert!(book.is_usable(at(900), Slot(1)), "the first life that is known is no other one");
    book.follow_life(at(900), &(Some("i-1".into()), Some(2)));
    assert!(!book.is_usable(at(900), Slot(1)));
    book.clear(token(5));
    assert_eq!(book.take_cleared(), Some(token(5)));
}

#[test]
fn a_token_that_never_takes_effect_is_told_of() {
    let mut book = LeaseBook::default();
    book.admit(at(0), Slot(1), token(1));
    for round in 0..2 {
        answer(&mut book, round * 870, 5000);
        assert_eq!(book.heard(at(round * 870 + 870), &shown(&[])).outdated, None);
        assert!(!book.is_usable(at(round * 870 + 870), Slot(1)), "the upstream does not hold it");
    }
    answer(&mut book, 1740, 5000);
    assert_eq!(book.heard(at(2610), &shown(&[])).outdated, Some(token(1)));
}

#[test]
fn late_and_doubled_announcements_are_known() {
    let mut book = LeaseBook::default();
    assert!(book.is_next(3));
    assert!(!book.is_next(3) && !book.is_next(2));
    assert!(book.is_next(4));
}

/// An upstream gives up what is left out of an answer, so what does not fit may not be what it holds.
#[test]
fn where_runs_do_not_fit_new_ones_wait_and_held_ones_stay() {
    let mut book = LeaseBook::default();
    for slot in 0..100 {
        book.admit(at(0), Slot(slot * 2), token(1));
    }
    let first = answer(&mut book, 0, 2500);
    assert_eq!(first.grants.len(), RUNS_MAX * 3 / 4, "there is room left for cuts");
    assert_eq!(first.put_off, 100 - RUNS_MAX * 3 / 4);
    book.heard(at(870), &shown(&runs(&first)));
    assert_eq!(runs(&answer(&mut book, 870, 3370)), runs(&first));
}

#[test]
fn where_cuts_do_not_fit_slots_are_given_up_later() {
    let mut book = LeaseBook::default();
    for slot in 0..100 {
        book.admit(at(0), Slot(slot), token(1));
    }
    answer(&mut book, 0, 2500);
    book.heard(at(870), &shown(&[run(0, 99, 1)]));
    for slot in 0..50 {
        book.close(at(900), Slot(slot * 2), token(1), None);
    }
    assert_eq!(runs(&answer(&mut book, 900, 3400)), [run(0, 99, 1)]);
    assert!(book.has_news(at(901), at(3400)), "they are still to be given up");
}

/// An upstream that takes answers within a second of its announcement, in the order in which they were sent.
#[derive(Default)]
struct Model {
    /// Slot, token, until when in true time, and until when it works on a request after it was left out.
    held: BTreeMap<u16, (Token, Timestamp, Option<Timestamp>)>,
    released: Vec<ReleasedRun>,
    sequence: u64,
}

impl Model {
    fn run_out(&mut self, now: Timestamp) {
        self.held.retain(|_, it| it.1 > now);
        let done = self.held.extract_if(.., |_, it| it.2.is_some_and(|busy| busy <= now));
        for (slot, _) in done {
            let (first, last) = (Slot(slot), Slot(slot));
            self.released.push(ReleasedRun { first, last, handover: "warm".into() });
        }
    }

    fn announces(&mut self) -> (u64, Shown) {
        self.sequence += 1;
        let held = self.held.iter();
        let held =
            held.map(|(slot, it)| Run { first: Slot(*slot), last: Slot(*slot), token: it.0 });
        (self.sequence, Shown { held: held.collect(), released: self.released.clone() })
    }

    fn takes(&mut self, rng: &mut Pcg64Mcg, now: Timestamp, sent_at: Timestamp, answer: &ToHold) {
        let until = sent_at + answer.hold.mul_f64(rng.random_range(1.0..1.02));
        let granted: Vec<(u16, Token)> = answer
            .grants
            .iter()
            .flat_map(|(run, _)| (run.first.0..=run.last.0).map(|slot| (slot, run.token)))
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

struct Announced {
    sent_at: Timestamp,
    arrives_at: Timestamp,
    sequence: u64,
    shown: Shown,
}

struct Answered {
    sent_at: Timestamp,
    arrives_at: Timestamp,
    answer: ToHold,
}

/// Announcements that are late, lost or overtake each other, answers that are lost or slow, a clock that is
/// slow: whatever comes, the upstream holds no slot after the book has said that it is closed, nothing
/// outlasts the lease, and what it holds and is to hold is never left out of an answer.
#[test]
fn random_upstreams() {
    fn play(seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut book, mut upstream) = (LeaseBook::default(), Model::default());
        let (mut announced, mut answered): (Vec<Announced>, Vec<Answered>) = Default::default();
        let (mut lease_until, mut next_at, mut last_arrival) = (at(0), at(0), at(0));
        let mut open: Option<(Timestamp, Timestamp)> = None;
        let mut passing_on: Vec<(Timestamp, Run)> = Vec::new();
        let mut current: [Option<u64>; 8] = [None; 8];
        let (mut next_token, mut closed_count) = (0, 0);
        for step in 0..4000 {
            let now = at(step * 5);
            if rng.random_bool(0.03) {
                lease_until = lease_until.max(now + rng.random_range(500..2500) * MS);
            }
            let slot = rng.random_range(0..8_u16);
            match (rng.random_range(0..60), current[usize::from(slot)]) {
                (0..=3, None) => {
                    next_token += 1;
                    current[usize::from(slot)] = Some(next_token);
                    book.admit(now, Slot(slot), token(next_token));
                }
                (0, Some(held)) => {
                    book.close(now, Slot(slot), token(held), None);
                }
                _ => {}
            }
            upstream.run_out(now);
            if next_at <= now {
                let (sequence, shown) = upstream.announces();
                let way = match rng.random_range(0..20) {
                    0 => 1500,
                    1 => 400,
                    _ => rng.random_range(0..15),
                };
                let arrives_at = now + way * MS;
                announced.push(Announced { sent_at: now, arrives_at, sequence, shown });
                let period =
                    if upstream.held.values().any(|it| it.2.is_some()) { 100 } else { 870 };
                next_at = now + period * MS;
            }
            for it in announced.extract_if(.., |it| it.arrives_at <= now) {
                if book.is_next(it.sequence) {
                    for given_up in book.heard(now, &it.shown).given_up {
                        passing_on.push((now + rng.random_range(0..20) * MS, given_up.run));
                    }
                    open = Some((now, it.sent_at));
                }
            }
            if let Some((heard_at, sent_at)) = open
                && (book.has_news(now, lease_until) || now.since(heard_at) > 600 * MS)
            {
                open = None;
                let answer = book.to_hold(now, heard_at, lease_until, RUNS_MAX);
                let until = heard_at + answer.hold.mul_f64(1.02);
                let granted = !answer.grants.is_empty();
                assert!(!granted || until <= lease_until, "seed {seed}: a hold outlasts the lease");
                let way = if rng.random_bool(0.05) { 500 } else { rng.random_range(0..40) };
                last_arrival = last_arrival.max(now + way * MS);
                if rng.random_bool(0.9) {
                    answered.push(Answered { sent_at, arrives_at: last_arrival, answer });
                }
            }
            for it in answered.extract_if(.., |it| it.arrives_at <= now) {
                if it.arrives_at.since(it.sent_at) <= 1000 * MS {
                    upstream.released.clear();
                    upstream.takes(&mut rng, now, it.sent_at, &it.answer);
                }
            }
            let mut closed = take_closed(&mut book, now);
            for (_, run) in passing_on.extract_if(.., |it| it.0 <= now) {
                closed.extend(release_ended(&mut book, now, run, true));
            }
            for (slot, token) in closed {
                let held = upstream.held.get(&slot.0);
                let holds = held.is_some_and(|it| it.0 == token && it.1 > now);
                assert!(!holds, "seed {seed}: slot {slot} is closed at {now:?} and held");
                current[usize::from(slot.0)].take_if(|it| *it == token.sequence);
                closed_count += 1;
            }
        }
        assert!(closed_count > 0, "seed {seed}: nothing was ever closed");
    }
    fn property(seed: u64) {
        play(seed);
    }
    QuickCheck::new()
        .tests(200)
        .rng(Gen::from_size_and_seed(100, 5))
        .quickcheck(property as fn(u64));
}
