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
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};
use traffic::{EndId, Quarantine, Standing};

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
    ends: mpsc::UnboundedSender<EndRecord>,
}

impl SharedQuarantine {
    /// Follows the store and writes to it, on the runtime that calls.
    pub(crate) fn start(store: Arc<dyn ObjectStore>, own: InstanceName) -> Arc<SharedQuarantine> {
        let (ends, written) = mpsc::unbounded_channel();
        let quarantine = Arc::new(SharedQuarantine { table: Mutex::default(), ends });
        let writer = Writer { store: Arc::clone(&store), path: ends_path(&own), known: None };
        tokio::spawn(writer.run(written));
        tokio::spawn(follow(store, Arc::downgrade(&quarantine)));
        quarantine
    }

    fn table(&self) -> MutexGuard<'_, Quarantine> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn standing(&self, request: Fingerprint) -> Standing {
        self.table().standing(request)
    }

    pub(crate) fn is_quarantined(&self, request: Fingerprint) -> bool {
        self.standing(request) == Standing::Quarantined
    }

    /// An upstream has answered the request.
    pub(crate) fn answered(&self, request: Fingerprint) {
        self.table().answered(request);
    }

    /// The upstream beside this agent has ended, with these requests at work.
    pub(crate) fn upstream_ended(&self, at_work: Vec<Fingerprint>) {
        let mut requests = self.table().uncleared(at_work);
        if requests.is_empty() {
            return;
        }
        if requests.len() > REQUESTS_KEPT {
            log::warn!(target: "quarantine", "{} requests were at work; {REQUESTS_KEPT} are written down.", requests.len());
            requests.truncate(REQUESTS_KEPT);
        }
        let end = EndRecord { id: rand::random(), requests };
        self.take(&end);
        if self.ends.send(end).is_err() {
            log::error!(target: "quarantine", "Nobody writes down any more what ends upstreams.");
        }
    }

    fn take(&self, end: &EndRecord) {
        let quarantined = self.table().ended(EndId(end.id), &end.requests);
        for it in quarantined {
            log::warn!(target: "quarantine", "Request {it} is sent to no upstream any more: several have ended under it.");
        }
    }
}

async fn follow(store: Arc<dyn ObjectStore>, quarantine: std::sync::Weak<SharedQuarantine>) {
    let mut follower = Follower::new(store, ENDS_PREFIX, FOLLOWER_TIMES).from_an_aged_list();
    loop {
        let changes = follower.next_after_failures("What ended upstreams").await;
        let Some(quarantine) = quarantine.upgrade() else { return };
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
}

impl Writer {
    async fn run(mut self, mut ends: mpsc::UnboundedReceiver<EndRecord>) {
        while let Some(end) = ends.recv().await {
            let mut news = vec![end];
            let mut pause = WRITE_PAUSE;
            while let Err(error) = self.write(&news).await {
                log::info!(target: "quarantine", "{error}; trying again.");
                self.known = None;
                // More may come meanwhile.
                if let Ok(Some(end)) = timeout(pause, ends.recv()).await {
                    news.push(end);
                    sleep(WRITE_PAUSE).await;
                }
                pause = (pause * 2).min(WRITE_PAUSE_MAX);
            }
        }
    }

    async fn write(&mut self, news: &[EndRecord]) -> Result<(), StoreError> {
        let (version, mut object) = match self.known.take() {
            Some(known) => known,
            None => self.read().await?,
        };
        for end in news {
            if !object.ends.contains(end) {
                object.ends.push(end.clone());
            }
        }
        let surplus = object.ends.len().saturating_sub(ENDS_KEPT);
        object.ends.drain(..surplus);
        let body = serde_json::to_vec(&object).expect("a wire type has a JSON form");
        let version = self.store.update(&self.path, version, Bytes::from(body)).await?;
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
