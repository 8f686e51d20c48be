//! Log lines about requests: the decisions, and the data they are based on.
//!
//! All lines about a request contain its id, on every instance, so that the logs of several instances can be
//! merged. Failures and late answers are logged at `info`, other outcomes at `debug`. The lines of ingress and
//! those of the gate have separate rate limits.

use std::{fmt, time::Duration};

use log::Level;
use logging::LineRateLimiter;
use model::{ConfigVersion, Instance, RequestId, RequestRate, Timestamp};
use traffic::TargetComparison;

use crate::{
    clock::Clock,
    forward::FinalReply,
    ingress::Refusal,
    request::{GateReply, GateRequest},
};

/// Log target of these lines, for filters.
const TARGET: &str = "requests";
/// Long-term rate limit, separate for ingress and gate. At 400 bytes a line this is 8 KB/s, less than half of
/// the volume that control may send and write on an instance.
const LINES_PER_S: f64 = 20.0;
/// Lines that may be logged at once, since the first lines of a burst show its cause.
const BURST_LINES: f64 = 100.0;

/// Logs the requests of one agent.
#[derive(Debug)]
pub(crate) struct RequestLog {
    clock: Clock,
    ingress: LineRateLimiter,
    gate: LineRateLimiter,
}

/// A request at ingress whose end is logged. If it is dropped before it has ended, its caller has left.
#[derive(Debug)]
pub(crate) struct LoggedRequest<'a> {
    log: &'a RequestLog,
    pub(crate) request: GateRequest,
    pub(crate) placement: Placement,
    started: Timestamp,
    /// Time until which an answer is of full use to the caller. `None` if that is the deadline.
    pub(crate) useful_until: Option<Timestamp>,
    has_ended: bool,
}

/// The gates that a request was sent to, and the data by which they were selected.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    /// Number of attempts, each at one gate.
    pub(crate) attempts: u64,
    /// The instance of the last attempt.
    pub(crate) sent_to: Option<Instance>,
    /// The comparison that selected that instance. `None` if there was no choice or gates do not report loads.
    pub(crate) comparison: Option<TargetComparison>,
    /// Version of the service's document used for the last attempt.
    pub(crate) config_version: Option<ConfigVersion>,
    /// Version of the routes used for the last attempt; zero if any member may run the request.
    pub(crate) route_version: u64,
}

/// The state of a gate when it replied.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GateState {
    pub(crate) config_version: Option<ConfigVersion>,
    pub(crate) running: usize,
    pub(crate) queued: usize,
    /// The slots that are reserved for express requests.
    pub(crate) reserved_slots: usize,
    /// The number of promised returns whose time has not passed.
    pub(crate) promised_returns: usize,
    /// The limit that the upstream has stated for its requests.
    pub(crate) limit: Option<RequestRate>,
    /// The highest probability with which the gate refuses runs of a kind because of their calls.
    pub(crate) run_refusal_probability: f64,
    /// The learned limit on the requests at the upstream.
    pub(crate) learned_limit: Option<usize>,
}

impl RequestLog {
    pub(crate) fn new(clock: Clock) -> RequestLog {
        let rate = || LineRateLimiter::new(LINES_PER_S, BURST_LINES);
        RequestLog { clock, ingress: rate(), gate: rate() }
    }

    /// Logs a request that ingress refused because of its head or body. `id` is `None` if the head could not be
    /// read; the line then has the id zero.
    pub(crate) fn log_refusal(&self, id: Option<RequestId>, refusal: &Refusal) {
        let Some(left_out) = self.ingress.admit(self.clock.now()) else { return };
        log::info!(
            target: TARGET,
            id:% = Id(id.unwrap_or(RequestId(0))),
            reason:% = refusal,
            left_out;
            "Refused."
        );
    }

    /// Starts to track a request that ingress forwards.
    pub(crate) fn start(&self, request: GateRequest) -> LoggedRequest<'_> {
        let started = self.clock.now();
        let useful_until = request.objective.map(|it| started + it);
        let placement = Placement::default();
        LoggedRequest { log: self, request, placement, started, useful_until, has_ended: false }
    }

    /// Logs the final reply to a request at ingress.
    fn log_end(&self, logged: &LoggedRequest<'_>, final_reply: &FinalReply) {
        let LoggedRequest { request, placement, .. } = logged;
        let now = self.clock.now();
        let is_late = logged.useful_until.is_some_and(|it| it < now);
        let level = match is_failure(&final_reply.reply) || is_late {
            true => Level::Info,
            false => Level::Debug,
        };
        if !log::log_enabled!(target: TARGET, level) {
            return;
        }
        let Some(left_out) = self.ingress.admit(now) else { return };
        log::log!(
            target: TARGET,
            level,
            id:% = Id(request.id),
            service:% = request.service,
            class:% = request.class,
            key:% = Key(request),
            content:% = request.fingerprint,
            idempotent = request.idempotent,
            outcome:% = final_reply.reply.outcome(),
            status:% = Status(&final_reply.reply),
            sent_to:% = InstanceOrNobody(placement.sent_to.as_ref()),
            tries = placement.attempts,
            weighed = placement.comparison.as_ref().map_or(0, |it| it.targets),
            expected_ms = whole_ms(placement.comparison.as_ref().map_or(Duration::ZERO, |it| it.expected_latency)),
            load_age_ms:% = LoadAgeMs(placement.comparison.as_ref()),
            next_best:% = NextBest(placement.comparison.as_ref()),
            spent_ms = whole_ms(now.since(logged.started)),
            is_late,
            come_back_ms = whole_ms(final_reply.retry_after.unwrap_or_default()),
            config = placement.config_version.unwrap_or_default().0,
            routes = placement.route_version,
            left_out;
            "Ended."
        );
    }

    /// Logs a request whose caller left before the end.
    fn log_abandoned(&self, logged: &LoggedRequest<'_>) {
        let LoggedRequest { request, placement, .. } = logged;
        let now = self.clock.now();
        let Some(left_out) = self.ingress.admit(now) else { return };
        log::info!(
            target: TARGET,
            id:% = Id(request.id),
            service:% = request.service,
            class:% = request.class,
            key:% = Key(request),
            content:% = request.fingerprint,
            sent_to:% = InstanceOrNobody(placement.sent_to.as_ref()),
            tries = placement.attempts,
            spent_ms = whole_ms(now.since(logged.started)),
            config = placement.config_version.unwrap_or_default().0,
            routes = placement.route_version,
            left_out;
            "The caller left."
        );
    }

    /// Logs the reply of the local gate to a request.
    pub(crate) fn log_gate_reply(
        &self,
        request: &GateRequest,
        arrived_at: Timestamp,
        reply: &GateReply,
        state: GateState,
    ) {
        let level = match reply {
            GateReply::Failed { .. } => Level::Info,
            GateReply::Answered(_) | GateReply::NotOwner { .. } => Level::Debug,
        };
        if !log::log_enabled!(target: TARGET, level) {
            return;
        }
        let now = self.clock.now();
        let Some(left_out) = self.gate.admit(now) else { return };
        log::log!(
            target: TARGET,
            level,
            id:% = Id(request.id),
            service:% = request.service,
            class:% = request.class,
            key:% = Key(request),
            content:% = request.fingerprint,
            outcome:% = reply.outcome(),
            spent_ms = whole_ms(now.since(arrived_at)),
            left_ms = whole_ms(request.remaining.saturating_sub(now.since(arrived_at))),
            running = state.running,
            queued = state.queued,
            express = request.is_express,
            reserved_slots = state.reserved_slots,
            promised_returns = state.promised_returns,
            limit_per_s = state.limit.map_or(0.0, RequestRate::per_s),
            run_refusal_probability = state.run_refusal_probability,
            learned_limit = state.learned_limit.unwrap_or(0),
            config = state.config_version.unwrap_or_default().0,
            sender_config = request.config_version.0,
            left_out;
            "The gate replied."
        );
    }
}

impl LoggedRequest<'_> {
    /// Ends the request with its final reply.
    pub(crate) fn end(mut self, final_reply: &FinalReply) {
        self.has_ended = true;
        self.log.log_end(&self, final_reply);
    }
}

impl Drop for LoggedRequest<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.log.log_abandoned(self);
        }
    }
}

fn is_failure(reply: &GateReply) -> bool {
    match reply {
        GateReply::Answered(answer) => answer.status.is_server_error(),
        GateReply::Failed { .. } | GateReply::NotOwner { .. } => true,
    }
}

/// Formats an id as callers write it, in hexadecimal digits.
struct Id(RequestId);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0.0)
    }
}

/// Formats the key's hash in hexadecimal digits.
struct Key<'a>(&'a GateRequest);

impl fmt::Display for Key<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.key_hash {
            Some(key_hash) => write!(f, "{:016x}", key_hash.0),
            None => f.write_str("none"),
        }
    }
}

/// Formats an optional instance.
struct InstanceOrNobody<'a>(Option<&'a Instance>);

impl fmt::Display for InstanceOrNobody<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(instance) => instance.fmt(f),
            None => f.write_str("nobody"),
        }
    }
}

/// Formats the age of the selected gate's load report, in milliseconds.
struct LoadAgeMs<'a>(Option<&'a TargetComparison>);

impl fmt::Display for LoadAgeMs<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.and_then(|it| it.load_age) {
            Some(age) => write!(f, "{}", whole_ms(age)),
            None => f.write_str("none"),
        }
    }
}

/// Formats the second best target and its expected latency.
struct NextBest<'a>(Option<&'a TargetComparison>);

impl fmt::Display for NextBest<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.and_then(|it| it.next_best.as_ref()) {
            Some((instance, expected)) => write!(f, "{instance} in {} ms", whole_ms(*expected)),
            None => f.write_str("nobody"),
        }
    }
}

/// Formats the HTTP status of an answer.
struct Status<'a>(&'a GateReply);

impl fmt::Display for Status<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            GateReply::Answered(answer) => write!(f, "{}", answer.status.as_u16()),
            GateReply::Failed { .. } | GateReply::NotOwner { .. } => f.write_str("none"),
        }
    }
}

/// Converts to whole milliseconds.
fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
