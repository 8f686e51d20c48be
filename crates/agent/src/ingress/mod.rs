//! Where callers come in: HTTP on the caller address, one path segment for the service.
//!
//! A caller sends an id again only after the former sending has ended: by its answer, by closing
//! the connection, or by its deadline. `x-first-sent-ms` is then the time since the first sending
//! that did not end as not run; if all did, the header is left out.

mod announce;
mod answer;
mod parse;
mod server;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{HeaderMap, Method, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use model::{ClassName, NotRunReason, Outcome, TeamName, Timestamp, UnknownReason};
use tokio::time::{sleep_until, timeout};
use volo_http::{body::Body, request::Request, response::Response};

use crate::{
    clock::Clock,
    forward::{Ending, Forwarder},
    gate::UpstreamClock,
    metrics::Metrics,
    report::{Report, Reporter},
    request::GateReply,
    snapshot::{ServiceRoutes, SnapshotCell},
};

use parse::{Address, Refusal};

pub(crate) use server::serve;

/// How long a first request waits for the routes of a service that this agent has not met.
const ROUTES_WAIT: Duration = Duration::from_secs(1);
/// When callers may come back after a refusal that names no time.
const COME_BACK: Duration = Duration::from_millis(200);

/// What ingress is made from.
pub(crate) struct IngressParts {
    pub(crate) clock: Clock,
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) forwarder: Forwarder,
    pub(crate) reporter: Reporter,
    pub(crate) upstream_clock: Arc<UpstreamClock>,
    pub(crate) metrics: Arc<Metrics>,
}

/// The callers' side of the agent.
pub(crate) struct Ingress {
    parts: IngressParts,
    in_flight: AtomicUsize,
    /// The instance is leaving: callers are asked to connect elsewhere.
    /// When the last request came; on the process's clock.
    last_request_ns: AtomicU64,
    leaving: AtomicBool,
    /// The process is about to end: nothing more is taken.
    closed: AtomicBool,
}

impl Ingress {
    pub(crate) fn new(parts: IngressParts) -> Ingress {
        Ingress {
            parts,
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
        let response = match self.leaving.load(Ordering::SeqCst) {
            true => answer::closing(response),
            false => response,
        };
        answer::counted(response, counted)
    }

    async fn answer(&self, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        if parts.uri.path().starts_with(announce::PREFIX) {
            return announce::take(&self.parts, &parts, body).await;
        }
        if self.closed.load(Ordering::SeqCst) {
            let ending = Ending::given_up(GateReply::not_run(NotRunReason::Draining));
            let resent = parts.headers.contains_key(parse::FIRST_SENT_HEADER);
            return answer::of(if resent { of_resend(ending) } else { ending }, None);
        }
        let started = self.parts.clock.now();
        match self.forward(&parts.method, &parts.uri, parts.headers, body).await {
            Ok(Done { team, class, ending, id }) => {
                let spent = self.parts.clock.now().since(started);
                self.parts.metrics.request(&team, &class, ending.reply.outcome(), spent);
                answer::of(ending, Some(id))
            }
            Err(refusal) => answer::refused(&refusal),
        }
    }

    async fn forward(
        &self,
        method: &Method,
        uri: &Uri,
        headers: HeaderMap,
        body: Body,
    ) -> Result<Done, Refusal> {
        let address = Address::parse(uri)?;
        let arrived = self.parts.clock.now();
        let patience = parse::deadline(&headers)?.map_or(ROUTES_WAIT, |it| it.min(ROUTES_WAIT));
        let Some(routes) = self.routes(&address, patience).await else {
            return Err(Refusal::NoRoutesYet);
        };
        parse::check_size(&headers, uri, routes.document.limits.header_bytes_max)?;
        let mut request = parse::request(&routes, method, &address, headers)?;
        request.body = read(body, routes.document.limits.body_bytes_max).await?;
        let spent = self.parts.clock.now().since(arrived);
        request.remaining = request.remaining.saturating_sub(spent);
        let team = routes.document.team.clone();
        let (class, id, age) = (request.class.clone(), request.id, request.age);
        drop(routes);
        let mut ending = self.parts.forwarder.send(request, &team).await;
        if let (Outcome::NotRun(_), None) = (ending.reply.outcome(), ending.retry_after) {
            ending.retry_after = Some(COME_BACK);
        }
        let ending = if age.is_zero() { ending } else { of_resend(ending) };
        Ok(Done { team, class, ending, id })
    }

    /// The service's routes. For one that this agent has not met, control is asked; if it learns
    /// of nobody in time, the routes lead nowhere.
    async fn routes(&self, address: &Address, patience: Duration) -> Option<Arc<ServiceRoutes>> {
        let known = || self.parts.snapshots.load().services.get(&address.service).cloned();
        let lead_somewhere = |it: &Arc<ServiceRoutes>| it.routes.instances().next().is_some();
        if let Some(routes) = known().filter(lead_somewhere) {
            return Some(routes);
        }
        let mut changes = self.parts.snapshots.changes();
        self.parts.reporter.hint(Report::UnknownService { service: address.service.clone() });
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
fn of_resend(ending: Ending) -> Ending {
    let Outcome::NotRun(_) = ending.reply.outcome() else { return ending };
    Ending { reply: GateReply::unknown(UnknownReason::NoRecord), ..ending }
}

/// A request that was sent on, with its labels.
struct Done {
    team: TeamName,
    class: ClassName,
    ending: Ending,
    id: model::RequestId,
}

/// Counts a request down when its answer has left, or its caller.
pub(crate) struct Counted(Arc<Ingress>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
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
