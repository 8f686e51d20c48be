//! Forwards a request to a gate that may run it: selects targets, follows redirects and retries.

mod conditions;
mod return_targets;
mod selector;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use model::{Instance, NotRunReason, Outcome, ServiceName, TeamName, Timestamp, UnknownReason};
use ownership::UpstreamState;
use rand::RngExt;
use settings::TrafficLimits;
use tokio::time::sleep;
use traffic::{Attempts, ChargePolicy, EndedAttempt, Retries, RetryConfig, RetryVerdict, Sending};

use crate::{
    clock::Clock,
    gate::Gate,
    links::traffic::TrafficLinks,
    metrics::Metrics,
    quarantine::SharedQuarantine,
    report::{Report, Reporter},
    request::{GateReply, GateRequest, ReplyWithLoad},
    request_log::{LoggedRequest, Placement, RequestLog},
    snapshot::{MemberRoute, Routes, ServiceRoutes, SnapshotCell},
};

use return_targets::ReturnTargets;
use selector::{Selector, has_designated_member};

pub(crate) use conditions::KnownConditions;
pub(crate) use selector::designated_member;

/// The shortest `retry_after`, before jitter, for a request that no instance could serve.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(30);

/// The parts from which a forwarder is created.
pub(crate) struct ForwardParts {
    pub(crate) own: Instance,
    pub(crate) clock: Clock,
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) links: TrafficLinks,
    pub(crate) reporter: Reporter,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Arc<RequestLog>,
    pub(crate) quarantine: Arc<SharedQuarantine>,
}

/// Forwards requests of callers to gates.
pub(crate) struct Forwarder {
    parts: ForwardParts,
    services: Mutex<HashMap<ServiceName, Arc<ServiceState>>>,
    conditions: KnownConditions,
    return_targets: ReturnTargets,
}

/// The state of a service that is shared by its requests.
struct ServiceState {
    retries: Mutex<Retries>,
    selector: Selector,
}

/// The reply to a caller after all attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinalReply {
    pub reply: GateReply,
    /// The time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// The results of earlier attempts that determine the next target of a request.
#[derive(Debug, Default)]
struct AttemptHistory {
    /// The owner that a peer named in its reply to the last attempt.
    owner_hint: Option<Instance>,
    /// Instances that did not run the request.
    tried: Vec<Instance>,
    /// The instance that gave the request its time to return and gets the next attempt.
    returns_to: Option<Instance>,
    /// Whether the request returns before that time, so that no other instance is tried.
    is_early: bool,
}

impl Forwarder {
    pub(crate) fn new(parts: ForwardParts) -> Forwarder {
        Forwarder {
            parts,
            services: Mutex::default(),
            conditions: KnownConditions::default(),
            return_targets: ReturnTargets::default(),
        }
    }

    /// Returns the state of a service, which is created on its first request.
    fn state(&self, routes: &ServiceRoutes) -> Arc<ServiceState> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || {
            let config = retry_config(&routes.document.limits);
            Arc::new(ServiceState {
                retries: Mutex::new(Retries::new(config)),
                selector: Selector::new(self.parts.own.clone()),
            })
        };
        Arc::clone(services.entry(routes.service.clone()).or_insert_with(new))
    }

    /// Forwards a request until it has a final reply. Dropping the future cancels the request.
    pub(crate) async fn send(&self, request: GateRequest, team: &TeamName) -> FinalReply {
        let mut logged = self.parts.log.start(request);
        let final_reply = self.forward(&mut logged, team).await;
        logged.end(&final_reply);
        final_reply
    }

    /// Attempts a request until it is answered or may not be retried.
    async fn forward(&self, logged: &mut LoggedRequest<'_>, team: &TeamName) -> FinalReply {
        let useful_until = logged.useful_until;
        let LoggedRequest { request, placement, .. } = logged;
        let clock = self.parts.clock;
        let started = clock.now();
        let deadline = started + request.remaining;
        let mut attempts = Attempts {
            is_express: request.is_express,
            ..Attempts::new(request.upstream_attempts_max)
        };
        let mut history = AttemptHistory::default();
        let mut is_first_attempt = true;
        let mut was_sent = false;
        let time_before = request.time_at_ingress;
        // An earlier attempt, or an earlier sending by the caller, may have run the request. Replies
        // of later attempts cannot rule that out.
        let earlier_unknown = (!request.age.is_zero()).then_some(UnknownReason::NoRecord);
        let mut unknown_reason: Option<UnknownReason> = earlier_unknown;
        let fingerprint = request.fingerprint;
        let sending = Sending { fingerprint, deadline, is_retry: request.is_retry_after_refusal };
        if let Some(it) = self.return_targets.take(started, sending) {
            history.is_early = it.is_early;
            history.returns_to = Some(it.given.value);
        }
        loop {
            if self.parts.quarantine.refuses_at_ingress(fingerprint) {
                let reply = GateReply::not_run(NotRunReason::Quarantined);
                return FinalReply::without_retry_after(overall_reply(reply, unknown_reason));
            }
            let Some(routes) = self.routes(&request.service) else {
                let reply = GateReply::not_run(NotRunReason::Unreachable);
                return FinalReply::without_retry_after(overall_reply(reply, unknown_reason));
            };
            let state = self.state(&routes);
            if std::mem::take(&mut is_first_attempt) {
                state.retries().add_request();
            }
            let now = clock.now();
            request.remaining = deadline.since(now);
            request.objective = useful_until.map(|it| it.since(now));
            if std::mem::replace(&mut was_sent, true) {
                // The caller may have resent the request to another agent in the meantime.
                request.time_at_ingress = time_before + now.since(started);
            }
            let has_other_target = !history.is_early && untried_targets(&routes, &history) > 1;
            request.wants_return = return_targets::allows_promise(&routes, request)
                && state.retries().is_last_attempt(&attempts, has_other_target);
            placement.config_version = Some(routes.version);
            placement.route_version = routes.routes.version();
            let reply = self.attempt(&state, &routes, request, placement, &mut history).await;
            let retry_after = match &reply {
                GateReply::Failed { retry_after, .. } => *retry_after,
                _ => None,
            };
            let outcome = reply.outcome();
            let may_try_another = !history.is_early && !is_final_refusal(&routes, request, outcome);
            let attempt = EndedAttempt {
                outcome,
                retry_after,
                is_redirect: history.owner_hint.is_some(),
                has_untried_target: may_try_another && untried_targets(&routes, &history) > 0,
            };
            if attempt.outcome == Outcome::Answered {
                let is_server_error =
                    matches!(&reply, GateReply::Answered(it) if it.status.is_server_error());
                if !is_server_error {
                    self.parts.quarantine.record_answer(fingerprint);
                }
                return FinalReply { reply, retry_after: None };
            }
            if let Outcome::Unknown(reason) = attempt.outcome {
                unknown_reason = Some(reason);
            }
            let sent_to = placement.sent_to.as_ref();
            let given =
                return_targets::given_time(clock.now(), &routes, request, sending, sent_to, &reply);
            let idempotent = request.idempotent;
            let verdict =
                state.decide_retry(clock.now(), deadline, idempotent, &mut attempts, &attempt);
            match verdict {
                RetryVerdict::FollowRedirect => self.parts.metrics.record_retry(team, "redirect"),
                RetryVerdict::Retry { after } => {
                    self.parts.metrics.record_retry(team, "retry");
                    history.returns_to = given.filter(|it| it.is_promised).map(|it| it.value);
                    sleep(after).await;
                }
                RetryVerdict::GiveUp { retry_after } => {
                    if let Some(given) = given {
                        self.return_targets.add(clock.now(), given);
                    }
                    let retry_after =
                        retry_after.map(|it| unserved_retry_after(it, attempt.outcome));
                    return FinalReply { reply: overall_reply(reply, unknown_reason), retry_after };
                }
            }
        }
    }

    fn routes(&self, service: &ServiceName) -> Option<Arc<ServiceRoutes>> {
        self.parts.snapshots.load().services.get(service).cloned()
    }

    /// Sends the request to one target and returns its reply.
    async fn attempt(
        &self,
        state: &ServiceState,
        routes: &ServiceRoutes,
        request: &mut GateRequest,
        placement: &mut Placement,
        history: &mut AttemptHistory,
    ) -> GateReply {
        let now = self.parts.clock.now();
        let owner_hint = history.owner_hint.take();
        let returns_to = history
            .returns_to
            .take()
            .filter(|_| owner_hint.is_none() && return_targets::allows_promise(routes, request));
        let promised_by =
            returns_to.and_then(|it| state.selector.select_instance(now, routes, &it));
        history.is_early &= promised_by.is_some();
        let select =
            || state.selector.select_target(now, routes, request, owner_hint, &history.tried);
        let Some(picked) = promised_by.or_else(select) else {
            history.tried.clear();
            return GateReply::not_run(NotRunReason::NoOwner);
        };
        let target = picked.instance;
        placement.attempts += 1;
        placement.sent_to = Some(target.clone());
        placement.comparison = picked.comparison;
        request.known_condition = self.conditions.get(now, &target.name);
        let in_flight = state.selector.track(now, self.parts.clock, &target, routes, request);
        let ReplyWithLoad { reply, load } = self.send_to(&target, request).await;
        if let Some(load) = load {
            let replied_at = self.parts.clock.now();
            self.conditions.record(replied_at, &target.name, now, &load);
            state.selector.record_load(replied_at, &target, request.kind, load);
        }
        in_flight.finish(reply.outcome());
        match &reply {
            GateReply::NotOwner { owner, route_version } => {
                history.owner_hint = owner.clone().filter(|it| *it != target);
                self.report_stale_route(request, owner, *route_version);
            }
            GateReply::Failed { outcome: Outcome::NotRun(reason), .. } => {
                if matches!(reason, NotRunReason::Unreachable | NotRunReason::Draining) {
                    state.selector.avoid(self.parts.clock.now(), &target, *reason);
                    self.report_stale_route(request, &None, 0);
                }
                history.tried.push(target);
            }
            _ => {}
        }
        reply
    }

    async fn send_to(&self, target: &Instance, request: &GateRequest) -> ReplyWithLoad {
        if *target != self.parts.own {
            return self.parts.links.send_request(target, request).await;
        }
        // The local gate enforces the deadline itself.
        self.parts.gate.serve(request.clone()).await
    }

    /// Reports to control that the routes of the request's service may be stale.
    fn report_stale_route(
        &self,
        request: &GateRequest,
        owner: &Option<Instance>,
        route_version: u64,
    ) {
        let key_hash = request.key_hash;
        let (service, owner) = (request.service.clone(), owner.clone());
        self.parts.reporter.try_report(Report::StaleRoute {
            service,
            key_hash,
            owner,
            route_version,
        });
    }
}

/// Returns whether no other member may run an express request that was refused for overload. The designated member
/// refuses it only if it cannot be in time, so that further tries there are in vain.
fn is_final_refusal(routes: &ServiceRoutes, request: &GateRequest, outcome: Outcome) -> bool {
    request.is_express
        && outcome == Outcome::NotRun(NotRunReason::Overloaded)
        && has_designated_member(routes, request)
}

/// Returns the number of ready members that have not been tried yet. Only services that are not sharded
/// by key have a choice of members.
fn untried_targets(routes: &ServiceRoutes, history: &AttemptHistory) -> usize {
    let Routes::Any(members) = &routes.routes else { return 0 };
    let is_untried = |it: &&MemberRoute| !history.tried.contains(&it.instance);
    let ready = members.iter().filter(|it| it.state == UpstreamState::Ready);
    ready.filter(is_untried).count()
}

fn retry_config(limits: &TrafficLimits) -> RetryConfig {
    RetryConfig {
        budget_share: limits.retry_share,
        budget_max: f64::from(limits.retry_burst),
        starts_empty: limits.refuses_failing_runs,
        charge: match limits.retries_count_after_upstream {
            true => ChargePolicy::AfterUpstream,
            false => ChargePolicy::EveryRetry,
        },
        unowned_wait: limits.unowned_wait,
        ..RetryConfig::default()
    }
}

/// Returns the reply for the caller: an answer if there is one, else an unknown outcome if any
/// attempt had one. A named owner is not passed on to the caller.
fn overall_reply(reply: GateReply, unknown_reason: Option<UnknownReason>) -> GateReply {
    match (reply, unknown_reason) {
        (reply @ GateReply::Answered(_), _) => reply,
        (_, Some(reason)) => GateReply::unknown(reason),
        (GateReply::NotOwner { .. }, None) => GateReply::not_run(NotRunReason::NotOwner),
        (reply, None) => reply,
    }
}

/// Increases `retry_after` to at least [`RETRY_AFTER_MIN`] if no instance could serve the request,
/// since that state does not change within a few milliseconds.
fn unserved_retry_after(retry_after: Duration, outcome: Outcome) -> Duration {
    use NotRunReason::{Draining, NoOwner, NotOwner, Unreachable};
    match outcome {
        Outcome::NotRun(NoOwner | NotOwner | Unreachable | Draining) => {
            retry_after.max(rand::rng().random_range(RETRY_AFTER_MIN..=RETRY_AFTER_MIN * 3))
        }
        _ => retry_after,
    }
}

impl FinalReply {
    pub(crate) fn without_retry_after(reply: GateReply) -> FinalReply {
        FinalReply { reply, retry_after: None }
    }
}

impl ServiceState {
    fn retries(&self) -> std::sync::MutexGuard<'_, Retries> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether the request is attempted again after an attempt, and charges the retry budget.
    fn decide_retry(
        &self,
        now: Timestamp,
        deadline: Timestamp,
        idempotent: bool,
        attempts: &mut Attempts,
        attempt: &EndedAttempt,
    ) -> RetryVerdict {
        self.retries().decide(now, deadline, idempotent, attempts, attempt, &mut rand::rng())
    }
}
