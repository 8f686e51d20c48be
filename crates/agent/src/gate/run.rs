//! The path of one request through the gate.

use std::{pin::pin, time::Duration};

use model::{Instance, KeyHash, NotRunReason, Outcome, Slot, Timestamp, Token, UnknownReason};
use tokio::{
    sync::{SemaphorePermit, oneshot},
    time::{timeout, timeout_at},
};
use traffic::{QuarantineStatus, RecordUnit, RouteIndex, Timeliness, TrialEnd};

use crate::{
    forward::designated_member,
    gate::{
        Gate,
        admission_queue::{AdmissionDecision, Permit},
        bound::{AGE_MARGIN, BoundUpstream},
        records::{RecordLookup, RequestKey},
        table::{Admittance, Clearance, Entry, Grant, NotAdmitted},
    },
    quarantine::Trial,
    request::{GateReply, GateRequest},
    snapshot::Routes,
};

/// Longest time for which a request waits until a grant of its slot has reached the upstream.
const GRANT_WAIT: Duration = Duration::from_millis(500);
/// Least share of its remaining time for which a request waits for a slot, even if its objective is
/// shorter. Short objectives come from calls that an upstream makes while it handles a request;
/// refusing such a call fails work that is already partly done.
pub(super) const QUEUE_TIME_SHARE_MIN: f64 = 0.5;
/// Share of its remaining time for which a request waits for a slot if its answer will miss the
/// objective in any case.
pub(super) const LATE_QUEUE_TIME_SHARE: f64 = 0.25;
/// Longest time for which a quarantined request waits until the store has confirmed its trial.
const TRIAL_CLAIM_TIME: Duration = Duration::from_millis(500);
/// Largest share of its remaining time for which it waits, so that time for the run is left.
const TRIAL_CLAIM_TIME_SHARE: f64 = 0.25;
/// The record unit of a service that is not sharded by key.
const WHOLE_SERVICE: RecordUnit = RecordUnit::Slot(Slot(0));

/// Sender of the reply to a caller; closed once the caller has disconnected.
pub(super) type Caller = oneshot::Sender<GateReply>;

/// One request with the state that it needs on its path through the gate.
pub(super) struct RequestContext<'a> {
    pub(super) gate: &'a Gate,
    pub(super) bound: &'a BoundUpstream,
    pub(super) request: &'a GateRequest,
    pub(super) deadline: Timestamp,
    /// The entry in the gate's table; `None` if the service is not sharded by key.
    pub(super) entry: Option<Entry>,
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
        if let Some(known) = &request.known_condition {
            let change = self.condition.adopt(self.clock.now(), &bound.incarnation(), known);
            self.apply(change);
        }
        if !bound.is_confirmed {
            return GateReply::not_run(NotRunReason::Unreachable);
        }
        match request.key_hash {
            Some(key_hash) if bound.document.keyed => {
                self.handle_keyed(&bound, request, key_hash, deadline, caller).await
            }
            None if !bound.document.keyed => {
                self.handle_unkeyed(&bound, request, deadline, caller).await
            }
            _ => GateReply::not_run(NotRunReason::BadRequest),
        }
    }

    async fn handle_keyed(
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
            Err(error) => return self.not_owner_reply(request, error),
        };
        let now = self.clock.now();
        if !self.handle.table.lease_holds(now) {
            return GateReply::not_run(NotRunReason::NoOwner);
        }
        if bound.upstream.key_lease_mode().is_enforced() {
            if self.refuses_work_of(bound, now) {
                return GateReply::not_run(NotRunReason::Draining);
            }
            if !self.wait_for_grant(slot, deadline).await {
                return GateReply::not_run(NotRunReason::NoOwner);
            }
        }
        let admittance = entry.admittance;
        let context = RequestContext { gate: self, bound, request, deadline, entry: Some(entry) };
        let key = RequestKey { key_hash, slot, id: request.id, age: record_age(request) };
        context.run_at_most_once(now, &admittance, key, caller).await
    }

    async fn handle_unkeyed(
        &self,
        bound: &BoundUpstream,
        request: &GateRequest,
        deadline: Timestamp,
        caller: &mut Caller,
    ) -> GateReply {
        if self.refuses_work_of(bound, self.clock.now()) {
            return GateReply::not_run(NotRunReason::Draining);
        }
        if let Some(owner) = self.other_designated_member(bound, request) {
            return GateReply::NotOwner { owner: Some(owner), route_version: 0 };
        }
        let now = self.clock.now();
        // Without a lease, the other members may designate another one for the request.
        if is_recorded(bound, request) && !self.handle.table.lease_holds(now) {
            return GateReply::not_run(NotRunReason::NoOwner);
        }
        let fence = Token::default();
        let grant = Grant { token: fence, first_token: fence, since: Timestamp::ZERO };
        let admittance = Admittance { unit: WHOLE_SERVICE, grant, fence, returned_at: None };
        let key_hash = KeyHash(request.id.0 as u64);
        let key = RequestKey { key_hash, slot: Slot(0), id: request.id, age: record_age(request) };
        let context = RequestContext { gate: self, bound, request, deadline, entry: None };
        context.run_at_most_once(now, &admittance, key, caller).await
    }

    /// Returns whether this member has been the designated one of a request since it was first sent, on the lists of
    /// all members. Waits until the list is confirmed by a renewal sent after `arrived_at`.
    async fn was_designated_since(
        &self,
        bound: &BoundUpstream,
        request: &GateRequest,
        first_sent_at: Timestamp,
        arrived_at: Timestamp,
        deadline: Timestamp,
    ) -> bool {
        let ownership = &bound.document.ownership;
        let membership = &self.handle.membership;
        let deadline = self.clock.instant(deadline);
        if !membership.wait_until_confirmed(arrived_at, ownership.lease, deadline).await {
            return false;
        }
        // The list that was confirmed may not have been bound yet.
        self.rebind();
        let changed_at = self.members_changed_at().max(membership.since());
        // Members that have not received a change have no lease by then.
        let settled_at = changed_at + ownership.lease + ownership.drift_margin;
        first_sent_at >= settled_at + AGE_MARGIN
            && self.other_designated_member(bound, request).is_none()
    }

    /// Returns the member that keeps the record of a non-idempotent request, if it is not this one.
    fn other_designated_member(
        &self,
        bound: &BoundUpstream,
        request: &GateRequest,
    ) -> Option<Instance> {
        if !is_recorded(bound, request) {
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

    /// Waits until the upstream has accepted the grant of a slot that control has admitted.
    async fn wait_for_grant(&self, slot: Slot, deadline: Timestamp) -> bool {
        let until = deadline.min(self.clock.now() + GRANT_WAIT);
        let now = || self.clock.now();
        self.leases.wait_until_usable(slot, self.clock.instant(until), now).await
    }

    fn not_owner_reply(&self, request: &GateRequest, error: NotAdmitted) -> GateReply {
        let snapshot = self.snapshots.load();
        let routes = snapshot.services.get(&request.service).map(|it| &it.routes);
        let (Some(Routes::ByKey(routes)), Some(key_hash)) = (routes, request.key_hash) else {
            return GateReply::NotOwner { owner: error.owner, route_version: 0 };
        };
        let routed_owner = || routes.route(key_hash).owner.clone();
        let owner = error.owner.or_else(routed_owner).filter(|it| *it != self.own);
        GateReply::NotOwner { owner, route_version: routes.route_version }
    }
}

impl RequestContext<'_> {
    /// Ensures that a non-idempotent request runs at most once.
    async fn run_at_most_once(
        self,
        now: Timestamp,
        admittance: &Admittance,
        key: RequestKey,
        caller: &mut Caller,
    ) -> GateReply {
        if !is_recorded(self.bound, self.request) {
            return self.run_unrecorded(caller).await;
        }
        let gate = self.gate;
        let records = gate.records.get().expect("the records exist once an upstream is bound");
        let running = match records.begin(now, &gate.handle.table, admittance, key) {
            RecordLookup::Run(running) => running,
            RecordLookup::Attach(reply) => {
                let remaining = self.deadline.since(now);
                // Not counted as in flight, since the first attempt already is.
                drop(self);
                return match timeout(remaining, reply).await {
                    Ok(Ok(reply)) => reply,
                    Ok(Err(_)) => GateReply::unknown(UnknownReason::NoRecord),
                    Err(_) => GateReply::unknown(UnknownReason::DeadlineExceeded),
                };
            }
            RecordLookup::Replay(answer) => return GateReply::Answered(answer),
            // The owner changed while ingress held a first attempt. This attempt has not run, and a
            // caller that still waits for it has not made another one.
            RecordLookup::Unknown(UnknownReason::NoRecord) if self.request.age.is_zero() => {
                return GateReply::not_run(NotRunReason::NoOwner);
            }
            RecordLookup::Unknown(reason) => return GateReply::unknown(reason),
            RecordLookup::Full => return GateReply::not_run(NotRunReason::Overloaded),
        };
        if self.may_have_run_elsewhere(now, key.age).await {
            let reply = GateReply::not_run(NotRunReason::Cancelled);
            records.finish(gate.clock.now(), running, &reply);
            return match self.request.age.is_zero() {
                true => GateReply::not_run(NotRunReason::NoOwner),
                false => GateReply::unknown(UnknownReason::NoRecord),
            };
        }
        // The entry must live until the record is finished, since closing the unit waits for the
        // entry.
        let (reply, entry) = self.run_and_keep_entry(caller).await;
        records.finish(gate.clock.now(), running, &reply);
        drop(entry);
        reply
    }

    /// Returns whether a request that was first sent before may have run at another member of a service that is not
    /// sharded by key. This member has no record of it.
    async fn may_have_run_elsewhere(&self, arrived_at: Timestamp, age: Duration) -> bool {
        if self.bound.document.keyed || age.is_zero() {
            return false;
        }
        let first_sent_at = arrived_at - age;
        let (gate, bound, request) = (self.gate, self.bound, self.request);
        !gate.was_designated_since(bound, request, first_sent_at, arrived_at, self.deadline).await
    }

    async fn run_unrecorded(self, caller: &mut Caller) -> GateReply {
        self.run_and_keep_entry(caller).await.0
    }

    async fn run_and_keep_entry(self, caller: &mut Caller) -> (GateReply, Option<Entry>) {
        let reply = self.admit_and_send(caller).await.unwrap_or_else(|reply| *reply);
        (reply, self.entry)
    }

    /// Sends the request to the upstream, or returns the reply that states why it was not sent.
    async fn admit_and_send(&self, caller: &mut Caller) -> Result<GateReply, Box<GateReply>> {
        let _suspect_permit = self
            .acquire_suspect_permit(caller)
            .await
            .inspect_err(|it| self.record_refused_load(it))?;
        self.refuse_failing_run()?;
        let permit =
            self.wait_for_slot(caller).await.inspect_err(|it| self.record_refused_load(it))?;
        let trial = self.claim_trial().await?;
        let clearance = match self.check_clearance() {
            Ok(clearance) => clearance,
            Err(reply) => {
                trial.into_iter().for_each(|it| it.end(TrialEnd::NotSent));
                return Err(reply);
            }
        };
        let reply = self.send(permit, clearance).await;
        if let Some(trial) = trial {
            self.end_trial(trial, &reply);
        }
        Ok(reply)
    }

    /// Claims a trial if the request is quarantined. Called last, since a claim counts as a crash until its end is
    /// known.
    async fn claim_trial(&self) -> Result<Option<Trial>, Box<GateReply>> {
        let (quarantine, request) = (&self.gate.quarantine, self.request.fingerprint);
        if !quarantine.is_quarantined(request) {
            return Ok(None);
        }
        if !quarantine.may_claim_trial(request) {
            return Err(quarantined_reply());
        }
        let remaining = self.deadline.since(self.gate.clock.now());
        let claim_time = TRIAL_CLAIM_TIME.min(remaining.mul_f64(TRIAL_CLAIM_TIME_SHARE));
        let claimed = quarantine.claim_trial(request, remaining, claim_time).await;
        let result = if claimed.is_some() { "claimed" } else { "not_claimed" };
        self.gate.metrics.record_trial(&self.bound.document.team, result);
        if claimed.is_none() && quarantine.is_quarantined(request) {
            return Err(quarantined_reply());
        }
        Ok(claimed)
    }

    fn end_trial(&self, trial: Trial, reply: &GateReply) {
        let result = match reply.outcome() {
            Outcome::Answered => {
                trial.end_answered();
                "answered"
            }
            Outcome::Unknown(UnknownReason::ConnectionLost | UnknownReason::BrokenAnswer) => {
                trial.end(TrialEnd::Lost);
                "lost"
            }
            // The refusal of an upstream shows that the request has reached it.
            Outcome::NotRun(reason) if reason != NotRunReason::Refused => {
                trial.end(TrialEnd::NotSent);
                "not_sent"
            }
            Outcome::NotRun(_) | Outcome::Unknown(_) => {
                trial.end(TrialEnd::Survived);
                "survived"
            }
        };
        self.gate.metrics.record_trial(&self.bound.document.team, result);
    }

    /// Waits until no other suspect request is running, if an upstream may have crashed on this
    /// one.
    async fn acquire_suspect_permit(
        &self,
        caller: &mut Caller,
    ) -> Result<Option<SemaphorePermit<'_>>, Box<GateReply>> {
        match self.gate.quarantine.status(self.request.fingerprint) {
            QuarantineStatus::Clear => return Ok(None),
            QuarantineStatus::Suspect => {}
            // A trial does not wait: of many callers of one request, only one is needed.
            QuarantineStatus::Quarantined => {
                let permit = self.gate.suspect_permit.try_acquire();
                return permit.map(Some).map_err(|_| quarantined_reply());
            }
        }
        // The limit holds for express requests too: after a wait until the deadline, no time is left for another
        // member, which may run no suspect.
        let until = self.gate.clock.instant(self.ordinary_queue_until().0);
        let acquired = timeout_at(until, self.gate.suspect_permit.acquire());
        match self.wait_while_admitted(acquired, caller).await? {
            Ok(permit) => Ok(permit.ok()),
            Err(_) => Err(Box::new(GateReply::not_run(NotRunReason::Overloaded))),
        }
    }

    /// Returns the route of the document that matches the request; it selects the expected service
    /// time.
    pub(super) fn route(&self) -> Option<RouteIndex> {
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

    /// Returns the time until which the request waits for a slot, and whether its answer can still
    /// meet the objective by then. A request that can no longer meet it, as after a first attempt
    /// elsewhere or a refusal, only gets capacity that timely requests leave unused.
    fn queue_until(&self) -> (Timestamp, Timeliness) {
        if self.is_express() {
            return (self.deadline, Timeliness::InTime);
        }
        self.ordinary_queue_until()
    }

    /// Returns the same for a request that is not express.
    fn ordinary_queue_until(&self) -> (Timestamp, Timeliness) {
        let class = self.bound.document.classes.iter().find(|it| it.name == self.request.class);
        let is_bounded = class.is_some_and(|it| !it.queues_past_objective);
        let Some(objective) = self.request.objective.filter(|_| is_bounded) else {
            return (self.deadline, Timeliness::InTime);
        };
        let now = self.gate.clock.now();
        let remaining = self.deadline.since(now);
        let expected = || self.bound.queue.expected_service_time(&self.request.class, self.route());
        let (queue_time, timeliness) = match self.request.is_retry_after_refusal {
            _ if objective.is_zero() => {
                (remaining.mul_f64(LATE_QUEUE_TIME_SHARE), Timeliness::Late)
            }
            true if objective < expected() => {
                (remaining.mul_f64(LATE_QUEUE_TIME_SHARE), Timeliness::Late)
            }
            true => (objective, Timeliness::InTime),
            false => (objective.max(remaining.mul_f64(QUEUE_TIME_SHARE_MIN)), Timeliness::InTime),
        };
        (self.deadline.min(now + queue_time), timeliness)
    }

    /// Waits for a slot of the upstream.
    async fn wait_for_slot(&self, caller: &mut Caller) -> Result<Permit, Box<GateReply>> {
        let (until, timeliness) = self.queue_until();
        let (until, timeliness) = self.apply_promise(until, timeliness);
        let route = self.route();
        let express = self.express(route);
        let decision =
            self.bound.queue.offer(&self.request.class, route, until, timeliness, express);
        self.record_limited(&decision);
        self.record_express(&decision, false);
        let decision = match decision {
            AdmissionDecision::Queued(queued) => {
                let decision = self.wait_while_admitted(queued.wait(), caller).await?;
                self.record_express(&decision, true);
                decision
            }
            decision => decision,
        };
        into_permit(self.set_return_time(decision))
    }

    fn record_limited(&self, decision: &AdmissionDecision) {
        let result = match decision {
            _ if self.gate.condition.limit().is_none() => return,
            AdmissionDecision::Admitted(_) => return,
            AdmissionDecision::Queued(_) => "queued",
            AdmissionDecision::Refused { .. } => "refused",
        };
        self.gate.metrics.record_limited(&self.bound.document.team, result);
    }

    /// Waits for `wait` to complete, while the caller is connected and the key is admitted.
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
                // A request that waits for a key that was moved is redirected at once.
                _ = changes.changed() => drop(self.check_clearance()?),
            }
        }
    }

    /// Performs the last check before the request is sent to the upstream.
    fn check_clearance(&self) -> Result<Option<Clearance>, Box<GateReply>> {
        let now = self.gate.clock.now();
        if now >= self.deadline {
            return Err(Box::new(GateReply::not_run(NotRunReason::DeadlineExceeded)));
        }
        // The gate may have bound another state since the request arrived.
        if self.gate.is_closed(now) {
            return Err(Box::new(GateReply::not_run(NotRunReason::Draining)));
        }
        let Some(entry) = &self.entry else { return Ok(None) };
        let enforces_leases = self.bound.upstream.key_lease_mode().is_enforced();
        if enforces_leases && !self.gate.leases.is_usable(now, entry.slot()) {
            return Err(Box::new(GateReply::not_run(NotRunReason::NoOwner)));
        }
        match entry.check_clearance(now) {
            Ok(clearance) => Ok(Some(clearance)),
            Err(_) if !self.gate.handle.table.lease_holds(now) => {
                Err(Box::new(GateReply::not_run(NotRunReason::NoOwner)))
            }
            Err(error) => Err(Box::new(self.gate.not_owner_reply(self.request, error))),
        }
    }

    /// Returns the slot and key to which the load of the request is added. There is no slot if the
    /// key is owned separately from its slot.
    pub(super) fn load_key(&self) -> Option<(Option<Slot>, KeyHash)> {
        let (key_hash, entry) = (self.request.key_hash?, self.entry.as_ref()?);
        let follows_slot = matches!(entry.admittance.unit, RecordUnit::Slot(_));
        Some((follows_slot.then(|| entry.slot()), key_hash))
    }

    fn record_refused_load(&self, reply: &GateReply) {
        if reply.outcome() != Outcome::NotRun(NotRunReason::Overloaded) {
            return;
        }
        if let Some((slot, key_hash)) = self.load_key() {
            self.gate.handle.load.add_refused(slot, key_hash);
        }
    }
}

/// Returns whether the request is recorded, so that it runs at most once. Without resends there is no id by which a
/// repeated request could be recognized.
fn is_recorded(bound: &BoundUpstream, request: &GateRequest) -> bool {
    !request.idempotent && bound.document.resends
}

/// Returns the age of the request for its record: the age that the caller states, plus the time
/// spent in this system.
fn record_age(request: &GateRequest) -> Duration {
    request.age + request.time_at_ingress
}

fn into_permit(decision: AdmissionDecision) -> Result<Permit, Box<GateReply>> {
    match decision {
        AdmissionDecision::Admitted(permit) => Ok(permit),
        AdmissionDecision::Refused { reason, retry_after } => {
            Err(Box::new(refusal_reply(reason, retry_after)))
        }
        AdmissionDecision::Queued(_) => {
            unreachable!("a request that has waited is not queued again")
        }
    }
}

fn quarantined_reply() -> Box<GateReply> {
    Box::new(GateReply::not_run(NotRunReason::Quarantined))
}

pub(super) fn refusal_reply(reason: NotRunReason, retry_after: Option<Duration>) -> GateReply {
    GateReply::Failed { outcome: Outcome::NotRun(reason), retry_after }
}
