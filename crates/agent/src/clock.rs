//! The process's monotonic clock, shared by control and traffic.

use model::Timestamp;
use tokio::time::Instant;

/// Converts between the runtime's clock and [`Timestamp`]s. Copies share the origin.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose origin is now. Each process has one.
    pub fn start() -> Clock {
        Clock { origin: Instant::now() }
    }

    pub fn now(self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    /// Converts a timestamp to the runtime's clock, as a sleep needs it.
    pub fn instant(self, at: Timestamp) -> Instant {
        self.origin + at.since(Timestamp::ZERO)
    }
}
