//! One target of a service, as callers have found it.

use std::{collections::HashMap, time::Duration};

use model::{Instance, Timestamp};

use super::SelectionConfig;
use crate::SmoothedDuration;

/// A new target's share of work at the least, so that it gets any.
const RAMP_MIN: f64 = 0.1;
/// How much the load that a target claims for itself may add to its cost.
const HINT_LOAD_WEIGHT: f64 = 0.25;
/// What a target that calls itself ill adds to its cost.
const HINT_ILL_WEIGHT: f64 = 1.0;
/// How fast a measured latency loses its weight when nothing new is measured.
const LATENCY_FADE: Duration = Duration::from_secs(10);
/// The share of a new report in the usual backlog.
const BACKLOG_GAIN: f64 = 0.25;
/// How long a gate is gone by: how fast its machine is and how much it is asked for usually stay what they
/// are for longer, but one that was slow or full once has to be tried again.
const HEARD_FOR: Duration = Duration::from_secs(30);
/// Silence for this many times the usual latency is none: long requests just take long.
const SILENT_LATENCIES: u32 = 4;
/// Ejections in a row that lengthen the next one.
const EJECTIONS_MAX: u32 = 6;

/// Whether a target takes new work at all, as its group says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    Ready,
    /// Starting or leaving.
    Closed,
}

/// What a target's health and load endpoints say; may lag or mislead.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct HealthHint {
    pub is_unhealthy: bool,
    /// 0 idle, 1 full.
    pub load: f64,
}

/// A target as its group announces it.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetSpec {
    pub instance: Instance,
    pub state: TargetState,
    pub hint: HealthHint,
}

/// What a target's gate says of itself with each reply: counted there, so it neither lags by more than a
/// reply nor misleads.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateReport {
    /// Requests at the upstream, and those that wait for a slot of it.
    pub backlog: u32,
    pub slots: u32,
    /// What a request takes there, on average over all kinds as they come.
    pub service_time: Duration,
    /// What one of the kind that was asked for takes there, if any has been measured.
    pub kind_service_time: Option<(u8, Duration)>,
}

/// A gate's report, and what has become of it since.
#[derive(Debug, Clone, Copy)]
struct Reported {
    report: GateReport,
    at: Timestamp,
    /// Requests sent to it since.
    sent: u32,
    /// The backlogs that it has reported, smoothed.
    usual_backlog: f64,
}

/// How a request ended at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetResult {
    Answered,
    /// Refused for lack of room: alive, not at fault.
    Shed,
    /// An error, a broken link, or no answer before the deadline.
    Failed,
    /// The caller took it back: says nothing of the target.
    Cancelled,
}

/// A target as it stands.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    pub instance: Instance,
    pub in_flight: u32,
    pub latency: Duration,
    pub is_ejected: bool,
    pub is_unresponsive: bool,
}

#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) instance: Instance,
    pub(super) state: TargetState,
    pub(super) hint: HealthHint,
    since: Timestamp,
    in_flight: u32,
    latency: SmoothedDuration,
    reported: Option<Reported>,
    /// What requests of each kind take there, as its gate last said.
    kinds: HashMap<u8, (Duration, Timestamp)>,
    /// The last answer or refusal, or the first request given since it had none in flight.
    last_sign: Timestamp,
    failures_in_row: u32,
    ejections_in_row: u32,
    ejected_until: Timestamp,
}

impl Target {
    pub(super) fn new(instance: Instance, initial_latency: Duration, now: Timestamp) -> Target {
        Target {
            instance,
            state: TargetState::Closed,
            hint: HealthHint::default(),
            since: now,
            in_flight: 0,
            latency: SmoothedDuration::new(initial_latency),
            reported: None,
            kinds: HashMap::new(),
            last_sign: now,
            failures_in_row: 0,
            ejections_in_row: 0,
            ejected_until: Timestamp::ZERO,
        }
    }

    pub(super) fn takes_work(&self, config: &SelectionConfig, now: Timestamp) -> bool {
        self.state == TargetState::Ready
            && !self.is_ejected(now)
            && !self.is_unresponsive(config, now)
    }

    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Requests in flight and no sign of life. Deadlines and cancellations end what is in flight,
    /// and with it the state: then one request at a time finds out whether it is back.
    pub(super) fn is_unresponsive(&self, config: &SelectionConfig, now: Timestamp) -> bool {
        let silence_max = config.unresponsive_after.max(self.latency.mean() * SILENT_LATENCIES);
        self.in_flight > 0 && now.since(self.last_sign) > silence_max
    }

    pub(super) fn is_busy(&self) -> bool {
        self.in_flight > 0
    }

    pub(super) fn start(&mut self, now: Timestamp) {
        if self.in_flight == 0 {
            self.last_sign = now;
        }
        self.in_flight += 1;
        if let Some(reported) = &mut self.reported {
            reported.sent += 1;
        }
    }

    pub(super) fn report(&mut self, now: Timestamp, report: GateReport) {
        if let Some((kind, takes)) = report.kind_service_time {
            self.kinds.insert(kind, (takes, now));
        }
        let backlog = f64::from(report.backlog);
        let usual = self.heard(now).map_or(backlog, |it| it.usual_backlog);
        let usual_backlog = usual + BACKLOG_GAIN * (backlog - usual);
        self.reported = Some(Reported { report, at: now, sent: 0, usual_backlog });
    }

    /// What a request takes here, on average over all kinds; none: the gate has said nothing for long.
    pub(super) fn service_s(&self, now: Timestamp) -> Option<f64> {
        Some(self.heard(now)?.report.service_time.as_secs_f64())
    }

    /// What a request of a kind takes here by itself.
    pub(super) fn kind_s(&self, now: Timestamp, kind: u8) -> Option<f64> {
        let (takes, _) = self.kinds.get(&kind).filter(|it| now.since(it.1) <= HEARD_FOR)?;
        Some(takes.as_secs_f64())
    }

    /// How long a request that is sent now waits here for a slot. What the gate last said of its backlog fades
    /// to what it usually says within the time of a request: an agent hears of each of many gates every few
    /// seconds, and one that is busy at all times has worked nothing off meanwhile.
    pub(super) fn wait_s(&self, now: Timestamp) -> Option<f64> {
        let Reported { report, at, sent, usual_backlog } = self.heard(now)?;
        let slots = f64::from(report.slots.max(1));
        let service_s = report.service_time.as_secs_f64();
        let left = (-now.since(at).as_secs_f64() / service_s.max(f64::MIN_POSITIVE)).exp();
        let told = f64::from(report.backlog) + f64::from(sent);
        let backlog = usual_backlog + (told - usual_backlog) * left;
        Some(service_s * (backlog + 1.0 - slots).max(0.0) / slots)
    }

    fn heard(&self, now: Timestamp) -> Option<Reported> {
        self.reported.filter(|it| now.since(it.at) <= HEARD_FOR)
    }

    /// How old what the gate last said is, if it still counts.
    pub(super) fn load_age(&self, now: Timestamp) -> Option<Duration> {
        self.heard(now).map(|it| now.since(it.at))
    }

    pub(super) fn finish(
        &mut self,
        config: &SelectionConfig,
        now: Timestamp,
        taken: Duration,
        result: TargetResult,
        may_eject: bool,
    ) {
        assert!(self.in_flight > 0, "{} ended more requests than it was given", self.instance);
        self.in_flight -= 1;
        match result {
            TargetResult::Answered => {
                self.latency.add(taken);
                self.last_sign = now;
                self.failures_in_row = 0;
                self.ejections_in_row = 0;
            }
            TargetResult::Shed => self.last_sign = now,
            TargetResult::Failed => self.fail(config, now, may_eject),
            TargetResult::Cancelled => (),
        }
    }

    fn fail(&mut self, config: &SelectionConfig, now: Timestamp, may_eject: bool) {
        self.failures_in_row += 1;
        if self.failures_in_row < config.eject_failures || !may_eject || self.is_ejected(now) {
            return;
        }
        self.failures_in_row = 0;
        self.ejections_in_row = (self.ejections_in_row + 1).min(EJECTIONS_MAX);
        self.ejected_until = now + config.ejection_duration * self.ejections_in_row;
    }

    /// The expected wait at this target, in seconds: less is better. `best_s` is the
    /// least latency of any target.
    pub(super) fn cost_s(&self, config: &SelectionConfig, now: Timestamp, best_s: f64) -> f64 {
        let ill = if self.hint.is_unhealthy { HINT_ILL_WEIGHT } else { 0.0 };
        let hint = 1.0 + ill + HINT_LOAD_WEIGHT * self.hint.load.clamp(0.0, 1.0);
        (self.in_flight_share(config, now) + 1.0) * self.latency_s(now, best_s) * hint
    }

    /// How much worse a target counts whose last requests have failed: what it says of its load tells
    /// nothing of its answers.
    pub(super) fn failure_factor(&self) -> f64 {
        f64::from(1 + self.failures_in_row)
    }

    /// The latency measured, if there is any.
    pub(super) fn measured_s(&self) -> Option<f64> {
        (self.latency.samples() > 0).then(|| self.latency.mean().as_secs_f64())
    }

    /// What was measured, drawn to the best of all the longer ago that was: else a target that was
    /// once slow would not be tried again.
    fn latency_s(&self, now: Timestamp, best_s: f64) -> f64 {
        let Some(measured_s) = self.measured_s() else { return best_s };
        let idle = now.since(self.last_sign).as_secs_f64() / LATENCY_FADE.as_secs_f64();
        best_s + (measured_s - best_s) * (-idle).exp()
    }

    /// Requests in flight, over the share that a new target may have.
    pub(super) fn in_flight_share(&self, config: &SelectionConfig, now: Timestamp) -> f64 {
        f64::from(self.in_flight) / self.ramp(config, now)
    }

    fn ramp(&self, config: &SelectionConfig, now: Timestamp) -> f64 {
        if config.slow_start.is_zero() {
            return 1.0;
        }
        let passed = now.since(self.since).as_secs_f64() / config.slow_start.as_secs_f64();
        passed.clamp(RAMP_MIN, 1.0)
    }

    pub(super) fn view(&self, config: &SelectionConfig, now: Timestamp) -> TargetView {
        TargetView {
            instance: self.instance.clone(),
            in_flight: self.in_flight,
            latency: self.latency.mean(),
            is_ejected: self.is_ejected(now),
            is_unresponsive: self.is_unresponsive(config, now),
        }
    }
}
