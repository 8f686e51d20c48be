//! Which instance a request is sent to.

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

/// How long one that is leaving is avoided: longer than its leaving takes to spread.
const AVOID_DRAINING_FOR: Duration = Duration::from_secs(3);
/// How long one that can't be reached is avoided.
const AVOID_UNREACHABLE_FOR: Duration = Duration::from_millis(300);

/// The targets of one service.
pub(super) struct Selector {
    own: Instance,
    selection: Arc<Mutex<Option<MemberSelection>>>,
    /// Instances that take no requests for now, and until when, beside what the snapshot says.
    avoided: Mutex<HashMap<Instance, Timestamp>>,
}

/// The selection for one list of members.
struct MemberSelection {
    selection: Selection,
    members: Vec<MemberRoute>,
}

/// A request counted as in flight at a target; dropped unfinished, it was cancelled.
pub(super) struct InFlight {
    selection: Option<Arc<Mutex<Option<MemberSelection>>>>,
    clock: Clock,
    target: Instance,
    started: Timestamp,
}

impl Selector {
    pub(super) fn new(own: Instance) -> Selector {
        Selector { own, selection: Arc::default(), avoided: Mutex::default() }
    }

    /// The next target, and what it was weighed by where there was a choice; none: nobody may take the
    /// request at the moment.
    pub(super) fn select_target(
        &self,
        now: Timestamp,
        routes: &ServiceRoutes,
        request: &GateRequest,
        hint: Option<Instance>,
        tried: &[Instance],
    ) -> Option<PickedTarget> {
        let only = |instance| PickedTarget { instance, comparison: None };
        match (&routes.routes, request.key_hash) {
            _ if hint.is_some() => hint.map(only),
            (Routes::ByKey(routes), Some(key_hash)) => {
                owner_or_successor(routes, key_hash, tried).map(only)
            }
            (Routes::Any(members), None) if request.idempotent || !routes.document.resends => {
                self.pick(now, routes, request, members, tried)
            }
            // Whether another member may stand in for the home is for that member to say.
            (Routes::Any(members), None) => {
                let avoided = self.avoided_names(now);
                designated_member(
                    members.iter().filter(|it| !avoided.contains(&it.instance.name)),
                    request.id,
                )
                .or_else(|| designated_member(members, request.id))
                .map(only)
            }
            _ => None,
        }
    }

    /// Sends nothing more to an instance for a while, if there are others.
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

    /// Two choices among the members. Counted as in flight: [`Selector::start`] must follow.
    fn pick(
        &self,
        now: Timestamp,
        routes: &ServiceRoutes,
        request: &GateRequest,
        members: &[MemberRoute],
        tried: &[Instance],
    ) -> Option<PickedTarget> {
        let mut guard = lock_selection(&self.selection);
        let state = guard.get_or_insert_with(|| {
            let slow_start = routes.document.upstream.warmup;
            let zone_penalty = routes.document.limits.zone_penalty;
            let config = SelectionConfig { slow_start, zone_penalty, ..SelectionConfig::default() };
            let selection = Selection::new(config, self.own.zone.clone());
            MemberSelection { selection, members: Vec::new() }
        });
        if !same_members(&state.members, members) {
            let specs: Vec<TargetSpec> = members.iter().map(target_spec).collect();
            state.selection.update(now, &specs);
            state.members = members.to_vec();
        }
        let mut tried: Vec<InstanceName> = tried.iter().map(|it| it.name.clone()).collect();
        tried.extend(self.avoided_names(now));
        let profile = RequestProfile { kind: request.kind, objective: request.objective };
        state.selection.pick(now, profile, &tried, &mut rand::rng())
    }

    /// Takes in what a gate says of its load.
    pub(super) fn report(
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

    pub(super) fn start(
        &self,
        now: Timestamp,
        clock: Clock,
        target: &Instance,
        routes: &ServiceRoutes,
        request: &GateRequest,
    ) -> InFlight {
        let may_run_anywhere = request.idempotent || !routes.document.resends;
        let picked = matches!(routes.routes, Routes::Any(_)) && may_run_anywhere;
        InFlight {
            selection: picked.then(|| Arc::clone(&self.selection)),
            clock,
            target: target.clone(),
            started: now,
        }
    }
}

impl InFlight {
    pub(super) fn finish(mut self, outcome: Outcome) {
        let result = match outcome {
            Outcome::Answered => TargetResult::Answered,
            Outcome::NotRun(NotRunReason::Unreachable) | Outcome::Unknown(_) => {
                TargetResult::Failed
            }
            Outcome::NotRun(NotRunReason::DeadlineExceeded) => TargetResult::Cancelled,
            Outcome::NotRun(_) => TargetResult::Shed,
        };
        self.end(result);
    }

    fn end(&mut self, result: TargetResult) {
        let Some(selection) = self.selection.take() else { return };
        let now = self.clock.now();
        if let Some(state) = &mut *lock_selection(&selection) {
            let taken = now.since(self.started);
            state.selection.finish(now, &self.target, taken, result);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.end(TargetResult::Cancelled);
    }
}

fn lock_selection(
    selection: &Mutex<Option<MemberSelection>>,
) -> MutexGuard<'_, Option<MemberSelection>> {
    selection.lock().unwrap_or_else(PoisonError::into_inner)
}

fn same_members(a: &[MemberRoute], b: &[MemberRoute]) -> bool {
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

/// The owner, or whoever follows it once it could not be reached.
fn owner_or_successor(
    routes: &KeyRoutes,
    key_hash: KeyHash,
    tried: &[Instance],
) -> Option<Instance> {
    let route = routes.route(key_hash);
    let mut all = route.owner.iter().chain(&route.successors);
    all.find(|it| !tried.contains(it)).or(route.owner.as_ref()).cloned()
}

/// The one member that may run a request that is not idempotent: the same for all agents that
/// know the same members, so that a resend finds the record of its first sending.
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
