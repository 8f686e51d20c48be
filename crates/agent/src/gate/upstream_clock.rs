//! What the upstream's own clock shows, so that bounds can be told in it.
//!
//! Remaining times count from when a request is read. A process that was frozen reads what had
//! reached it before much later, and would run it under a grant that has long ended. A point on its
//! own clock has passed by then.

use std::sync::atomic::{AtomicI64, Ordering};

use model::Timestamp;

/// No reading yet, or an upstream that announces none.
const NONE: i64 = i64::MIN;

/// How far the upstream's clock is ahead of this process's, at the least.
#[derive(Debug)]
pub(crate) struct UpstreamClock {
    offset_ms: AtomicI64,
}

impl Default for UpstreamClock {
    fn default() -> UpstreamClock {
        UpstreamClock { offset_ms: AtomicI64::new(NONE) }
    }
}

impl UpstreamClock {
    /// Takes the reading of an announcement that had arrived by `at`. The upstream's clock has gone
    /// on since it was read, so the offset errs to the safe side: bounds come out too early.
    pub(crate) fn update(&self, reading_ms: Option<u64>, at: Timestamp) {
        let offset =
            reading_ms.and_then(|it| i64::try_from(it).ok()).map_or(NONE, |it| it - to_ms_up(at));
        self.offset_ms.store(offset, Ordering::Relaxed);
    }

    /// A point in time on the upstream's clock, in milliseconds, rounded down; none: unknown.
    pub(crate) fn to_upstream_ms(&self, at: Timestamp) -> Option<u64> {
        let offset = self.offset_ms.load(Ordering::Relaxed);
        let at_ms = i64::try_from(at.ns / 1_000_000).ok()?;
        match offset {
            NONE => None,
            offset => Some(u64::try_from(at_ms + offset).unwrap_or(0)),
        }
    }
}

fn to_ms_up(at: Timestamp) -> i64 {
    i64::try_from(at.ns.div_ceil(1_000_000)).unwrap_or(i64::MAX)
}
