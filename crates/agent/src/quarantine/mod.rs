//! Requests that end upstreams, as all agents together have seen it.
//!
//! The gate beside an upstream that has ended writes down what was at work, in an object of its own. Each agent
//! follows these objects by itself, for a harmful request may come to any ingress and be for any service; and what is
//! known outlives the agents.

#[cfg(test)]
mod tests;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use model::{Fingerprint, InstanceName, ObjectVersion};
use object_store::{Change, Follower, FollowerTimes, ObjectStore, StoreError};
use settings::{ENDS_PREFIX, EndRecord, EndsObject, ends_path};
use tokio::{sync::mpsc, time::sleep};
use traffic::{CrashId, Quarantine, QuarantineStatus};

/// Upstreams end rarely, so that most watches end without news. Word of an end is to be there before the request
/// is sent again, so the pauses after failures are short.
const FOLLOWER_TIMES: FollowerTimes = FollowerTimes {
    wait: Duration::from_secs(29),
    call_every_min: Duration::from_millis(10),
    pause: Duration::from_millis(100),
    pause_max: Duration::from_millis(1_000),
};
const WRITE_PAUSE: Duration = Duration::from_millis(50);
const WRITE_PAUSE_MAX: Duration = Duration::from_secs(1);
/// Ends that an instance keeps written down.
const ENDS_KEPT: usize = 16;
/// Requests of one end that are written down.
const REQUESTS_KEPT: usize = 256;

/// What this agent knows; shared by ingress and gate.
#[derive(Debug)]
pub(crate) struct SharedQuarantine {
    table: Mutex<Quarantine>,
    to_write: mpsc::UnboundedSender<ToWrite>,
}

/// Why there is something to write down.
#[derive(Debug)]
enum ToWrite {
    End(EndRecord),
    /// The store has come back from an older copy, in which some of it may be missing.
    AllAgain,
}

impl SharedQuarantine {
    /// Follows the store and writes to it, on the runtime that calls.
    pub(crate) fn start(store: Arc<dyn ObjectStore>, own: InstanceName) -> Arc<SharedQuarantine> {
        let (to_write, news) = mpsc::unbounded_channel();
        let quarantine = Arc::new(SharedQuarantine { table: Mutex::default(), to_write });
        let (path, known) = (ends_path(&own), None);
        let writer = Writer { store: Arc::clone(&store), path, known, kept: Vec::new() };
        tokio::spawn(writer.run(news));
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

    /// An upstream has answered the request.
    pub(crate) fn record_answer(&self, request: Fingerprint) {
        self.table().record_answer(request);
    }

    /// The upstream beside this agent has ended, with these requests at work.
    pub(crate) fn upstream_ended(&self, at_work: Vec<Fingerprint>) {
        let mut requests = self.table().exclude_answered(at_work);
        if requests.is_empty() {
            return;
        }
        if requests.len() > REQUESTS_KEPT {
            log::warn!(target: "quarantine", "{} requests were at work; {REQUESTS_KEPT} are written down.", requests.len());
            requests.truncate(REQUESTS_KEPT);
        }
        let end = EndRecord { id: rand::random(), requests };
        self.take(&end);
        self.write(ToWrite::End(end));
    }

    fn write(&self, what: ToWrite) {
        if self.to_write.send(what).is_err() {
            log::error!(target: "quarantine", "Nobody writes down any more what ends upstreams.");
        }
    }

    fn take(&self, end: &EndRecord) {
        let quarantined = self.table().record_crash(CrashId(end.id), &end.requests);
        for it in quarantined {
            log::warn!(target: "quarantine", "Request {it} is sent to no upstream any more: several have ended under it.");
        }
    }
}

async fn follow(store: Arc<dyn ObjectStore>, quarantine: std::sync::Weak<SharedQuarantine>) {
    let mut follower = Follower::new(store, ENDS_PREFIX, FOLLOWER_TIMES).from_an_aged_list();
    let mut era = None;
    loop {
        let changes = follower.next_after_failures("What ended upstreams").await;
        let Some(quarantine) = quarantine.upgrade() else { return };
        if era.replace(follower.era()).is_some_and(|it| it != follower.era()) {
            quarantine.write(ToWrite::AllAgain);
        }
        for end in changes.iter().filter_map(read).flat_map(|it| it.ends) {
            quarantine.take(&end);
        }
    }
}

fn read(change: &Change) -> Option<EndsObject> {
    let body = change.body.as_ref()?;
    let object = serde_json::from_slice(body);
    object
        .inspect_err(|error| {
            log::error!(target: "quarantine", "{} is passed over: {error}.", change.path);
        })
        .ok()
}

/// Writes the object of this instance. Nobody else does, but for earlier lives of this agent.
struct Writer {
    store: Arc<dyn ObjectStore>,
    path: String,
    /// None: it has to be read first.
    known: Option<(ObjectVersion, EndsObject)>,
    /// What the object is to hold, as far as this life of the agent knows.
    kept: Vec<EndRecord>,
}

impl Writer {
    async fn run(mut self, mut news: mpsc::UnboundedReceiver<ToWrite>) {
        while let Some(what) = news.recv().await {
            self.keep(what);
            let mut pause = WRITE_PAUSE;
            while let Err(error) = self.write().await {
                log::info!(target: "quarantine", "{error}; trying again.");
                self.known = None;
                sleep(pause).await;
                pause = (pause * 2).min(WRITE_PAUSE_MAX);
                // What has come meanwhile goes along.
                while let Ok(what) = news.try_recv() {
                    self.keep(what);
                }
            }
        }
    }

    fn keep(&mut self, what: ToWrite) {
        match what {
            ToWrite::End(end) => self.kept.push(end),
            ToWrite::AllAgain => self.known = None,
        }
        let surplus = self.kept.len().saturating_sub(ENDS_KEPT);
        self.kept.drain(..surplus);
    }

    async fn write(&mut self) -> Result<(), StoreError> {
        let (version, mut object) = match self.known.take() {
            Some(known) => known,
            None => self.read().await?,
        };
        let missing: Vec<EndRecord> =
            self.kept.iter().filter(|it| !object.ends.contains(it)).cloned().collect();
        if missing.is_empty() {
            self.known = Some((version, object));
            return Ok(());
        }
        object.ends.extend(missing);
        let surplus = object.ends.len().saturating_sub(ENDS_KEPT);
        object.ends.drain(..surplus);
        let body = serde_json::to_vec(&object).expect("a wire type has a JSON form");
        let version = self.store.update(&self.path, version, Bytes::from(body)).await?;
        self.kept.clone_from(&object.ends);
        self.known = Some((version, object));
        Ok(())
    }

    async fn read(&self) -> Result<(ObjectVersion, EndsObject), StoreError> {
        let Some(object) = self.store.read(&self.path).await? else {
            return Ok(Default::default());
        };
        let ends = serde_json::from_slice(&object.body).unwrap_or_else(|error| {
            log::error!(target: "quarantine", "{} is written anew: {error}.", self.path);
            EndsObject::default()
        });
        Ok((object.version, ends))
    }
}
