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

use super::book::{CALL_MARGIN, HOLD_MIN, LeaseBook, Release, Run, SLOW_CLOCK, SlotLease};

/// How long after its announcement an answer can take effect: one second by the upstream's clock, which may
/// be 2% slow, and the way of the announcement.
const ANSWER_COUNTS_FOR: Duration = Duration::from_millis(1_050);
/// What the upstream takes to read an answer; a request that comes sooner is refused as not run.
pub(super) const TAKEN_AFTER: Duration = Duration::from_millis(3);
/// So many answers in a row without effect mean that the upstream refuses the token and has not just missed one.
const MISSES_MAX: u8 = 3;
/// New grants leave this part of an answer free, so that slots given up in the midst of runs still fit.
const ROOM_FOR_CUTS: usize = 4;

/// What answers have told the upstream of one slot.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Told {
    /// The last answer granted it, and nothing has shown that this was without effect.
    is_granted: bool,
    /// Until when answers that granted it may take effect.
    effective_until: Timestamp,
    /// The upstream has shown that it holds the slot under this token.
    is_shown: bool,
    /// It is not usable before: the answer is on its way.
    usable_from: Timestamp,
    /// An answer has left it out, as it is to be given up.
    is_left_out: bool,
    /// Answers in a row that granted it without effect.
    misses: u8,
}

/// What the last exchange with the upstream has shown.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// The last answer granted nothing.
    granted_nothing: bool,
    /// The upstream holds nothing: it said so after an answer that granted nothing, or has just started.
    pub(super) holds_nothing: bool,
    /// Something that was granted is to be given up at once.
    pub(super) gives_up: bool,
    /// The number of the last announcement.
    sequence: u64,
}

impl Exchange {
    pub(super) fn of_new_life() -> Exchange {
        Exchange { granted_nothing: true, holds_nothing: true, gives_up: false, sequence: 0 }
    }
}

/// What an announcement shows, in slots.
#[derive(Debug, Clone, Default)]
pub(super) struct Shown {
    /// What the upstream holds or still works on.
    pub(super) held: Vec<Run>,
    pub(super) released: Vec<ReleasedRun>,
}

/// Neighbouring slots that the upstream has given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ReleasedRun {
    pub(super) first: Slot,
    pub(super) last: Slot,
    pub(super) handover: HandoverToken,
}

/// Slots that the upstream has given up, and who takes them over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct GivenUp {
    pub(super) run: Run,
    pub(super) to: Option<Instance>,
    /// None: it comes without one, as after a hold that ran out.
    pub(super) handover: Option<HandoverToken>,
}

/// What follows from an announcement.
#[derive(Debug, Default)]
pub(super) struct Heard {
    pub(super) given_up: Vec<GivenUp>,
    /// The upstream refuses this token.
    pub(super) outdated: Option<Token>,
    /// It still has to give something up, and tells of it soon if it is answered.
    pub(super) is_giving_up: bool,
}

/// Neighbouring slots that are granted alike, and the token of their last holder if they are new to this one.
pub(super) type KeyRun = (Run, Option<HandoverToken>);

/// All that the upstream is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ToHold {
    pub(super) grants: Vec<KeyRun>,
    /// Counted from when the announcement was sent.
    pub(super) hold: Duration,
    /// How many runs wait for a later answer, for there is no room.
    pub(super) put_off: usize,
}

impl Shown {
    fn token_of(&self, slot: Slot) -> Option<Token> {
        self.held.iter().find(|it| (it.first..=it.last).contains(&slot)).map(|it| it.token)
    }

    fn handover_of(&self, slot: Slot) -> Option<&HandoverToken> {
        let covers = |it: &&ReleasedRun| (it.first..=it.last).contains(&slot);
        self.released.iter().find(covers).map(|it| &it.handover)
    }
}

impl LeaseBook {
    /// Whether an announcement comes after all that were taken in; late and doubled ones don't.
    pub(super) fn is_next(&mut self, sequence: u64) -> bool {
        let is_next = sequence > self.exchange.sequence;
        self.exchange.sequence = self.exchange.sequence.max(sequence);
        is_next
    }

    /// Takes in what an announcement shows.
    pub(super) fn heard(&mut self, now: Timestamp, shown: &Shown) -> Heard {
        self.exchange.holds_nothing =
            shown.held.is_empty() && (self.exchange.holds_nothing || self.exchange.granted_nothing);
        for it in &shown.released {
            self.take_handover(now, it.first, it.last, HandoverToken::clone(&it.handover));
        }
        let mut heard = Heard { is_giving_up: self.must_give_up(shown), ..Heard::default() };
        for (slot, lease) in &mut self.slots {
            let token = shown.token_of(*slot);
            if lease.closing.is_none() {
                if lease.shown_with(token) >= MISSES_MAX {
                    heard.outdated = Some(lease.token);
                }
                continue;
            }
            if token.is_some() || !lease.is_given_up(now) {
                continue;
            }
            let Some(closing) = &mut lease.closing else { continue };
            closing.release = Release::Pending;
            let run = Run { first: *slot, last: *slot, token: lease.token };
            let handover = shown.handover_of(*slot).cloned();
            let next = GivenUp { run, to: closing.to.clone(), handover };
            if !heard.given_up.last_mut().is_some_and(|it| it.takes(&next)) {
                heard.given_up.push(next);
            }
        }
        heard
    }

    /// Whether the upstream holds or works on something that it is to give up.
    fn must_give_up(&self, shown: &Shown) -> bool {
        let is_kept = |slot: u16, token| {
            let lease = self.slots.get(&Slot(slot));
            lease.is_some_and(|it| it.closing.is_none() && it.token == token)
        };
        shown.held.iter().any(|it| (it.first.0..=it.last.0).any(|slot| !is_kept(slot, it.token)))
    }

    /// Whether there is something that the upstream should be told now.
    pub(super) fn has_news(&self, now: Timestamp, lease_until: Timestamp) -> bool {
        if let Some(clearing) = &self.clearing {
            return !clearing.is_sent;
        }
        let may_grant = lease_until.since(now) >= 2 * HOLD_MIN;
        let is_news = |it: &SlotLease| match it.closing {
            Some(_) => !it.told.is_left_out && it.held_until > now,
            None => may_grant && !it.told.is_granted,
        };
        self.exchange.gives_up || self.slots.values().any(is_news)
    }

    /// The answer to an announcement that was heard at `heard_at`, with no more than `ranges_max` runs.
    pub(super) fn to_hold(
        &mut self,
        now: Timestamp,
        heard_at: Timestamp,
        lease_until: Timestamp,
        ranges_max: usize,
    ) -> ToHold {
        self.exchange.gives_up = false;
        let hold = lease_until.since(heard_at).saturating_sub(CALL_MARGIN).div_f64(SLOW_CLOCK);
        if let Some(clearing) = &mut self.clearing {
            clearing.is_sent = true;
        }
        let (grants, put_off) = match self.clearing.is_none() && hold >= HOLD_MIN {
            true => self.runs(ranges_max),
            false => Default::default(),
        };
        self.exchange.granted_nothing = grants.is_empty();
        self.exchange.holds_nothing &= grants.is_empty();
        let held_until = heard_at + hold.mul_f64(SLOW_CLOCK) + CALL_MARGIN;
        for (run, _) in &grants {
            for (_, lease) in self.slots.range_mut(run.first..=run.last) {
                lease.held_until = lease.held_until.max(held_until);
                lease.usable_until = heard_at + hold.saturating_sub(CALL_MARGIN);
                if !lease.told.is_granted {
                    lease.told.usable_from = now + TAKEN_AFTER;
                }
                lease.told.is_granted = true;
                lease.told.effective_until = heard_at + ANSWER_COUNTS_FOR;
            }
        }
        let granted = |slot: Slot| grants.iter().any(|it| (it.0.first..=it.0.last).contains(&slot));
        for (slot, lease) in self.slots.iter_mut().filter(|it| it.1.closing.is_some()) {
            lease.told.is_left_out = !granted(*slot);
        }
        ToHold { grants, hold: hold.max(HOLD_MIN), put_off }
    }

    /// The runs of an answer. Where they are too many, some of those that were never granted wait for a later
    /// answer, and slots that are to be given up are granted on: the upstream would give up whatever is
    /// left out.
    fn runs(&self, ranges_max: usize) -> (Vec<KeyRun>, usize) {
        let mut runs = self.runs_of(|it| it.closing.is_none());
        let new_max = ranges_max - ranges_max / ROOM_FOR_CUTS;
        let mut put_off = 0;
        while runs.len() > new_max
            && let Some(at) = runs.iter().rposition(|it| self.is_new(it.0))
        {
            runs.remove(at);
            put_off += 1;
        }
        if runs.len() > ranges_max {
            put_off += runs.len() - ranges_max;
            runs = self.runs_of(|it| it.told.is_granted && !it.told.is_left_out);
        }
        (runs, put_off)
    }

    /// Whether no answer has granted any of these slots.
    fn is_new(&self, run: Run) -> bool {
        !self.slots.range(run.first..=run.last).any(|it| it.1.told.is_granted)
    }

    fn runs_of(&self, is_in: impl Fn(&SlotLease) -> bool) -> Vec<KeyRun> {
        let mut runs: Vec<KeyRun> = Vec::new();
        for (slot, lease) in self.slots.iter().filter(|it| is_in(it.1)) {
            let handover = lease.handover.as_ref().filter(|it| !it.is_empty());
            match runs.last_mut() {
                Some((run, its_handover))
                    if run.last.0 + 1 == slot.0
                        && run.token == lease.token
                        && its_handover.as_ref() == handover =>
                {
                    run.last = *slot;
                }
                _ => {
                    let run = Run { first: *slot, last: *slot, token: lease.token };
                    runs.push((run, handover.cloned()));
                }
            }
        }
        runs
    }

    /// The upstream holds nothing of earlier sessions or lives, as it was to be brought to.
    pub(super) fn take_cleared(&mut self) -> Option<Token> {
        let cleared = self.clearing.take_if(|_| self.exchange.holds_nothing);
        cleared.map(|it| it.token)
    }
}

impl SlotLease {
    /// Until when the answers that granted it count for its use.
    pub(super) fn is_announced_usable(&self, now: Timestamp) -> bool {
        now >= self.told.usable_from
    }

    /// An announcement shows the slot under this token, or not at all. Returns how often in a row it has not been
    /// shown after an answer that granted it.
    fn shown_with(&mut self, token: Option<Token>) -> u8 {
        let told = &mut self.told;
        if token == Some(self.token) {
            told.is_shown = true;
            told.misses = 0;
            // Its keys are warm from now on.
            self.handover = None;
        } else if std::mem::take(&mut told.is_granted) {
            told.is_shown = false;
            told.misses = told.misses.saturating_add(1);
            self.usable_until = Timestamp::ZERO;
        }
        told.misses
    }

    /// Whether the upstream, which does not show it, has given it up for good: an answer that granted it
    /// may still be on its way unless its effect was seen.
    fn is_given_up(&self, now: Timestamp) -> bool {
        let is_told = self.told.is_left_out || self.held_until <= now;
        let settled = self.told.is_shown || self.told.effective_until <= now;
        let waits = self.closing.as_ref().is_some_and(|it| it.release == Release::Due);
        waits && is_told && settled
    }
}

impl GivenUp {
    /// Extends this run by the next slot, if they are alike.
    fn takes(&mut self, next: &GivenUp) -> bool {
        let follows = self.run.last.0 + 1 == next.run.first.0 && self.run.token == next.run.token;
        let fits = follows && self.to == next.to && self.handover == next.handover;
        if fits {
            self.run.last = next.run.last;
        }
        fits
    }
}
