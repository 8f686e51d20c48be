//! The coordinator's watches: the own document, and all accepted ones.
//!
//! Members watch nothing; versions reach them along the links of their group. So the platform sees
//! two waiting watches a group, whatever the size of the fleet.

use std::time::Duration;

use model::{ConfigVersion, ObjectVersion, ServiceName, Timestamp};
use platform::{Changes, PlatformError};
use rand::RngExt;
use settings::{Accepted, service_path};

use crate::control::{
    calls::{ACCEPTED_PREFIX, WATCH_WAIT, WatchPrefix},
    state::Control,
};

/// After a failed watch, the next one starts after one to two of these.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// A watch that is silent for this much longer than it may wait is given up and renewed.
const SILENCE_MARGIN: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
pub(crate) struct Watches {
    document: Watch,
    accepted: Watch,
}

#[derive(Debug, Default)]
struct Watch {
    /// What the platform last said; none: list first.
    after: Option<ObjectVersion>,
    /// Waiting since.
    running: Option<Timestamp>,
    not_before: Timestamp,
}

impl Control {
    pub(super) fn watch_platform(&mut self, now: Timestamp) {
        let coordinates = self.group.as_ref().is_some_and(|it| it.view.is_coordinator);
        if !coordinates {
            return;
        }
        for prefix in [WatchPrefix::Document(self.service().clone()), WatchPrefix::Accepted] {
            let watch = self.watch_of(&prefix);
            let silent =
                watch.running.is_some_and(|it| now.since(it) > WATCH_WAIT + SILENCE_MARGIN);
            if (watch.running.is_some() && !silent) || now < watch.not_before {
                continue;
            }
            watch.running = Some(now);
            match watch.after {
                Some(after) => self.parts.calls.watch(prefix, after),
                None => self.parts.calls.list(prefix),
            }
        }
    }

    pub(super) fn watched(&mut self, prefix: WatchPrefix, result: Result<Changes, PlatformError>) {
        let now = self.now();
        let jitter = self.rng.random_range(1.0..2.0);
        let watch = self.watch_of(&prefix);
        watch.running = None;
        match result {
            Ok(changes) => {
                watch.after =
                    Some(watch.after.map_or(changes.revision, |it| it.max(changes.revision)));
                match prefix {
                    WatchPrefix::Document(service) => self.document_changed(&service, &changes),
                    WatchPrefix::Accepted => self.accepted_changed(&changes),
                }
            }
            Err(error) => {
                log::debug!(target: "config", "{error}.");
                watch.not_before = now + RETRY_AFTER.mul_f64(jitter);
            }
        }
    }

    fn watch_of(&mut self, prefix: &WatchPrefix) -> &mut Watch {
        match prefix {
            WatchPrefix::Document(_) => &mut self.watches.document,
            WatchPrefix::Accepted => &mut self.watches.accepted,
        }
    }

    fn document_changed(&mut self, service: &ServiceName, changes: &Changes) {
        let path = service_path(service);
        if changes.changes.iter().any(|it| it.path == path) {
            self.parts.calls.read_accepted(service);
        }
    }

    fn accepted_changed(&mut self, changes: &Changes) {
        for change in &changes.changes {
            let Some(body) = &change.body else { continue };
            match serde_json::from_slice::<Accepted>(body) {
                Ok(it)
                    if change.path.strip_prefix(ACCEPTED_PREFIX) == Some(it.service.as_str()) =>
                {
                    self.offer_document(&it.service, it.version, &it.document);
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
