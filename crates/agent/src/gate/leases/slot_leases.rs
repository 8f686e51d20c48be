//! What the upstream has been granted, slot by slot. No I/O: calls to the upstream are returned and
//! their ends told.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use model::{Instance, Slot, Timestamp, Token};
use upstream::HandoverToken;

use super::exchange::{AnswerState, Exchange};
use crate::report::UpstreamId;

/// How much longer than it was told an upstream may hold a key, since its clock may be slow: those that
/// enforce leases may be off by 2%.
pub(in crate::gate) const SLOW_CLOCK_FACTOR: f64 = 1.02;
/// What the way of a call to the upstream on the same instance may take.
pub(in crate::gate) const CALL_LATENCY_MARGIN: Duration = Duration::from_millis(20);
/// A grant for a shorter time is of no use.
pub(super) const HOLD_MIN: Duration = Duration::from_millis(100);
/// A renewal must gain this much: a fifth of a lease of 1.5 s, so three calls a second and run.
const RENEWAL_GAIN_MIN: Duration = Duration::from_millis(300);
/// The pause after a call that failed.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// How long a release may take, for the handover token's sake; a shorter rest of the lease does not
/// cut it short. Keys that come without it are slow at their new owner for some seconds.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_800);
/// How long a handover token waits for its grant.
const HANDOVER_TOKEN_TTL: Duration = Duration::from_secs(5);
const HANDOVER_TOKENS_MAX: usize = 256;

/// Neighbouring slots that are treated alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SlotRange {
    pub(super) first: Slot,
    pub(super) last: Slot,
    pub(super) token: Token,
}

/// A call to the upstream that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Call {
    Grant {
        range: SlotRange,
        hold: Duration,
        handover: Option<HandoverToken>,
    },
    /// `to` takes the keys over.
    Release {
        range: SlotRange,
        successor: Option<Instance>,
        wait: Duration,
    },
    /// All keys are to be given up that were granted under tokens up to this one.
    Clear {
        token: Token,
    },
}

/// How a grant ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GrantOutcome {
    Accepted,
    /// The upstream has seen a higher token.
    Outdated,
    /// It may or may not take effect.
    Unknown,
}

#[derive(Debug)]
pub(super) struct Closing {
    pub(super) successor: Option<Instance>,
    pub(super) until: Timestamp,
    pub(super) release: ReleaseState,
}

/// How far the release of a closing slot has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReleaseState {
    Due,
    InFlight,
    /// The upstream holds the slot no more; it may still work on it.
    Answered,
}

#[derive(Debug)]
pub(super) struct SlotLease {
    pub(super) token: Token,
    pub(super) handover: Option<HandoverToken>,
    /// Requests may be given until then: the upstream has acknowledged the grant.
    pub(super) usable_until: Timestamp,
    /// The upstream may hold the slot until then, whatever was lost on the way.
    pub(super) held_until: Timestamp,
    /// Set while a grant is on its way: until when the upstream would hold the slot by it.
    grant_in_flight_until: Option<Timestamp>,
    /// The same of grants that got no answer: these may take effect after a later release.
    unanswered_until: Timestamp,
    next_grant_at: Timestamp,
    pub(super) closing: Option<Closing>,
    /// What is known of it where the upstream is granted keys by its announcements.
    pub(super) answer_state: AnswerState,
}

#[derive(Debug)]
struct StoredHandover {
    first: Slot,
    last: Slot,
    handover: HandoverToken,
    received_at: Timestamp,
}

/// All slots that the upstream is to hold, holds, or is giving up.
#[derive(Debug, Default)]
pub(super) struct SlotLeases {
    pub(super) slots: BTreeMap<Slot, SlotLease>,
    handovers: Vec<StoredHandover>,
    pub(super) clearing: Option<Clearing>,
    pub(super) exchange: Exchange,
    incarnation: Option<UpstreamIncarnation>,
}

/// One life of an upstream: its name, and when it began in milliseconds of its time of day.
pub(in crate::gate) type UpstreamIncarnation = (Option<UpstreamId>, Option<u64>);

/// Nothing is granted until the upstream has given up what earlier sessions or lives of this agent
/// granted it: a release that arrives after a grant could undo it.
#[derive(Debug)]
pub(super) struct Clearing {
    pub(super) token: Token,
    pub(super) is_sent: bool,
}

impl SlotLeases {
    /// Control admits a slot.
    pub(super) fn admit(&mut self, now: Timestamp, slot: Slot, token: Token) {
        let handover = self.handover_token_for(now, slot);
        let former = self.slots.get(&slot);
        let held_until = former.map_or(now, |it| it.held_until);
        let unanswered_until = former.map_or(now, SlotLease::unanswered_until);
        let lease = SlotLease {
            token,
            handover,
            usable_until: Timestamp::ZERO,
            held_until,
            grant_in_flight_until: None,
            unanswered_until,
            next_grant_at: now,
            closing: None,
            answer_state: AnswerState::default(),
        };
        self.slots.insert(slot, lease);
    }

    /// Control takes a slot back; asked again, it goes on. False: it is not held under this token.
    pub(super) fn close(
        &mut self,
        now: Timestamp,
        slot: Slot,
        token: Token,
        successor: Option<Instance>,
    ) -> bool {
        let Some(lease) = self.slots.get_mut(&slot).filter(|it| it.token == token) else {
            return false;
        };
        if let Some(closing) = &mut lease.closing {
            closing.successor = successor.or_else(|| closing.successor.take());
            return true;
        }
        // What the upstream cannot hold needs no release.
        let until = match lease.held_until > now {
            true => lease.held_until.max(now + RELEASE_TIMEOUT),
            false => now,
        };
        lease.closing = Some(Closing { successor, until, release: ReleaseState::Due });
        true
    }

    /// The upstream is to give up what it was granted under tokens up to this one.
    pub(super) fn clear(&mut self, token: Token) {
        self.clearing = Some(Clearing { token, is_sent: false });
    }

    /// The call for that has ended, with the upstream's word or without.
    pub(super) fn finish_clear(&mut self, token: Token) {
        self.clearing.take_if(|it| it.token == token);
    }

    /// The lease is gone: what the upstream holds runs out with it.
    pub(super) fn drop_all(&mut self) {
        self.exchange.must_revoke |= !self.slots.is_empty();
        self.slots.clear();
    }

    /// The upstream that is there; another life than the one before holds nothing.
    pub(super) fn follow_incarnation(&mut self, now: Timestamp, incarnation: &UpstreamIncarnation) {
        match self.incarnation.replace(incarnation.clone()) {
            Some(known) if known != *incarnation => self.reset_for_new_incarnation(now),
            _ => {}
        }
    }

    /// Another life of the upstream: it holds nothing.
    pub(super) fn reset_for_new_incarnation(&mut self, now: Timestamp) {
        for lease in self.slots.values_mut() {
            lease.usable_until = Timestamp::ZERO;
            lease.held_until = now;
            lease.unanswered_until = now;
            lease.handover = None;
            lease.answer_state = AnswerState::default();
        }
        self.exchange = Exchange::for_new_incarnation();
    }

    /// The former owner's gate hands a token over: for slots that are admitted later, or that have been but
    /// are not granted yet.
    pub(super) fn store_handover_token(
        &mut self,
        now: Timestamp,
        first: Slot,
        last: Slot,
        handover: HandoverToken,
    ) {
        for (_, lease) in self.slots.range_mut(first..=last) {
            if lease.is_untouched() {
                lease.handover = Some(Arc::clone(&handover));
            }
        }
        self.handovers.retain(|it| now.since(it.received_at) < HANDOVER_TOKEN_TTL);
        if self.handovers.len() < HANDOVER_TOKENS_MAX {
            self.handovers.push(StoredHandover { first, last, handover, received_at: now });
        }
    }

    fn handover_token_for(&self, now: Timestamp, slot: Slot) -> Option<HandoverToken> {
        let fits = |it: &&StoredHandover| {
            (it.first..=it.last).contains(&slot) && now.since(it.received_at) < HANDOVER_TOKEN_TTL
        };
        self.handovers.iter().rev().find(fits).map(|it| Arc::clone(&it.handover))
    }

    /// Whether requests for a slot may be given to the upstream.
    pub(super) fn is_usable(&self, now: Timestamp, slot: Slot) -> bool {
        let lease = self.slots.get(&slot);
        lease.is_some_and(|it| {
            it.closing.is_none() && now < it.usable_until && it.is_grant_read(now)
        })
    }

    /// The calls that are due. `lease_until` is the end of the lease that this agent has itself: no
    /// grant outlasts it.
    pub(super) fn calls(&mut self, now: Timestamp, lease_until: Timestamp) -> Vec<Call> {
        if let Some(clearing) = &mut self.clearing {
            let is_due = !std::mem::replace(&mut clearing.is_sent, true);
            return is_due.then_some(Call::Clear { token: clearing.token }).into_iter().collect();
        }
        let hold =
            lease_until.since(now).saturating_sub(CALL_LATENCY_MARGIN).div_f64(SLOW_CLOCK_FACTOR);
        let mut calls: Vec<Call> = Vec::new();
        for (slot, lease) in &mut self.slots {
            let wants_grant = lease.wants_grant(now, hold);
            // A grant that is on its way might arrive after a release and undo it.
            let is_quiet = lease.grant_in_flight_until.is_none();
            let call = match &mut lease.closing {
                Some(closing)
                    if closing.release == ReleaseState::Due && is_quiet && now < closing.until =>
                {
                    closing.release = ReleaseState::InFlight;
                    let range = SlotRange { first: *slot, last: *slot, token: lease.token };
                    let wait = closing.until.since(now);
                    Call::Release { range, successor: closing.successor.clone(), wait }
                }
                Some(_) => continue,
                None if wants_grant => {
                    // The time counts from when the call arrives, on a clock that may be slow.
                    let ends = now + hold.mul_f64(SLOW_CLOCK_FACTOR) + CALL_LATENCY_MARGIN;
                    lease.held_until = lease.held_until.max(ends);
                    lease.grant_in_flight_until = Some(ends);
                    let range = SlotRange { first: *slot, last: *slot, token: lease.token };
                    Call::Grant { range, hold, handover: lease.handover.clone() }
                }
                None => continue,
            };
            if !calls.last_mut().is_some_and(|it| it.try_extend(&call)) {
                calls.push(call);
            }
        }
        calls
    }

    /// A grant that was sent at `sent_at` has ended.
    pub(super) fn finish_grant(
        &mut self,
        now: Timestamp,
        range: SlotRange,
        sent_at: Timestamp,
        hold: Duration,
        end: GrantOutcome,
    ) {
        for (_, lease) in self.slots.range_mut(range.first..=range.last) {
            if lease.token != range.token {
                continue;
            }
            let ends = lease.grant_in_flight_until.take().unwrap_or_default();
            match end {
                GrantOutcome::Accepted => {
                    lease.usable_until = lease.usable_until.max(sent_at + hold);
                    // It is warm from now on.
                    lease.handover = None;
                }
                GrantOutcome::Outdated | GrantOutcome::Unknown => {
                    lease.unanswered_until = lease.unanswered_until.max(ends);
                    lease.next_grant_at = now + RETRY_AFTER;
                }
            }
        }
    }

    /// A release has ended: with an answer, or without.
    pub(super) fn finish_release(&mut self, now: Timestamp, range: SlotRange, is_answered: bool) {
        for (_, lease) in self.slots.range_mut(range.first..=range.last) {
            let unanswered_until = lease.unanswered_until();
            let Some(closing) = lease.closing.as_mut().filter(|_| lease.token == range.token)
            else {
                continue;
            };
            closing.release = match is_answered {
                true => ReleaseState::Answered,
                false => ReleaseState::Due,
            };
            if is_answered {
                // Work does not outlast the hold under which it began.
                closing.until = lease.held_until;
                lease.held_until = unanswered_until.max(now);
            }
        }
    }

    /// Slots that the upstream cannot hold any more and does not work on. `works_until` says until when it may
    /// work on a slot, whatever it holds.
    pub(super) fn take_closed(
        &mut self,
        now: Timestamp,
        works_until: impl Fn(Slot) -> Timestamp,
    ) -> Vec<(Slot, Token)> {
        let is_closed = |slot: &Slot, it: &SlotLease| {
            let Some(closing) = &it.closing else { return false };
            let may_be_at_work_until = match closing.release {
                ReleaseState::InFlight => return false,
                ReleaseState::Due => closing.until,
                ReleaseState::Answered => closing.until.min(works_until(*slot)),
            };
            may_be_at_work_until <= now && it.held_until <= now
        };
        let closed = self.slots.extract_if(.., |slot, it| is_closed(slot, it));
        closed.map(|(slot, it)| (slot, it.token)).collect()
    }
}

impl SlotLease {
    /// Until when grants that have no answer may make the upstream hold the slot.
    fn unanswered_until(&self) -> Timestamp {
        self.unanswered_until.max(self.grant_in_flight_until.unwrap_or_default())
    }

    /// Whether the upstream has not been asked to take it.
    fn is_untouched(&self) -> bool {
        self.usable_until == Timestamp::ZERO && self.grant_in_flight_until.is_none()
    }

    fn wants_grant(&self, now: Timestamp, hold: Duration) -> bool {
        self.grant_in_flight_until.is_none()
            && self.next_grant_at <= now
            && hold >= HOLD_MIN
            && now + hold >= self.usable_until + RENEWAL_GAIN_MIN
    }
}

impl Call {
    /// Extends this call by the next slot's, if they are alike.
    fn try_extend(&mut self, next: &Call) -> bool {
        let (range, next_range) = match (&mut *self, next) {
            (
                Call::Grant { range, handover, .. },
                Call::Grant { range: next, handover: next_handover, .. },
            ) if handover == next_handover => (range, next),
            (
                Call::Release { range, successor, .. },
                Call::Release { range: next, successor: next_successor, .. },
            ) if successor == next_successor => (range, next),
            _ => return false,
        };
        let follows = range.last.0 + 1 == next_range.first.0 && range.token == next_range.token;
        if follows {
            range.last = next_range.last;
        }
        follows
    }
}
