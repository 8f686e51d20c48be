//! The way of one request through the gate.

use std::{pin::pin, sync::Arc, time::Duration};

use http::{HeaderMap, StatusCode};
use model::{
    Instance, KeyHash, NotRunReason, Outcome, RequestId, Slot, Timestamp, Token, UnknownReason,
};
use ownership::{FenceCheck, UpstreamState};
use tokio::{
    sync::{SemaphorePermit, oneshot},
    time::{sleep_until, timeout, timeout_at},
};
use traffic::{Completion, QuarantineStatus, RecordUnit, RouteIndex, Timeliness};
use upstream::{CallError, ClockBounds, Upstream};

use crate::{
    forward::designated_member,
    gate::{
        Gate,
        admission_queue::{AdmissionDecision, Permit},
        bound::BoundUpstream,
        ends::RunEnd,
        records::{RecordLookup, RequestKey},
        table::{Admittance, Clearance, Entry, Grant, NotAdmitted},
    },
    report::Report,
    request::{GateReply, GateRequest},
    snapshot::Routes,
};

/// How long before the end of the lease a request must end at an upstream that checks no token.
const LEASE_MARGIN: Duration = Duration::from_millis(5);
/// How long the members of a service may differ about who they are.
const MEMBERS_SKEW_MAX: Duration = Duration::from_secs(1);
/// How much earlier than it was told an upstream may give up: it counts in whole milliseconds.
const UPSTREAM_TIMEOUT_MARGIN: Duration = Duration::from_millis(5);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a request waits for a grant that is on its way to the upstream.
const GRANT_WAIT: Duration = Duration::from_millis(500);
/// A request waits for a slot at least for this share of the time that it has, also if its answer is of
/// full use for a shorter time only: such short times are those of calls that an upstream makes while
/// it works on a request, and to refuse one fails work that is done in part.
const QUEUE_TIME_SHARE_MIN: f64 = 0.5;
/// How long a request whose answer comes late in any case waits for a slot, as a share of the time that it has.
const LATE_QUEUE_TIME_SHARE: f64 = 0.25;
/// The unit of records of a service that is not divided by key.
const WHOLE_SERVICE: RecordUnit = RecordUnit::Slot(Slot(0));

pub(super) type Caller = oneshot::Sender<GateReply>;

/// One request with what it needs on its way.
struct RequestContext<'a> {
    gate: &'a Gate,
    bound: &'a BoundUpstream,
    request: &'a GateRequest,
    deadline: Timestamp,
    /// None where the service is not divided by key.
    entry: Option<Entry>,
}

impl Gate {
    pub(super) async fn handle(&self, request: &GateRequest, caller: &mut Caller) -> GateReply {
        let deadline = self.clock.now() + request.remaining;
        let Some(bound) = self.bound.load_full() else {
            return GateReply::not_run(NotRunReason::Unreachable);
        };
        if bound.service != request.service {
            return GateReply::NotOwner { owner: None, route_version: 0 };
        }
        match request.key_hash {
            Some(key_hash) if bound.document.keyed => {
                self.keyed(&bound, request, key_hash, deadline, caller).await
            }
            None if !bound.document.keyed => self.unkeyed(&bound, request, deadline, caller).await,
            _ => GateReply::not_run(NotRunReason::BadRequest),
        }
    }

    async fn keyed(
        &self,
        bound: &BoundUpstream,
        request: &GateRequest,
        key_hash: KeyHash,
        deadline: Timestamp,
        caller: &mut Caller,
    ) -> GateReply {
        let slot = bound.document.slot_count.slot_of(key_hash);
        let entry = match self.handle.table.enter(slot, key_hash) {
            Ok(entry) => entry,
            Err(error) => return self.not_owner(request, error),
        };
        let now = self.clock.now();
        if !self.handle.table.lease_holds(now) {
            return GateReply::not_run(NotRunReason::NoOwner);
        }
        if bound.upstream.key_leases().are_enforced() {
            if bound.refuses_work(now) {
                return GateReply::not_run(NotRunReason::Draining);
            }
            if !self.wait_for_grant(slot, deadline).await {
                return GateReply::not_run(NotRunReason::NoOwner);
            }
        }
        let admittance = entry.admittance;
        let context = RequestContext { gate: self, bound, request, deadline, entry: Some(entry) };
        let key = RequestKey { key_hash, slot, id: request.id, age: age_in_system(request) };
        context.run_at_most_once(now, &admittance, key, caller).await
    }

    async fn unkeyed(
        &self,
        bound: &BoundUpstream,
        request: &GateRequest,
        deadline: Timestamp,
        caller: &mut Caller,
    ) -> GateReply {
        if bound.refuses_work(self.clock.now()) {
            return GateReply::not_run(NotRunReason::Draining);
        }
        if let Some(owner) = self.other_designated_member(bound, request) {
            return GateReply::NotOwner { owner: Some(owner), route_version: 0 };
        }
        let now = self.clock.now();
        let fence = Token::default();
        let grant = Grant { token: fence, first_token: fence, since: Timestamp::ZERO };
        let admittance = Admittance { unit: WHOLE_SERVICE, grant, fence, returned: None };
        let key_hash = KeyHash(request.id.0 as u64);
        let key =
            RequestKey { key_hash, slot: Slot(0), id: request.id, age: age_in_system(request) };
        let context = RequestContext { gate: self, bound, request, deadline, entry: None };
        context.run_at_most_once(now, &admittance, key, caller).await
    }

    /// A resend may come here though its first sending ran at a member that is gone.
    fn may_have_run_elsewhere(&self, bound: &BoundUpstream, now: Timestamp, age: Duration) -> bool {
        let certain_since = self.members_changed() + MEMBERS_SKEW_MAX;
        !bound.document.keyed && !age.is_zero() && now - age < certain_since
    }

    /// The member that keeps the record of a request that is not idempotent, if not this one.
    fn other_designated_member(
        &self,
        bound: &BoundUpstream,
        request: &GateRequest,
    ) -> Option<Instance> {
        if request.idempotent || !bound.document.resends {
            return None;
        }
        let snapshot = self.snapshots.load();
        match &snapshot.services.get(&request.service)?.routes {
            Routes::Any(members) => {
                designated_member(members, request.id).filter(|it| *it != self.own)
            }
            Routes::ByKey(_) => None,
        }
    }

    /// Waits until the upstream has taken the grant of a slot that control has admitted.
    async fn wait_for_grant(&self, slot: Slot, deadline: Timestamp) -> bool {
        let until = deadline.min(self.clock.now() + GRANT_WAIT);
        let now = || self.clock.now();
        self.leases.wait_usable(slot, self.clock.instant(until), now).await
    }

    fn not_owner(&self, request: &GateRequest, error: NotAdmitted) -> GateReply {
        let snapshot = self.snapshots.load();
        let routes = snapshot.services.get(&request.service).map(|it| &it.routes);
        let (Some(Routes::ByKey(routes)), Some(key_hash)) = (routes, request.key_hash) else {
            return GateReply::NotOwner { owner: error.owner, route_version: 0 };
        };
        let known = || routes.route(key_hash).owner.clone();
        let owner = error.owner.or_else(known).filter(|it| *it != self.own);
        GateReply::NotOwner { owner, route_version: routes.route_version }
    }

    /// An upstream that is not asked for its health is lost when it takes no connection, until it
    /// announces itself again.
    fn note_unreachable(&self, bound: &BoundUpstream, error: &CallError) {
        let unreachable = matches!(error, CallError::NotSent { .. });
        if unreachable && !bound.upstream.is_asked_for_health() {
            self.reporter.hint(Report::Upstream(UpstreamState::Lost));
        }
    }

    pub(super) fn cancel_upstream(&self, upstream: &Arc<dyn Upstream>, id: RequestId) {
        let upstream = Arc::clone(upstream);
        tokio::spawn(async move {
            if let Ok(Err(error)) = timeout(CANCEL_TIMEOUT, upstream.cancel(id)).await {
                log::debug!(target: "gate", "{error}.");
            }
        });
    }
}

impl RequestContext<'_> {
    /// Sees to it that a request that is not idempotent runs at most once.
    async fn run_at_most_once(
        self,
        now: Timestamp,
        admittance: &Admittance,
        key: RequestKey,
        caller: &mut Caller,
    ) -> GateReply {
        // Without resends there is nothing to know a request again by.
        if self.request.idempotent || !self.bound.document.resends {
            return self.run_unrecorded(caller).await;
        }
        let gate = self.gate;
        let records = gate.records.get().expect("a bound gate has its records");
        let running = match records.begin(now, &gate.handle.table, admittance, key) {
            RecordLookup::Run(running) => running,
            RecordLookup::Attach(reply) => {
                let left = self.deadline.since(now);
                // Not counted as in flight: the first sending is.
                drop(self);
                return match timeout(left, reply).await {
                    Ok(Ok(reply)) => reply,
                    Ok(Err(_)) => GateReply::unknown(UnknownReason::NoRecord),
                    Err(_) => GateReply::unknown(UnknownReason::DeadlineExceeded),
                };
            }
            RecordLookup::Replay(answer) => return GateReply::Answered(answer),
            // The owner changed while ingress held a first sending. This sending has not run, and a
            // caller that still waits for it has made no other.
            RecordLookup::Unknown(UnknownReason::NoRecord) if self.request.age.is_zero() => {
                return GateReply::not_run(NotRunReason::NoOwner);
            }
            RecordLookup::Unknown(reason) => return GateReply::unknown(reason),
            RecordLookup::Full => return GateReply::not_run(NotRunReason::Overloaded),
        };
        if gate.may_have_run_elsewhere(self.bound, now, key.age) {
            let reply = GateReply::not_run(NotRunReason::Cancelled);
            records.finish(now, running, &reply);
            return match self.request.age.is_zero() {
                true => GateReply::not_run(NotRunReason::NoOwner),
                false => GateReply::unknown(UnknownReason::NoRecord),
            };
        }
        // The entry must live until the record has ended: a closing unit waits for it.
        let (reply, entry) = self.run_and_keep_entry(caller).await;
        records.finish(gate.clock.now(), running, &reply);
        drop(entry);
        reply
    }

    async fn run_unrecorded(self, caller: &mut Caller) -> GateReply {
        self.run_and_keep_entry(caller).await.0
    }

    async fn run_and_keep_entry(self, caller: &mut Caller) -> (GateReply, Option<Entry>) {
        let reply = self.admit_and_send(caller).await.unwrap_or_else(|reply| *reply);
        (reply, self.entry)
    }

    /// To the upstream, or back with the reason why not.
    async fn admit_and_send(&self, caller: &mut Caller) -> Result<GateReply, Box<GateReply>> {
        let _alone = self
            .acquire_suspect_permit(caller)
            .await
            .inspect_err(|it| self.record_refused_load(it))?;
        let permit = self.queue(caller).await.inspect_err(|it| self.record_refused_load(it))?;
        let clearance = self.check_clearance()?;
        Ok(self.send(permit, clearance).await)
    }

    /// A request under which an upstream may have ended waits until no other such request is here.
    async fn acquire_suspect_permit(
        &self,
        caller: &mut Caller,
    ) -> Result<Option<SemaphorePermit<'_>>, Box<GateReply>> {
        match self.gate.quarantine.standing(self.request.content) {
            QuarantineStatus::Clear => return Ok(None),
            QuarantineStatus::Suspect => {}
            QuarantineStatus::Quarantined => return Err(quarantined()),
        }
        let until = self.gate.clock.instant(self.queue_until().0);
        let alone = timeout_at(until, self.gate.suspect_permit.acquire());
        match self.wait_while_admitted(alone, caller).await? {
            Ok(permit) => Ok(permit.ok()),
            Err(_) => Err(Box::new(GateReply::not_run(NotRunReason::Overloaded))),
        }
    }

    /// The rule of the document that the request falls under, for what it is expected to take.
    fn route(&self) -> Option<RouteIndex> {
        if let Some(kind) = self.request.kind {
            return Some(RouteIndex(kind.into()));
        }
        let request = &self.request;
        let path = request.path.path().strip_prefix('/')?;
        let rest = match path.strip_prefix(request.service.as_str())? {
            "" => "/",
            rest => rest,
        };
        let header = |name: &str| request.headers.get(name).and_then(|it| it.to_str().ok());
        let found = self.bound.document.route(request.method.as_str(), rest, header).ok()?;
        Some(RouteIndex(found.index))
    }

    /// Until when it is worth its while to wait for a slot, and of what use the answer will be then. One
    /// whose answer can't be of full use any more, as after a first try elsewhere or a refusal, gets what
    /// those that can leave over.
    fn queue_until(&self) -> (Timestamp, Timeliness) {
        let class = self.bound.document.classes.iter().find(|it| it.name == self.request.class);
        let bounded = class.is_some_and(|it| !it.queues_past_objective);
        let Some(objective) = self.request.objective.filter(|_| bounded) else {
            return (self.deadline, Timeliness::InTime);
        };
        let now = self.gate.clock.now();
        let left = self.deadline.since(now);
        let expected = || self.bound.queue.expected(&self.request.class, self.route());
        let (queue_time, timeliness) = match self.request.has_come_back {
            _ if objective.is_zero() => (left.mul_f64(LATE_QUEUE_TIME_SHARE), Timeliness::Late),
            true if objective < expected() => {
                (left.mul_f64(LATE_QUEUE_TIME_SHARE), Timeliness::Late)
            }
            true => (objective, Timeliness::InTime),
            false => (objective.max(left.mul_f64(QUEUE_TIME_SHARE_MIN)), Timeliness::InTime),
        };
        (self.deadline.min(now + queue_time), timeliness)
    }

    /// Waits for a slot of the upstream.
    async fn queue(&self, caller: &mut Caller) -> Result<Permit, Box<GateReply>> {
        let (until, timeliness) = self.queue_until();
        let offer = self.bound.queue.offer(&self.request.class, self.route(), until, timeliness);
        let place = match offer {
            AdmissionDecision::Wait(place) => place,
            verdict => return into_permit(verdict),
        };
        into_permit(self.wait_while_admitted(place.wait(), caller).await?)
    }

    /// Waits for something as long as the caller is there and the key has not left.
    async fn wait_while_admitted<T>(
        &self,
        wait: impl Future<Output = T>,
        caller: &mut Caller,
    ) -> Result<T, Box<GateReply>> {
        let mut changes = self.gate.handle.table.changes();
        let mut wait = pin!(wait);
        loop {
            tokio::select! {
                it = &mut wait => return Ok(it),
                _ = caller.closed() => {
                    return Err(Box::new(GateReply::not_run(NotRunReason::Cancelled)));
                }
                // Whoever waits for a key that has left is sent after it at once.
                _ = changes.changed() => drop(self.check_clearance()?),
            }
        }
    }

    /// The last check before the upstream.
    fn check_clearance(&self) -> Result<Option<Clearance>, Box<GateReply>> {
        let now = self.gate.clock.now();
        if now >= self.deadline {
            return Err(Box::new(GateReply::not_run(NotRunReason::DeadlineExceeded)));
        }
        if self.gate.quarantine.is_quarantined(self.request.content) {
            return Err(quarantined());
        }
        // By now another state may be bound than the one that the request came under.
        if self.gate.bound.load().as_ref().is_some_and(|it| it.is_closed(now)) {
            return Err(Box::new(GateReply::not_run(NotRunReason::Draining)));
        }
        let Some(entry) = &self.entry else { return Ok(None) };
        let leased = self.bound.upstream.key_leases().are_enforced();
        if leased && !self.gate.leases.is_usable(now, entry.slot()) {
            return Err(Box::new(GateReply::not_run(NotRunReason::NoOwner)));
        }
        match entry.check_clearance(now) {
            Ok(clearance) => Ok(Some(clearance)),
            Err(_) if !self.gate.handle.table.lease_holds(now) => {
                Err(Box::new(GateReply::not_run(NotRunReason::NoOwner)))
            }
            Err(error) => Err(Box::new(self.gate.not_owner(self.request, error))),
        }
    }

    /// Until when the upstream may work on the request.
    fn upstream_deadline(&self, clearance: Option<&Clearance>) -> Timestamp {
        match (clearance, fence_check(self.bound)) {
            (Some(it), FenceCheck::Unchecked) => self.deadline.min(it.lease_until - LEASE_MARGIN),
            _ => self.deadline,
        }
    }

    /// The same on the upstream's own clock, where it announces one: a request that it reads after
    /// a freeze does not run.
    fn clock_bounds(&self, clearance: Option<&Clearance>, until: Timestamp) -> Option<ClockBounds> {
        let clock = &self.gate.upstream_clock;
        let start_before = clearance.map_or(until, |it| it.lease_until.min(until));
        Some(ClockBounds {
            start_before_ms: clock.to_upstream_ms(start_before)?,
            end_before_ms: clock.to_upstream_ms(until)?,
        })
    }

    /// The slot and key that the request counts for; no slot where the key is owned apart from it.
    fn load_key(&self) -> Option<(Option<Slot>, KeyHash)> {
        let (key_hash, entry) = (self.request.key_hash?, self.entry.as_ref()?);
        let in_slot = matches!(entry.admittance.unit, RecordUnit::Slot(_));
        Some((in_slot.then(|| entry.slot()), key_hash))
    }

    fn record_refused_load(&self, reply: &GateReply) {
        if reply.outcome() != Outcome::NotRun(NotRunReason::Overloaded) {
            return;
        }
        if let Some((slot, key_hash)) = self.load_key() {
            self.gate.handle.load.add_refused(slot, key_hash);
        }
    }

    /// Gives the request to the upstream, once.
    async fn send(&self, mut permit: Permit, clearance: Option<Clearance>) -> GateReply {
        let gate = self.gate;
        let started = gate.clock.now();
        let until = self.upstream_deadline(clearance.as_ref());
        if let Some(it) = &clearance {
            assert!(it.checked_at < it.lease_until, "a request passed the gate without a lease");
        }
        if started >= until {
            let reason = match until < self.deadline {
                true => NotRunReason::NoOwner,
                false => NotRunReason::DeadlineExceeded,
            };
            return GateReply::not_run(reason);
        }
        permit.completion = Completion::Aborted;
        let remaining = until.since(started);
        let run =
            gate.upstream_runs.begin(started, self.entry.as_ref().map(Entry::slot), remaining);
        let watched = gate.unanswered.begin(gate.clock, self.request.content);
        let call = self.bound.upstream.call(upstream::Request {
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers: HeaderMap::clone(&self.request.headers),
            body: self.request.body.clone(),
            id: self.request.id,
            token: clearance.map(|it| it.token),
            remaining,
            bounds: self.clock_bounds(clearance.as_ref(), until),
        });
        let cancel_guard = CancelGuard { context: self, armed: true };
        let result = self.wait_for_end(call, until).await;
        cancel_guard.disarm();
        if result.is_end_of_run() {
            run.finish();
        }
        watched.end(result.run_end());
        let ended = gate.clock.now();
        if let Some((slot, key_hash)) = self.load_key() {
            gate.handle.load.add(slot, key_hash, ended.since(started));
        }
        gate.metrics.upstream(&self.bound.document.team, &self.request.class, ended.since(started));
        match result {
            // The deadline that it gave up at may be that of the lease, not the caller's.
            CallEnd::Answered(answer) if is_upstream_timeout(&answer, ended, until) => {
                gate.record_response(ended);
                GateReply::unknown(UnknownReason::DeadlineExceeded)
            }
            CallEnd::Answered(answer) => {
                gate.record_response(ended);
                gate.quarantine.record_answer(self.request.content);
                // An upstream that fails fast must not look like one that works fast.
                permit.completion = match answer.status.is_server_error() {
                    true => Completion::Aborted,
                    false => Completion::Answered,
                };
                GateReply::Answered(answer)
            }
            CallEnd::Failed(error) => {
                log::debug!(target: "gate", "{error}.");
                gate.note_unreachable(self.bound, &error);
                if !matches!(error, CallError::NotSent { .. } | CallError::Lost { .. }) {
                    gate.record_response(ended);
                }
                failed(&mut permit, &error)
            }
            CallEnd::Abandoned(reason) => {
                gate.cancel_upstream(&self.bound.upstream, self.request.id);
                GateReply::unknown(reason)
            }
        }
    }

    async fn wait_for_end(
        &self,
        mut call: upstream::UpstreamFuture<'_, Result<upstream::Answer, CallError>>,
        until: Timestamp,
    ) -> CallEnd {
        let mut changes = self.gate.handle.table.changes();
        let mut overdue = pin!(sleep_until(self.gate.clock.instant(until)));
        loop {
            tokio::select! {
                biased;
                result = &mut call => return match result {
                    Ok(answer) => CallEnd::Answered(answer),
                    Err(error) => CallEnd::Failed(error),
                },
                _ = &mut overdue => return CallEnd::Abandoned(UnknownReason::DeadlineExceeded),
                _ = changes.changed() => {
                    if self.must_abandon() {
                        return CallEnd::Abandoned(UnknownReason::ConnectionLost);
                    }
                }
            }
        }
    }

    fn must_abandon(&self) -> bool {
        let Some(entry) = &self.entry else { return false };
        let dropped = entry.is_dropped() && fence_check(self.bound) == FenceCheck::Unchecked;
        dropped || entry.is_stopped()
    }
}

/// Cancels a request at the upstream when its caller is gone with the task that waits for it.
struct CancelGuard<'a> {
    context: &'a RequestContext<'a>,
    armed: bool,
}

impl CancelGuard<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            let RequestContext { gate, bound, request, .. } = self.context;
            gate.cancel_upstream(&bound.upstream, request.id);
        }
    }
}

/// How a call to the upstream ended.
enum CallEnd {
    Answered(upstream::Answer),
    Failed(CallError),
    /// This side gave it up.
    Abandoned(UnknownReason),
}

impl CallEnd {
    fn run_end(&self) -> RunEnd {
        match self {
            CallEnd::Answered(_) => RunEnd::Answered,
            CallEnd::Failed(CallError::NotSent { .. } | CallError::Refused { .. }) => {
                RunEnd::NotRun
            }
            CallEnd::Failed(CallError::Lost { .. } | CallError::Broken { .. }) => RunEnd::Lost,
            CallEnd::Abandoned(_) => RunEnd::Abandoned,
        }
    }

    /// Whether the upstream does not work on it any more, as far as that is known.
    fn is_end_of_run(&self) -> bool {
        match self {
            CallEnd::Answered(_)
            | CallEnd::Failed(CallError::NotSent { .. } | CallError::Refused { .. }) => true,
            CallEnd::Failed(CallError::Lost { .. } | CallError::Broken { .. })
            | CallEnd::Abandoned(_) => false,
        }
    }
}

/// The age that counts for records: what the caller says, and the time in this system.
fn age_in_system(request: &GateRequest) -> Duration {
    request.age + request.held
}

/// The upstream says that it gave up, at its deadline.
fn is_upstream_timeout(answer: &upstream::Answer, ended: Timestamp, until: Timestamp) -> bool {
    answer.status == StatusCode::GATEWAY_TIMEOUT && ended + UPSTREAM_TIMEOUT_MARGIN >= until
}

fn into_permit(verdict: AdmissionDecision) -> Result<Permit, Box<GateReply>> {
    match verdict {
        AdmissionDecision::Go(permit) => Ok(permit),
        AdmissionDecision::Refused { reason, retry_after } => {
            Err(Box::new(refused(reason, retry_after)))
        }
        AdmissionDecision::Wait(_) => unreachable!("a verdict ends the wait"),
    }
}

fn fence_check(bound: &BoundUpstream) -> FenceCheck {
    // An upstream that enforces leases ends by itself what outlasts them.
    if bound.upstream.key_leases().are_enforced() {
        return FenceCheck::Checked;
    }
    // Both must say so: the document is what the team answers for.
    match bound.document.upstream.checks_fence && bound.announcement.checks_fence {
        true => FenceCheck::Checked,
        false => FenceCheck::Unchecked,
    }
}

fn quarantined() -> Box<GateReply> {
    Box::new(GateReply::not_run(NotRunReason::Quarantined))
}

fn refused(reason: NotRunReason, retry_after: Option<Duration>) -> GateReply {
    GateReply::Failed { outcome: Outcome::NotRun(reason), retry_after }
}

fn failed(permit: &mut Permit, error: &CallError) -> GateReply {
    match error {
        CallError::NotSent { .. } => {
            permit.completion = Completion::NotSent;
            GateReply::not_run(NotRunReason::Unreachable)
        }
        CallError::Refused { retry_after, .. } => {
            permit.completion = Completion::NotSent;
            refused(NotRunReason::Refused, *retry_after)
        }
        CallError::Lost { .. } => GateReply::unknown(UnknownReason::ConnectionLost),
        CallError::Broken { .. } => GateReply::unknown(UnknownReason::BrokenAnswer),
    }
}
