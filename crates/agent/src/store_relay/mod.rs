//! Shares watches of the object store between agents.
//!
//! If each agent watched the store itself, each change and each watch that ends without one would cost a call for each
//! agent, and the calls would grow with the deployment. Instead, one agent in [`READER_SPACING`] is a reader, which
//! watches the store; the others learn of changes from two readers. Whether an agent is a reader follows from its name
//! alone, so no two agents can disagree.
//!
//! A reader proves with each message that the store answers it. An agent without such a proof from any reader for
//! [`PROOF_MAX`](follower::PROOF_MAX) watches the store itself, as do all agents of a deployment without readers. Lists
//! always go to the store.

mod follower;
mod history;
mod reader;

#[cfg(test)]
mod tests;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use model::{Instance, InstanceName, ObjectVersion, Zone, key_hash};
use object_store::{
    CallCounts, Change, Changes, CountedStore, Object, ObjectStore, PROBE_PATH, StoreError,
    StoreResult, watch_with_check,
};
use settings::AgentSettings;
use tokio::{
    sync::{Notify, oneshot, watch},
    time::{Instant, MissedTickBehavior, interval, timeout},
};
use wire::exchange::{Envelope, StoreChange, StoreNews, StoreWatch};

use self::{
    follower::{Follower, WatchEnd},
    reader::Reader,
};

/// One agent in this many is a reader. Each of the others follows two readers, so a reader serves 30 on average.
const READER_SPACING: u64 = 16;
/// Largest number of readers that an agent considers.
const CANDIDATES_MAX: usize = 8;
/// The shortest allowed delay of a configuration with which agents may follow readers: the time for which an
/// unreachable reader is relied on, and the time of a call.
const CONFIG_DELAY_MIN: Duration = Duration::from_secs(3);
/// Time after the start of an agent within which its watches wait for the first reader.
const START_PERIOD: Duration = Duration::from_secs(30);
/// Longest wait of a watch for the first reader. Equal to the time for which an unreachable reader is relied on, so that
/// both delay a change by the same time at most.
const FIRST_READER_WAIT: Duration = follower::PROOF_MAX;
/// Time after the last answer of the store after which a reader asks for another one.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The relay of one agent, shared by control and the followers of store prefixes.
#[derive(Debug)]
pub(crate) struct Relay {
    name: InstanceName,
    zone: Zone,
    is_enabled: bool,
    is_reader: bool,
    started_at: Instant,
    state: Mutex<State>,
    /// Notified when there are messages to send before the next tick.
    has_messages: Notify,
    /// Set once a reader is relied on for the first time.
    has_had_reader: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct State {
    reader: Reader,
    follower: Follower,
}

impl Relay {
    pub(crate) fn new(settings: &AgentSettings) -> Arc<Relay> {
        Arc::new(Relay {
            name: settings.instance.clone(),
            zone: settings.zone.clone(),
            is_enabled: settings.config_delay_max >= CONFIG_DELAY_MIN,
            is_reader: is_reader(&settings.instance),
            state: Mutex::default(),
            has_messages: Notify::new(),
            started_at: Instant::now(),
            has_had_reader: watch::Sender::new(false),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the readers among the known instances.
    pub(crate) fn set_instances<'a>(&self, instances: impl Iterator<Item = &'a Instance>) {
        if !self.is_enabled || self.is_reader {
            return;
        }
        let mut readers: Vec<&Instance> = instances.filter(|it| is_reader(&it.name)).collect();
        // Readers of the own zone first, since bytes between zones cost; then in an order of this agent's own, so that
        // the agents spread over the readers.
        readers.sort_by_key(|it| {
            let pair = format!("{}/{}", self.name, it.name);
            (it.zone != self.zone, key_hash(pair.as_bytes()), it.incarnation.0)
        });
        readers.dedup();
        readers.truncate(CANDIDATES_MAX);
        self.state().follower.set_candidates(readers.into_iter().cloned().collect());
    }

    /// Waits until there are messages to send before the next tick.
    pub(crate) async fn wait_for_messages(&self) {
        self.has_messages.notified().await;
    }

    /// Returns the messages that are due.
    pub(crate) fn take_messages(&self) -> Vec<(Instance, Envelope)> {
        match (self.is_enabled, self.is_reader) {
            (false, _) => Vec::new(),
            (true, true) => self.state().reader.pending_news(Instant::now()),
            (true, false) => self.state().follower.tick(Instant::now()),
        }
    }

    /// Handles the watches of another agent and returns the answer.
    pub(crate) fn handle_watches(&self, from: &Instance, watches: Vec<StoreWatch>) -> Envelope {
        if !self.is_enabled || !self.is_reader {
            return Envelope::StoreWatchRefused;
        }
        self.state().reader.handle_watches(Instant::now(), from, watches)
    }

    pub(crate) fn handle_news(&self, from: &Instance, age_ms: u32, news: Vec<StoreNews>) {
        let age = Duration::from_millis(age_ms.into());
        let now = Instant::now();
        let mut state = self.state();
        state.follower.handle_news(now, from, age, news);
        if state.follower.has_reader(now) {
            self.has_had_reader.send_if_modified(|it| !std::mem::replace(it, true));
        }
    }

    /// Waits for the first reader of an agent that has started a short time ago: most agents know one soon, and a watch
    /// of the store that has begun before is paid for in full.
    async fn wait_for_first_reader(&self) {
        let is_starting = self.started_at.elapsed() < START_PERIOD;
        if self.is_enabled && !self.is_reader && is_starting {
            let mut has_had_reader = self.has_had_reader.subscribe();
            // After the time limit, the store is watched directly.
            drop(timeout(FIRST_READER_WAIT, has_had_reader.wait_for(|it| *it)).await);
        }
    }

    pub(crate) fn handle_refusal(&self, from: &Instance) {
        self.state().follower.handle_refusal(Instant::now(), from);
    }

    /// Records an answer of the store to a list or watch, and what it shows.
    fn record(&self, add: impl FnOnce(&mut Reader)) {
        if !self.is_enabled || !self.is_reader {
            return;
        }
        let mut state = self.state();
        state.reader.record_answer(Instant::now());
        add(&mut state.reader);
        self.has_messages.notify_one();
    }

    fn watch(&self, prefix: &str, after: ObjectVersion) -> Option<oneshot::Receiver<WatchEnd>> {
        let receiver = self.state().follower.watch(Instant::now(), prefix, after)?;
        self.has_messages.notify_one();
        Some(receiver)
    }

    /// Asks the store for an answer whenever none has proved for a while that it can be reached. Never returns.
    async fn probe(&self, store: Arc<dyn ObjectStore>) {
        let mut checks = interval(PROBE_INTERVAL / 2);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            checks.tick().await;
            let unproven = self.state().reader.unproven_for(Instant::now());
            if unproven.is_some_and(|it| it >= PROBE_INTERVAL) {
                match store.read_maybe_stale(PROBE_PATH).await {
                    Ok(_) => self.record(|_| ()),
                    Err(error) => {
                        log::debug!(target: "relay", "The store did not answer a probe: {error}.")
                    }
                }
            }
        }
    }
}

/// Returns whether an agent watches the store for others.
fn is_reader(name: &InstanceName) -> bool {
    key_hash(name.as_str().as_bytes()).0.is_multiple_of(READER_SPACING)
}

/// Wraps the stores of an agent whose calls are counted and whose watches are shared with other agents.
pub struct FollowedStores {
    calls: Arc<CallCounts>,
    relay: Arc<Relay>,
}

impl FollowedStores {
    pub(crate) fn new(calls: Arc<CallCounts>, relay: Arc<Relay>) -> FollowedStores {
        FollowedStores { calls, relay }
    }

    /// Wraps a store. Must be called on a runtime.
    pub fn wrap(&self, store: Arc<dyn ObjectStore>) -> Arc<dyn ObjectStore> {
        let inner: Arc<dyn ObjectStore> =
            Arc::new(CountedStore::new(store, Arc::clone(&self.calls)));
        Arc::new(RelayedStore { inner, relay: Arc::clone(&self.relay) })
    }

    /// Starts to probe a store, if this agent is a reader. Must be called on a runtime.
    pub fn start_probes(&self, store: Arc<dyn ObjectStore>) {
        if self.relay.is_enabled && self.relay.is_reader {
            let relay = Arc::clone(&self.relay);
            let store = Arc::new(CountedStore::new(store, Arc::clone(&self.calls)));
            tokio::spawn(async move { relay.probe(store).await });
        }
    }
}

/// [`ObjectStore`] whose watches are answered by readers if there are any.
struct RelayedStore {
    inner: Arc<dyn ObjectStore>,
    relay: Arc<Relay>,
}

impl RelayedStore {
    async fn list_with(
        &self,
        prefix: &str,
        list: StoreResult<'_, Changes>,
    ) -> Result<Changes, StoreError> {
        let result = list.await;
        if let Ok(list) = &result {
            self.relay.record(|it| it.add_list(prefix, list));
        }
        result
    }

    async fn watch_through_readers(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Option<Result<Changes, StoreError>> {
        self.relay.wait_for_first_reader().await;
        let receiver = self.relay.watch(prefix, after)?;
        match timeout(wait, receiver).await {
            Ok(Ok(WatchEnd::Changed(changes))) => Some(Ok(changes)),
            Ok(Ok(WatchEnd::HistoryGone)) => {
                Some(Err(StoreError::HistoryGone { step: format!("watch {prefix}") }))
            }
            Ok(Ok(WatchEnd::NoReader) | Err(_)) => None,
            Err(_) => {
                let unchanged_until = self.relay.state().follower.end_without_change(prefix);
                let revision = unchanged_until.unwrap_or(after);
                Some(Ok(Changes { revision, changes: Vec::new() }))
            }
        }
    }
}

impl ObjectStore for RelayedStore {
    fn read(&self, path: &str) -> StoreResult<'_, Option<Object>> {
        self.inner.read(path)
    }

    fn read_maybe_stale(&self, path: &str) -> StoreResult<'_, Option<Object>> {
        self.inner.read_maybe_stale(path)
    }

    fn update(
        &self,
        path: &str,
        expected: ObjectVersion,
        body: Bytes,
    ) -> StoreResult<'_, ObjectVersion> {
        self.inner.update(path, expected, body)
    }

    fn era(&self) -> u64 {
        self.inner.era()
    }

    fn list(&self, prefix: &str) -> StoreResult<'_, Changes> {
        let prefix = prefix.to_owned();
        Box::pin(async move { self.list_with(&prefix, self.inner.list(&prefix)).await })
    }

    fn list_maybe_stale(&self, prefix: &str) -> StoreResult<'_, Changes> {
        let prefix = prefix.to_owned();
        Box::pin(async move { self.list_with(&prefix, self.inner.list_maybe_stale(&prefix)).await })
    }

    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> StoreResult<'_, Changes> {
        let prefix = prefix.to_owned();
        Box::pin(async move {
            if let Some(result) = self.watch_through_readers(&prefix, after, wait).await {
                return result;
            }
            let result = watch_with_check(self.inner.as_ref(), &prefix, after, wait).await;
            if let Ok(answer) = &result {
                self.relay.record(|it| it.add_watch(&prefix, after, answer));
            }
            result
        })
    }
}

/// Converts a change for a message.
fn store_change(change: Change) -> StoreChange {
    StoreChange { path: change.path, version: change.version, body: change.body }
}

/// Converts a change from a message.
fn change(wire: StoreChange) -> Change {
    Change { path: wire.path, version: wire.version, body: wire.body }
}
