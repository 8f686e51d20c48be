//! Eras of a store that may be rolled back, that is, restored from an older snapshot.
//!
//! After a rollback the store continues from a lower revision and assigns the later revisions again. All its answers
//! carry the number of rollbacks so far, the era. Versions of a later era compare above all versions of earlier eras.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use http::HeaderValue;
use model::ObjectVersion;

use crate::StoreError;

/// Latest era that one client has received from one store, stored as the era plus one, or 0 before the first answer.
#[derive(Debug, Default)]
pub struct EraTracker(AtomicU64);

/// Parses the header with the era of an answer. Without one the store was never rolled back.
///
/// # Errors
///
/// A text for the log, if the value is not an era that versions can have. The answer must not be used then: its versions
/// would be those of an earlier era.
pub fn parse_era(header: Option<&HeaderValue>) -> Result<u64, String> {
    let Some(value) = header else { return Ok(0) };
    let era = value.to_str().ok().and_then(|it| it.trim().parse().ok());
    let era = era.ok_or_else(|| format!("{value:?} is no era of the store"))?;
    ObjectVersion::try_of(era, 0).map_err(|error| error.to_string())?;
    Ok(era)
}

impl EraTracker {
    /// Records the era of an answer. Returns whether the store was rolled back since the last answer.
    pub fn observe(&self, era: u64) -> bool {
        let known = self.0.fetch_max(era + 1, Ordering::SeqCst).checked_sub(1);
        let Some(known) = known.filter(|it| era > *it) else { return false };
        log::warn!(target: "platform", "The store was rolled back to an older snapshot: era {era} follows era {known}.");
        true
    }

    pub fn latest(&self) -> u64 {
        self.0.load(Ordering::SeqCst).saturating_sub(1)
    }

    /// Returns the expected revision to send with an update. A revision of an earlier era is refused, as the store may
    /// have assigned it again to another change.
    ///
    /// # Errors
    ///
    /// `Conflict`, if the store was rolled back since the expected version.
    pub fn revision_for_update(
        &self,
        step: &str,
        expected: ObjectVersion,
    ) -> Result<u64, StoreError> {
        let latest = self.latest();
        if expected != ObjectVersion(0) && expected.era() < latest {
            let current = ObjectVersion::of(latest, 0);
            return Err(StoreError::Conflict { step: step.to_owned(), current });
        }
        Ok(expected.revision())
    }

    /// Confirms an update whose answer carries `version`.
    ///
    /// # Errors
    ///
    /// `Unavailable`, if the expected version is of an earlier era: which state the update has replaced is unknown.
    pub fn confirm_update(
        &self,
        step: String,
        peer: SocketAddr,
        expected: ObjectVersion,
        version: ObjectVersion,
    ) -> Result<ObjectVersion, StoreError> {
        if expected == ObjectVersion(0) || expected.era() == version.era() {
            return Ok(version);
        }
        let reason = "the store was rolled back to an older snapshot during the update".to_owned();
        Err(StoreError::Unavailable { step, peer, reason })
    }

    /// Returns the revision to watch from.
    ///
    /// # Errors
    ///
    /// `HistoryGone`, if the store was rolled back since `after`.
    pub fn revision_for_watch(&self, step: &str, after: ObjectVersion) -> Result<u64, StoreError> {
        if after.era() < self.latest() {
            return Err(StoreError::HistoryGone { step: step.to_owned() });
        }
        Ok(after.revision())
    }
}
