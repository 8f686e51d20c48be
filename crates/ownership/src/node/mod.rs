//! State machine of one agent in one group: member, witness and, while it holds the term, coordinator.

mod messages;
mod stop;
mod takeover;

use std::{collections::VecDeque, sync::Arc};

use model::{
    ConfigVersion, GroupId, Instance, KeyHash, ServiceName, Slot, SlotCount, Term, Timestamp, Token,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::{
    CallId, Event, Input, Limits, MemberCapacity, Output, PlatformReply, Report,
    coordinator::{AcquiredTerm, Coordination, Reacquisition, TermState},
    ctx::{Ctx, is_same_incarnation},
    member::Member,
};

use self::{stop::Stop, takeover::Takeover};

/// Configuration of a [`Node`].
#[derive(Debug, Clone)]
pub struct NodeConfig {
    pub instance: Instance,
    pub service: ServiceName,
    pub group: GroupId,
    /// Number of slots; unused for services that are not sharded by key.
    pub slot_count: SlotCount,
    /// Whether the service is sharded by key. Otherwise nothing is granted, and the node only maintains the list of
    /// members in its view.
    pub keyed: bool,
    /// Whether each request has a designated member, which keeps the record of it. In a group without keys, the
    /// coordinator then proves its term after a pause before it renews sessions.
    pub designates_members: bool,
    /// Whether the keys have an order that the slots follow; neighbouring slots are then granted together.
    pub ordered: bool,
    pub limits: Limits,
    /// Seed of the node's random generator, which draws nonces and jitter.
    pub seed: u64,
    /// Peers to query for the coordinator while the platform is unavailable; may be empty.
    pub peers: Vec<Instance>,
}

/// Owner of a slot or a hot key in a node's view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerView {
    pub slot: Slot,
    /// Hot key that the entry is for; `None` for the entry of a slot.
    pub key_hash: Option<KeyHash>,
    pub owner: Option<Instance>,
    pub token: Option<Token>,
    pub successors: Vec<Instance>,
}

/// View of a group by one node, used for routing and the status object.
#[derive(Debug, Clone, Default)]
pub struct NodeView {
    pub term: Term,
    pub coordinator: Option<Instance>,
    pub is_coordinator: bool,
    pub settled: bool,
    pub plan_version: u64,
    /// Version that rises with each change of an owner; members receive it from the coordinator.
    pub route_version: u64,
    pub owners: Vec<OwnerView>,
    /// All live members, also for services that are not sharded by key.
    pub members: Vec<MemberView>,
    /// Highest version of the document that any member of the group has in force.
    pub config: ConfigVersion,
}

/// Member of the group, with the status that it last reported to the coordinator.
#[derive(Debug, Clone)]
pub struct MemberView {
    pub instance: Instance,
    pub state: crate::UpstreamState,
    pub load_us_per_s: u64,
    pub config: ConfigVersion,
}

/// Highest term that a node has seen, and its holder. This is all the state that a witness keeps.
#[derive(Debug)]
struct KnownTerm {
    term: Term,
    coordinator: Option<Instance>,
    /// Whether the holder has released the term, or has turned out not to hold it.
    vacant: bool,
    /// Whether this node has received a message from the holder itself in this term, not only reports by others.
    has_direct_contact: bool,
    /// Time of the last evidence that the coordinator is active.
    last_contact_at: Timestamp,
}

impl KnownTerm {
    fn new(term: Term, coordinator: Option<Instance>, now: Timestamp) -> KnownTerm {
        KnownTerm {
            term,
            coordinator,
            vacant: false,
            has_direct_contact: false,
            last_contact_at: now,
        }
    }
}

/// State machine of one agent in one group.
pub struct Node {
    config: Arc<NodeConfig>,
    rng: Pcg64Mcg,
    last_call: CallId,
    last_step: Timestamp,
    known: KnownTerm,
    member: Member,
    takeover: Takeover,
    coordination: Option<Coordination>,
    stop: Stop,
}

impl Node {
    pub fn new(config: NodeConfig, now: Timestamp) -> Node {
        let rng = Pcg64Mcg::seed_from_u64(config.seed);
        let known = KnownTerm::new(Term(0), None, now);
        Node {
            config: Arc::new(config),
            rng,
            last_call: CallId(0),
            last_step: now,
            known,
            member: Member::new(now),
            takeover: Takeover::new(now),
            coordination: None,
            stop: Stop::default(),
        }
    }

    /// Handles one input and appends the resulting outputs to `out`, in the order in which to carry them out.
    pub fn step(&mut self, now: Timestamp, input: Input, out: &mut Vec<Output>) {
        if self.stop.is_done() {
            return;
        }
        let mut self_messages = VecDeque::new();
        let paused = now.since(self.last_step) > self.config.limits.pause_max;
        self.last_step = now;
        if let Input::Limits(limits) = input {
            Arc::make_mut(&mut self.config).limits = *limits;
            return;
        }
        let config = Arc::clone(&self.config);
        let mut ctx = Ctx {
            now,
            config: &config,
            rng: &mut self.rng.clone(),
            last_call: &mut self.last_call.clone(),
            self_messages: &mut self_messages,
            out,
        };
        if paused {
            self.handle_pause(&mut ctx);
        }
        self.member.expire(&mut ctx);
        self.handle_input(&mut ctx, input);
        self.extend_own_lease(&mut ctx);
        while let Some(message) = ctx.self_messages.pop_front() {
            self.handle_message(&mut ctx, &config.instance, message);
            self.extend_own_lease(&mut ctx);
        }
        self.rng = ctx.rng.clone();
        self.last_call = *ctx.last_call;
    }

    /// Ends the session and resets the coordinator's confirmation: after a pause neither can be relied on.
    fn handle_pause(&mut self, ctx: &mut Ctx<'_>) {
        self.member.end_session(ctx, "process pause detected");
        if let Some(coordination) = &mut self.coordination {
            coordination.reset_confirmation(ctx.now);
        }
    }

    fn handle_input(&mut self, ctx: &mut Ctx<'_>, input: Input) {
        let report: Option<Report> = match input {
            Input::Tick => return self.tick(ctx),
            Input::Message { from, message } => return self.handle_message(ctx, &from, message),
            Input::Platform { call, reply } => return self.handle_reply(ctx, call, &reply),
            Input::Load(report) => return self.member.add_load(report),
            Input::Limits(_) => return,
            Input::Config(version) => {
                self.member.config = self.member.config.max(version);
                return;
            }
            Input::Upstream(state) if self.member.upstream == state => return,
            Input::Upstream(state) => {
                self.member.upstream = state;
                return self.renew_now(ctx);
            }
            Input::Suspended => {
                self.handle_pause(ctx);
                return self.renew_now(ctx);
            }
            Input::PlatformRolledBack => {
                if let Some(coordination) = &mut self.coordination {
                    coordination.doubt_term_without_keys(ctx);
                }
                return;
            }
            Input::DropSession { reason } => {
                self.member.end_session(ctx, reason);
                return self.renew_now(ctx);
            }
            Input::Stop => {
                self.stop.begin(ctx.now);
                self.member.leaving = true;
                return self.renew_now(ctx);
            }
            Input::ClosedSlots(slots) => {
                let holdings = &mut self.member.holdings;
                let reports =
                    slots.into_iter().filter_map(|it| holdings.handle_closed(ctx, it.0, it.1));
                let reports: Vec<Report> = reports.collect();
                return self.send_reports(ctx, reports);
            }
            Input::PreparedSlots(slots) => {
                let holdings = &mut self.member.holdings;
                let reports =
                    slots.into_iter().filter_map(|it| holdings.handle_prepared(it.0, it.1));
                let reports: Vec<Report> = reports.collect();
                return self.send_reports(ctx, reports);
            }
            Input::Cleared { token } => self.member.holdings.handle_cleared(token),
            Input::Prepared { slot, token } => self.member.holdings.handle_prepared(slot, token),
            Input::Closed { slot, token } => self.member.holdings.handle_closed(ctx, slot, token),
            Input::KeyClosed { key_hash, token } => {
                self.member.holdings.handle_key_closed(ctx, key_hash, token)
            }
        };
        self.send_reports(ctx, report.into_iter().collect());
    }

    fn send_reports(&mut self, ctx: &mut Ctx<'_>, reports: Vec<Report>) {
        if reports.is_empty() {
            return;
        }
        for report in reports {
            self.member.queue_report(report);
        }
        self.renew_now(ctx);
    }

    fn renew_now(&mut self, ctx: &mut Ctx<'_>) {
        if let Some(coordinator) = &self.known.coordinator {
            self.member.renew(ctx, self.known.term, coordinator);
        }
    }

    fn tick(&mut self, ctx: &mut Ctx<'_>) {
        match self.coordination.as_ref().map(|it| it.reacquisition(ctx)) {
            None | Some(Reacquisition::NotDue) => {}
            // The coordinator continues with this term until it has acquired the next one.
            Some(Reacquisition::WithState(_)) => self.takeover.schedule_reacquisition(ctx.now),
            Some(Reacquisition::WithUnconfirmedState(carried)) => {
                self.lose_term(ctx);
                self.takeover.carried = Some(*carried);
                self.takeover.schedule_reacquisition(ctx.now);
            }
            Some(Reacquisition::WithoutState) => {
                self.lose_term(ctx);
                self.takeover.schedule_reacquisition(ctx.now);
            }
        }
        if let Some(coordination) = &mut self.coordination {
            coordination.tick(ctx);
            self.known.last_contact_at = ctx.now;
        }
        self.member.tick(ctx, self.known.term, self.known.coordinator.as_ref());
        self.tick_takeover(ctx);
        self.tick_stop(ctx);
    }

    fn handle_reply(&mut self, ctx: &mut Ctx<'_>, call: CallId, reply: &PlatformReply) {
        if self.handle_takeover_reply(ctx, call, reply) {
            return;
        }
        let Some(coordination) = &mut self.coordination else { return };
        match coordination.handle_platform_reply(ctx, call, reply) {
            TermState::Held => {}
            TermState::Lost => self.lose_term(ctx),
            TermState::HigherTermFound(term) => {
                self.lose_term(ctx);
                self.update_known_term(ctx, term, None);
                self.known.vacant = true;
            }
            TermState::Released => self.finish_release(ctx),
            // The next tick starts a takeover, once it is known which state to carry over.
            TermState::RolledBack => {}
        }
    }

    fn extend_own_lease(&mut self, ctx: &mut Ctx<'_>) {
        let until = self.coordination.as_mut().and_then(|it| it.renew_coordinator_lease(ctx));
        if let Some(until) = until {
            self.member.extend_own_lease(ctx, until);
        }
    }

    /// Becomes the coordinator of an acquired term, unless a higher one has been seen meanwhile.
    fn become_coordinator(&mut self, ctx: &mut Ctx<'_>, acquired: AcquiredTerm) {
        let term = acquired.object.term;
        let newer = term > self.known.term;
        if !newer && (term < self.known.term || self.known.coordinator.is_some()) {
            return;
        }
        let members = self.member.routes.members().map(|it| it.instance.clone());
        let known = members.chain(self.known.coordinator.clone()).collect();
        self.lose_term(ctx);
        let coordinator = Some(ctx.own_instance().clone());
        self.known = KnownTerm::new(term, coordinator, ctx.now);
        self.member.switch_term(ctx.now, term);
        self.coordination = Some(Coordination::new(ctx, acquired, known));
    }

    /// Stops coordinating; the node remains a member.
    fn lose_term(&mut self, ctx: &mut Ctx<'_>) {
        let Some(coordination) = self.coordination.take() else { return };
        let term = coordination.term();
        ctx.emit(Event::LostCoordination { term: term.0 });
        if self.known.term == term {
            self.known.coordinator = None;
            self.known.vacant = true;
        }
    }

    /// Adopts a higher term, or the holder of the known term if it was unknown.
    fn update_known_term(&mut self, ctx: &mut Ctx<'_>, term: Term, coordinator: Option<&Instance>) {
        let coordinator =
            coordinator.filter(|it| !is_same_incarnation(it, ctx.own_instance())).cloned();
        if term > self.known.term {
            self.known = KnownTerm::new(term, coordinator, ctx.now);
            self.takeover.reacquire = false;
            self.takeover.carried = None;
            if self.coordination.as_ref().is_some_and(|it| it.term() < term) {
                self.lose_term(ctx);
            }
            self.member.switch_term(ctx.now, term);
        } else if term == self.known.term
            && !self.known.vacant
            && self.known.coordinator.is_none()
            && coordinator.is_some()
        {
            self.known.coordinator = coordinator;
            self.known.last_contact_at = ctx.now;
            self.member.switch_term(ctx.now, term);
        }
    }

    fn is_coordinator(&self, instance: &Instance) -> bool {
        self.known.coordinator.as_ref().is_some_and(|it| is_same_incarnation(it, instance))
    }

    /// Updates a view; owners and members are rebuilt only if the routes have changed.
    pub fn refresh(&self, view: &mut NodeView) {
        if self.member.routes.version != view.route_version {
            *view = self.view();
            return;
        }
        let coordination = self.coordination.as_ref();
        *view = NodeView {
            owners: std::mem::take(&mut view.owners),
            members: std::mem::take(&mut view.members),
            ..self.summary_view(coordination)
        };
    }

    /// Returns a view without owners and members, which is cheap to build.
    fn summary_view(&self, coordination: Option<&Coordination>) -> NodeView {
        NodeView {
            term: self.known.term,
            coordinator: self.known.coordinator.clone(),
            is_coordinator: coordination.is_some(),
            settled: coordination.is_some_and(Coordination::is_settled),
            plan_version: coordination.map_or(0, Coordination::plan_version),
            route_version: self.member.routes.version,
            owners: Vec::new(),
            members: Vec::new(),
            config: self.member.config.max(self.member.group_config),
        }
    }

    /// Returns the capacities of the members whose speeds are known, while this node is the coordinator.
    pub fn capacities(&self) -> Vec<MemberCapacity> {
        self.coordination.iter().flat_map(Coordination::capacities).collect()
    }

    /// Builds the current view.
    pub fn view(&self) -> NodeView {
        let slot_count = self.config.slot_count;
        NodeView {
            owners: self.member.routes.owners(|it| slot_count.slot_of(it)),
            members: self.member.routes.member_views(),
            ..self.summary_view(self.coordination.as_ref())
        }
    }
}
