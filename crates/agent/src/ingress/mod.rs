//! Receives callers' requests: HTTP on the caller address, in the format that a [`CallerProtocol`] reads.

mod read_ahead;
mod announce;
mod answer;
mod body;
mod destination;
mod protocol;
mod default_protocol;
mod refusal;
mod server;
mod stalls;
mod caller_timeouts;

#[cfg(test)]
mod tests;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use body_budget::BodyBudget;
use http::{
    HeaderMap, HeaderName, Uri,
    header::{
        CONNECTION, CONTENT_LENGTH, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
    request::Parts,
};
use model::{
    ClassName, Fingerprint, NotRunReason, Outcome, RequestId, ServiceName, TeamName, Timestamp,
    UnknownReason, key_hash,
};
use settings::{HostRoute, TrafficLimits};
use tokio::time::{sleep_until, timeout};
use volo_http::{body::Body, request::Request, response::Response};

use crate::{
    clock::Clock,
    forward::{FinalReply, Forwarder},
    gate::SharedUnservedRequests,
    metrics::Metrics,
    report::{Report, Reporter},
    request::{GateReply, GateRequest},
    request_log::RequestLog,
    snapshot::{ServiceRoutes, SnapshotCell},
};

use body::BodyReader;
use caller_timeouts::CallerTimeouts;
use destination::Destinations;
use server::LongestWait;
use stalls::StallDetector;

pub use announce::{AnnounceProtocol, UpstreamMessage};
pub use protocol::{CallHead, CallId, CallerProtocol, answer_response, status_of};
pub use refusal::Refusal;

pub(crate) use announce::{
    Announcements, DefaultAnnounceProtocol, KeyGranter, serve_announcements,
};
pub(crate) use body::retry_after as body_retry_after;
pub(crate) use default_protocol::DefaultCallerProtocol;
pub(crate) use server::serve;
pub(crate) use stalls::is_readable;

/// Longest wait of a request for the routes of a service that this agent has not seen before.
const ROUTES_WAIT_MAX: Duration = Duration::from_secs(1);
/// Retry-after time while the instance stops: about as long as the rest of the stop and a restart take.
const RETRY_AFTER_STOP: Duration = Duration::from_millis(1_500);
/// Retry-after time for refusals that specify none.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(200);

/// Longest time of a request at ingress that is not added to its age. Records allow for more than this.
const UNCOUNTED_WAIT_MAX: Duration = Duration::from_millis(20);

/// Parts from which ingress is built.
pub(crate) struct IngressParts {
    pub(crate) clock: Clock,
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) forwarder: Forwarder,
    pub(crate) reporter: Reporter,
    /// `None` if the upstream announces itself at a separate address.
    pub(crate) announcements: Option<Announcements>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Arc<RequestLog>,
    pub(crate) protocol: Arc<dyn CallerProtocol>,
    /// Record of the express requests that ended unserved.
    pub(crate) unserved: Arc<SharedUnservedRequests>,
    /// Room for the bodies of requests.
    pub(crate) bodies: BodyBudget,
}

/// The callers' side of the agent.
pub(crate) struct Ingress {
    parts: IngressParts,
    destinations: Destinations,
    caller_timeouts: CallerTimeouts,
    stalls: Arc<StallDetector>,
    in_flight: AtomicUsize,
    /// Arrival time of the last request on the process's clock, in nanoseconds.
    last_request_ns: AtomicU64,
    /// Set while the instance is leaving and callers are asked to connect elsewhere.
    is_leaving: AtomicBool,
    /// Set shortly before the process ends, when new requests are refused.
    is_closed: AtomicBool,
}

impl Ingress {
    pub(crate) fn new(parts: IngressParts) -> Ingress {
        let stalls = Arc::new(StallDetector::new(parts.clock));
        Ingress {
            parts,
            stalls,
            destinations: Destinations::default(),
            caller_timeouts: CallerTimeouts::default(),
            in_flight: AtomicUsize::new(0),
            last_request_ns: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
        }
    }

    /// Returns the stalls of the process, by which the age of requests is determined.
    fn stalls(&self) -> &Arc<StallDetector> {
        &self.stalls
    }

    /// Returns the number of requests whose responses have not been passed to the connection in full.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no request has arrived for `quiet`, but at most for `max`.
    pub(crate) async fn wait_quiet(&self, quiet: Duration, max: Duration) {
        let clock = self.parts.clock;
        let started = clock.now();
        loop {
            let last = Timestamp { ns: self.last_request_ns.load(Ordering::Relaxed) };
            let until = (last.max(started) + quiet).min(started + max);
            if clock.now() >= until {
                return;
            }
            sleep_until(clock.instant(until)).await;
        }
    }

    /// Continues to serve, but asks callers to connect elsewhere.
    pub(crate) fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Refuses all further requests as not run.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }

    /// Serves one request. Dropping the future cancels it.
    pub(crate) async fn serve(self: &Arc<Ingress>, request: Request) -> Response {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.last_request_ns.store(self.parts.clock.now().ns, Ordering::Relaxed);
        let guard = InFlightGuard(Arc::clone(self));
        let response = self.respond(request).await;
        answer::guard_until_sent(response, guard)
    }

    /// Returns whether callers are asked to connect elsewhere.
    fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// Returns whether a pipelined request may be started before the earlier ones are answered. It has to be
    /// idempotent, since its caller sends it again if the answer does not arrive.
    fn may_start_early(&self, parts: &Parts) -> bool {
        if self.is_leaving() {
            return false;
        }
        let Ok(head) = self.parts.protocol.read(parts) else { return false };
        self.destinations.is_idempotent(&head, parts, &self.parts.snapshots.load())
    }

    async fn respond(&self, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        if let Some(announcements) =
            self.parts.announcements.as_ref().filter(|it| it.is_announcement(&parts))
        {
            return announcements.handle(&parts, body).await;
        }
        let head = match self.parts.protocol.read(&parts) {
            Ok(head) => head,
            Err(refusal) => return self.refuse(&refusal, None),
        };
        let id = head.id.unwrap_or_else(|| RequestId(rand::random()));
        let id = CallId { id, text: head.id_text.clone() };
        if self.is_closed.load(Ordering::SeqCst) {
            let reply = GateReply::not_run(NotRunReason::Draining);
            let final_reply = FinalReply { reply, retry_after: Some(RETRY_AFTER_STOP) };
            let is_resend = parts.headers.contains_key(default_protocol::FIRST_SENT_HEADER);
            return self
                .parts
                .protocol
                .answer(if is_resend { as_resend_reply(final_reply) } else { final_reply }, &id);
        }
        let started = self.parts.clock.now();
        match self.forward(&parts, head, id.id, body).await {
            Ok(ForwardedRequest { team, class, final_reply }) => {
                let spent = self.parts.clock.now().since(started);
                self.parts.metrics.record_request(
                    &team,
                    &class,
                    final_reply.reply.outcome(),
                    spent,
                );
                self.parts.protocol.answer(final_reply, &id)
            }
            Err(refusal) => self.refuse(&refusal, Some(id.id)),
        }
    }

    fn refuse(&self, refusal: &Refusal, id: Option<RequestId>) -> Response {
        self.parts.log.log_refusal(id, refusal);
        self.parts.protocol.refuse(refusal)
    }

    async fn forward(
        &self,
        parts: &Parts,
        head: CallHead,
        id: RequestId,
        body: Body,
    ) -> Result<ForwardedRequest, Refusal> {
        let arrived_at = self.parts.clock.now();
        let destination =
            self.destinations.find(&head, &parts.uri, &self.parts.snapshots.load())?;
        let wait_max = head.deadline.map_or(ROUTES_WAIT_MAX, |it| it.min(ROUTES_WAIT_MAX));
        let Some(routes) = self.routes(&destination.service, wait_max).await else {
            return Err(Refusal::RoutesUnknown);
        };
        let limits = &routes.document.limits;
        check_header_size(&parts.headers, &parts.uri, limits.header_bytes_max)?;
        let timeout_left = head.deadline;
        let mut request = gate_request(&routes, &destination, parts, head, id)?;
        let reading = BodyReader {
            headers: &parts.headers,
            bytes_max: limits.body_bytes_max,
            time_max: request.remaining,
            budget: &self.parts.bodies,
        };
        request.body = match reading.read(body).await {
            Ok(body) => body,
            Err(failure) => {
                let final_reply = failure.into_reply()?;
                let is_first = request.age.is_zero();
                let final_reply = if is_first { final_reply } else { as_resend_reply(final_reply) };
                let (team, class) = (routes.document.team.clone(), request.class);
                return Ok(ForwardedRequest { team, class, final_reply });
            }
        };
        request.fingerprint = request_fingerprint(&request);
        if let (Some(route), Some(left)) = (&destination.route, timeout_left) {
            let waited_before = self.caller_timeouts.time_waited_before(route, left);
            request.is_retry_after_refusal = waited_before.is_some();
            let waited_before = waited_before.unwrap_or_default();
            request.objective = request.objective.map(|it| it.saturating_sub(waited_before));
        }
        let spent = self.parts.clock.now().since(arrived_at);
        if !request.idempotent && routes.document.resends {
            self.stalls.enable();
            request.time_at_ingress = time_before_first_attempt(parts, spent);
        }
        request.remaining = request.remaining.saturating_sub(spent);
        request.objective = request.objective.map(|it| it.saturating_sub(spent));
        let team = routes.document.team.clone();
        let (class, age) = (request.class.clone(), request.age);
        drop(routes);
        let express = request.is_express.then(|| self.parts.unserved.track());
        let mut final_reply = self.parts.forwarder.send(request, &team).await;
        if let Some(express) = express {
            express.end(&final_reply.reply);
        }
        match final_reply.reply.outcome() {
            // A retry would be refused as well.
            Outcome::NotRun(NotRunReason::Quarantined) => {}
            Outcome::NotRun(_) => drop(final_reply.retry_after.get_or_insert(RETRY_AFTER_DEFAULT)),
            Outcome::Answered | Outcome::Unknown(_) => {}
        }
        let final_reply = if age.is_zero() { final_reply } else { as_resend_reply(final_reply) };
        Ok(ForwardedRequest { team, class, final_reply })
    }

    /// Returns the service's routes. Asks control to look up a service that has no known instance, and waits
    /// for the result up to `wait_max`; the routes returned then may still have no instance.
    async fn routes(
        &self,
        service: &ServiceName,
        wait_max: Duration,
    ) -> Option<Arc<ServiceRoutes>> {
        let current = || self.parts.snapshots.load().services.get(service).cloned();
        let has_instances = |it: &Arc<ServiceRoutes>| it.routes.instances().next().is_some();
        if let Some(routes) = current().filter(has_instances) {
            return Some(routes);
        }
        let mut changes = self.parts.snapshots.changes();
        self.parts.reporter.try_report(Report::UnknownService { service: service.clone() });
        let waiting = async {
            while current().filter(has_instances).is_none() && changes.changed().await.is_ok() {}
        };
        // After a timeout, the routes known so far are used.
        _ = timeout(wait_max, waiting).await;
        current()
    }
}

/// Returns how long before its first attempt the request may have arrived, if it is longer than records allow for.
/// Meanwhile the caller may have given it up and sent it again to another agent. `spent` is the time since it was read.
fn time_before_first_attempt(parts: &Parts, spent: Duration) -> Duration {
    let unread = parts.extensions.get::<LongestWait>().map_or(Duration::ZERO, |it| it.0);
    Some(unread + spent).filter(|it| *it > UNCOUNTED_WAIT_MAX).unwrap_or_default()
}

/// Replaces a not-run outcome by an unknown one, for a request that its caller sent before without learning
/// the outcome: this sending was refused, but the earlier one may have run.
fn as_resend_reply(final_reply: FinalReply) -> FinalReply {
    let Outcome::NotRun(_) = final_reply.reply.outcome() else { return final_reply };
    FinalReply { reply: GateReply::unknown(UnknownReason::NoRecord), ..final_reply }
}

/// The reply to a forwarded request, with the labels of its metrics.
struct ForwardedRequest {
    team: TeamName,
    class: ClassName,
    final_reply: FinalReply,
}

/// Counts a request as in flight until it is dropped, when the response has been sent or the caller has left.
pub(crate) struct InFlightGuard(Arc<Ingress>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Returns the kind of a host route's requests. There are more routes than kinds, so some routes share one.
fn kind_of(route: &HostRoute) -> u8 {
    key_hash(route.name.as_bytes()).0 as u8
}

/// Returns whether the requests of a route with this objective are express.
fn is_express(limits: &TrafficLimits, objective: Duration) -> bool {
    !limits.express_objective_max.is_zero() && objective <= limits.express_objective_max
}

/// Builds the request for the gate, without its body.
fn gate_request(
    routes: &ServiceRoutes,
    destination: &destination::Destination,
    parts: &Parts,
    head: CallHead,
    id: RequestId,
) -> Result<GateRequest, Refusal> {
    let method = parts.method.as_str();
    let path = destination.document_path(&parts.uri);
    let (found, key_hash) = destination::route_and_key(routes, method, path, &head)?;
    let path = parts.uri.path_and_query().ok_or(Refusal::NoService)?;
    let host_route = destination.route.as_deref();
    let (class, idempotent, timeout, attempts) = match host_route {
        Some(it) => (&it.class, it.idempotent, it.timeout, it.attempts_max),
        None => (&found.route.class, found.route.idempotent, found.route.deadline, u8::MAX),
    };
    let objective = host_route.map_or(found.route.deadline, |it| it.objective);
    Ok(GateRequest {
        service: destination.service.clone(),
        key_hash,
        id,
        fingerprint: head.fingerprint,
        class: class.clone(),
        idempotent,
        remaining: head.deadline.map_or(timeout, |requested| requested.min(timeout)),
        age: head.age,
        time_at_ingress: Duration::ZERO,
        upstream_attempts_max: attempts,
        kind: host_route.map(kind_of),
        is_retry_after_refusal: false,
        is_express: is_express(&routes.document.limits, objective),
        wants_return: false,
        objective: host_route.map(|it| it.objective),
        config_version: routes.version,
        known_condition: None,
        method: parts.method.clone(),
        path: path.clone(),
        headers: Arc::new(head.headers),
        body: bytes::Bytes::new(),
    })
}

/// Computes the fingerprint of a request from that of its headers, its method, its path and its complete body.
fn request_fingerprint(request: &GateRequest) -> Fingerprint {
    Fingerprint::of([
        &request.fingerprint.0.to_le_bytes()[..],
        request.method.as_str().as_bytes(),
        request.path.as_str().as_bytes(),
        &request.body,
    ])
}

fn check_header_size(headers: &HeaderMap, uri: &Uri, bytes_max: usize) -> Result<(), Refusal> {
    let all = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    let uri = uri.path_and_query().map_or(0, |it| it.as_str().len());
    match all.sum::<usize>() + uri {
        sum if sum > bytes_max => Err(Refusal::HeadersTooLarge { bytes_max }),
        _ => Ok(()),
    }
}

/// Removes the headers that apply to a single connection only.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| HeaderName::from_bytes(it.trim().as_bytes()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        CONTENT_LENGTH,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
