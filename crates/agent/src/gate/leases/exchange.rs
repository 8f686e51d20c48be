//! State of the exchange with an upstream that is granted keys by the answers to its announcements.
//! This module does no I/O.
//!
//! Each announcement lists the key ranges that the upstream holds and has released. The answer
//! lists all ranges that it is to hold, and for how long, counted from when the announcement was
//! sent. The agent received the announcement no earlier than that, so counting from its receipt
//! gives an upper bound on the hold, once the rate error of the upstream's clock is added.
//!
//! Invariants: a lost answer may have taken effect, so every answer counts towards the time that
//! the upstream may hold a slot. A slot is closed when an announcement shows it released and no
//! earlier answer can grant it again, or when its hold has expired. An answer never has more ranges
//! than fit, because the upstream releases every range that the answer omits.

use std::time::Duration;

use model::{Instance, Slot, Timestamp, Token};
use upstream::HandoverToken;

use super::slot_leases::{
    CALL_LATENCY_MARGIN, HOLD_MIN, ReleaseState, SLOW_CLOCK_FACTOR, SlotLease, SlotLeases,
    SlotRange,
};

/// Time after the receipt of an announcement within which its answer can take effect: one second on
/// the upstream's clock, which may be 2% slow, and the latency of the announcement.
const ANSWER_VALIDITY: Duration = Duration::from_millis(1_050);
/// Time that the upstream takes to read an answer; it refuses a request that arrives earlier as not
/// run.
pub(super) const ANSWER_READ_DELAY: Duration = Duration::from_millis(3);
/// Consecutive ineffective grants after which the upstream is taken to refuse the token. Fewer may
/// only mean that answers were lost.
const INEFFECTIVE_GRANTS_MAX: u8 = 3;
/// New ranges leave one part in this many of an answer free, so that ranges still fit when a slot
/// released from the middle of one splits it.
const SPLIT_RESERVE_DIVISOR: usize = 4;

/// Effect of the answers to announcements on one slot.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AnswerState {
    /// Whether the last answer granted the slot and no announcement has shown that grant to be
    /// ineffective.
    is_granted: bool,
    /// End of the period in which answers that granted the slot may take effect.
    effective_until: Timestamp,
    /// Whether an announcement has shown that the upstream holds the slot under this token.
    is_confirmed: bool,
    /// Time from which the upstream has read the answer, so that the slot is usable.
    usable_from: Timestamp,
    /// Whether an answer has omitted the slot so that the upstream releases it.
    is_omitted: bool,
    /// Number of consecutive answers that granted the slot without effect.
    ineffective_grants: u8,
}

/// State of the exchange of announcements and answers with the upstream.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// Whether the last answer granted nothing.
    granted_nothing: bool,
    /// Whether the upstream holds nothing: it announced so after an answer that granted nothing, or
    /// it has just started.
    pub(super) holds_nothing: bool,
    /// Whether an earlier grant must be revoked at once.
    pub(super) must_revoke: bool,
    /// Sequence number of the last announcement.
    sequence: u64,
}

impl Exchange {
    pub(super) fn for_new_incarnation() -> Exchange {
        Exchange { granted_nothing: true, holds_nothing: true, must_revoke: false, sequence: 0 }
    }
}

/// Contents of an announcement, with keys converted to slots.
#[derive(Debug, Clone, Default)]
pub(super) struct AnnouncedSlots {
    /// Slots that the upstream holds or still runs requests on.
    pub(super) held: Vec<SlotRange>,
    pub(super) released: Vec<ReleasedRange>,
}

/// Consecutive slots that the upstream has released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ReleasedRange {
    pub(super) first: Slot,
    pub(super) last: Slot,
    pub(super) handover: HandoverToken,
}

/// Slots that the upstream has released, and their next owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SlotTransfer {
    pub(super) range: SlotRange,
    pub(super) successor: Option<Instance>,
    /// The handover token, if the upstream announced one; there is none after a hold that expired.
    pub(super) handover: Option<HandoverToken>,
}

/// Actions that follow from an announcement.
#[derive(Debug, Default)]
pub(super) struct AnnouncementEffects {
    pub(super) transfers: Vec<SlotTransfer>,
    /// Token that the upstream refuses, if there is one.
    pub(super) refused_token: Option<Token>,
    /// Whether the upstream still has to release slots. It announces the release soon after it has
    /// been answered.
    pub(super) is_releasing: bool,
}

/// Consecutive slots that are granted under the same token, with the handover token of their former
/// holder if the grant is new to this upstream.
pub(super) type RangeGrant = (SlotRange, Option<HandoverToken>);

/// The answer to an announcement: all slots that the upstream is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AnnouncementAnswer {
    pub(super) grants: Vec<RangeGrant>,
    /// Length of the hold, counted from when the announcement was sent.
    pub(super) hold: Duration,
    /// Number of ranges left for a later answer because this one has no room.
    pub(super) deferred: usize,
}

impl AnnouncedSlots {
    fn token_of(&self, slot: Slot) -> Option<Token> {
        self.held.iter().find(|it| (it.first..=it.last).contains(&slot)).map(|it| it.token)
    }

    fn handover_token_for(&self, slot: Slot) -> Option<&HandoverToken> {
        let covers = |it: &&ReleasedRange| (it.first..=it.last).contains(&slot);
        self.released.iter().find(covers).map(|it| &it.handover)
    }
}

impl SlotLeases {
    /// Returns whether an announcement is newer than all those applied so far; late and duplicate
    /// ones are not. Records its sequence number.
    pub(super) fn accept_sequence(&mut self, sequence: u64) -> bool {
        let is_newer = sequence > self.exchange.sequence;
        self.exchange.sequence = self.exchange.sequence.max(sequence);
        is_newer
    }

    /// Applies an announcement to the leases and returns the actions that follow from it.
    pub(super) fn apply_announcement(
        &mut self,
        now: Timestamp,
        announced: &AnnouncedSlots,
    ) -> AnnouncementEffects {
        self.exchange.holds_nothing = announced.held.is_empty()
            && (self.exchange.holds_nothing || self.exchange.granted_nothing);
        for it in &announced.released {
            self.store_handover_token(now, it.first, it.last, HandoverToken::clone(&it.handover));
        }
        let mut effects = AnnouncementEffects {
            is_releasing: self.holds_unwanted_slots(announced),
            ..AnnouncementEffects::default()
        };
        for (slot, lease) in &mut self.slots {
            let token = announced.token_of(*slot);
            if lease.closing.is_none() {
                if lease.update_confirmation(token) >= INEFFECTIVE_GRANTS_MAX {
                    effects.refused_token = Some(lease.token);
                }
                continue;
            }
            if token.is_some() || !lease.is_released(now) {
                continue;
            }
            let Some(closing) = &mut lease.closing else { continue };
            closing.release = ReleaseState::InFlight;
            let range = SlotRange { first: *slot, last: *slot, token: lease.token };
            let handover = announced.handover_token_for(*slot).cloned();
            let next = SlotTransfer { range, successor: closing.successor.clone(), handover };
            if !effects.transfers.last_mut().is_some_and(|it| it.try_extend(&next)) {
                effects.transfers.push(next);
            }
        }
        effects
    }

    /// Returns whether the upstream holds, or runs requests on, slots that it is to release.
    fn holds_unwanted_slots(&self, announced: &AnnouncedSlots) -> bool {
        let is_kept = |slot: u16, token| {
            let lease = self.slots.get(&Slot(slot));
            lease.is_some_and(|it| it.closing.is_none() && it.token == token)
        };
        announced
            .held
            .iter()
            .any(|it| (it.first.0..=it.last.0).any(|slot| !is_kept(slot, it.token)))
    }

    /// Returns whether a change is pending that the next answer should carry at once.
    pub(super) fn has_pending_changes(&self, now: Timestamp, lease_until: Timestamp) -> bool {
        if let Some(clearing) = &self.clearing {
            return !clearing.is_sent;
        }
        let may_grant = lease_until.since(now) >= 2 * HOLD_MIN;
        let is_pending = |it: &SlotLease| match it.closing {
            Some(_) => !it.answer_state.is_omitted && it.held_until > now,
            None => may_grant && !it.is_void && !it.answer_state.is_granted,
        };
        self.exchange.must_revoke || self.slots.values().any(is_pending)
    }

    /// Returns the answer to an announcement that was received at `received_at`, with at most
    /// `ranges_max` ranges, and records what it grants.
    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        received_at: Timestamp,
        lease_until: Timestamp,
        ranges_max: usize,
    ) -> AnnouncementAnswer {
        self.exchange.must_revoke = false;
        let hold = lease_until
            .since(received_at)
            .saturating_sub(CALL_LATENCY_MARGIN)
            .div_f64(SLOW_CLOCK_FACTOR);
        if let Some(clearing) = &mut self.clearing {
            clearing.is_sent = true;
        }
        let (grants, deferred) = match self.clearing.is_none() && hold >= HOLD_MIN {
            true => self.ranges_to_grant(ranges_max),
            false => Default::default(),
        };
        self.exchange.granted_nothing = grants.is_empty();
        self.exchange.holds_nothing &= grants.is_empty();
        let held_until = received_at + hold.mul_f64(SLOW_CLOCK_FACTOR) + CALL_LATENCY_MARGIN;
        for (range, _) in &grants {
            for (_, lease) in self.slots.range_mut(range.first..=range.last) {
                lease.held_until = lease.held_until.max(held_until);
                lease.usable_until = received_at + hold.saturating_sub(CALL_LATENCY_MARGIN);
                if !lease.answer_state.is_granted {
                    lease.answer_state.usable_from = now + ANSWER_READ_DELAY;
                }
                lease.answer_state.is_granted = true;
                lease.answer_state.effective_until = received_at + ANSWER_VALIDITY;
            }
        }
        let granted = |slot: Slot| grants.iter().any(|it| (it.0.first..=it.0.last).contains(&slot));
        for (slot, lease) in self.slots.iter_mut().filter(|it| it.1.closing.is_some()) {
            lease.answer_state.is_omitted = !granted(*slot);
        }
        AnnouncementAnswer { grants, hold: hold.max(HOLD_MIN), deferred }
    }

    /// Returns the ranges of an answer and how many were deferred. If there are too many, ranges
    /// that were never granted are deferred first. If that is not enough, slots that are to be
    /// released remain granted, because the upstream releases every range that the answer omits.
    fn ranges_to_grant(&self, ranges_max: usize) -> (Vec<RangeGrant>, usize) {
        let mut ranges = self.ranges_where(|it| it.closing.is_none() && !it.is_void);
        let new_ranges_max = ranges_max - ranges_max / SPLIT_RESERVE_DIVISOR;
        let mut deferred = 0;
        while ranges.len() > new_ranges_max
            && let Some(at) = ranges.iter().rposition(|it| self.is_never_granted(it.0))
        {
            ranges.remove(at);
            deferred += 1;
        }
        if ranges.len() > ranges_max {
            deferred += ranges.len() - ranges_max;
            ranges =
                self.ranges_where(|it| it.answer_state.is_granted && !it.answer_state.is_omitted);
        }
        (ranges, deferred)
    }

    /// Returns whether no answer has granted any of these slots.
    fn is_never_granted(&self, range: SlotRange) -> bool {
        !self.slots.range(range.first..=range.last).any(|it| it.1.answer_state.is_granted)
    }

    fn ranges_where(&self, is_in: impl Fn(&SlotLease) -> bool) -> Vec<RangeGrant> {
        let mut ranges: Vec<RangeGrant> = Vec::new();
        for (slot, lease) in self.slots.iter().filter(|it| is_in(it.1)) {
            let handover = lease.handover.as_ref().filter(|it| !it.is_empty());
            match ranges.last_mut() {
                Some((range, range_handover))
                    if range.last.0 + 1 == slot.0
                        && range.token == lease.token
                        && range_handover.as_ref() == handover =>
                {
                    range.last = *slot;
                }
                _ => {
                    let range = SlotRange { first: *slot, last: *slot, token: lease.token };
                    ranges.push((range, handover.cloned()));
                }
            }
        }
        ranges
    }

    /// Ends the pending release of earlier grants and returns its token, if the upstream no longer
    /// holds any of them.
    pub(super) fn take_cleared(&mut self) -> Option<Token> {
        let cleared = self.clearing.take_if(|_| self.exchange.holds_nothing);
        cleared.map(|it| it.token)
    }
}

impl SlotLease {
    /// Returns whether the upstream has had the time to read the answer that granted the slot.
    pub(super) fn is_grant_read(&self, now: Timestamp) -> bool {
        now >= self.answer_state.usable_from
    }

    /// Records whether an announcement shows the slot under this lease's token. Returns the number
    /// of consecutive announcements that did not show it after an answer that granted it.
    fn update_confirmation(&mut self, token: Option<Token>) -> u8 {
        let answer_state = &mut self.answer_state;
        if token == Some(self.token) {
            answer_state.is_confirmed = true;
            answer_state.ineffective_grants = 0;
            // The keys are warm from now on.
            self.handover = None;
        } else if std::mem::take(&mut answer_state.is_granted) {
            answer_state.is_confirmed = false;
            answer_state.ineffective_grants = answer_state.ineffective_grants.saturating_add(1);
            self.usable_until = Timestamp::ZERO;
        }
        answer_state.ineffective_grants
    }

    /// Returns whether the upstream has released the slot for good, given that its announcement
    /// does not show it. An answer that granted the slot may still be in flight unless its effect
    /// was seen.
    fn is_released(&self, now: Timestamp) -> bool {
        let is_revoked = self.answer_state.is_omitted || self.held_until <= now;
        let is_settled = self.answer_state.is_confirmed || self.answer_state.effective_until <= now;
        let is_release_due =
            self.closing.as_ref().is_some_and(|it| it.release == ReleaseState::Due);
        is_release_due && is_revoked && is_settled
    }
}

impl SlotTransfer {
    /// Extends this transfer by the next slot's if both are alike. Returns whether it did.
    fn try_extend(&mut self, next: &SlotTransfer) -> bool {
        let follows =
            self.range.last.0 + 1 == next.range.first.0 && self.range.token == next.range.token;
        let is_alike =
            follows && self.successor == next.successor && self.handover == next.handover;
        if is_alike {
            self.range.last = next.range.last;
        }
        is_alike
    }
}
