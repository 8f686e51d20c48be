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
        bound::Bound,
        ends::RunEnd,
        lane::{Offer, Permit},
        records::{Begun, RequestKey},
        table::{Admittance, Clearance, Entry, Grant, NotAdmitted},
    },
    report::Report,
    request::{GateReply, GateRequest},
    snapshot::Routes,
};

/// How long before the end of the lease a request must end at an upstream that checks no token.
const LEASE_MARGIN: Duration = Duration::from_millis(5);
/// How long the members of a service may differ about who they are.
const MEMBERS_LAG_MAX: Duration = Duration::from_secs(1);
/// How much earlier than it was told an upstream may give up: it counts in whole milliseconds.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(5);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a request waits for a grant that is on its way to the upstream.
const GRANT_WAIT: Duration = Duration::from_millis(500);
/// A request waits for a slot at least for this share of the time that it has, also if its answer is of
/// full use for a shorter time only: such short times are those of calls that an upstream makes while
/// it works on a request, and to refuse one fails work that is done in part.
const PATIENCE_SHARE: f64 = 0.5;
/// How long a request whose answer comes late in any case waits for a slot, as a share of the time that it has.
const LATE_PATIENCE_SHARE: f64 = 0.25;
/// The unit of records of a service that is not divided by key.
const WHOLE_SERVICE: RecordUnit = RecordUnit::Slot(Slot(0));

pub(super) type Caller = oneshot::Sender<GateReply>;

/// One request with what it needs on its way.
struct Passage<'a> {
    gate: &'a Gate,
    bound: &'a Bound,
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
        bound: &Bound,
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
        let passage = Passage { gate: self, bound, request, deadline, entry: Some(entry) };
        let key = RequestKey { key_hash, slot, id: request.id, age: known_age(request) };
        passage.once(now, &admittance, key, caller).await
    }

    async fn unkeyed(
        &self,
        bound: &Bound,
        request: &GateRequest,
        deadline: Timestamp,
        caller: &mut Caller,
    ) -> GateReply {
        if bound.refuses_work(self.clock.now()) {
            return GateReply::not_run(NotRunReason::Draining);
        }
        if let Some(owner) = self.other_home(bound, request) {
            return GateReply::NotOwner { owner: Some(owner), route_version: 0 };
        }
        let now = self.clock.now();
        let fence = Token::default();
        let grant = Grant { token: fence, lineage: fence, since: Timestamp::ZERO };
        let admittance = Admittance { unit: WHOLE_SERVICE, grant, fence, returned: None };
        let key_hash = KeyHash(request.id.0 as u64);
        let key = RequestKey { key_hash, slot: Slot(0), id: request.id, age: known_age(request) };
        let passage = Passage { gate: self, bound, request, deadline, entry: None };
        passage.once(now, &admittance, key, caller).await
    }

    /// A resend may come here though its first sending ran at a member that is gone.
    fn may_have_run_elsewhere(&self, bound: &Bound, now: Timestamp, age: Duration) -> bool {
        let certain_since = self.members_changed() + MEMBERS_LAG_MAX;
        !bound.document.keyed && !age.is_zero() && now - age < certain_since
    }

    /// The member that keeps the record of a request that is not idempotent, if not this one.
    fn other_home(&self, bound: &Bound, request: &GateRequest) -> Option<Instance> {
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
    fn note_unreachable(&self, bound: &Bound, error: &CallError) {
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

impl Passage<'_> {
    /// Sees to it that a request that is not idempotent runs at most once.
    async fn once(
        self,
        now: Timestamp,
        admittance: &Admittance,
        key: RequestKey,
        caller: &mut Caller,
    ) -> GateReply {
        // Without resends there is nothing to know a request again by.
        if self.request.idempotent || !self.bound.document.resends {
            return self.run(caller).await;
        }
        let gate = self.gate;
        let book = gate.book.get().expect("a bound gate has its records");
        let running = match book.begin(now, &gate.handle.table, admittance, key) {
            Begun::Run(running) => running,
            Begun::Attach(reply) => {
                let left = self.deadline.since(now);
                // Not counted as in flight: the first sending is.
                drop(self);
                return match timeout(left, reply).await {
                    Ok(Ok(reply)) => reply,
                    Ok(Err(_)) => GateReply::unknown(UnknownReason::NoRecord),
                    Err(_) => GateReply::unknown(UnknownReason::DeadlineExceeded),
                };
            }
            Begun::Replay(answer) => return GateReply::Answered(answer),
            // The owner changed while ingress held a first sending. This sending has not run, and a
            // caller that still waits for it has made no other.
            Begun::Unknown(UnknownReason::NoRecord) if self.request.age.is_zero() => {
                return GateReply::not_run(NotRunReason::NoOwner);
            }
            Begun::Unknown(reason) => return GateReply::unknown(reason),
            Begun::Full => return GateReply::not_run(NotRunReason::Overloaded),
        };
        if gate.may_have_run_elsewhere(self.bound, now, key.age) {
            let reply = GateReply::not_run(NotRunReason::Cancelled);
            book.finish(now, running, &reply);
            return match self.request.age.is_zero() {
                true => GateReply::not_run(NotRunReason::NoOwner),
                false => GateReply::unknown(UnknownReason::NoRecord),
            };
        }
        // The entry must live until the record has ended: a closing unit waits for it.
        let (reply, entry) = self.run_keeping(caller).await;
        book.finish(gate.clock.now(), running, &reply);
        drop(entry);
        reply
    }

    async fn run(self, caller: &mut Caller) -> GateReply {
        self.run_keeping(caller).await.0
    }

    async fn run_keeping(self, caller: &mut Caller) -> (GateReply, Option<Entry>) {
        let reply = self.pass(caller).await.unwrap_or_else(|reply| *reply);
        (reply, self.entry)
    }

    /// To the upstream, or back with the reason why not.
    async fn pass(&self, caller: &mut Caller) -> Result<GateReply, Box<GateReply>> {
        let _alone = self.be_alone(caller).await.inspect_err(|it| self.count_refused(it))?;
        let permit = self.queue(caller).await.inspect_err(|it| self.count_refused(it))?;
        let clearance = self.clear()?;
        Ok(self.give(permit, clearance).await)
    }

    /// A request under which an upstream may have ended waits until no other such request is here.
    async fn be_alone(
        &self,
        caller: &mut Caller,
    ) -> Result<Option<SemaphorePermit<'_>>, Box<GateReply>> {
        match self.gate.quarantine.standing(self.request.content) {
            QuarantineStatus::Clear => return Ok(None),
            QuarantineStatus::Suspect => {}
            QuarantineStatus::Quarantined => return Err(quarantined()),
        }
        let until = self.gate.clock.instant(self.queue_until().0);
        let alone = timeout_at(until, self.gate.suspects.acquire());
        match self.wait_here(alone, caller).await? {
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
        let expected = || self.bound.lane.expected(&self.request.class, self.route());
        let (patience, timeliness) = match self.request.has_come_back {
            _ if objective.is_zero() => (left.mul_f64(LATE_PATIENCE_SHARE), Timeliness::Late),
            true if objective < expected() => (left.mul_f64(LATE_PATIENCE_SHARE), Timeliness::Late),
            true => (objective, Timeliness::InTime),
            false => (objective.max(left.mul_f64(PATIENCE_SHARE)), Timeliness::InTime),
        };
        (self.deadline.min(now + patience), timeliness)
    }

    /// Waits for a slot of the upstream.
    async fn queue(&self, caller: &mut Caller) -> Result<Permit, Box<GateReply>> {
        let (until, timeliness) = self.queue_until();
        let offer = self.bound.lane.offer(&self.request.class, self.route(), until, timeliness);
        let place = match offer {
            Offer::Wait(place) => place,
            verdict => return into_permit(verdict),
        };
        into_permit(self.wait_here(place.wait(), caller).await?)
    }

    /// Waits for something as long as the caller is there and the key has not left.
    async fn wait_here<T>(
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
                _ = changes.changed() => drop(self.clear()?),
            }
        }
    }

    /// The last check before the upstream.
    fn clear(&self) -> Result<Option<Clearance>, Box<GateReply>> {
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
        match entry.clear(now) {
            Ok(clearance) => Ok(Some(clearance)),
            Err(_) if !self.gate.handle.table.lease_holds(now) => {
                Err(Box::new(GateReply::not_run(NotRunReason::NoOwner)))
            }
            Err(error) => Err(Box::new(self.gate.not_owner(self.request, error))),
        }
    }

    /// Until when the upstream may work on the request.
    fn until(&self, clearance: Option<&Clearance>) -> Timestamp {
        match (clearance, fence_check(self.bound)) {
            (Some(it), FenceCheck::Unchecked) => self.deadline.min(it.lease_until - LEASE_MARGIN),
            _ => self.deadline,
        }
    }

    /// The same on the upstream's own clock, where it announces one: a request that it reads after
    /// a freeze does not run.
    fn bounds(&self, clearance: Option<&Clearance>, until: Timestamp) -> Option<ClockBounds> {
        let clock = &self.gate.upstream_clock;
        let start_before = clearance.map_or(until, |it| it.lease_until.min(until));
        Some(ClockBounds {
            start_before_ms: clock.point_ms(start_before)?,
            end_before_ms: clock.point_ms(until)?,
        })
    }

    /// The slot and key that the request counts for; no slot where the key is owned apart from it.
    fn counts_for(&self) -> Option<(Option<Slot>, KeyHash)> {
        let (key_hash, entry) = (self.request.key_hash?, self.entry.as_ref()?);
        let in_slot = matches!(entry.admittance.unit, RecordUnit::Slot(_));
        Some((in_slot.then(|| entry.slot()), key_hash))
    }

    fn count_refused(&self, reply: &GateReply) {
        if reply.outcome() != Outcome::NotRun(NotRunReason::Overloaded) {
            return;
        }
        if let Some((slot, key_hash)) = self.counts_for() {
            self.gate.handle.load.add_refused(slot, key_hash);
        }
    }

    /// Gives the request to the upstream, once.
    async fn give(&self, mut permit: Permit, clearance: Option<Clearance>) -> GateReply {
        let gate = self.gate;
        let started = gate.clock.now();
        let until = self.until(clearance.as_ref());
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
            bounds: self.bounds(clearance.as_ref(), until),
        });
        let cut_off = CutOff { passage: self, armed: true };
        let result = self.wait(call, until).await;
        cut_off.disarm();
        if result.is_end_of_run() {
            run.finish();
        }
        watched.end(result.run_end());
        let ended = gate.clock.now();
        if let Some((slot, key_hash)) = self.counts_for() {
            gate.handle.load.add(slot, key_hash, ended.since(started));
        }
        gate.metrics.upstream(&self.bound.document.team, &self.request.class, ended.since(started));
        match result {
            // The deadline that it gave up at may be that of the lease, not the caller's.
            Ended::Answered(answer) if gave_up(&answer, ended, until) => {
                gate.sign(ended);
                GateReply::unknown(UnknownReason::DeadlineExceeded)
            }
            Ended::Answered(answer) => {
                gate.sign(ended);
                gate.quarantine.answered(self.request.content);
                // An upstream that fails fast must not look like one that works fast.
                permit.completion = match answer.status.is_server_error() {
                    true => Completion::Aborted,
                    false => Completion::Answered,
                };
                GateReply::Answered(answer)
            }
            Ended::Failed(error) => {
                log::debug!(target: "gate", "{error}.");
                gate.note_unreachable(self.bound, &error);
                if !matches!(error, CallError::NotSent { .. } | CallError::Lost { .. }) {
                    gate.sign(ended);
                }
                failed(&mut permit, &error)
            }
            Ended::Cut(reason) => {
                gate.cancel_upstream(&self.bound.upstream, self.request.id);
                GateReply::unknown(reason)
            }
        }
    }

    async fn wait(
        &self,
        mut call: upstream::UpstreamFuture<'_, Result<upstream::Answer, CallError>>,
        until: Timestamp,
    ) -> Ended {
        let mut changes = self.gate.handle.table.changes();
        let mut overdue = pin!(sleep_until(self.gate.clock.instant(until)));
        loop {
            tokio::select! {
                biased;
                result = &mut call => return match result {
                    Ok(answer) => Ended::Answered(answer),
                    Err(error) => Ended::Failed(error),
                },
                _ = &mut overdue => return Ended::Cut(UnknownReason::DeadlineExceeded),
                _ = changes.changed() => {
                    if self.must_stop() {
                        return Ended::Cut(UnknownReason::ConnectionLost);
                    }
                }
            }
        }
    }

    fn must_stop(&self) -> bool {
        let Some(entry) = &self.entry else { return false };
        let dropped = entry.is_dropped() && fence_check(self.bound) == FenceCheck::Unchecked;
        dropped || entry.is_stopped()
    }
}

/// Cancels a request at the upstream when its caller is gone with the task that waits for it.
struct CutOff<'a> {
    passage: &'a Passage<'a>,
    armed: bool,
}

impl CutOff<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CutOff<'_> {
    fn drop(&mut self) {
        if self.armed {
            let Passage { gate, bound, request, .. } = self.passage;
            gate.cancel_upstream(&bound.upstream, request.id);
        }
    }
}

/// How a call to the upstream ended.
enum Ended {
    Answered(upstream::Answer),
    Failed(CallError),
    /// This side gave it up.
    Cut(UnknownReason),
}

impl Ended {
    fn run_end(&self) -> RunEnd {
        match self {
            Ended::Answered(_) => RunEnd::Answered,
            Ended::Failed(CallError::NotSent { .. } | CallError::Refused { .. }) => RunEnd::NotRun,
            Ended::Failed(CallError::Lost { .. } | CallError::Broken { .. }) => RunEnd::Lost,
            Ended::Cut(_) => RunEnd::GivenUp,
        }
    }

    /// Whether the upstream does not work on it any more, as far as that is known.
    fn is_end_of_run(&self) -> bool {
        match self {
            Ended::Answered(_)
            | Ended::Failed(CallError::NotSent { .. } | CallError::Refused { .. }) => true,
            Ended::Failed(CallError::Lost { .. } | CallError::Broken { .. }) | Ended::Cut(_) => {
                false
            }
        }
    }
}

/// The age that counts for records: what the caller says, and the time in this system.
fn known_age(request: &GateRequest) -> Duration {
    request.age + request.held
}

/// The upstream says that it gave up, at its deadline.
fn gave_up(answer: &upstream::Answer, ended: Timestamp, until: Timestamp) -> bool {
    answer.status == StatusCode::GATEWAY_TIMEOUT && ended + GIVE_UP_MARGIN >= until
}

fn into_permit(verdict: Offer) -> Result<Permit, Box<GateReply>> {
    match verdict {
        Offer::Go(permit) => Ok(permit),
        Offer::Refused { reason, retry_after } => Err(Box::new(refused(reason, retry_after))),
        Offer::Wait(_) => unreachable!("a verdict ends the wait"),
    }
}

fn fence_check(bound: &Bound) -> FenceCheck {
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
