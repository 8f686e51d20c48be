//! The coordinator's watches: the own document, and all accepted ones.
//!
//! Members watch nothing; versions reach them along the links of their group. So the platform sees
//! two waiting watches a group, whatever the size of the fleet.

use std::time::Duration;

use model::{ConfigVersion, ObjectVersion, ServiceName, Timestamp};
use object_store::{Changes, StoreError};
use rand::RngExt;
use settings::{Accepted, service_path};

use crate::control::{
    calls::{ACCEPTED_PATH_PREFIX, WATCH_WAIT, WatchPrefix},
    state::Control,
};

/// After a failed watch, the next one starts after one to two of the first; the pause doubles with
/// each further failure up to the second, so that an outage is no rush.
const RETRY_BACKOFF: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(2)];
/// The least time between the starts of two watches, even if the platform ends each at once.
const WATCH_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// A watch that is silent for this much longer than it may wait is given up and renewed.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
pub(crate) struct Watches {
    document: Watch,
    accepted: Watch,
}

/// One watch after another of one prefix.
#[derive(Debug, Default)]
pub(super) struct Watch {
    /// What the platform last said; none: list first.
    revision: Option<ObjectVersion>,
    /// Waiting since.
    started_at: Option<Timestamp>,
    not_before: Timestamp,
    /// The pause after the next failure.
    backoff: Duration,
}

impl Watch {
    /// Whether a call is to be made now; notes that it is.
    pub(super) fn try_start(&mut self, now: Timestamp) -> bool {
        let silent = |it: &Timestamp| now.since(*it) > WATCH_WAIT + TIMEOUT_MARGIN;
        if self.started_at.is_some_and(|it| !silent(&it)) || now < self.not_before {
            return false;
        }
        self.started_at = Some(now);
        self.not_before = now + WATCH_INTERVAL_MIN;
        true
    }

    pub(super) fn on_answer(&mut self, revision: ObjectVersion) {
        self.started_at = None;
        self.revision = Some(self.revision.map_or(revision, |it| it.max(revision)));
        self.backoff = RETRY_BACKOFF[0];
    }

    /// Changes may have been missed.
    pub(super) fn require_list(&mut self) {
        self.revision = None;
    }

    /// `jitter` is drawn from 1 to 2.
    pub(super) fn on_failure(&mut self, now: Timestamp, jitter: f64) {
        self.started_at = None;
        let [least, most] = RETRY_BACKOFF;
        let backoff = self.backoff.clamp(least, most);
        self.not_before = now + backoff.mul_f64(jitter);
        self.backoff = backoff * 2;
    }
}

impl Control {
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
                log::debug!(target: "config", "{error}.");
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
            match serde_json::from_slice::<Accepted>(body) {
                Ok(it)
                    if change.path.strip_prefix(ACCEPTED_PATH_PREFIX)
                        == Some(it.service.as_str()) =>
                {
                    self.apply_document(&it.service, it.version, &it.document);
                    self.announce_version(it.service, it.version);
                }
                Ok(it) => log::error!(target: "config", "{} names {}.", change.path, it.service),
                Err(error) => {
                    log::error!(target: "config", "{} can't be understood: {error}.", change.path);
                }
            }
        }
    }

    /// Tells the members of a version at once; they fetch the document if they have use for it.
    fn announce_version(&mut self, service: ServiceName, version: ConfigVersion) {
        self.send_to_members(&[(service, version)]);
    }
}
