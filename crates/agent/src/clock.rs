//! The process's monotonic clock, shared by control and traffic.

use model::Timestamp;
use tokio::time::Instant;

/// Turns the runtime's clock into [`Timestamp`]s; copies share the origin.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now; one is made for each process.
    pub fn start() -> Clock {
        Clock { origin: Instant::now() }
    }

    pub fn now(self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    /// The runtime's name for a point on this clock, for sleeping until it.
    pub fn instant(self, at: Timestamp) -> Instant {
        self.origin + at.since(Timestamp::ZERO)
    }
}
