//! Tests of the invariant checker: each order that it guards is reported when it is broken.

use model::{Slot, SlotCount, Term, Timestamp, Token};

use super::{Violation, invariants::InvariantChecker};

const SLOT: Slot = Slot(3);
const AT: Timestamp = Timestamp::ZERO;

fn checker() -> InvariantChecker {
    InvariantChecker::new(SlotCount::new(8).expect("8 is a valid number of slots"))
}

/// Returns a term of a round, with a number in its lower half that tells terms of this round apart.
fn term(round: u64, tie_breaker: u64) -> Term {
    Term(round << 32 | tie_breaker)
}

fn token(term: Term) -> Token {
    Token { term, sequence: 1 }
}

/// Guards against a checker that compares the numbers of terms of different forms, or tokens by their sequences only.
#[test]
fn a_slot_token_of_an_earlier_term_is_a_violation() {
    for (last, lower) in [
        (Term::after_rollback(1026), Term::after_rollback(1025)),
        (Term::after_rollback(1), Term(2000)),
        (Term(3), Term(2)),
    ] {
        let mut checker = checker();
        let (last, lower) = (token(last), Token { sequence: 9, ..token(lower) });
        checker.check_slot_token(SLOT, last, AT);
        assert_eq!(checker.violation, None);
        checker.check_slot_token(SLOT, lower, AT);
        let expected = Violation::TokenNotIncreasing { slot: SLOT, token: lower, last, at: AT };
        assert_eq!(checker.violation, Some(expected));
    }
}

/// Guards against slots that are granted under a term with a tie-breaker: two terms of one round have no order that all
/// of their fences keep.
#[test]
fn a_slot_token_of_a_term_with_a_tie_breaker_is_a_violation() {
    let mut checker = checker();
    let token = token(term(1025, 7));
    checker.check_slot_token(SLOT, token, AT);
    let expected = Violation::TokenWithoutFence { slot: SLOT, token, at: AT };
    assert_eq!(checker.violation, Some(expected));
}

/// Guards against a host that goes on with a slot under a new lease, although the slot was admitted under a higher token
/// elsewhere since.
#[test]
fn a_resumed_slot_with_a_lower_token_is_a_violation() {
    let mut checker = checker();
    let (resumed, last) = (token(term(1025, 0)), token(term(1026, 0)));
    checker.check_slot_token(SLOT, resumed, AT);
    checker.check_resumed_slot_token(SLOT, resumed, AT);
    assert_eq!(checker.violation, None);
    checker.check_slot_token(SLOT, last, AT);
    checker.check_resumed_slot_token(SLOT, resumed, AT);
    let expected = Violation::TokenNotIncreasing { slot: SLOT, token: resumed, last, at: AT };
    assert_eq!(checker.violation, Some(expected));
}

/// Guards against a checker that knows only the terms of the latest coordinator object, which a rollback may replace.
#[test]
fn an_acquired_term_that_is_not_above_all_earlier_ones_is_a_violation() {
    let mut checker = checker();
    let (last, lower) = (term(1025, 8), term(1025, 7));
    checker.check_acquired_term(Term(3), 0, AT);
    checker.check_acquired_term(last, 1, AT);
    assert_eq!(checker.violation, None);
    checker.check_acquired_term(lower, 2, AT);
    let expected = Violation::TermNotIncreasing { term: lower, last, host: 2, at: AT };
    assert_eq!(checker.violation, Some(expected));
}
