//! Counts the calls that go to the platform, by kind.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use model::ObjectVersion;

use crate::{Changes, Object, Platform, PlatformResult};

/// What a call asks for; the platform counts each as one, however long a watch waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    Read,
    Update,
    List,
    Watch,
}

impl CallKind {
    pub const ALL: [CallKind; 4] =
        [CallKind::Read, CallKind::Update, CallKind::List, CallKind::Watch];

    /// The value of the `kind` label in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CallKind::Read => "read",
            CallKind::Update => "update",
            CallKind::List => "list",
            CallKind::Watch => "watch",
        }
    }
}

/// How many calls of each kind were made since the start, failed ones too.
#[derive(Debug, Default)]
pub struct CallCounts([AtomicU64; CallKind::ALL.len()]);

impl CallCounts {
    pub fn of(&self, kind: CallKind) -> u64 {
        self.0[kind as usize].load(Ordering::Relaxed)
    }
}

/// A platform whose calls are counted.
pub struct CountedPlatform {
    inner: Arc<dyn Platform>,
    counts: Arc<CallCounts>,
}

impl CountedPlatform {
    pub fn new(inner: Arc<dyn Platform>, counts: Arc<CallCounts>) -> CountedPlatform {
        CountedPlatform { inner, counts }
    }

    fn count(&self, kind: CallKind) -> &dyn Platform {
        self.counts.0[kind as usize].fetch_add(1, Ordering::Relaxed);
        self.inner.as_ref()
    }
}

impl Platform for CountedPlatform {
    fn read(&self, path: &str) -> PlatformResult<'_, Option<Object>> {
        self.count(CallKind::Read).read(path)
    }

    fn update(
        &self,
        path: &str,
        expected: ObjectVersion,
        body: Bytes,
    ) -> PlatformResult<'_, ObjectVersion> {
        self.count(CallKind::Update).update(path, expected, body)
    }

    fn list(&self, prefix: &str) -> PlatformResult<'_, Changes> {
        self.count(CallKind::List).list(prefix)
    }

    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> PlatformResult<'_, Changes> {
        self.count(CallKind::Watch).watch(prefix, after, wait)
    }
}
