//! Tests of names, tokens, rates, the key hash and ordered keys.

use crate::{
    Fence, FenceError, NameError, ObjectVersion, RequestRate, ServiceName, Slot, SlotCount, Term,
    Token, ZeroRateError, key_hash,
};

fn check(text: &str, expected: Result<&str, NameError>) {
    let actual = ServiceName::new(text);
    assert_eq!(actual.as_ref().map(|it| it.as_str()), expected.as_ref().map(|it| *it));
}

#[test]
fn invalid_names_are_refused() {
    check("lapboard-1", Ok("lapboard-1"));
    check("", Err(NameError::Empty));
    check("Lap", Err(NameError::Character('L')));
    check(&"x".repeat(64), Err(NameError::TooLong(64)));
}

#[test]
fn slots_cover_the_whole_hash_range() {
    let count = SlotCount::new(96).unwrap();
    assert_eq!(count.slot_of(crate::KeyHash(0)), Slot(0));
    assert_eq!(count.slot_of(crate::KeyHash(u64::MAX)), Slot(95));
    assert!(SlotCount::new(0).is_err());
}

#[test]
fn the_key_hash_does_not_change() {
    // Another hash would move every key of every running service to another slot.
    assert_eq!(key_hash(b"car-7").0, 5_296_303_634_094_096_872);
}

#[test]
fn tokens_are_ordered_by_term_before_sequence() {
    let token = |term, sequence| Token { term: Term(term), sequence };
    assert!(token(2, 0) > token(1, 9));
    assert!(token(2, 1) > token(2, 0));
}

#[test]
fn ordered_keys_hash_into_the_slots_whose_range_contains_them() {
    for (keys, slots) in [(65_536, 1024), (65_536, 96), (1000, 7), (5, 5), (1, 1)] {
        let keys = crate::OrderedKeys::new(keys).unwrap();
        let slots = SlotCount::new(slots).unwrap();
        let mut next = 0;
        for slot in slots.iter() {
            let range = keys.range_of_slots(slots, slot, slot);
            assert_eq!(range.first, next, "expected no gap between the key ranges of {slots:?}");
            for key in range.first..=range.last {
                assert_eq!(
                    slots.slot_of(keys.hash_of(key).unwrap()),
                    slot,
                    "key {key} must hash into its slot"
                );
            }
            next = range.last + 1;
        }
        assert_eq!(next, keys.count());
        assert_eq!(keys.hash_of(next), None);
    }
}

#[test]
fn request_rate_rounds_down_but_is_never_zero() {
    let per_s = |it| RequestRate::from_per_s(it).map(RequestRate::per_s);
    assert_eq!(per_s(12.3456), Some(12.345));
    assert_eq!(per_s(0.0), Some(0.001));
    for invalid in [-0.1, f64::NAN, f64::INFINITY] {
        assert_eq!(per_s(invalid), None);
    }
    assert_eq!(RequestRate::try_from(0), Err(ZeroRateError));
}

/// Guards against a term after a rollback that is below one before it.
#[test]
fn terms_drawn_after_a_rollback_are_above_all_others_and_ordered_by_round() {
    let plain = Term(u64::from(u32::MAX));
    let first = Term::after_rollback(6);
    assert!(first > plain);
    assert_eq!(first.round(), 6);
    assert!(Term::after_rollback(7) > first);
    assert!(first.next() > first);
}

/// Guards against terms that fall or repeat after an update from a version that drew tie-breakers.
#[test]
fn terms_of_a_later_round_are_above_those_with_tie_breakers() {
    let earlier = [Term(1028 << 32 | 7), Term(1028 << 32 | 8), Term(1028 << 32 | 0xffff_ffff)];
    assert!(earlier.is_sorted_by(|a, b| a < b));
    assert!(earlier.iter().all(|it| it.round() == 1028 && Term::after_rollback(1029) > *it));
}

fn token(term: Term, sequence: u64) -> Token {
    Token { term, sequence }
}

/// Tokens in ascending order, at the bounds of each part.
fn fenced_tokens() -> Vec<Token> {
    let round_max = (1 << 28) - 1;
    let plain = [1, 2, 253, 1028, 1 << 27, round_max].map(Term);
    let drawn = [1025, 1026, 1280, 1 << 27, round_max as u32].map(Term::after_rollback);
    let terms = plain.into_iter().chain(drawn);
    terms.flat_map(|it| [0, 1, 900_000, Fence::SEQUENCE_MAX].map(|seq| token(it, seq))).collect()
}

/// Guards against fences in another order than their tokens, and against fences that double-precision numbers round.
#[test]
fn fences_are_ordered_like_their_tokens_and_stay_below_2_pow_53() {
    let tokens = fenced_tokens();
    let fences: Vec<u64> = tokens.iter().map(|it| Fence::try_from(*it).unwrap().number()).collect();
    assert!(tokens.is_sorted_by(|a, b| a < b));
    assert!(fences.is_sorted_by(|a, b| a < b));
    assert!(fences.iter().all(|it| *it < 1 << 53 && (*it as f64) as u64 == *it));
}

/// Guards against an announced fence that is taken for another token than the granted one.
#[test]
fn a_fence_converts_back_to_its_token() {
    for token in fenced_tokens() {
        assert_eq!(Token::with_fence(Fence::try_from(token).unwrap().number()), token);
    }
    for number in [1 << 53, 1 << 56, u64::MAX] {
        assert!(Fence::try_from(Token::with_fence(number)).is_err(), "{number}");
    }
}

/// Guards against a conversion that drops bits, after which fences fall.
#[test]
fn tokens_that_need_more_bits_have_no_fence() {
    let part = |it| Fence::try_from(it).map_err(|error: FenceError| error.part);
    assert_eq!(part(token(Term(1 << 28), 0)), Err("the round of the term"));
    assert_eq!(part(token(Term::after_rollback(1 << 28), 0)), Err("the round of the term"));
    assert_eq!(part(token(Term(2), Fence::SEQUENCE_MAX + 1)), Err("the sequence"));
    assert_eq!(part(token(Term(1025 << 32 | 7), 1)), Err("the tie-breaker of the term"));
}

/// Guards against versions that fall because a number of the store loses its highest bits.
#[test]
fn versions_are_ordered_by_era_and_too_large_numbers_are_refused() {
    let (era_max, revision_max) = ((1 << 24) - 1, (1 << 40) - 1);
    let parts = [(0, 1), (0, revision_max), (1, 0), (1, revision_max), (era_max, revision_max)];
    let versions = parts.map(|(era, revision)| ObjectVersion::try_of(era, revision).unwrap());
    assert!(versions.is_sorted_by(|a, b| a < b));
    assert_eq!(versions.map(|it| (it.era(), it.revision())), parts);
    let part = |era, revision| ObjectVersion::try_of(era, revision).map_err(|it| it.part);
    assert_eq!(part(era_max + 1, 0), Err("era"));
    assert_eq!(part(0, revision_max + 1), Err("revision"));
}
