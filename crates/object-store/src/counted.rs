//! Store wrapper that counts the calls to the platform by kind.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use model::ObjectVersion;

use crate::{Changes, Object, ObjectStore, StoreResult};

/// Kind of a call. A watch counts as one call, however long it waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    Read,
    /// A read or list that may return a stale state.
    MaybeStaleRead,
    Update,
    List,
    Watch,
}

impl CallKind {
    pub const ALL: [CallKind; 5] = [
        CallKind::Read,
        CallKind::MaybeStaleRead,
        CallKind::Update,
        CallKind::List,
        CallKind::Watch,
    ];

    /// Returns the value of the `kind` label in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CallKind::Read => "read",
            CallKind::MaybeStaleRead => "aged_read",
            CallKind::Update => "update",
            CallKind::List => "list",
            CallKind::Watch => "watch",
        }
    }
}

/// Numbers of calls of each kind since the start, including failed calls.
#[derive(Debug, Default)]
pub struct CallCounts([AtomicU64; CallKind::ALL.len()]);

impl CallCounts {
    pub fn of(&self, kind: CallKind) -> u64 {
        self.0[kind as usize].load(Ordering::Relaxed)
    }
}

/// [`ObjectStore`] that counts the calls to an inner store.
pub struct CountedStore {
    inner: Arc<dyn ObjectStore>,
    counts: Arc<CallCounts>,
}

impl CountedStore {
    pub fn new(inner: Arc<dyn ObjectStore>, counts: Arc<CallCounts>) -> CountedStore {
        CountedStore { inner, counts }
    }

    fn count(&self, kind: CallKind, path: &str) -> &dyn ObjectStore {
        self.counts.0[kind as usize].fetch_add(1, Ordering::Relaxed);
        log::debug!(target: "store_calls", "Calling the store: {} {path}.", kind.as_str());
        self.inner.as_ref()
    }
}

impl ObjectStore for CountedStore {
    fn read(&self, path: &str) -> StoreResult<'_, Option<Object>> {
        self.count(CallKind::Read, path).read(path)
    }

    fn read_maybe_stale(&self, path: &str) -> StoreResult<'_, Option<Object>> {
        self.count(CallKind::MaybeStaleRead, path).read_maybe_stale(path)
    }

    fn update(
        &self,
        path: &str,
        expected: ObjectVersion,
        body: Bytes,
    ) -> StoreResult<'_, ObjectVersion> {
        self.count(CallKind::Update, path).update(path, expected, body)
    }

    fn era(&self) -> u64 {
        self.inner.era()
    }

    fn list(&self, prefix: &str) -> StoreResult<'_, Changes> {
        self.count(CallKind::List, prefix).list(prefix)
    }

    fn list_maybe_stale(&self, prefix: &str) -> StoreResult<'_, Changes> {
        self.count(CallKind::MaybeStaleRead, prefix).list_maybe_stale(prefix)
    }

    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> StoreResult<'_, Changes> {
        self.count(CallKind::Watch, prefix).watch(prefix, after, wait)
    }
}
