//! When a status is worth a write: soon for documents, seldom for moves.
//!
//! The platform takes several hundred writes a second for the whole fleet. When a zone goes, every
//! group has news in the same second in which coordinators need the platform for terms and plans,
//! so news of ownership waits, and waits longer each time; news of documents is rare and does not.

use std::time::Duration;

use model::Timestamp;
use settings::Status;

/// The shortest time between two writes.
const WRITE_EVERY: Duration = Duration::from_millis(250);
/// How long a document may be on its way to the members before that is worth a write.
const SPREADING_MAX: Duration = Duration::from_millis(500);
/// News of ownership wait up to this long, by a draw, so that groups do not write all at once.
const OWNERSHIP_DELAY_MAX: Duration = Duration::from_millis(2_000);
/// The time between two writes about ownership; doubles with each one up to the second.
const OWNERSHIP_EVERY: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(8)];
/// A status without news is written again after this, so that a reader sees its age.
const WRITE_AGAIN_AFTER: Duration = Duration::from_secs(30);
/// The pause after a write that failed.
const FAILED_PAUSE: Duration = Duration::from_secs(1);

/// What was written when, and how long the next news wait.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    written: Option<(Timestamp, Status)>,
    failed_at: Option<Timestamp>,
    /// Since when there are news.
    news_since: Option<Timestamp>,
    ownership_every: Duration,
    ownership_delay: Duration,
}

/// What a status tells that the one before did not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum News {
    None,
    Ownership,
    Document,
}

impl Pace {
    /// Whether a status is to be written now.
    pub(crate) fn is_due(&mut self, now: Timestamp, status: &Status) -> bool {
        if self.failed_at.is_some_and(|it| now.since(it) < FAILED_PAUSE) {
            return false;
        }
        let Some((written_at, written)) = &self.written else { return true };
        let age = now.since(*written_at);
        let news = news(written, status);
        if news == News::None {
            self.news_since = None;
            return age >= WRITE_AGAIN_AFTER;
        }
        let waited = now.since(*self.news_since.get_or_insert(now));
        match news {
            News::Document if is_spreading(status) => waited >= SPREADING_MAX,
            News::Document => age >= WRITE_EVERY,
            _ => age >= self.ownership_every && waited >= self.ownership_delay,
        }
    }

    /// Notes that a status is being written; `jitter` is drawn from 0 to 1.
    pub(crate) fn written(&mut self, now: Timestamp, status: Status, jitter: f64) {
        let [least, most] = OWNERSHIP_EVERY;
        self.ownership_every = match &self.written {
            Some((at, former)) if now.since(*at) < WRITE_AGAIN_AFTER => match news(former, &status)
            {
                News::Ownership => (self.ownership_every * 2).clamp(least, most),
                News::Document | News::None => self.ownership_every,
            },
            _ => least,
        };
        self.ownership_delay = OWNERSHIP_DELAY_MAX.mul_f64(jitter);
        self.written = Some((now, status));
        self.news_since = None;
        self.failed_at = None;
    }

    /// Notes that a write failed: all is news again.
    pub(crate) fn failed(&mut self, now: Timestamp) {
        self.written = None;
        self.failed_at = Some(now);
    }
}

/// The accepted version is not yet in force on all members.
fn is_spreading(status: &Status) -> bool {
    status.in_force.instances < status.in_force.of
}

fn news(written: &Status, status: &Status) -> News {
    let documents =
        |it: &Status| (it.accepted, is_spreading(it), it.refused.as_ref().map(|it| it.version));
    let slots = |it: &Status| -> Vec<_> {
        it.owners.iter().map(|it| (it.instance.clone(), it.slots)).collect()
    };
    match () {
        () if documents(written) != documents(status) => News::Document,
        () if written.in_force.of != status.in_force.of
            || written.coordinator != status.coordinator
            || written.upstreams != status.upstreams
            || written.moves != status.moves
            || written.hot_keys != status.hot_keys
            || slots(written) != slots(status) =>
        {
            News::Ownership
        }
        () => News::None,
    }
}
