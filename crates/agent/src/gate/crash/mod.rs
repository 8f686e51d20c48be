//! Detection of upstream crashes, and of the requests that were in flight at the time.
//!
//! A lost connection alone proves nothing, since the upstream may still be running. It has ended if
//! its address refuses connections afterwards, or if a new incarnation announces itself.

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

/// All connections of an upstream that crashes are lost within this time of each other. Runs
/// abandoned within this time before the loss may have been in flight as well.
const SIMULTANEOUS_LOSS_WINDOW: Duration = Duration::from_millis(250);
/// Highest number of runs without an answer that are kept in case the upstream has crashed.
const UNANSWERED_MAX: usize = 1024;
/// Delays after a lost connection before the upstream's address is probed; the other connections
/// are lost by then.
const GONE_PROBE_DELAYS: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(50)];
const GONE_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// The runs of one upstream that got no answer.
#[derive(Debug, Default)]
pub(super) struct UnansweredRuns {
    state: Mutex<State>,
    /// Notification of a lost connection.
    connection_lost: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// The runs, each with the time at which it was lost or abandoned.
    runs: VecDeque<(Fingerprint, Timestamp)>,
    /// When a connection was last lost; `None` if the upstream has answered since.
    lost_at: Option<Timestamp>,
}

/// A run at the upstream. Dropping it before its end is known counts as abandoning it.
#[derive(Debug)]
pub(super) struct TrackedRun<'a> {
    runs: &'a UnansweredRuns,
    clock: Clock,
    fingerprint: Fingerprint,
    started_at: Timestamp,
    end: RunEnd,
}

/// The end of a run, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunEnd {
    Answered,
    /// The run did not reach the upstream, or the upstream refused it.
    NotRun,
    /// The connection was lost, or the answer was cut off.
    Lost,
    /// The caller disconnected, or the deadline passed.
    Abandoned,
}

/// Checks after each lost connection whether the upstream has crashed.
pub(super) async fn run(gate: Arc<Gate>) {
    loop {
        gate.unanswered_runs.connection_lost.notified().await;
        for delay in GONE_PROBE_DELAYS {
            sleep(delay).await;
            let Some(bound) = gate.bound.load_full() else { continue };
            if matches!(timeout(GONE_PROBE_TIMEOUT, bound.upstream.has_exited()).await, Ok(true)) {
                gate.record_upstream_crash("its address refuses connections");
                break;
            }
        }
    }
}

impl Gate {
    /// Records a crash of the upstream with the runs that were in flight.
    pub(super) fn record_upstream_crash(&self, reason: &str) {
        let in_flight = self.unanswered_runs.take_in_flight();
        if in_flight.is_empty() {
            return;
        }
        let fingerprints: Vec<String> = in_flight.iter().map(ToString::to_string).collect();
        log::warn!(
            target: "gate",
            "The upstream has crashed ({reason}) with these requests in flight: {}.", fingerprints.join(" "),
        );
        self.quarantine.record_crash(in_flight);
    }
}

impl UnansweredRuns {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn begin(&self, clock: Clock, fingerprint: Fingerprint) -> TrackedRun<'_> {
        let started_at = clock.now();
        TrackedRun { runs: self, clock, fingerprint, started_at, end: RunEnd::Abandoned }
    }

    /// Returns the runs that were in flight when the upstream crashed, without duplicates. There
    /// are none if no connection was lost.
    pub(super) fn take_in_flight(&self) -> Vec<Fingerprint> {
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

    fn record_end(&self, run: &TrackedRun<'_>) {
        let now = run.clock.now();
        let mut state = self.state();
        match run.end {
            // The upstream was running when this run began, which was after the loss.
            RunEnd::Answered if state.lost_at.is_some_and(|it| it < run.started_at) => {
                state.lost_at = None;
                state.runs.clear();
            }
            RunEnd::Answered | RunEnd::NotRun => {}
            RunEnd::Lost => {
                state.lost_at = Some(now);
                state.push(run.fingerprint, now);
                self.connection_lost.notify_one();
            }
            RunEnd::Abandoned => state.push(run.fingerprint, now),
        }
    }
}

impl State {
    fn push(&mut self, fingerprint: Fingerprint, at: Timestamp) {
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
        self.runs.record_end(self);
    }
}
