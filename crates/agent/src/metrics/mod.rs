//! Metrics for operators: latency histograms by tenant and class, and counters by outcome.

mod platform_calls;
mod server;

use std::{sync::Arc, time::Duration};

use model::{ClassName, Outcome, RequestRate, TeamName};
use object_store::CallCounts;
use prometheus::{
    Gauge, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

use self::platform_calls::PlatformCalls;

pub(crate) use server::serve;

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKET_BOUNDS_S: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.004, 0.008, 0.015, 0.03, 0.06, 0.125, 0.25, 0.5, 1.0, 2.0, 5.0];

/// The metrics of one agent.
pub(crate) struct Metrics {
    registry: Registry,
    request_s: HistogramVec,
    upstream_s: HistogramVec,
    requests: IntCounterVec,
    retries: IntCounterVec,
    running: IntGauge,
    queued: IntGauge,
    limited: IntCounterVec,
    returns: IntCounterVec,
    promised_returns: IntGauge,
    limit_per_s: Gauge,
    is_leaving: IntGauge,
}

impl Metrics {
    pub(crate) fn new(platform_calls: Arc<CallCounts>) -> Result<Metrics, prometheus::Error> {
        let registry = Registry::new();
        let labels = ["tenant", "class"];
        let histogram = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(BUCKET_BOUNDS_S.to_vec());
            HistogramVec::new(opts, &labels)
        };
        let request_s =
            histogram("pomelohill_request_seconds", "Time from a caller's request to its answer.")?;
        let upstream_s =
            histogram("pomelohill_upstream_seconds", "Time a request spent at the upstream.")?;
        let requests = IntCounterVec::new(
            Opts::new("pomelohill_requests_total", "Callers' requests by their end."),
            &["tenant", "class", "outcome"],
        )?;
        let retries = IntCounterVec::new(
            Opts::new("pomelohill_retries_total", "Requests sent on again."),
            &["tenant", "kind"],
        )?;
        let running = IntGauge::new("pomelohill_gate_running", "Requests at the upstream.")?;
        let queued = IntGauge::new("pomelohill_gate_queued", "Requests that wait for a slot.")?;
        let limited = IntCounterVec::new(
            Opts::new(
                "pomelohill_limited_total",
                "Requests that were not sent at once to an upstream that states a limit.",
            ),
            &["tenant", "result"],
        )?;
        let returns = IntCounterVec::new(
            Opts::new(
                "pomelohill_returns_total",
                "Refused callers by what they were told, and their returns.",
            ),
            &["tenant", "result"],
        )?;
        let promised_returns = IntGauge::new(
            "pomelohill_promised_returns",
            "Promised returns whose time has not passed.",
        )?;
        let limit_per_s = Gauge::new(
            "pomelohill_upstream_limit_per_s",
            "Requests per second that the upstream states as its limit; 0 if it states none.",
        )?;
        let is_leaving = IntGauge::new(
            "pomelohill_upstream_leaving",
            "1 if the upstream has stated in an answer that it is leaving.",
        )?;
        registry.register(Box::new(request_s.clone()))?;
        registry.register(Box::new(upstream_s.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(retries.clone()))?;
        registry.register(Box::new(running.clone()))?;
        registry.register(Box::new(queued.clone()))?;
        registry.register(Box::new(limited.clone()))?;
        registry.register(Box::new(returns.clone()))?;
        registry.register(Box::new(promised_returns.clone()))?;
        registry.register(Box::new(limit_per_s.clone()))?;
        registry.register(Box::new(is_leaving.clone()))?;
        registry.register(Box::new(PlatformCalls::new(platform_calls)?))?;
        Ok(Metrics {
            registry,
            request_s,
            upstream_s,
            requests,
            retries,
            running,
            queued,
            limited,
            returns,
            promised_returns,
            limit_per_s,
            is_leaving,
        })
    }

    /// Records the outcome and latency of a caller's request.
    pub(crate) fn record_request(
        &self,
        team: &TeamName,
        class: &ClassName,
        outcome: Outcome,
        spent: Duration,
    ) {
        let labels = [team.as_str(), class.as_str()];
        self.request_s.with_label_values(&labels).observe(spent.as_secs_f64());
        let kind = match outcome {
            Outcome::Answered => "answered",
            Outcome::NotRun(_) => "not_run",
            Outcome::Unknown(_) => "unknown",
        };
        self.requests.with_label_values(&[team.as_str(), class.as_str(), kind]).inc();
    }

    pub(crate) fn record_upstream_time(&self, team: &TeamName, class: &ClassName, spent: Duration) {
        let labels = [team.as_str(), class.as_str()];
        self.upstream_s.with_label_values(&labels).observe(spent.as_secs_f64());
    }

    /// Records a further attempt of a request; `kind` is `redirect` or `retry`.
    pub(crate) fn record_retry(&self, team: &TeamName, kind: &str) {
        self.retries.with_label_values(&[team.as_str(), kind]).inc();
    }

    /// Records a request that was queued or refused while the upstream states a limit; `result` is `queued` or
    /// `refused`.
    pub(crate) fn record_limited(&self, team: &TeamName, result: &str) {
        self.limited.with_label_values(&[team.as_str(), result]).inc();
    }

    /// Records the time that a refused caller was told (`promised`, `unpromised`), or its return (`on_time`, `early`).
    pub(crate) fn record_return(&self, team: &TeamName, result: &str) {
        self.returns.with_label_values(&[team.as_str(), result]).inc();
    }

    pub(crate) fn set_promised_returns(&self, promised: usize) {
        self.promised_returns.set(i64::try_from(promised).unwrap_or(i64::MAX));
    }

    pub(crate) fn set_gate_load(&self, running: usize, queued: usize) {
        self.running.set(i64::try_from(running).unwrap_or(i64::MAX));
        self.queued.set(i64::try_from(queued).unwrap_or(i64::MAX));
    }

    pub(crate) fn set_stated_condition(&self, limit: Option<RequestRate>, is_leaving: bool) {
        self.limit_per_s.set(limit.map_or(0.0, RequestRate::per_s));
        self.is_leaving.set(i64::from(is_leaving));
    }

    fn text(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}
