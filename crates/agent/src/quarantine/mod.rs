//! Requests on which upstreams crash, as observed by all agents together.
//!
//! The gate beside a crashed upstream records the requests that were in flight in an object of its
//! own. Each agent follows these objects by itself, since a harmful request may arrive at any
//! ingress and for any service, and the records outlive the agents. Answers to requests that were
//! in flight in crashes are shared in the same way.

#[cfg(test)]
mod tests;
#[cfg(test)]
mod trial_tests;
mod trials;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use model::{Fingerprint, InstanceName, ObjectVersion};
use object_store::{Change, Follower, FollowerTimes, ObjectStore, StoreError};
use serde::de::DeserializeOwned;
use settings::{
    CRASHES_PREFIX, CrashRecord, CrashesObject, TRIALS_PATH, TrialEntry, TrialsObject, crashes_path,
};
use tokio::{sync::mpsc, time::sleep};
use traffic::{CrashId, Quarantine, QuarantineStatus};

pub(crate) use self::trials::Trial;
use self::trials::{KnownTrials, Stage};

/// Times of the follower of crash records. Crashes are rare, so most watches return nothing; they
/// are as long as the history of the store allows without a list after each. A crash must be known to all agents before the request is sent again, so delays after failures are
/// short.
const FOLLOWER_TIMES: FollowerTimes = FollowerTimes {
    watch_wait: Duration::from_secs(18),
    call_interval_min: Duration::from_millis(10),
    retry_delay_min: Duration::from_millis(100),
    retry_delay_max: Duration::from_millis(1_000),
};
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);
const WRITE_RETRY_DELAY_MAX: Duration = Duration::from_secs(1);
/// Number of crashes that the object of an instance keeps.
const CRASHES_KEPT: usize = 16;
/// Number of requests that the record of one crash keeps.
const REQUESTS_PER_CRASH_MAX: usize = 256;
/// Longest time for which an answer waits for others before it is shared. Drawn at random, so that
/// of many agents that see an answer few write it.
const TRIAL_WRITE_DELAY_MAX: Duration = Duration::from_millis(200);
/// Number of requests with known trials from which on those that are no longer suspects are
/// removed.
const KNOWN_TRIALS_MAX: usize = 16 << 10;

/// The quarantine as known to this agent; shared by ingress and gate.
pub(crate) struct SharedQuarantine {
    table: Mutex<Quarantine>,
    known_trials: Mutex<KnownTrials>,
    store: Arc<dyn ObjectStore>,
    pending_writes: mpsc::UnboundedSender<PendingWrite>,
    pending_trial_writes: mpsc::UnboundedSender<TrialWrite>,
}

/// Reason for a write to the object that all agents share.
#[derive(Debug)]
enum TrialWrite {
    Answered(Fingerprint),
    /// A trial ended without counting against the request.
    Refund {
        request: Fingerprint,
        claim_id: String,
    },
    StoreRolledBack,
}

/// Reason for a write to the object of this instance.
#[derive(Debug)]
enum PendingWrite {
    Crash(CrashRecord),
    /// The store was rolled back (restored from an older snapshot), which may lack some of the
    /// crashes.
    StoreRolledBack,
}

impl SharedQuarantine {
    /// Spawns the tasks that follow the store and write to it, on the current runtime.
    pub(crate) fn start(store: Arc<dyn ObjectStore>, own: InstanceName) -> Arc<SharedQuarantine> {
        let (pending_writes, writes) = mpsc::unbounded_channel();
        let (pending_trial_writes, trial_writes) = mpsc::unbounded_channel();
        let quarantine = Arc::new(SharedQuarantine {
            table: Mutex::default(),
            known_trials: Mutex::default(),
            store: Arc::clone(&store),
            pending_writes,
            pending_trial_writes,
        });
        let (path, stored) = (crashes_path(&own), None);
        let writer = Writer { store: Arc::clone(&store), path, stored, crashes: Vec::new() };
        tokio::spawn(writer.run(writes));
        tokio::spawn(write_trials(Arc::downgrade(&quarantine), trial_writes));
        tokio::spawn(follow(store, Arc::downgrade(&quarantine)));
        quarantine
    }

    fn table(&self) -> MutexGuard<'_, Quarantine> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn known_trials(&self) -> MutexGuard<'_, KnownTrials> {
        self.known_trials.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn status(&self, request: Fingerprint) -> QuarantineStatus {
        self.table().status(request)
    }

    pub(crate) fn is_quarantined(&self, request: Fingerprint) -> bool {
        self.status(request) == QuarantineStatus::Quarantined
    }

    /// Returns whether ingress refuses a request. A quarantined request is passed on from time to
    /// time while it may be tried; the gate decides whether it is.
    pub(crate) fn refuses_at_ingress(&self, request: Fingerprint) -> bool {
        self.is_quarantined(request) && !self.known_trials().begin_attempt(request, Stage::Ingress)
    }

    /// Returns whether the gate may claim a trial of a quarantined request now.
    pub(crate) fn may_claim_trial(&self, request: Fingerprint) -> bool {
        self.known_trials().begin_attempt(request, Stage::Gate)
    }

    /// Clears a request that an upstream has answered. The gate beside the upstream shares the
    /// answer.
    pub(crate) fn record_answer(&self, request: Fingerprint) {
        self.table().record_answer(request);
    }

    /// Clears a request that the upstream beside this agent has answered, here and at all agents.
    pub(crate) fn share_answer(&self, request: Fingerprint) {
        let mut table = self.table();
        let awaits_answer = table.awaits_answer(request);
        table.record_answer(request);
        drop(table);
        if awaits_answer {
            self.request_trial_write(TrialWrite::Answered(request));
        }
    }

    /// Records a crash of the upstream beside this agent with these requests in flight.
    pub(crate) fn record_crash(&self, in_flight: Vec<Fingerprint>) {
        let mut requests = self.table().exclude_answered(in_flight);
        if requests.is_empty() {
            return;
        }
        if requests.len() > REQUESTS_PER_CRASH_MAX {
            log::warn!(target: "quarantine", "The upstream crashed with {} requests in flight; only {REQUESTS_PER_CRASH_MAX} of them are recorded.", requests.len());
            requests.truncate(REQUESTS_PER_CRASH_MAX);
        }
        let crash = CrashRecord { id: rand::random(), requests };
        self.apply(&crash);
        self.request_write(PendingWrite::Crash(crash));
    }

    fn is_answer_shared(&self, request: Fingerprint) -> bool {
        self.known_trials().counts(request).is_answered
    }

    fn request_trial_write(&self, write: TrialWrite) {
        if self.pending_trial_writes.send(write).is_err() {
            log::error!(target: "quarantine", "The task that writes trials has stopped; other agents do not learn of answers.");
        }
    }

    fn request_write(&self, write: PendingWrite) {
        if self.pending_writes.send(write).is_err() {
            log::error!(target: "quarantine", "The task that writes crash records has stopped; new crashes are not shared with other agents.");
        }
    }

    fn apply(&self, crash: &CrashRecord) {
        let (mut table, mut known) = (self.table(), self.known_trials());
        for it in crash.requests.iter().filter(|it| known.counts(**it).is_answered) {
            // The table keeps only the latest answers.
            table.record_answer(*it);
        }
        let is_new = |it: &Fingerprint| table.is_new(CrashId(crash.id), *it);
        let mut new: Vec<Fingerprint> = crash.requests.iter().copied().filter(is_new).collect();
        let quarantined = table.record_crash(CrashId(crash.id), &crash.requests);
        new.retain(|it| table.crash_count(*it) > 0);
        known.record_crash(&new);
        if known.len() > KNOWN_TRIALS_MAX {
            known.retain(|it| table.crash_count(it) > 0);
        }
        drop((known, table));
        for it in quarantined {
            log::warn!(target: "quarantine", "Request {it} is quarantined: several upstreams crashed while running it.");
        }
    }

    /// Takes over what the store states of one request.
    fn apply_trials(&self, entry: &TrialEntry) {
        if entry.answered {
            let mut table = self.table();
            if table.awaits_answer(entry.request) {
                log::info!(target: "quarantine", "Request {} is no longer suspect: an upstream has answered it.", entry.request);
            }
            table.record_answer(entry.request);
        }
        let mut known = self.known_trials();
        let could_be_tried = known.counts(entry.request).allows_trial();
        known.apply(entry);
        if could_be_tried && !entry.answered && !known.counts(entry.request).allows_trial() {
            log::warn!(target: "quarantine", "Request {} has used its trials; it stays quarantined after the last one, unless that is answered.", entry.request);
        }
    }
}

async fn follow(store: Arc<dyn ObjectStore>, quarantine: std::sync::Weak<SharedQuarantine>) {
    let mut follower =
        Follower::new(store, CRASHES_PREFIX, FOLLOWER_TIMES).with_maybe_stale_first_list();
    let mut era = None;
    loop {
        let changes = follower.next_with_retries("Crash records").await;
        let Some(quarantine) = quarantine.upgrade() else { return };
        if era.replace(follower.era()).is_some_and(|it| it != follower.era()) {
            quarantine.request_write(PendingWrite::StoreRolledBack);
            quarantine.request_trial_write(TrialWrite::StoreRolledBack);
        }
        let (trials, crashes): (Vec<_>, Vec<_>) =
            changes.iter().partition(|it| it.path == TRIALS_PATH);
        // Answers first: requests that they clear do not become suspects.
        for entry in trials.into_iter().filter_map(read::<TrialsObject>).flat_map(|it| it.requests)
        {
            quarantine.apply_trials(&entry);
        }
        for crash in crashes.into_iter().filter_map(read::<CrashesObject>).flat_map(|it| it.crashes)
        {
            quarantine.apply(&crash);
        }
    }
}

/// Writes answers and the ends of trials to the object that all agents share.
async fn write_trials(
    quarantine: std::sync::Weak<SharedQuarantine>,
    mut writes: mpsc::UnboundedReceiver<TrialWrite>,
) {
    while let Some(first) = writes.recv().await {
        sleep(TRIAL_WRITE_DELAY_MAX.mul_f64(rand::random())).await;
        let Some(quarantine) = quarantine.upgrade() else { return };
        let mut answered = Vec::new();
        let mut next = Some(first);
        while let Some(write) = next {
            match write {
                // Another agent may have shared the answer during the delay.
                TrialWrite::Answered(it) if quarantine.is_answer_shared(it) => {}
                TrialWrite::Answered(it) => answered.push(it),
                TrialWrite::Refund { request, claim_id } => {
                    quarantine.refund(request, &claim_id).await;
                }
                TrialWrite::StoreRolledBack => quarantine.restore_trials().await,
            }
            next = writes.try_recv().ok();
        }
        if !answered.is_empty() {
            quarantine.share_answers(&answered).await;
        }
    }
}

fn read<T: DeserializeOwned>(change: &Change) -> Option<T> {
    let body = change.body.as_ref()?;
    let object = serde_json::from_slice(body);
    object
        .inspect_err(|error| {
            log::error!(target: "quarantine", "Skipped {}, which is not a valid crash record: {error}.", change.path);
        })
        .ok()
}

/// Writer of the object of this instance. The only other writers of that object are earlier
/// incarnations of this agent.
struct Writer {
    store: Arc<dyn ObjectStore>,
    path: String,
    /// The object as last read or written, with its version; `None` if it has to be read first.
    stored: Option<(ObjectVersion, CrashesObject)>,
    /// The crashes that the object should contain, as far as this incarnation of the agent knows.
    crashes: Vec<CrashRecord>,
}

impl Writer {
    async fn run(mut self, mut writes: mpsc::UnboundedReceiver<PendingWrite>) {
        while let Some(write) = writes.recv().await {
            self.add(write);
            let mut delay = WRITE_RETRY_DELAY;
            while let Err(error) = self.write().await {
                log::info!(target: "quarantine", "Writing crash records failed: {error}; retrying.");
                self.stored = None;
                sleep(delay).await;
                delay = (delay * 2).min(WRITE_RETRY_DELAY_MAX);
                // Includes crashes that were reported in the meantime.
                while let Ok(write) = writes.try_recv() {
                    self.add(write);
                }
            }
        }
    }

    fn add(&mut self, write: PendingWrite) {
        match write {
            PendingWrite::Crash(crash) => self.crashes.push(crash),
            PendingWrite::StoreRolledBack => self.stored = None,
        }
        let surplus = self.crashes.len().saturating_sub(CRASHES_KEPT);
        self.crashes.drain(..surplus);
    }

    async fn write(&mut self) -> Result<(), StoreError> {
        let (version, mut object) = match self.stored.take() {
            Some(stored) => stored,
            None => self.read().await?,
        };
        let missing: Vec<CrashRecord> =
            self.crashes.iter().filter(|it| !object.crashes.contains(it)).cloned().collect();
        if missing.is_empty() {
            self.stored = Some((version, object));
            return Ok(());
        }
        object.crashes.extend(missing);
        let surplus = object.crashes.len().saturating_sub(CRASHES_KEPT);
        object.crashes.drain(..surplus);
        let body = serde_json::to_vec(&object).expect("crash records must serialize to JSON");
        let version = self.store.update(&self.path, version, Bytes::from(body)).await?;
        self.crashes.clone_from(&object.crashes);
        self.stored = Some((version, object));
        Ok(())
    }

    async fn read(&self) -> Result<(ObjectVersion, CrashesObject), StoreError> {
        let Some(object) = self.store.read(&self.path).await? else {
            return Ok(Default::default());
        };
        let ends = serde_json::from_slice(&object.body).unwrap_or_else(|error| {
            log::error!(target: "quarantine", "Replacing {}, which is not a valid crash record: {error}.", self.path);
            CrashesObject::default()
        });
        Ok((object.version, ends))
    }
}
