//! Trait of the platform's object API, with its objects and errors.

use std::{future::Future, net::SocketAddr, pin::Pin, time::Duration};

use bytes::Bytes;
use model::ObjectVersion;

/// Future of a call to the platform.
pub type StoreResult<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// An object with the version at which it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    pub version: ObjectVersion,
    pub body: Bytes,
}

/// One object in a list or watch; a deleted object has no body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    pub path: String,
    pub version: ObjectVersion,
    pub body: Option<Bytes>,
}

/// Answer to a list or watch, with the revision from which the next watch continues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    pub revision: ObjectVersion,
    pub changes: Vec<Change>,
}

/// Failure of a call. Each variant carries the step that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// The object has another version than expected, so the update has had no effect.
    #[error("{step}: the object has version {current}, not the expected version")]
    Conflict { step: String, current: ObjectVersion },
    /// The platform rejected the call, which has had no effect.
    #[error("{step}: platform {peer} refused the call: {reason}")]
    Refused { step: String, peer: SocketAddr, reason: String },
    /// The store has dropped the changes after the revision of a watch, so the caller must list again.
    #[error("{step}: the history after the watched revision has been dropped")]
    HistoryGone { step: String },
    /// The platform did not answer as expected; an update may or may not have taken effect.
    #[error("{step}: no answer from platform {peer}: {reason}")]
    Unavailable { step: String, peer: SocketAddr, reason: String },
}

/// Object API of the platform. Each call ends within the client's timeout.
pub trait ObjectStore: Send + Sync {
    /// Reads the latest acknowledged state of an object.
    fn read(&self, path: &str) -> StoreResult<'_, Option<Object>>;
    /// Reads an acknowledged state of an object that may be seconds old, where a store has a cheaper read for that.
    fn read_maybe_stale(&self, path: &str) -> StoreResult<'_, Option<Object>> {
        self.read(path)
    }
    /// Updates an object if it has the expected version. An expected version without a revision means that the object
    /// must not exist.
    fn update(
        &self,
        path: &str,
        expected: ObjectVersion,
        body: Bytes,
    ) -> StoreResult<'_, ObjectVersion>;
    /// Returns the number of rollbacks of the store to an older snapshot, according to its latest answer. The version
    /// of an absent object belongs to this era.
    fn era(&self) -> u64 {
        0
    }
    fn list(&self, prefix: &str) -> StoreResult<'_, Changes>;
    /// Lists an acknowledged state that may be seconds old, where a store has a cheaper list for that. A watch from
    /// the list's revision returns the newer changes.
    fn list_maybe_stale(&self, prefix: &str) -> StoreResult<'_, Changes> {
        self.list(prefix)
    }
    /// Waits at most `wait` for changes after a revision; an empty answer means that there were none.
    fn watch(&self, prefix: &str, after: ObjectVersion, wait: Duration)
    -> StoreResult<'_, Changes>;
}
