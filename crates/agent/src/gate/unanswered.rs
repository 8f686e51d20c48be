//! Runs at the upstream that have ended here without an answer: the upstream may still work on them.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use model::{Slot, Timestamp};

/// For each slot, the runs that may go on, and until when the last of them may.
#[derive(Debug, Default)]
pub(super) struct UnansweredRuns(Mutex<BTreeMap<Slot, Unanswered>>);

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Unanswered {
    pub(super) runs: u32,
    pub(super) until: Timestamp,
}

/// A run at the upstream; dropped before its answer is here, it counts as unanswered.
#[derive(Debug)]
pub(super) struct Run<'a> {
    all: &'a UnansweredRuns,
    slot: Option<Slot>,
    until: Timestamp,
}

impl UnansweredRuns {
    /// A run is given to the upstream, which ends it at `until` at the latest.
    pub(super) fn begin(&self, slot: Option<Slot>, until: Timestamp) -> Run<'_> {
        Run { all: self, slot, until }
    }

    fn slots(&self) -> MutexGuard<'_, BTreeMap<Slot, Unanswered>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, slot: Slot, until: Timestamp) {
        let mut slots = self.slots();
        let it = slots.entry(slot).or_default();
        it.runs += 1;
        it.until = it.until.max(until);
    }

    /// What may still go on of these slots.
    pub(super) fn of(&self, now: Timestamp, first: Slot, last: Slot) -> Unanswered {
        let mut slots = self.slots();
        slots.retain(|_, it| now < it.until);
        slots.range(first..=last).fold(Unanswered::default(), |sum, (_, it)| Unanswered {
            runs: sum.runs + it.runs,
            until: sum.until.max(it.until),
        })
    }
}

impl Run<'_> {
    /// The upstream has said how it ended, or it never got there.
    pub(super) fn ended(mut self) {
        self.slot = None;
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        if let Some(slot) = self.slot {
            self.all.add(slot, self.until);
        }
    }
}
