//! One target of a service, with the latency, failures and load reports observed by this agent.

use std::{collections::HashMap, time::Duration};

use model::{Instance, Timestamp};

use super::SelectionConfig;
use crate::SmoothedDuration;

/// The initial share of a new target; above 0, so that it gets requests.
const RAMP_SHARE_MIN: f64 = 0.1;
/// The largest share that the load claimed by a target adds to its cost.
const HINT_LOAD_WEIGHT: f64 = 0.25;
/// The share added to the cost of a target that claims to be unhealthy.
const HINT_UNHEALTHY_WEIGHT: f64 = 1.0;
/// The time constant with which a measured latency loses its weight while nothing new is measured.
const LATENCY_DECAY: Duration = Duration::from_secs(10);
/// The weight of a new report in the mean backlog.
const BACKLOG_GAIN: f64 = 0.25;
/// The time for which a load report is used. The speed and load of a machine usually stay the same for longer,
/// but a target that once was slow or full has to be tried again.
const REPORT_VALIDITY: Duration = Duration::from_secs(30);
/// A target counts as responsive for at least this many times its mean latency, since the requests in flight
/// may simply take that long.
const UNRESPONSIVE_LATENCIES: u32 = 4;
/// The number of consecutive ejections up to which each one lasts longer.
const EJECTION_STEPS_MAX: u32 = 6;

/// Whether a target accepts new requests, as announced by its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    Ready,
    /// The target is starting or leaving.
    Closed,
}

/// The response of a target's health and load endpoints, which may be out of date or wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct HealthHint {
    pub is_unhealthy: bool,
    /// The load, from 0 (idle) to 1 (full).
    pub load: f64,
}

/// A target as announced by its group.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetSpec {
    pub instance: Instance,
    pub state: TargetState,
    pub hint: HealthHint,
}

/// The load that a target's gate reports with each reply. The gate counts requests itself, so the report is
/// exact as of that reply.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateReport {
    /// The number of requests that run on the upstream or wait for a slot of it.
    pub backlog: u32,
    pub slots: u32,
    /// The mean service time over all requests.
    pub service_time: Duration,
    /// The kind of the answered request and its mean service time, if one has been measured.
    pub kind_service_time: Option<(u8, Duration)>,
}

/// The last report of a gate, with the changes since.
#[derive(Debug, Clone, Copy)]
struct ReceivedReport {
    report: GateReport,
    received: Timestamp,
    /// The number of requests sent to the target since the report.
    sent_since: u32,
    /// The exponentially weighted mean of the reported backlogs.
    mean_backlog: f64,
}

/// The result of a request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetResult {
    Answered,
    /// The target refused the request because it is full. It counts as responsive, and not as failing.
    Shed,
    /// The request failed with an error, a lost connection, or no answer before the deadline.
    Failed,
    /// The caller cancelled the request, which tells nothing about the target.
    Cancelled,
}

/// The state of a target, for the status and the metrics.
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
    added: Timestamp,
    in_flight: u32,
    latency: SmoothedDuration,
    last_report: Option<ReceivedReport>,
    /// The last reported service time of each kind, with the time of the report.
    kind_service_times: HashMap<u8, (Duration, Timestamp)>,
    /// The time of the last answer or refusal, or of the first request that was sent while none was in flight.
    silent_since: Timestamp,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Timestamp,
}

impl Target {
    pub(super) fn new(instance: Instance, initial_latency: Duration, now: Timestamp) -> Target {
        Target {
            instance,
            state: TargetState::Closed,
            hint: HealthHint::default(),
            added: now,
            in_flight: 0,
            latency: SmoothedDuration::new(initial_latency),
            last_report: None,
            kind_service_times: HashMap::new(),
            silent_since: now,
            consecutive_failures: 0,
            consecutive_ejections: 0,
            ejected_until: Timestamp::ZERO,
        }
    }

    pub(super) fn accepts_requests(&self, config: &SelectionConfig, now: Timestamp) -> bool {
        self.state == TargetState::Ready
            && !self.is_ejected(now)
            && !self.is_unresponsive(config, now)
    }

    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Returns whether requests are in flight and the target has not responded for too long. Deadlines and
    /// cancellations end the requests in flight, and thus this state; then single requests probe whether
    /// the target has recovered.
    pub(super) fn is_unresponsive(&self, config: &SelectionConfig, now: Timestamp) -> bool {
        let silence_max =
            config.unresponsive_after.max(self.latency.mean() * UNRESPONSIVE_LATENCIES);
        self.in_flight > 0 && now.since(self.silent_since) > silence_max
    }

    pub(super) fn has_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    pub(super) fn start(&mut self, now: Timestamp) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
        if let Some(last_report) = &mut self.last_report {
            last_report.sent_since += 1;
        }
    }

    pub(super) fn report(&mut self, now: Timestamp, report: GateReport) {
        if let Some((kind, service_time)) = report.kind_service_time {
            self.kind_service_times.insert(kind, (service_time, now));
        }
        let backlog = f64::from(report.backlog);
        let former_mean = self.current_report(now).map_or(backlog, |it| it.mean_backlog);
        let mean_backlog = former_mean + BACKLOG_GAIN * (backlog - former_mean);
        self.last_report =
            Some(ReceivedReport { report, received: now, sent_since: 0, mean_backlog });
    }

    /// Returns the mean service time over all kinds, in seconds. `None` if there is no recent report.
    pub(super) fn mean_service_s(&self, now: Timestamp) -> Option<f64> {
        Some(self.current_report(now)?.report.service_time.as_secs_f64())
    }

    /// Returns the service time of a kind, in seconds. `None` if there is no recent report of it.
    pub(super) fn kind_service_s(&self, now: Timestamp, kind: u8) -> Option<f64> {
        let (service_time, _) =
            self.kind_service_times.get(&kind).filter(|it| now.since(it.1) <= REPORT_VALIDITY)?;
        Some(service_time.as_secs_f64())
    }

    /// Returns the expected wait of a request for a slot, in seconds. Within about one service time, the last
    /// reported backlog loses its weight to the mean backlog: with many gates, an agent gets a report of each
    /// only every few seconds, and a target under constant load has not reduced its backlog in between.
    /// Returns `None` if there is no recent report.
    pub(super) fn queue_wait_s(&self, now: Timestamp) -> Option<f64> {
        let ReceivedReport { report, received, sent_since, mean_backlog } =
            self.current_report(now)?;
        let slots = f64::from(report.slots.max(1));
        let mean_service_s = report.service_time.as_secs_f64();
        let weight =
            (-now.since(received).as_secs_f64() / mean_service_s.max(f64::MIN_POSITIVE)).exp();
        let reported_backlog = f64::from(report.backlog) + f64::from(sent_since);
        let backlog = mean_backlog + (reported_backlog - mean_backlog) * weight;
        Some(mean_service_s * (backlog + 1.0 - slots).max(0.0) / slots)
    }

    fn current_report(&self, now: Timestamp) -> Option<ReceivedReport> {
        self.last_report.filter(|it| now.since(it.received) <= REPORT_VALIDITY)
    }

    /// Returns the age of the last load report. `None` if there is no recent report.
    pub(super) fn load_age(&self, now: Timestamp) -> Option<Duration> {
        self.current_report(now).map(|it| now.since(it.received))
    }

    pub(super) fn finish(
        &mut self,
        config: &SelectionConfig,
        now: Timestamp,
        elapsed: Duration,
        result: TargetResult,
        may_eject: bool,
    ) {
        assert!(self.in_flight > 0, "{} ended more requests than were sent to it", self.instance);
        self.in_flight -= 1;
        match result {
            TargetResult::Answered => {
                self.latency.add(elapsed);
                self.silent_since = now;
                self.consecutive_failures = 0;
                self.consecutive_ejections = 0;
            }
            TargetResult::Shed => self.silent_since = now,
            TargetResult::Failed => self.record_failure(config, now, may_eject),
            TargetResult::Cancelled => (),
        }
    }

    fn record_failure(&mut self, config: &SelectionConfig, now: Timestamp, may_eject: bool) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < config.eject_failures || !may_eject || self.is_ejected(now) {
            return;
        }
        self.consecutive_failures = 0;
        self.consecutive_ejections = (self.consecutive_ejections + 1).min(EJECTION_STEPS_MAX);
        self.ejected_until = now + config.ejection_duration * self.consecutive_ejections;
    }

    /// Returns the expected latency of this target, in seconds, increased by its health and load hints.
    /// `least_latency_s` is the least measured latency of all targets.
    pub(super) fn cost_s(
        &self,
        config: &SelectionConfig,
        now: Timestamp,
        least_latency_s: f64,
    ) -> f64 {
        let unhealthy_cost = if self.hint.is_unhealthy { HINT_UNHEALTHY_WEIGHT } else { 0.0 };
        let hint_factor = 1.0 + unhealthy_cost + HINT_LOAD_WEIGHT * self.hint.load.clamp(0.0, 1.0);
        (self.scaled_in_flight(config, now) + 1.0)
            * self.estimated_latency_s(now, least_latency_s)
            * hint_factor
    }

    /// Returns the factor on the expected latency for consecutive failures, which a load report does not show.
    pub(super) fn failure_factor(&self) -> f64 {
        f64::from(1 + self.consecutive_failures)
    }

    /// Returns the mean measured latency, in seconds. `None` if none has been measured.
    pub(super) fn measured_latency_s(&self) -> Option<f64> {
        (self.latency.samples() > 0).then(|| self.latency.mean().as_secs_f64())
    }

    /// Returns the measured latency, which approaches the least latency of all targets the longer ago the
    /// target last responded; otherwise a target that was slow once would not be tried again.
    fn estimated_latency_s(&self, now: Timestamp, least_latency_s: f64) -> f64 {
        let Some(measured_latency_s) = self.measured_latency_s() else { return least_latency_s };
        let decay_periods =
            now.since(self.silent_since).as_secs_f64() / LATENCY_DECAY.as_secs_f64();
        least_latency_s + (measured_latency_s - least_latency_s) * (-decay_periods).exp()
    }

    /// Returns the requests in flight, divided by the share of the target during its slow start.
    pub(super) fn scaled_in_flight(&self, config: &SelectionConfig, now: Timestamp) -> f64 {
        f64::from(self.in_flight) / self.ramp_share(config, now)
    }

    fn ramp_share(&self, config: &SelectionConfig, now: Timestamp) -> f64 {
        if config.slow_start.is_zero() {
            return 1.0;
        }
        let ramp_progress = now.since(self.added).as_secs_f64() / config.slow_start.as_secs_f64();
        ramp_progress.clamp(RAMP_SHARE_MIN, 1.0)
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
