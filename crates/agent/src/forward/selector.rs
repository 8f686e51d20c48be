//! Selects the instance that a request is sent to.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use model::{Instance, InstanceName, KeyHash, NotRunReason, Outcome, RequestId, Timestamp};
use ownership::UpstreamState;
use traffic::{
    GateReport, HealthHint, PickedTarget, RequestProfile, Selection, SelectionConfig, TargetResult,
    TargetSpec, TargetState,
};
use wire::traffic::GateLoad;

use crate::{
    clock::Clock,
    request::GateRequest,
    snapshot::{KeyRoutes, MemberRoute, Routes, ServiceRoutes},
};

/// How long a draining instance is avoided. Longer than its new state takes to reach the routes of
/// all agents.
const AVOID_DRAINING_FOR: Duration = Duration::from_secs(3);
/// How long an unreachable instance is avoided.
const AVOID_UNREACHABLE_FOR: Duration = Duration::from_millis(300);

/// Selects targets for the requests of one service.
pub(super) struct Selector {
    own: Instance,
    selection: Arc<Mutex<Option<MemberSelection>>>,
    /// Draining and unreachable instances, and until when they are avoided even if the snapshot
    /// lists them as ready.
    avoided: Mutex<HashMap<Instance, Timestamp>>,
}

/// A selection and the list of members that it was last updated with.
struct MemberSelection {
    selection: Selection,
    members: Vec<MemberRoute>,
}

/// A request in flight at a target. Dropping it without [`InFlight::finish`] counts as cancelled.
pub(super) struct InFlight {
    /// The selection that the target was picked from, `None` if there was no choice or the result is
    /// recorded.
    selection: Option<Arc<Mutex<Option<MemberSelection>>>>,
    clock: Clock,
    target: Instance,
    started: Timestamp,
}

impl Selector {
    pub(super) fn new(own: Instance) -> Selector {
        Selector { own, selection: Arc::default(), avoided: Mutex::default() }
    }

    /// Returns the next target, with the comparison by which it was picked if there was a choice, or
    /// `None` if no instance can currently run the request. A target named by a peer comes first.
    pub(super) fn select_target(
        &self,
        now: Timestamp,
        routes: &ServiceRoutes,
        request: &GateRequest,
        owner_hint: Option<Instance>,
        tried: &[Instance],
    ) -> Option<PickedTarget> {
        let without_comparison = |instance| PickedTarget { instance, comparison: None };
        match (&routes.routes, request.key_hash) {
            _ if owner_hint.is_some() => owner_hint.map(without_comparison),
            (Routes::ByKey(routes), Some(key_hash)) => {
                owner_or_successor(routes, key_hash, tried).map(without_comparison)
            }
            (Routes::Any(members), None) if request.idempotent || !routes.document.resends => {
                self.pick(now, routes, request, members, tried)
            }
            // If the designated member is avoided, another one is chosen, whose gate decides whether
            // it may run the request.
            (Routes::Any(members), None) => {
                let avoided = self.avoided_names(now);
                designated_member(
                    members.iter().filter(|it| !avoided.contains(&it.instance.name)),
                    request.id,
                )
                .or_else(|| designated_member(members, request.id))
                .map(without_comparison)
            }
            _ => None,
        }
    }

    /// Returns an instance as the target if it is a member that accepts requests.
    pub(super) fn select_instance(
        &self,
        now: Timestamp,
        routes: &ServiceRoutes,
        instance: &Instance,
    ) -> Option<PickedTarget> {
        let Routes::Any(members) = &routes.routes else { return None };
        if self.avoided_names(now).contains(&instance.name) {
            return None;
        }
        let mut guard = lock_selection(&self.selection);
        self.updated_selection(&mut guard, now, routes, members).pick_instance(now, instance)
    }

    /// Avoids an instance for a while if other instances can be picked.
    pub(super) fn avoid(&self, now: Timestamp, target: &Instance, reason: NotRunReason) {
        let time = match reason {
            NotRunReason::Draining => AVOID_DRAINING_FOR,
            _ => AVOID_UNREACHABLE_FOR,
        };
        let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.retain(|_, until| now < *until);
        avoided.insert(target.clone(), now + time);
    }

    fn avoided_names(&self, now: Timestamp) -> Vec<InstanceName> {
        let avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        let current = avoided.iter().filter(|(_, until)| now < **until);
        current.map(|(instance, _)| instance.name.clone()).collect()
    }

    /// Picks one of the members and counts the request as in flight there: [`Selector::track`] must
    /// follow.
    fn pick(
        &self,
        now: Timestamp,
        routes: &ServiceRoutes,
        request: &GateRequest,
        members: &[MemberRoute],
        tried: &[Instance],
    ) -> Option<PickedTarget> {
        let mut tried: Vec<InstanceName> = tried.iter().map(|it| it.name.clone()).collect();
        tried.extend(self.avoided_names(now));
        let profile = RequestProfile { kind: request.kind, objective: request.objective };
        let mut guard = lock_selection(&self.selection);
        let selection = self.updated_selection(&mut guard, now, routes, members);
        selection.pick(now, profile, &tried, &mut rand::rng())
    }

    /// Returns the selection, updated with the members of the service.
    fn updated_selection<'a>(
        &self,
        selection: &'a mut Option<MemberSelection>,
        now: Timestamp,
        routes: &ServiceRoutes,
        members: &[MemberRoute],
    ) -> &'a mut Selection {
        let state = selection.get_or_insert_with(|| {
            let slow_start = routes.document.upstream.warmup;
            let zone_penalty = routes.document.limits.zone_penalty;
            let config = SelectionConfig { slow_start, zone_penalty, ..SelectionConfig::default() };
            let selection = Selection::new(config, self.own.zone.clone());
            MemberSelection { selection, members: Vec::new() }
        });
        if !have_same_members(&state.members, members) {
            let specs: Vec<TargetSpec> = members.iter().map(target_spec).collect();
            state.selection.update(now, &specs);
            state.members = members.to_vec();
        }
        &mut state.selection
    }

    /// Records the load that a gate reported with its reply.
    pub(super) fn record_load(
        &self,
        now: Timestamp,
        target: &Instance,
        kind: Option<u8>,
        load: GateLoad,
    ) {
        let report = GateReport {
            backlog: load.running.saturating_add(load.queued),
            slots: load.slots,
            service_time: Duration::from_micros(load.service_us),
            kind_service_time: kind.zip(load.kind_us.map(Duration::from_micros)),
        };
        if let Some(state) = &mut *lock_selection(&self.selection) {
            state.selection.report(now, target, report);
        }
    }

    /// Starts tracking a request that is sent to a target. Its result is recorded in the selection
    /// if the target was picked from there.
    pub(super) fn track(
        &self,
        now: Timestamp,
        clock: Clock,
        target: &Instance,
        routes: &ServiceRoutes,
        request: &GateRequest,
    ) -> InFlight {
        let may_run_anywhere = request.idempotent || !routes.document.resends;
        let is_picked = matches!(routes.routes, Routes::Any(_)) && may_run_anywhere;
        InFlight {
            selection: is_picked.then(|| Arc::clone(&self.selection)),
            clock,
            target: target.clone(),
            started: now,
        }
    }
}

impl InFlight {
    /// Records the outcome of the request.
    pub(super) fn finish(mut self, outcome: Outcome) {
        let result = match outcome {
            Outcome::Answered => TargetResult::Answered,
            Outcome::NotRun(NotRunReason::Unreachable) | Outcome::Unknown(_) => {
                TargetResult::Failed
            }
            Outcome::NotRun(NotRunReason::DeadlineExceeded) => TargetResult::Cancelled,
            Outcome::NotRun(_) => TargetResult::Shed,
        };
        self.record_result(result);
    }

    fn record_result(&mut self, result: TargetResult) {
        let Some(selection) = self.selection.take() else { return };
        let now = self.clock.now();
        if let Some(state) = &mut *lock_selection(&selection) {
            let elapsed = now.since(self.started);
            state.selection.finish(now, &self.target, elapsed, result);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.record_result(TargetResult::Cancelled);
    }
}

fn lock_selection(
    selection: &Mutex<Option<MemberSelection>>,
) -> MutexGuard<'_, Option<MemberSelection>> {
    selection.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether both lists have the same members in the same states and order.
fn have_same_members(a: &[MemberRoute], b: &[MemberRoute]) -> bool {
    a.len() == b.len()
        && a.iter().zip(b).all(|(a, b)| a.instance == b.instance && a.state == b.state)
}

fn target_spec(member: &MemberRoute) -> TargetSpec {
    let state = match member.state {
        UpstreamState::Ready => TargetState::Ready,
        _ => TargetState::Closed,
    };
    TargetSpec { instance: member.instance.clone(), state, hint: HealthHint::default() }
}

/// Returns the owner of a key, or its first untried successor if the owner has been tried.
fn owner_or_successor(
    routes: &KeyRoutes,
    key_hash: KeyHash,
    tried: &[Instance],
) -> Option<Instance> {
    let route = routes.route(key_hash);
    let mut candidates = route.owner.iter().chain(&route.successors);
    candidates.find(|it| !tried.contains(it)).or(route.owner.as_ref()).cloned()
}

/// Returns whether only the designated member may run a request, which keeps the record of it.
pub(super) fn has_designated_member(routes: &ServiceRoutes, request: &GateRequest) -> bool {
    matches!(routes.routes, Routes::Any(_)) && !request.idempotent && routes.document.resends
}

/// Returns the only member that may run a non-idempotent request. Agents with the same list of
/// members choose the same one, so that a resend finds the record of the first sending there.
pub(crate) fn designated_member<'a>(
    members: impl IntoIterator<Item = &'a MemberRoute>,
    id: RequestId,
) -> Option<Instance> {
    let weight = |it: &&MemberRoute| {
        let mut key = Vec::with_capacity(64);
        key.extend_from_slice(&id.0.to_le_bytes());
        key.extend_from_slice(&it.instance.incarnation.0.to_le_bytes());
        key.extend_from_slice(it.instance.name.as_str().as_bytes());
        model::key_hash(&key)
    };
    let ready = members.into_iter().filter(|it| it.state == UpstreamState::Ready);
    ready.max_by_key(weight).map(|it| it.instance.clone())
}
