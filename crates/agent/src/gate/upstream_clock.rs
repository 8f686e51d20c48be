//! Conversion of deadlines to the upstream's own clock.
//!
//! A remaining time counts from when the upstream reads the request. A process that was frozen
//! reads earlier requests late and would run them under grants that have long ended. A deadline on
//! its own clock has passed by then.

use std::sync::atomic::{AtomicI64, Ordering};

use model::Timestamp;

/// Value without a reading, or for an upstream that announces none.
const NO_READING: i64 = i64::MIN;

/// Lower bound on the offset of the upstream's clock from this process's clock.
#[derive(Debug)]
pub(crate) struct UpstreamClock {
    offset_ms: AtomicI64,
}

impl Default for UpstreamClock {
    fn default() -> UpstreamClock {
        UpstreamClock { offset_ms: AtomicI64::new(NO_READING) }
    }
}

impl UpstreamClock {
    /// Takes the clock reading of an announcement that had arrived by `at`. The upstream's clock
    /// has advanced since the reading, so the offset errs on the safe side: deadlines come out too
    /// early.
    pub(crate) fn update(&self, reading_ms: Option<u64>, at: Timestamp) {
        let offset = reading_ms
            .and_then(|it| i64::try_from(it).ok())
            .map_or(NO_READING, |it| it - ms_rounded_up(at));
        self.offset_ms.store(offset, Ordering::Relaxed);
    }

    /// Converts a point in time to milliseconds on the upstream's clock, rounded down. Returns
    /// `None` without a reading.
    pub(crate) fn to_upstream_ms(&self, at: Timestamp) -> Option<u64> {
        let offset = self.offset_ms.load(Ordering::Relaxed);
        let at_ms = i64::try_from(at.ns / 1_000_000).ok()?;
        match offset {
            NO_READING => None,
            offset => Some(u64::try_from(at_ms + offset).unwrap_or(0)),
        }
    }
}

fn ms_rounded_up(at: Timestamp) -> i64 {
    i64::try_from(at.ns.div_ceil(1_000_000)).unwrap_or(i64::MAX)
}
