//! The gate: the only path to the upstream beside this agent.
//!
//! A request passes these steps in order: the grant of its key, its at-most-once record, the queue
//! for a slot of the upstream, a last check of grant and lease, the upstream.

mod admission_queue;
mod bound;
mod call_failures;
mod condition;
mod crash;
mod express;
mod handle;
mod health;
mod learned_limit;
mod leases;
pub(crate) mod load;
mod membership;
mod probe;
mod records;
mod returns;
mod run;
mod send;
mod table;
mod upstream_clock;
mod upstream_runs;
mod worker;

use std::{
    pin::Pin,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use body_budget::BodyBudget;
use model::{ClassName, Instance, RequestRate, Timestamp, UnknownReason};
use ownership::MemberCapacity;
use settings::ServiceDocument;
use tokio::sync::{Notify, Semaphore, mpsc, oneshot};
use upstream::{AnnouncedKeys, AssignedKeys, HttpUpstream, Upstream};
use wire::traffic::GateLoad;

use crate::{
    clock::Clock,
    ingress::KeyGranter,
    links::traffic::{Handler, Handover, ReplyFuture, TrafficLinks},
    metrics::Metrics,
    quarantine::SharedQuarantine,
    report::{Announcement, Report, Reporter},
    request::{GateReply, GateRequest, ReplyWithLoad},
    request_log::{GateState, RequestLog},
    snapshot::SnapshotCell,
};

use bound::BoundUpstream;
use call_failures::RunFailures;
use condition::UpstreamCondition;
use crash::UnansweredRuns;
use leases::Leases;
use records::RequestRecords;
use returns::ReturnLog;
use run::Caller;
use upstream_runs::UpstreamRuns;

pub(crate) use call_failures::SharedUnservedRequests;
pub(crate) use upstream_clock::UpstreamClock;

pub use handle::GateHandle;
pub(crate) use handle::GateTask;

/// Constructor of the client of an upstream.
pub type Connect =
    Box<dyn Fn(&Announcement, &ServiceDocument) -> anyhow::Result<Arc<dyn Upstream>> + Send + Sync>;

/// The parts that a gate is assembled from.
pub(crate) struct GateParts {
    pub(crate) own: Instance,
    pub(crate) handle: GateHandle,
    pub(crate) tasks: mpsc::UnboundedReceiver<GateTask>,
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) reporter: Reporter,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Arc<RequestLog>,
    pub(crate) upstream_clock: Arc<UpstreamClock>,
    pub(crate) connect: Connect,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    pub(crate) unserved: Arc<SharedUnservedRequests>,
}

/// The gate as the traffic threads use it.
pub(crate) struct Gate {
    own: Instance,
    clock: Clock,
    handle: GateHandle,
    snapshots: Arc<SnapshotCell>,
    reporter: Reporter,
    metrics: Arc<Metrics>,
    log: Arc<RequestLog>,
    upstream_clock: Arc<UpstreamClock>,
    connect: Connect,
    bound: ArcSwapOption<BoundUpstream>,
    /// Held while the bound upstream is replaced, since each replacement starts from the former one.
    rebinding: Mutex<()>,
    /// Notified when an incarnation is bound that has not confirmed that it runs.
    unconfirmed_bound: Notify,
    records: OnceLock<RequestRecords>,
    leases: Arc<Leases>,
    /// The condition that the upstream states in its answers.
    condition: UpstreamCondition,
    upstream_runs: UpstreamRuns,
    unanswered_runs: UnansweredRuns,
    run_failures: RunFailures,
    return_log: ReturnLog,
    quarantine: Arc<SharedQuarantine>,
    /// Permit for running a suspect request. There is only one, so that a crash of the upstream can
    /// be attributed to that request.
    suspect_permit: Semaphore,
    links: OnceLock<TrafficLinks>,
    /// When the upstream last answered, on the process's clock, in nanoseconds.
    last_response_ns: AtomicU64,
    /// When the members of a service that is not sharded by key last changed, on the process's
    /// clock, in nanoseconds.
    members_changed_ns: AtomicU64,
    in_flight: AtomicUsize,
}

impl Gate {
    /// Creates a gate and spawns its background tasks on the current runtime.
    pub(crate) fn start(parts: GateParts) -> Arc<Gate> {
        let clock = parts.handle.clock;
        let now = clock.now();
        let gate = Arc::new(Gate {
            own: parts.own,
            clock,
            handle: parts.handle,
            snapshots: parts.snapshots,
            reporter: parts.reporter,
            metrics: parts.metrics,
            log: parts.log,
            upstream_clock: parts.upstream_clock,
            connect: parts.connect,
            bound: ArcSwapOption::empty(),
            rebinding: Mutex::default(),
            unconfirmed_bound: Notify::new(),
            records: OnceLock::new(),
            leases: Arc::default(),
            condition: UpstreamCondition::default(),
            upstream_runs: UpstreamRuns::default(),
            unanswered_runs: UnansweredRuns::default(),
            run_failures: RunFailures::new(parts.unserved),
            return_log: ReturnLog::default(),
            quarantine: parts.quarantine,
            suspect_permit: Semaphore::new(1),
            links: OnceLock::new(),
            last_response_ns: AtomicU64::new(now.ns),
            members_changed_ns: AtomicU64::new(now.ns),
            in_flight: AtomicUsize::new(0),
        });
        tokio::spawn(worker::run(Arc::clone(&gate), parts.tasks));
        tokio::spawn(health::run(Arc::clone(&gate)));
        tokio::spawn(probe::run(Arc::clone(&gate)));
        tokio::spawn(leases::run(Arc::clone(&gate)));
        tokio::spawn(crash::run(Arc::clone(&gate)));
        gate
    }

    /// Sets the links over which records are handed over. May be called once.
    pub(crate) fn set_links(&self, links: TrafficLinks) {
        assert!(self.links.set(links).is_ok(), "the links of the gate are set twice");
    }

    /// Returns the number of requests that the gate has not replied to yet.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns whether no new work reaches the upstream, which is also the case if there is none.
    pub(crate) fn refuses_work(&self) -> bool {
        self.bound
            .load()
            .as_ref()
            .is_none_or(|it| it.document.keyed || self.refuses_work_of(it, self.clock.now()))
    }

    /// Returns the load of the gate, as reported to a peer that has sent a request of this class
    /// and kind.
    fn gate_load(&self, class: &ClassName, kind: Option<u8>) -> Option<GateLoad> {
        let bound = self.bound.load();
        let bound = bound.as_ref()?;
        let condition = self.condition.to_wire(&bound.incarnation());
        Some(GateLoad { condition, ..bound.queue.gate_load(class, kind) })
    }

    /// Returns the number of requests at the upstream and the number that wait for a slot.
    pub(crate) fn load(&self) -> (usize, usize) {
        self.bound.load().as_ref().map_or((0, 0), |it| it.queue.load())
    }

    /// Returns the number of slots that are reserved for express requests.
    pub(crate) fn reserved_slots(&self) -> usize {
        self.bound.load().as_ref().map_or(0, |it| it.queue.reserved_slots())
    }

    /// Returns the learned limit on the requests at the upstream. `None` if it is not learned.
    pub(crate) fn learned_limit(&self) -> Option<usize> {
        self.bound.load().as_ref().and_then(|it| it.queue.learned_limit())
    }

    /// Returns the number of promised returns whose time has not passed.
    pub(crate) fn promised_returns(&self) -> usize {
        self.bound.load().as_ref().map_or(0, |it| it.queue.promised_returns())
    }

    /// Returns the limit on the requests of the upstream, as stated by it, and whether it states that it is leaving.
    pub(crate) fn stated_condition(&self) -> (Option<RequestRate>, bool) {
        (self.condition.limit(), self.condition.leaving_since().is_some())
    }

    /// Returns the highest probability with which runs of a kind are refused because of their calls.
    pub(crate) fn run_refusal_probability(&self) -> f64 {
        let bound = self.bound.load();
        let is_enabled = bound.as_ref().is_some_and(|it| it.document.limits.refuses_failing_runs);
        match is_enabled {
            true => self.run_failures.refusal_probability_max(self.clock.now()),
            false => 0.0,
        }
    }

    /// Returns the capacities of the members of the group, if this agent is its coordinator.
    pub(crate) fn capacities(&self) -> Arc<Vec<MemberCapacity>> {
        self.handle.capacities.load_full()
    }

    /// Reports a peer that has a later document than this agent, so that control fetches it.
    fn report_later_config(&self, from: &Instance, request: &GateRequest) {
        let bound = self.bound.load();
        let same_service = bound.as_ref().filter(|it| it.service == request.service);
        if same_service.is_some_and(|it| it.version < request.config_version) {
            let (service, version) = (request.service.clone(), request.config_version);
            self.reporter.try_report(Report::Config { service, version, from: from.clone() });
        }
    }

    fn record_response(&self, now: Timestamp) {
        self.last_response_ns.fetch_max(now.ns, Ordering::Relaxed);
    }

    fn last_response(&self) -> Timestamp {
        Timestamp { ns: self.last_response_ns.load(Ordering::Relaxed) }
    }

    /// Runs a request to its end. Dropping the future cancels it, except that a non-idempotent
    /// request that is already running continues, so that a resend gets its answer.
    pub(crate) async fn call(self: &Arc<Gate>, request: GateRequest) -> GateReply {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let in_flight_guard = InFlightGuard(Arc::clone(self));
        let (mut caller, reply) = oneshot::channel();
        if request.idempotent {
            // Runs in the caller's task, since nothing has to outlive it.
            return self.handle_logged(&request, &mut caller).await;
        }
        tokio::spawn(async move {
            let reply = in_flight_guard.0.handle_logged(&request, &mut caller).await;
            // The caller may have disconnected.
            _ = caller.send(reply);
        });
        reply.await.unwrap_or(GateReply::unknown(UnknownReason::ConnectionLost))
    }

    /// Runs a request like [`Gate::call`] and adds the load of the gate to the reply.
    pub(crate) async fn serve(self: &Arc<Gate>, request: GateRequest) -> ReplyWithLoad {
        let (class, kind) = (request.class.clone(), request.kind);
        let reply = self.call(request).await;
        ReplyWithLoad { reply, load: self.gate_load(&class, kind) }
    }

    async fn handle_logged(&self, request: &GateRequest, caller: &mut Caller) -> GateReply {
        let arrived_at = self.clock.now();
        let reply = self.handle(request, caller).await;
        self.log.log_gate_reply(request, arrived_at, &reply, self.state());
        reply
    }

    fn state(&self) -> GateState {
        let bound = self.bound.load();
        let (running, queued) = bound.as_ref().map_or((0, 0), |it| it.queue.load());
        let config_version = bound.as_ref().map(|it| it.version);
        GateState {
            config_version,
            running,
            queued,
            reserved_slots: self.reserved_slots(),
            promised_returns: self.promised_returns(),
            limit: self.condition.limit(),
            run_refusal_probability: self.run_refusal_probability(),
            learned_limit: self.learned_limit(),
        }
    }
}

/// Guard that removes a request from the count of those in flight, however it ends.
struct InFlightGuard(Arc<Gate>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for Arc<Gate> {
    fn handle_request(&self, from: &Instance, request: GateRequest) -> ReplyFuture {
        self.report_later_config(from, &request);
        let gate = Arc::clone(self);
        Box::pin(async move { gate.serve(request).await })
    }

    fn import_records(&self, from: &Instance, handover: Handover) -> bool {
        self.take_records(from, handover)
    }
}

impl KeyGranter for Arc<Gate> {
    fn assign_keys(
        &self,
        announcement: Announcement,
        held: AnnouncedKeys,
        ranges_max: usize,
    ) -> Pin<Box<dyn Future<Output = Option<AssignedKeys>> + Send + '_>> {
        Box::pin(async move { Gate::assign_keys(self, &announcement, &held, ranges_max).await })
    }
}

/// Creates the client of an upstream over HTTP.
pub(crate) fn connect_http(
    announcement: &Announcement,
    document: &ServiceDocument,
    bodies: BodyBudget,
) -> anyhow::Result<Arc<dyn Upstream>> {
    // One connection for each slot and a few for control calls, up to the configured limit.
    let idle_connections_max =
        (document.upstream.slots as usize).min(document.upstream.connections_max as usize);
    let upstream = HttpUpstream::new(
        announcement.address,
        idle_connections_max,
        document.limits.body_bytes_max,
    )?
    .with_body_budget(bodies);
    Ok(Arc::new(upstream.with_health_path(&document.upstream.health_path)?))
}
