//! The coordinator's confirmation: proof, valid for a short time, that no later term has begun.
//!
//! A coordinator may renew leases only while its term is confirmed, by a majority of witnesses or
//! by a read of its object in the platform.

use std::{collections::VecDeque, time::Duration};

use model::{Instance, Term, Timestamp};

use crate::{
    CallId, Confirmation, Message, PlatformRequest, TermTimes,
    ctx::{Ctx, MemberId, is_same_agent, is_same_incarnation},
    rules::{self, Rule},
};

/// The most queries to witnesses whose replies are still accepted.
const QUERIES_MAX: usize = 8;
/// The number of queries or reads sent within the time for which one confirmation is valid.
const ATTEMPTS_PER_CONFIRMATION: u32 = 3;
/// The interval of reads of the coordinator object where the platform does not confirm the term.
const READ_INTERVAL: Duration = Duration::from_secs(10);
/// The number of reads sent within the longest allowed absence from the platform, so that a few may
/// fail.
const READS_PER_ABSENCE: u32 = 7;
/// The delay before a failed read is repeated.
const READ_RETRY: Duration = Duration::from_millis(100);
/// The platform counts as reachable for this long after a successful read or update was sent.
const CONTACT_AGE_MAX: Duration = Duration::from_secs(1);

/// A query to all witnesses, and the witnesses that have replied to it.
#[derive(Debug)]
struct Query {
    number: u64,
    sent_at: Timestamp,
    replied: Vec<MemberId>,
}

/// The conditions under which a term is currently confirmed.
pub(crate) struct ConfirmationPolicy<'a> {
    /// The confirmation method in force, or `None` while a change of it is in doubt, so that
    /// nothing confirms the term.
    pub(crate) method: Option<Confirmation>,
    /// All witness sets that may be in force; a majority of each has to confirm.
    pub(crate) witness_sets: Vec<&'a [Instance]>,
    pub(crate) times: TermTimes,
}

/// Queries to witnesses and reads of the platform, and the confirmation that they have given.
#[derive(Debug)]
pub(crate) struct TermConfirmation {
    queries: VecDeque<Query>,
    last_number: u64,
    next_query_at: Timestamp,
    /// The read in flight, and when it was sent.
    pending_read: Option<(CallId, Timestamp)>,
    next_read_at: Timestamp,
    next_unkeyed_read_at: Timestamp,
    valid_until: Timestamp,
    /// When the newest query or read was sent that proved that no later term existed.
    proved_at: Timestamp,
    /// When the confirmation was last discarded.
    reset_at: Timestamp,
    /// Whether the confirmation was discarded, and no read sent since has shown this term.
    awaits_proof: bool,
    /// When the newest read or update was sent that showed this term in the platform.
    reached_platform_at: Timestamp,
    /// Witnesses that have replied for this term, or have ended: they confirm no lower term.
    promised: Vec<MemberId>,
    /// When `promised` first included a majority of each witness set.
    promised_at: Option<Timestamp>,
}

impl TermConfirmation {
    /// Creates the confirmation state of a term that an update sent at `sent_at` has acquired.
    pub(crate) fn new(
        now: Timestamp,
        sent_at: Timestamp,
        policy: &ConfirmationPolicy<'_>,
    ) -> TermConfirmation {
        let valid_until = match policy.method {
            Some(Confirmation::Platform) => sent_at + policy.times.platform_confirmation(),
            _ => Timestamp::ZERO,
        };
        TermConfirmation {
            queries: VecDeque::new(),
            last_number: 0,
            next_query_at: now,
            pending_read: None,
            next_read_at: now,
            next_unkeyed_read_at: now + READ_INTERVAL,
            valid_until,
            proved_at: Timestamp::ZERO,
            reset_at: now,
            awaits_proof: false,
            reached_platform_at: sent_at,
            promised: Vec::new(),
            promised_at: None,
        }
    }

    /// Returns when the confirmation ends.
    pub(crate) fn valid_until(&self) -> Timestamp {
        self.valid_until
    }

    /// Returns when the term became unconfirmed, which is in the future while it is confirmed.
    pub(crate) fn unconfirmed_since(&self) -> Timestamp {
        self.valid_until.max(self.reset_at)
    }

    /// Returns whether the term is confirmed, so that leases may be renewed.
    pub(crate) fn is_valid(&self, now: Timestamp, policy: &ConfirmationPolicy<'_>) -> bool {
        match policy.method {
            None => false,
            Some(Confirmation::Platform) => now < self.valid_until,
            Some(Confirmation::Witnesses) => {
                let absence = now.since(self.reached_platform_at);
                now < self.valid_until && absence < policy.times.platform_absence_max()
            }
        }
    }

    /// Returns when a majority of the witnesses had promised to confirm no lower term.
    pub(crate) fn promised_at(&self) -> Option<Timestamp> {
        self.promised_at
    }

    /// Returns when the newest query or read was sent that proved that no later term existed.
    pub(crate) fn proved_at(&self) -> Timestamp {
        self.proved_at
    }

    /// Schedules a query and a read for the next tick, because a grant depends on proof newer than
    /// `now`.
    pub(crate) fn request_confirmation(&mut self, now: Timestamp) {
        self.next_query_at = now;
        self.next_read_at = self.next_read_at.min(now);
    }

    /// Discards the confirmation, after a pause or a change of the method.
    pub(crate) fn reset(&mut self, now: Timestamp) {
        self.valid_until = Timestamp::ZERO;
        self.proved_at = Timestamp::ZERO;
        self.reset_at = now;
        self.awaits_proof = true;
        self.next_query_at = now;
        self.next_read_at = now;
    }

    /// Returns whether the confirmation was discarded, and no read sent since has shown this term.
    pub(crate) fn awaits_proof(&self) -> bool {
        self.awaits_proof
    }

    /// Returns whether the platform has shown this term within the last second.
    pub(crate) fn is_platform_reachable(&self, now: Timestamp) -> bool {
        now.since(self.reached_platform_at) < CONTACT_AGE_MAX
    }

    /// Returns when the newest read or update was sent that showed this term in the platform.
    pub(crate) fn reached_platform_at(&self) -> Timestamp {
        self.reached_platform_at
    }

    /// Schedules a read soon, to check whether the platform is reachable.
    pub(crate) fn schedule_read(&mut self, now: Timestamp) {
        self.next_read_at = self.next_read_at.min(now + READ_RETRY);
    }

    /// Records that an update of the coordinator object, sent at `sent_at`, has taken effect.
    pub(crate) fn record_update(&mut self, sent_at: Timestamp) {
        self.reached_platform_at = self.reached_platform_at.max(sent_at);
    }

    /// Sends the query to witnesses and the read of the platform that are due.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>, term: Term, policy: &ConfirmationPolicy<'_>) {
        let uses_witnesses = policy.method != Some(Confirmation::Platform);
        if uses_witnesses && self.next_query_at <= ctx.now {
            self.send_query(ctx, term, policy);
        }
        if self.pending_read.is_none() && self.next_read_at <= ctx.now {
            let call = ctx.call_platform(PlatformRequest::ReadCoordinator);
            self.pending_read = Some((call, ctx.now));
            self.next_read_at = Timestamp { ns: u64::MAX };
        }
        // Without a confirmation by witnesses, the platform is read to check whether the method can
        // be changed.
        if uses_witnesses && !self.is_valid(ctx.now, policy) {
            self.next_read_at = self.next_read_at.min(ctx.now + READ_RETRY);
        }
    }

    /// Sends the read that is due in a group without keys. Nothing is granted there, so the read
    /// serves only to detect a later term that no message has announced, or as the proof that is
    /// needed after a pause.
    pub(crate) fn tick_unkeyed(&mut self, ctx: &mut Ctx<'_>) {
        let is_proof_due =
            ctx.config.designates_members && self.awaits_proof && self.next_read_at <= ctx.now;
        let is_due = is_proof_due || self.next_unkeyed_read_at <= ctx.now;
        if self.pending_read.is_none() && is_due {
            let call = ctx.call_platform(PlatformRequest::ReadCoordinator);
            self.pending_read = Some((call, ctx.now));
            self.next_read_at = Timestamp { ns: u64::MAX };
            self.next_unkeyed_read_at = ctx.now + READ_INTERVAL;
        }
    }

    /// Sends the next query to all witnesses.
    fn send_query(&mut self, ctx: &mut Ctx<'_>, term: Term, policy: &ConfirmationPolicy<'_>) {
        self.last_number += 1;
        let number = self.last_number;
        self.next_query_at = ctx.now + policy.times.confirmation() / ATTEMPTS_PER_CONFIRMATION;
        self.queries.push_back(Query { number, sent_at: ctx.now, replied: Vec::new() });
        if self.queries.len() > QUERIES_MAX {
            self.queries.pop_front();
        }
        let mut recipients: Vec<&Instance> = Vec::new();
        for witness in policy.witness_sets.iter().copied().flatten() {
            if !recipients.iter().any(|it| is_same_incarnation(it, witness)) {
                recipients.push(witness);
            }
        }
        for witness in recipients {
            ctx.send_to_agent(witness, Message::WitnessQuery { term, number });
        }
    }

    /// Counts a reply of a witness that had received no higher term. A reply of a later incarnation
    /// of the witness counts if that incarnation has read the platform since it started: each term
    /// that the earlier one confirmed had been written there before.
    pub(crate) fn handle_reply(
        &mut self,
        now: Timestamp,
        from: &Instance,
        number: u64,
        has_read: bool,
        policy: &ConfirmationPolicy<'_>,
    ) {
        let matches_reply = |it: &&Instance| {
            is_same_incarnation(it, from)
                || (is_same_agent(it, from)
                    && (has_read || !rules::is_enforced(Rule::ReadObjectBeforeWitnessing)))
        };
        let witnesses = policy.witness_sets.iter().copied().flatten().filter(matches_reply);
        let ids: Vec<MemberId> = witnesses.map(MemberId::from).collect();
        for id in &ids {
            if !self.promised.contains(id) {
                self.promised.push(id.clone());
            }
        }
        if self.promised_at.is_none() && is_majority(&self.promised, policy) {
            self.promised_at = Some(now);
        }
        let Some(query) = self.queries.iter_mut().find(|it| it.number == number) else {
            return;
        };
        for id in ids {
            if !query.replied.contains(&id) {
                query.replied.push(id);
            }
        }
        if policy.method == Some(Confirmation::Witnesses) && is_majority(&query.replied, policy) {
            self.valid_until = self.valid_until.max(query.sent_at + policy.times.confirmation());
            self.proved_at = self.proved_at.max(query.sent_at);
        }
    }

    /// Counts witnesses that a later incarnation of their agent has replaced as promised, since an
    /// ended witness confirms no lower term. Two processes are never bound to one address at a
    /// time, so the earlier one has ended.
    pub(crate) fn record_replacement(
        &mut self,
        now: Timestamp,
        by_agent: &Instance,
        policy: &ConfirmationPolicy<'_>,
    ) {
        for witness in policy.witness_sets.iter().copied().flatten() {
            let id = MemberId::from(witness);
            if is_same_agent(witness, by_agent)
                && !is_same_incarnation(witness, by_agent)
                && !self.promised.contains(&id)
            {
                self.promised.push(id);
            }
        }
        if self.promised_at.is_none() && is_majority(&self.promised, policy) {
            self.promised_at = Some(now);
        }
    }

    /// Handles the end of a platform call if it is the read in flight, and returns whether it is.
    /// `shows_term` is whether the object read is of this term.
    pub(crate) fn handle_read(
        &mut self,
        now: Timestamp,
        call: CallId,
        shows_term: bool,
        policy: &ConfirmationPolicy<'_>,
    ) -> bool {
        let Some((_, sent_at)) = self.pending_read.take_if(|it| it.0 == call) else { return false };
        if !shows_term {
            self.next_read_at = self.next_read_at.min(now + READ_RETRY);
            return true;
        }
        self.awaits_proof &= sent_at < self.reset_at;
        self.reached_platform_at = self.reached_platform_at.max(sent_at);
        let valid_for = policy.times.platform_confirmation();
        match policy.method {
            Some(Confirmation::Platform) => {
                self.valid_until = self.valid_until.max(sent_at + valid_for);
                self.proved_at = self.proved_at.max(sent_at);
                let next = sent_at + valid_for / ATTEMPTS_PER_CONFIRMATION;
                self.next_read_at = self.next_read_at.min(next);
            }
            // A few reads may fail before the longest allowed absence is reached.
            _ => {
                let every =
                    READ_INTERVAL.min(policy.times.platform_absence_max() / READS_PER_ABSENCE);
                self.next_read_at = self.next_read_at.min(now + every);
            }
        }
        true
    }

    /// Returns whether `call` is the read in flight.
    pub(crate) fn is_own_read(&self, call: CallId) -> bool {
        self.pending_read.is_some_and(|it| it.0 == call)
    }
}

/// Returns whether `replied` includes a majority of each witness set.
fn is_majority(replied: &[MemberId], policy: &ConfirmationPolicy<'_>) -> bool {
    let has_majority = |set: &&[Instance]| {
        let count = set.iter().filter(|it| replied.contains(&MemberId::from(*it))).count();
        2 * count > set.len()
    };
    !policy.witness_sets.is_empty() && policy.witness_sets.iter().all(has_majority)
}
