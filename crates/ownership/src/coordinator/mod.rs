//! The coordinator of a group: the role of the node that holds the group's term.
//!
//! It renews the leases of members, writes the plan of owners and successors, and grants and hands
//! over slots and hot keys by it, while its term is confirmed.

mod answer;
mod confirm;
mod grants;
mod handover;
mod incarnations;
mod keys;
mod loads;
mod maintain;
mod members;
mod object;
mod plan;
mod propose;
mod renewals;
mod runs;
mod slots;
mod speeds;
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

pub use self::{members::GROUP_MEMBERS_MAX, speeds::MemberCapacity};

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

pub(crate) use self::succession::LostHistory;

/// The interval of announcements to members that have not yet reported their holdings to this term.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time without a scan of all slots and keys while none of them is changing.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// How long the term of a group without keys is announced to the peers of its coordinator.
const NEW_TERM_ANNOUNCED_FOR: Duration = Duration::from_secs(1);
/// The longest time without renewals during which a coordinator still announces its term.
const RENEWAL_SILENCE_MAX: Duration = Duration::from_secs(1);
/// How long witnesses may take to confirm a term whose record the platform has lost.
const RECONFIRMATION_MAX: Duration = Duration::from_millis(300);
/// The longest delay of a group's first plan, so that it includes all members that start together.
const FIRST_PLAN_DELAY: Duration = Duration::from_millis(1000);

/// A term that this node has acquired by an update of the coordinator object.
#[derive(Debug)]
pub(crate) struct AcquiredTerm {
    pub(crate) object: Coordinator,
    pub(crate) version: ObjectVersion,
    /// The coordinator object before the update; `None` if there was none.
    pub(crate) previous: Option<Coordinator>,
    /// A lower bound of when the update was sent.
    pub(crate) sent_at: Timestamp,
    /// Whether the platform has lost records of terms since `previous`.
    pub(crate) lost_history: LostHistory,
    /// The last plan of this node's previous term, if it is known which terms can have begun since.
    pub(crate) carried_plan: Option<Plan>,
}

/// The state that a coordinator carries over into its next term when the platform has lost the
/// record of its term.
#[derive(Debug, Clone)]
pub(crate) struct CarriedState {
    pub(crate) object: Coordinator,
    pub(crate) plan: Option<Plan>,
    /// Terms that may have begun since, and whose records the platform has lost.
    pub(crate) lost_history: LostHistory,
    /// Whether only the platform and the witnesses in `object` can confirm the lost terms. A successor without this state
    /// waits accordingly.
    pub(crate) lost_has_known_witnesses: bool,
    /// The era of the platform after the rollback.
    pub(crate) era: u64,
}

/// Whether and how a coordinator has to acquire a new term because the platform was rolled back.
#[derive(Debug, Clone)]
pub(crate) enum Reacquisition {
    /// The platform was not rolled back, or witnesses may still confirm the current term.
    NotDue,
    /// No other term can have settled, so the next term continues with this state.
    WithState(Box<CarriedState>),
    /// Another term may have settled, but none that witnesses could confirm. The next term continues
    /// with this state once such a term has ended.
    WithUnconfirmedState(Box<CarriedState>),
    /// Another term may have settled, so the next term continues with the stored state.
    WithoutState,
}

/// The state of a coordinator's term, after a reply of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TermState {
    Held,
    /// Another node holds a later term.
    Lost,
    /// The stored plan is of this higher term, which the coordinator object does not show.
    HigherTermFound(Term),
    /// This node has released the term.
    Released,
    /// The platform was rolled back (restored from an older snapshot), so the term has to be
    /// acquired anew.
    RolledBack,
}

/// The state of a node as coordinator of its group.
pub(crate) struct Coordination {
    term: Term,
    object: CoordinatorWriter,
    confirmation: TermConfirmation,
    succession: Succession,
    members: MemberTable,
    slot_table: SlotTable,
    hot_keys: HotKeys,
    plan: PlanWriter,
    /// The sequence number of the newest token.
    sequence: u64,
    /// The newest route version. Each change of a member, slot or hot key gets a new one.
    route_version: u64,
    /// The route version of the last change of a slot.
    slots_changed_version: u64,
    /// The routes made last, which are kept because many members need the same changes.
    cached_routes: Option<Arc<Routes>>,
    /// The route version at which `cached_routes` were made.
    cached_routes_version: u64,
    /// When the members' loads are next included in routes, in a group without keys.
    next_loads_refresh_at: Timestamp,
    /// The highest version of the document that any member has reported.
    config: ConfigVersion,
    /// Instances to which the term is announced, besides those that the plan lists.
    known_instances: Vec<Instance>,
    acquired_at: Timestamp,
    next_announcement_at: Timestamp,
    next_proposal_at: Timestamp,
    proposed_at: Timestamp,
    /// The latest time of a group's first plan, which each further join postpones up to this time.
    first_plan_deadline: Timestamp,
    /// Whether most slots had planned owners, but no holders, at the first proposal of this term: all members have
    /// restarted. Recorded only if capacity is weighed, and so is the next field.
    is_restarted: Option<bool>,
    /// When all slots first had holders in this term.
    served_since: Option<Timestamp>,
    /// Since when some member has been ready for grants, while this term has granted nothing.
    first_ready_at: Option<Timestamp>,
    /// The moves of slots within the last minute that served to even out the load.
    recent_moves: VecDeque<Timestamp>,
    /// Since when the times in the document have differed from those in the coordinator object.
    times_differ_since: Option<Timestamp>,
    /// The confirmation method and the witnesses that the platform has last acknowledged.
    acked_confirmation: (Confirmation, Vec<MemberId>),
    /// The latest end of the lease over this node's grants to itself that this term has ever set.
    coordinator_lease_until: Timestamp,
    /// Until when slots and keys are not scanned, because all are granted and none is changing.
    idle_until: Timestamp,
    /// Slots that their holders have closed, and that may be granted at once.
    released_slots: Vec<Slot>,
    /// Since when the coordinator lease has been capped to what witnesses would confirm.
    coordinator_lease_capped_since: Option<Timestamp>,
    /// When a renewal of any member was last received.
    last_renewal_at: Timestamp,
    /// Whether the release of the term has begun.
    is_releasing: bool,
    /// When the rollback of the platform to an older snapshot was detected, and the era that it began.
    rolled_back: Option<(Timestamp, u64)>,
}

impl Coordination {
    pub(crate) fn new(
        ctx: &mut Ctx<'_>,
        acquired: AcquiredTerm,
        known_instances: Vec<Instance>,
    ) -> Coordination {
        let AcquiredTerm { object, version, previous, sent_at, lost_history, carried_plan } =
            acquired;
        let term = object.term;
        let is_first_term = previous.is_none();
        let object = CoordinatorWriter::new(object, version);
        let times = object.acked().times.min(ctx.limits().into());
        let confirmation =
            TermConfirmation::new(ctx.now, sent_at, &object.confirmation_policy(times));
        let coordinator_lease = ctx.limits().coordinator_lease;
        let has_no_grants = !ctx.config.keyed;
        let previous = previous.filter(|_| !has_no_grants);
        let mut succession =
            Succession::new(ctx.now, previous.as_ref(), lost_history, coordinator_lease);
        succession.record_follower(ctx.now, ctx.own_instance());
        let holder =
            if is_first_term { Holder::Vacant { lapsed_at: None } } else { Holder::Unknown };
        let witnesses = object.acked().witnesses.iter().map(MemberId::from).collect();
        let acked_confirmation = (object.acked().confirmation, witnesses);
        let slots = ctx.config.slot_count;
        let base_version = first_route_version(term);
        let delay = if is_first_term { FIRST_PLAN_DELAY } else { Duration::ZERO };
        ctx.emit(Event::BecameCoordinator { term: term.0 });
        Coordination {
            term,
            object,
            confirmation,
            succession,
            members: MemberTable::default(),
            slot_table: SlotTable::new(slots, &holder, base_version),
            hot_keys: HotKeys::default(),
            plan: PlanWriter::new(ctx.now, term, slots, carried_plan),
            sequence: 0,
            route_version: base_version + u64::from(slots.count()),
            slots_changed_version: base_version + u64::from(slots.count()),
            cached_routes: None,
            cached_routes_version: 0,
            next_loads_refresh_at: ctx.now,
            config: ConfigVersion(0),
            known_instances,
            acquired_at: ctx.now,
            next_announcement_at: ctx.now,
            next_proposal_at: ctx.now + delay,
            proposed_at: Timestamp::ZERO,
            first_plan_deadline: ctx.now + delay,
            is_restarted: None,
            served_since: None,
            first_ready_at: None,
            recent_moves: VecDeque::new(),
            times_differ_since: None,
            acked_confirmation,
            coordinator_lease_until: ctx.now,
            idle_until: ctx.now,
            released_slots: Vec::new(),
            coordinator_lease_capped_since: None,
            last_renewal_at: ctx.now,
            is_releasing: false,
            rolled_back: None,
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

    /// Extends the lease over this node's grants to itself and returns its end, or `None` while the
    /// term is not confirmed.
    pub(crate) fn renew_coordinator_lease(&mut self, ctx: &Ctx<'_>) -> Option<Timestamp> {
        if !self.may_renew(ctx) {
            return None;
        }
        let until = match ctx.limits().coordinator_lease {
            CoordinatorLease::Confirmation if ctx.config.keyed => self.confirmed_until(ctx),
            // A group without keys does not confirm its term, and the lease covers no grants.
            CoordinatorLease::Confirmation | CoordinatorLease::Full => {
                ctx.now + self.times(ctx).lease()
            }
        };
        self.coordinator_lease_until = self.coordinator_lease_until.max(until);
        // This lease is also extended between renewals, and this node's session must not lapse
        // before it.
        if let Some(row) = self.members.rows.get_mut(&MemberId::from(ctx.own_instance())) {
            row.lease_until = row.lease_until.max(self.coordinator_lease_until);
        }
        Some(until)
    }

    /// Returns when the confirmation ends. While a change of method to witnesses is being prepared,
    /// this is no later than witnesses would confirm.
    fn confirmed_until(&self, ctx: &Ctx<'_>) -> Timestamp {
        let until = self.confirmation.valid_until();
        let by_witnesses = self.confirmation.proved_at() + self.times(ctx).confirmation();
        match self.coordinator_lease_capped_since {
            Some(_) if rules::is_enforced(Rule::CapCoordinatorLease) => until.min(by_witnesses),
            _ => until,
        }
    }

    /// Returns the times in force: those in the coordinator object, by which a successor waits, or
    /// shorter ones.
    fn times(&self, ctx: &Ctx<'_>) -> TermTimes {
        self.object.acked().times.min(ctx.limits().into())
    }

    /// Returns whether this term may renew leases and give grants now.
    fn may_renew(&self, ctx: &Ctx<'_>) -> bool {
        if self.is_releasing {
            return false;
        }
        // Without keys nothing is granted. But a coordinator that was replaced during a pause would have its members
        // designate others than those of the later term.
        if !ctx.config.keyed {
            let needs_proof =
                ctx.config.designates_members && rules::is_enforced(Rule::ProveTermAfterPause);
            return !(needs_proof && self.confirmation.awaits_proof());
        }
        if self.succession.may_be_contested(ctx.now, &self.confirmation) {
            return false;
        }
        let policy = self.object.confirmation_policy(self.times(ctx));
        self.confirmation.is_valid(ctx.now, &policy)
            || !rules::is_enforced(Rule::RenewOnlyWhileConfirmed)
    }

    /// Discards the confirmation, which a pause of this process makes unreliable.
    pub(crate) fn reset_confirmation(&mut self, now: Timestamp) {
        self.confirmation.reset(now);
    }

    /// Renews no session in a group without keys until a read has shown that its term holds. Another term may have begun
    /// after a rollback of the platform, and groups without keys read it only rarely.
    pub(crate) fn doubt_term_without_keys(&mut self, ctx: &Ctx<'_>) {
        if !ctx.config.keyed {
            self.confirmation.reset(ctx.now);
        }
    }

    /// Handles a renewal of a member or a reply of a witness, and answers renewals as far as
    /// possible at once.
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

    /// Ends lapsed sessions, settles the term, and sends the calls, announcements, plans and
    /// answers that are due.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>) {
        self.expire(ctx);
        let planned = self.plan.acked().map(|it| it.members.as_slice());
        let was_past_earlier_leases = self.succession.is_past_earlier_leases();
        if self.succession.settle(ctx.now, &self.confirmation, planned) {
            ctx.emit(Event::Settled { term: self.term.0 });
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
        if self.is_settled() && self.sequence >= ctx.limits().tokens_per_term {
            self.release_used_up_term(ctx);
        }
        self.send_answers(ctx, Recipients::All);
    }

    /// Scans all slots and keys and takes each step that is possible: on ticks, acknowledged plans
    /// and new proof, but not on renewals. 112 members renew 280 times a second; with a scan of
    /// 2,048 slots for each renewal, a simulated coordinator on a tenth of a core lost its term
    /// before its first grants.
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

    /// Handles the reply to a platform call, which may be one of another part of the node, and
    /// returns the state of the term.
    pub(crate) fn handle_platform_reply(
        &mut self,
        ctx: &mut Ctx<'_>,
        call: CallId,
        reply: &PlatformReply,
    ) -> TermState {
        if let Some(era) = reply.era().filter(|it| *it > self.object.era()) {
            self.rolled_back.get_or_insert((ctx.now, era));
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
        let (term, slots, config) = (self.term, ctx.config.slot_count, ctx.config);
        let first_plan = |ctx: &mut Ctx<'_>, stored: Option<&crate::Plan>| {
            propose::first_plan(ctx.draw_nonce(), term, slots, config, stored)
        };
        match self.plan.handle_reply(ctx, call, reply, first_plan) {
            PlanOutcome::Deposed => return TermState::Lost,
            PlanOutcome::HigherTermFound(term) => return TermState::HigherTermFound(term),
            PlanOutcome::Acknowledged(version) => {
                ctx.emit(Event::PlanWritten { version });
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
        if self.plan.is_history_lost() {
            self.succession.set_history_lost();
        }
        TermState::Held
    }

    /// Handles a read of the coordinator object: it confirms the term, or shows that another node
    /// holds a later one.
    fn handle_confirmation_read(
        &mut self,
        ctx: &mut Ctx<'_>,
        call: CallId,
        reply: &PlatformReply,
    ) -> TermState {
        let policy =
            self.object.confirmation_policy(self.object.acked().times.min(ctx.limits().into()));
        let shows_term = match reply {
            PlatformReply::Coordinator(_, Some(it)) if self.object.has_own_term(it) => true,
            PlatformReply::Coordinator(..) => return TermState::Lost,
            _ => false,
        };
        self.confirmation.handle_read(ctx.now, call, shows_term, &policy);
        if shows_term {
            self.advance(ctx);
            self.send_answers(ctx, Recipients::WithRoutes);
        }
        TermState::Held
    }

    /// Handles an acknowledged update of the coordinator object, sent at `sent_at`.
    fn handle_object_update(&mut self, ctx: &mut Ctx<'_>, sent_at: Timestamp) -> TermState {
        self.confirmation.record_update(sent_at);
        let object = self.object.acked();
        if object.holder.is_none() {
            return TermState::Released;
        }
        self.apply_confirmation_change(ctx);
        TermState::Held
    }

    /// Announces the term to all members that may hold something and have not reported it yet,
    /// until the term is settled.
    fn announce(&mut self, ctx: &mut Ctx<'_>) {
        // In a group without keys no plan lists the members. Peers that follow an earlier term are told of this one.
        let is_new = ctx.config.designates_members
            && !ctx.config.keyed
            && ctx.now.since(self.acquired_at) < NEW_TERM_ANNOUNCED_FOR;
        let has_finished = self.is_settled() && !self.members.rows.is_empty() && !is_new;
        // A coordinator that receives no renewals leaves the term to nodes that are reachable.
        let is_unreached = ctx.now.since(self.last_renewal_at) > RENEWAL_SILENCE_MAX;
        if has_finished || is_unreached || self.next_announcement_at > ctx.now {
            return;
        }
        self.next_announcement_at = ctx.now + ANNOUNCE_INTERVAL;
        let planned = self.plan.acked().map_or(&[][..], |it| it.members.as_slice());
        let witnesses = self.object.acked().witnesses.as_slice();
        let mut recipients: Vec<&Instance> = Vec::new();
        for it in
            planned.iter().chain(witnesses).chain(&self.known_instances).chain(&ctx.config.peers)
        {
            let is_accounted_for = self.succession.is_accounted_for(&MemberId::from(it));
            if !is_accounted_for && !recipients.iter().any(|known| is_same_incarnation(known, it)) {
                recipients.push(it);
            }
        }
        for it in recipients {
            ctx.send(it, Message::Announce { term: self.term });
        }
    }

    /// Returns a token above all tokens that this term has used.
    fn next_token(&mut self) -> Token {
        self.sequence += 1;
        Token { term: self.term, sequence: self.sequence }
    }

    /// Ends the idle interval, because slots or keys may have steps to take.
    fn wake(&mut self) {
        self.idle_until = Timestamp::ZERO;
    }

    /// Starts a new route version and returns it.
    fn bump_route_version(&mut self) -> u64 {
        self.route_version += 1;
        self.route_version
    }

    /// Starts a new route version for a change of a slot and returns it.
    fn bump_slot_route_version(&mut self) -> u64 {
        self.slots_changed_version = self.bump_route_version();
        self.slots_changed_version
    }

    /// Marks a member's status as changed, so that the next routes include it.
    fn mark_member_changed(&mut self, id: &MemberId) {
        let version = self.bump_route_version();
        if let Some(row) = self.members.rows.get_mut(id) {
            row.changed_version = version;
        }
    }

    /// Schedules a new proposal after a short delay, so that members joining at the same time are
    /// planned for together.
    fn schedule_proposal(&mut self, now: Timestamp) {
        let soon = now + propose::GATHER_DELAY;
        self.next_proposal_at = match now < self.first_plan_deadline {
            true => soon.min(self.first_plan_deadline),
            false => self.next_proposal_at.min(soon),
        };
    }

    /// Returns whether any member other than `own_instance` is leaving.
    pub(crate) fn has_other_leaving_member(&self, own_instance: &Instance) -> bool {
        let own_id = MemberId::from(own_instance);
        self.members.rows.iter().any(|(id, row)| *id != own_id && row.leaving)
    }

    /// Returns whether and how this node has to acquire a new term after a rollback of the
    /// platform. While the term is confirmed, no other one can have been settled. After a rollback
    /// only witnesses can confirm it, not the platform.
    pub(crate) fn reacquisition(&self, ctx: &Ctx<'_>) -> Reacquisition {
        let Some((rolled_back_at, era)) = self.rolled_back else { return Reacquisition::NotDue };
        let carried = |object: &Coordinator, lost_history, lost_has_known_witnesses| {
            Box::new(CarriedState {
                object: object.clone(),
                plan: self.plan.acked().cloned(),
                lost_history,
                lost_has_known_witnesses,
                era,
            })
        };
        if ctx.config.keyed && self.may_renew(ctx) {
            // A lost term settles only after this confirmation, and changes its witnesses only once it has settled.
            let is_bounded =
                self.succession.has_known_witnesses() && self.object.has_acked_witnesses();
            // Without a plan of this term, only the lost one may name members that hold grants of earlier terms.
            let lost_history = match self.plan.acked() {
                Some(_) => LostHistory::None,
                None if is_bounded => LostHistory::KnownWitnesses,
                None => LostHistory::Unknown,
            };
            let lost_history = lost_history.max(self.succession.lost_history());
            return Reacquisition::WithState(carried(
                self.object.acked(),
                lost_history,
                is_bounded,
            ));
        }
        let uses_witnesses = self.object.acked().confirmation == Confirmation::Witnesses;
        match self.state_of_lost_terms(ctx, rolled_back_at) {
            _ if uses_witnesses && ctx.now.since(rolled_back_at) <= RECONFIRMATION_MAX => {
                Reacquisition::NotDue
            }
            Some(object) => Reacquisition::WithUnconfirmedState(carried(
                object,
                LostHistory::KnownWitnesses,
                true,
            )),
            None => Reacquisition::WithoutState,
        }
    }

    /// Returns the state with which terms can have begun between the last proof of this one and the rollback, if none of
    /// them can have had other witnesses.
    fn state_of_lost_terms(
        &self,
        ctx: &Ctx<'_>,
        rolled_back_at: Timestamp,
    ) -> Option<&Coordinator> {
        let times = TermTimes::from(ctx.limits());
        let (object, may_apply_since) = self.object.state_with_witnesses(times)?;
        let is_within = |since: Timestamp, limit: Duration| {
            times.with_drift_margin(rolled_back_at.since(since)) < limit
        };
        let reached_at = self.confirmation.reached_platform_at();
        let is_bounded = ctx.config.keyed
            && self.succession.has_known_witnesses()
            && is_within(reached_at, maintain::first_witnesses_after(times))
            && (object.confirmation == Confirmation::Platform
                || may_apply_since.is_some_and(|it| is_within(it, maintain::WITNESS_AGE_MIN)));
        is_bounded.then_some(object)
    }

    /// Releases a term that has given out its tokens, while the platform is reachable: without it, the release would end
    /// all leases and no next term could begin.
    fn release_used_up_term(&mut self, ctx: &mut Ctx<'_>) {
        match self.confirmation.is_platform_reachable(ctx.now) {
            true => self.release_term(ctx),
            false => self.confirmation.schedule_read(ctx.now),
        }
    }

    /// Releases the term by an update of the coordinator object. From now on this node renews no
    /// lease.
    pub(crate) fn release_term(&mut self, ctx: &mut Ctx<'_>) {
        if self.is_releasing || self.object.is_pending() {
            return;
        }
        self.is_releasing = true;
        let object = Coordinator { holder: None, ..self.object.acked().clone() };
        self.object.update(ctx, object);
    }

    /// Returns the instances of all members.
    pub(crate) fn member_instances(&self) -> impl Iterator<Item = &Instance> {
        self.members.rows.values().map(|it| &it.instance)
    }
}
