//! Revisions of a store that may come back from an older copy.
//!
//! It then goes on from a lower revision and gives the later ones out again. It counts how often that was, in all its
//! answers: versions of a later era are above all of earlier ones.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use model::ObjectVersion;

use crate::StoreError;

/// The latest era of one store that one client has heard of: one more than it, and 0 before the first answer.
#[derive(Debug, Default)]
pub struct EraTracker(AtomicU64);

impl EraTracker {
    /// Takes in the era that an answer names. True if the store has come back from an older copy since the last answer.
    pub fn observe(&self, era: u64) -> bool {
        let known = self.0.fetch_max(era + 1, Ordering::SeqCst).checked_sub(1);
        let Some(known) = known.filter(|it| era > *it) else { return false };
        log::warn!(target: "platform", "The store has come back from an older copy: era {era} after {known}.");
        true
    }

    pub fn latest(&self) -> u64 {
        self.0.load(Ordering::SeqCst).saturating_sub(1)
    }

    /// The revision to make an update on condition of. One of an earlier era may have been given out again for
    /// something else.
    ///
    /// # Errors
    ///
    /// `Conflict`, if the store has come back from an older copy since.
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

    /// What an update has come to whose answer names this version.
    ///
    /// # Errors
    ///
    /// `Unavailable`, if its condition was of an earlier era: what it has replaced is not known.
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
        let reason = "the store came back from an older copy meanwhile".to_owned();
        Err(StoreError::Unavailable { step, peer, reason })
    }

    /// The revision to watch from.
    ///
    /// # Errors
    ///
    /// `HistoryGone`, if the store has come back from an older copy since.
    pub fn revision_for_watch(&self, step: &str, after: ObjectVersion) -> Result<u64, StoreError> {
        if after.era() < self.latest() {
            return Err(StoreError::HistoryGone { step: step.to_owned() });
        }
        Ok(after.revision())
    }
}
