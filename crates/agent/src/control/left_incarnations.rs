//! The incarnations of the local upstream that have left for good.
//!
//! A leaving is acknowledged as soon as it is received, also by a process that has not heard an
//! announcement of this incarnation, such as one that has just been started. An announcement that was
//! sent before the leaving may arrive after it.

use std::{collections::VecDeque, time::Duration};

use model::Timestamp;

use crate::report::{Announcement, UpstreamId};

/// Number of incarnations that are kept; the oldest is dropped first. One agent sees few in the time for
/// which announcements may be late, but other programs may send leavings of any id.
const LEFT_MAX: usize = 16;
/// How late an announcement of an earlier incarnation of the same id may be. Afterwards it is taken for that
/// of a later incarnation, started after the wall clock was set back.
const LATE_ANNOUNCEMENT_MAX: Duration = Duration::from_secs(10);

/// The start of an incarnation that has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Start {
    /// As announced; `None` if the upstream announces no start time.
    Announced(Option<u64>),
    /// Not stated in the leaving, and nothing announced yet.
    Unknown,
}

#[derive(Debug)]
struct LeftIncarnation {
    upstream_id: Option<UpstreamId>,
    start: Start,
    left_at: Timestamp,
}

/// The incarnations that have left, the last ones at the end.
#[derive(Debug, Default)]
pub(crate) struct LeftIncarnations(VecDeque<LeftIncarnation>);

impl LeftIncarnations {
    /// Adds an incarnation. A leaving without a start time is that of the known incarnation if the id is the
    /// same, else of the first one that announces itself with this id. Returns false if it was added before.
    pub(super) fn insert(
        &mut self,
        now: Timestamp,
        upstream_id: Option<&UpstreamId>,
        start_ms: Option<u64>,
        known: Option<&Announcement>,
    ) -> bool {
        let known = known.filter(|it| it.upstream_id.as_ref() == upstream_id);
        let start = match (start_ms, known) {
            (Some(_), _) => Start::Announced(start_ms),
            (None, Some(known)) => Start::Announced(known.incarnation_start_ms),
            (None, None) => Start::Unknown,
        };
        self.push(now, upstream_id.cloned(), start)
    }

    /// Adds the incarnation of the announcement.
    pub(super) fn insert_announced(&mut self, now: Timestamp, announcement: &Announcement) {
        let start = Start::Announced(announcement.incarnation_start_ms);
        self.push(now, announcement.upstream_id.clone(), start);
    }

    fn push(&mut self, left_at: Timestamp, upstream_id: Option<UpstreamId>, start: Start) -> bool {
        if self.0.iter().any(|it| it.upstream_id == upstream_id && it.start == start) {
            return false;
        }
        if self.0.len() >= LEFT_MAX {
            self.0.pop_front();
        }
        self.0.push_back(LeftIncarnation { upstream_id, start, left_at });
        true
    }

    /// Takes over the start time of the announcement for a leaving of the same id that stated none, within
    /// [`LATE_ANNOUNCEMENT_MAX`]. Afterwards the upstream may have started again under its id.
    pub(super) fn resolve_start(&mut self, now: Timestamp, announcement: &Announcement) {
        let unresolved = self.0.iter_mut().filter(|it| {
            it.start == Start::Unknown
                && it.upstream_id == announcement.upstream_id
                && now.since(it.left_at) < LATE_ANNOUNCEMENT_MAX
        });
        unresolved.for_each(|it| it.start = Start::Announced(announcement.incarnation_start_ms));
    }

    /// Returns whether the incarnation of the announcement has left.
    pub(super) fn contains(&self, announcement: &Announcement) -> bool {
        let start = Start::Announced(announcement.incarnation_start_ms);
        self.0.iter().any(|it| it.upstream_id == announcement.upstream_id && it.start == start)
    }

    /// Returns whether a later incarnation of the same id has left within [`LATE_ANNOUNCEMENT_MAX`].
    pub(super) fn is_replaced(&self, now: Timestamp, announcement: &Announcement) -> bool {
        self.0.iter().any(|it| {
            let began_later = matches!(
                (it.start, announcement.incarnation_start_ms),
                (Start::Announced(Some(left)), Some(announced)) if left > announced
            );
            began_later
                && it.upstream_id == announcement.upstream_id
                && now.since(it.left_at) < LATE_ANNOUNCEMENT_MAX
        })
    }
}
