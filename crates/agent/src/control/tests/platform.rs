//! An object store in memory that can simulate outages, lost answers and rollbacks.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use model::ObjectVersion;
use object_store::{Change, Changes, Object, ObjectStore, StoreError, StoreResult};
use tokio::{sync::watch, time::timeout};

/// All objects, with one revision counter for the whole store.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    revision: u64,
    objects: BTreeMap<String, Object>,
}

/// An object store whose faults are controlled by the test.
pub(crate) struct FakeStore {
    store: Mutex<Store>,
    snapshot: Mutex<Store>,
    changed: watch::Sender<()>,
    /// Whether all calls fail as unavailable.
    pub(crate) is_down: AtomicBool,
    /// The number of next updates under `accepted/` that take effect but whose answer is lost.
    pub(super) lost_answers: AtomicU32,
    /// Whether lists that may be stale show the store as it was before its first object.
    pub(crate) lists_nothing_stale: AtomicBool,
}

impl FakeStore {
    pub(crate) fn new() -> FakeStore {
        FakeStore {
            store: Mutex::default(),
            snapshot: Mutex::default(),
            changed: watch::Sender::new(()),
            is_down: AtomicBool::new(false),
            lost_answers: AtomicU32::new(0),
            lists_nothing_stale: AtomicBool::new(false),
        }
    }

    /// Saves the current state for a later [`FakeStore::roll_back`].
    pub(crate) fn take_snapshot(&self) {
        *self.snapshot.lock().unwrap() = self.store.lock().unwrap().clone();
    }

    /// Restores the saved state. Later revisions are assigned again, in the next era.
    pub(crate) fn roll_back(&self) {
        let mut store = self.store.lock().unwrap();
        let era = store.era + 1;
        *store = Store { era, ..self.snapshot.lock().unwrap().clone() };
        for object in store.objects.values_mut() {
            object.version = ObjectVersion::of(era, object.version.revision());
        }
        drop(store);
        self.changed.send_replace(());
    }

    /// Writes an object unconditionally and returns its version.
    pub(crate) fn put(&self, path: &str, body: &str) -> ObjectVersion {
        let version = self.store.lock().unwrap().put(path, Bytes::from(body.to_owned()));
        self.changed.send_replace(());
        version
    }

    pub(crate) fn text(&self, path: &str) -> Option<String> {
        let store = self.store.lock().unwrap();
        store.objects.get(path).map(|it| String::from_utf8(it.body.to_vec()).unwrap())
    }

    fn check(&self, step: &str) -> Result<(), StoreError> {
        match self.is_down.load(Ordering::SeqCst) {
            true => Err(unavailable(step)),
            false => Ok(()),
        }
    }

    fn changes(&self, prefix: &str, after: ObjectVersion) -> Changes {
        let store = self.store.lock().unwrap();
        let under = store.objects.iter().filter(|(path, _)| path.starts_with(prefix));
        let newer = under.filter(|(_, it)| it.version > after);
        let changes = newer.map(|(path, it)| Change {
            path: path.clone(),
            version: it.version,
            body: Some(it.body.clone()),
        });
        let revision = ObjectVersion::of(store.era, store.revision);
        Changes { revision, changes: changes.collect() }
    }

    /// Returns whether the changes after a revision are known, which a rollback discards.
    fn has_history(&self, after: ObjectVersion) -> bool {
        let store = self.store.lock().unwrap();
        after.era() == store.era && after.revision() <= store.revision
    }

    /// Returns whether the answer to an update that has taken effect is lost, and counts it.
    fn loses_answer(&self, path: &str) -> bool {
        let left = &self.lost_answers;
        path.starts_with("accepted/")
            && left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |it| it.checked_sub(1)).is_ok()
    }
}

impl Store {
    fn put(&mut self, path: &str, body: Bytes) -> ObjectVersion {
        self.revision += 1;
        let version = ObjectVersion::of(self.era, self.revision);
        self.objects.insert(path.to_owned(), Object { version, body });
        version
    }
}

fn unavailable(step: &str) -> StoreError {
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    StoreError::Unavailable { step: step.to_owned(), peer, reason: "an outage".to_owned() }
}

impl ObjectStore for FakeStore {
    fn read(&self, path: &str) -> StoreResult<'_, Option<Object>> {
        let path = path.to_owned();
        Box::pin(async move {
            self.check("read")?;
            Ok(self.store.lock().unwrap().objects.get(&path).cloned())
        })
    }

    fn update(
        &self,
        path: &str,
        expected: ObjectVersion,
        body: Bytes,
    ) -> StoreResult<'_, ObjectVersion> {
        let path = path.to_owned();
        Box::pin(async move {
            self.check("update")?;
            let mut store = self.store.lock().unwrap();
            let current = store.objects.get(&path).map_or(ObjectVersion(0), |it| it.version);
            let is_absent = current == ObjectVersion(0) && expected.revision() == 0;
            if current != expected && !is_absent {
                return Err(StoreError::Conflict { step: "update".to_owned(), current });
            }
            let version = store.put(&path, body);
            self.changed.send_replace(());
            match self.loses_answer(&path) {
                true => Err(unavailable("update")),
                false => Ok(version),
            }
        })
    }

    fn era(&self) -> u64 {
        self.store.lock().unwrap().era
    }

    fn list(&self, prefix: &str) -> StoreResult<'_, Changes> {
        let prefix = prefix.to_owned();
        Box::pin(async move {
            self.check("list")?;
            Ok(self.changes(&prefix, ObjectVersion(0)))
        })
    }

    fn list_maybe_stale(&self, prefix: &str) -> StoreResult<'_, Changes> {
        match self.lists_nothing_stale.load(Ordering::SeqCst) {
            true => {
                Box::pin(async { Ok(Changes { revision: ObjectVersion(0), changes: Vec::new() }) })
            }
            false => self.list(prefix),
        }
    }

    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> StoreResult<'_, Changes> {
        let prefix = prefix.to_owned();
        Box::pin(async move {
            let mut changed = self.changed.subscribe();
            let waiting = async {
                while self.has_history(after) && self.changes(&prefix, after).changes.is_empty() {
                    _ = changed.changed().await;
                }
            };
            // A wait that ends without a change returns an empty answer.
            _ = timeout(wait, waiting).await;
            self.check("watch")?;
            if !self.has_history(after) {
                return Err(StoreError::HistoryGone { step: "watch".to_owned() });
            }
            Ok(self.changes(&prefix, after))
        })
    }
}
