//! Where callers come in: HTTP on the caller address, in the form that [`CallerProtocol`] reads.

mod read_ahead;
mod announce;
mod answer;
mod destination;
mod protocol;
mod default_protocol;
mod refusal;
mod server;
mod waits;

#[cfg(test)]
mod tests;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{
    HeaderMap, HeaderName, Uri,
    header::{
        CONNECTION, CONTENT_LENGTH, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
    request::Parts,
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use model::{
    ClassName, Fingerprint, NotRunReason, Outcome, RequestId, ServiceName, TeamName, Timestamp,
    UnknownReason, key_hash,
};
use settings::HostRoute;
use tokio::time::{sleep_until, timeout};
use volo_http::{body::Body, request::Request, response::Response};

use crate::{
    clock::Clock,
    forward::{FinalReply, Forwarder},
    metrics::Metrics,
    report::{Report, Reporter},
    request::{GateReply, GateRequest},
    request_log::RequestLog,
    snapshot::{ServiceRoutes, SnapshotCell},
};

use destination::Destinations;
use waits::Waits;

pub use announce::{AnnounceProtocol, UpstreamMessage};
pub use protocol::{CallHead, CallId, CallerProtocol, answer_response, status_of};
pub use refusal::Refusal;

pub(crate) use announce::{
    Announcements, DefaultAnnounceProtocol, KeyGranter, serve_announcements,
};
pub(crate) use default_protocol::DefaultCallerProtocol;
pub(crate) use server::serve;

/// How long a first request waits for the routes of a service that this agent has not met.
const ROUTES_WAIT: Duration = Duration::from_secs(1);
/// When callers may come back to an instance that is stopping: a stop that is near its end and the
/// start that may follow it take about this long.
const COME_BACK_AFTER_STOP: Duration = Duration::from_millis(1_500);
/// When callers may come back after a refusal that names no time.
const COME_BACK: Duration = Duration::from_millis(200);

/// What ingress is made from.
pub(crate) struct IngressParts {
    pub(crate) clock: Clock,
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) forwarder: Forwarder,
    pub(crate) reporter: Reporter,
    /// None where the upstream announces itself at an address of its own.
    pub(crate) announcements: Option<Announcements>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Arc<RequestLog>,
    pub(crate) protocol: Arc<dyn CallerProtocol>,
}

/// The callers' side of the agent.
pub(crate) struct Ingress {
    parts: IngressParts,
    destinations: Destinations,
    waits: Waits,
    in_flight: AtomicUsize,
    /// When the last request came; on the process's clock.
    last_request_ns: AtomicU64,
    /// The instance is leaving: callers are asked to connect elsewhere.
    leaving: AtomicBool,
    /// The process is about to end: nothing more is taken.
    closed: AtomicBool,
}

impl Ingress {
    pub(crate) fn new(parts: IngressParts) -> Ingress {
        Ingress {
            parts,
            destinations: Destinations::default(),
            waits: Waits::default(),
            in_flight: AtomicUsize::new(0),
            last_request_ns: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        }
    }

    /// Requests whose answer has not been handed to the connection.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no request has come for `quiet`, but no longer than `max`.
    pub(crate) async fn wait_quiet(&self, quiet: Duration, max: Duration) {
        let clock = self.parts.clock;
        let began = clock.now();
        loop {
            let last = Timestamp { ns: self.last_request_ns.load(Ordering::Relaxed) };
            let until = (last.max(began) + quiet).min(began + max);
            if clock.now() >= until {
                return;
            }
            sleep_until(clock.instant(until)).await;
        }
    }

    /// Serves on, and asks callers to connect elsewhere.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Refuses everything from now on, as not run.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Serves one request. Dropping the future cancels it.
    pub(crate) async fn call(self: &Arc<Ingress>, request: Request) -> Response {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.last_request_ns.store(self.parts.clock.now().ns, Ordering::Relaxed);
        let counted = Counted(Arc::clone(self));
        let response = self.answer(request).await;
        answer::counted(response, counted)
    }

    /// Whether callers are asked to connect elsewhere.
    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Whether a request may be started before it is its turn: it may be repeated, in case that its answer
    /// does not reach the caller.
    fn may_start_ahead(&self, parts: &Parts) -> bool {
        if self.is_leaving() {
            return false;
        }
        let Ok(head) = self.parts.protocol.read(parts) else { return false };
        self.destinations.is_idempotent(&head, parts, &self.parts.snapshots.load())
    }

    async fn answer(&self, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        if let Some(announcements) =
            self.parts.announcements.as_ref().filter(|it| it.is_announcement(&parts))
        {
            return announcements.take(&parts, body).await;
        }
        let head = match self.parts.protocol.read(&parts) {
            Ok(head) => head,
            Err(refusal) => return self.refuse(&refusal, None),
        };
        let id = head.id.unwrap_or_else(|| RequestId(rand::random()));
        let id = CallId { id, text: head.id_text.clone() };
        if self.closed.load(Ordering::SeqCst) {
            let reply = GateReply::not_run(NotRunReason::Draining);
            let ending = FinalReply { reply, retry_after: Some(COME_BACK_AFTER_STOP) };
            let resent = parts.headers.contains_key(default_protocol::FIRST_SENT_HEADER);
            return self
                .parts
                .protocol
                .answer(if resent { of_resend(ending) } else { ending }, &id);
        }
        let started = self.parts.clock.now();
        match self.forward(&parts, head, id.id, body).await {
            Ok(Done { team, class, ending }) => {
                let spent = self.parts.clock.now().since(started);
                self.parts.metrics.record_request(&team, &class, ending.reply.outcome(), spent);
                self.parts.protocol.answer(ending, &id)
            }
            Err(refusal) => self.refuse(&refusal, Some(id.id)),
        }
    }

    fn refuse(&self, refusal: &Refusal, id: Option<RequestId>) -> Response {
        self.parts.log.refused(id, refusal);
        self.parts.protocol.refuse(refusal)
    }

    async fn forward(
        &self,
        parts: &Parts,
        head: CallHead,
        id: RequestId,
        body: Body,
    ) -> Result<Done, Refusal> {
        let arrived = self.parts.clock.now();
        let destination =
            self.destinations.find(&head, &parts.uri, &self.parts.snapshots.load())?;
        let patience = head.deadline.map_or(ROUTES_WAIT, |it| it.min(ROUTES_WAIT));
        let Some(routes) = self.routes(&destination.service, patience).await else {
            return Err(Refusal::RoutesUnknown);
        };
        let limits = &routes.document.limits;
        check_size(&parts.headers, &parts.uri, limits.header_bytes_max)?;
        let left = head.deadline;
        let mut request = gate_request(&routes, &destination, parts, head, id)?;
        request.body = read(body, limits.body_bytes_max).await?;
        request.fingerprint = request_fingerprint(&request);
        if let (Some(route), Some(left)) = (&destination.route, left) {
            let waited = self.waits.waited(route, left);
            request.is_retry_after_refusal = waited.is_some();
            let waited = waited.unwrap_or_default();
            request.objective = request.objective.map(|it| it.saturating_sub(waited));
        }
        let spent = self.parts.clock.now().since(arrived);
        request.remaining = request.remaining.saturating_sub(spent);
        request.objective = request.objective.map(|it| it.saturating_sub(spent));
        let team = routes.document.team.clone();
        let (class, age) = (request.class.clone(), request.age);
        drop(routes);
        let mut ending = self.parts.forwarder.send(request, &team).await;
        match ending.reply.outcome() {
            // Coming back is of no use.
            Outcome::NotRun(NotRunReason::Quarantined) => {}
            Outcome::NotRun(_) => drop(ending.retry_after.get_or_insert(COME_BACK)),
            Outcome::Answered | Outcome::Unknown(_) => {}
        }
        let ending = if age.is_zero() { ending } else { of_resend(ending) };
        Ok(Done { team, class, ending })
    }

    /// The service's routes. For one that this agent has not met, control is asked; if it learns
    /// of nobody in time, the routes lead nowhere.
    async fn routes(
        &self,
        service: &ServiceName,
        patience: Duration,
    ) -> Option<Arc<ServiceRoutes>> {
        let known = || self.parts.snapshots.load().services.get(service).cloned();
        let lead_somewhere = |it: &Arc<ServiceRoutes>| it.routes.instances().next().is_some();
        if let Some(routes) = known().filter(lead_somewhere) {
            return Some(routes);
        }
        let mut changes = self.parts.snapshots.changes();
        self.parts.reporter.try_report(Report::UnknownService { service: service.clone() });
        let waiting = async {
            while known().filter(lead_somewhere).is_none() && changes.changed().await.is_ok() {}
        };
        // Whatever is known when the time is over has to do.
        _ = timeout(patience, waiting).await;
        known()
    }
}

/// The end of a request that was sent before, with an end that its caller doesn't know: though
/// this sending was refused, the earlier one may have run.
fn of_resend(ending: FinalReply) -> FinalReply {
    let Outcome::NotRun(_) = ending.reply.outcome() else { return ending };
    FinalReply { reply: GateReply::unknown(UnknownReason::NoRecord), ..ending }
}

/// A request that was sent on, with its labels.
struct Done {
    team: TeamName,
    class: ClassName,
    ending: FinalReply,
}

/// Counts a request down when its answer has left, or its caller.
pub(crate) struct Counted(Arc<Ingress>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Requests of one host route are of one kind. There are more routes than kinds, so some share theirs.
fn kind_of(route: &HostRoute) -> u8 {
    key_hash(route.name.as_bytes()).0 as u8
}

/// The request for the gate; its body is still to come.
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
    Ok(GateRequest {
        service: destination.service.clone(),
        key_hash,
        id,
        fingerprint: head.fingerprint,
        class: class.clone(),
        idempotent,
        remaining: head.deadline.map_or(timeout, |named| named.min(timeout)),
        age: head.age,
        time_at_ingress: Duration::ZERO,
        upstream_attempts_max: attempts,
        kind: host_route.map(kind_of),
        is_retry_after_refusal: false,
        objective: host_route.map(|it| it.objective),
        config_version: routes.version,
        method: parts.method.clone(),
        path: path.clone(),
        headers: Arc::new(head.headers),
        body: bytes::Bytes::new(),
    })
}

/// What a request asks for, once its body is there.
fn request_fingerprint(request: &GateRequest) -> Fingerprint {
    Fingerprint::of([
        &request.fingerprint.0.to_le_bytes()[..],
        request.method.as_str().as_bytes(),
        request.path.as_str().as_bytes(),
        &request.body,
    ])
}

fn check_size(headers: &HeaderMap, uri: &Uri, bytes_max: usize) -> Result<(), Refusal> {
    let all = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    let uri = uri.path_and_query().map_or(0, |it| it.as_str().len());
    match all.sum::<usize>() + uri {
        sum if sum > bytes_max => Err(Refusal::HeadersTooLarge { bytes_max }),
        _ => Ok(()),
    }
}

/// Takes out what is about one connection only.
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

async fn read(body: Body, bytes_max: usize) -> Result<bytes::Bytes, Refusal> {
    // What says that it is too large is refused before it is sent.
    if http_body::Body::size_hint(&body).lower() > bytes_max as u64 {
        return Err(Refusal::BodyTooLarge { bytes_max });
    }
    match Limited::new(body, bytes_max).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge { bytes_max }),
        Err(_) => Err(Refusal::BodyBroken),
    }
}
