//! What the upstream has been granted, slot by slot. No I/O: calls to the upstream are returned and
//! their ends told.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use model::{Instance, Slot, Timestamp, Token};
use upstream::HandoverToken;

use super::announced::{Exchange, Told};
use crate::report::UpstreamId;

/// How much longer than it was told an upstream may hold a key, since its clock may be slow: those that
/// enforce leases may be off by 2%.
pub(in crate::gate) const SLOW_CLOCK: f64 = 1.02;
/// What the way of a call to the upstream on the same instance may take.
pub(in crate::gate) const CALL_MARGIN: Duration = Duration::from_millis(20);
/// A grant for a shorter time is of no use.
pub(super) const HOLD_MIN: Duration = Duration::from_millis(100);
/// A renewal must gain this much: a fifth of a lease of 1.5 s, so three calls a second and run.
const RENEWAL_GAIN: Duration = Duration::from_millis(300);
/// The pause after a call that failed.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// How long a release may take, for the handover token's sake; a shorter rest of the lease does not
/// cut it short. Keys that come without it are slow at their new owner for some seconds.
const RELEASE_MAX: Duration = Duration::from_millis(1_800);
/// How long a handover token waits for its grant.
const HANDOVER_KEPT: Duration = Duration::from_secs(5);
const HANDOVERS_MAX: usize = 256;

/// Neighbouring slots that are treated alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Run {
    pub(super) first: Slot,
    pub(super) last: Slot,
    pub(super) token: Token,
}

/// A call to the upstream that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Call {
    Grant {
        run: Run,
        hold: Duration,
        handover: Option<HandoverToken>,
    },
    /// `to` takes the keys over.
    Release {
        run: Run,
        to: Option<Instance>,
        wait: Duration,
    },
    /// All keys are to be given up that were granted under tokens up to this one.
    Clear {
        token: Token,
    },
}

/// How a grant ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GrantEnd {
    Taken,
    /// The upstream has seen a higher token.
    Outdated,
    /// It may or may not take effect.
    Unknown,
}

#[derive(Debug)]
pub(super) struct Closing {
    pub(super) to: Option<Instance>,
    pub(super) until: Timestamp,
    pub(super) release: Release,
}

/// How far the release of a closing slot has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Release {
    Due,
    Pending,
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
    calling: Option<Timestamp>,
    /// The same of grants that got no answer: these may take effect after a later release.
    doubtful_until: Timestamp,
    next_call: Timestamp,
    pub(super) closing: Option<Closing>,
    /// What is known of it where the upstream is granted keys by its announcements.
    pub(super) told: Told,
}

#[derive(Debug)]
struct Handover {
    first: Slot,
    last: Slot,
    text: HandoverToken,
    at: Timestamp,
}

/// All slots that the upstream is to hold, holds, or is giving up.
#[derive(Debug, Default)]
pub(super) struct LeaseBook {
    pub(super) slots: BTreeMap<Slot, SlotLease>,
    handovers: Vec<Handover>,
    pub(super) clearing: Option<Clearing>,
    pub(super) exchange: Exchange,
    life: Option<Life>,
}

/// One life of an upstream: its name, and when it began in milliseconds of its time of day.
pub(in crate::gate) type Life = (Option<UpstreamId>, Option<u64>);

/// Nothing is granted until the upstream has given up what earlier sessions or lives of this agent
/// granted it: a release that arrives after a grant could undo it.
#[derive(Debug)]
pub(super) struct Clearing {
    pub(super) token: Token,
    pub(super) is_sent: bool,
}

impl LeaseBook {
    /// Control admits a slot.
    pub(super) fn admit(&mut self, now: Timestamp, slot: Slot, token: Token) {
        let handover = self.handover_of(now, slot);
        let former = self.slots.get(&slot);
        let held_until = former.map_or(now, |it| it.held_until);
        let doubtful_until = former.map_or(now, SlotLease::doubtful_until);
        let lease = SlotLease {
            token,
            handover,
            usable_until: Timestamp::ZERO,
            held_until,
            calling: None,
            doubtful_until,
            next_call: now,
            closing: None,
            told: Told::default(),
        };
        self.slots.insert(slot, lease);
    }

    /// Control takes a slot back; asked again, it goes on. False: it is not held under this token.
    pub(super) fn close(
        &mut self,
        now: Timestamp,
        slot: Slot,
        token: Token,
        to: Option<Instance>,
    ) -> bool {
        let Some(lease) = self.slots.get_mut(&slot).filter(|it| it.token == token) else {
            return false;
        };
        if let Some(closing) = &mut lease.closing {
            closing.to = to.or_else(|| closing.to.take());
            return true;
        }
        // What the upstream cannot hold needs no release.
        let until = match lease.held_until > now {
            true => lease.held_until.max(now + RELEASE_MAX),
            false => now,
        };
        lease.closing = Some(Closing { to, until, release: Release::Due });
        true
    }

    /// The upstream is to give up what it was granted under tokens up to this one.
    pub(super) fn clear(&mut self, token: Token) {
        self.clearing = Some(Clearing { token, is_sent: false });
    }

    /// The call for that has ended, with the upstream's word or without.
    pub(super) fn clear_ended(&mut self, token: Token) {
        self.clearing.take_if(|it| it.token == token);
    }

    /// The lease is gone: what the upstream holds runs out with it.
    pub(super) fn drop_all(&mut self) {
        self.exchange.gives_up |= !self.slots.is_empty();
        self.slots.clear();
    }

    /// The upstream that is there; another life than the one before holds nothing.
    pub(super) fn follow_life(&mut self, now: Timestamp, life: &Life) {
        match self.life.replace(life.clone()) {
            Some(known) if known != *life => self.upstream_replaced(now),
            _ => {}
        }
    }

    /// Another life of the upstream: it holds nothing.
    pub(super) fn upstream_replaced(&mut self, now: Timestamp) {
        for lease in self.slots.values_mut() {
            lease.usable_until = Timestamp::ZERO;
            lease.held_until = now;
            lease.doubtful_until = now;
            lease.handover = None;
            lease.told = Told::default();
        }
        self.exchange = Exchange::of_new_life();
    }

    /// The former owner's gate hands a token over: for slots that are admitted later, or that have been but
    /// are not granted yet.
    pub(super) fn take_handover(
        &mut self,
        now: Timestamp,
        first: Slot,
        last: Slot,
        text: HandoverToken,
    ) {
        for (_, lease) in self.slots.range_mut(first..=last) {
            if lease.is_untouched() {
                lease.handover = Some(Arc::clone(&text));
            }
        }
        self.handovers.retain(|it| now.since(it.at) < HANDOVER_KEPT);
        if self.handovers.len() < HANDOVERS_MAX {
            self.handovers.push(Handover { first, last, text, at: now });
        }
    }

    fn handover_of(&self, now: Timestamp, slot: Slot) -> Option<HandoverToken> {
        let fits = |it: &&Handover| {
            (it.first..=it.last).contains(&slot) && now.since(it.at) < HANDOVER_KEPT
        };
        self.handovers.iter().rev().find(fits).map(|it| Arc::clone(&it.text))
    }

    /// Whether requests for a slot may be given to the upstream.
    pub(super) fn is_usable(&self, now: Timestamp, slot: Slot) -> bool {
        let lease = self.slots.get(&slot);
        lease.is_some_and(|it| {
            it.closing.is_none() && now < it.usable_until && it.is_announced_usable(now)
        })
    }

    /// The calls that are due. `lease_until` is the end of the lease that this agent has itself: no
    /// grant outlasts it.
    pub(super) fn calls(&mut self, now: Timestamp, lease_until: Timestamp) -> Vec<Call> {
        if let Some(clearing) = &mut self.clearing {
            let is_due = !std::mem::replace(&mut clearing.is_sent, true);
            return is_due.then_some(Call::Clear { token: clearing.token }).into_iter().collect();
        }
        let hold = lease_until.since(now).saturating_sub(CALL_MARGIN).div_f64(SLOW_CLOCK);
        let mut calls: Vec<Call> = Vec::new();
        for (slot, lease) in &mut self.slots {
            let wants_grant = lease.wants_grant(now, hold);
            // A grant that is on its way might arrive after a release and undo it.
            let is_quiet = lease.calling.is_none();
            let call = match &mut lease.closing {
                Some(closing)
                    if closing.release == Release::Due && is_quiet && now < closing.until =>
                {
                    closing.release = Release::Pending;
                    let run = Run { first: *slot, last: *slot, token: lease.token };
                    let wait = closing.until.since(now);
                    Call::Release { run, to: closing.to.clone(), wait }
                }
                Some(_) => continue,
                None if wants_grant => {
                    // The time counts from when the call arrives, on a clock that may be slow.
                    let ends = now + hold.mul_f64(SLOW_CLOCK) + CALL_MARGIN;
                    lease.held_until = lease.held_until.max(ends);
                    lease.calling = Some(ends);
                    let run = Run { first: *slot, last: *slot, token: lease.token };
                    Call::Grant { run, hold, handover: lease.handover.clone() }
                }
                None => continue,
            };
            if !calls.last_mut().is_some_and(|it| it.takes(&call)) {
                calls.push(call);
            }
        }
        calls
    }

    /// A grant that was sent at `sent_at` has ended.
    pub(super) fn grant_ended(
        &mut self,
        now: Timestamp,
        run: Run,
        sent_at: Timestamp,
        hold: Duration,
        end: GrantEnd,
    ) {
        for (_, lease) in self.slots.range_mut(run.first..=run.last) {
            if lease.token != run.token {
                continue;
            }
            let ends = lease.calling.take().unwrap_or_default();
            match end {
                GrantEnd::Taken => {
                    lease.usable_until = lease.usable_until.max(sent_at + hold);
                    // It is warm from now on.
                    lease.handover = None;
                }
                GrantEnd::Outdated | GrantEnd::Unknown => {
                    lease.doubtful_until = lease.doubtful_until.max(ends);
                    lease.next_call = now + RETRY_AFTER;
                }
            }
        }
    }

    /// A release has ended: with an answer, or without.
    pub(super) fn release_ended(&mut self, now: Timestamp, run: Run, is_answered: bool) {
        for (_, lease) in self.slots.range_mut(run.first..=run.last) {
            let doubtful_until = lease.doubtful_until();
            let Some(closing) = lease.closing.as_mut().filter(|_| lease.token == run.token) else {
                continue;
            };
            closing.release = match is_answered {
                true => Release::Answered,
                false => Release::Due,
            };
            if is_answered {
                // Work does not outlast the hold under which it began.
                closing.until = lease.held_until;
                lease.held_until = doubtful_until.max(now);
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
                Release::Pending => return false,
                Release::Due => closing.until,
                Release::Answered => closing.until.min(works_until(*slot)),
            };
            may_be_at_work_until <= now && it.held_until <= now
        };
        let closed = self.slots.extract_if(.., |slot, it| is_closed(slot, it));
        closed.map(|(slot, it)| (slot, it.token)).collect()
    }
}

impl SlotLease {
    /// Until when grants that have no answer may make the upstream hold the slot.
    fn doubtful_until(&self) -> Timestamp {
        self.doubtful_until.max(self.calling.unwrap_or_default())
    }

    /// Whether the upstream has not been asked to take it.
    fn is_untouched(&self) -> bool {
        self.usable_until == Timestamp::ZERO && self.calling.is_none()
    }

    fn wants_grant(&self, now: Timestamp, hold: Duration) -> bool {
        self.calling.is_none()
            && self.next_call <= now
            && hold >= HOLD_MIN
            && now + hold >= self.usable_until + RENEWAL_GAIN
    }
}

impl Call {
    /// Extends this call by the next slot's, if they are alike.
    fn takes(&mut self, next: &Call) -> bool {
        let (run, next_run) = match (&mut *self, next) {
            (
                Call::Grant { run, handover, .. },
                Call::Grant { run: next, handover: next_handover, .. },
            ) if handover == next_handover => (run, next),
            (Call::Release { run, to, .. }, Call::Release { run: next, to: next_to, .. })
                if to == next_to =>
            {
                (run, next)
            }
            _ => return false,
        };
        let follows = run.last.0 + 1 == next_run.first.0 && run.token == next_run.token;
        if follows {
            run.last = next_run.last;
        }
        follows
    }
}
