//! Upstreams are cleared of what earlier sessions were granted: whose word for that counts.

use std::{collections::VecDeque, time::Duration};

use model::{
    ConfigVersion, GroupId, Incarnation, Instance, InstanceName, ObjectVersion, ServiceName, Slot,
    SlotCount, Term, Timestamp, Token, Zone,
};

use crate::{
    Command, Coordinator, CoordinatorLease, GateCommand, Holding, Input, Limits, Message, Node,
    NodeConfig, Output, PlatformReply, PlatformRequest, Renew, Renewed, Report, SessionId,
    UpstreamState,
};

const TICK: Duration = Duration::from_millis(20);
const LEASE: Duration = Duration::from_secs(10);
/// Enough for a term, its first plan and the first grants, and less than the lease.
const FIRST_GRANTS: Duration = Duration::from_secs(4);
const ONE_MORE_PLAN: Duration = Duration::from_millis(500);

fn instance(name: &str, port: u16) -> Instance {
    Instance {
        name: InstanceName::new(name).unwrap(),
        incarnation: Incarnation(1),
        zone: Zone::new("pitlane").unwrap(),
        control: ([127, 0, 0, 1], port).into(),
        traffic: ([127, 0, 0, 1], port + 1).into(),
    }
}

fn leader() -> Instance {
    instance("leader", 10)
}

fn later_leader() -> Instance {
    instance("later-leader", 20)
}

fn member() -> Instance {
    instance("member", 30)
}

/// One node, and as much of a platform as one coordinator sees.
struct Harness {
    node: Node,
    now: Timestamp,
    stored: Option<(ObjectVersion, Coordinator)>,
    version: u64,
    outputs: Vec<Output>,
}

impl Harness {
    fn new(instance: Instance) -> Harness {
        let limits =
            Limits { lease: LEASE, coordinator_lease: CoordinatorLease::Full, ..Limits::default() };
        let config = NodeConfig {
            instance,
            service: ServiceName::new("service").unwrap(),
            group: GroupId(0),
            slot_count: SlotCount::new(8).unwrap(),
            keyed: true,
            ordered: true,
            limits,
            seed: 1,
            peers: Vec::new(),
        };
        let now = Timestamp::from_ms(1000);
        let (stored, version, outputs) = (None, 0, Vec::new());
        Harness { node: Node::new(config, now), now, stored, version, outputs }
    }

    fn give(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let mut out = Vec::new();
            self.node.step(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::Platform { call, request } => {
                        let reply = self.reply(request);
                        inputs.push_back(Input::Platform { call, reply });
                    }
                    other => self.outputs.push(other),
                }
            }
        }
    }

    fn reply(&mut self, request: PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::ReadCoordinator => {
                let (version, object) = self.stored.clone().unzip();
                PlatformReply::Coordinator(version.unwrap_or_default(), object)
            }
            PlatformRequest::ReadPlan => PlatformReply::Plan(ObjectVersion(0), None),
            PlatformRequest::UpdateCoordinator { object, .. } => {
                self.version += 1;
                let version = ObjectVersion(self.version);
                self.stored = Some((version, object));
                PlatformReply::Updated(version)
            }
            PlatformRequest::UpdatePlan { .. } => {
                self.version += 1;
                PlatformReply::Updated(ObjectVersion(self.version))
            }
        }
    }

    fn hear(&mut self, from: Instance, message: Message) {
        self.give(Input::Message { from, message });
    }

    fn pass(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK;
            self.give(Input::Tick);
        }
    }

    /// The commands in the last answer to a session of the member.
    fn told(&self, session: SessionId) -> Vec<Command> {
        let answer = self.outputs.iter().rev().find_map(|it| match it {
            Output::Send { message: Message::Renewed(it), .. } if it.session == session => Some(it),
            _ => None,
        });
        answer.map(|it| it.commands.clone()).unwrap_or_default()
    }

    /// The newest renewal that was sent.
    fn renewal(&self) -> &Renew {
        let sent = self.outputs.iter().rev().find_map(|it| match it {
            Output::Send { message: Message::Renew(it), .. } => Some(it),
            _ => None,
        });
        sent.expect("a renewal was sent")
    }
}

fn clear_token(commands: &[Command]) -> Option<Token> {
    commands.iter().find_map(|it| match it {
        Command::Clear { token } => Some(*token),
        _ => None,
    })
}

fn is_granted(commands: &[Command]) -> bool {
    commands.iter().any(|it| matches!(it, Command::Admit { .. }))
}

fn renew(term: Term, session: u32, sequence: u64, reports: Vec<Report>) -> Message {
    let recently_lapsed = session > SessionId::FIRST.0;
    Message::Renew(Box::new(Renew {
        term,
        session: SessionId(session),
        sequence,
        upstream: UpstreamState::Ready,
        leaving: false,
        config: ConfigVersion(1),
        applied: 0,
        first_report: 1,
        reports,
        holding: Some(Holding { recently_lapsed, ..Holding::default() }),
        load: None,
        route_version: 0,
    }))
}

#[test]
fn an_answer_to_the_clear_of_an_earlier_session_ends_no_lease() {
    let mut leader = Harness::new(leader());
    leader.pass(ONE_MORE_PLAN);
    let term = leader.node.view().term;
    leader.hear(member(), renew(term, 1, 1, Vec::new()));
    leader.pass(FIRST_GRANTS);
    let first = leader.told(SessionId(1));
    assert!(is_granted(&first), "{first:?}");
    let earlier = Report::Cleared { token: clear_token(&first).unwrap() };

    leader.hear(member(), renew(term, 2, 2, vec![earlier]));
    leader.pass(ONE_MORE_PLAN);
    let second = leader.told(SessionId(2));
    assert!(!is_granted(&second), "granted while the lease of session 1 lives: {second:?}");

    let asked = Report::Cleared { token: clear_token(&second).unwrap() };
    leader.hear(member(), renew(term, 2, 3, vec![earlier, asked]));
    leader.pass(ONE_MORE_PLAN);
    let second = leader.told(SessionId(2));
    assert!(is_granted(&second), "{second:?}");
}

/// A member that has been asked to clear its upstream in term 1, and the token of that.
fn asked_to_clear() -> (Harness, Token) {
    let token = Token { term: Term(1), sequence: 1 };
    let member = told(vec![Command::Clear { token }]);
    let is_asked = |it: &Output| matches!(it, Output::Gate(GateCommand::Clear { .. }));
    assert!(member.outputs.iter().any(is_asked));
    (member, token)
}

/// A member whose first renewal in term 1 is answered by commands.
fn told(commands: Vec<Command>) -> Harness {
    let mut member = Harness::new(member());
    member.hear(leader(), Message::Announce { term: Term(1) });
    let renewal = member.renewal();
    let answer = Renewed {
        term: Term(1),
        session: renewal.session,
        sequence: renewal.sequence,
        lease_ms: LEASE.as_millis() as u32,
        last_report: 0,
        first_command: 1,
        commands,
        routes: None,
        config: ConfigVersion(1),
        can_stop: false,
    };
    member.hear(leader(), Message::Renewed(Box::new(answer)));
    member
}

#[test]
fn a_member_passes_on_what_it_was_asked_to_clear() {
    let (mut member, token) = asked_to_clear();
    member.give(Input::Cleared { token });
    assert_eq!(member.renewal().reports, [Report::Cleared { token }]);
}

#[test]
fn a_member_does_not_pass_on_a_clear_of_its_session_before() {
    let (mut member, token) = asked_to_clear();
    member.give(Input::DropSession { reason: "test" });
    member.give(Input::Cleared { token });
    assert_eq!(member.renewal().reports, []);
}

#[test]
fn a_member_does_not_pass_on_a_clear_of_the_term_before() {
    let (mut member, token) = asked_to_clear();
    member.hear(later_leader(), Message::Announce { term: Term(2) });
    member.give(Input::Cleared { token });
    assert_eq!(member.renewal().term, Term(2));
    assert_eq!(member.renewal().reports, []);
}

/// The gate waits for work of its upstream until the grant has run out.
#[test]
fn a_session_does_not_end_because_a_slot_is_worked_on_for_as_long_as_it_was_granted() {
    let (slot, token) = (Slot(0), Token { term: Term(1), sequence: 1 });
    let commands = vec![Command::Admit { slot, token }, Command::Close { slot, token, to: None }];
    let mut member = told(commands);
    let end = member.now + LEASE / 2;
    while member.now < end {
        member.pass(10 * TICK);
        member.hear(leader(), Message::Announce { term: Term(1) });
    }
    let ends = |it: &Output| matches!(it, Output::Gate(GateCommand::DropAll));
    assert!(!member.outputs.iter().any(ends), "the session has ended");
}
