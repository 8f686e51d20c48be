//! What the tests of all parts share.

use quickcheck::{Gen, QuickCheck, Testable};

const GEN_SIZE: usize = 100;
const GEN_SEED: u64 = 5;

/// Checks a property on the same random inputs each time.
pub(crate) fn seeded(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(GEN_SIZE, GEN_SEED)).quickcheck(property);
}
