//! Taking the term, when there is no coordinator or it is silent.

use std::time::Duration;

use model::{Instance, ObjectVersion, Term, Timestamp};

use crate::{
    CallId, Confirmation, Coordinator, Message, Plan, PlatformReply, PlatformRequest, TermTimes,
    coordinator::{AcquiredTerm, CarriedState, Reacquisition},
    ctx::{Ctx, MemberId, is_same_agent, is_same_incarnation},
};

use super::Node;

/// Each rank waits this much longer than the one before it.
const RANK_DELAY: Duration = Duration::from_millis(50);
/// Ranks that a node puts itself back by if it is leaving, or knows no other member.
const LATE_RANKS: u32 = 8;
/// How often others are asked who coordinates, while that is not clear.
const ASK_EVERY: Duration = Duration::from_millis(200);
/// The most members that are asked besides the witnesses, each member others: when a coordinator of 112 is lost
/// all would ask all, 12,000 messages at a time, and the first in rank came to its turn a second late.
const ASKED_MAX: usize = 8;
/// Waits after calls that failed: the first, and the longest.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(1);
/// A holder that this node has never heard itself is left alone for this long at first, then for
/// twice as long each time: it may well be at work for others. The first is more than a term takes
/// to settle.
const HOLD_BACK: Duration = Duration::from_millis(1500);
/// The same where no majority of the witnesses can be reached: the term would be of no use before
/// the longest absence from the platform is over.
const HOLD_BACK_ALONE: Duration = Duration::from_secs(10);
const HOLD_BACK_DOUBLINGS_MAX: u32 = 5;
/// Who was heard within this time can be reached.
const HEARD_WITHIN: Duration = Duration::from_secs(1);
const HEARD_MAX: usize = 64;
/// By how many terms the next one is above the one that a platform has come back with, for each time that it has: more
/// than can have begun in the time that it has lost.
const LOST_TERMS: u64 = 1024;
/// Attempts whose answer was lost and that are remembered.
const ATTEMPTS_MAX: usize = 16;

/// An update that would win a term.
#[derive(Debug, Clone)]
struct Attempt {
    object: Coordinator,
    former: Option<Coordinator>,
    /// It was to go on with what this node held; none: `former` is what the platform showed.
    found: Option<Coordinator>,
    sent_at: Timestamp,
}

#[derive(Debug)]
enum Step {
    Idle,
    Reading(CallId),
    /// There is no object: the plan, if there is one, says which terms there have been.
    ReadingPlan(CallId, ObjectVersion),
    Updating(CallId, Box<Attempt>),
}

/// How far a node has come in taking the term.
#[derive(Debug)]
pub(super) struct Takeover {
    step: Step,
    /// Updates that may still take effect.
    doubtful: Vec<Attempt>,
    retry: Duration,
    next_try: Timestamp,
    next_ask: Timestamp,
    /// Others have heard the coordinator lately, so that it is not lost before this time.
    refrain_until: Timestamp,
    /// Who was heard last when.
    heard: Vec<(Instance, Timestamp)>,
    /// The witnesses that the object named when it was last read.
    witnesses: Vec<Instance>,
    /// Since when no majority of them has been reached.
    alone_since: Option<Timestamp>,
    /// The platform's object has been read since this node started.
    has_read: bool,
    /// How often a term was taken from a holder that may have been at work.
    doublings: u32,
    /// The term that this node held when the platform lost its record is to be taken anew.
    pub(super) again: bool,
}

impl Takeover {
    pub(super) fn new(now: Timestamp) -> Takeover {
        Takeover {
            step: Step::Idle,
            doubtful: Vec::new(),
            retry: RETRY_MIN,
            next_try: now,
            next_ask: now,
            refrain_until: now,
            heard: Vec::new(),
            witnesses: Vec::new(),
            alone_since: None,
            doublings: 0,
            has_read: false,
            again: false,
        }
    }

    /// The platform has lost the record of the term that this node holds, or has held until now.
    pub(super) fn take_again(&mut self, now: Timestamp) {
        if !std::mem::replace(&mut self.again, true) {
            self.next_try = now;
        }
    }

    pub(super) fn has_read(&self) -> bool {
        self.has_read
    }

    fn failed(&mut self, ctx: &mut Ctx<'_>) {
        self.step = Step::Idle;
        self.next_try = ctx.now + ctx.jittered(self.retry);
        self.retry = (self.retry * 2).min(RETRY_MAX);
    }
}

impl Node {
    pub(super) fn tick_takeover(&mut self, ctx: &mut Ctx<'_>) {
        match self.coordination {
            Some(_) if !self.takeover.again => return,
            Some(_) => {}
            None => self.ask_who_coordinates(ctx),
        }
        let idle = matches!(self.takeover.step, Step::Idle);
        if idle && self.takeover.next_try <= ctx.now && self.is_time_to_take_over(ctx) {
            self.takeover.step = Step::Reading(ctx.call_platform(PlatformRequest::ReadCoordinator));
        }
    }

    fn is_time_to_take_over(&self, ctx: &Ctx<'_>) -> bool {
        if self.takeover.again {
            return true;
        }
        let silent = ctx.now.since(self.known.heard_at);
        let rank = RANK_DELAY * self.rank(ctx);
        match &self.known.coordinator {
            None if self.known.vacant => silent >= rank / 2,
            None => true,
            // Its process has ended, whatever it held runs out by itself.
            Some(it) if self.is_replaced(ctx, it) => silent >= rank,
            Some(_) => {
                let after = match self.known.in_person {
                    true => ctx.limits().takeover_after + rank,
                    false => HOLD_BACK * (1 << self.takeover.doublings) + rank,
                };
                silent >= after && ctx.now >= self.takeover.refrain_until
            }
        }
    }

    /// Whether another life of an agent is known to be there in its place.
    fn is_replaced(&self, ctx: &Ctx<'_>, former: &Instance) -> bool {
        let heard = self.takeover.heard.iter().map(|it| &it.0);
        let mut lives = heard.chain([ctx.own_instance()]);
        lives.any(|it| is_same_agent(it, former) && !is_same_incarnation(it, former))
    }

    /// The order in which members try.
    fn rank(&self, ctx: &Ctx<'_>) -> u32 {
        let me = MemberId::from(ctx.own_instance());
        let others = self.member.routes.members().map(|it| &it.instance);
        let others = others.filter(|it| !self.is_coordinator(it));
        let mut ids: Vec<MemberId> = others.map(MemberId::from).collect();
        ids.sort();
        let place = ids.iter().position(|it| *it == me).map(|it| it as u32);
        let late = if self.stop.is_begun() { LATE_RANKS } else { 0 };
        place.unwrap_or(LATE_RANKS) + late
    }

    fn ask_who_coordinates(&mut self, ctx: &mut Ctx<'_>) {
        let silent = ctx.now.since(self.known.heard_at);
        let doubtful =
            self.known.coordinator.is_none() || silent * 4 >= ctx.limits().takeover_after * 3;
        if !doubtful || self.takeover.next_ask > ctx.now {
            return;
        }
        self.takeover.next_ask = ctx.now + ASK_EVERY;
        let me = ctx.own_instance();
        let members: Vec<&Instance> = self.member.routes.members().map(|it| &it.instance).collect();
        let own_place = members.iter().position(|it| is_same_incarnation(it, me)).unwrap_or(0);
        let behind = members.iter().cycle().skip(own_place + 1);
        let members = behind.take(members.len().min(ASKED_MAX)).copied();
        let mut asked: Vec<&Instance> = vec![me];
        let others = members.chain(&ctx.config.peers).chain(&self.takeover.witnesses);
        for it in others.chain(&self.known.coordinator) {
            if !asked.iter().any(|known| is_same_agent(known, it)) {
                asked.push(it);
                ctx.send_to_agent(it, Message::CoordinatorQuery { term: self.known.term });
            }
        }
    }

    /// Any message shows that its sender can be reached.
    pub(super) fn heard(&mut self, ctx: &Ctx<'_>, from: &Instance) {
        if self.coordination.is_some() {
            return;
        }
        if self.is_coordinator(from) {
            self.takeover.doublings = 0;
        }
        let heard = &mut self.takeover.heard;
        match heard.iter_mut().find(|it| is_same_incarnation(&it.0, from)) {
            Some(it) => it.1 = ctx.now,
            None => {
                heard.retain(|it| ctx.now.since(it.1) < HEARD_WITHIN);
                heard.truncate(HEARD_MAX - 1);
                heard.push((from.clone(), ctx.now));
            }
        }
    }

    /// Whether a majority of the witnesses can be reached, or has been replaced.
    fn reaches_majority(&self, ctx: &Ctx<'_>, witnesses: &[Instance]) -> bool {
        let reached = |witness: &&Instance| {
            let here = |it: &Instance| is_same_agent(it, witness);
            let mut heard = self.takeover.heard.iter();
            is_same_incarnation(witness, ctx.own_instance())
                || here(ctx.own_instance())
                || heard.any(|it| here(&it.0) && ctx.now.since(it.1) < HEARD_WITHIN)
        };
        2 * witnesses.iter().filter(reached).count() > witnesses.len()
    }

    /// Whether the term would be of use: it has to be confirmed, and earlier ones have to end.
    fn is_worth_taking(&mut self, ctx: &Ctx<'_>, object: &Coordinator) -> bool {
        self.takeover.witnesses = object.witnesses.clone();
        let by_witnesses = object.confirmation == Confirmation::Witnesses;
        if !by_witnesses || self.reaches_majority(ctx, &object.witnesses) {
            self.takeover.alone_since = None;
            return true;
        }
        let Some(since) = self.takeover.alone_since else {
            self.takeover.alone_since = Some(ctx.now);
            self.takeover.next_ask = ctx.now;
            self.takeover.next_try = ctx.now + RETRY_MIN / 2;
            return false;
        };
        if ctx.now.since(since) >= HOLD_BACK_ALONE * (1 << self.takeover.doublings) {
            self.takeover.alone_since = None;
            return true;
        }
        let alone_for = ctx.now.since(since);
        self.takeover.next_try = ctx.now + alone_for.clamp(RETRY_MIN, RETRY_MAX);
        false
    }

    /// Another member has heard the coordinator later than this node: that sets the time by which
    /// its silence counts.
    pub(super) fn coordinator_heard_by_other(
        &mut self,
        ctx: &Ctx<'_>,
        coordinator: Option<&Instance>,
        silence_ms: u32,
    ) {
        let after = ctx.limits().takeover_after;
        let silent = Duration::from_millis(silence_ms.into());
        if silent < after && coordinator.is_some_and(|it| self.is_coordinator(it)) {
            let until = ctx.now + (after - silent);
            self.takeover.refrain_until = self.takeover.refrain_until.max(until);
        }
    }

    /// Takes the end of a platform call in if it is one of the takeover's.
    pub(super) fn platform_takeover(
        &mut self,
        ctx: &mut Ctx<'_>,
        call: CallId,
        reply: &PlatformReply,
    ) -> bool {
        let own = match &self.takeover.step {
            Step::Idle => false,
            Step::Reading(it) | Step::ReadingPlan(it, _) | Step::Updating(it, _) => *it == call,
        };
        if !own {
            return false;
        }
        let step = std::mem::replace(&mut self.takeover.step, Step::Idle);
        self.takeover.has_read |=
            matches!((&step, reply), (Step::Reading(_), PlatformReply::Coordinator(..)));
        match (step, reply) {
            (Step::Reading(_), PlatformReply::Coordinator(version, Some(object))) => {
                self.takeover.retry = RETRY_MIN;
                self.coordinator_read(ctx, *version, object);
            }
            (Step::Reading(_), PlatformReply::Coordinator(version, None)) => {
                let call = ctx.call_platform(PlatformRequest::ReadPlan);
                self.takeover.step = Step::ReadingPlan(call, *version);
            }
            (Step::ReadingPlan(_, version), PlatformReply::Plan(_, plan)) => {
                self.try_first_term(ctx, version, plan.as_deref());
            }
            (Step::Updating(_, attempt), PlatformReply::Updated(version)) => {
                self.takeover.retry = RETRY_MIN;
                self.won(ctx, *attempt, *version);
            }
            (Step::Updating(_, attempt), PlatformReply::Failed) => {
                self.takeover.doubtful.push(*attempt);
                if self.takeover.doubtful.len() > ATTEMPTS_MAX {
                    self.takeover.doubtful.remove(0);
                }
                self.takeover.failed(ctx);
            }
            // Somebody else's update, or an earlier one of this node: reading will show.
            (Step::Updating(..), _) => self.takeover.next_try = ctx.now,
            _ => self.takeover.failed(ctx),
        }
        true
    }

    fn coordinator_read(
        &mut self,
        ctx: &mut Ctx<'_>,
        version: ObjectVersion,
        object: &Coordinator,
    ) {
        let rolled_back = object.is_rolled_back(version);
        let own = |it: &Attempt| it.object.nonce == object.nonce && !rolled_back;
        if let Some(at) = self.takeover.doubtful.iter().position(own) {
            let attempt = self.takeover.doubtful.swap_remove(at);
            return self.won(ctx, attempt, version);
        }
        if object.term > self.known.term || (!self.known.vacant && self.known.coordinator.is_none())
        {
            self.learn(ctx, object.term, object.holder.as_ref());
        }
        if self.known.coordinator.is_none() && object.term == self.known.term {
            self.known.vacant = true;
        }
        // Whoever is new here first asks the coordinator that there is.
        // A platform that never lost anything shows it soon; one that has may have been overwritten on a condition
        // of an earlier era.
        let is_overtaken = object.term < self.known.term;
        if (is_overtaken && version.era() == 0) || !self.is_time_to_take_over(ctx) {
            return;
        }
        if !self.takeover.again && !self.is_worth_taking(ctx, object) {
            return;
        }
        if self.known.coordinator.is_some() && !self.known.in_person {
            let doublings = self.takeover.doublings + 1;
            self.takeover.doublings = doublings.min(HOLD_BACK_DOUBLINGS_MAX);
        }
        let history_lost = rolled_back || is_overtaken || object.history_lost;
        let found = Coordinator { history_lost, ..object.clone() };
        let carried = self.carried(ctx).filter(|it| rolled_back && object.term <= it.object.term);
        let former = carried.as_ref().map_or(&found, |it| &it.object).clone();
        let lost = LOST_TERMS * (version.era() - object.era.min(version.era()));
        let attempt = Coordinator {
            term: Term(object.term.max(self.known.term).0 + 1 + lost),
            holder: Some(ctx.own_instance().clone()),
            nonce: ctx.nonce(),
            settled: false,
            era: version.era(),
            history_lost,
            ..former.clone()
        };
        let found = carried.is_some().then_some(found);
        self.attempt(ctx, version, attempt, Some(former), found);
    }

    /// What this node takes along from the term that it holds still, if the platform has lost its record.
    fn carried(&self, ctx: &Ctx<'_>) -> Option<CarriedState> {
        match self.coordination.as_ref()?.reacquisition(ctx) {
            Reacquisition::WithState(carried) => Some(*carried),
            Reacquisition::NotDue | Reacquisition::WithoutState => None,
        }
    }

    /// The first term; or the first after the object was removed, above all that the plan knows.
    fn try_first_term(&mut self, ctx: &mut Ctx<'_>, version: ObjectVersion, plan: Option<&Plan>) {
        let planned = plan.map_or(Term(0), |it| it.term.max(it.token_floor.term));
        // A platform that has come back from an older copy may have lost the object of earlier terms.
        let lost = Term(LOST_TERMS * version.era());
        let term = planned.max(self.known.term).max(lost);
        let history_lost = self.known.term > Term(0);
        let object = Coordinator {
            service: ctx.config.service.clone(),
            group: ctx.config.group,
            term: Term(term.0 + 1),
            holder: Some(ctx.own_instance().clone()),
            nonce: ctx.nonce(),
            witnesses: Vec::new(),
            confirmation: Confirmation::Platform,
            settled: !history_lost,
            times: TermTimes::from(ctx.limits()),
            era: version.era(),
            history_lost,
        };
        let former = Coordinator { term, holder: None, ..object.clone() };
        let former = history_lost.then_some(former);
        self.attempt(ctx, version, object, former, None);
    }

    fn attempt(
        &mut self,
        ctx: &mut Ctx<'_>,
        expected: ObjectVersion,
        object: Coordinator,
        former: Option<Coordinator>,
        found: Option<Coordinator>,
    ) {
        let request = PlatformRequest::UpdateCoordinator { expected, object: object.clone() };
        let attempt = Attempt { object, former, found, sent_at: ctx.now };
        self.takeover.step = Step::Updating(ctx.call_platform(request), Box::new(attempt));
    }

    fn won(&mut self, ctx: &mut Ctx<'_>, attempt: Attempt, version: ObjectVersion) {
        let Attempt { object, former, found, sent_at } = attempt;
        self.takeover.doubtful.clear();
        self.takeover.again = false;
        let object = Coordinator { era: version.era(), ..object };
        let carried = self.carried(ctx).filter(|_| found.is_some());
        // Too late to go on with what this node held: another term may have been settled meanwhile.
        let former = if carried.is_some() { former } else { found.or(former) };
        let carried = carried.and_then(|it| it.plan);
        self.become_coordinator(
            ctx,
            AcquiredTerm { object, version, previous: former, sent_at, carried_plan: carried },
        );
    }
}
