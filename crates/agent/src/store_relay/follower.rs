//! The side of a relay that learns of changes from other agents.

use std::{collections::BTreeMap, time::Duration};

use model::{Instance, ObjectVersion};
use object_store::{Change, Changes};
use tokio::{sync::oneshot, time::Instant};
use wire::exchange::{Envelope, StoreNews, StoreWatch};

use super::change;

/// Number of readers that are followed at the same time, so that the loss of one delays nothing.
const READERS_FOLLOWED: usize = 2;
/// Interval at which a reader is asked, also while nothing is watched.
const ASK_INTERVAL: Duration = Duration::from_millis(700);
/// Time since its store last answered for which a reader is relied on. It bounds how much later a change is known
/// than by a watch of the store.
pub(super) const PROOF_MAX: Duration = Duration::from_secs(2);
/// Time for which a reader that has refused or is not relied on is not followed.
const AVOID_TIME: Duration = Duration::from_secs(5);

/// The end of a watch.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum WatchEnd {
    Changed(Changes),
    /// The changes are no longer known, so that the objects have to be listed.
    HistoryGone,
    /// No reader can be relied on.
    NoReader,
}

/// The readers that this agent follows and its watches.
#[derive(Debug, Default)]
pub(super) struct Follower {
    /// All readers, the preferred ones first.
    candidates: Vec<Instance>,
    followed: Vec<FollowedReader>,
    avoided: Vec<(Instance, Instant)>,
    watches: BTreeMap<String, Watch>,
}

#[derive(Debug)]
struct FollowedReader {
    instance: Instance,
    followed_since: Instant,
    /// Until when it is relied on; `None` until it has proved that its store answers.
    reliable_until: Option<Instant>,
    asked_at: Option<Instant>,
}

impl FollowedReader {
    fn is_reliable(&self, now: Instant) -> bool {
        self.reliable_until.is_some_and(|until| until > now)
    }
}

#[derive(Debug)]
struct Watch {
    after: ObjectVersion,
    end: oneshot::Sender<WatchEnd>,
}

impl Follower {
    pub(super) fn set_candidates(&mut self, candidates: Vec<Instance>) {
        self.followed.retain(|it| candidates.contains(&it.instance));
        self.candidates = candidates;
    }

    /// Begins a watch, which replaces an earlier one of the same prefix. Returns `None` if no reader can be relied on.
    pub(super) fn watch(
        &mut self,
        now: Instant,
        prefix: &str,
        after: ObjectVersion,
    ) -> Option<oneshot::Receiver<WatchEnd>> {
        if !self.has_reader(now) {
            return None;
        }
        let (end, receiver) = oneshot::channel();
        self.watches.insert(prefix.to_owned(), Watch { after, end });
        self.followed.iter_mut().for_each(|it| it.asked_at = None);
        Some(receiver)
    }

    /// Handles the news of a reader whose store last answered `age` ago.
    pub(super) fn handle_news(
        &mut self,
        now: Instant,
        from: &Instance,
        age: Duration,
        all_news: Vec<StoreNews>,
    ) {
        let Some(reader) = self.followed.iter_mut().find(|it| it.instance == *from) else { return };
        if let Some(left) = PROOF_MAX.checked_sub(age) {
            reader.reliable_until = reader.reliable_until.max(Some(now + left));
        }
        for news in all_news {
            self.apply(now, from, news);
        }
    }

    /// Ends the watch that the news are for, or advances it if there are no changes.
    fn apply(&mut self, now: Instant, from: &Instance, news: StoreNews) {
        let Some(watch) = self.watches.get_mut(&news.prefix) else { return };
        let changes = news.changes.map(|it| it.into_iter().map(change).collect::<Vec<Change>>());
        let is_other_reliable =
            self.followed.iter().any(|it| it.instance != *from && it.is_reliable(now));
        let end = match changes {
            // Such a reader has not seen the latest rollback of the store yet.
            _ if news.revision.era() < watch.after.era() => return,
            Some(changes) if changes.iter().any(|it| it.version > watch.after) => {
                WatchEnd::Changed(Changes { revision: news.revision, changes })
            }
            Some(_) => {
                watch.after = watch.after.max(news.revision);
                return;
            }
            // A reader that has started a short time ago knows less than the other one.
            None if is_other_reliable && news.revision.era() == watch.after.era() => {
                return self.avoid(now, |it| it.instance == *from);
            }
            None => WatchEnd::HistoryGone,
        };
        if let Some(watch) = self.watches.remove(&news.prefix) {
            // The receiver is gone if the watch has ended by its time limit.
            _ = watch.end.send(end);
        }
    }

    /// Ends a watch whose time limit has passed, and returns the revision up to which there were no changes.
    pub(super) fn end_without_change(&mut self, prefix: &str) -> Option<ObjectVersion> {
        self.watches.remove(prefix).map(|it| it.after)
    }

    pub(super) fn handle_refusal(&mut self, now: Instant, from: &Instance) {
        self.avoid(now, |it| it.instance == *from);
    }

    /// Replaces readers that can't be relied on, ends all watches if there is none left, and returns the messages that
    /// are due.
    pub(super) fn tick(&mut self, now: Instant) -> Vec<(Instance, Envelope)> {
        self.avoided.retain(|(_, since)| now - *since < AVOID_TIME);
        self.avoid(now, |it| match it.reliable_until {
            Some(until) => until <= now,
            None => now - it.followed_since > PROOF_MAX,
        });
        self.follow_more(now);
        if !self.has_reader(now) {
            for (_, watch) in std::mem::take(&mut self.watches) {
                _ = watch.end.send(WatchEnd::NoReader);
            }
        }
        self.watches.retain(|_, it| !it.end.is_closed());
        let watch = |(prefix, it): (&String, &Watch)| StoreWatch {
            prefix: prefix.clone(),
            after: it.after,
        };
        let watches: Vec<StoreWatch> = self.watches.iter().map(watch).collect();
        let mut messages = Vec::new();
        for reader in &mut self.followed {
            if reader.asked_at.is_none_or(|it| now - it >= ASK_INTERVAL) {
                reader.asked_at = Some(now);
                let message = Envelope::WatchStore { watches: watches.clone() };
                messages.push((reader.instance.clone(), message));
            }
        }
        messages
    }

    /// Returns whether any reader can be relied on.
    pub(super) fn has_reader(&self, now: Instant) -> bool {
        self.followed.iter().any(|it| it.is_reliable(now))
    }

    fn avoid(&mut self, now: Instant, is_avoided: impl Fn(&FollowedReader) -> bool) {
        for reader in self.followed.extract_if(.., |it| is_avoided(it)) {
            self.avoided.push((reader.instance, now));
        }
    }

    fn follow_more(&mut self, now: Instant) {
        for candidate in &self.candidates {
            let is_followed = self.followed.iter().any(|it| it.instance == *candidate);
            let is_avoided = self.avoided.iter().any(|(it, _)| it == candidate);
            if self.followed.len() >= READERS_FOLLOWED {
                return;
            }
            if !is_followed && !is_avoided {
                self.followed.push(FollowedReader {
                    instance: candidate.clone(),
                    followed_since: now,
                    reliable_until: None,
                    asked_at: None,
                });
            }
        }
    }
}
