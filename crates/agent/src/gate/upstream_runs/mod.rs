//! Runs that the upstream may still work on.
//!
//! Only its answer proves that a run has ended. Most upstreams drop a request when its connection ends, but some
//! go on, and their answer to a release does not wait for that.

#[cfg(test)]
mod tests;

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use model::{Slot, Timestamp};

use super::leases::SLOW_CLOCK_FACTOR;

/// What the way to the upstream may take where a connection has to be made: its time counts from the arrival.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(500);

/// The runs of each slot.
#[derive(Debug, Default)]
pub(super) struct UpstreamRuns(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    slots: BTreeMap<Slot, SlotRunCounts>,
    /// Until when runs may go on that earlier lives of this agent began.
    earlier_runs_until: Timestamp,
}

#[derive(Debug, Clone, Copy, Default)]
struct SlotRunCounts {
    /// Runs whose end is not known yet, and until when the last of them may go on.
    running: u32,
    running_until: Timestamp,
    /// The same of those whose connection has ended without an answer.
    unanswered: u32,
    unanswered_until: Timestamp,
}

/// What may still go on of some slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct OngoingRuns {
    pub(super) running: u32,
    pub(super) unanswered: u32,
    /// Zero: nothing goes on.
    pub(super) until: Timestamp,
}

/// A run at the upstream. Dropped before its end is known, it may go on until its deadline.
#[derive(Debug)]
pub(super) struct OngoingRun<'a> {
    runs: &'a UpstreamRuns,
    slot: Option<Slot>,
    until: Timestamp,
    is_answered: bool,
}

impl UpstreamRuns {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A run begins that the upstream is given this long for. `slot`: none where nothing is granted.
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
        OngoingRun { runs: self, slot, until, is_answered: false }
    }

    /// Runs of earlier lives of this agent, of which nothing is known, may go on until then.
    pub(super) fn assume_earlier_runs_until(&self, until: Timestamp) {
        let mut state = self.state();
        state.earlier_runs_until = state.earlier_runs_until.max(until);
    }

    /// Until when runs of each slot may go on.
    pub(super) fn latest_ends(&self, now: Timestamp) -> impl Fn(Slot) -> Timestamp + use<> {
        let mut state = self.state();
        state.slots.retain(|_, it| it.running > 0 || now < it.unanswered_until);
        let nothing = OngoingRuns::default();
        let slots = state.slots.iter().map(|(slot, it)| (*slot, nothing.plus(now, it).until));
        let slots: BTreeMap<Slot, Timestamp> = slots.collect();
        let earlier_runs_until = state.earlier_runs_until;
        move |slot| slots.get(&slot).copied().unwrap_or_default().max(earlier_runs_until)
    }

    /// What may go on of the slots from `first` to `last`.
    pub(super) fn ongoing(&self, now: Timestamp, first: Slot, last: Slot) -> OngoingRuns {
        let state = self.state();
        let earlier_lives = OngoingRuns {
            until: Some(state.earlier_runs_until).filter(|it| now < *it).unwrap_or_default(),
            ..OngoingRuns::default()
        };
        state.slots.range(first..=last).fold(earlier_lives, |sum, (_, it)| sum.plus(now, it))
    }

    fn ended(&self, run: &OngoingRun<'_>) {
        let Some(slot) = run.slot else { return };
        let mut state = self.state();
        let it = state.slots.entry(slot).or_default();
        it.running = it.running.saturating_sub(1);
        if it.running == 0 {
            it.running_until = Timestamp::ZERO;
        }
        if !run.is_answered {
            it.unanswered += 1;
            it.unanswered_until = it.unanswered_until.max(run.until);
        }
    }
}

impl OngoingRuns {
    fn plus(self, now: Timestamp, runs: &SlotRunCounts) -> OngoingRuns {
        let is_cut = now < runs.unanswered_until;
        let cut_until = if is_cut { runs.unanswered_until } else { Timestamp::ZERO };
        OngoingRuns {
            running: self.running + runs.running,
            unanswered: self.unanswered + if is_cut { runs.unanswered } else { 0 },
            until: self.until.max(runs.running_until).max(cut_until),
        }
    }
}

impl OngoingRun<'_> {
    /// The upstream does not work on it any more.
    pub(super) fn finish(mut self) {
        self.is_answered = true;
    }
}

impl Drop for OngoingRun<'_> {
    fn drop(&mut self) {
        self.runs.ended(self);
    }
}
