//! Answers to the announcements of an upstream that is granted keys by them.
//!
//! An announcement arrives about every second, and only its answer can grant or revoke a key. The
//! answer is therefore held back for a while: a change within that time reaches the upstream at
//! once, instead of half a period later on average.

use std::{sync::Arc, time::Duration};

use model::{KeyRange, OrderedKeys, Slot, SlotCount};
use ownership::UpstreamState;
use tokio::time::{sleep, timeout, timeout_at};
use upstream::{AnnouncedKeys, AssignedKeys, GrantedKeys, KeyGrant, KeyLeaseMode};

use crate::{
    gate::{
        Gate,
        bound::BoundUpstream,
        leases::{
            exchange::{
                AnnouncedSlots, AnnouncementAnswer, AnnouncementEffects, RangeGrant, ReleasedRange,
            },
            reconcile::complete_release,
            slot_leases::SlotRange,
        },
    },
    report::{Announcement, Report},
};

/// Longest time for which an answer is held back: it takes effect only within one second of its
/// announcement, and a slow machine may use up a part of that.
const ANSWER_DELAY_MAX: Duration = Duration::from_millis(600);
/// The same for an upstream that announces that it is leaving: other upstreams take over its keys
/// within about 10 ms, and it waits for the answer.
const ANSWER_DELAY_MAX_LEAVING: Duration = Duration::from_millis(200);
/// Time for which the changes of one or more concurrent control steps are collected into one
/// answer.
const BATCH_WINDOW: Duration = Duration::from_millis(2);
/// How long the announcement of a new incarnation waits until control has processed it.
const NEW_INCARNATION_WAIT: Duration = Duration::from_millis(100);

impl Gate {
    /// Applies the upstream's announcement of its keys and resolves to the keys that it is to hold.
    /// `None` leaves the grants of the upstream unchanged.
    pub(crate) async fn assign_keys(
        self: &Arc<Gate>,
        announcement: &Announcement,
        held: &AnnouncedKeys,
        ranges_max: usize,
    ) -> Option<AssignedKeys> {
        let received_at = self.clock.now();
        let bound = timeout(NEW_INCARNATION_WAIT, self.wait_for_bound(announcement)).await.ok()?;
        let keys = bound.document.ordered_keys?;
        if !matches!(bound.upstream.key_lease_mode(), KeyLeaseMode::ByAnnouncement) {
            return None;
        }
        let slot_count = bound.document.slot_count;
        let mut pending_changes = self.leases.pending_changes.subscribe();
        let mut latest_sequence = self.leases.latest_sequence.subscribe();
        let effects = {
            let mut leases = self.leases.lock();
            if !leases.accept_sequence(announcement.sequence) {
                log::debug!(target: "gate", "Ignored an announcement of keys that is older than the last one.");
                return None;
            }
            leases.apply_announcement(self.clock.now(), &announced_slots(held, keys, slot_count))
        };
        self.leases.latest_sequence.send_replace(announcement.sequence);
        latest_sequence.mark_unchanged();
        let is_releasing = effects.is_releasing;
        self.apply_effects(&bound, effects).await;
        let answer_delay_max = match announcement.state {
            _ if is_releasing => Duration::ZERO,
            UpstreamState::Draining => ANSWER_DELAY_MAX_LEAVING,
            _ => ANSWER_DELAY_MAX,
        };
        let until = self.clock.instant(received_at + answer_delay_max);
        while !self.has_pending_changes() {
            tokio::select! {
                changed = timeout_at(until, pending_changes.changed()) => match changed {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) | Err(_) => break,
                },
                // A newer announcement is to be answered instead; two answers in flight could
                // arrive in either order.
                _ = latest_sequence.changed() => return None,
            }
        }
        sleep(BATCH_WINDOW).await;
        let answer = {
            let lease_until = self.handle.table.lease_until();
            let mut leases = self.leases.lock();
            leases.answer(self.clock.now(), received_at, lease_until, ranges_max)
        };
        if answer.deferred > 0 {
            log::warn!(target: "gate", "Deferred {} slot ranges to a later answer: one answer holds at most {ranges_max}.", answer.deferred);
        }
        self.leases.notify_usable_when_read();
        Some(keys_of(answer, keys, slot_count))
    }

    /// Waits until control has processed the announcement, and returns the upstream bound for it.
    async fn wait_for_bound(&self, announcement: &Announcement) -> Arc<BoundUpstream> {
        let mut changes = self.snapshots.changes();
        loop {
            let bound = self.bound.load_full();
            if let Some(it) = bound.filter(|it| it.announcement.is_same_incarnation(announcement)) {
                return it;
            }
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
            self.rebind();
        }
    }

    fn has_pending_changes(&self) -> bool {
        let lease_until = self.handle.table.lease_until();
        self.leases.lock().has_pending_changes(self.clock.now(), lease_until)
    }

    /// Reports the effects of an announcement to control, and transfers handover tokens to the
    /// gates of the next owners.
    async fn apply_effects(
        self: &Arc<Gate>,
        bound: &Arc<BoundUpstream>,
        effects: AnnouncementEffects,
    ) {
        if let Some(token) = effects.refused_token {
            log::warn!(target: "gate", "The upstream refuses grants under token {token}.");
            self.reporter.try_report(Report::GrantOutdated { token });
        }
        for transfer in effects.transfers {
            let (gate, bound) = (Arc::clone(self), Arc::clone(bound));
            tokio::spawn(async move { complete_release(&gate, &bound, transfer, true).await });
        }
        let cleared = self.leases.lock().take_cleared();
        if let Some(token) = cleared {
            self.assume_earlier_runs(bound);
            self.reporter.report(Report::Cleared { token }).await;
        }
    }
}

/// Converts announced key ranges to slots.
fn announced_slots(
    held: &AnnouncedKeys,
    keys: OrderedKeys,
    slot_count: SlotCount,
) -> AnnouncedSlots {
    let slots = |range: KeyRange| {
        Some((slot_of(range.first, keys, slot_count)?, slot_of(range.last, keys, slot_count)?))
    };
    let range = |it: &GrantedKeys| {
        let (first, last) = slots(it.keys)?;
        Some(SlotRange { first, last, token: it.token })
    };
    let released = held.released.iter().filter_map(|it| {
        let (first, last) = slots(it.keys)?;
        Some(ReleasedRange { first, last, handover: it.handover.clone() })
    });
    AnnouncedSlots {
        held: held.held.iter().filter_map(range).collect(),
        released: released.collect(),
    }
}

fn slot_of(key: u32, keys: OrderedKeys, slot_count: SlotCount) -> Option<Slot> {
    keys.hash_of(key).map(|it| slot_count.slot_of(it))
}

fn keys_of(answer: AnnouncementAnswer, keys: OrderedKeys, slot_count: SlotCount) -> AssignedKeys {
    let grant = |(range, handover): RangeGrant| KeyGrant {
        granted: GrantedKeys {
            keys: keys.range_of_slots(slot_count, range.first, range.last),
            token: range.token,
        },
        handover,
    };
    AssignedKeys { grants: answer.grants.into_iter().map(grant).collect(), hold: answer.hold }
}
