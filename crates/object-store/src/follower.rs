//! Follows a prefix: one list, then one watch after another, through outages of the platform.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use model::ObjectVersion;
use tokio::time::{Instant, sleep_until};

use crate::{Change, Changes, ObjectStore, StoreError};

/// So many lists in a row, each followed by a lost history, are told of.
const LISTS_TOLD: u32 = 3;

/// How often and how long a follower calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerTimes {
    /// How long one watch waits. A watch that has gone stale is renewed after this time.
    pub watch_wait: Duration,
    /// The least time between the starts of two calls.
    pub call_interval_min: Duration,
    /// The first pause after a failure; it doubles with each further one.
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

/// Yields every object under a prefix and then every change, none twice and none older than one
/// that it has yielded. What was deleted while it could not watch is told by the next list. When the store has
/// come back from an older copy, all is yielded again, perhaps as it was before.
pub struct Follower {
    platform: Arc<dyn ObjectStore>,
    prefix: String,
    times: FollowerTimes,
    /// None until the first list has been answered.
    revision: Option<ObjectVersion>,
    /// Changes may have been missed: list before the next watch.
    lists: bool,
    /// The first list may show an older state: the watch that follows tells what is newer.
    aged_first: bool,
    /// The objects that there are, as far as it has yielded.
    known: BTreeSet<String>,
    /// Lists since a watch was last answered.
    lists_in_a_row: u32,
    pause: Duration,
    next_call: Option<Instant>,
    /// The last call was answered, as far as the log says.
    is_in_reach: bool,
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
            lists: true,
            aged_first: false,
            known: BTreeSet::new(),
            lists_in_a_row: 0,
            pause: times.retry_delay_min,
            next_call: None,
            is_in_reach: true,
        }
    }

    /// Begins with a list that may be seconds old, which some stores answer at a lower price.
    pub fn with_maybe_stale_first_list(self) -> Follower {
        Follower { aged_first: true, ..self }
    }

    /// The next changes; at first all objects, perhaps none. An error is for the log and the
    /// status: the next call goes on from where this one was, after a pause.
    pub async fn next(&mut self) -> Result<Vec<Change>, StoreError> {
        loop {
            if let Some(at) = self.next_call {
                sleep_until(at).await;
            }
            self.next_call = Some(Instant::now() + self.times.call_interval_min);
            let first = self.revision.is_none();
            let era = self.era();
            match self.call().await {
                Ok(changes) => {
                    self.pause = self.times.retry_delay_min;
                    let newer = self.advance(changes);
                    if first || era != self.era() || !newer.is_empty() {
                        return Ok(newer);
                    }
                }
                Err(error) => {
                    if matches!(error, StoreError::HistoryGone { .. }) {
                        self.history_is_gone();
                    }
                    self.next_call = Some(Instant::now() + self.pause);
                    self.pause = (self.pause * 2).min(self.times.retry_delay_max);
                    return Err(error);
                }
            }
        }
    }

    /// The next changes, however many calls fail before. `what` is followed, and begins a sentence: the log tells
    /// of the first failure in a row, and of its end.
    pub async fn next_with_retries(&mut self, what: &str) -> Vec<Change> {
        loop {
            match self.next().await {
                Ok(changes) => {
                    if !std::mem::replace(&mut self.is_in_reach, true) {
                        log::info!(target: "follower", "{what} can be read again.");
                    }
                    return changes;
                }
                Err(error) if std::mem::replace(&mut self.is_in_reach, false) => {
                    log::warn!(target: "follower", "{what} can't be read: {error}.");
                }
                Err(_) => {}
            }
        }
    }

    /// How often the store had come back from an older copy, by its last answer.
    pub fn era(&self) -> u64 {
        self.revision.unwrap_or_default().era()
    }

    async fn call(&self) -> Result<Changes, StoreError> {
        match self.revision.filter(|_| !self.lists) {
            None if self.aged_first && self.revision.is_none() => {
                self.platform.list_maybe_stale(&self.prefix).await
            }
            None => self.platform.list(&self.prefix).await,
            Some(after) => self.platform.watch(&self.prefix, after, self.times.watch_wait).await,
        }
    }

    fn history_is_gone(&mut self) {
        let after = self.revision.unwrap_or_default();
        let path = &self.prefix;
        match self.lists_in_a_row {
            0 => {
                log::info!(target: "follower", "{path}: the history after revision {after} is gone; listing anew.");
            }
            LISTS_TOLD => {
                log::warn!(target: "follower", "{path}: the history after revision {after} is gone again, after {LISTS_TOLD} lists in a row.");
            }
            _ => {}
        }
        self.lists = true;
    }

    /// An answer that was made before one that came earlier moves nothing back.
    fn advance(&mut self, changes: Changes) -> Vec<Change> {
        let listed = std::mem::take(&mut self.lists);
        let known = self.revision;
        self.note_list(listed, &changes);
        let is_later = known.is_none_or(|known| changes.revision > known);
        let gone = if listed && is_later { self.gone_from(&changes) } else { Vec::new() };
        let is_newer = |it: &Change| known.is_none_or(|known| it.version > known);
        let mut newer: Vec<Change> = changes.changes.into_iter().filter(is_newer).collect();
        newer.extend(gone);
        newer.sort_by_key(|it| it.version);
        for it in &newer {
            match it.body {
                Some(_) => self.known.insert(it.path.clone()),
                None => self.known.remove(&it.path),
            };
        }
        self.revision = Some(known.unwrap_or_default().max(changes.revision));
        newer
    }

    /// Tells of the first list in a row after the history has gone.
    fn note_list(&mut self, listed: bool, changes: &Changes) {
        let Some(known) = self.revision.filter(|_| listed) else {
            self.lists_in_a_row = 0;
            return;
        };
        if self.lists_in_a_row == 0 {
            let (path, found) = (&self.prefix, changes.changes.len());
            log::info!(target: "follower", "{path}: listed {found} objects at revision {}, known so far up to {known}.", changes.revision);
        }
        self.lists_in_a_row += 1;
    }

    /// What was there and is not in a list that is newer.
    fn gone_from(&self, list: &Changes) -> Vec<Change> {
        let listed: BTreeSet<&str> = list.changes.iter().map(|it| it.path.as_str()).collect();
        let gone = self.known.iter().filter(|it| !listed.contains(it.as_str()));
        let deleted =
            |path: &String| Change { path: path.clone(), version: list.revision, body: None };
        gone.map(deleted).collect()
    }
}
