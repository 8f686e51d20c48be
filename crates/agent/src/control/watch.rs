//! The coordinator's watches: one of the own service's document and one of all accepted documents.
//!
//! Other members do not watch: the coordinator sends them new versions over the links of the group.
//! The platform thus holds two watches per group, however many members there are.

use std::time::Duration;

use model::{ConfigVersion, ObjectVersion, ServiceName, Timestamp};
use object_store::{Changes, StoreError};
use rand::RngExt;
use settings::{AcceptedDocument, service_path};

use crate::control::{
    calls::{ACCEPTED_PREFIX, WATCH_WAIT, WatchPrefix},
    state::Control,
};

/// The least and the greatest backoff after a failed watch, before jitter of 1 to 2. The backoff
/// doubles with each further failure, which limits the load on the platform during an outage.
const RETRY_BACKOFF: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(2)];
/// The least time between the starts of two watches, even if the platform answers each at once.
const WATCH_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// A watch without an answer is abandoned and restarted this long after [`WATCH_WAIT`].
const TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// The watches of one coordinator.
#[derive(Debug, Default)]
pub(crate) struct Watches {
    document: Watch,
    accepted: Watch,
}

/// The state of the consecutive watches of one prefix.
#[derive(Debug, Default)]
pub(super) struct Watch {
    /// The revision that the next watch continues from, or `None` if the prefix must be listed.
    revision: Option<ObjectVersion>,
    /// When the watch in flight was started, or `None` if none is in flight.
    started_at: Option<Timestamp>,
    /// The earliest start of the next watch.
    not_before: Timestamp,
    /// The backoff after the next failure.
    backoff: Duration,
}

impl Watch {
    /// Returns whether a call is due, and records its start if so.
    pub(super) fn try_start(&mut self, now: Timestamp) -> bool {
        let has_timed_out = |it: &Timestamp| now.since(*it) > WATCH_WAIT + TIMEOUT_MARGIN;
        if self.started_at.is_some_and(|it| !has_timed_out(&it)) || now < self.not_before {
            return false;
        }
        self.started_at = Some(now);
        self.not_before = now + WATCH_INTERVAL_MIN;
        true
    }

    /// Records an answer with the platform's revision and resets the backoff.
    pub(super) fn on_answer(&mut self, revision: ObjectVersion) {
        self.started_at = None;
        self.revision = Some(self.revision.map_or(revision, |it| it.max(revision)));
        self.backoff = RETRY_BACKOFF[0];
    }

    /// Makes the next call a list, since changes may have been missed.
    pub(super) fn require_list(&mut self) {
        self.revision = None;
    }

    /// Schedules the next watch after the backoff multiplied by `jitter`, a random number from 1
    /// to 2.
    pub(super) fn on_failure(&mut self, now: Timestamp, jitter: f64) {
        self.started_at = None;
        let [least, most] = RETRY_BACKOFF;
        let backoff = self.backoff.clamp(least, most);
        self.not_before = now + backoff.mul_f64(jitter);
        self.backoff = backoff * 2;
    }
}

impl Control {
    /// Starts the watches that are due, if this instance is the coordinator.
    pub(super) fn start_watches(&mut self, now: Timestamp) {
        let is_coordinator = self.group.as_ref().is_some_and(|it| it.view.is_coordinator);
        if !is_coordinator {
            return;
        }
        for prefix in [WatchPrefix::Document(self.service().clone()), WatchPrefix::Accepted] {
            let watch = self.watch_mut(&prefix);
            if !watch.try_start(now) {
                continue;
            }
            match watch.revision {
                Some(after) => self.parts.calls.watch(prefix, after),
                None => self.parts.calls.list(prefix),
            }
        }
    }

    /// Handles the answer of a watch or a list.
    pub(super) fn on_watch_result(
        &mut self,
        prefix: WatchPrefix,
        result: Result<Changes, StoreError>,
    ) {
        let now = self.now();
        let jitter = self.rng.random_range(1.0..2.0);
        let watch = self.watch_mut(&prefix);
        match result {
            Ok(changes) => {
                watch.on_answer(changes.revision);
                match prefix {
                    WatchPrefix::Document(service) => self.on_document_changes(&service, &changes),
                    WatchPrefix::Accepted => self.on_accepted_changes(&changes),
                }
            }
            Err(error) => {
                log::debug!(target: "config", "A watch failed and is retried: {error}.");
                watch.on_failure(now, jitter);
                if matches!(error, StoreError::HistoryGone { .. }) {
                    watch.require_list();
                }
            }
        }
    }

    fn watch_mut(&mut self, prefix: &WatchPrefix) -> &mut Watch {
        match prefix {
            WatchPrefix::Document(_) => &mut self.watches.document,
            WatchPrefix::Accepted => &mut self.watches.accepted,
        }
    }

    fn on_document_changes(&mut self, service: &ServiceName, changes: &Changes) {
        let path = service_path(service);
        if changes.changes.iter().any(|it| it.path == path) {
            self.parts.calls.read_accepted(service);
        }
    }

    fn on_accepted_changes(&mut self, changes: &Changes) {
        for change in &changes.changes {
            let Some(body) = &change.body else { continue };
            match serde_json::from_slice::<AcceptedDocument>(body) {
                Ok(it)
                    if change.path.strip_prefix(ACCEPTED_PREFIX) == Some(it.service.as_str()) =>
                {
                    self.apply_document(&it.service, it.version, &it.document);
                    self.announce_version(it.service, it.version);
                }
                Ok(it) => {
                    log::error!(target: "config", "Ignored {}: its accepted document names service {}.", change.path, it.service)
                }
                Err(error) => {
                    log::error!(target: "config", "Cannot parse {} as an accepted document: {error}.", change.path);
                }
            }
        }
    }

    /// Sends a version to all members at once; a member that uses the service fetches the document.
    fn announce_version(&mut self, service: ServiceName, version: ConfigVersion) {
        self.send_versions(&[(service, version)]);
    }
}
