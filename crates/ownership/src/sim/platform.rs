//! The platform's two objects of one group, with conditional updates.
//!
//! It may come back from an older copy: what was written since is lost, and revisions are given out again in the next
//! era. A client that has not heard of that yet sends conditions of an earlier era; what it makes of the answer is
//! what `object_store::EraTracker` makes of it.

use std::collections::VecDeque;

use model::{ObjectVersion, Timestamp};

use crate::{Coordinator, Plan, PlatformReply, PlatformRequest};

/// Copies that are kept.
const COPIES_MAX: usize = 256;

/// The stored objects; revisions come from one counter.
#[derive(Debug, Default)]
pub(super) struct Store {
    era: u64,
    now: State,
    /// As it was before each of the last changes, and until when.
    copies: VecDeque<(Timestamp, State)>,
    /// Calls that arrived.
    pub(super) calls: u64,
}

#[derive(Debug, Clone, Default)]
struct State {
    revision: u64,
    coordinator: Option<(u64, Coordinator)>,
    plan: Option<(u64, Box<Plan>)>,
}

impl Store {
    pub(super) fn call(&mut self, at: Timestamp, request: &PlatformRequest) -> PlatformReply {
        self.calls += 1;
        match request {
            PlatformRequest::ReadCoordinator => {
                let (revision, found) = self.now.coordinator.clone().unzip();
                PlatformReply::Coordinator(self.version(revision.unwrap_or(0)), found)
            }
            PlatformRequest::ReadPlan => {
                let (revision, found) = self.now.plan.clone().unzip();
                PlatformReply::Plan(self.version(revision.unwrap_or(0)), found)
            }
            PlatformRequest::UpdateCoordinator { expected, object } => {
                let current = self.now.coordinator.as_ref().map_or(0, |it| it.0);
                if current != expected.revision() {
                    return PlatformReply::Conflict;
                }
                let former = self.now.coordinator.as_ref().map(|it| it.1.term).unwrap_or_default();
                let is_current = self.is_current(*expected);
                assert!(
                    object.term >= former || !is_current,
                    "term {} after {former}",
                    object.term
                );
                let state = self.change(at);
                state.coordinator = Some((state.revision, object.clone()));
                self.updated(*expected)
            }
            PlatformRequest::UpdatePlan { expected, object } => {
                let current = self.now.plan.as_ref().map_or(0, |it| it.0);
                if current != expected.revision() {
                    return PlatformReply::Conflict;
                }
                let former = self.now.plan.as_ref().map_or(0, |it| it.1.version);
                let is_current = self.is_current(*expected);
                assert!(
                    object.version > former || !is_current,
                    "plan {} after {former}",
                    object.version
                );
                let state = self.change(at);
                state.plan = Some((state.revision, object.clone()));
                self.updated(*expected)
            }
        }
    }

    /// Comes back as it was at a time, or as far back as copies go.
    pub(super) fn roll_back_to(&mut self, at: Timestamp) {
        let copy = self.copies.iter().position(|(until, _)| *until > at);
        if let Some(copy) = copy {
            self.now = self.copies[copy].1.clone();
            self.copies.truncate(copy);
        }
        self.era += 1;
    }

    pub(super) fn coordinator(&self) -> Option<&Coordinator> {
        self.now.coordinator.as_ref().map(|it| &it.1)
    }

    fn version(&self, revision: u64) -> ObjectVersion {
        ObjectVersion::of(self.era, revision)
    }

    fn is_current(&self, expected: ObjectVersion) -> bool {
        expected.era() == self.era
    }

    /// A change begins: what there is now is kept.
    fn change(&mut self, at: Timestamp) -> &mut State {
        self.copies.push_back((at, self.now.clone()));
        if self.copies.len() > COPIES_MAX {
            self.copies.pop_front();
        }
        self.now.revision += 1;
        &mut self.now
    }

    fn updated(&self, expected: ObjectVersion) -> PlatformReply {
        match self.is_current(expected) {
            true => PlatformReply::Updated(self.version(self.now.revision)),
            // What it has replaced is not known.
            false => PlatformReply::Failed,
        }
    }
}
