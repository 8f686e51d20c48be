//! Limits on the heads and the idle time of clients.

use std::time::Duration;

use settings::TrafficLimits;

/// Bytes of a head beside the path and the headers that `header_bytes_max` counts: method, version, line ends and blanks.
const UNCOUNTED_HEAD_BYTES: usize = 1 << 10;

/// Limits while no document is known. No document allows clients more, but for the idle time.
const WITHOUT_DOCUMENTS: ClientLimits = ClientLimits {
    head_bytes_max: (256 << 10) + UNCOUNTED_HEAD_BYTES,
    head_time_max: Duration::from_secs(600),
    idle_time_max: Duration::from_secs(300),
};

/// Limits on what a client may send before a request's body, and on the time that it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClientLimits {
    /// Size of a head with all its bytes.
    pub(crate) head_bytes_max: usize,
    /// Time from the first byte of a head to its end.
    pub(crate) head_time_max: Duration,
    /// Time without a request, or without progress of an answer that is being sent.
    pub(crate) idle_time_max: Duration,
}

impl ClientLimits {
    /// Returns the widest limits of several documents, since a request's service is known only with its head.
    pub(crate) fn widest<'a>(documents: impl Iterator<Item = &'a TrafficLimits>) -> ClientLimits {
        let limits = documents.map(ClientLimits::from);
        limits.reduce(ClientLimits::or_wider).unwrap_or_default()
    }

    fn or_wider(self, other: ClientLimits) -> ClientLimits {
        ClientLimits {
            head_bytes_max: self.head_bytes_max.max(other.head_bytes_max),
            head_time_max: self.head_time_max.max(other.head_time_max),
            idle_time_max: self.idle_time_max.max(other.idle_time_max),
        }
    }
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        WITHOUT_DOCUMENTS
    }
}

impl From<&TrafficLimits> for ClientLimits {
    fn from(limits: &TrafficLimits) -> ClientLimits {
        ClientLimits {
            head_bytes_max: limits.header_bytes_max + UNCOUNTED_HEAD_BYTES,
            head_time_max: limits.header_time_max,
            idle_time_max: limits.idle_time_max,
        }
    }
}
