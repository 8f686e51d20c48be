//! Log lines about requests: what was decided, and what it rested on.
//!
//! All lines about a request carry its id, at whichever instance they are written, so the logs of
//! several instances read as one. Ends that a caller may ask about are written at `info`, the others
//! at `debug`; each kind has its bound.

use std::{fmt, time::Duration};

use log::Level;
use logging::LineRateLimiter;
use model::{ConfigVersion, Instance, RequestId, Timestamp};
use traffic::TargetComparison;

use crate::{
    clock::Clock,
    forward::FinalReply,
    ingress::Refusal,
    request::{GateReply, GateRequest},
};

/// The target of these lines, for filters.
const TARGET: &str = "requests";
/// In the long run, for each kind of line. At 400 bytes a line that is 8 KB/s, less than half of
/// what control may send and write on an instance.
const LINES_PER_S: f64 = 20.0;
/// The first of a burst are the ones that tell its cause.
const LINES_AT_ONCE: f64 = 100.0;

/// Writes the lines of one agent.
#[derive(Debug)]
pub(crate) struct RequestLog {
    clock: Clock,
    ingress: LineRateLimiter,
    gate: LineRateLimiter,
}

/// A request on its way from the ingress to a gate. Dropped before its end, its caller has left.
#[derive(Debug)]
pub(crate) struct LoggedRequest<'a> {
    log: &'a RequestLog,
    pub(crate) request: GateRequest,
    pub(crate) placement: Placement,
    started: Timestamp,
    /// Until when an answer is of full use to the caller; none: up to the deadline.
    pub(crate) useful_until: Option<Timestamp>,
    has_ended: bool,
}

/// How a request has been placed so far.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    /// Gates that were asked.
    pub(crate) attempts: u64,
    /// The last of them.
    pub(crate) sent_to: Option<Instance>,
    /// What that one was weighed by; none: there was no choice, or gates do not tell their loads.
    pub(crate) comparison: Option<TargetComparison>,
    /// Of the service's document that it was placed by.
    pub(crate) config_version: Option<ConfigVersion>,
    /// Of the routes that it was placed by; zero where any member may take it.
    pub(crate) route_version: u64,
}

/// What a gate knew when it replied.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GateState {
    pub(crate) config_version: Option<ConfigVersion>,
    pub(crate) running: usize,
    pub(crate) queued: usize,
}

impl RequestLog {
    pub(crate) fn new(clock: Clock) -> RequestLog {
        let rate = || LineRateLimiter::new(LINES_PER_S, LINES_AT_ONCE);
        RequestLog { clock, ingress: rate(), gate: rate() }
    }

    /// A request that goes nowhere: its head or its body is not as it has to be. One whose head can't be
    /// read has no id; zero stands for it.
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

    /// A request sets out from the ingress.
    pub(crate) fn start(&self, request: GateRequest) -> LoggedRequest<'_> {
        let started = self.clock.now();
        let useful_until = request.objective.map(|it| started + it);
        let placement = Placement::default();
        LoggedRequest { log: self, request, placement, started, useful_until, has_ended: false }
    }

    /// The final answer of a request at the ingress.
    fn ended(&self, logged: &LoggedRequest<'_>, ending: &FinalReply) {
        let LoggedRequest { request, placement, .. } = logged;
        let now = self.clock.now();
        let is_late = logged.useful_until.is_some_and(|it| it < now);
        let level = match failed(&ending.reply) || is_late {
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
            outcome:% = ending.reply.outcome(),
            status:% = Status(&ending.reply),
            sent_to:% = Named(placement.sent_to.as_ref()),
            tries = placement.attempts,
            weighed = placement.comparison.as_ref().map_or(0, |it| it.targets),
            expected_ms = whole_ms(placement.comparison.as_ref().map_or(Duration::ZERO, |it| it.expected_latency)),
            load_age_ms:% = LoadAge(placement.comparison.as_ref()),
            next_best:% = NextBest(placement.comparison.as_ref()),
            spent_ms = whole_ms(now.since(logged.started)),
            is_late,
            come_back_ms = whole_ms(ending.retry_after.unwrap_or_default()),
            config = placement.config_version.unwrap_or_default().0,
            routes = placement.route_version,
            left_out;
            "Ended."
        );
    }

    /// The caller went away before the end.
    fn abandoned(&self, logged: &LoggedRequest<'_>) {
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
            sent_to:% = Named(placement.sent_to.as_ref()),
            tries = placement.attempts,
            spent_ms = whole_ms(now.since(logged.started)),
            config = placement.config_version.unwrap_or_default().0,
            routes = placement.route_version,
            left_out;
            "The caller left."
        );
    }

    /// What the gate beside an upstream replied, unless it only named another owner.
    pub(crate) fn log_gate_reply(
        &self,
        request: &GateRequest,
        came_at: Timestamp,
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
            spent_ms = whole_ms(now.since(came_at)),
            left_ms = whole_ms(request.remaining.saturating_sub(now.since(came_at))),
            running = state.running,
            queued = state.queued,
            config = state.config_version.unwrap_or_default().0,
            sender_config = request.config_version.0,
            left_out;
            "The gate replied."
        );
    }
}

impl LoggedRequest<'_> {
    /// The request has its final answer.
    pub(crate) fn end(mut self, ending: &FinalReply) {
        self.has_ended = true;
        self.log.ended(&self, ending);
    }
}

impl Drop for LoggedRequest<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.log.abandoned(self);
        }
    }
}

fn failed(reply: &GateReply) -> bool {
    match reply {
        GateReply::Answered(answer) => answer.status.is_server_error(),
        GateReply::Failed { .. } | GateReply::NotOwner { .. } => true,
    }
}

/// The id as callers on both sides write it, in hexadecimal digits.
struct Id(RequestId);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0.0)
    }
}

struct Key<'a>(&'a GateRequest);

impl fmt::Display for Key<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.key_hash {
            Some(key_hash) => write!(f, "{:016x}", key_hash.0),
            None => f.write_str("none"),
        }
    }
}

struct Named<'a>(Option<&'a Instance>);

impl fmt::Display for Named<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(instance) => instance.fmt(f),
            None => f.write_str("nobody"),
        }
    }
}

/// How old the word of the chosen gate was, in milliseconds.
struct LoadAge<'a>(Option<&'a TargetComparison>);

impl fmt::Display for LoadAge<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.and_then(|it| it.load_age) {
            Some(age) => write!(f, "{}", whole_ms(age)),
            None => f.write_str("none"),
        }
    }
}

/// The second best target, and what it was expected to take.
struct NextBest<'a>(Option<&'a TargetComparison>);

impl fmt::Display for NextBest<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.and_then(|it| it.next_best.as_ref()) {
            Some((instance, expected)) => write!(f, "{instance} in {} ms", whole_ms(*expected)),
            None => f.write_str("nobody"),
        }
    }
}

struct Status<'a>(&'a GateReply);

impl fmt::Display for Status<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            GateReply::Answered(answer) => write!(f, "{}", answer.status.as_u16()),
            GateReply::Failed { .. } | GateReply::NotOwner { .. } => f.write_str("none"),
        }
    }
}

/// In whole milliseconds.
fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
