//! Helpers for the tests of all modules.

use quickcheck::{Gen, QuickCheck, Testable};

const GEN_SIZE: usize = 100;
const GEN_SEED: u64 = 5;

/// Checks a property with a fixed seed, so that each run gets the same random inputs.
pub(crate) fn check_seeded(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(GEN_SIZE, GEN_SEED)).quickcheck(property);
}
