//! Clearing of upstreams after a session or incarnation has ended: which reports of a clear are sent and accepted.

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
/// Time for a term, its first plan and the first grants; shorter than the lease.
const FIRST_GRANTS_PERIOD: Duration = Duration::from_secs(4);
/// Time for another plan and its grants.
const PLAN_PERIOD: Duration = Duration::from_millis(500);

fn instance(name: &str, port: u16) -> Instance {
    Instance {
        name: InstanceName::new(name).unwrap(),
        incarnation: Incarnation(1),
        zone: Zone::new("pitlane").unwrap(),
        control: ([127, 0, 0, 1], port).into(),
        traffic: ([127, 0, 0, 1], port + 1).into(),
    }
}

fn coordinator() -> Instance {
    instance("coordinator", 10)
}

fn later_coordinator() -> Instance {
    instance("later-coordinator", 20)
}

fn member() -> Instance {
    instance("member", 30)
}

/// Node with a fake of the platform, on which every update succeeds at once.
struct Harness {
    node: Node,
    now: Timestamp,
    /// Coordinator object of the platform.
    stored: Option<(ObjectVersion, Coordinator)>,
    /// Version of the last update.
    version: u64,
    /// Outputs of all steps, except for platform calls.
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
            designates_members: true,
            ordered: true,
            limits,
            seed: 1,
            peers: Vec::new(),
        };
        let now = Timestamp::from_ms(1000);
        let (stored, version, outputs) = (None, 0, Vec::new());
        Harness { node: Node::new(config, now), now, stored, version, outputs }
    }

    /// Passes an input to the node, and the replies to all platform calls that follow.
    fn pass_input(&mut self, input: Input) {
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
            PlatformRequest::DrawRound { .. } => PlatformReply::Failed,
        }
    }

    fn receive(&mut self, from: Instance, message: Message) {
        self.pass_input(Input::Message { from, message });
    }

    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK;
            self.pass_input(Input::Tick);
        }
    }

    /// Returns the commands in the last reply to a renewal in the session.
    fn commands_for(&self, session: SessionId) -> Vec<Command> {
        let reply = self.outputs.iter().rev().find_map(|it| match it {
            Output::Send { message: Message::Renewed(it), .. } if it.session == session => Some(it),
            _ => None,
        });
        reply.map(|it| it.commands.clone()).unwrap_or_default()
    }

    /// Returns the latest renewal that was sent.
    fn renewal(&self) -> &Renew {
        let sent = self.outputs.iter().rev().find_map(|it| match it {
            Output::Send { message: Message::Renew(it), .. } => Some(it),
            _ => None,
        });
        sent.expect("a renewal was sent")
    }
}

/// Returns the token of the clear among the commands.
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
        capacity: None,
        route_version: 0,
    }))
}

#[test]
fn a_cleared_report_for_an_earlier_session_does_not_end_a_lease() {
    let mut coordinator = Harness::new(coordinator());
    coordinator.advance(PLAN_PERIOD);
    let term = coordinator.node.view().term;
    coordinator.receive(member(), renew(term, 1, 1, Vec::new()));
    coordinator.advance(FIRST_GRANTS_PERIOD);
    let first = coordinator.commands_for(SessionId(1));
    assert!(is_granted(&first), "{first:?}");
    let earlier = Report::Cleared { token: clear_token(&first).unwrap() };

    coordinator.receive(member(), renew(term, 2, 2, vec![earlier]));
    coordinator.advance(PLAN_PERIOD);
    let second = coordinator.commands_for(SessionId(2));
    assert!(!is_granted(&second), "granted during the lease of session 1: {second:?}");

    let current = Report::Cleared { token: clear_token(&second).unwrap() };
    coordinator.receive(member(), renew(term, 2, 3, vec![earlier, current]));
    coordinator.advance(PLAN_PERIOD);
    let second = coordinator.commands_for(SessionId(2));
    assert!(is_granted(&second), "{second:?}");
}

/// Returns a member that has received the command to clear its upstream in term 1, and the token of the command.
fn member_with_pending_clear() -> (Harness, Token) {
    let token = Token { term: Term(1), sequence: 1 };
    let member = member_that_received(vec![Command::Clear { token }]);
    let is_clear = |it: &Output| matches!(it, Output::Gate(GateCommand::Clear { .. }));
    assert!(member.outputs.iter().any(is_clear));
    (member, token)
}

/// Returns a member that received the commands in the reply to its first renewal in term 1.
fn member_that_received(commands: Vec<Command>) -> Harness {
    let mut member = Harness::new(member());
    member.receive(coordinator(), Message::Announce { term: Term(1) });
    let renewal = member.renewal();
    let reply = Renewed {
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
    member.receive(coordinator(), Message::Renewed(Box::new(reply)));
    member
}

#[test]
fn a_member_reports_a_completed_clear() {
    let (mut member, token) = member_with_pending_clear();
    member.pass_input(Input::Cleared { token });
    assert_eq!(member.renewal().reports, [Report::Cleared { token }]);
}

#[test]
fn a_member_does_not_report_a_clear_of_its_previous_session() {
    let (mut member, token) = member_with_pending_clear();
    member.pass_input(Input::DropSession { reason: "test" });
    member.pass_input(Input::Cleared { token });
    assert_eq!(member.renewal().reports, []);
}

#[test]
fn a_member_does_not_report_a_clear_of_the_previous_term() {
    let (mut member, token) = member_with_pending_clear();
    member.receive(later_coordinator(), Message::Announce { term: Term(2) });
    member.pass_input(Input::Cleared { token });
    assert_eq!(member.renewal().term, Term(2));
    assert_eq!(member.renewal().reports, []);
}

/// The gate may wait for the requests in flight of a closing slot until the grant ends, which must not end the session.
#[test]
fn a_session_continues_while_requests_of_a_closing_slot_are_in_flight() {
    let (slot, token) = (Slot(0), Token { term: Term(1), sequence: 1 });
    let commands = vec![Command::Admit { slot, token }, Command::Close { slot, token, to: None }];
    let mut member = member_that_received(commands);
    let end = member.now + LEASE / 2;
    while member.now < end {
        member.advance(10 * TICK);
        member.receive(coordinator(), Message::Announce { term: Term(1) });
    }
    let is_session_end = |it: &Output| matches!(it, Output::Gate(GateCommand::DropAll));
    assert!(
        !member.outputs.iter().any(is_session_end),
        "the session ended while a slot was closing"
    );
}
