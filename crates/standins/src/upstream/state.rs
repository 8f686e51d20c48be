//! What an upstream knows of itself.

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

/// Service times lie between half and one and a half times their mean.
const SERVICE_TIME_FACTORS: std::ops::Range<f64> = 0.5..1.5;

/// What `GET /control/health` and the announcements say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum UpstreamState {
    Starting,
    Ready,
    Draining,
}

/// `POST /admin/fault`: each call replaces all of it.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct FaultRequest {
    /// Nothing goes on for this long: no answers, no health, no progress.
    pub(crate) freeze_ms: u64,
    /// Refuse every request.
    pub(crate) shed: bool,
    /// Claim to be ready and idle.
    pub(crate) lie: bool,
}

/// Health and load as last measured.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Report {
    at: Instant,
    pub(crate) state: UpstreamState,
    pub(crate) in_flight: usize,
    pub(crate) queued: usize,
}

/// State shared by all calls.
pub(crate) struct Upstream {
    pub(crate) config: Config,
    pub(crate) slots: Semaphore,
    pub(crate) journal: JournalWriter,
    started: Instant,
    /// Requests taken and not answered, those that wait for a slot included.
    accepted_count: AtomicUsize,
    inner: Mutex<Inner>,
}

struct Inner {
    rng: Pcg64Mcg,
    run_count: u64,
    draining_since: Option<Instant>,
    frozen_until: Instant,
    shed: bool,
    lie: bool,
    report: Option<Report>,
    running: HashMap<RequestId, Arc<Notify>>,
    /// The highest token seen for each key.
    fences: HashMap<String, Token>,
}

/// Counts a request as taken for as long as it lives.
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
            accepted_count: AtomicUsize::new(0),
            inner: Mutex::new(inner),
            config,
        })
    }

    /// What its monotonic clock shows, in milliseconds from its start.
    pub(crate) fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// A point on that clock.
    pub(crate) fn instant_at(&self, clock_ms: u64) -> Instant {
        self.started + Duration::from_millis(clock_ms)
    }

    /// No holder panics half-way through a change, so a poisoned lock is sound.
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes to the journal. Without it there is no ground truth, so a failure ends the process.
    pub(crate) fn record(&self, entry: &RunEntry) {
        if let Err(error) = self.journal.append(entry) {
            log::error!(target: "upstream", "The journal failed: {error:#}.");
            std::process::exit(1);
        }
    }

    pub(crate) fn state(&self) -> UpstreamState {
        match self.inner().draining_since {
            Some(_) => UpstreamState::Draining,
            None if self.started.elapsed() < self.config.warmup => UpstreamState::Starting,
            None => UpstreamState::Ready,
        }
    }

    pub(crate) fn ready_at(&self) -> Instant {
        self.started + self.config.warmup
    }

    /// Begins to leave.
    pub(crate) fn start_drain(&self) {
        self.inner().draining_since.get_or_insert_with(Instant::now);
        self.record(&RunEntry::Draining { at_ns: wall_clock_ns() });
    }

    /// Whether it has been leaving for so long that it takes no new work.
    pub(crate) fn is_closed(&self) -> bool {
        self.inner().draining_since.is_some_and(|it| it.elapsed() >= self.config.drain)
    }

    pub(crate) fn accept(&self) -> AcceptedGuard<'_> {
        self.accepted_count.fetch_add(1, Ordering::Relaxed);
        AcceptedGuard(self)
    }

    pub(crate) fn accepted_count(&self) -> usize {
        self.accepted_count.load(Ordering::Relaxed)
    }

    pub(crate) fn is_shedding(&self) -> bool {
        self.inner().shed
    }

    pub(crate) fn set_faults(&self, request: FaultRequest) {
        let mut inner = self.inner();
        inner.frozen_until = Instant::now() + Duration::from_millis(request.freeze_ms);
        inner.shed = request.shed;
        inner.lie = request.lie;
    }

    /// Waits while frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        let until = self.inner().frozen_until;
        if until > Instant::now() {
            sleep_until(until).await;
        }
    }

    /// Health and load, at most `health_lag` old, or a lie.
    pub(crate) fn report(&self) -> Report {
        let fresh = self.measure();
        let mut inner = self.inner();
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
        let factor = self.inner().rng.random_range(SERVICE_TIME_FACTORS);
        self.config.service_time.mul_f64(factor)
    }

    /// Numbers a new run and lets it be cancelled by its id.
    pub(crate) fn register_run(&self, id: RequestId) -> (u64, Arc<Notify>) {
        let mut inner = self.inner();
        inner.run_count += 1;
        let run = inner.run_count;
        let cancelled = Arc::clone(inner.running.entry(id).or_default());
        (run, cancelled)
    }

    pub(crate) fn remove_run(&self, id: RequestId) {
        self.inner().running.remove(&id);
    }

    pub(crate) fn cancel(&self, id: RequestId) {
        if let Some(running) = self.inner().running.get(&id) {
            running.notify_waiters();
        }
    }

    /// Raises the key's fence; false if the token is below it.
    pub(crate) fn passes_fence(&self, key: &str, token: Token) -> bool {
        if !self.config.checks_fence {
            return true;
        }
        let mut inner = self.inner();
        let fence = inner.fences.entry(key.to_owned()).or_default();
        *fence = token.max(*fence);
        *fence == token
    }
}
