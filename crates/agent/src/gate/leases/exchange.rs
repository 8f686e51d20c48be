//! What the upstream has been granted by the answers to its announcements. No I/O.
//!
//! Each announcement says what the upstream holds and what it has given up; the answer says all that it
//! is to hold, for a time that counts from when the announcement was sent. That was no later than when it
//! was heard, so no hold outlasts that moment, the time and what the upstream's clock may be slow by.
//!
//! Invariants: an answer that is lost may have been taken, so each counts for what the upstream may hold; a
//! slot is closed when an announcement shows it given up and no earlier answer can still bring it back, or
//! when its time is over; an answer never has more runs than fit, for what is left out is given up.

use std::time::Duration;

use model::{Instance, Slot, Timestamp, Token};
use upstream::HandoverToken;

use super::slot_leases::{
    CALL_LATENCY_MARGIN, HOLD_MIN, ReleaseState, SLOW_CLOCK_FACTOR, SlotLease, SlotLeases,
    SlotRange,
};

/// How long after its announcement an answer can take effect: one second by the upstream's clock, which may
/// be 2% slow, and the way of the announcement.
const ANSWER_VALIDITY: Duration = Duration::from_millis(1_050);
/// What the upstream takes to read an answer; a request that comes sooner is refused as not run.
pub(super) const ANSWER_READ_DELAY: Duration = Duration::from_millis(3);
/// So many answers in a row without effect mean that the upstream refuses the token and has not just missed one.
const INEFFECTIVE_GRANTS_MAX: u8 = 3;
/// New grants leave this part of an answer free, so that slots given up in the midst of runs still fit.
const SPLIT_RESERVE_DIVISOR: usize = 4;

/// What answers have told the upstream of one slot.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AnswerState {
    /// The last answer granted it, and nothing has shown that this was without effect.
    is_granted: bool,
    /// Until when answers that granted it may take effect.
    effective_until: Timestamp,
    /// The upstream has shown that it holds the slot under this token.
    is_confirmed: bool,
    /// It is not usable before: the answer is on its way.
    usable_from: Timestamp,
    /// An answer has left it out, as it is to be given up.
    is_omitted: bool,
    /// Answers in a row that granted it without effect.
    ineffective_grants: u8,
}

/// What the last exchange with the upstream has shown.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// The last answer granted nothing.
    granted_nothing: bool,
    /// The upstream holds nothing: it said so after an answer that granted nothing, or has just started.
    pub(super) holds_nothing: bool,
    /// Something that was granted is to be given up at once.
    pub(super) must_revoke: bool,
    /// The number of the last announcement.
    sequence: u64,
}

impl Exchange {
    pub(super) fn for_new_incarnation() -> Exchange {
        Exchange { granted_nothing: true, holds_nothing: true, must_revoke: false, sequence: 0 }
    }
}

/// What an announcement shows, in slots.
#[derive(Debug, Clone, Default)]
pub(super) struct AnnouncedSlots {
    /// What the upstream holds or still works on.
    pub(super) held: Vec<SlotRange>,
    pub(super) released: Vec<ReleasedRange>,
}

/// Neighbouring slots that the upstream has given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ReleasedRange {
    pub(super) first: Slot,
    pub(super) last: Slot,
    pub(super) handover: HandoverToken,
}

/// Slots that the upstream has given up, and who takes them over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SlotTransfer {
    pub(super) range: SlotRange,
    pub(super) successor: Option<Instance>,
    /// None: it comes without one, as after a hold that ran out.
    pub(super) handover: Option<HandoverToken>,
}

/// What follows from an announcement.
#[derive(Debug, Default)]
pub(super) struct AnnouncementEffects {
    pub(super) transfers: Vec<SlotTransfer>,
    /// The upstream refuses this token.
    pub(super) refused_token: Option<Token>,
    /// It still has to give something up, and tells of it soon if it is answered.
    pub(super) is_releasing: bool,
}

/// Neighbouring slots that are granted alike, and the token of their last holder if they are new to this one.
pub(super) type RangeGrant = (SlotRange, Option<HandoverToken>);

/// All that the upstream is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AnnouncementAnswer {
    pub(super) grants: Vec<RangeGrant>,
    /// Counted from when the announcement was sent.
    pub(super) hold: Duration,
    /// How many runs wait for a later answer, for there is no room.
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
    /// Whether an announcement comes after all that were taken in; late and doubled ones don't.
    pub(super) fn accept_sequence(&mut self, sequence: u64) -> bool {
        let accept_sequence = sequence > self.exchange.sequence;
        self.exchange.sequence = self.exchange.sequence.max(sequence);
        accept_sequence
    }

    /// Takes in what an announcement shows.
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

    /// Whether the upstream holds or works on something that it is to give up.
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

    /// Whether there is something that the upstream should be told now.
    pub(super) fn has_pending_changes(&self, now: Timestamp, lease_until: Timestamp) -> bool {
        if let Some(clearing) = &self.clearing {
            return !clearing.is_sent;
        }
        let may_grant = lease_until.since(now) >= 2 * HOLD_MIN;
        let is_news = |it: &SlotLease| match it.closing {
            Some(_) => !it.answer_state.is_omitted && it.held_until > now,
            None => may_grant && !it.answer_state.is_granted,
        };
        self.exchange.must_revoke || self.slots.values().any(is_news)
    }

    /// The answer to an announcement that was heard at `received_at`, with no more than `ranges_max` runs.
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
            true => self.ranges(ranges_max),
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

    /// The runs of an answer. Where they are too many, some of those that were never granted wait for a later
    /// answer, and slots that are to be given up are granted on: the upstream would give up whatever is
    /// left out.
    fn ranges(&self, ranges_max: usize) -> (Vec<RangeGrant>, usize) {
        let mut ranges = self.ranges_where(|it| it.closing.is_none());
        let new_max = ranges_max - ranges_max / SPLIT_RESERVE_DIVISOR;
        let mut deferred = 0;
        while ranges.len() > new_max
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

    /// Whether no answer has granted any of these slots.
    fn is_never_granted(&self, range: SlotRange) -> bool {
        !self.slots.range(range.first..=range.last).any(|it| it.1.answer_state.is_granted)
    }

    fn ranges_where(&self, is_in: impl Fn(&SlotLease) -> bool) -> Vec<RangeGrant> {
        let mut ranges: Vec<RangeGrant> = Vec::new();
        for (slot, lease) in self.slots.iter().filter(|it| is_in(it.1)) {
            let handover = lease.handover.as_ref().filter(|it| !it.is_empty());
            match ranges.last_mut() {
                Some((range, its_handover))
                    if range.last.0 + 1 == slot.0
                        && range.token == lease.token
                        && its_handover.as_ref() == handover =>
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

    /// The upstream holds nothing of earlier sessions or lives, as it was to be brought to.
    pub(super) fn take_cleared(&mut self) -> Option<Token> {
        let cleared = self.clearing.take_if(|_| self.exchange.holds_nothing);
        cleared.map(|it| it.token)
    }
}

impl SlotLease {
    /// Until when the answers that granted it count for its use.
    pub(super) fn is_grant_read(&self, now: Timestamp) -> bool {
        now >= self.answer_state.usable_from
    }

    /// An announcement shows the slot under this token, or not at all. Returns how often in a row it has not been
    /// shown after an answer that granted it.
    fn update_confirmation(&mut self, token: Option<Token>) -> u8 {
        let answer_state = &mut self.answer_state;
        if token == Some(self.token) {
            answer_state.is_confirmed = true;
            answer_state.ineffective_grants = 0;
            // Its keys are warm from now on.
            self.handover = None;
        } else if std::mem::take(&mut answer_state.is_granted) {
            answer_state.is_confirmed = false;
            answer_state.ineffective_grants = answer_state.ineffective_grants.saturating_add(1);
            self.usable_until = Timestamp::ZERO;
        }
        answer_state.ineffective_grants
    }

    /// Whether the upstream, which does not show it, has given it up for good: an answer that granted it
    /// may still be on its way unless its effect was seen.
    fn is_released(&self, now: Timestamp) -> bool {
        let is_told = self.answer_state.is_omitted || self.held_until <= now;
        let settled = self.answer_state.is_confirmed || self.answer_state.effective_until <= now;
        let waits = self.closing.as_ref().is_some_and(|it| it.release == ReleaseState::Due);
        waits && is_told && settled
    }
}

impl SlotTransfer {
    /// Extends this run by the next slot, if they are alike.
    fn try_extend(&mut self, next: &SlotTransfer) -> bool {
        let follows =
            self.range.last.0 + 1 == next.range.first.0 && self.range.token == next.range.token;
        let fits = follows && self.successor == next.successor && self.handover == next.handover;
        if fits {
            self.range.last = next.range.last;
        }
        fits
    }
}
