//! Admission to one upstream: its slots and its queue, under one version of its document.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use model::{ClassName, Fingerprint, NotRunReason, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use settings::ServiceDocument;
use tokio::{
    sync::{Notify, oneshot},
    task::AbortHandle,
    time::sleep_until,
};
use traffic::{
    Admission, AdmissionConfig, Arrival, ClassConfig, ClassIndex, Completion, ConcurrencyLimit,
    Decision, PromiseState, ReturnBook, ReturnRequest, ReturnTime, RouteIndex, SharedRateLimit,
    Ticket, Timeliness, Verdict,
};

use wire::traffic::GateLoad;

use crate::{
    clock::Clock,
    gate::{
        express::{Express, ReserveLog},
        learned_limit::LimitReporter,
    },
    request::whole_us,
};

/// Expected service time of a request until some have been measured.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(10);
/// Number of mean deviations above the mean service time that are reserved for a request to run.
const SERVICE_TIME_DEVIATIONS: f64 = 4.0;
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// Admission to the upstream, shared by the requests of the traffic threads.
#[derive(Debug)]
pub(crate) struct AdmissionQueue {
    clock: Clock,
    classes: HashMap<ClassName, ClassIndex>,
    state: Mutex<QueueState>,
    /// The times at which refused callers are to return. `None` if the document does not enable them.
    returns: Option<Mutex<ReturnBook>>,
    /// Notification of the expiry task that a request has been queued.
    queued: Arc<Notify>,
    reserve_log: ReserveLog,
    expiry_task: Mutex<Option<AbortHandle>>,
    limit_reporter: LimitReporter,
}

#[derive(Debug)]
struct QueueState {
    admission: Admission,
    waiting: HashMap<Ticket, oneshot::Sender<Verdict>>,
    rng: Pcg64Mcg,
    decisions: Vec<Decision>,
}

/// Result of offering a request to the queue.
#[derive(Debug)]
pub(crate) enum AdmissionDecision {
    Admitted(Permit),
    Queued(QueuedRequest),
    Refused { reason: NotRunReason, retry_after: Option<Duration> },
}

/// A request that may return, or whose caller is to return.
#[derive(Debug)]
pub(crate) struct ReturningRequest<'a> {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) class: &'a ClassName,
    pub(crate) route: Option<RouteIndex>,
    pub(crate) deadline: Timestamp,
    /// Whether its caller appears to have been refused before.
    pub(crate) is_retry: bool,
}

/// One of the upstream's slots. Dropping it passes the slot to the next request.
#[derive(Debug)]
pub(crate) struct Permit {
    queue: Arc<AdmissionQueue>,
    ticket: Ticket,
    /// How the request ended; `NotSent` unless it was sent to the upstream.
    pub(crate) completion: Completion,
    /// Number of requests that wait in the upstream, as its answer states.
    pub(crate) stated_waiting: Option<u16>,
}

/// A queued request. Dropping it removes the request from the queue.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    queue: Arc<AdmissionQueue>,
    ticket: Ticket,
    verdict: oneshot::Receiver<Verdict>,
    is_decided: bool,
}

impl AdmissionQueue {
    /// Creates the queue of an upstream and spawns its expiry task on the current runtime. `former` is the former
    /// queue of the same incarnation.
    pub(crate) fn start(
        clock: Clock,
        document: &ServiceDocument,
        slots: u16,
        rate_limit: SharedRateLimit,
        seed: u64,
        former: Option<&AdmissionQueue>,
        limit_reporter: LimitReporter,
    ) -> Arc<AdmissionQueue> {
        let class = |it: &settings::RequestClass| ClassConfig {
            name: it.name.clone(),
            weight: f64::from(it.weight),
            initial_service_time: INITIAL_SERVICE_TIME,
        };
        let config = AdmissionConfig {
            slots: usize::from(slots).clamp(1, document.upstream.slots as usize),
            queue_len_max: document.limits.queue_length_max as usize,
            queue_time_max: document.limits.queue_wait_max,
            slow_start: document.upstream.warmup,
            service_time_deviations: SERVICE_TIME_DEVIATIONS,
            retry_after_min: RETRY_AFTER_MIN,
            classes: document.classes.iter().map(class).collect(),
        };
        let now = clock.now();
        let weights = config.classes.iter().map(|it| it.weight);
        let returns =
            document.limits.promises_returns.then(|| Mutex::new(ReturnBook::new(now, weights)));
        let concurrency_limit = document.upstream.learns_concurrency.then(|| {
            let learned = former.and_then(|it| it.learned_for_new_queue(now, config.slots));
            learned.unwrap_or_else(|| ConcurrencyLimit::new(config.slots))
        });
        let admission = Admission::new(config, now)
            .with_rate_limit(rate_limit)
            .with_concurrency_limit(concurrency_limit);
        let names = document.classes.iter().enumerate();
        let queue = Arc::new(AdmissionQueue {
            clock,
            classes: names.map(|(index, it)| (it.name.clone(), ClassIndex(index))).collect(),
            state: Mutex::new(QueueState {
                admission,
                waiting: HashMap::new(),
                rng: Pcg64Mcg::seed_from_u64(seed),
                decisions: Vec::new(),
            }),
            returns,
            queued: Arc::default(),
            reserve_log: ReserveLog::default(),
            expiry_task: Mutex::default(),
            limit_reporter,
        });
        let task =
            tokio::spawn(expire_queued(Arc::downgrade(&queue), Arc::clone(&queue.queued), clock));
        *queue.expiry_task.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(task.abort_handle());
        queue
    }

    fn state(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits, queues or refuses a request.
    pub(super) fn offer(
        self: &Arc<AdmissionQueue>,
        class: &ClassName,
        route: Option<RouteIndex>,
        deadline: Timestamp,
        timeliness: Timeliness,
        express: Option<Express>,
    ) -> AdmissionDecision {
        let class = self.class_index(class);
        let now = self.clock.now();
        let mut lock = self.state();
        let state = &mut *lock;
        let ticket = state.admission.offer(
            now,
            Arrival {
                class,
                route,
                deadline,
                timeliness,
                is_express: express.is_some(),
                objective: express.and_then(|it| it.objective),
            },
            &mut state.rng,
            &mut state.decisions,
        );
        self.reserve_log.update(now, &state.admission.express_load(now));
        let own_verdict = state.decisions.iter().position(|it| it.ticket == ticket);
        let own_verdict = own_verdict.map(|it| state.decisions.swap_remove(it).verdict);
        self.deliver(now, state);
        match own_verdict {
            Some(verdict) => self.decision_of(ticket, verdict),
            None => {
                let (sender, verdict) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                drop(lock);
                self.queued.notify_one();
                AdmissionDecision::Queued(QueuedRequest {
                    queue: Arc::clone(self),
                    ticket,
                    verdict,
                    is_decided: false,
                })
            }
        }
    }

    /// Checks whether an arriving request was promised a return.
    pub(crate) fn check_return(&self, request: &ReturningRequest<'_>) -> PromiseState {
        let Some(returns) = &self.returns else { return PromiseState::Unpromised };
        let now = self.clock.now();
        let admission = &self.state().admission;
        let mut returns = returns.lock().unwrap_or_else(PoisonError::into_inner);
        returns.arrive(now, admission, self.return_request(request), request.is_retry)
    }

    /// Returns when the caller of a refused request is to return. `None` if the document does not enable return times.
    pub(crate) fn return_time(&self, request: &ReturningRequest<'_>) -> Option<ReturnTime> {
        let returns = self.returns.as_ref()?;
        let now = self.clock.now();
        let admission = &self.state().admission;
        let mut returns = returns.lock().unwrap_or_else(PoisonError::into_inner);
        Some(returns.refuse(now, admission, self.return_request(request)))
    }

    /// Returns the number of promised returns whose time has not passed.
    pub(crate) fn promised_returns(&self) -> usize {
        let Some(returns) = &self.returns else { return 0 };
        returns.lock().unwrap_or_else(PoisonError::into_inner).promised(self.clock.now())
    }

    fn return_request(&self, request: &ReturningRequest<'_>) -> ReturnRequest {
        ReturnRequest {
            fingerprint: request.fingerprint,
            class: self.class_index(request.class),
            route: request.route,
            deadline: request.deadline,
        }
    }

    /// Returns the expected service time of a request.
    pub(crate) fn expected_service_time(
        &self,
        class: &ClassName,
        route: Option<RouteIndex>,
    ) -> Duration {
        self.state().admission.expected_service_time(self.class_index(class), route)
    }

    /// Returns the index of a class. An ingress with another version of the document may use a
    /// class that this queue does not have; its requests count for the first class.
    fn class_index(&self, name: &ClassName) -> ClassIndex {
        self.classes.get(name).copied().unwrap_or(ClassIndex(0))
    }

    fn decision_of(
        self: &Arc<AdmissionQueue>,
        ticket: Ticket,
        verdict: Verdict,
    ) -> AdmissionDecision {
        match verdict {
            Verdict::Start => AdmissionDecision::Admitted(Permit {
                queue: Arc::clone(self),
                ticket,
                completion: Completion::NotSent,
                stated_waiting: None,
            }),
            Verdict::Shed { reason, retry_after } => {
                AdmissionDecision::Refused { reason, retry_after: Some(retry_after) }
            }
            Verdict::Expired => AdmissionDecision::Refused {
                reason: NotRunReason::DeadlineExceeded,
                retry_after: None,
            },
        }
    }

    /// Sends verdicts to the queued requests. A slot given to a request that was dropped goes to
    /// the next one.
    fn deliver(&self, now: Timestamp, state: &mut QueueState) {
        while let Some(Decision { ticket, verdict }) = state.decisions.pop() {
            let is_delivered =
                state.waiting.remove(&ticket).is_some_and(|it| it.send(verdict).is_ok());
            if verdict == Verdict::Start && !is_delivered {
                state.admission.finish(
                    now,
                    ticket,
                    Completion::NotSent,
                    &mut state.rng,
                    &mut state.decisions,
                );
            }
        }
    }

    fn finish(&self, ticket: Ticket, completion: Completion, stated_waiting: Option<u16>) {
        let now = self.clock.now();
        let mut lock = self.state();
        let state = &mut *lock;
        if let Some(waiting) = stated_waiting {
            state.admission.record_waiting(ticket, waiting);
        }
        let reopening = state.admission.next_reopening(now);
        state.admission.finish(now, ticket, completion, &mut state.rng, &mut state.decisions);
        self.deliver(now, state);
        if state.admission.next_reopening(now) > reopening {
            // The expiry task sleeps until a later time if a request waited already.
            self.queued.notify_one();
        }
        let limit_change = state.admission.take_limit_change();
        drop(lock);
        if let Some(change) = limit_change {
            self.limit_reporter.report(now, &change);
        }
    }

    fn tick(&self) -> Option<Timestamp> {
        let now = self.clock.now();
        let state = &mut *self.state();
        state.admission.tick(now, &mut state.rng, &mut state.decisions);
        self.deliver(now, state);
        state.admission.next_wakeup(now)
    }

    /// Returns the load of the queue and the service time of requests of a class and kind.
    pub(crate) fn gate_load(&self, class: &ClassName, kind: Option<u8>) -> GateLoad {
        let now = self.clock.now();
        let admission = &self.state().admission;
        let route = kind.map(|it| RouteIndex(it.into()));
        let kind_service_time = admission.measured_service_time(self.class_index(class), route);
        let count = |it: usize| u32::try_from(it).unwrap_or(u32::MAX);
        // An upstream with a limited rate works off its queue like a single slot whose service time is
        // the interval between two starts.
        let (slots, service) = match admission.limited_start_interval(now) {
            Some(interval) => (1, interval),
            None => (admission.slots_at(now), admission.mean_service_time()),
        };
        GateLoad {
            running: count(admission.running()),
            queued: count(admission.queued()),
            slots: count(slots),
            service_us: whole_us(service),
            kind_us: kind_service_time.map(whole_us),
            condition: None,
        }
    }

    /// Returns the capacity of the upstream that a request has used, as time in one slot.
    pub(crate) fn capacity_used(&self, upstream_time: Duration) -> Duration {
        self.state().admission.capacity_used(upstream_time)
    }

    /// Returns the number of slots that are reserved for express requests.
    pub(crate) fn reserved_slots(&self) -> usize {
        self.state().admission.express_load(self.clock.now()).reserved_slots
    }

    /// Returns the learned limit on the running requests. `None` if it is not learned.
    pub(crate) fn learned_limit(&self) -> Option<usize> {
        self.state().admission.concurrency_limit().map(ConcurrencyLimit::limit)
    }

    /// States that the document numbers its routes differently from now on.
    pub(super) fn renumber_routes(&self) {
        self.state().admission.renumber_routes(self.clock.now());
    }

    fn learned_for_new_queue(&self, now: Timestamp, slots: usize) -> Option<ConcurrencyLimit> {
        Some(self.state().admission.concurrency_limit()?.for_new_queue(now, slots))
    }

    /// Returns the number of slots that are open once the ramp-up has ended. A ramp-up lasts a few
    /// seconds, so the placement of keys does not go by it.
    pub(crate) fn slots_when_ramped_up(&self) -> usize {
        self.state().admission.slots_when_ramped_up(self.clock.now())
    }

    /// Returns the number of running and the number of queued requests.
    pub(crate) fn load(&self) -> (usize, usize) {
        let state = self.state();
        (state.admission.running(), state.admission.queued())
    }
}

impl Drop for AdmissionQueue {
    fn drop(&mut self) {
        let expiry_task = self.expiry_task.get_mut().unwrap_or_else(PoisonError::into_inner);
        if let Some(expiry_task) = expiry_task {
            expiry_task.abort();
        }
    }
}

/// Refuses queued requests as soon as they can no longer finish in time.
async fn expire_queued(queue: Weak<AdmissionQueue>, queued: Arc<Notify>, clock: Clock) {
    loop {
        let Some(next) = queue.upgrade().map(|it| it.tick()) else { return };
        match next {
            None => queued.notified().await,
            Some(at) => {
                tokio::select! {
                    _ = sleep_until(clock.instant(at)) => {}
                    _ = queued.notified() => {}
                }
            }
        }
    }
}

impl QueuedRequest {
    /// Waits for the verdict.
    pub(crate) async fn wait(mut self) -> AdmissionDecision {
        let verdict = (&mut self.verdict).await;
        self.is_decided = true;
        match verdict {
            Ok(verdict) => self.queue.decision_of(self.ticket, verdict),
            Err(_) => unreachable!("a queued request is kept until its verdict"),
        }
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        let mut state = self.queue.state();
        state.waiting.remove(&self.ticket);
        if state.admission.cancel(self.ticket) {
            return;
        }
        drop(state);
        // The verdict may have been sent at the same moment.
        if let Ok(Verdict::Start) = self.verdict.try_recv() {
            self.queue.finish(self.ticket, Completion::NotSent, None);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.queue.finish(self.ticket, self.completion, self.stated_waiting);
    }
}
