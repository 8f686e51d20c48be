//! The way into one upstream: its slots and its queue, for one version of its document.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use model::{ClassName, NotRunReason, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use settings::ServiceDocument;
use tokio::{
    sync::{Notify, oneshot},
    task::AbortHandle,
    time::sleep_until,
};
use traffic::{
    Admission, AdmissionConfig, Arrival, ClassConfig, ClassIndex, Completion, Decision, RouteIndex,
    SharedWarmup, Ticket, Timeliness, Verdict,
};

use wire::traffic::GateLoad;

use crate::{clock::Clock, request::whole_us};

/// What a request is expected to take until some have been measured.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(10);
/// How many mean deviations above the mean a request is given room to run.
const SERVICE_TIME_DEVIATIONS: f64 = 4.0;
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// Admission, shared by the requests of the traffic threads.
#[derive(Debug)]
pub(crate) struct AdmissionQueue {
    clock: Clock,
    classes: HashMap<ClassName, ClassIndex>,
    state: Mutex<QueueState>,
    /// A request has begun to wait.
    queued: Arc<Notify>,
    ticker: Mutex<Option<AbortHandle>>,
}

#[derive(Debug)]
struct QueueState {
    admission: Admission,
    waiting: HashMap<Ticket, oneshot::Sender<Verdict>>,
    rng: Pcg64Mcg,
    decisions: Vec<Decision>,
}

/// What a lane says to a request that arrives.
#[derive(Debug)]
pub(crate) enum AdmissionDecision {
    Go(Permit),
    Wait(QueuedRequest),
    Refused { reason: NotRunReason, retry_after: Option<Duration> },
}

/// One of the upstream's slots; dropped, it goes to the next request.
#[derive(Debug)]
pub(crate) struct Permit {
    queue: Arc<AdmissionQueue>,
    ticket: Ticket,
    /// How the request ended: never given to the upstream, until said otherwise.
    pub(crate) completion: Completion,
}

/// A place in the queue; dropped, it is given up.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    queue: Arc<AdmissionQueue>,
    ticket: Ticket,
    verdict: oneshot::Receiver<Verdict>,
    done: bool,
}

impl AdmissionQueue {
    /// A lane whose upstream starts cold, on the runtime that calls.
    pub(crate) fn start(
        clock: Clock,
        document: &ServiceDocument,
        slots: u16,
        warmup: SharedWarmup,
        seed: u64,
    ) -> Arc<AdmissionQueue> {
        let class = |it: &settings::Class| ClassConfig {
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
        let names = document.classes.iter().enumerate();
        let queue = Arc::new(AdmissionQueue {
            clock,
            classes: names.map(|(index, it)| (it.name.clone(), ClassIndex(index))).collect(),
            state: Mutex::new(QueueState {
                admission: Admission::new(config, clock.now()).with_warmup(warmup),
                waiting: HashMap::new(),
                rng: Pcg64Mcg::seed_from_u64(seed),
                decisions: Vec::new(),
            }),
            queued: Arc::default(),
            ticker: Mutex::default(),
        });
        let task = tokio::spawn(tick(Arc::downgrade(&queue), Arc::clone(&queue.queued), clock));
        *queue.ticker.lock().unwrap_or_else(PoisonError::into_inner) = Some(task.abort_handle());
        queue
    }

    fn state(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a request in, or refuses it at once.
    pub(crate) fn offer(
        self: &Arc<AdmissionQueue>,
        class: &ClassName,
        route: Option<RouteIndex>,
        deadline: Timestamp,
        timeliness: Timeliness,
    ) -> AdmissionDecision {
        let class = self.class(class);
        let now = self.clock.now();
        let mut lock = self.state();
        let state = &mut *lock;
        let ticket = state.admission.offer(
            now,
            Arrival { class, route, deadline, timeliness },
            &mut state.rng,
            &mut state.decisions,
        );
        let own = state.decisions.iter().position(|it| it.ticket == ticket);
        let own = own.map(|it| state.decisions.swap_remove(it).verdict);
        self.deliver(now, state);
        match own {
            Some(verdict) => self.decision_of(ticket, verdict),
            None => {
                let (sender, verdict) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                drop(lock);
                self.queued.notify_one();
                AdmissionDecision::Wait(QueuedRequest {
                    queue: Arc::clone(self),
                    ticket,
                    verdict,
                    done: false,
                })
            }
        }
    }

    /// What a request is expected to take.
    pub(crate) fn expected(&self, class: &ClassName, route: Option<RouteIndex>) -> Duration {
        self.state().admission.expected_service_time(self.class(class), route)
    }

    /// An ingress with another version of the document may know other classes.
    fn class(&self, name: &ClassName) -> ClassIndex {
        self.classes.get(name).copied().unwrap_or(ClassIndex(0))
    }

    fn decision_of(
        self: &Arc<AdmissionQueue>,
        ticket: Ticket,
        verdict: Verdict,
    ) -> AdmissionDecision {
        match verdict {
            Verdict::Start => AdmissionDecision::Go(Permit {
                queue: Arc::clone(self),
                ticket,
                completion: Completion::NotSent,
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

    /// Hands out verdicts. A slot given to one that has left goes to the next.
    fn deliver(&self, now: Timestamp, state: &mut QueueState) {
        while let Some(Decision { ticket, verdict }) = state.decisions.pop() {
            let heard = state.waiting.remove(&ticket).is_some_and(|it| it.send(verdict).is_ok());
            if verdict == Verdict::Start && !heard {
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

    fn finish(&self, ticket: Ticket, completion: Completion) {
        let now = self.clock.now();
        let state = &mut *self.state();
        state.admission.finish(now, ticket, completion, &mut state.rng, &mut state.decisions);
        self.deliver(now, state);
    }

    fn tick(&self) -> Option<Timestamp> {
        let now = self.clock.now();
        let state = &mut *self.state();
        state.admission.tick(now, &mut state.rng, &mut state.decisions);
        self.deliver(now, state);
        state.admission.next_wakeup(now)
    }

    /// How busy the lane is, and what requests of a class and kind take.
    pub(crate) fn gate_load(&self, class: &ClassName, kind: Option<u8>) -> GateLoad {
        let now = self.clock.now();
        let admission = &self.state().admission;
        let route = kind.map(|it| RouteIndex(it.into()));
        let of_kind = admission.measured_service_time(self.class(class), route);
        let count = |it: usize| u32::try_from(it).unwrap_or(u32::MAX);
        // One that is cold works off its queue as a single slot would that takes the time between two starts.
        let (slots, service) = match admission.cold_start_interval(now) {
            Some(step) => (1, step),
            None => (admission.slots_at(now), admission.mean_service_time()),
        };
        GateLoad {
            running: count(admission.running()),
            queued: count(admission.queued()),
            slots: count(slots),
            service_us: whole_us(service),
            kind_us: of_kind.map(whole_us),
        }
    }

    /// Requests that run, and requests that wait.
    pub(crate) fn load(&self) -> (usize, usize) {
        let state = self.state();
        (state.admission.running(), state.admission.queued())
    }
}

impl Drop for AdmissionQueue {
    fn drop(&mut self) {
        let ticker = self.ticker.get_mut().unwrap_or_else(PoisonError::into_inner);
        if let Some(ticker) = ticker {
            ticker.abort();
        }
    }
}

/// Refuses what can no longer finish, when it can no longer finish.
async fn tick(queue: Weak<AdmissionQueue>, queued: Arc<Notify>, clock: Clock) {
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
        self.done = true;
        match verdict {
            Ok(verdict) => self.queue.decision_of(self.ticket, verdict),
            Err(_) => unreachable!("a place in the queue is kept until its verdict"),
        }
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let mut state = self.queue.state();
        state.waiting.remove(&self.ticket);
        if state.admission.cancel(self.ticket) {
            return;
        }
        drop(state);
        // The verdict came at the same moment.
        if let Ok(Verdict::Start) = self.verdict.try_recv() {
            self.queue.finish(self.ticket, Completion::NotSent);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.queue.finish(self.ticket, self.completion);
    }
}
