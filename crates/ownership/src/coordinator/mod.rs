//! A node's part as coordinator of its group, while it holds the term.

mod answer;
mod confirm;
mod grants;
mod handover;
mod keys;
mod loads;
mod maintain;
mod members;
mod object;
mod plan;
mod propose;
mod renewals;
mod runs;
mod incarnations;
mod slots;
mod succession;

#[cfg(test)]
mod tests;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use model::{ConfigVersion, Instance, ObjectVersion, Slot, Term, Timestamp, Token};

use crate::{
    CallId, Confirmation, Coordinator, CoordinatorLease, Event, Message, Plan, PlatformReply,
    Routes, TermTimes,
    ctx::{Ctx, MemberId, is_same_incarnation},
    member::first_route_version,
    rules::{self, Rule},
};

pub use self::members::GROUP_MEMBERS_MAX;

use self::{
    answer::Recipients,
    confirm::{ConfirmationPolicy, TermConfirmation},
    loads::HotKeys,
    members::MemberTable,
    object::{CoordinatorWriter, UpdateOutcome},
    plan::{PlanOutcome, PlanWriter},
    slots::{Holder, SlotTable},
    succession::Succession,
};

/// How often members that have not answered are told of the term.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);
/// How long slots at rest are not looked through.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// A new coordinator that no member answers for this long stops announcing itself.
const RENEWAL_SILENCE_MAX: Duration = Duration::from_secs(1);
/// How long witnesses may take to confirm a term whose record the platform has lost.
const RECONFIRMATION_MAX: Duration = Duration::from_millis(300);
/// A first plan waits this long, so that all who start together are in it.
const FIRST_PLAN_DELAY: Duration = Duration::from_millis(1000);

/// A term that an update is known to have won.
#[derive(Debug)]
pub(crate) struct AcquiredTerm {
    pub(crate) object: Coordinator,
    pub(crate) version: ObjectVersion,
    /// What the object was before; none: it did not exist.
    pub(crate) previous: Option<Coordinator>,
    /// When the update that won was sent, at the earliest.
    pub(crate) sent_at: Timestamp,
    /// The last plan of the term that this node held before, if it is sure that no other came between.
    pub(crate) carried_plan: Option<Plan>,
}

/// What a coordinator takes along into its next term when the platform has lost its latest.
#[derive(Debug, Clone)]
pub(crate) struct CarriedState {
    pub(crate) object: Coordinator,
    pub(crate) plan: Option<Plan>,
}

/// The way into the next term.
#[derive(Debug, Clone)]
pub(crate) enum Reacquisition {
    /// There is no reason, or it is not known yet.
    NotDue,
    /// No other term has been settled: with this.
    WithState(Box<CarriedState>),
    /// Another may have been.
    WithoutState,
}

/// Whether the term goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TermState {
    Held,
    /// Another node holds a later one.
    Lost,
    /// There has been this one, of which the platform's object tells nothing.
    HigherTermFound(Term),
    /// Given up by this node's own update.
    Released,
    /// The platform has come back from an older copy: the term has to be taken anew.
    RolledBack,
}

/// All that a coordinator knows and does.
pub(crate) struct Coordination {
    term: Term,
    object: CoordinatorWriter,
    confirmation: TermConfirmation,
    succession: Succession,
    members: MemberTable,
    slot_table: SlotTable,
    hot_keys: HotKeys,
    plan: PlanWriter,
    /// The sequence of the newest token.
    sequence: u64,
    route_version: u64,
    /// The version in which a slot changed last.
    slots_changed_version: u64,
    /// The routes that were told last: many are told the same.
    cached_routes: Option<Arc<Routes>>,
    /// The version in which these were made.
    cached_routes_version: u64,
    next_loads_refresh_at: Timestamp,
    config: ConfigVersion,
    /// Others to tell of the term, besides those that the plan names.
    known_instances: Vec<Instance>,
    next_announcement_at: Timestamp,
    next_proposal_at: Timestamp,
    proposed_at: Timestamp,
    /// A first plan waits for joins, as long as they come, up to this time.
    first_plan_deadline: Timestamp,
    /// Since when some member could be granted something, while nothing has ever been.
    first_ready_at: Option<Timestamp>,
    /// When slots were moved to even out the load, within the last minute.
    recent_moves: VecDeque<Timestamp>,
    /// Since when the document has asked for other times than the object holds.
    times_differ_since: Option<Timestamp>,
    /// The path of confirmation and the witnesses, as last acknowledged.
    acked_confirmation: (Confirmation, Vec<MemberId>),
    /// The latest time until which this node's own lease was ever extended by this term.
    coordinator_lease_until: Timestamp,
    /// All is granted and at rest: until then slots are not looked through, unless woken.
    idle_until: Timestamp,
    /// Slots that have been given up and may be granted at once.
    released_slots: Vec<Slot>,
    /// Since when this node's own lease is kept as short as witnesses would keep it.
    coordinator_lease_capped_since: Option<Timestamp>,
    /// When any member was last heard.
    last_renewal_at: Timestamp,
    releasing: bool,
    /// When the platform was found to have come back from an older copy.
    rolled_back_at: Option<Timestamp>,
}

impl Coordination {
    pub(crate) fn new(
        ctx: &mut Ctx<'_>,
        acquired: AcquiredTerm,
        known_instances: Vec<Instance>,
    ) -> Coordination {
        let AcquiredTerm { object, version, previous: former, sent_at, carried_plan: carried } =
            acquired;
        let term = object.term;
        let first_term = former.is_none();
        let object = CoordinatorWriter::new(object, version);
        let times = object.acked().times.min(ctx.limits().into());
        let confirmation =
            TermConfirmation::new(ctx.now, sent_at, &object.confirmation_policy(times));
        let coordinator_lease = ctx.limits().coordinator_lease;
        let nothing_to_wait_for = !ctx.config.keyed;
        let former = former.filter(|_| !nothing_to_wait_for);
        let mut succession = Succession::new(ctx.now, former.as_ref(), coordinator_lease);
        succession.record_follower(ctx.now, ctx.own_instance());
        let holder = if first_term { Holder::Vacant { lapsed_at: None } } else { Holder::Unknown };
        let witnesses = object.acked().witnesses.iter().map(MemberId::from).collect();
        let acked_confirmation = (object.acked().confirmation, witnesses);
        let slots = ctx.config.slot_count;
        let base = first_route_version(term);
        let delay = if first_term { FIRST_PLAN_DELAY } else { Duration::ZERO };
        ctx.event(Event::BecameCoordinator { term: term.0 });
        Coordination {
            term,
            object,
            confirmation,
            succession,
            members: MemberTable::default(),
            slot_table: SlotTable::new(slots, &holder, base),
            hot_keys: HotKeys::default(),
            plan: PlanWriter::new(ctx.now, term, slots, carried),
            sequence: 0,
            route_version: base + u64::from(slots.count()),
            slots_changed_version: base + u64::from(slots.count()),
            cached_routes: None,
            cached_routes_version: 0,
            next_loads_refresh_at: ctx.now,
            config: ConfigVersion(0),
            known_instances,
            next_announcement_at: ctx.now,
            next_proposal_at: ctx.now + delay,
            proposed_at: Timestamp::ZERO,
            first_plan_deadline: ctx.now + delay,
            first_ready_at: None,
            recent_moves: VecDeque::new(),
            times_differ_since: None,
            acked_confirmation,
            coordinator_lease_until: ctx.now,
            idle_until: ctx.now,
            released_slots: Vec::new(),
            coordinator_lease_capped_since: None,
            last_renewal_at: ctx.now,
            releasing: false,
            rolled_back_at: None,
        }
    }

    pub(crate) fn term(&self) -> Term {
        self.term
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.succession.is_settled()
    }

    pub(crate) fn plan_version(&self) -> u64 {
        self.plan.acked().map_or(0, |it| it.version)
    }

    /// Until when this node may hold what it has granted itself.
    pub(crate) fn renew_coordinator_lease(&mut self, ctx: &Ctx<'_>) -> Option<Timestamp> {
        if !self.may_renew(ctx) {
            return None;
        }
        let until = match ctx.limits().coordinator_lease {
            CoordinatorLease::Confirmation if ctx.config.keyed => self.confirmed_until(ctx),
            // Without keys nothing confirms it, and nothing is held by it.
            CoordinatorLease::Confirmation | CoordinatorLease::Full => {
                ctx.now + self.times(ctx).lease()
            }
        };
        self.coordinator_lease_until = self.coordinator_lease_until.max(until);
        // It is extended between renewals too: its own session lapses no earlier than it.
        if let Some(row) = self.members.rows.get_mut(&MemberId::from(ctx.own_instance())) {
            row.lease_until = row.lease_until.max(self.coordinator_lease_until);
        }
        Some(until)
    }

    /// The end of the confirmation, as early as witnesses would have it while these are about to
    /// take over.
    fn confirmed_until(&self, ctx: &Ctx<'_>) -> Timestamp {
        let until = self.confirmation.valid_until();
        let by_witnesses = self.confirmation.proved_at() + self.times(ctx).confirmation();
        match self.coordinator_lease_capped_since {
            Some(_) if rules::is_enforced(Rule::CapCoordinatorLease) => until.min(by_witnesses),
            _ => until,
        }
    }

    /// The times in force: those that a successor will wait by, or shorter ones.
    fn times(&self, ctx: &Ctx<'_>) -> TermTimes {
        self.object.acked().times.min(ctx.limits().into())
    }

    fn may_renew(&self, ctx: &Ctx<'_>) -> bool {
        if self.releasing {
            return false;
        }
        // Where nothing is granted, two coordinators at a time do no harm.
        if !ctx.config.keyed {
            return true;
        }
        if self.succession.may_be_contested(ctx.now) {
            return false;
        }
        let policy = self.object.confirmation_policy(self.times(ctx));
        self.confirmation.is_valid(ctx.now, &policy)
            || !rules::is_enforced(Rule::RenewOnlyWhileConfirmed)
    }

    /// After a pause nothing that was proved before holds.
    pub(crate) fn reset_confirmation(&mut self, now: Timestamp) {
        self.confirmation.reset(now);
    }

    pub(crate) fn handle_message(&mut self, ctx: &mut Ctx<'_>, from: &Instance, message: &Message) {
        match message {
            Message::Renew(renew) => {
                self.last_renewal_at = ctx.now;
                let policy = self
                    .object
                    .confirmation_policy(self.object.acked().times.min(ctx.limits().into()));
                self.confirmation.record_replacement(ctx.now, from, &policy);
                self.handle_renewal(ctx, from, renew);
                self.grant_released(ctx);
            }
            Message::WitnessReply { term, number, has_read } if *term == self.term => {
                let policy = self
                    .object
                    .confirmation_policy(self.object.acked().times.min(ctx.limits().into()));
                let proved_at = self.confirmation.proved_at();
                self.confirmation.handle_reply(ctx.now, from, *number, *has_read, &policy);
                if self.confirmation.proved_at() > proved_at {
                    self.advance(ctx);
                }
            }
            _ => return,
        }
        self.send_answers(ctx, Recipients::WithRoutes);
    }

    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>) {
        self.expire(ctx);
        let planned = self.plan.acked().map(|it| it.members.as_slice());
        let was_past_earlier_leases = self.succession.is_past_earlier_leases();
        if self.succession.settle(ctx.now, &self.confirmation, planned) {
            ctx.event(Event::Settled { term: self.term.0 });
            self.wake();
            self.resolve_unknown(ctx);
        }
        if self.succession.is_past_earlier_leases() && !was_past_earlier_leases {
            self.slot_table.end_runs_of_earlier_terms();
            self.wake();
        }
        if ctx.config.keyed {
            if !self.is_settled() {
                self.resolve_unknown(ctx);
            }
            self.plan.tick(ctx);
        }
        if ctx.config.keyed {
            let policy =
                self.object.confirmation_policy(self.object.acked().times.min(ctx.limits().into()));
            self.confirmation.tick(ctx, self.term, &policy);
        } else {
            self.confirmation.tick_unkeyed(ctx);
        }
        self.object.tick(ctx);
        self.announce(ctx);
        self.advance(ctx);
        if ctx.config.keyed {
            self.propose(ctx);
        }
        self.maintain(ctx);
        self.refresh_loads(ctx);
        self.send_answers(ctx, Recipients::All);
    }

    /// Looks through all slots and keys for what can go on: with each tick, with a plan and with new proof,
    /// and not with each message. 112 members renew 280 times a second; with a look at 2,048 slots for each, a
    /// coordinator on a tenth of a core was simulated to lose its term before its first grants.
    fn advance(&mut self, ctx: &mut Ctx<'_>) {
        if !ctx.config.keyed || self.idle_until > ctx.now {
            return;
        }
        self.resolve_unknown(ctx);
        self.grant_free(ctx);
        self.advance_handovers(ctx);
        self.advance_keys(ctx);
        if self.slot_table.is_stable() {
            self.idle_until = ctx.now + IDLE_INTERVAL;
        }
    }

    /// The end of a platform call that this part may have made.
    pub(crate) fn handle_platform_reply(
        &mut self,
        ctx: &mut Ctx<'_>,
        call: CallId,
        reply: &PlatformReply,
    ) -> TermState {
        if reply.era().is_some_and(|it| it > self.object.era()) {
            self.rolled_back_at.get_or_insert(ctx.now);
            return TermState::RolledBack;
        }
        match self.object.handle_reply(ctx, call, reply) {
            UpdateOutcome::Undecided => {}
            UpdateOutcome::Deposed => return TermState::Lost,
            UpdateOutcome::Applied { sent_at } => return self.handle_object_update(ctx, sent_at),
        }
        if self.confirmation.is_own_read(call) {
            return self.handle_confirmation_read(ctx, call, reply);
        }
        let (term, slots, me) = (self.term, ctx.config.slot_count, ctx.config);
        let first = |ctx: &mut Ctx<'_>, found: Option<&crate::Plan>| {
            propose::first_plan(ctx.nonce(), term, slots, me, found)
        };
        match self.plan.handle_reply(ctx, call, reply, first) {
            PlanOutcome::Deposed => return TermState::Lost,
            PlanOutcome::HigherTermFound(term) => return TermState::HigherTermFound(term),
            PlanOutcome::Acknowledged(version) => {
                ctx.event(Event::PlanWritten { version });
                self.apply_acknowledged_plan();
                let slots: Vec<Slot> = self.slot_table.slot_count.iter().collect();
                self.retain_runs_at_holders(ctx, &slots);
                self.request_clearing(ctx);
                self.wake();
                self.advance(ctx);
                self.send_answers(ctx, Recipients::WithRoutes);
            }
            PlanOutcome::NotOwnCall | PlanOutcome::Pending => {}
        }
        if self.plan.history_lost() {
            self.succession.set_history_lost();
        }
        TermState::Held
    }

    fn handle_confirmation_read(
        &mut self,
        ctx: &mut Ctx<'_>,
        call: CallId,
        reply: &PlatformReply,
    ) -> TermState {
        let policy =
            self.object.confirmation_policy(self.object.acked().times.min(ctx.limits().into()));
        let shown = match reply {
            PlatformReply::Coordinator(_, Some(it)) if self.object.has_own_term(it) => true,
            PlatformReply::Coordinator(..) => return TermState::Lost,
            _ => false,
        };
        self.confirmation.handle_read(ctx.now, call, shown, &policy);
        if shown {
            self.advance(ctx);
            self.send_answers(ctx, Recipients::WithRoutes);
        }
        TermState::Held
    }

    fn handle_object_update(&mut self, ctx: &mut Ctx<'_>, sent_at: Timestamp) -> TermState {
        self.confirmation.record_update(sent_at);
        let object = self.object.acked();
        if object.holder.is_none() {
            return TermState::Released;
        }
        self.apply_confirmation_change(ctx);
        TermState::Held
    }

    /// Tells all who may hold something and have not answered yet, until the term is settled.
    fn announce(&mut self, ctx: &mut Ctx<'_>) {
        let is_done = self.is_settled() && !self.members.rows.is_empty();
        // One that hears nobody leaves the term to others.
        let is_unreached = ctx.now.since(self.last_renewal_at) > RENEWAL_SILENCE_MAX;
        if is_done || is_unreached || self.next_announcement_at > ctx.now {
            return;
        }
        self.next_announcement_at = ctx.now + ANNOUNCE_INTERVAL;
        let planned = self.plan.acked().map_or(&[][..], |it| it.members.as_slice());
        let witnesses = self.object.acked().witnesses.as_slice();
        let mut told: Vec<&Instance> = Vec::new();
        for it in
            planned.iter().chain(witnesses).chain(&self.known_instances).chain(&ctx.config.peers)
        {
            let skip = self.succession.is_accounted_for(&MemberId::from(it));
            if !skip && !told.iter().any(|known| is_same_incarnation(known, it)) {
                told.push(it);
            }
        }
        for it in told {
            ctx.send(it, Message::Announce { term: self.term });
        }
    }

    fn next_token(&mut self) -> Token {
        self.sequence += 1;
        Token { term: self.term, sequence: self.sequence }
    }

    /// Something has happened that may let slots or keys move on.
    fn wake(&mut self) {
        self.idle_until = Timestamp::ZERO;
    }

    fn bump_route_version(&mut self) -> u64 {
        self.route_version += 1;
        self.route_version
    }

    /// The version of a change of a slot.
    fn bump_slot_route_version(&mut self) -> u64 {
        self.slots_changed_version = self.bump_route_version();
        self.slots_changed_version
    }

    /// Others are told of a change of a member.
    fn mark_member_changed(&mut self, id: &MemberId) {
        let version = self.bump_route_version();
        if let Some(row) = self.members.rows.get_mut(id) {
            row.changed_version = version;
        }
    }

    /// A new plan is due soon; joins that come together are taken together.
    fn schedule_proposal(&mut self, now: Timestamp) {
        let soon = now + propose::GATHER_DELAY;
        self.next_proposal_at = match now < self.first_plan_deadline {
            true => soon.min(self.first_plan_deadline),
            false => self.next_proposal_at.min(soon),
        };
    }

    /// Whether others than this node are about to leave.
    pub(crate) fn has_other_leaving_member(&self, me: &Instance) -> bool {
        let me = MemberId::from(me);
        self.members.rows.iter().any(|(id, row)| *id != me && row.leaving)
    }

    /// How this node is to take the term anew, once the platform has come back from an older copy. While it is confirmed
    /// no other term can have been settled; the platform does not confirm it any more, witnesses go on to.
    pub(crate) fn reacquisition(&self, ctx: &Ctx<'_>) -> Reacquisition {
        let Some(rolled_back_at) = self.rolled_back_at else { return Reacquisition::NotDue };
        if ctx.config.keyed && self.may_renew(ctx) {
            return Reacquisition::WithState(Box::new(CarriedState {
                object: self.object.acked().clone(),
                plan: self.plan.acked().cloned(),
            }));
        }
        let witnessed = self.object.acked().confirmation == Confirmation::Witnesses;
        match witnessed && ctx.now.since(rolled_back_at) <= RECONFIRMATION_MAX {
            true => Reacquisition::NotDue,
            false => Reacquisition::WithoutState,
        }
    }

    /// Gives the term up, by an update after which this node renews nothing.
    pub(crate) fn release_term(&mut self, ctx: &mut Ctx<'_>) {
        if self.releasing || self.object.is_pending() {
            return;
        }
        self.releasing = true;
        let object = Coordinator { holder: None, ..self.object.acked().clone() };
        self.object.update(ctx, object);
    }

    /// All members, to tell them that the term is given up.
    pub(crate) fn member_instances(&self) -> impl Iterator<Item = &Instance> {
        self.members.rows.values().map(|it| &it.instance)
    }
}
