//! State of the upstream that all requests and control calls share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use model::{RequestId, Token};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Notify, Semaphore},
    time::{Instant, sleep_until},
};

use super::options::Config;
use crate::journal::{JournalWriter, RunEntry, wall_clock_ns};

/// Service times are drawn uniformly from this range of multiples of their mean.
const SERVICE_TIME_FACTORS: std::ops::Range<f64> = 0.5..1.5;

/// State of the upstream as reported by `GET /control/health` and in announcements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum UpstreamState {
    Starting,
    Ready,
    Draining,
}

/// Body of `POST /admin/fault`. Each call replaces all faults.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct FaultRequest {
    /// Time for which the upstream is frozen: no answers, no health and no progress of requests.
    pub(crate) freeze_ms: u64,
    /// Whether every request is refused.
    pub(crate) shed: bool,
    /// Whether the upstream always reports to be ready and idle.
    pub(crate) lie: bool,
}

/// Body of `POST /admin/condition`: the condition that the upstream states in its answers from then on.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct ConditionRequest {
    /// The most requests per second that the upstream takes. `None`: it states no limit.
    pub(crate) limit_per_s: Option<f64>,
    /// Time after which the upstream exits. Until then it states that it is leaving. `None`: it stays.
    pub(crate) leave_after_ms: Option<u64>,
    /// Whether the upstream also announces that it is leaving.
    pub(crate) announces: bool,
}

/// Health and load at the time of a measurement.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Report {
    at: Instant,
    pub(crate) state: UpstreamState,
    pub(crate) in_flight: usize,
    pub(crate) queued: usize,
}

/// An upstream; shared by all requests and control calls.
pub(crate) struct Upstream {
    pub(crate) config: Config,
    pub(crate) slots: Semaphore,
    pub(crate) journal: JournalWriter,
    started: Instant,
    /// Wall-clock time of the start, in milliseconds since the Unix epoch.
    pub(crate) started_ms: u64,
    /// Number of accepted requests without an answer, including those that wait for a slot.
    accepted_count: AtomicUsize,
    inner: Mutex<Inner>,
}

struct Inner {
    rng: Pcg64Mcg,
    run_count: u64,
    draining_since: Option<Instant>,
    limit_per_s: Option<f64>,
    /// When the upstream stops taking requests, after it has stated that it is leaving.
    leaves_at: Option<Instant>,
    frozen_until: Instant,
    shed: bool,
    lie: bool,
    report: Option<Report>,
    running: HashMap<RequestId, Arc<Notify>>,
    /// Highest token received for each key.
    fences: HashMap<String, Token>,
}

/// Guard that counts a request as accepted until it is dropped.
pub(crate) struct AcceptedGuard<'a>(&'a Upstream);

impl Drop for AcceptedGuard<'_> {
    fn drop(&mut self) {
        self.0.accepted_count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Upstream {
    pub(crate) fn new(config: Config) -> anyhow::Result<Upstream> {
        let now = Instant::now();
        let inner = Inner {
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            run_count: 0,
            draining_since: None,
            limit_per_s: None,
            leaves_at: None,
            frozen_until: now,
            shed: false,
            lie: false,
            report: None,
            running: HashMap::new(),
            fences: HashMap::new(),
        };
        Ok(Upstream {
            slots: Semaphore::new(usize::from(config.slots)),
            journal: JournalWriter::open(&config.journal)?,
            started: now,
            started_ms: wall_clock_ns() / 1_000_000,
            accepted_count: AtomicUsize::new(0),
            inner: Mutex::new(inner),
            config,
        })
    }

    /// Returns the time of the upstream's monotonic clock in milliseconds since its start.
    pub(crate) fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Converts a time of the upstream's clock to an instant.
    pub(crate) fn instant_at(&self, clock_ms: u64) -> Instant {
        self.started + Duration::from_millis(clock_ms)
    }

    /// Locks the inner state. A poisoned lock is ignored, because no holder panics in the middle of a change.
    fn lock_inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an entry to the journal. Exits the process on failure, since the ground truth would be incomplete.
    pub(crate) fn record(&self, entry: &RunEntry) {
        if let Err(error) = self.journal.append(entry) {
            log::error!(target: "upstream", "Writing to the journal failed, exiting: {error:#}.");
            std::process::exit(1);
        }
    }

    pub(crate) fn state(&self) -> UpstreamState {
        match self.lock_inner().draining_since {
            Some(_) => UpstreamState::Draining,
            None if self.started.elapsed() < self.config.warmup => UpstreamState::Starting,
            None => UpstreamState::Ready,
        }
    }

    pub(crate) fn ready_at(&self) -> Instant {
        self.started + self.config.warmup
    }

    /// Starts to drain: reports the state `Draining` and still accepts requests for the drain time.
    pub(crate) fn start_drain(&self) {
        let mut inner = self.lock_inner();
        let is_first = inner.draining_since.is_none();
        inner.draining_since.get_or_insert_with(Instant::now);
        drop(inner);
        if is_first {
            self.record(&RunEntry::Draining { at_ns: wall_clock_ns() });
        }
    }

    /// Returns whether the time to drain or to leave is over, so that new requests are refused.
    pub(crate) fn is_closed(&self) -> bool {
        let inner = self.lock_inner();
        inner.draining_since.is_some_and(|it| it.elapsed() >= self.config.drain)
            || inner.leaves_at.is_some_and(|it| Instant::now() >= it)
    }

    /// Sets the condition that answers state.
    pub(crate) fn set_condition(&self, request: ConditionRequest) {
        let mut inner = self.lock_inner();
        inner.limit_per_s = request.limit_per_s;
        if let Some(after_ms) = request.leave_after_ms {
            inner.leaves_at.get_or_insert(Instant::now() + Duration::from_millis(after_ms));
        }
        let (limit_per_s, is_leaving) = (inner.limit_per_s, inner.leaves_at.is_some());
        drop(inner);
        self.record(&RunEntry::States { at_ns: wall_clock_ns(), limit_per_s, is_leaving });
    }

    /// Returns the limit that answers state, and whether they state that the upstream is leaving.
    pub(crate) fn stated_condition(&self) -> (Option<f64>, bool) {
        let inner = self.lock_inner();
        (inner.limit_per_s, inner.leaves_at.is_some() || inner.draining_since.is_some())
    }

    pub(crate) fn accept(&self) -> AcceptedGuard<'_> {
        self.accepted_count.fetch_add(1, Ordering::Relaxed);
        AcceptedGuard(self)
    }

    pub(crate) fn accepted_count(&self) -> usize {
        self.accepted_count.load(Ordering::Relaxed)
    }

    pub(crate) fn is_shedding(&self) -> bool {
        self.lock_inner().shed
    }

    pub(crate) fn set_faults(&self, request: FaultRequest) {
        let mut inner = self.lock_inner();
        inner.frozen_until = Instant::now() + Duration::from_millis(request.freeze_ms);
        inner.shed = request.shed;
        inner.lie = request.lie;
    }

    /// Waits until the freeze is over, if the upstream is frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        let until = self.lock_inner().frozen_until;
        if until > Instant::now() {
            sleep_until(until).await;
        }
    }

    /// Returns health and load, at most `health_lag` old, or a false report if that fault is set.
    pub(crate) fn report(&self) -> Report {
        let fresh = self.measure();
        let mut inner = self.lock_inner();
        if inner.lie {
            return Report { state: UpstreamState::Ready, in_flight: 0, queued: 0, ..fresh };
        }
        match inner.report {
            Some(report) if report.at.elapsed() < self.config.health_lag => report,
            _ => *inner.report.insert(fresh),
        }
    }

    fn measure(&self) -> Report {
        let in_flight = usize::from(self.config.slots) - self.slots.available_permits();
        let queued = self.accepted_count().saturating_sub(in_flight);
        Report { at: Instant::now(), state: self.state(), in_flight, queued }
    }

    pub(crate) fn draw_service_time(&self) -> Duration {
        let factor = self.lock_inner().rng.random_range(SERVICE_TIME_FACTORS);
        self.config.service_time.mul_f64(factor)
    }

    /// Registers a run. Returns its number and the signal by which `cancel` ends it.
    pub(crate) fn register_run(&self, id: RequestId) -> (u64, Arc<Notify>) {
        let mut inner = self.lock_inner();
        inner.run_count += 1;
        let run = inner.run_count;
        let cancelled = Arc::clone(inner.running.entry(id).or_default());
        (run, cancelled)
    }

    pub(crate) fn remove_run(&self, id: RequestId) {
        self.lock_inner().running.remove(&id);
    }

    pub(crate) fn cancel(&self, id: RequestId) {
        if let Some(running) = self.lock_inner().running.get(&id) {
            running.notify_waiters();
        }
    }

    /// Raises the fence of the key to the token. Returns false if the token is below the fence.
    pub(crate) fn passes_fence(&self, key: &str, token: Token) -> bool {
        if !self.config.checks_fence {
            return true;
        }
        let mut inner = self.lock_inner();
        let fence = inner.fences.entry(key.to_owned()).or_default();
        *fence = token.max(*fence);
        *fence == token
    }
}
