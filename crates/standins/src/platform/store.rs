//! The object store: objects with versions, and one revision counter for the whole store.

use std::collections::BTreeMap;

use serde::Serialize;

/// An object in the answer to a list or watch. The body of a deleted object is `None`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct ObjectEntry {
    pub(crate) path: String,
    pub(crate) version: u64,
    pub(crate) body: Option<String>,
}

/// Error of a conditional write: the object's current version differs from the expected one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Conflict {
    pub(crate) current: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    /// Number of rollbacks to the snapshot.
    era: u64,
    current: Objects,
    snapshot: Objects,
}

#[derive(Debug, Clone, Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<String, StoredObject>,
}

/// A stored object. A deleted object is kept without a body, so that watches report the deletion.
#[derive(Debug, Clone)]
struct StoredObject {
    version: u64,
    body: Option<String>,
}

impl Store {
    pub(crate) fn era(&self) -> u64 {
        self.era
    }

    pub(crate) fn revision(&self) -> u64 {
        self.current.revision
    }

    /// Saves a snapshot of all objects and the revision.
    pub(crate) fn take_snapshot(&mut self) {
        self.snapshot = self.current.clone();
    }

    /// Rolls back to the snapshot. Later writes are lost, and their revisions are assigned again to new writes.
    pub(crate) fn restore_snapshot(&mut self) {
        self.current = self.snapshot.clone();
        self.era += 1;
    }

    pub(crate) fn read(&self, path: &str) -> Option<(u64, String)> {
        let stored = self.current.objects.get(path)?;
        Some((stored.version, stored.body.clone()?))
    }

    /// Writes a body, or deletes the object if `body` is `None`, and returns the new version. With `expected`, the
    /// object must have this version; 0 means that it must not exist.
    pub(crate) fn write(
        &mut self,
        path: &str,
        expected: Option<u64>,
        body: Option<String>,
    ) -> Result<u64, Conflict> {
        let current = self.read(path).map_or(0, |(version, _)| version);
        if expected.is_some_and(|it| it != current) {
            return Err(Conflict { current });
        }
        self.current.revision += 1;
        let stored = StoredObject { version: self.current.revision, body };
        self.current.objects.insert(path.to_owned(), stored);
        Ok(self.current.revision)
    }

    pub(crate) fn list(&self, prefix: &str) -> Vec<ObjectEntry> {
        self.entries_under(prefix).filter(|it| it.body.is_some()).collect()
    }

    pub(crate) fn changes_after(&self, prefix: &str, after: u64) -> Vec<ObjectEntry> {
        self.entries_under(prefix).filter(|it| it.version > after).collect()
    }

    fn entries_under(&self, prefix: &str) -> impl Iterator<Item = ObjectEntry> {
        self.current
            .objects
            .range(prefix.to_owned()..)
            .take_while(move |(path, _)| path.starts_with(prefix))
            .map(|(path, it)| ObjectEntry {
                path: path.clone(),
                version: it.version,
                body: it.body.clone(),
            })
    }
}
