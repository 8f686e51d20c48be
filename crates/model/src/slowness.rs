//! What an upstream says of the pace of its machine.

/// How long work takes at this moment, against a measure of the upstream's own: twice the number, twice the
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowness(pub u32);
