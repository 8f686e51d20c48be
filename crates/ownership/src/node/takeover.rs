//! Takeover of the term when the group has no coordinator or the coordinator is silent.

use std::time::Duration;

use model::{Instance, ObjectVersion, Term, Timestamp};

use crate::{
    CallId, Confirmation, Coordinator, Message, Plan, PlatformReply, PlatformRequest, TermTimes,
    coordinator::{AcquiredTerm, CarriedState, LostHistory, Reacquisition},
    ctx::{Ctx, MemberId, is_same_agent, is_same_incarnation},
};

use super::Node;

/// Additional delay per rank before a member attempts a takeover.
const RANK_DELAY: Duration = Duration::from_millis(50);
/// Ranks added for a node that is stopping; also the rank of a node that is not in its own member list.
const EXTRA_RANKS: u32 = 8;
/// Interval of coordinator queries while the coordinator is unknown or silent.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of members that a node queries besides the witnesses; each node queries different ones. If all
/// members of a group of 112 queried each other after the loss of the coordinator, the 12,000 messages per interval
/// would delay the takeover by the first in rank by a second.
const QUERIED_MEMBERS_MAX: usize = 8;
/// Delay before the first retry after a failed platform call.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// Upper bound of the retry delay, which doubles with each failure.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);
/// Initial delay before taking the term from a holder that this node has never received a message from; doubled for
/// each further takeover, because the holder may be active for other members. Longer than a term takes to settle.
const HOLD_BACK_DELAY: Duration = Duration::from_millis(1500);
/// Initial delay before taking the term without a reachable majority of its witnesses; doubled likewise. Such a term
/// is unusable until the maximum absence from the platform has passed.
const HOLD_BACK_WITHOUT_MAJORITY: Duration = Duration::from_secs(10);
const HOLD_BACK_DOUBLINGS_MAX: u32 = 5;
/// A node counts as reachable for this long after its last message.
const REACHABLE_WITHIN: Duration = Duration::from_secs(1);
const CONTACTS_MAX: usize = 64;
/// Number of rounds skipped for each rollback of the platform, more than can have been drawn of those that are lost: a
/// node draws one for each version of the object that it tries to replace.
const ROUNDS_SKIPPED_PER_ERA: u64 = 1024;
/// Number of eras that are told apart where no object of the group is stored. It bounds the first round of a group, since
/// the platform may have counted any number of eras before.
const ERAS_COUNTED_MAX: u64 = 1 << 16;
/// Maximum number of attempts without a reply that a node keeps.
const UNANSWERED_ATTEMPTS_MAX: usize = 16;

/// Update of the coordinator object that acquires a term if it succeeds. Until the term is drawn, `object` has the latest
/// known one.
#[derive(Debug, Clone)]
struct Attempt {
    object: Coordinator,
    /// Predecessor of `object`: the object as read from the platform, or the state of the term that this node held.
    previous: Option<Coordinator>,
    /// The object as read from the platform, set only if `previous` is the state of the term that this node held.
    stored: Option<Coordinator>,
    sent_at: Timestamp,
}

#[derive(Debug)]
enum TakeoverStep {
    Idle,
    Reading(CallId),
    /// Reading the plan, because the coordinator object does not exist: the plan shows which terms have been used.
    ReadingPlan(CallId, ObjectVersion),
    /// Drawing the round of the attempt's term; the update is then conditional on this version.
    DrawingRound(CallId, ObjectVersion, Box<Attempt>),
    Updating(CallId, Box<Attempt>),
}

/// Progress of a node towards acquiring the term.
#[derive(Debug)]
pub(super) struct Takeover {
    step: TakeoverStep,
    /// Attempts whose reply was lost and whose update may have taken effect.
    unanswered: Vec<Attempt>,
    /// Term that was drawn for an update conditional on this version, until an update has taken effect.
    drawn: Option<(ObjectVersion, Term)>,
    retry_delay: Duration,
    next_attempt_at: Timestamp,
    next_query_at: Timestamp,
    /// Earliest time of a takeover, because another member has recently received messages from the coordinator.
    takeover_not_before: Timestamp,
    /// Time until which the coordinator has no reason to send anything, because it has refused this node and has not
    /// been asked again.
    quiet_until: Timestamp,
    /// Instances that have sent messages, with the time of the last one.
    contacts: Vec<(Instance, Timestamp)>,
    /// Witnesses that the coordinator object listed when it was last read.
    witnesses: Vec<Instance>,
    /// Time since which no majority of the witnesses has been reachable.
    no_majority_since: Option<Timestamp>,
    /// Whether the coordinator object has been read since this node started.
    has_read: bool,
    /// Number of takeovers from a holder that may still have been active; each doubles the hold-back delays.
    hold_back_doublings: u32,
    /// Whether this node has to acquire the term anew because the platform lost the record of the term it held.
    pub(super) reacquire: bool,
    /// State of the term that this node held until its confirmation ended, to be carried over into the next one.
    pub(super) carried: Option<CarriedState>,
}

impl Takeover {
    pub(super) fn new(now: Timestamp) -> Takeover {
        Takeover {
            step: TakeoverStep::Idle,
            unanswered: Vec::new(),
            drawn: None,
            retry_delay: RETRY_DELAY_MIN,
            next_attempt_at: now,
            next_query_at: now,
            takeover_not_before: now,
            quiet_until: now,
            contacts: Vec::new(),
            witnesses: Vec::new(),
            no_majority_since: None,
            hold_back_doublings: 0,
            has_read: false,
            reacquire: false,
            carried: None,
        }
    }

    /// Schedules a new acquisition of the term that this node holds or has just held, because the platform has lost
    /// its record.
    pub(super) fn schedule_reacquisition(&mut self, now: Timestamp) {
        if !std::mem::replace(&mut self.reacquire, true) {
            self.next_attempt_at = now;
        }
    }

    pub(super) fn has_read(&self) -> bool {
        self.has_read
    }

    /// Expects no message of the coordinator before this time.
    pub(super) fn expect_quiet_until(&mut self, time: Timestamp) {
        self.quiet_until = time;
    }

    fn schedule_retry(&mut self, ctx: &mut Ctx<'_>) {
        self.step = TakeoverStep::Idle;
        self.next_attempt_at = ctx.now + ctx.jittered(self.retry_delay);
        self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAY_MAX);
    }
}

impl Node {
    pub(super) fn tick_takeover(&mut self, ctx: &mut Ctx<'_>) {
        match self.coordination {
            Some(_) if !self.takeover.reacquire => return,
            Some(_) => {}
            None => self.query_coordinator(ctx),
        }
        let idle = matches!(self.takeover.step, TakeoverStep::Idle);
        if idle && self.takeover.next_attempt_at <= ctx.now && self.is_takeover_due(ctx) {
            self.takeover.step =
                TakeoverStep::Reading(ctx.call_platform(PlatformRequest::ReadCoordinator));
        }
    }

    fn is_takeover_due(&self, ctx: &Ctx<'_>) -> bool {
        if self.takeover.reacquire {
            return true;
        }
        let silence = self.unexpected_silence(ctx);
        let delay = RANK_DELAY * self.rank(ctx);
        match &self.known.coordinator {
            None if self.known.vacant => silence >= delay / 2,
            None => true,
            // The coordinator's process has ended, so its grants expire without renewal.
            Some(it) if self.is_agent_restarted(ctx, it) => silence >= delay,
            Some(_) => {
                let after = match self.known.has_direct_contact {
                    true => ctx.limits().takeover_after + delay,
                    false => HOLD_BACK_DELAY * (1 << self.takeover.hold_back_doublings) + delay,
                };
                silence >= after && ctx.now >= self.takeover.takeover_not_before
            }
        }
    }

    /// Returns for how long the coordinator has been silent although this node expects messages of it.
    fn unexpected_silence(&self, ctx: &Ctx<'_>) -> Duration {
        ctx.now.since(self.known.last_contact_at.max(self.takeover.quiet_until))
    }

    /// Returns whether another incarnation of the agent has sent a message, or is this node.
    fn is_agent_restarted(&self, ctx: &Ctx<'_>, previous: &Instance) -> bool {
        let contacts = self.takeover.contacts.iter().map(|it| &it.0);
        let mut incarnations = contacts.chain([ctx.own_instance()]);
        incarnations.any(|it| is_same_agent(it, previous) && !is_same_incarnation(it, previous))
    }

    /// Returns this node's position in the order in which members attempt a takeover.
    fn rank(&self, ctx: &Ctx<'_>) -> u32 {
        let me = MemberId::from(ctx.own_instance());
        let others = self.member.routes.members().map(|it| &it.instance);
        let others = others.filter(|it| !self.is_coordinator(it));
        let mut ids: Vec<MemberId> = others.map(MemberId::from).collect();
        ids.sort();
        let rank = ids.iter().position(|it| *it == me).map(|it| it as u32);
        let extra_ranks = if self.stop.is_begun() { EXTRA_RANKS } else { 0 };
        rank.unwrap_or(EXTRA_RANKS) + extra_ranks
    }

    fn query_coordinator(&mut self, ctx: &mut Ctx<'_>) {
        let silence = self.unexpected_silence(ctx);
        let is_doubtful =
            self.known.coordinator.is_none() || silence * 4 >= ctx.limits().takeover_after * 3;
        if !is_doubtful || self.takeover.next_query_at > ctx.now {
            return;
        }
        self.takeover.next_query_at = ctx.now + QUERY_INTERVAL;
        let me = ctx.own_instance();
        let members: Vec<&Instance> = self.member.routes.members().map(|it| &it.instance).collect();
        let own_position = members.iter().position(|it| is_same_incarnation(it, me)).unwrap_or(0);
        let following = members.iter().cycle().skip(own_position + 1);
        let members = following.take(members.len().min(QUERIED_MEMBERS_MAX)).copied();
        let mut queried: Vec<&Instance> = vec![me];
        let others = members.chain(&ctx.config.peers).chain(&self.takeover.witnesses);
        for it in others.chain(&self.known.coordinator) {
            if !queried.iter().any(|known| is_same_agent(known, it)) {
                queried.push(it);
                ctx.send_to_agent(it, Message::CoordinatorQuery { term: self.known.term });
            }
        }
    }

    /// Records that `from` is reachable, since it has sent a message.
    pub(super) fn record_contact(&mut self, ctx: &Ctx<'_>, from: &Instance) {
        if self.coordination.is_some() {
            return;
        }
        if self.is_coordinator(from) {
            self.takeover.hold_back_doublings = 0;
        }
        let contacts = &mut self.takeover.contacts;
        match contacts.iter_mut().find(|it| is_same_incarnation(&it.0, from)) {
            Some(it) => it.1 = ctx.now,
            None => {
                contacts.retain(|it| ctx.now.since(it.1) < REACHABLE_WITHIN);
                contacts.truncate(CONTACTS_MAX - 1);
                contacts.push((from.clone(), ctx.now));
            }
        }
    }

    /// Returns whether a majority of the witnesses is reachable, counting restarted agents as well.
    fn reaches_majority(&self, ctx: &Ctx<'_>, witnesses: &[Instance]) -> bool {
        let is_reachable = |witness: &&Instance| {
            let is_agent = |it: &Instance| is_same_agent(it, witness);
            let mut contacts = self.takeover.contacts.iter();
            is_same_incarnation(witness, ctx.own_instance())
                || is_agent(ctx.own_instance())
                || contacts.any(|it| is_agent(&it.0) && ctx.now.since(it.1) < REACHABLE_WITHIN)
        };
        2 * witnesses.iter().filter(is_reachable).count() > witnesses.len()
    }

    /// Returns whether a new term could be used, or has been held back for long enough: its coordinator must get
    /// confirmed, and earlier terms must end.
    fn is_term_usable(&mut self, ctx: &Ctx<'_>, object: &Coordinator) -> bool {
        self.takeover.witnesses = object.witnesses.clone();
        let by_witnesses = object.confirmation == Confirmation::Witnesses;
        if !by_witnesses || self.reaches_majority(ctx, &object.witnesses) {
            self.takeover.no_majority_since = None;
            return true;
        }
        let Some(since) = self.takeover.no_majority_since else {
            self.takeover.no_majority_since = Some(ctx.now);
            self.takeover.next_query_at = ctx.now;
            self.takeover.next_attempt_at = ctx.now + RETRY_DELAY_MIN / 2;
            return false;
        };
        if ctx.now.since(since)
            >= HOLD_BACK_WITHOUT_MAJORITY * (1 << self.takeover.hold_back_doublings)
        {
            self.takeover.no_majority_since = None;
            return true;
        }
        let without_majority = ctx.now.since(since);
        self.takeover.next_attempt_at =
            ctx.now + without_majority.clamp(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
        false
    }

    /// Defers a takeover if another member has received a message from the coordinator more recently than this node.
    pub(super) fn defer_takeover(
        &mut self,
        ctx: &Ctx<'_>,
        coordinator: Option<&Instance>,
        silence_ms: u32,
    ) {
        let after = ctx.limits().takeover_after;
        let silence = Duration::from_millis(silence_ms.into());
        if silence < after && coordinator.is_some_and(|it| self.is_coordinator(it)) {
            let until = ctx.now + (after - silence);
            self.takeover.takeover_not_before = self.takeover.takeover_not_before.max(until);
        }
    }

    /// Handles the reply of a platform call that belongs to the takeover. Returns whether it does.
    pub(super) fn handle_takeover_reply(
        &mut self,
        ctx: &mut Ctx<'_>,
        call: CallId,
        reply: &PlatformReply,
    ) -> bool {
        let own = match &self.takeover.step {
            TakeoverStep::Idle => false,
            TakeoverStep::Reading(it)
            | TakeoverStep::ReadingPlan(it, _)
            | TakeoverStep::DrawingRound(it, _, _)
            | TakeoverStep::Updating(it, _) => *it == call,
        };
        if !own {
            return false;
        }
        let step = std::mem::replace(&mut self.takeover.step, TakeoverStep::Idle);
        self.takeover.has_read |=
            matches!((&step, reply), (TakeoverStep::Reading(_), PlatformReply::Coordinator(..)));
        match (step, reply) {
            (TakeoverStep::Reading(_), PlatformReply::Coordinator(version, Some(object))) => {
                self.takeover.retry_delay = RETRY_DELAY_MIN;
                self.handle_coordinator_read(ctx, *version, object);
            }
            (TakeoverStep::Reading(_), PlatformReply::Coordinator(version, None)) => {
                let call = ctx.call_platform(PlatformRequest::ReadPlan);
                self.takeover.step = TakeoverStep::ReadingPlan(call, *version);
            }
            (TakeoverStep::ReadingPlan(_, version), PlatformReply::Plan(_, plan)) => {
                self.attempt_first_term(ctx, version, plan.as_deref());
            }
            (
                TakeoverStep::DrawingRound(_, expected, attempt),
                PlatformReply::RoundDrawn(round),
            ) => self.attempt_drawn_term(ctx, expected, *attempt, Term::after_rollback(*round)),
            (TakeoverStep::Updating(_, attempt), PlatformReply::Updated(version)) => {
                self.takeover.retry_delay = RETRY_DELAY_MIN;
                self.complete_takeover(ctx, *attempt, *version);
            }
            (TakeoverStep::Updating(_, attempt), PlatformReply::Failed) => {
                self.takeover.unanswered.push(*attempt);
                if self.takeover.unanswered.len() > UNANSWERED_ATTEMPTS_MAX {
                    self.takeover.unanswered.remove(0);
                }
                self.takeover.schedule_retry(ctx);
            }
            // The object was changed by another node, or by an earlier attempt of this node: the next read shows it.
            (TakeoverStep::Updating(..), _) => self.takeover.next_attempt_at = ctx.now,
            _ => self.takeover.schedule_retry(ctx),
        }
        true
    }

    fn handle_coordinator_read(
        &mut self,
        ctx: &mut Ctx<'_>,
        version: ObjectVersion,
        object: &Coordinator,
    ) {
        let rolled_back = object.is_rolled_back(version);
        let own = |it: &Attempt| it.object.nonce == object.nonce && !rolled_back;
        if let Some(at) = self.takeover.unanswered.iter().position(own) {
            let attempt = self.takeover.unanswered.swap_remove(at);
            return self.complete_takeover(ctx, attempt, version);
        }
        if object.term > self.known.term || (!self.known.vacant && self.known.coordinator.is_none())
        {
            self.update_known_term(ctx, object.term, object.holder.as_ref());
        }
        if self.known.coordinator.is_none() && object.term == self.known.term {
            self.known.vacant = true;
        }
        // A node that has just discovered a coordinator first waits for its response.
        // If the object shows an earlier term than this node has seen and the platform was never rolled back, a later
        // read shows the current term. After a rollback, an update conditional on a version of an earlier era may have
        // overwritten the current term.
        let is_overtaken = object.term < self.known.term;
        if (is_overtaken && version.era() == 0) || !self.is_takeover_due(ctx) {
            return;
        }
        if !self.takeover.reacquire && !self.is_term_usable(ctx, object) {
            return;
        }
        if self.known.coordinator.is_some() && !self.known.has_direct_contact {
            let doublings = self.takeover.hold_back_doublings + 1;
            self.takeover.hold_back_doublings = doublings.min(HOLD_BACK_DOUBLINGS_MAX);
        }
        let is_history_unknown = rolled_back || is_overtaken;
        let history_lost = is_history_unknown || object.history_lost;
        let lost_has_known_witnesses = !is_history_unknown && object.lost_has_known_witnesses;
        let stored = Coordinator { history_lost, lost_has_known_witnesses, ..object.clone() };
        let carried = self
            .carried_state(ctx)
            .filter(|it| rolled_back && object.term <= it.object.term && it.era == version.era());
        let previous = carried.as_ref().map_or(&stored, |it| &it.object).clone();
        let nonce = ctx.draw_nonce();
        let latest = object.term.max(self.known.term);
        let lost_max = lost_rounds_max(object.term, object.era, version);
        let object = Coordinator {
            term: latest,
            holder: Some(ctx.own_instance().clone()),
            nonce,
            settled: false,
            era: version.era(),
            history_lost,
            lost_has_known_witnesses: carried
                .as_ref()
                .map_or(lost_has_known_witnesses, |it| it.lost_has_known_witnesses),
            ..previous.clone()
        };
        let stored = carried.is_some().then_some(stored);
        let attempt = Attempt { object, previous: Some(previous), stored, sent_at: ctx.now };
        self.draw_term(ctx, version, attempt, lost_max);
    }

    /// Returns the state of the term that this node holds or has just held, if the platform has lost its record and the
    /// state is safe to carry over.
    fn carried_state(&self, ctx: &Ctx<'_>) -> Option<CarriedState> {
        match self.coordination.as_ref().map(|it| it.reacquisition(ctx)) {
            None => self.takeover.carried.clone(),
            Some(
                Reacquisition::WithState(carried) | Reacquisition::WithUnconfirmedState(carried),
            ) => Some(*carried),
            Some(Reacquisition::NotDue | Reacquisition::WithoutState) => None,
        }
    }

    /// Attempts to acquire the first term, or after a removal of the coordinator object a term above all terms that
    /// the plan and this node have seen.
    fn attempt_first_term(
        &mut self,
        ctx: &mut Ctx<'_>,
        version: ObjectVersion,
        plan: Option<&Plan>,
    ) {
        let planned = plan.map_or(Term(0), |it| it.term.max(it.token_floor.term));
        let latest = planned.max(self.known.term);
        let nonce = ctx.draw_nonce();
        // Only a platform that was never rolled back proves by a missing object that there was no term.
        let history_lost = self.known.term > Term(0) || version.era() > 0;
        let missing = Coordinator {
            service: ctx.config.service.clone(),
            group: ctx.config.group,
            term: latest,
            holder: None,
            nonce,
            witnesses: Vec::new(),
            confirmation: Confirmation::Platform,
            settled: !history_lost,
            times: TermTimes::from(ctx.limits()),
            era: version.era(),
            history_lost,
            lost_has_known_witnesses: false,
        };
        // The platform may have lost the first object of the group, and with it the term that this node holds.
        let carried = self.carried_state(ctx).filter(|it| it.era == version.era());
        let base = carried.as_ref().map_or(&missing, |it| &it.object);
        let object = Coordinator {
            term: latest,
            holder: Some(ctx.own_instance().clone()),
            nonce,
            settled: missing.settled,
            era: version.era(),
            history_lost,
            lost_has_known_witnesses: carried
                .as_ref()
                .is_some_and(|it| it.lost_has_known_witnesses),
            ..base.clone()
        };
        let (previous, stored) = match carried {
            Some(carried) => (Some(carried.object), Some(missing)),
            None => (history_lost.then_some(missing), None),
        };
        let attempt = Attempt { object, previous, stored, sent_at: ctx.now };
        // The group may be as old as the platform, and each rollback may have lost the objects of later terms.
        let lost_max = (ROUNDS_SKIPPED_PER_ERA * (version.era() % ERAS_COUNTED_MAX))
            .max(plan.map_or(0, |it| lost_rounds_max(planned, it.era, version)));
        self.draw_term(ctx, version, attempt, lost_max);
    }

    /// Draws a term above the latest known one, which `attempt` has, and above round `lost_max`, and starts the attempt to
    /// acquire it.
    ///
    /// Conditional updates order terms only in a platform that was never rolled back. Afterwards an update conditional on
    /// a version of an earlier era may replace the object of a later term, so that nodes would derive the same term from
    /// it again. A counter of the era, which no such update can change, makes later terms higher.
    fn draw_term(
        &mut self,
        ctx: &mut Ctx<'_>,
        expected: ObjectVersion,
        attempt: Attempt,
        lost_max: u64,
    ) {
        let latest = attempt.object.term;
        let era = expected.era();
        if era == 0 && !latest.is_after_rollback() {
            return self.start_attempt(ctx, expected, attempt, latest.next());
        }
        let above = latest.round().max(lost_max);
        // The object has not changed since the term was drawn, so no later one can have been acquired. Drawing again
        // would use up the rounds that the next era skips.
        let drawn = self.takeover.drawn.filter(|it| it.0 == expected);
        if let Some((_, term)) = drawn.filter(|it| it.1 > latest && it.1.round() > above) {
            return self.start_attempt(ctx, expected, attempt, term);
        }
        let above = u32::try_from(above).unwrap_or(u32::MAX);
        let call = ctx.call_platform(PlatformRequest::DrawRound { era, above });
        self.takeover.step = TakeoverStep::DrawingRound(call, expected, Box::new(attempt));
    }

    /// Starts the attempt to acquire a drawn term, unless a higher one has become known meanwhile.
    fn attempt_drawn_term(
        &mut self,
        ctx: &mut Ctx<'_>,
        expected: ObjectVersion,
        attempt: Attempt,
        term: Term,
    ) {
        if term <= self.known.term {
            self.takeover.next_attempt_at = ctx.now;
            return;
        }
        self.takeover.drawn = Some((expected, term));
        self.start_attempt(ctx, expected, attempt, term);
    }

    fn start_attempt(
        &mut self,
        ctx: &mut Ctx<'_>,
        expected: ObjectVersion,
        attempt: Attempt,
        term: Term,
    ) {
        let object = Coordinator { term, ..attempt.object };
        let request = PlatformRequest::UpdateCoordinator { expected, object: object.clone() };
        let attempt = Attempt { object, sent_at: ctx.now, ..attempt };
        self.takeover.step = TakeoverStep::Updating(ctx.call_platform(request), Box::new(attempt));
    }

    fn complete_takeover(&mut self, ctx: &mut Ctx<'_>, attempt: Attempt, version: ObjectVersion) {
        let Attempt { object, previous, stored, sent_at } = attempt;
        self.takeover.unanswered.clear();
        self.takeover.drawn = None;
        self.takeover.reacquire = false;
        let object = Coordinator { era: version.era(), ..object };
        let carried = self.carried_state(ctx).filter(|_| stored.is_some());
        self.takeover.carried = None;
        // Without carried state, another term may have settled meanwhile: the stored object is the predecessor.
        let previous = if carried.is_some() { previous } else { stored.or(previous) };
        let lost_history = match (&carried, &previous) {
            (Some(carried), _) => carried.lost_history,
            (None, Some(previous)) => LostHistory::of(previous),
            (None, None) => LostHistory::None,
        };
        let carried_plan = carried.and_then(|it| it.plan);
        self.become_coordinator(
            ctx,
            AcquiredTerm { object, version, previous, sent_at, lost_history, carried_plan },
        );
    }
}

/// Returns an upper bound of the rounds that may have been drawn before the era of `version` and lost since, if the
/// latest stored term was drawn in `era`.
///
/// This depends on stored terms only. A node that also knew a later term and counted the lost rounds from there would
/// draw a term that others, which do not know it, can't exceed after the next rollback.
fn lost_rounds_max(stored: Term, era: u64, version: ObjectVersion) -> u64 {
    let eras_passed = version.era().saturating_sub(era);
    stored.round().saturating_add(ROUNDS_SKIPPED_PER_ERA.saturating_mul(eras_passed))
}
