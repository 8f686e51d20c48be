//! When a status is worth a write: soon for documents, seldom for moves.
//!
//! The platform takes several hundred writes a second for the whole fleet. When a zone goes, every
//! group has news in the same second in which coordinators need the platform for terms and plans,
//! so news of ownership waits, and waits longer each time; news of documents is rare and does not.

use std::time::Duration;

use model::Timestamp;
use settings::Status;

/// The shortest time between two writes.
const WRITE_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// How long a document may be on its way to the members before that is worth a write.
const ROLLOUT_WAIT_MAX: Duration = Duration::from_millis(500);
/// News of ownership wait up to this long, by a draw, so that groups do not write all at once.
const OWNERSHIP_DELAY_MAX: Duration = Duration::from_millis(2_000);
/// The time between two writes about ownership; doubles with each one up to the second.
const OWNERSHIP_INTERVALS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(8)];
/// A status without news is written again after this, so that a reader sees its age.
const REFRESH_AFTER: Duration = Duration::from_secs(30);
/// The pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// What was written when, and how long the next news wait.
#[derive(Debug, Default)]
pub(crate) struct StatusSchedule {
    written: Option<(Timestamp, Status)>,
    failed_at: Option<Timestamp>,
    /// Since when there are news.
    changed_since: Option<Timestamp>,
    ownership_interval: Duration,
    ownership_delay: Duration,
}

/// What a status tells that the one before did not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StatusChange {
    None,
    Ownership,
    Document,
}

impl StatusSchedule {
    /// Whether a status is to be written now.
    pub(crate) fn is_due(&mut self, now: Timestamp, status: &Status) -> bool {
        if self.failed_at.is_some_and(|it| now.since(it) < RETRY_PAUSE) {
            return false;
        }
        let Some((written_at, written)) = &self.written else { return true };
        let age = now.since(*written_at);
        let change = diff(written, status);
        if change == StatusChange::None {
            self.changed_since = None;
            return age >= REFRESH_AFTER;
        }
        let waited = now.since(*self.changed_since.get_or_insert(now));
        match change {
            StatusChange::Document if is_rolling_out(status) => waited >= ROLLOUT_WAIT_MAX,
            StatusChange::Document => age >= WRITE_INTERVAL_MIN,
            _ => age >= self.ownership_interval && waited >= self.ownership_delay,
        }
    }

    /// Notes that a status is being written; `jitter` is drawn from 0 to 1.
    pub(crate) fn record_write(&mut self, now: Timestamp, status: Status, jitter: f64) {
        let [least, most] = OWNERSHIP_INTERVALS;
        self.ownership_interval = match &self.written {
            Some((at, former)) if now.since(*at) < REFRESH_AFTER => match diff(former, &status) {
                StatusChange::Ownership => (self.ownership_interval * 2).clamp(least, most),
                StatusChange::Document | StatusChange::None => self.ownership_interval,
            },
            _ => least,
        };
        self.ownership_delay = OWNERSHIP_DELAY_MAX.mul_f64(jitter);
        self.written = Some((now, status));
        self.changed_since = None;
        self.failed_at = None;
    }

    /// Notes that a write failed: all is news again.
    pub(crate) fn record_failure(&mut self, now: Timestamp) {
        self.written = None;
        self.failed_at = Some(now);
    }
}

/// The accepted version is not yet in force on all members.
fn is_rolling_out(status: &Status) -> bool {
    status.in_force.instances < status.in_force.of
}

fn diff(written: &Status, status: &Status) -> StatusChange {
    let documents =
        |it: &Status| (it.accepted, is_rolling_out(it), it.refused.as_ref().map(|it| it.version));
    let slots = |it: &Status| -> Vec<_> {
        it.owners.iter().map(|it| (it.instance.clone(), it.slots)).collect()
    };
    match () {
        () if documents(written) != documents(status) => StatusChange::Document,
        () if written.in_force.of != status.in_force.of
            || written.coordinator != status.coordinator
            || written.upstreams != status.upstreams
            || written.moves != status.moves
            || written.hot_keys != status.hot_keys
            || slots(written) != slots(status) =>
        {
            StatusChange::Ownership
        }
        () => StatusChange::None,
    }
}
