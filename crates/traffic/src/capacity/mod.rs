//! The number of requests that an upstream runs at a time without slowing down so much that it completes fewer.
//!
//! Invariant: the limit is at least half of the announced slots, rounded up, and at most the announced slots, whatever
//! the upstream states or how long its answers take.
//!
//! Only measurements of adjacent periods are compared, in which the gate itself sets the number in flight. A slowdown
//! from another cause fills the slots, so over longer times a full upstream would always seem to be the slow one.

mod ratio;

#[cfg(test)]
mod tests;

use std::time::Duration;

use model::Timestamp;

use crate::RouteIndex;

use ratio::{Evidence, MeanRatio, References};

/// The least part of the slots that a trial opens or holds back, rounded down, if that is more than one slot. One of many
/// slots changes the completion rate less than a trial can measure.
const TRIAL_PART: usize = 8;
/// The time between two trials with more requests in flight.
const RAISE_INTERVAL: Duration = Duration::from_secs(5);
/// The least time between two trials with fewer requests in flight that do not lower the limit.
const LOWER_INTERVAL_MIN: Duration = Duration::from_secs(5);
/// The most of the slots' time that the trials with fewer requests in flight may take.
const LOWER_COST_MAX: f64 = 0.01;
/// The most uncertain trials that follow each other without a pause. With the error of 80 exponentially distributed
/// service times, this many give a standard error of 5%.
const TRIALS_IN_ROW_MAX: u32 = 8;
/// The longest period of a trial. An upstream with too little load to be measured in this time needs no limit.
const PERIOD_MAX: Duration = Duration::from_secs(5);
/// The share of the completion rate that the slots of a trial may cost.
const RATE_LOSS_MAX: f64 = 0.05;
/// The share of a full gain, that of an upstream that does not slow down, by which the higher number in flight has to
/// raise the completion rate of an upstream that states waiting requests. A smaller difference can't be told from an
/// equal rate.
const STATED_GAIN_SHARE_MIN: f64 = 0.07;
/// The highest standard error with which the limit is lowered on a statement of the upstream, as a share of a full gain.
/// A full gain is then more than two standard errors above the least one.
const STATED_ERROR_SHARE_MAX: f64 = 0.42;
/// The number of consecutive answers with waiting requests after which the upstream counts as full.
const WAITING_STATEMENTS_MIN: u32 = 5;

/// The end of an answered request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct MeasuredRequest {
    /// The requests with the same route have similar service times.
    pub(crate) route: Option<RouteIndex>,
    pub(crate) started: Timestamp,
    /// The number in flight at the start, with this request.
    pub(crate) in_flight: usize,
}

/// A change of the limit, with its basis.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    pub from: usize,
    pub to: usize,
    /// The completion rate with the higher number in flight, relative to that with the lower one.
    pub relative_rate: f64,
    /// The relative standard error of `relative_rate`.
    pub standard_error: f64,
    /// The number of trials that were pooled.
    pub trials: u32,
    /// Whether the upstream states that requests wait in it.
    pub states_waiting: bool,
}

impl LimitChange {
    /// Returns by how much the relative rate is above 1 if the upstream does not slow down.
    fn full_gain(&self) -> f64 {
        self.from.max(self.to) as f64 / self.from.min(self.to) as f64 - 1.0
    }
}

/// The learned limit on the requests that one incarnation of an upstream runs at a time.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    announced: usize,
    limit: usize,
    period: Period,
    /// When the period began. Requests that started before are not measured.
    period_start: Timestamp,
    /// The measurements of the period with all open slots in use.
    current: MeanRatio,
    references: References,
    /// Since when the routes are numbered as they are. Requests that started before have no known kind.
    routes_since: Timestamp,
    /// The completion rate at the limit relative to that below it, from repeated trials.
    evidence: Evidence,
    /// The number of trials with fewer slots since the last pause or change.
    trials_in_row: u32,
    /// The time with fewer slots in the trials since the last pause between them.
    below_time: Duration,
    next_raise: Timestamp,
    next_lower: Timestamp,
    /// Whether the next trial with more requests was postponed.
    is_raise_postponed: bool,
    /// The number of consecutive answers that state waiting requests.
    waiting_statements: u32,
    unreported: Option<LimitChange>,
}

/// The periods of which the measurements are compared.
#[derive(Debug, Clone, Copy)]
enum Period {
    /// No trial is under way.
    Steady,
    /// Fewer slots than the limit are open.
    Below { before: MeanRatio },
    /// All slots of the limit are open again. Its measurements show whether the upstream changed during the trial.
    AfterBelow { before: MeanRatio, below: MeanRatio },
    /// More slots than the limit are open.
    Above { before: MeanRatio },
}

impl ConcurrencyLimit {
    /// Creates the limit for an upstream that announces this number of slots, all of them open.
    pub fn new(announced: usize) -> ConcurrencyLimit {
        assert!(announced > 0, "an upstream needs at least one slot");
        ConcurrencyLimit {
            announced,
            limit: announced,
            period: Period::Steady,
            period_start: Timestamp::ZERO,
            current: MeanRatio::default(),
            references: References::default(),
            routes_since: Timestamp::ZERO,
            evidence: Evidence::default(),
            trials_in_row: 0,
            below_time: Duration::ZERO,
            next_raise: Timestamp::ZERO,
            next_lower: Timestamp::ZERO,
            is_raise_postponed: false,
            waiting_statements: 0,
            unreported: None,
        }
    }

    /// Returns what was learned, for a new queue of the same incarnation. All slots stay open if all were. The
    /// references are measured again, since a changed document may number its routes differently.
    pub fn for_new_queue(&self, now: Timestamp, announced: usize) -> ConcurrencyLimit {
        let limit = match self.limit == self.announced {
            true => announced,
            false => self.limit.clamp(limit_min(announced), announced),
        };
        let mut next = ConcurrencyLimit { announced, limit, ..self.clone() };
        let is_comparable = next.limit == self.limit && next.lower_limit() == self.lower_limit();
        if !is_comparable {
            next.evidence = Evidence::default();
        }
        next.renumber_routes(now);
        next
    }

    /// Measures the references again, since the routes are numbered differently from `now` on.
    pub(crate) fn renumber_routes(&mut self, now: Timestamp) {
        self.references = References::default();
        self.routes_since = now;
        self.begin(now, Period::Steady);
    }

    /// Returns the number of requests that the upstream may run at `now`, including a trial.
    pub fn open_slots(&self, now: Timestamp) -> usize {
        match self.is_overdue(now) {
            true => self.limit,
            false => self.slots_of_period(),
        }
    }

    /// Returns when the slots that a trial holds back open again if the trial does not end before. `None` if none are
    /// held back.
    pub(crate) fn next_reopening(&self, now: Timestamp) -> Option<Timestamp> {
        let holds_back = matches!(self.period, Period::Below { .. }) && !self.is_overdue(now);
        // One nanosecond after the last time at which the trial is not overdue.
        holds_back.then(|| self.period_start + PERIOD_MAX + Duration::from_nanos(1))
    }

    /// Returns the limit without trials.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the last change since the previous call.
    pub fn take_change(&mut self) -> Option<LimitChange> {
        self.unreported.take()
    }

    /// Records the number of requests that wait in the upstream, as an answer states. Answers to requests that were sent
    /// with more in flight than the limit do not count, since the gate itself may have made requests wait.
    pub(crate) fn record_waiting(&mut self, in_flight: usize, waiting: u16) {
        self.waiting_statements = match waiting {
            _ if in_flight > self.limit => return,
            0 => 0,
            1.. => self.waiting_statements.saturating_add(1),
        };
    }

    /// Records an answered request and adjusts the limit.
    pub(crate) fn record(&mut self, now: Timestamp, it: MeasuredRequest) {
        if it.started < self.routes_since {
            return;
        }
        // The references stay as they are during a trial, so that its periods are measured on the same scale.
        let is_steady = matches!(self.period, Period::Steady);
        let is_low = is_steady && it.in_flight * 2 <= self.announced;
        let measured = self.references.measure(it.route, now.since(it.started), is_low);
        let Some(measured) = measured else { return };
        if self.is_overdue(now) {
            self.postpone_trial(now);
            self.begin(now, Period::Steady);
        }
        if measured.is_rescaled {
            self.begin(now, Period::Steady);
        }
        if it.started >= self.period_start && it.in_flight == self.slots_of_period() {
            self.current.add(measured.ratio);
        }
        if self.current.is_conclusive() {
            self.end_period(now);
        }
    }

    fn slots_of_period(&self) -> usize {
        match self.period {
            Period::Steady | Period::AfterBelow { .. } => self.limit,
            Period::Below { .. } => self.lower_limit(),
            Period::Above { .. } => self.higher_limit(),
        }
    }

    /// Returns the limit that the next trial with fewer slots tries.
    fn lower_limit(&self) -> usize {
        (self.limit - trial_slots(self.limit)).max(limit_min(self.announced)).min(self.limit)
    }

    /// Returns the limit that the next trial with more slots tries.
    fn higher_limit(&self) -> usize {
        (self.limit + trial_slots(self.limit)).min(self.announced)
    }

    fn is_overdue(&self, now: Timestamp) -> bool {
        !matches!(self.period, Period::Steady) && now.since(self.period_start) > PERIOD_MAX
    }

    fn begin(&mut self, now: Timestamp, period: Period) {
        self.period = period;
        self.period_start = now;
        self.current = MeanRatio::default();
    }

    fn end_period(&mut self, now: Timestamp) {
        let current = self.current;
        match self.period {
            Period::Steady => self.begin_trial(now),
            Period::Below { before } => {
                self.below_time += now.since(self.period_start);
                self.begin(now, Period::AfterBelow { before, below: current });
            }
            Period::AfterBelow { before, below } => self.end_lower_trial(now, before, below),
            Period::Above { before } => self.end_raise_trial(now, before),
        }
    }

    fn begin_trial(&mut self, now: Timestamp) {
        let before = self.current;
        if now >= self.next_lower && self.limit > limit_min(self.announced) {
            return self.begin(now, Period::Below { before });
        }
        if now < self.next_raise || self.limit >= self.announced {
            return;
        }
        if self.states_waiting() && !self.is_raise_postponed {
            self.is_raise_postponed = true;
            self.next_raise = now + RAISE_INTERVAL;
            return;
        }
        self.is_raise_postponed = false;
        self.next_raise = now + RAISE_INTERVAL;
        self.begin(now, Period::Above { before });
    }

    fn end_lower_trial(&mut self, now: Timestamp, before: MeanRatio, below: MeanRatio) {
        let after = self.current;
        // The measurements of this period are also those before the next trial.
        self.period = Period::Steady;
        if before.has_drifted(after) {
            return self.wait_to_lower(now);
        }
        let lower_limit = self.lower_limit();
        self.evidence.add([lower_limit, self.limit], [below, before.average(after)]);
        let change = self.change(self.limit, lower_limit, self.evidence);
        self.trials_in_row += 1;
        match judge(&change) {
            Judgement::Acceptable => self.wait_to_lower(now),
            Judgement::Uncertain if self.trials_in_row >= TRIALS_IN_ROW_MAX => {
                self.wait_to_lower(now);
            }
            Judgement::Uncertain => self.next_lower = now,
            Judgement::TooHigh => {
                self.apply(change);
                self.next_raise = now + RAISE_INTERVAL;
                self.begin(now, Period::Steady);
                // The period with fewer slots is the one before the next trial.
                self.current = below;
            }
        }
    }

    fn end_raise_trial(&mut self, now: Timestamp, before: MeanRatio) {
        let mut evidence = Evidence::default();
        let higher_limit = self.higher_limit();
        evidence.add([self.limit, higher_limit], [before, self.current]);
        let change = self.change(self.limit, higher_limit, evidence);
        if judge(&change) == Judgement::TooHigh {
            return self.begin(now, Period::Steady);
        }
        self.apply(change);
        self.period = Period::Steady;
    }

    /// Changes the limit. A trial with fewer slots follows at once: after lowering, since fewer may be better still, and after raising, since the trial was short.
    fn apply(&mut self, change: LimitChange) {
        self.limit = change.to;
        self.unreported = Some(change);
        self.evidence = Evidence::default();
        self.trials_in_row = 0;
        self.next_lower = Timestamp::ZERO;
    }

    /// Ends the trials with fewer slots until the next one is due by their cost.
    fn wait_to_lower(&mut self, now: Timestamp) {
        self.evidence = self.evidence.aged();
        let held_share = (self.limit - self.lower_limit()) as f64 / self.limit as f64;
        let cost_interval = self.below_time.mul_f64(held_share / LOWER_COST_MAX);
        self.next_lower = now + cost_interval.max(LOWER_INTERVAL_MIN);
        self.below_time = Duration::ZERO;
        self.trials_in_row = 0;
    }

    /// Ends a trial that was not measured in time.
    fn postpone_trial(&mut self, now: Timestamp) {
        match self.period {
            Period::Steady => {}
            Period::Below { .. } => {
                self.below_time += PERIOD_MAX;
                self.wait_to_lower(now);
            }
            Period::AfterBelow { .. } => self.wait_to_lower(now),
            Period::Above { .. } => self.next_raise = now + RAISE_INTERVAL,
        }
    }

    fn change(&self, from: usize, to: usize, evidence: Evidence) -> LimitChange {
        LimitChange {
            from,
            to,
            relative_rate: evidence.relative_rate(),
            standard_error: evidence.standard_error(),
            trials: evidence.trials(),
            states_waiting: self.states_waiting(),
        }
    }

    fn states_waiting(&self) -> bool {
        self.waiting_statements >= WAITING_STATEMENTS_MIN
    }
}

/// Returns the number of slots by which a trial differs from the limit.
fn trial_slots(limit: usize) -> usize {
    (limit / TRIAL_PART).max(1)
}

fn limit_min(announced: usize) -> usize {
    announced.div_ceil(2)
}

/// What a comparison says of the higher number in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Judgement {
    TooHigh,
    Acceptable,
    /// The trial has to be repeated.
    Uncertain,
}

/// Judges a comparison. An upstream that states waiting requests runs no more at a time than with the lower number,
/// unless the rate shows that it does.
fn judge(it: &LimitChange) -> Judgement {
    let [lowest, highest] = [1.0 - it.standard_error, 1.0 + it.standard_error];
    if it.relative_rate * highest < 1.0 - RATE_LOSS_MAX {
        return Judgement::TooHigh;
    }
    if !it.states_waiting {
        return match it.relative_rate * lowest >= 1.0 - RATE_LOSS_MAX {
            true => Judgement::Acceptable,
            false => Judgement::Uncertain,
        };
    }
    let full_gain = it.full_gain();
    let rate_min = 1.0 + STATED_GAIN_SHARE_MIN * full_gain;
    let is_precise = it.standard_error <= STATED_ERROR_SHARE_MAX * full_gain;
    match it.relative_rate {
        rate if rate * lowest >= rate_min => Judgement::Acceptable,
        rate if is_precise && rate <= rate_min => Judgement::TooHigh,
        _ if is_precise => Judgement::Acceptable,
        _ => Judgement::Uncertain,
    }
}
