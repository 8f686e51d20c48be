//! Fence tokens as whole numbers, for upstreams that compare numbers.

use std::fmt;

use crate::{Term, Token};

/// Number of low bits of a fence that hold the sequence of the token.
const SEQUENCE_BITS: u32 = 24;
/// Number of bits above the sequence that hold the round of the term.
const ROUND_BITS: u32 = 28;
/// Bit of the fences of terms that were drawn after a rollback, which are above all other terms.
const AFTER_ROLLBACK: u64 = 1 << (ROUND_BITS + SEQUENCE_BITS);
const ROUND_MAX: u64 = (1 << ROUND_BITS) - 1;
/// First number that is no fence.
const FENCE_END: u64 = AFTER_ROLLBACK << 1;

/// Fence token as one number below 2^53, which every reader of JSON represents exactly. Fences are ordered like their
/// tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fence(u64);

/// A token has no fence, because a part of it needs more bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("token {token} has no fence below 2^53: {part} is too large or not supported")]
pub struct FenceError {
    pub token: Token,
    /// The part of the token without a representation.
    pub part: &'static str,
}

impl Fence {
    /// The highest sequence of a token that has a fence.
    pub const SEQUENCE_MAX: u64 = (1 << SEQUENCE_BITS) - 1;

    pub fn number(self) -> u64 {
        self.0
    }
}

impl TryFrom<Token> for Fence {
    type Error = FenceError;

    fn try_from(token: Token) -> Result<Fence, FenceError> {
        let round = token.term.round();
        let error = |part| Err(FenceError { token, part });
        match token.term.tie_breaker() {
            _ if round > ROUND_MAX => error("the round of the term"),
            _ if token.sequence > Fence::SEQUENCE_MAX => error("the sequence"),
            Some(0) => Ok(Fence(AFTER_ROLLBACK | round << SEQUENCE_BITS | token.sequence)),
            // Terms of one round that differ in their tie-breakers would have the same fence.
            Some(_) => error("the tie-breaker of the term"),
            None => Ok(Fence(round << SEQUENCE_BITS | token.sequence)),
        }
    }
}

impl Token {
    /// Returns the token with this fence. A number that is no fence results in a token that has none.
    pub fn with_fence(number: u64) -> Token {
        if number >= FENCE_END {
            return Token { term: Term(u64::MAX), sequence: number };
        }
        let round = number >> SEQUENCE_BITS & ROUND_MAX;
        let term = match number & AFTER_ROLLBACK {
            0 => Term(round),
            _ => Term::after_rollback(round as u32),
        };
        Token { term, sequence: number & Fence::SEQUENCE_MAX }
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
