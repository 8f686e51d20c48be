//! The coordinator's right to renew leases: proof, good for a short time, that its term has not
//! ended.

use std::{collections::VecDeque, time::Duration};

use model::{Instance, Term, Timestamp};

use crate::{
    CallId, Confirmation, Message, PlatformRequest, TermTimes,
    ctx::{Ctx, MemberId, is_same_agent, is_same_incarnation},
    rules::{self, Rule},
};

/// Questions whose answers may still come.
const QUESTIONS_MAX: usize = 8;
/// Questions go out this many times within the time that one is good for.
const REQUESTS_PER_CONFIRMATION: u32 = 3;
/// How often a coordinator that its witnesses confirm reads its object all the same.
const READ_INTERVAL: Duration = Duration::from_secs(10);
/// How many reads fit into the longest absence.
const READS_PER_ABSENCE: u32 = 7;
/// How long to wait after a read that failed.
const READ_RETRY: Duration = Duration::from_millis(100);
/// How fresh contact with the platform must be before the path of confirmation is changed.
const CONTACT_FRESH: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Question {
    number: u64,
    sent_at: Timestamp,
    answered: Vec<MemberId>,
}

/// By what a coordinator is confirmed at the moment.
pub(crate) struct ConfirmationPolicy<'a> {
    /// None: it is not known whether a change of the path took effect, so nothing confirms.
    pub(crate) path: Option<Confirmation>,
    /// Every set that may be in force; a majority of each is needed.
    pub(crate) witness_sets: Vec<&'a [Instance]>,
    pub(crate) times: TermTimes,
}

/// Questions to witnesses, reads of the platform, and what they have proved.
#[derive(Debug)]
pub(crate) struct TermConfirmation {
    questions: VecDeque<Question>,
    last_number: u64,
    next_question: Timestamp,
    read: Option<(CallId, Timestamp)>,
    next_read: Timestamp,
    next_unkeyed_read: Timestamp,
    valid_until: Timestamp,
    /// When the question or read was sent that last proved that there was no later term.
    proved_at: Timestamp,
    /// When proof was last dropped.
    reset_at: Timestamp,
    /// When the read or update was sent that last showed this term in the platform.
    reached_platform_at: Timestamp,
    /// Witnesses that have ever answered for this term: they confirm no lower one.
    promised: Vec<MemberId>,
    promised_at: Option<Timestamp>,
}

impl TermConfirmation {
    /// For a term whose update was sent at `sent_at` and is known to have taken effect.
    pub(crate) fn new(
        now: Timestamp,
        sent_at: Timestamp,
        policy: &ConfirmationPolicy<'_>,
    ) -> TermConfirmation {
        let valid_until = match policy.path {
            Some(Confirmation::Platform) => sent_at + policy.times.platform_confirmation(),
            _ => Timestamp::ZERO,
        };
        TermConfirmation {
            questions: VecDeque::new(),
            last_number: 0,
            next_question: now,
            read: None,
            next_read: now,
            next_unkeyed_read: now + READ_INTERVAL,
            valid_until,
            proved_at: Timestamp::ZERO,
            reset_at: now,
            reached_platform_at: sent_at,
            promised: Vec::new(),
            promised_at: None,
        }
    }

    pub(crate) fn valid_until(&self) -> Timestamp {
        self.valid_until
    }

    /// Since when proof has been missing, where it is.
    pub(crate) fn unconfirmed_since(&self) -> Timestamp {
        self.valid_until.max(self.reset_at)
    }

    /// Whether leases may be renewed now.
    pub(crate) fn is_valid(&self, now: Timestamp, policy: &ConfirmationPolicy<'_>) -> bool {
        match policy.path {
            None => false,
            Some(Confirmation::Platform) => now < self.valid_until,
            Some(Confirmation::Witnesses) => {
                let absence = now.since(self.reached_platform_at);
                now < self.valid_until && absence < policy.times.platform_absence_max()
            }
        }
    }

    /// When a majority of witnesses had promised this term.
    pub(crate) fn promised_at(&self) -> Option<Timestamp> {
        self.promised_at
    }

    pub(crate) fn proved_at(&self) -> Timestamp {
        self.proved_at
    }

    /// Asks anew at once, for something rests on proof from now on.
    pub(crate) fn request_confirmation(&mut self, now: Timestamp) {
        self.next_question = now;
        self.next_read = self.next_read.min(now);
    }

    /// Drops all proof: after a pause, and when the path has changed.
    pub(crate) fn reset(&mut self, now: Timestamp) {
        self.valid_until = Timestamp::ZERO;
        self.proved_at = Timestamp::ZERO;
        self.reset_at = now;
        self.next_question = now;
        self.next_read = now;
    }

    /// Whether the platform has answered of late.
    pub(crate) fn is_platform_reachable(&self, now: Timestamp) -> bool {
        now.since(self.reached_platform_at) < CONTACT_FRESH
    }

    /// Finds out soon whether the platform can be reached.
    pub(crate) fn schedule_read(&mut self, now: Timestamp) {
        self.next_read = self.next_read.min(now + READ_RETRY);
    }

    /// An update of the coordinator's object, sent at `sent_at`, has taken effect.
    pub(crate) fn record_update(&mut self, sent_at: Timestamp) {
        self.reached_platform_at = self.reached_platform_at.max(sent_at);
    }

    /// Asks and reads when it is time.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>, term: Term, policy: &ConfirmationPolicy<'_>) {
        let witnessed = policy.path != Some(Confirmation::Platform);
        if witnessed && self.next_question <= ctx.now {
            self.ask(ctx, term, policy);
        }
        if self.read.is_none() && self.next_read <= ctx.now {
            let call = ctx.call_platform(PlatformRequest::ReadCoordinator);
            self.read = Some((call, ctx.now));
            self.next_read = Timestamp { ns: u64::MAX };
        }
        // Without proof from the witnesses the platform is asked, to find out whether the path
        // can be changed.
        if witnessed && !self.is_valid(ctx.now, policy) {
            self.next_read = self.next_read.min(ctx.now + READ_RETRY);
        }
    }

    /// Where nothing is granted, the object is only read now and then: a later term that no message has
    /// told of shows there.
    pub(crate) fn tick_unkeyed(&mut self, ctx: &mut Ctx<'_>) {
        if self.read.is_none() && self.next_unkeyed_read <= ctx.now {
            let call = ctx.call_platform(PlatformRequest::ReadCoordinator);
            self.read = Some((call, ctx.now));
            self.next_unkeyed_read = ctx.now + READ_INTERVAL;
        }
    }

    fn ask(&mut self, ctx: &mut Ctx<'_>, term: Term, policy: &ConfirmationPolicy<'_>) {
        self.last_number += 1;
        let number = self.last_number;
        self.next_question = ctx.now + policy.times.confirmation() / REQUESTS_PER_CONFIRMATION;
        self.questions.push_back(Question { number, sent_at: ctx.now, answered: Vec::new() });
        if self.questions.len() > QUESTIONS_MAX {
            self.questions.pop_front();
        }
        let mut asked: Vec<&Instance> = Vec::new();
        for witness in policy.witness_sets.iter().copied().flatten() {
            if !asked.iter().any(|it| is_same_incarnation(it, witness)) {
                asked.push(witness);
            }
        }
        for witness in asked {
            ctx.send_to_agent(witness, Message::WitnessQuery { term, number });
        }
    }

    /// A witness has heard of no higher term when it answered. A later life of it counts as well if it
    /// has read the platform since it started: each term that the earlier life has confirmed stood
    /// there before.
    pub(crate) fn handle_answer(
        &mut self,
        now: Timestamp,
        from: &Instance,
        number: u64,
        has_read: bool,
        policy: &ConfirmationPolicy<'_>,
    ) {
        let stands_for = |it: &&Instance| {
            is_same_incarnation(it, from)
                || (is_same_agent(it, from)
                    && (has_read || !rules::is_enforced(Rule::ReadObjectBeforeWitnessing)))
        };
        let witnesses = policy.witness_sets.iter().copied().flatten().filter(stands_for);
        let ids: Vec<MemberId> = witnesses.map(MemberId::from).collect();
        for id in &ids {
            if !self.promised.contains(id) {
                self.promised.push(id.clone());
            }
        }
        if self.promised_at.is_none() && is_majority(&self.promised, policy) {
            self.promised_at = Some(now);
        }
        let Some(question) = self.questions.iter_mut().find(|it| it.number == number) else {
            return;
        };
        for id in ids {
            if !question.answered.contains(&id) {
                question.answered.push(id);
            }
        }
        if policy.path == Some(Confirmation::Witnesses) && is_majority(&question.answered, policy) {
            self.valid_until = self.valid_until.max(question.sent_at + policy.times.confirmation());
            self.proved_at = self.proved_at.max(question.sent_at);
        }
    }

    /// An agent is there in the place of an earlier one: a witness that has ended confirms no lower
    /// term either. Two processes are never bound to one address, so the earlier one has ended.
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

    /// Whether `call` is a read of this part; `shown` says whether it showed this term.
    pub(crate) fn handle_read(
        &mut self,
        now: Timestamp,
        call: CallId,
        shown: bool,
        policy: &ConfirmationPolicy<'_>,
    ) -> bool {
        let Some((_, sent_at)) = self.read.take_if(|it| it.0 == call) else { return false };
        if !shown {
            self.next_read = self.next_read.min(now + READ_RETRY);
            return true;
        }
        self.reached_platform_at = self.reached_platform_at.max(sent_at);
        let good_for = policy.times.platform_confirmation();
        match policy.path {
            Some(Confirmation::Platform) => {
                self.valid_until = self.valid_until.max(sent_at + good_for);
                self.proved_at = self.proved_at.max(sent_at);
                let next = sent_at + good_for / REQUESTS_PER_CONFIRMATION;
                self.next_read = self.next_read.min(next);
            }
            // Often enough that the longest absence is not reached by missing a few.
            _ => {
                let every =
                    READ_INTERVAL.min(policy.times.platform_absence_max() / READS_PER_ABSENCE);
                self.next_read = self.next_read.min(now + every);
            }
        }
        true
    }

    pub(crate) fn is_own_read(&self, call: CallId) -> bool {
        self.read.is_some_and(|it| it.0 == call)
    }
}

fn is_majority(answered: &[MemberId], policy: &ConfirmationPolicy<'_>) -> bool {
    let has = |set: &&[Instance]| {
        let count = set.iter().filter(|it| answered.contains(&MemberId::from(*it))).count();
        2 * count > set.len()
    };
    !policy.witness_sets.is_empty() && policy.witness_sets.iter().all(has)
}
