//! Tests of the budget and of bodies collected within it.

mod budget;
mod collect;

use crate::{BodyBudget, BodyKind, Reservation};

/// The budget of the tests: bodies of at most 10 bytes are small, and requests leave 40 bytes free for answers.
const BYTES_MAX: usize = 640;

fn request(budget: &BodyBudget, bytes: usize) -> Option<Reservation> {
    budget.reserve(BodyKind::Request, bytes).ok()
}
