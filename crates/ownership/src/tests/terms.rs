//! Terms that a node draws after rollbacks and refused updates, and the release of a term by its tokens.

use std::{collections::VecDeque, time::Duration};

use model::{
    Fence, GroupId, Incarnation, Instance, InstanceName, ObjectVersion, ServiceName, SlotCount,
    Term, Timestamp, Token, Zone,
};

use crate::{
    Coordinator, Input, Limits, Node, NodeConfig, Output, PlatformReply, PlatformRequest,
    sim::{Fault, Sim, SimConfig},
};

/// Returns the number of slots without an owner 10 s after the loss of a member while the platform is down, and the number
/// of terms before that outage.
fn unowned_after_loss_without_platform(tokens_per_term: u64) -> (usize, u64) {
    let limits = Limits { tokens_per_term, ..Limits::default() };
    let mut sim = Sim::new(SimConfig { limits, ..SimConfig::new(9) });
    sim.start_all();
    assert!(sim.run_until(Duration::from_secs(5), |it| it.unowned_slots() == 0));
    sim.run_for(Duration::from_secs(40));
    sim.apply(Fault::PlatformDown);
    sim.run_for(Duration::from_secs(3));
    assert_eq!(sim.unowned_slots(), 0);
    let terms = sim.events()["BecameCoordinator"];
    let lost = (sim.coordinator().unwrap() + 1) % sim.host_count();
    sim.apply(Fault::Crash(lost));
    sim.run_for(Duration::from_secs(10));
    (sim.unowned_slots(), terms)
}

/// Guards against a release of the term that can't complete, and ends all leases, while the platform is down.
#[test]
fn a_coordinator_without_the_platform_goes_on_when_its_tokens_reach_the_bound() {
    let (unowned, _) = unowned_after_loss_without_platform(u64::MAX);
    assert_eq!(unowned, 0, "without a bound");
    let mut failed = Vec::new();
    for bound in 1..40 {
        let (unowned, terms_before) = unowned_after_loss_without_platform(bound);
        if terms_before == 1 && unowned > 0 {
            failed.push((bound, unowned));
        }
    }
    assert!(failed.is_empty(), "bounds with slots that are not owned: {failed:?}");
}

/// Fake of the platform for nodes that step one after the other.
struct Store {
    era: u64,
    revision: u64,
    coordinator: Option<(u64, Coordinator)>,
    last_round: u32,
    draws: u64,
    /// Whether updates of the coordinator object are refused, while all other calls succeed.
    refuses_coordinator: bool,
}

impl Store {
    fn new(era: u64) -> Store {
        Store {
            era,
            revision: 0,
            coordinator: None,
            last_round: 0,
            draws: 0,
            refuses_coordinator: false,
        }
    }

    /// Restores a copy of the coordinator object, in the next era.
    fn roll_back(&mut self, copy: &(u64, Coordinator)) {
        self.era += 1;
        self.revision = copy.0;
        self.coordinator = Some(copy.clone());
        self.last_round = 0;
    }

    fn reply(&mut self, request: PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::ReadCoordinator => {
                let (revision, object) = self.coordinator.clone().unzip();
                PlatformReply::Coordinator(
                    ObjectVersion::of(self.era, revision.unwrap_or(0)),
                    object,
                )
            }
            PlatformRequest::ReadPlan => PlatformReply::Plan(ObjectVersion::of(self.era, 0), None),
            PlatformRequest::UpdateCoordinator { expected, object } => {
                let current = self.coordinator.as_ref().map_or(0, |it| it.0);
                if self.refuses_coordinator {
                    return PlatformReply::Failed;
                }
                if expected != ObjectVersion::of(self.era, current) {
                    return PlatformReply::Conflict;
                }
                self.revision += 1;
                self.coordinator = Some((self.revision, object));
                PlatformReply::Updated(ObjectVersion::of(self.era, self.revision))
            }
            PlatformRequest::UpdatePlan { .. } => PlatformReply::Failed,
            PlatformRequest::DrawRound { era, .. } if era != self.era => PlatformReply::Conflict,
            PlatformRequest::DrawRound { above, .. } => {
                let Some(round) = self.last_round.max(above).checked_add(1) else {
                    return PlatformReply::Conflict;
                };
                (self.last_round, self.draws) = (round, self.draws + 1);
                PlatformReply::RoundDrawn(round)
            }
        }
    }
}

fn node(name: &str, port: u16, now: Timestamp) -> Node {
    let instance = Instance {
        name: InstanceName::new(name).unwrap(),
        incarnation: Incarnation(1),
        zone: Zone::new("pitlane").unwrap(),
        control: ([127, 0, 0, 1], port).into(),
        traffic: ([127, 0, 0, 1], port + 1).into(),
    };
    let config = NodeConfig {
        instance,
        service: ServiceName::new("service").unwrap(),
        group: GroupId(0),
        slot_count: SlotCount::new(8).unwrap(),
        keyed: true,
        designates_members: true,
        ordered: true,
        limits: Limits::default(),
        seed: port.into(),
        peers: Vec::new(),
    };
    Node::new(config, now)
}

/// Runs the node until it coordinates, for the given time at most. Returns its term.
fn acquire(node: &mut Node, store: &mut Store, now: &mut Timestamp, max: Duration) -> Option<Term> {
    let end = *now + max;
    while *now < end {
        *now = *now + Duration::from_millis(20);
        let mut inputs = VecDeque::from([Input::Tick]);
        while let Some(input) = inputs.pop_front() {
            let mut out = Vec::new();
            node.step(*now, input, &mut out);
            for output in out {
                if let Output::Platform { call, request } = output {
                    let reply = store.reply(request);
                    inputs.push_back(Input::Platform { call, reply });
                }
            }
        }
        if node.view().is_coordinator {
            return Some(node.view().term);
        }
    }
    None
}

/// Guards against a term below an earlier one, of an era in which more rounds were drawn than are skipped for it.
#[test]
fn a_term_is_above_a_lost_one_before_which_many_rounds_were_drawn_without_a_term() {
    let mut now = Timestamp::from_ms(1000);
    let mut store = Store::new(0);
    let first = acquire(&mut node("a", 10, now), &mut store, &mut now, Duration::from_secs(5));
    assert_eq!(first, Some(Term(1)));
    let copy = store.coordinator.clone().unwrap();
    store.roll_back(&copy);
    store.refuses_coordinator = true;
    let mut second = node("b", 20, now);
    let refused_for = Duration::from_secs(300);
    assert_eq!(acquire(&mut second, &mut store, &mut now, refused_for), None);
    let draws = store.draws;
    store.refuses_coordinator = false;
    let lost = acquire(&mut second, &mut store, &mut now, Duration::from_secs(60)).unwrap();
    store.roll_back(&copy);
    let later = acquire(&mut node("c", 30, now), &mut store, &mut now, Duration::from_secs(60));
    let later = later.unwrap();
    assert!(
        later > lost,
        "round {} after round {}; {draws} draws in {refused_for:?} of refused updates",
        later.round(),
        lost.round()
    );
}

/// Guards against a group that gets no term, or one without fences, in a store with a high era.
#[test]
fn a_group_gets_its_first_term_in_a_store_of_any_era() {
    for era in [1, 1 << 17, 1 << 18, 1 << 22] {
        let mut now = Timestamp::from_ms(1000);
        let mut store = Store::new(era);
        let term = acquire(&mut node("a", 10, now), &mut store, &mut now, Duration::from_secs(30));
        let token = term.map(|term| Token { term, sequence: 1 });
        let fence = token.map(Fence::try_from);
        assert!(matches!(fence, Some(Ok(_))), "era {era}: {fence:?}");
    }
}

/// Guards against a term without a fence where an answer names an earlier era than the stored object does.
#[test]
fn a_term_that_follows_one_after_a_rollback_has_a_fence_whatever_era_the_answer_names() {
    let mut now = Timestamp::from_ms(1000);
    let mut store = Store::new(1);
    let first = acquire(&mut node("a", 10, now), &mut store, &mut now, Duration::from_secs(5));
    assert!(first.is_some());
    store.era = 0;
    let next = acquire(&mut node("b", 20, now), &mut store, &mut now, Duration::from_secs(60));
    let fence = next.map(|term| Fence::try_from(Token { term, sequence: 1 }));
    assert!(matches!(fence, None | Some(Ok(_))), "{fence:?}");
}
