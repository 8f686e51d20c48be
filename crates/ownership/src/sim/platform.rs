//! Fake of the platform's object store, with the two objects of one group and conditional updates.
//!
//! The store may be rolled back (restored from an older snapshot): later updates are lost, and their revisions are
//! reassigned in the next era. A client that has not detected the rollback yet sends expected versions of an earlier
//! era. Their replies are the ones that a real client gets from `object_store::EraTracker`.

use std::collections::{BTreeMap, VecDeque};

use model::{ObjectVersion, Term, Timestamp};

use crate::{Coordinator, Plan, PlatformReply, PlatformRequest};

/// Number of snapshots that are kept.
const SNAPSHOTS_MAX: usize = 256;

/// Object store of the platform; both objects take their revisions from one counter.
#[derive(Debug, Default)]
pub(super) struct Store {
    /// Number of rollbacks.
    era: u64,
    current: Objects,
    /// Objects before each of the last updates, with the time of the update.
    snapshots: VecDeque<(Timestamp, Objects)>,
    /// Number of calls received.
    pub(super) calls: u64,
    /// Term that the last call acquired, until the invariants have been checked.
    pub(super) acquired_term: Option<Term>,
}

/// Objects of the group, each with its revision.
#[derive(Debug, Clone, Default)]
struct Objects {
    /// Revision of the last update.
    revision: u64,
    coordinator: Option<(u64, Coordinator)>,
    plan: Option<(u64, Box<Plan>)>,
    /// Latest round that was drawn in each era.
    rounds: BTreeMap<u64, u32>,
}

impl Store {
    /// Carries out a call at the given time and returns its reply. Asserts that an update with an expected version of
    /// the current era does not lower the term, and raises the version of the plan.
    pub(super) fn handle_call(
        &mut self,
        at: Timestamp,
        request: &PlatformRequest,
    ) -> PlatformReply {
        self.calls += 1;
        match request {
            PlatformRequest::ReadCoordinator => {
                let (revision, object) = self.current.coordinator.clone().unzip();
                PlatformReply::Coordinator(self.version(revision.unwrap_or(0)), object)
            }
            PlatformRequest::ReadPlan => {
                let (revision, object) = self.current.plan.clone().unzip();
                PlatformReply::Plan(self.version(revision.unwrap_or(0)), object)
            }
            PlatformRequest::UpdateCoordinator { expected, object } => {
                let current_revision = self.current.coordinator.as_ref().map_or(0, |it| it.0);
                if current_revision != expected.revision() {
                    return PlatformReply::Conflict;
                }
                let previous =
                    self.current.coordinator.as_ref().map(|it| it.1.term).unwrap_or_default();
                let is_current = self.is_current(*expected);
                assert!(
                    object.term >= previous || !is_current,
                    "the coordinator object has term {previous}, and an update lowers it to {}",
                    object.term
                );
                // The sender of an update with an expected version of an earlier era does not learn that it took
                // effect, and never uses its term.
                self.acquired_term = Some(object.term).filter(|it| is_current && *it != previous);
                let objects = self.begin_change(at);
                objects.coordinator = Some((objects.revision, object.clone()));
                self.update_reply(*expected)
            }
            PlatformRequest::UpdatePlan { expected, object } => {
                let current_revision = self.current.plan.as_ref().map_or(0, |it| it.0);
                if current_revision != expected.revision() {
                    return PlatformReply::Conflict;
                }
                let previous = self.current.plan.as_ref().map_or(0, |it| it.1.version);
                let is_current = self.is_current(*expected);
                assert!(
                    object.version > previous || !is_current,
                    "the plan has version {previous}, and an update does not raise it: {}",
                    object.version
                );
                let objects = self.begin_change(at);
                objects.plan = Some((objects.revision, object.clone()));
                self.update_reply(*expected)
            }
            PlatformRequest::DrawRound { era, .. } if *era != self.era => PlatformReply::Conflict,
            PlatformRequest::DrawRound { era, above } => {
                let drawn = self.begin_change(at).rounds.entry(*era).or_default();
                *drawn = above.max(drawn) + 1;
                PlatformReply::RoundDrawn(*drawn)
            }
        }
    }

    /// Restores the objects as they were at a time, or the oldest snapshot if that is later.
    pub(super) fn roll_back_to(&mut self, at: Timestamp) {
        let snapshot = self.snapshots.iter().position(|(replaced_at, _)| *replaced_at > at);
        if let Some(snapshot) = snapshot {
            self.current = self.snapshots[snapshot].1.clone();
            self.snapshots.truncate(snapshot);
        }
        self.era += 1;
    }

    pub(super) fn coordinator(&self) -> Option<&Coordinator> {
        self.current.coordinator.as_ref().map(|it| &it.1)
    }

    fn version(&self, revision: u64) -> ObjectVersion {
        ObjectVersion::of(self.era, revision)
    }

    /// Returns whether the expected version is of the current era.
    fn is_current(&self, expected: ObjectVersion) -> bool {
        expected.era() == self.era
    }

    /// Keeps a snapshot, and returns the objects for an update with the next revision.
    fn begin_change(&mut self, at: Timestamp) -> &mut Objects {
        self.snapshots.push_back((at, self.current.clone()));
        if self.snapshots.len() > SNAPSHOTS_MAX {
            self.snapshots.pop_front();
        }
        self.current.revision += 1;
        &mut self.current
    }

    /// Returns the reply to an update that took effect.
    fn update_reply(&self, expected: ObjectVersion) -> PlatformReply {
        match self.is_current(expected) {
            true => PlatformReply::Updated(self.version(self.current.revision)),
            // With an expected version of an earlier era it is unknown which object the update replaced.
            false => PlatformReply::Failed,
        }
    }
}
