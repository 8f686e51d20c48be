//! Tests of names, tokens and the key hash.

use crate::{NameError, ServiceName, Slot, SlotCount, Term, Token, key_hash};

fn check(text: &str, expected: Result<&str, NameError>) {
    let actual = ServiceName::new(text);
    assert_eq!(actual.as_ref().map(|it| it.as_str()), expected.as_ref().map(|it| *it));
}

#[test]
fn names_are_checked() {
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
fn the_key_hash_is_fixed() {
    // A change here would move every key of every running service.
    assert_eq!(key_hash(b"car-7").0, 5_296_303_634_094_096_872);
}

#[test]
fn tokens_order_by_term_first() {
    let token = |term, sequence| Token { term: Term(term), sequence };
    assert!(token(2, 0) > token(1, 9));
    assert!(token(2, 1) > token(2, 0));
}
