//! Objects with versions; one revision counter for the whole store.

use std::collections::BTreeMap;

use serde::Serialize;

/// One entry of a list or watch; a deleted object has no body.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct ObjectEntry {
    pub(crate) path: String,
    pub(crate) version: u64,
    pub(crate) body: Option<String>,
}

/// The object has another version than the one expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Conflict {
    pub(crate) current: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    /// How often it has come back from an older copy.
    era: u64,
    current: Objects,
    snapshot: Objects,
}

#[derive(Debug, Clone, Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<String, StoredObject>,
}

/// A deleted object is kept without its body, so that watches see the deletion.
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

    /// Keeps a copy of all that there is.
    pub(crate) fn take_snapshot(&mut self) {
        self.snapshot = self.current.clone();
    }

    /// Comes back from the copy: what was written since is lost, and its revisions are given out again.
    pub(crate) fn restore_snapshot(&mut self) {
        self.current = self.snapshot.clone();
        self.era += 1;
    }

    pub(crate) fn read(&self, path: &str) -> Option<(u64, String)> {
        let stored = self.current.objects.get(path)?;
        Some((stored.version, stored.body.clone()?))
    }

    /// Writes a body, or deletes with `None`. `expected`: `None` for any version, 0 for "does not
    /// exist". Returns the new version.
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
