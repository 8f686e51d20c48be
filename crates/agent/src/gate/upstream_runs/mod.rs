//! Requests that may still be running at the upstream.
//!
//! Only an answer proves that a run has ended. Most upstreams drop a request when its connection
//! ends, but some continue it, and their answer to a release does not wait for it.

#[cfg(test)]
mod tests;

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use model::{Slot, Timestamp};

use super::leases::SLOW_CLOCK_FACTOR;

/// Upper bound on the time until a request arrives at the upstream if a connection has to be made
/// first; the time of the run counts from its arrival.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(500);

/// Counts of the runs of each slot.
#[derive(Debug, Default)]
pub(super) struct UpstreamRuns(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    slots: BTreeMap<Slot, SlotRunCounts>,
    /// Latest end of runs started by earlier incarnations of this agent.
    earlier_runs_until: Timestamp,
}

#[derive(Debug, Clone, Copy, Default)]
struct SlotRunCounts {
    /// Number of runs without a known end, and the latest end that they may have.
    running: u32,
    running_until: Timestamp,
    /// Number of runs whose connection ended without an answer, and the latest end that they may
    /// have.
    unanswered: u32,
    unanswered_until: Timestamp,
}

/// Runs that may still be running on a range of slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct OngoingRuns {
    pub(super) running: u32,
    pub(super) unanswered: u32,
    /// Latest end of these runs; zero if there are none.
    pub(super) until: Timestamp,
}

/// A run at the upstream. If it is dropped before its end is known, it may continue until its
/// deadline.
#[derive(Debug)]
pub(super) struct OngoingRun<'a> {
    runs: &'a UpstreamRuns,
    slot: Option<Slot>,
    until: Timestamp,
    has_ended: bool,
}

impl UpstreamRuns {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a run that the upstream has `remaining` time for. `slot` is `None` if
    /// the service has no slots.
    pub(super) fn begin(
        &self,
        now: Timestamp,
        slot: Option<Slot>,
        remaining: Duration,
    ) -> OngoingRun<'_> {
        let until = now + remaining.mul_f64(SLOW_CLOCK_FACTOR) + ARRIVAL_MARGIN;
        if let Some(slot) = slot {
            let mut state = self.state();
            let it = state.slots.entry(slot).or_default();
            it.running += 1;
            it.running_until = it.running_until.max(until);
        }
        OngoingRun { runs: self, slot, until, has_ended: false }
    }

    /// Assumes that unknown runs of earlier incarnations of this agent may continue until this
    /// time.
    pub(super) fn assume_earlier_runs_until(&self, until: Timestamp) {
        let mut state = self.state();
        state.earlier_runs_until = state.earlier_runs_until.max(until);
    }

    /// Returns a function from a slot to the latest end of its runs.
    pub(super) fn latest_ends(&self, now: Timestamp) -> impl Fn(Slot) -> Timestamp + use<> {
        let mut state = self.state();
        state.slots.retain(|_, it| it.running > 0 || now < it.unanswered_until);
        let no_runs = OngoingRuns::default();
        let slots = state.slots.iter().map(|(slot, it)| (*slot, no_runs.add_runs(now, it).until));
        let slots: BTreeMap<Slot, Timestamp> = slots.collect();
        let earlier_runs_until = state.earlier_runs_until;
        move |slot| slots.get(&slot).copied().unwrap_or_default().max(earlier_runs_until)
    }

    /// Returns the runs that may still be running on the slots from `first` to `last`.
    pub(super) fn ongoing(&self, now: Timestamp, first: Slot, last: Slot) -> OngoingRuns {
        let state = self.state();
        let earlier_runs = OngoingRuns {
            until: Some(state.earlier_runs_until).filter(|it| now < *it).unwrap_or_default(),
            ..OngoingRuns::default()
        };
        state.slots.range(first..=last).fold(earlier_runs, |sum, (_, it)| sum.add_runs(now, it))
    }

    fn record_end(&self, run: &OngoingRun<'_>) {
        let Some(slot) = run.slot else { return };
        let mut state = self.state();
        let it = state.slots.entry(slot).or_default();
        it.running = it.running.saturating_sub(1);
        if it.running == 0 {
            it.running_until = Timestamp::ZERO;
        }
        if !run.has_ended {
            it.unanswered += 1;
            it.unanswered_until = it.unanswered_until.max(run.until);
        }
    }
}

impl OngoingRuns {
    fn add_runs(self, now: Timestamp, runs: &SlotRunCounts) -> OngoingRuns {
        let may_continue = now < runs.unanswered_until;
        let continues_until = if may_continue { runs.unanswered_until } else { Timestamp::ZERO };
        OngoingRuns {
            running: self.running + runs.running,
            unanswered: self.unanswered + if may_continue { runs.unanswered } else { 0 },
            until: self.until.max(runs.running_until).max(continues_until),
        }
    }
}

impl OngoingRun<'_> {
    /// Records that the upstream no longer runs the request.
    pub(super) fn finish(mut self) {
        self.has_ended = true;
    }
}

impl Drop for OngoingRun<'_> {
    fn drop(&mut self) {
        self.runs.record_end(self);
    }
}
