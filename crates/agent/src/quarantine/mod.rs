//! Requests on which upstreams crash, as observed by all agents together.
//!
//! The gate beside a crashed upstream records the requests that were in flight in an object of its
//! own. Each agent follows these objects by itself, since a harmful request may arrive at any
//! ingress and for any service, and the records outlive the agents.

#[cfg(test)]
mod tests;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use model::{Fingerprint, InstanceName, ObjectVersion};
use object_store::{Change, Follower, FollowerTimes, ObjectStore, StoreError};
use settings::{CRASHES_PREFIX, CrashRecord, CrashesObject, crashes_path};
use tokio::{sync::mpsc, time::sleep};
use traffic::{CrashId, Quarantine, QuarantineStatus};

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

/// The quarantine as known to this agent; shared by ingress and gate.
#[derive(Debug)]
pub(crate) struct SharedQuarantine {
    table: Mutex<Quarantine>,
    pending_writes: mpsc::UnboundedSender<PendingWrite>,
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
        let quarantine = Arc::new(SharedQuarantine { table: Mutex::default(), pending_writes });
        let (path, stored) = (crashes_path(&own), None);
        let writer = Writer { store: Arc::clone(&store), path, stored, crashes: Vec::new() };
        tokio::spawn(writer.run(writes));
        tokio::spawn(follow(store, Arc::downgrade(&quarantine)));
        quarantine
    }

    fn table(&self) -> MutexGuard<'_, Quarantine> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn status(&self, request: Fingerprint) -> QuarantineStatus {
        self.table().status(request)
    }

    pub(crate) fn is_quarantined(&self, request: Fingerprint) -> bool {
        self.status(request) == QuarantineStatus::Quarantined
    }

    /// Clears a request that an upstream has answered.
    pub(crate) fn record_answer(&self, request: Fingerprint) {
        self.table().record_answer(request);
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

    fn request_write(&self, write: PendingWrite) {
        if self.pending_writes.send(write).is_err() {
            log::error!(target: "quarantine", "The task that writes crash records has stopped; new crashes are not shared with other agents.");
        }
    }

    fn apply(&self, crash: &CrashRecord) {
        let quarantined = self.table().record_crash(CrashId(crash.id), &crash.requests);
        for it in quarantined {
            log::warn!(target: "quarantine", "Request {it} is quarantined: several upstreams crashed while running it.");
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
        }
        for crash in changes.iter().filter_map(read).flat_map(|it| it.crashes) {
            quarantine.apply(&crash);
        }
    }
}

fn read(change: &Change) -> Option<CrashesObject> {
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
