//! Reports the changes of the learned limit on the requests at the upstream.

#[cfg(test)]
mod tests;

use std::{fmt, sync::Arc};

use logging::LineRateLimiter;
use model::{TeamName, Timestamp};
use traffic::LimitChange;

use crate::metrics::Metrics;

/// Long-term rate limit of the log lines. A limit that is too high by many slots is lowered several times in a row.
const LINES_PER_S: f64 = 0.5;
const BURST_LINES: f64 = 10.0;

/// The log and the metrics that changes of one upstream's limit are reported to.
pub(super) struct LimitReporter {
    metrics: Arc<Metrics>,
    team: TeamName,
    lines: LineRateLimiter,
}

impl fmt::Debug for LimitReporter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LimitReporter").field("team", &self.team).finish_non_exhaustive()
    }
}

impl LimitReporter {
    pub(super) fn new(metrics: Arc<Metrics>, team: &TeamName) -> LimitReporter {
        let lines = LineRateLimiter::new(LINES_PER_S, BURST_LINES);
        LimitReporter { metrics, team: team.clone(), lines }
    }

    pub(super) fn report(&self, now: Timestamp, change: &LimitChange) {
        self.metrics.record_limit_change(&self.team, change);
        let Some(left_out) = self.lines.admit(now) else { return };
        log::info!(
            target: "gate",
            from = change.from,
            to = change.to,
            relative_rate = change.relative_rate,
            standard_error = change.standard_error,
            trials = change.trials,
            states_waiting = change.states_waiting,
            left_out;
            "The learned limit on the requests at the upstream changes, by the completion rate with the higher number in flight relative to the lower one."
        );
    }
}
