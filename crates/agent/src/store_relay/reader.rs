//! The side of a relay that watches the store for other agents.

use std::{collections::BTreeMap, time::Duration};

use model::{Instance, InstanceName, ObjectVersion};
use object_store::Changes;
use tokio::time::Instant;
use wire::exchange::{Envelope, StoreNews, StoreWatch};

use super::{history::History, store_change};

/// Largest number of agents that are served.
const FOLLOWERS_MAX: usize = 64;
/// Time after which an agent that has not asked again is no longer served.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(3);

/// The changes that this agent has seen in the store, and the agents that follow it.
#[derive(Debug, Default)]
pub(super) struct Reader {
    histories: BTreeMap<String, History>,
    /// When the store last answered any call.
    answered_at: Option<Instant>,
    followers: BTreeMap<InstanceName, FollowerRow>,
    /// Whether a list or watch has been answered since news were last sent to the followers.
    has_changed: bool,
}

#[derive(Debug)]
struct FollowerRow {
    instance: Instance,
    watches: Vec<StoreWatch>,
    asked_at: Instant,
}

impl Reader {
    pub(super) fn record_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
    }

    pub(super) fn add_list(&mut self, prefix: &str, list: &Changes) {
        self.histories.entry(prefix.to_owned()).or_default().add_list(list);
        self.has_changed = true;
    }

    pub(super) fn add_watch(&mut self, prefix: &str, after: ObjectVersion, answer: &Changes) {
        if let Some(history) = self.histories.get_mut(prefix) {
            history.add_watch(after, answer);
            self.has_changed = true;
        }
    }

    /// Returns for how long no answer of the store has proved that it can be reached, if any agent follows.
    pub(super) fn unproven_for(&self, now: Instant) -> Option<Duration> {
        let unproven = self.answered_at.map_or(Duration::MAX, |it| now - it);
        (!self.followers.is_empty()).then_some(unproven)
    }

    /// Handles the watches of an agent and returns the answer.
    pub(super) fn handle_watches(
        &mut self,
        now: Instant,
        from: &Instance,
        watches: Vec<StoreWatch>,
    ) -> Envelope {
        self.followers.retain(|_, it| now - it.asked_at < FOLLOWER_TIMEOUT);
        let is_full =
            self.followers.len() >= FOLLOWERS_MAX && !self.followers.contains_key(&from.name);
        if is_full || !watches.iter().all(|it| self.can_serve(it)) {
            self.followers.remove(&from.name);
            return Envelope::StoreWatchRefused;
        }
        let row = FollowerRow { instance: from.clone(), watches, asked_at: now };
        self.followers.insert(from.name.clone(), row);
        let news = self.take_news(&from.name);
        self.news_message(now, news)
    }

    /// Returns the messages for all agents that wait for changes which are known now.
    pub(super) fn pending_news(&mut self, now: Instant) -> Vec<(Instance, Envelope)> {
        if !std::mem::take(&mut self.has_changed) {
            return Vec::new();
        }
        let names: Vec<InstanceName> = self.followers.keys().cloned().collect();
        let mut messages = Vec::new();
        for name in names {
            let news = self.take_news(&name);
            if !news.is_empty() {
                let instance = self.followers[&name].instance.clone();
                messages.push((instance, self.news_message(now, news)));
            }
        }
        messages
    }

    /// Returns whether the changes after the watch can become known here: not if the other agent knows a later era.
    fn can_serve(&self, watch: &StoreWatch) -> bool {
        let history = self.histories.get(&watch.prefix);
        history.is_some_and(|it| watch.after.era() <= it.revision().era())
    }

    /// Returns the news for an agent and advances its watches past them. News without changes say up to which revision
    /// there were none.
    fn take_news(&mut self, name: &InstanceName) -> Vec<StoreNews> {
        let Some(row) = self.followers.get_mut(name) else { return Vec::new() };
        let mut all_news = Vec::new();
        row.watches.retain_mut(|watch| {
            let Some(history) = self.histories.get(&watch.prefix) else { return true };
            let revision = history.revision();
            let changes = history.after(watch.after);
            if changes.as_ref().is_some_and(|it| it.changes.is_empty()) && revision <= watch.after {
                return true;
            }
            let is_known = changes.is_some();
            let changes = changes.map(|it| it.changes.into_iter().map(store_change).collect());
            all_news.push(StoreNews { prefix: watch.prefix.clone(), revision, changes });
            watch.after = revision;
            is_known
        });
        all_news
    }

    fn news_message(&self, now: Instant, news: Vec<StoreNews>) -> Envelope {
        let age = self.answered_at.map_or(Duration::MAX, |it| now - it);
        Envelope::StoreNews { age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX), news }
    }
}
