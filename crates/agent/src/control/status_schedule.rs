//! Schedules the writes of the group's status: soon after changes of documents, rarely for changes
//! of ownership.
//!
//! The platform handles several hundred writes per second for all groups together. When a zone
//! fails, ownership changes in every group within the same second in which coordinators need the
//! platform for terms and plans. Writes about ownership are therefore delayed, with increasing
//! intervals. Changes of documents are rare and written without that delay.

use std::time::Duration;

use model::Timestamp;
use settings::GroupStatus;

/// The shortest interval between two writes about documents.
const WRITE_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// How long a write waits for an accepted document to be in force on all members.
const ROLLOUT_WAIT_MAX: Duration = Duration::from_millis(500);
/// The greatest random delay of a write about ownership, which spreads the writes of all groups.
const OWNERSHIP_DELAY_MAX: Duration = Duration::from_millis(2_000);
/// The first and the greatest interval between writes about ownership. The interval doubles with
/// each consecutive one.
const OWNERSHIP_INTERVALS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(8)];
/// An unchanged status is rewritten after this time, so that readers can tell it from an outdated
/// one.
const REFRESH_AFTER: Duration = Duration::from_secs(30);
/// The pause after a failed read or write.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The last written status and the delays of the next write.
#[derive(Debug, Default)]
pub(crate) struct StatusSchedule {
    /// The last written status and when it was written, or `None` if a write is due at once.
    written: Option<(Timestamp, GroupStatus)>,
    failed_at: Option<Timestamp>,
    /// When the status first differed from the written one.
    changed_since: Option<Timestamp>,
    ownership_interval: Duration,
    ownership_delay: Duration,
}

/// The kind of change between two statuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StatusChange {
    None,
    Ownership,
    Document,
}

impl StatusSchedule {
    /// Returns whether a write of `status` is due.
    pub(crate) fn is_due(&mut self, now: Timestamp, status: &GroupStatus) -> bool {
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

    /// Records the write of a status. `jitter` is a random number from 0 to 1.
    pub(crate) fn record_write(&mut self, now: Timestamp, status: GroupStatus, jitter: f64) {
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

    /// Records a failed read or write, after which the whole status is written again.
    pub(crate) fn record_failure(&mut self, now: Timestamp) {
        self.written = None;
        self.failed_at = Some(now);
    }
}

/// Returns whether the accepted version is not yet in force on all members.
fn is_rolling_out(status: &GroupStatus) -> bool {
    status.in_force.instances < status.in_force.of
}

/// Returns the kind of change from the written status to the current one.
fn diff(written: &GroupStatus, status: &GroupStatus) -> StatusChange {
    let documents = |it: &GroupStatus| {
        (it.accepted, is_rolling_out(it), it.refused.as_ref().map(|it| it.version))
    };
    let slots = |it: &GroupStatus| -> Vec<_> {
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
