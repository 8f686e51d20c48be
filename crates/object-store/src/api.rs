//! The border to the platform, as a trait.

use std::{future::Future, net::SocketAddr, pin::Pin, time::Duration};

use bytes::Bytes;
use model::ObjectVersion;

/// What a call to the platform resolves to.
pub type StoreResult<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// An object as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    pub version: ObjectVersion,
    pub body: Bytes,
}

/// One object in a list or watch; a deleted one has no body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    pub path: String,
    pub version: ObjectVersion,
    pub body: Option<Bytes>,
}

/// The answer to a list or watch, and the revision to go on from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    pub revision: ObjectVersion,
    pub changes: Vec<Change>,
}

/// Why a call has no result. Each names the step and the peer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// Known not to have taken effect.
    #[error("{step}: the object has version {current}, not the expected one")]
    Conflict { step: String, current: ObjectVersion },
    /// Known not to have taken effect.
    #[error("{step}: platform {peer} refused: {reason}")]
    Refused { step: String, peer: SocketAddr, reason: String },
    /// What came after the revision of a watch is not known any more: list anew.
    #[error("{step}: the history has been dropped")]
    HistoryGone { step: String },
    /// An update may or may not have taken effect.
    #[error("{step}: no answer from platform {peer}: {reason}")]
    Unavailable { step: String, peer: SocketAddr, reason: String },
}

/// The platform's object API. All calls end within the client's timeout.
pub trait ObjectStore: Send + Sync {
    /// Reads the latest acknowledged state of an object.
    fn read(&self, path: &str) -> StoreResult<'_, Option<Object>>;
    /// Reads some acknowledged state of an object, perhaps seconds old, where a store has a cheaper way for that.
    fn read_maybe_stale(&self, path: &str) -> StoreResult<'_, Option<Object>> {
        self.read(path)
    }
    /// Updates on condition of the version; one without a revision: that it does not exist.
    fn update(
        &self,
        path: &str,
        expected: ObjectVersion,
        body: Bytes,
    ) -> StoreResult<'_, ObjectVersion>;
    /// How often the store had come back from an older copy, by the latest answer. The version of an object that does
    /// not exist is of this era.
    fn era(&self) -> u64 {
        0
    }
    fn list(&self, prefix: &str) -> StoreResult<'_, Changes>;
    /// Lists some acknowledged state, perhaps seconds old, where a store has a cheaper way for that. A watch from
    /// its revision makes up for the rest.
    fn list_maybe_stale(&self, prefix: &str) -> StoreResult<'_, Changes> {
        self.list(prefix)
    }
    /// Waits at most `wait` for changes after a revision; an empty answer means none came.
    fn watch(&self, prefix: &str, after: ObjectVersion, wait: Duration)
    -> StoreResult<'_, Changes>;
}
