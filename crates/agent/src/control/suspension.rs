//! Notices that the whole instance was suspended: the process's clock stands still meanwhile, but
//! leases at peers and at the upstream go on running out.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Less than this is how far apart the two clocks are read.
const SUSPENSION_MIN: Duration = Duration::from_millis(50);

/// Compares the clock that counts time in suspension with the one that does not.
#[derive(Debug, Default)]
pub(super) struct SuspensionDetector {
    /// By how much the one is ahead of the other, as last read.
    lead: Option<Duration>,
}

impl SuspensionDetector {
    /// How long the instance has been suspended since the last call.
    pub(super) fn take_suspended(&mut self) -> Option<Duration> {
        let (Ok(boottime), Ok(monotonic)) =
            (read(ClockId::CLOCK_BOOTTIME), read(ClockId::CLOCK_MONOTONIC))
        else {
            return None;
        };
        self.update(boottime, monotonic)
    }

    pub(super) fn update(&mut self, boottime: Duration, monotonic: Duration) -> Option<Duration> {
        let lead = boottime.saturating_sub(monotonic);
        let former_lead = self.lead.replace(lead)?;
        Some(lead.saturating_sub(former_lead)).filter(|it| *it >= SUSPENSION_MIN)
    }
}

fn read(clock: ClockId) -> nix::Result<Duration> {
    clock_gettime(clock).map(Duration::from)
}
