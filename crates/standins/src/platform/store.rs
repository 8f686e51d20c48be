//! Objects with versions; one revision counter for the whole store.

use std::collections::BTreeMap;

use serde::Serialize;

/// One entry of a list or watch; a deleted object has no body.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct Entry {
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
    now: State,
    copy: State,
}

#[derive(Debug, Clone, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<String, Stored>,
}

/// A deleted object is kept without its body, so that watches see the deletion.
#[derive(Debug, Clone)]
struct Stored {
    version: u64,
    body: Option<String>,
}

impl Store {
    pub(crate) fn era(&self) -> u64 {
        self.era
    }

    pub(crate) fn revision(&self) -> u64 {
        self.now.revision
    }

    /// Keeps a copy of all that there is.
    pub(crate) fn keep_copy(&mut self) {
        self.copy = self.now.clone();
    }

    /// Comes back from the copy: what was written since is lost, and its revisions are given out again.
    pub(crate) fn roll_back(&mut self) {
        self.now = self.copy.clone();
        self.era += 1;
    }

    pub(crate) fn read(&self, path: &str) -> Option<(u64, String)> {
        let stored = self.now.objects.get(path)?;
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
        self.now.revision += 1;
        let stored = Stored { version: self.now.revision, body };
        self.now.objects.insert(path.to_owned(), stored);
        Ok(self.now.revision)
    }

    pub(crate) fn list(&self, prefix: &str) -> Vec<Entry> {
        self.under(prefix).filter(|it| it.body.is_some()).collect()
    }

    pub(crate) fn changed(&self, prefix: &str, after: u64) -> Vec<Entry> {
        self.under(prefix).filter(|it| it.version > after).collect()
    }

    fn under(&self, prefix: &str) -> impl Iterator<Item = Entry> {
        self.now
            .objects
            .range(prefix.to_owned()..)
            .take_while(move |(path, _)| path.starts_with(prefix))
            .map(|(path, it)| Entry {
                path: path.clone(),
                version: it.version,
                body: it.body.clone(),
            })
    }
}
