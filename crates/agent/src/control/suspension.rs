//! Notices that the whole instance was suspended: the process's clock stands still meanwhile, but
//! leases at peers and at the upstream go on running out.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Less than this is how far apart the two clocks are read.
const NOTICED: Duration = Duration::from_millis(50);

/// Compares the clock that counts time in suspension with the one that does not.
#[derive(Debug, Default)]
pub(super) struct Suspension {
    /// By how much the one is ahead of the other, as last read.
    ahead: Option<Duration>,
}

impl Suspension {
    /// How long the instance has been suspended since the last call.
    pub(super) fn slept(&mut self) -> Option<Duration> {
        let (Ok(all), Ok(awake)) = (read(ClockId::CLOCK_BOOTTIME), read(ClockId::CLOCK_MONOTONIC))
        else {
            return None;
        };
        self.note(all, awake)
    }

    pub(super) fn note(&mut self, all: Duration, awake: Duration) -> Option<Duration> {
        let ahead = all.saturating_sub(awake);
        let before = self.ahead.replace(ahead)?;
        Some(ahead.saturating_sub(before)).filter(|it| *it >= NOTICED)
    }
}

fn read(clock: ClockId) -> nix::Result<Duration> {
    clock_gettime(clock).map(Duration::from)
}
