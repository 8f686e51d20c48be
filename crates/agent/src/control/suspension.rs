//! Detects that the whole machine was suspended. The process's clock stops during a suspension, but
//! leases at peers and at the upstream continue to expire.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// The shortest suspension that is reported. Smaller differences can come from the delay between
/// the readings of the two clocks.
const SUSPENSION_MIN: Duration = Duration::from_millis(50);

/// Compares `CLOCK_BOOTTIME`, which includes suspensions, with `CLOCK_MONOTONIC`, which does not.
#[derive(Debug, Default)]
pub(super) struct SuspensionDetector {
    /// The lead of `CLOCK_BOOTTIME` over `CLOCK_MONOTONIC` at the last reading.
    lead: Option<Duration>,
}

impl SuspensionDetector {
    /// Returns how long the machine was suspended since the last call, if it was.
    pub(super) fn take_suspended(&mut self) -> Option<Duration> {
        let (Ok(boottime), Ok(monotonic)) =
            (read(ClockId::CLOCK_BOOTTIME), read(ClockId::CLOCK_MONOTONIC))
        else {
            return None;
        };
        self.update(boottime, monotonic)
    }

    /// Records both clock readings and returns the suspended time since the last ones.
    pub(super) fn update(&mut self, boottime: Duration, monotonic: Duration) -> Option<Duration> {
        let lead = boottime.saturating_sub(monotonic);
        let former_lead = self.lead.replace(lead)?;
        Some(lead.saturating_sub(former_lead)).filter(|it| *it >= SUSPENSION_MIN)
    }
}

fn read(clock: ClockId) -> nix::Result<Duration> {
    clock_gettime(clock).map(Duration::from)
}
