//! Points in time on the monotonic clock of one process.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Point in time, in nanoseconds since an origin that each process chooses. It is never sent to another process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp {
    pub ns: u64,
}

impl Timestamp {
    pub const ZERO: Timestamp = Timestamp { ns: 0 };

    pub fn from_ms(ms: u64) -> Timestamp {
        Timestamp { ns: ms * 1_000_000 }
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_nanos(self.ns.saturating_sub(earlier.ns))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, rhs: Duration) -> Timestamp {
        Timestamp { ns: self.ns.saturating_add(u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX)) }
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, rhs: Duration) -> Timestamp {
        Timestamp { ns: self.ns.saturating_sub(u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX)) }
    }
}
