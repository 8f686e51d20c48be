//! Metrics for operators: latency histograms by tenant and class, and counters by outcome.

mod platform_calls;
mod server;

use std::{sync::Arc, time::Duration};

use body_budget::BudgetUsage;
use model::{ClassName, Outcome, RequestRate, TeamName};
use object_store::CallCounts;
use ownership::MemberCapacity;
use prometheus::{
    Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};
use traffic::LimitChange;

use self::platform_calls::PlatformCalls;

use crate::connections::ConnectionUsage;

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
    trials: IntCounterVec,
    returns: IntCounterVec,
    promised_returns: IntGauge,
    limit_per_s: Gauge,
    is_leaving: IntGauge,
    call_failures: IntCounterVec,
    run_refusal_probability: Gauge,
    express: IntCounterVec,
    express_reserved_slots: IntGauge,
    learned_limit: IntGauge,
    limit_changes: IntCounterVec,
    measured_answers: IntCounter,
    member_weight: GaugeVec,
    grants: IntCounterVec,
    body_bytes: IntGaugeVec,
    body_refusals: IntCounterVec,
    connections: IntGaugeVec,
    connection_closures: IntCounterVec,
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
        let trials = IntCounterVec::new(
            Opts::new(
                "pomelohill_quarantine_trials_total",
                "Trials of quarantined requests that the gate claimed or failed to claim, and their ends.",
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
        let call_failures = IntCounterVec::new(
            Opts::new(
                "pomelohill_call_failures_total",
                "Runs that failed because of the calls that they made, and runs refused for that.",
            ),
            &["tenant", "result"],
        )?;
        let run_refusal_probability = Gauge::new(
            "pomelohill_run_refusal_probability",
            "Highest probability with which runs of a kind are refused because of their calls.",
        )?;
        let express = IntCounterVec::new(
            Opts::new(
                "pomelohill_express_total",
                "Express requests by how they got a slot of the upstream.",
            ),
            &["tenant", "result"],
        )?;
        let express_reserved_slots = IntGauge::new(
            "pomelohill_express_reserved_slots",
            "Slots of the upstream that only express requests may take.",
        )?;
        let learned_limit = IntGauge::new(
            "pomelohill_gate_learned_limit",
            "Requests at the upstream at a time, as learned; 0 if it is not learned.",
        )?;
        let limit_changes = IntCounterVec::new(
            Opts::new(
                "pomelohill_gate_learned_limit_changes_total",
                "Changes of the learned limit.",
            ),
            &["tenant", "direction"],
        )?;
        let measured_answers = IntCounter::new(
            "pomelohill_measured_answers_total",
            "Answers of the upstream by which its speed was measured.",
        )?;
        let member_weight = GaugeVec::new(
            Opts::new(
                "pomelohill_member_weight",
                "Share of the load that the coordinator plans for an instance, relative to the mean instance.",
            ),
            &["instance"],
        )?;
        let grants = IntCounterVec::new(
            Opts::new(
                "pomelohill_key_grants_total",
                "Grants of keys to the upstream by call; outdated if it has seen a higher fence token.",
            ),
            &["tenant", "result"],
        )?;
        let body_bytes = IntGaugeVec::new(
            Opts::new(
                "pomelohill_body_bytes",
                "Bytes of request and answer bodies in memory: now, at most since the start, and the bound.",
            ),
            &["value"],
        )?;
        let body_refusals = IntCounterVec::new(
            Opts::new(
                "pomelohill_body_refusals_total",
                "Bodies for which there was no room: requests that were refused, answers that were delayed.",
            ),
            &["kind"],
        )?;
        let connections = IntGaugeVec::new(
            Opts::new(
                "pomelohill_accepted_connections",
                "Accepted connections, without established links, and the bytes that are counted for them.",
            ),
            &["value"],
        )?;
        let connection_closures = IntCounterVec::new(
            Opts::new(
                "pomelohill_connection_closures_total",
                "Connections without room: evicted by others, or refused since none could be evicted.",
            ),
            &["kind"],
        )?;
        registry.register(Box::new(connections.clone()))?;
        registry.register(Box::new(connection_closures.clone()))?;
        registry.register(Box::new(body_bytes.clone()))?;
        registry.register(Box::new(body_refusals.clone()))?;
        registry.register(Box::new(grants.clone()))?;
        registry.register(Box::new(measured_answers.clone()))?;
        registry.register(Box::new(member_weight.clone()))?;
        registry.register(Box::new(request_s.clone()))?;
        registry.register(Box::new(upstream_s.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(retries.clone()))?;
        registry.register(Box::new(running.clone()))?;
        registry.register(Box::new(queued.clone()))?;
        registry.register(Box::new(limited.clone()))?;
        registry.register(Box::new(trials.clone()))?;
        registry.register(Box::new(returns.clone()))?;
        registry.register(Box::new(promised_returns.clone()))?;
        registry.register(Box::new(limit_per_s.clone()))?;
        registry.register(Box::new(is_leaving.clone()))?;
        registry.register(Box::new(call_failures.clone()))?;
        registry.register(Box::new(run_refusal_probability.clone()))?;
        registry.register(Box::new(express.clone()))?;
        registry.register(Box::new(express_reserved_slots.clone()))?;
        registry.register(Box::new(learned_limit.clone()))?;
        registry.register(Box::new(limit_changes.clone()))?;
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
            trials,
            returns,
            promised_returns,
            limit_per_s,
            is_leaving,
            call_failures,
            run_refusal_probability,
            express,
            express_reserved_slots,
            learned_limit,
            limit_changes,
            measured_answers,
            member_weight,
            grants,
            body_bytes,
            body_refusals,
            connections,
            connection_closures,
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

    /// Records a step of the trial of a quarantined request; `result` is `claimed`, `not_claimed`, `not_sent`,
    /// `answered`, `lost` or `survived`.
    pub(crate) fn record_trial(&self, team: &TeamName, result: &str) {
        self.trials.with_label_values(&[team.as_str(), result]).inc();
    }

    /// Records a run that failed because of a call or was refused for the failures of others; `result` is `failed` or
    /// `refused`.
    pub(crate) fn record_call_failure(&self, team: &TeamName, result: &str) {
        self.call_failures.with_label_values(&[team.as_str(), result]).inc();
    }

    pub(crate) fn set_run_refusal_probability(&self, probability: f64) {
        self.run_refusal_probability.set(probability);
    }

    /// Records an express request at the gate; `result` is `at_once`, `waited` or `refused`.
    pub(crate) fn record_express(&self, team: &TeamName, result: &str) {
        self.express.with_label_values(&[team.as_str(), result]).inc();
    }

    pub(crate) fn set_express_reserved_slots(&self, slots: usize) {
        self.express_reserved_slots.set(i64::try_from(slots).unwrap_or(i64::MAX));
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

    pub(crate) fn record_limit_change(&self, team: &TeamName, change: &LimitChange) {
        let direction = if change.to < change.from { "lowered" } else { "raised" };
        self.limit_changes.with_label_values(&[team.as_str(), direction]).inc();
    }

    pub(crate) fn set_learned_limit(&self, limit: Option<usize>) {
        self.learned_limit.set(limit.map_or(0, |it| i64::try_from(it).unwrap_or(i64::MAX)));
    }

    /// Records an answer by which the speed of the upstream was measured.
    pub(crate) fn record_measured_answer(&self) {
        self.measured_answers.inc();
    }

    /// Records a grant of keys by call; `result` is `accepted`, `outdated` or `unknown`.
    pub(crate) fn record_grant(&self, team: &TeamName, result: &str) {
        self.grants.with_label_values(&[team.as_str(), result]).inc();
    }

    /// Sets the weights of the members; none unless this agent is the coordinator.
    pub(crate) fn set_capacities(&self, capacities: &[MemberCapacity]) {
        self.member_weight.reset();
        for it in capacities {
            self.member_weight.with_label_values(&[it.member.name.as_str()]).set(it.weight);
        }
    }

    /// Sets the use of the budget for bodies.
    pub(crate) fn set_bodies(&self, usage: &BudgetUsage) {
        let bytes = |it| i64::try_from(it).unwrap_or(i64::MAX);
        let set = |label, value| self.body_bytes.with_label_values(&[label]).set(bytes(value));
        set("held", usage.bytes_held);
        set("held_max", usage.bytes_held_max);
        set("bound", usage.bytes_max);
        for (kind, count) in
            [("request", usage.refused_requests), ("answer", usage.delayed_answers)]
        {
            let counter = self.body_refusals.with_label_values(&[kind]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    /// Sets the use of the budget for accepted connections.
    pub(crate) fn set_connections(&self, usage: &ConnectionUsage) {
        for (value, count) in [("open", usage.connections), ("bytes", usage.bytes)] {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.connections.with_label_values(&[value]).set(count);
        }
        for (kind, count) in [("evicted", usage.evicted), ("refused", usage.refused)] {
            let counter = self.connection_closures.with_label_values(&[kind]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    fn text(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}
