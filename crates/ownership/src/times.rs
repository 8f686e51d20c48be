//! How long a node waits until a timeout must have ended on another node's clock as well.

use std::time::Duration;

use crate::{Limits, TermTimes};

fn ceil_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}

impl From<&Limits> for TermTimes {
    fn from(limits: &Limits) -> TermTimes {
        TermTimes {
            lease_ms: ceil_ms(limits.lease),
            drift_margin_ms: ceil_ms(limits.drift_margin),
            confirmation_ms: ceil_ms(limits.confirmation),
            platform_confirmation_ms: ceil_ms(limits.platform_confirmation),
            platform_absence_max_ms: ceil_ms(limits.platform_absence_max),
        }
    }
}

impl TermTimes {
    /// Returns the shorter of each pair of timeouts, and the larger drift margin.
    pub(crate) fn min(self, other: TermTimes) -> TermTimes {
        self.merge(other, u32::min)
    }

    fn merge(self, other: TermTimes, pick: impl Fn(u32, u32) -> u32) -> TermTimes {
        TermTimes {
            lease_ms: pick(self.lease_ms, other.lease_ms),
            drift_margin_ms: self.drift_margin_ms.max(other.drift_margin_ms),
            confirmation_ms: pick(self.confirmation_ms, other.confirmation_ms),
            platform_confirmation_ms: pick(
                self.platform_confirmation_ms,
                other.platform_confirmation_ms,
            ),
            platform_absence_max_ms: pick(
                self.platform_absence_max_ms,
                other.platform_absence_max_ms,
            ),
        }
    }

    pub(crate) fn lease(self) -> Duration {
        Duration::from_millis(self.lease_ms.into())
    }

    pub(crate) fn confirmation(self) -> Duration {
        Duration::from_millis(self.confirmation_ms.into())
    }

    pub(crate) fn platform_confirmation(self) -> Duration {
        Duration::from_millis(self.platform_confirmation_ms.into())
    }

    pub(crate) fn platform_absence_max(self) -> Duration {
        Duration::from_millis(self.platform_absence_max_ms.into())
    }

    /// Returns how long to wait on this node's clock until `duration` has passed on every other node's clock. Adds
    /// the drift margin once per started lease duration.
    pub(crate) fn with_drift_margin(self, duration: Duration) -> Duration {
        let lease_ms = u128::from(self.lease_ms.max(1));
        let periods = duration.as_millis().div_ceil(lease_ms).max(1);
        let margin_ms = u128::from(self.drift_margin_ms) * periods;
        duration + Duration::from_millis(u64::try_from(margin_ms).unwrap_or(u64::MAX))
    }
}
