//! Leases of the upstream, slot by slot. This module does no I/O: it returns the calls that are due
//! and is given their outcomes.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use model::{Instance, Slot, Timestamp, Token};
use upstream::HandoverToken;

use super::exchange::{AnswerState, Exchange};
use crate::report::UpstreamId;

/// Factor by which an upstream may hold a key longer than it was granted: the clock of an upstream
/// that enforces leases may be up to 2% slow.
pub(in crate::gate) const SLOW_CLOCK_FACTOR: f64 = 1.02;
/// Upper bound on the latency of a call to the upstream on the same instance.
pub(in crate::gate) const CALL_LATENCY_MARGIN: Duration = Duration::from_millis(20);
/// Shortest hold that is granted; anything shorter ends before it is of use.
pub(super) const HOLD_MIN: Duration = Duration::from_millis(100);
/// Shortest extension that a renewal is sent for: a fifth of a lease of 1.5 s, so about three
/// renewals per second and range.
const RENEWAL_GAIN_MIN: Duration = Duration::from_millis(300);
/// Delay before a failed grant is retried.
const GRANT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Upper bound on the duration of a release, even if less of the lease remains: the answer carries
/// the handover token, and keys taken over without one are slow at their new owner for some
/// seconds.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_800);
/// How long a handover token is stored until a grant uses it.
const HANDOVER_TOKEN_TTL: Duration = Duration::from_secs(5);
const HANDOVER_TOKENS_MAX: usize = 256;

/// Consecutive slots that are held under the same token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SlotRange {
    pub(super) first: Slot,
    pub(super) last: Slot,
    pub(super) token: Token,
}

/// A call that is due to the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Call {
    /// A grant, which is started by [`SlotLeases::start_grant`] once there is a connection for it.
    Grant { range: SlotRange },
    /// Release of the keys of a range; `successor` takes them over, if there is one.
    Release { range: SlotRange, successor: Option<Instance>, wait_max: Duration },
    /// Release of all keys granted under tokens up to and including this one.
    Clear { token: Token },
}

/// A grant that is sent at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StartedGrant {
    pub(super) range: SlotRange,
    pub(super) hold: Duration,
    pub(super) handover: Option<HandoverToken>,
}

/// The outcome of a grant call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GrantOutcome {
    Accepted,
    /// The upstream refused the grant because it has seen a higher token.
    Outdated,
    /// The grant has not reached the upstream and never takes effect.
    NotSent,
    /// The call failed or timed out; the grant may still take effect.
    Unknown,
}

/// State of a slot that is being closed.
#[derive(Debug)]
pub(super) struct Closing {
    pub(super) successor: Option<Instance>,
    /// Time until which the release is attempted; once it is answered, the latest end of the
    /// requests on the slot.
    pub(super) until: Timestamp,
    pub(super) release: ReleaseState,
}

/// Progress of the release of a closing slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReleaseState {
    Due,
    InFlight,
    /// The upstream no longer holds the slot but may still run requests on it.
    Answered,
}

/// The lease of one slot.
#[derive(Debug)]
pub(super) struct SlotLease {
    pub(super) token: Token,
    pub(super) handover: Option<HandoverToken>,
    /// End of the period in which requests may be sent; set once the upstream has acknowledged the
    /// grant.
    pub(super) usable_until: Timestamp,
    /// Latest time until which the upstream may hold the slot, whichever messages were lost.
    pub(super) held_until: Timestamp,
    /// Whether a grant waits for its connection.
    is_connecting: bool,
    /// End of the hold that the grant in flight would give the upstream, if one is in flight.
    grant_in_flight_until: Option<Timestamp>,
    /// The value of `held_until` before the grant in flight was sent.
    held_until_before_grant: Timestamp,
    /// Latest end of the holds of unanswered grants, which may take effect even after a later
    /// release.
    unanswered_until: Timestamp,
    next_grant_at: Timestamp,
    pub(super) closing: Option<Closing>,
    /// Whether the slot was admitted for an incarnation of the upstream that has ended. It is not granted to the next
    /// one under the same token.
    pub(super) is_void: bool,
    /// Effect of the answers to announcements, for upstreams that are granted keys in these
    /// answers.
    pub(super) answer_state: AnswerState,
}

/// A handover token that is stored until the slots are granted.
#[derive(Debug)]
struct StoredHandover {
    first: Slot,
    last: Slot,
    handover: HandoverToken,
    received_at: Timestamp,
}

/// All slots that the upstream is meant to hold, holds, or is releasing.
#[derive(Debug, Default)]
pub(super) struct SlotLeases {
    pub(super) slots: BTreeMap<Slot, SlotLease>,
    handovers: Vec<StoredHandover>,
    pub(super) clearing: Option<Clearing>,
    pub(super) exchange: Exchange,
    incarnation: Option<UpstreamIncarnation>,
}

/// Incarnation of an upstream: its id and its start time in milliseconds on its wall clock.
pub(in crate::gate) type UpstreamIncarnation = (Option<UpstreamId>, Option<u64>);

/// A pending release of all grants that earlier sessions or incarnations of this agent made.
/// Nothing is granted before it has ended, because a release that arrives after a grant could undo
/// the grant.
#[derive(Debug)]
pub(super) struct Clearing {
    pub(super) token: Token,
    pub(super) is_sent: bool,
}

impl SlotLeases {
    /// Adds a slot that the control thread has admitted.
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
            is_connecting: false,
            grant_in_flight_until: None,
            held_until_before_grant: held_until,
            unanswered_until,
            next_grant_at: now,
            closing: None,
            is_void: false,
            answer_state: AnswerState::default(),
        };
        self.slots.insert(slot, lease);
    }

    /// Starts to close a slot that the control thread takes back; a repeated call only updates the
    /// successor. Returns false if the slot is not held under this token.
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
        // A slot that the upstream cannot hold needs no release.
        let until = match lease.held_until > now {
            true => lease.held_until.max(now + RELEASE_TIMEOUT),
            false => now,
        };
        lease.closing = Some(Closing { successor, until, release: ReleaseState::Due });
        true
    }

    /// Starts to release all grants under tokens up to and including this one.
    pub(super) fn clear(&mut self, token: Token) {
        self.clearing = Some(Clearing { token, is_sent: false });
    }

    /// Ends the release that [`SlotLeases::clear`] started, whether the upstream answered or not.
    pub(super) fn finish_clear(&mut self, token: Token) {
        self.clearing.take_if(|it| it.token == token);
    }

    /// Drops all slots after the agent's own lease is lost: the holds of the upstream expire with
    /// that lease.
    pub(super) fn drop_all(&mut self) {
        self.exchange.must_revoke |= !self.slots.is_empty();
        self.slots.clear();
    }

    /// Records the upstream's incarnation. A new incarnation holds no slots. Must be called before slots are admitted for
    /// it.
    pub(super) fn follow_incarnation(&mut self, now: Timestamp, incarnation: &UpstreamIncarnation) {
        match self.incarnation.replace(incarnation.clone()) {
            Some(former) if former != *incarnation => self.reset_for_new_incarnation(now),
            _ => {}
        }
    }

    /// Records that this incarnation has ended, unless it is no longer the recorded one.
    pub(super) fn end_incarnation(&mut self, now: Timestamp, incarnation: &UpstreamIncarnation) {
        if self.incarnation.as_ref() == Some(incarnation) {
            self.reset_for_new_incarnation(now);
        }
    }

    /// Voids all leases: the incarnation that held the slots has ended, and the next one may hold them only under a
    /// higher token.
    pub(super) fn reset_for_new_incarnation(&mut self, now: Timestamp) {
        for lease in self.slots.values_mut() {
            lease.usable_until = Timestamp::ZERO;
            lease.held_until = now;
            lease.is_connecting = false;
            lease.grant_in_flight_until = None;
            lease.unanswered_until = now;
            lease.handover = None;
            lease.is_void = true;
            lease.answer_state = AnswerState::default();
        }
        self.exchange = Exchange::for_new_incarnation();
    }

    /// Stores a handover token from the former owner's gate for slots that are admitted later, and
    /// for admitted slots that have not been granted yet.
    pub(super) fn store_handover_token(
        &mut self,
        now: Timestamp,
        first: Slot,
        last: Slot,
        handover: HandoverToken,
    ) {
        for (_, lease) in self.slots.range_mut(first..=last) {
            if lease.is_never_requested() {
                lease.handover = Some(Arc::clone(&handover));
            }
        }
        self.handovers.retain(|it| now.since(it.received_at) < HANDOVER_TOKEN_TTL);
        if self.handovers.len() < HANDOVER_TOKENS_MAX {
            self.handovers.push(StoredHandover { first, last, handover, received_at: now });
        }
    }

    fn handover_token_for(&self, now: Timestamp, slot: Slot) -> Option<HandoverToken> {
        let applies = |it: &&StoredHandover| {
            (it.first..=it.last).contains(&slot) && now.since(it.received_at) < HANDOVER_TOKEN_TTL
        };
        self.handovers.iter().rev().find(applies).map(|it| Arc::clone(&it.handover))
    }

    /// Returns whether requests for a slot may be sent to the upstream.
    pub(super) fn is_usable(&self, now: Timestamp, slot: Slot) -> bool {
        let lease = self.slots.get(&slot);
        lease.is_some_and(|it| {
            it.closing.is_none() && now < it.usable_until && it.is_grant_read(now)
        })
    }

    /// Returns the calls that are due. `lease_until` is the end of this agent's own lease, which no
    /// grant outlasts.
    pub(super) fn due_calls(&mut self, now: Timestamp, lease_until: Timestamp) -> Vec<Call> {
        if let Some(clearing) = &mut self.clearing {
            let is_due = !std::mem::replace(&mut clearing.is_sent, true);
            return is_due.then_some(Call::Clear { token: clearing.token }).into_iter().collect();
        }
        let hold = hold_within(now, lease_until);
        let mut calls: Vec<Call> = Vec::new();
        for (slot, lease) in &mut self.slots {
            let needs_grant = lease.needs_grant(now, hold);
            // A grant in flight might arrive after the release and undo it.
            let no_grant_in_flight = lease.grant_in_flight_until.is_none();
            let call = match &mut lease.closing {
                _ if lease.is_void => continue,
                Some(closing)
                    if closing.release == ReleaseState::Due
                        && no_grant_in_flight
                        && now < closing.until =>
                {
                    closing.release = ReleaseState::InFlight;
                    let range = SlotRange { first: *slot, last: *slot, token: lease.token };
                    let wait_max = closing.until.since(now);
                    Call::Release { range, successor: closing.successor.clone(), wait_max }
                }
                Some(_) => continue,
                None if needs_grant => {
                    lease.is_connecting = true;
                    let range = SlotRange { first: *slot, last: *slot, token: lease.token };
                    Call::Grant { range }
                }
                None => continue,
            };
            if !calls.last_mut().is_some_and(|it| it.try_extend(&call)) {
                calls.push(call);
            }
        }
        calls
    }

    /// Starts a grant for which there is a connection now. Returns `None` if none of the slots may be granted any more, and
    /// otherwise the first of them that can be granted together; the others become due again.
    pub(super) fn start_grant(
        &mut self,
        now: Timestamp,
        lease_until: Timestamp,
        range: SlotRange,
    ) -> Option<StartedGrant> {
        let hold = hold_within(now, lease_until);
        // The hold counts from the arrival of the call, on a clock that may be slow.
        let hold_end = now + hold.mul_f64(SLOW_CLOCK_FACTOR) + CALL_LATENCY_MARGIN;
        let may_grant = self.clearing.is_none() && hold >= HOLD_MIN;
        let mut started: Option<StartedGrant> = None;
        for (slot, lease) in self.slots.range_mut(range.first..=range.last) {
            if lease.token != range.token || !std::mem::take(&mut lease.is_connecting) {
                continue;
            }
            let is_next = started
                .as_ref()
                .is_none_or(|it| it.range.last.0 + 1 == slot.0 && it.handover == lease.handover);
            if !may_grant || lease.closing.is_some() || lease.is_void || !is_next {
                continue;
            }
            lease.held_until_before_grant = lease.held_until;
            lease.held_until = lease.held_until.max(hold_end);
            lease.grant_in_flight_until = Some(hold_end);
            let first = started.as_ref().map_or(*slot, |it| it.range.first);
            let range = SlotRange { first, last: *slot, token: range.token };
            started = Some(StartedGrant { range, hold, handover: lease.handover.clone() });
        }
        started
    }

    /// Records that there is no connection for a grant.
    pub(super) fn abandon_grant(&mut self, now: Timestamp, range: SlotRange) {
        for (_, lease) in self.slots.range_mut(range.first..=range.last) {
            if lease.token == range.token && std::mem::take(&mut lease.is_connecting) {
                lease.next_grant_at = now + GRANT_RETRY_DELAY;
            }
        }
    }

    /// Records the outcome of a grant call that was sent at `sent_at`.
    pub(super) fn finish_grant(
        &mut self,
        now: Timestamp,
        range: SlotRange,
        sent_at: Timestamp,
        hold: Duration,
        outcome: GrantOutcome,
    ) {
        for (_, lease) in self.slots.range_mut(range.first..=range.last) {
            if lease.token != range.token || lease.is_void {
                continue;
            }
            let hold_end = lease.grant_in_flight_until.take().unwrap_or_default();
            match outcome {
                GrantOutcome::Accepted => {
                    lease.usable_until = lease.usable_until.max(sent_at + hold);
                    // The keys are warm from now on.
                    lease.handover = None;
                }
                GrantOutcome::NotSent => {
                    lease.held_until = lease.held_until_before_grant;
                    lease.next_grant_at = now + GRANT_RETRY_DELAY;
                }
                GrantOutcome::Outdated | GrantOutcome::Unknown => {
                    lease.unanswered_until = lease.unanswered_until.max(hold_end);
                    lease.next_grant_at = now + GRANT_RETRY_DELAY;
                }
            }
        }
    }

    /// Records the end of a release call, with or without an answer.
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
                // Requests do not outlast the hold under which they started.
                closing.until = lease.held_until;
                lease.held_until = unanswered_until.max(now);
            }
        }
    }

    /// Removes and returns the slots that the upstream can no longer hold and on which it runs no
    /// requests. `runs_until` returns the latest end of the requests on a slot, regardless of its
    /// hold.
    pub(super) fn take_closed(
        &mut self,
        now: Timestamp,
        runs_until: impl Fn(Slot) -> Timestamp,
    ) -> Vec<(Slot, Token)> {
        let is_closed = |slot: &Slot, it: &SlotLease| {
            let Some(closing) = &it.closing else { return false };
            let may_run_until = match closing.release {
                _ if it.is_void => closing.until.min(runs_until(*slot)),
                ReleaseState::InFlight => return false,
                ReleaseState::Due => closing.until,
                ReleaseState::Answered => closing.until.min(runs_until(*slot)),
            };
            may_run_until <= now && it.held_until <= now
        };
        let closed = self.slots.extract_if(.., |slot, it| is_closed(slot, it));
        closed.map(|(slot, it)| (slot, it.token)).collect()
    }
}

/// Returns the longest hold that a grant sent now may have: it counts from the arrival of the call, on a clock that may be
/// slow, and must not outlast the lease.
fn hold_within(now: Timestamp, lease_until: Timestamp) -> Duration {
    lease_until.since(now).saturating_sub(CALL_LATENCY_MARGIN).div_f64(SLOW_CLOCK_FACTOR)
}

impl SlotLease {
    /// Returns the latest time until which unanswered grants, including the one in flight, may make
    /// the upstream hold the slot.
    fn unanswered_until(&self) -> Timestamp {
        self.unanswered_until.max(self.grant_in_flight_until.unwrap_or_default())
    }

    /// Returns whether no grant of the slot has been sent or accepted.
    fn is_never_requested(&self) -> bool {
        self.usable_until == Timestamp::ZERO && self.grant_in_flight_until.is_none()
    }

    fn needs_grant(&self, now: Timestamp, hold: Duration) -> bool {
        self.grant_in_flight_until.is_none()
            && !self.is_connecting
            && self.next_grant_at <= now
            && hold >= HOLD_MIN
            && now + hold >= self.usable_until + RENEWAL_GAIN_MIN
    }
}

impl Call {
    /// Extends this call by the next slot's call if both have the same parameters and adjacent
    /// slots. Returns whether it did.
    fn try_extend(&mut self, next: &Call) -> bool {
        let (range, next_range) = match (&mut *self, next) {
            (Call::Grant { range }, Call::Grant { range: next }) => (range, next),
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
