//! The recent changes under one prefix of the store.

use std::collections::{BTreeSet, VecDeque};

use model::ObjectVersion;
use object_store::{Change, Changes};

/// Largest number of changes that are kept.
const CHANGES_MAX: usize = 64;
/// Largest total size of the kept bodies.
const BYTES_MAX: usize = 512 << 10;

/// The changes under one prefix between two revisions, as lists and watches have returned them.
#[derive(Debug, Default)]
pub(super) struct History {
    /// The revision after which all changes are kept.
    since: ObjectVersion,
    /// The revision up to which all changes are known.
    revision: ObjectVersion,
    changes: VecDeque<Change>,
    bytes: usize,
    /// The objects that exist at `revision`.
    paths: BTreeSet<String>,
}

impl History {
    pub(super) fn revision(&self) -> ObjectVersion {
        self.revision
    }

    /// Adds the answer to a list, which shows all objects that exist.
    pub(super) fn add_list(&mut self, list: &Changes) {
        if list.revision.era() != self.revision.era() || self.revision == ObjectVersion::default() {
            *self = History { since: list.revision, revision: list.revision, ..History::default() };
            self.paths.extend(list.changes.iter().map(|it| it.path.clone()));
            return;
        }
        // A stale list shows nothing new.
        if list.revision <= self.revision {
            return;
        }
        let listed: BTreeSet<&str> = list.changes.iter().map(|it| it.path.as_str()).collect();
        let missing = self.paths.iter().filter(|it| !listed.contains(it.as_str()));
        let deleted =
            missing.map(|path| Change { path: path.clone(), version: list.revision, body: None });
        let changes = deleted.chain(list.changes.iter().cloned()).collect();
        self.add(Changes { revision: list.revision, changes });
    }

    /// Adds the answer to a watch from `after`.
    pub(super) fn add_watch(&mut self, after: ObjectVersion, answer: &Changes) {
        let is_continuous =
            after.era() == self.revision.era() && self.since <= after && after <= self.revision;
        if is_continuous {
            self.add(answer.clone());
        }
    }

    /// Returns the changes after a revision, possibly none, or `None` if they are not all known.
    pub(super) fn after(&self, after: ObjectVersion) -> Option<Changes> {
        if after.era() != self.revision.era() || after < self.since {
            return None;
        }
        let changes = self.changes.iter().filter(|it| it.version > after).cloned().collect();
        Some(Changes { revision: self.revision.max(after), changes })
    }

    fn add(&mut self, mut answer: Changes) {
        answer.changes.retain(|it| it.version > self.revision);
        answer.changes.sort_by_key(|it| it.version);
        for change in answer.changes {
            match change.body {
                Some(_) => self.paths.insert(change.path.clone()),
                None => self.paths.remove(&change.path),
            };
            self.bytes += size(&change);
            self.changes.push_back(change);
        }
        while self.changes.len() > CHANGES_MAX || self.bytes > BYTES_MAX {
            let Some(dropped) = self.changes.pop_front() else { break };
            self.bytes -= size(&dropped);
            self.since = self.since.max(dropped.version);
        }
        self.revision = self.revision.max(answer.revision);
    }
}

fn size(change: &Change) -> usize {
    change.body.as_ref().map_or(0, bytes::Bytes::len)
}
