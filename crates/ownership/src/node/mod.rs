//! One agent's part in one group: member, witness and, while it holds the term, coordinator.

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
    CallId, Event, Input, Limits, Output, PlatformReply, Report,
    coordinator::{AcquiredTerm, Coordination, Reacquisition, TermState},
    ctx::{Ctx, is_same_incarnation},
    member::Member,
};

use self::{stop::Stop, takeover::Takeover};

/// What a node is made from.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    pub instance: Instance,
    pub service: ServiceName,
    pub group: GroupId,
    /// Of one that is not divided by key: any.
    pub slot_count: SlotCount,
    /// Whether the service is divided by key. If not, nothing is granted, and the members in the
    /// view are the product.
    pub keyed: bool,
    /// Whether the order of slots means something: neighbours are granted together then.
    pub ordered: bool,
    pub limits: Limits,
    /// Seeds the node's own generator (nonces, jitter).
    pub seed: u64,
    /// Addresses at which to ask for the coordinator while the platform is down; may be empty.
    pub peers: Vec<Instance>,
}

/// Who owns a slot or a hot key, as far as a node knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerView {
    pub slot: Slot,
    /// Set where the entry is that of one hot key.
    pub key_hash: Option<KeyHash>,
    pub owner: Option<Instance>,
    pub token: Option<Token>,
    pub successors: Vec<Instance>,
}

/// What a node knows, for routes and the status.
#[derive(Debug, Clone, Default)]
pub struct NodeView {
    pub term: Term,
    pub coordinator: Option<Instance>,
    pub is_coordinator: bool,
    pub settled: bool,
    pub plan_version: u64,
    /// Rises whenever an owner changes; members learn it from the coordinator.
    pub route_version: u64,
    pub owners: Vec<OwnerView>,
    /// All live members, also for services that are not divided by key.
    pub members: Vec<MemberView>,
    /// The highest accepted version of the document heard of in the group.
    pub config: ConfigVersion,
}

/// A member as its coordinator last heard of it.
#[derive(Debug, Clone)]
pub struct MemberView {
    pub instance: Instance,
    pub state: crate::UpstreamState,
    pub load_us_per_s: u64,
    pub config: ConfigVersion,
}

/// The highest term that a node has heard of, and who holds it. As a witness, a node keeps nothing
/// else.
#[derive(Debug)]
struct Known {
    term: Term,
    coordinator: Option<Instance>,
    /// The holder has given the term up, or is not who it was taken for.
    vacant: bool,
    /// The holder itself has been heard in this term, not only of it.
    in_person: bool,
    /// When the coordinator was last known to be at work.
    heard_at: Timestamp,
}

impl Known {
    fn new(term: Term, coordinator: Option<Instance>, now: Timestamp) -> Known {
        Known { term, coordinator, vacant: false, in_person: false, heard_at: now }
    }
}

/// The state machine of one agent in one group.
pub struct Node {
    config: Arc<NodeConfig>,
    rng: Pcg64Mcg,
    last_call: CallId,
    last_step: Timestamp,
    known: Known,
    member: Member,
    takeover: Takeover,
    coordination: Option<Coordination>,
    stop: Stop,
}

impl Node {
    pub fn new(config: NodeConfig, now: Timestamp) -> Node {
        let rng = Pcg64Mcg::seed_from_u64(config.seed);
        let known = Known::new(Term(0), None, now);
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

    /// Takes one event and appends what is to be done to `out`.
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
            self.paused(&mut ctx);
        }
        self.member.expire(&mut ctx);
        self.input(&mut ctx, input);
        self.extend_own_lease(&mut ctx);
        while let Some(message) = ctx.self_messages.pop_front() {
            self.message(&mut ctx, &config.instance, message);
            self.extend_own_lease(&mut ctx);
        }
        self.rng = ctx.rng.clone();
        self.last_call = *ctx.last_call;
    }

    /// What was held or proved before a pause counts no more, whatever it says.
    fn paused(&mut self, ctx: &mut Ctx<'_>) {
        self.member.end_session(ctx, "pause");
        if let Some(coordination) = &mut self.coordination {
            coordination.reset_confirmation(ctx.now);
        }
    }

    fn input(&mut self, ctx: &mut Ctx<'_>, input: Input) {
        let report: Option<Report> = match input {
            Input::Tick => return self.tick(ctx),
            Input::Message { from, message } => return self.message(ctx, &from, message),
            Input::Platform { call, reply } => return self.platform(ctx, call, &reply),
            Input::Load(report) => return self.member.load(report),
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
                self.paused(ctx);
                return self.renew_now(ctx);
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
                let reports = slots.into_iter().filter_map(|it| holdings.closed(ctx, it.0, it.1));
                let reports: Vec<Report> = reports.collect();
                return self.report_all(ctx, reports);
            }
            Input::PreparedSlots(slots) => {
                let holdings = &mut self.member.holdings;
                let reports = slots.into_iter().filter_map(|it| holdings.prepared(it.0, it.1));
                let reports: Vec<Report> = reports.collect();
                return self.report_all(ctx, reports);
            }
            Input::Cleared { token } => self.member.holdings.cleared(token),
            Input::Prepared { slot, token } => self.member.holdings.prepared(slot, token),
            Input::Closed { slot, token } => self.member.holdings.closed(ctx, slot, token),
            Input::KeyClosed { key_hash, token } => {
                self.member.holdings.key_closed(ctx, key_hash, token)
            }
        };
        self.report_all(ctx, report.into_iter().collect());
    }

    fn report_all(&mut self, ctx: &mut Ctx<'_>, reports: Vec<Report>) {
        if reports.is_empty() {
            return;
        }
        for report in reports {
            self.member.report(report);
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
            // It goes on with this one until it has the next.
            Some(Reacquisition::WithState(_)) => self.takeover.take_again(ctx.now),
            Some(Reacquisition::WithoutState) => {
                self.lose_term(ctx);
                self.takeover.take_again(ctx.now);
            }
        }
        if let Some(coordination) = &mut self.coordination {
            coordination.tick(ctx);
            self.known.heard_at = ctx.now;
        }
        self.member.tick(ctx, self.known.term, self.known.coordinator.as_ref());
        self.tick_takeover(ctx);
        self.tick_stop(ctx);
    }

    fn platform(&mut self, ctx: &mut Ctx<'_>, call: CallId, reply: &PlatformReply) {
        if self.platform_takeover(ctx, call, reply) {
            return;
        }
        let Some(coordination) = &mut self.coordination else { return };
        match coordination.handle_platform_reply(ctx, call, reply) {
            TermState::Held => {}
            TermState::Lost => self.lose_term(ctx),
            TermState::HigherTermFound(term) => {
                self.lose_term(ctx);
                self.learn(ctx, term, None);
                self.known.vacant = true;
            }
            TermState::Released => self.released(ctx),
            // The tick sees to it, once it is known what to take along.
            TermState::RolledBack => {}
        }
    }

    fn extend_own_lease(&mut self, ctx: &mut Ctx<'_>) {
        let until = self.coordination.as_mut().and_then(|it| it.renew_coordinator_lease(ctx));
        if let Some(until) = until {
            self.member.extend_own(ctx, until);
        }
    }

    /// Takes the term that an update has won.
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
        self.known = Known::new(term, coordinator, ctx.now);
        self.member.follow_term(ctx.now);
        self.coordination = Some(Coordination::new(ctx, acquired, known));
    }

    /// This node coordinates no more; its member part goes on.
    fn lose_term(&mut self, ctx: &mut Ctx<'_>) {
        let Some(coordination) = self.coordination.take() else { return };
        let term = coordination.term();
        ctx.event(Event::LostCoordination { term: term.0 });
        if self.known.term == term {
            self.known.coordinator = None;
            self.known.vacant = true;
        }
    }

    /// A higher term has been heard of, or who holds the one that is known.
    fn learn(&mut self, ctx: &mut Ctx<'_>, term: Term, coordinator: Option<&Instance>) {
        let coordinator =
            coordinator.filter(|it| !is_same_incarnation(it, ctx.own_instance())).cloned();
        if term > self.known.term {
            self.known = Known::new(term, coordinator, ctx.now);
            self.takeover.again = false;
            if self.coordination.as_ref().is_some_and(|it| it.term() < term) {
                self.lose_term(ctx);
            }
            self.member.follow_term(ctx.now);
        } else if term == self.known.term
            && !self.known.vacant
            && self.known.coordinator.is_none()
            && coordinator.is_some()
        {
            self.known.coordinator = coordinator;
            self.known.heard_at = ctx.now;
            self.member.follow_term(ctx.now);
        }
    }

    fn is_coordinator(&self, instance: &Instance) -> bool {
        self.known.coordinator.as_ref().is_some_and(|it| is_same_incarnation(it, instance))
    }

    /// Brings a view up to date; owners and members are made anew only if they have changed.
    pub fn refresh(&self, view: &mut NodeView) {
        if self.member.routes.version != view.route_version {
            *view = self.view();
            return;
        }
        let coordination = self.coordination.as_ref();
        *view = NodeView {
            owners: std::mem::take(&mut view.owners),
            members: std::mem::take(&mut view.members),
            ..self.light_view(coordination)
        };
    }

    /// What changes often.
    fn light_view(&self, coordination: Option<&Coordination>) -> NodeView {
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

    /// The current view, made anew.
    pub fn view(&self) -> NodeView {
        let slot_count = self.config.slot_count;
        NodeView {
            owners: self.member.routes.owners(|it| slot_count.slot_of(it)),
            members: self.member.routes.member_views(),
            ..self.light_view(self.coordination.as_ref())
        }
    }
}
