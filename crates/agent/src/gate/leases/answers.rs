//! Answers to announcements of an upstream that is granted keys by them.
//!
//! An announcement comes about each second, and only its answer can grant or take back a key. So it stays
//! unanswered for a while: a change that comes meanwhile reaches the upstream at once, in place of half a
//! period later on average.

use std::{sync::Arc, time::Duration};

use model::{KeyRange, OrderedKeys, Slot, SlotCount};
use ownership::UpstreamState;
use tokio::time::{sleep, timeout, timeout_at};
use upstream::{GrantedKeys, HeldKeys, KeyGrant, KeyLeases, KeysToHold};

use crate::{
    gate::{
        Gate,
        bound::Bound,
        leases::{
            announced::{Heard, KeyRun, ReleasedRun, Shown, ToHold},
            book::Run,
            keeper::pass_on,
        },
    },
    report::{Announcement, Report},
};

/// How long an announcement stays unanswered: an answer counts within one second, and a slow machine may take
/// a part of that.
const OPEN_MAX: Duration = Duration::from_millis(600);
/// The same where the upstream says that it leaves: others take its keys over within some 10 ms, and it
/// waits for the answer.
const OPEN_MAX_LEAVING: Duration = Duration::from_millis(200);
/// What control changes in one step, or several at once, goes into one answer.
const GATHER_FOR: Duration = Duration::from_millis(2);
/// How long the announcement of another life waits for control to have taken it in.
const NEW_LIFE_WAIT: Duration = Duration::from_millis(100);

impl Gate {
    /// Takes in what the upstream says of its keys, and resolves to what it is to be told. None: nothing,
    /// which leaves all as it is.
    pub(crate) async fn keys_to_hold(
        self: &Arc<Gate>,
        announcement: &Announcement,
        held: &HeldKeys,
        ranges_max: usize,
    ) -> Option<KeysToHold> {
        let heard_at = self.clock.now();
        let bound = timeout(NEW_LIFE_WAIT, self.bound_to(announcement)).await.ok()?;
        let keys = bound.document.ordered_keys?;
        if !matches!(bound.upstream.key_leases(), KeyLeases::ByAnnouncement) {
            return None;
        }
        let slot_count = bound.document.slot_count;
        let mut news = self.leases.news.subscribe();
        let mut newest = self.leases.newest.subscribe();
        let heard = {
            let mut book = self.leases.book();
            book.follow_life(heard_at, &bound.life());
            if !book.is_next(announcement.sequence) {
                log::debug!(target: "gate", "An announcement of keys came late.");
                return None;
            }
            book.heard(self.clock.now(), &shown(held, keys, slot_count))
        };
        self.leases.newest.send_replace(announcement.sequence);
        newest.mark_unchanged();
        let is_giving_up = heard.is_giving_up;
        self.follow_up(&bound, heard).await;
        let open = match announcement.state {
            _ if is_giving_up => Duration::ZERO,
            UpstreamState::Draining => OPEN_MAX_LEAVING,
            _ => OPEN_MAX,
        };
        let until = self.clock.instant(heard_at + open);
        while !self.has_news() {
            tokio::select! {
                changed = timeout_at(until, news.changed()) => match changed {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) | Err(_) => break,
                },
                // A later one is there to be answered; two answers at once could come in either order.
                _ = newest.changed() => return None,
            }
        }
        sleep(GATHER_FOR).await;
        let to_hold = {
            let lease_until = self.handle.table.lease_until();
            let mut book = self.leases.book();
            book.to_hold(self.clock.now(), heard_at, lease_until, ranges_max)
        };
        if to_hold.put_off > 0 {
            log::warn!(target: "gate", "{} runs of slots wait for a later answer: no more than {ranges_max} fit.", to_hold.put_off);
        }
        self.leases.wake_when_taken();
        Some(keys_of(to_hold, keys, slot_count))
    }

    /// The upstream as control has taken it in from this announcement.
    async fn bound_to(&self, announcement: &Announcement) -> Arc<Bound> {
        let mut changes = self.snapshots.changes();
        loop {
            let bound = self.bound.load_full();
            if let Some(it) = bound.filter(|it| it.announcement.is_of_same_life(announcement)) {
                return it;
            }
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
            self.rebind();
        }
    }

    fn has_news(&self) -> bool {
        let lease_until = self.handle.table.lease_until();
        self.leases.book().has_news(self.clock.now(), lease_until)
    }

    /// What an announcement has shown goes to control, and handover tokens to the gates of the next owners.
    async fn follow_up(self: &Arc<Gate>, bound: &Arc<Bound>, heard: Heard) {
        if let Some(token) = heard.outdated {
            log::warn!(target: "gate", "The upstream does not take grants of token {token}.");
            self.reporter.hint(Report::GrantOutdated { token });
        }
        for given_up in heard.given_up {
            let (gate, bound) = (Arc::clone(self), Arc::clone(bound));
            tokio::spawn(async move { pass_on(&gate, &bound, given_up, true).await });
        }
        let cleared = self.leases.book().take_cleared();
        if let Some(token) = cleared {
            self.doubt_earlier_lives(bound);
            self.reporter.deliver(Report::Cleared { token }).await;
        }
    }
}

/// What is said of keys, in slots.
fn shown(held: &HeldKeys, keys: OrderedKeys, slot_count: SlotCount) -> Shown {
    let slots = |range: KeyRange| {
        Some((slot(range.first, keys, slot_count)?, slot(range.last, keys, slot_count)?))
    };
    let run = |it: &GrantedKeys| {
        let (first, last) = slots(it.keys)?;
        Some(Run { first, last, token: it.token })
    };
    let released = held.released.iter().filter_map(|it| {
        let (first, last) = slots(it.keys)?;
        Some(ReleasedRun { first, last, handover: it.handover.clone() })
    });
    Shown { held: held.held.iter().filter_map(run).collect(), released: released.collect() }
}

fn slot(key: u32, keys: OrderedKeys, slot_count: SlotCount) -> Option<Slot> {
    keys.place(key).map(|it| slot_count.slot_of(it))
}

fn keys_of(to_hold: ToHold, keys: OrderedKeys, slot_count: SlotCount) -> KeysToHold {
    let grant = |(run, handover): KeyRun| KeyGrant {
        granted: GrantedKeys {
            keys: keys.of_slots(slot_count, run.first, run.last),
            token: run.token,
        },
        handover,
    };
    KeysToHold { grants: to_hold.grants.into_iter().map(grant).collect(), hold: to_hold.hold }
}
