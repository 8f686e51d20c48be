//! What an upstream had at work when it ended.
//!
//! A lost connection alone proves nothing: the upstream may live on. It has ended if nobody listens at its
//! address afterwards, or if another life of it announces itself.

#[cfg(test)]
mod tests;

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use model::{Fingerprint, Timestamp};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{clock::Clock, gate::Gate};

/// The connections of an upstream that ends are lost within this time of each other. Runs that were given up this
/// long before may have been at work as well.
const SIMULTANEOUS_LOSS_WINDOW: Duration = Duration::from_millis(250);
/// Runs without an answer that are kept for the case that the upstream has ended.
const UNANSWERED_MAX: usize = 1024;
/// How long after a lost connection the upstream's address is tried: the others are lost by then.
const GONE_PROBE_DELAYS: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(50)];
const GONE_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// The runs of one upstream that have no answer.
#[derive(Debug, Default)]
pub(super) struct UnansweredRuns {
    state: Mutex<State>,
    /// A connection was lost.
    lost: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// And when each was lost or given up.
    runs: VecDeque<(Fingerprint, Timestamp)>,
    /// When a connection was last lost; none: the upstream has answered since.
    lost_at: Option<Timestamp>,
}

/// A run at the upstream. Dropped before its end is known, it was given up.
#[derive(Debug)]
pub(super) struct TrackedRun<'a> {
    runs: &'a UnansweredRuns,
    clock: Clock,
    fingerprint: Fingerprint,
    began: Timestamp,
    end: RunEnd,
}

/// How a run ended, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunEnd {
    Answered,
    /// It never reached the upstream, or the upstream refused it.
    NotRun,
    /// Its connection was lost, or its answer broke off.
    Lost,
    /// Its caller has left, or its time was over.
    Abandoned,
}

/// Looks after each lost connection whether the upstream has ended.
pub(super) async fn run(gate: Arc<Gate>) {
    loop {
        gate.unanswered.lost.notified().await;
        for after in GONE_PROBE_DELAYS {
            sleep(after).await;
            let Some(bound) = gate.bound.load_full() else { continue };
            if matches!(timeout(GONE_PROBE_TIMEOUT, bound.upstream.is_gone()).await, Ok(true)) {
                gate.upstream_ended("nobody listens at its address");
                break;
            }
        }
    }
}

impl Gate {
    /// The upstream's life is over: tells what it had at work.
    pub(super) fn upstream_ended(&self, why: &str) {
        let in_flight = self.unanswered.take();
        if in_flight.is_empty() {
            return;
        }
        let listed: Vec<String> = in_flight.iter().map(ToString::to_string).collect();
        log::warn!(
            target: "gate",
            "The upstream has ended ({why}), at work on {}.", listed.join(" "),
        );
        self.quarantine.upstream_ended(in_flight);
    }
}

impl UnansweredRuns {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn begin(&self, clock: Clock, fingerprint: Fingerprint) -> TrackedRun<'_> {
        let began = clock.now();
        TrackedRun { runs: self, clock, fingerprint, began, end: RunEnd::Abandoned }
    }

    /// The upstream has ended: what it had at work, each once. Nothing if no connection to it was lost.
    pub(super) fn take(&self) -> Vec<Fingerprint> {
        let mut state = self.state();
        let Some(lost_at) = state.lost_at.take() else { return Vec::new() };
        let runs = std::mem::take(&mut state.runs);
        let in_flight =
            runs.into_iter().filter(|(_, at)| *at + SIMULTANEOUS_LOSS_WINDOW >= lost_at);
        let mut in_flight: Vec<Fingerprint> =
            in_flight.map(|(fingerprint, _)| fingerprint).collect();
        in_flight.sort_unstable();
        in_flight.dedup();
        in_flight
    }

    fn ended(&self, run: &TrackedRun<'_>) {
        let now = run.clock.now();
        let mut state = self.state();
        match run.end {
            // It lived when it began this run, after the loss.
            RunEnd::Answered if state.lost_at.is_some_and(|it| it < run.began) => {
                state.lost_at = None;
                state.runs.clear();
            }
            RunEnd::Answered | RunEnd::NotRun => {}
            RunEnd::Lost => {
                state.lost_at = Some(now);
                state.keep(run.fingerprint, now);
                self.lost.notify_one();
            }
            RunEnd::Abandoned => state.keep(run.fingerprint, now),
        }
    }
}

impl State {
    fn keep(&mut self, fingerprint: Fingerprint, at: Timestamp) {
        self.runs.push_back((fingerprint, at));
        if self.runs.len() > UNANSWERED_MAX {
            self.runs.pop_front();
        }
    }
}

impl TrackedRun<'_> {
    pub(super) fn end(mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for TrackedRun<'_> {
    fn drop(&mut self) {
        self.runs.ended(self);
    }
}
