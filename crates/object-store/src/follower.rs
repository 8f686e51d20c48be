//! Follows the objects under a prefix with one list and consecutive watches, through outages of the platform.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use model::ObjectVersion;
use tokio::time::{Instant, sleep_until};

use crate::{Change, Changes, ObjectStore, StoreError};

/// Number of consecutive lists, each followed by a lost history, after which a warning is logged.
const LISTS_BEFORE_WARNING: u32 = 3;

/// Intervals and delays of a follower's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerTimes {
    /// Time that one watch waits for changes. A stalled watch is replaced after it.
    pub watch_wait: Duration,
    /// Least time between the starts of two calls.
    pub call_interval_min: Duration,
    /// Delay after a first failure; it doubles with each consecutive one, up to `retry_delay_max`.
    pub retry_delay_min: Duration,
    pub retry_delay_max: Duration,
}

impl Default for FollowerTimes {
    fn default() -> FollowerTimes {
        FollowerTimes {
            watch_wait: Duration::from_secs(20),
            call_interval_min: Duration::from_millis(100),
            retry_delay_min: Duration::from_millis(200),
            retry_delay_max: Duration::from_secs(5),
        }
    }
}

/// Source of all objects under a prefix and then of their changes, without duplicates and never with a version older
/// than one already yielded. Deletions that no watch reported are found by the next list. After a rollback of the
/// store, all objects are yielded again, possibly with older contents.
pub struct Follower {
    platform: Arc<dyn ObjectStore>,
    prefix: String,
    times: FollowerTimes,
    /// Latest revision received. It is `None` until the first list has been answered.
    revision: Option<ObjectVersion>,
    /// Whether changes may have been missed, so that the next call must be a list.
    needs_list: bool,
    /// Whether the first list may be stale; the watch after it returns the newer changes.
    allows_stale_list: bool,
    /// Paths of the objects that exist according to the changes yielded so far.
    known_paths: BTreeSet<String>,
    /// Lists since the last answered watch.
    consecutive_lists: u32,
    retry_delay: Duration,
    next_call_at: Option<Instant>,
    /// Whether the last call was answered, according to the last log line.
    is_reachable: bool,
}

impl Follower {
    pub fn new(
        platform: Arc<dyn ObjectStore>,
        prefix: impl Into<String>,
        times: FollowerTimes,
    ) -> Follower {
        Follower {
            platform,
            prefix: prefix.into(),
            times,
            revision: None,
            needs_list: true,
            allows_stale_list: false,
            known_paths: BTreeSet::new(),
            consecutive_lists: 0,
            retry_delay: times.retry_delay_min,
            next_call_at: None,
            is_reachable: true,
        }
    }

    /// Starts with a list that may be seconds old, which some stores answer at a lower cost.
    pub fn with_maybe_stale_first_list(self) -> Follower {
        Follower { allows_stale_list: true, ..self }
    }

    /// Returns the next changes; the first time all objects, possibly none. An error is meant for the log and the
    /// status only: after the retry delay, the next call is a list, and no change is lost.
    pub async fn next(&mut self) -> Result<Vec<Change>, StoreError> {
        loop {
            if let Some(at) = self.next_call_at {
                sleep_until(at).await;
            }
            self.next_call_at = Some(Instant::now() + self.times.call_interval_min);
            let is_first = self.revision.is_none();
            let era = self.era();
            match self.call().await {
                Ok(changes) => {
                    self.retry_delay = self.times.retry_delay_min;
                    let newer = self.advance(changes);
                    if is_first || era != self.era() || !newer.is_empty() {
                        return Ok(newer);
                    }
                }
                Err(error) => {
                    if matches!(error, StoreError::HistoryGone { .. }) {
                        self.handle_lost_history();
                    }
                    // A watch that begins while the store is silent may never be answered, and would take its whole
                    // wait time to fail. A list fails within the time limit of a call.
                    self.needs_list = true;
                    self.next_call_at = Some(Instant::now() + self.retry_delay);
                    self.retry_delay = (self.retry_delay * 2).min(self.times.retry_delay_max);
                    return Err(error);
                }
            }
        }
    }

    /// Returns the next changes, retrying failed calls. Logs the first of consecutive failures and the recovery, in
    /// sentences that start with `subject`.
    pub async fn next_with_retries(&mut self, subject: &str) -> Vec<Change> {
        loop {
            match self.next().await {
                Ok(changes) => {
                    if !std::mem::replace(&mut self.is_reachable, true) {
                        log::info!(target: "follower", "{subject} can be read again.");
                    }
                    return changes;
                }
                // The next call is a list, which shows whether the store can be reached.
                Err(StoreError::HistoryGone { .. }) => {}
                Err(error) if std::mem::replace(&mut self.is_reachable, false) => {
                    log::warn!(target: "follower", "{subject} can't be read, retrying: {error}.");
                }
                Err(_) => {}
            }
        }
    }

    /// Number of rollbacks of the store, according to its last answer.
    pub fn era(&self) -> u64 {
        self.revision.unwrap_or_default().era()
    }

    async fn call(&self) -> Result<Changes, StoreError> {
        match self.revision.filter(|_| !self.needs_list) {
            None if self.allows_stale_list && self.revision.is_none() => {
                self.platform.list_maybe_stale(&self.prefix).await
            }
            None => self.platform.list(&self.prefix).await,
            Some(after) => self.platform.watch(&self.prefix, after, self.times.watch_wait).await,
        }
    }

    fn handle_lost_history(&mut self) {
        let after = self.revision.unwrap_or_default();
        let path = &self.prefix;
        match self.consecutive_lists {
            0 => {
                log::info!(target: "follower", "{path}: the history after revision {after} has been dropped; listing all objects.");
            }
            LISTS_BEFORE_WARNING => {
                log::warn!(target: "follower", "{path}: the history after revision {after} has been dropped again after {LISTS_BEFORE_WARNING} consecutive lists; listing all objects.");
            }
            _ => {}
        }
        self.needs_list = true;
    }

    /// Applies an answer and returns its changes above the known revision. A delayed answer, which shows an older
    /// state than one received before, reverts nothing.
    fn advance(&mut self, changes: Changes) -> Vec<Change> {
        let is_list = std::mem::take(&mut self.needs_list);
        let known = self.revision;
        self.record_list(is_list, &changes);
        let is_later = known.is_none_or(|known| changes.revision > known);
        let deleted = if is_list && is_later { self.missing_from(&changes) } else { Vec::new() };
        let is_newer = |it: &Change| known.is_none_or(|known| it.version > known);
        let mut newer: Vec<Change> = changes.changes.into_iter().filter(is_newer).collect();
        newer.extend(deleted);
        newer.sort_by_key(|it| it.version);
        for it in &newer {
            match it.body {
                Some(_) => self.known_paths.insert(it.path.clone()),
                None => self.known_paths.remove(&it.path),
            };
        }
        self.revision = Some(known.unwrap_or_default().max(changes.revision));
        newer
    }

    /// Counts consecutive lists and logs the first one after a lost history.
    fn record_list(&mut self, is_list: bool, changes: &Changes) {
        let Some(known) = self.revision.filter(|_| is_list) else {
            self.consecutive_lists = 0;
            return;
        };
        if self.consecutive_lists == 0 {
            let (path, found) = (&self.prefix, changes.changes.len());
            log::info!(target: "follower", "{path}: listed {found} objects at revision {}; the last known revision was {known}.", changes.revision);
        }
        self.consecutive_lists += 1;
    }

    /// Returns a deletion for each known object that a newer list does not contain.
    fn missing_from(&self, list: &Changes) -> Vec<Change> {
        let listed: BTreeSet<&str> = list.changes.iter().map(|it| it.path.as_str()).collect();
        let missing = self.known_paths.iter().filter(|it| !listed.contains(it.as_str()));
        let deleted =
            |path: &String| Change { path: path.clone(), version: list.revision, body: None };
        missing.map(deleted).collect()
    }
}
