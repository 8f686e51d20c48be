//! A node that finds no coordinator: whether it takes the term, which one, and for how long earlier terms bind it. The
//! tests are the cells of the table in docs/design/ownership.md, over the term that the node knows, the coordinator
//! object that it reads, and the era of the platform.

use std::{collections::VecDeque, time::Duration};

use model::{
    GroupId, Incarnation, Instance, InstanceName, ObjectVersion, ServiceName, SlotCount, Term,
    Timestamp, Zone,
};

use crate::{
    Confirmation, Coordinator, Event, GateCommand, Input, Limits, Message, Node, NodeConfig,
    Output, PlatformReply, PlatformRequest, TermTimes, UpstreamState,
};

const TICK: Duration = Duration::from_millis(20);
const ABSENCE_MAX: Duration = Duration::from_secs(6);
/// Time for which a node is observed. Longer than the absence, a confirmation and a lease.
const OBSERVED: Duration = Duration::from_secs(10);

fn limits() -> Limits {
    Limits { platform_absence_max: ABSENCE_MAX, ..Limits::default() }
}

fn instance(name: &str, port: u16) -> Instance {
    Instance {
        name: InstanceName::new(name).unwrap(),
        incarnation: Incarnation(1),
        zone: Zone::new("pitlane").unwrap(),
        control: ([127, 0, 0, 1], port).into(),
        traffic: ([127, 0, 0, 1], port + 1).into(),
    }
}

/// Returns the instance that held the latest term, and sends nothing more.
fn lost_coordinator() -> Instance {
    instance("lost-coordinator", 10)
}

/// Returns a settled term of the lost coordinator, as written in an era.
fn stored(term: Term, era: u64) -> Coordinator {
    Coordinator {
        service: ServiceName::new("service").unwrap(),
        group: GroupId(0),
        term,
        holder: Some(lost_coordinator()),
        nonce: 77,
        witnesses: Vec::new(),
        confirmation: Confirmation::Platform,
        settled: true,
        times: TermTimes::from(&limits()),
        era,
        history_lost: false,
        lost_has_known_witnesses: false,
    }
}

/// Single node with a fake of the platform in a fixed era.
struct Harness {
    node: Node,
    now: Timestamp,
    era: u64,
    revision: u64,
    stored: Option<(u64, Coordinator)>,
    /// Message that arrives while the first round is being drawn.
    arrives_during_draw: Option<Message>,
    /// Coordinator objects that the node has written, with the times of the updates.
    written: Vec<(Timestamp, Coordinator)>,
    outputs: Vec<(Timestamp, Output)>,
}

impl Harness {
    /// Creates a node that has last heard of the lost coordinator in this term, and a platform with this object.
    fn new(era: u64, known: Option<Term>, stored: Option<Coordinator>) -> Harness {
        let config = NodeConfig {
            instance: instance("node", 20),
            service: ServiceName::new("service").unwrap(),
            group: GroupId(0),
            slot_count: SlotCount::new(8).unwrap(),
            keyed: true,
            designates_members: true,
            ordered: false,
            limits: limits(),
            seed: 1,
            peers: Vec::new(),
        };
        let now = Timestamp::from_ms(1000);
        let mut harness = Harness {
            node: Node::new(config, now),
            now,
            era,
            revision: 40,
            stored: stored.map(|it| (40, it)),
            arrives_during_draw: None,
            written: Vec::new(),
            outputs: Vec::new(),
        };
        harness.pass_input(Input::Upstream(UpstreamState::Ready));
        if let Some(term) = known {
            let message = Message::Announce { term };
            harness.pass_input(Input::Message { from: lost_coordinator(), message });
        }
        harness
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
                        inputs.extend(self.arriving_message(&request));
                        let reply = self.reply(request);
                        inputs.push_back(Input::Platform { call, reply });
                    }
                    other => self.outputs.push((self.now, other)),
                }
            }
        }
    }

    fn arriving_message(&mut self, request: &PlatformRequest) -> Option<Input> {
        let is_draw = matches!(request, PlatformRequest::DrawRound { .. });
        let message = self.arrives_during_draw.take_if(|_| is_draw)?;
        Some(Input::Message { from: lost_coordinator(), message })
    }

    fn reply(&mut self, request: PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::ReadCoordinator => {
                let (revision, object) = self.stored.clone().unzip();
                PlatformReply::Coordinator(self.version(revision.unwrap_or(0)), object)
            }
            PlatformRequest::ReadPlan => PlatformReply::Plan(self.version(0), None),
            PlatformRequest::UpdateCoordinator { object, .. } => {
                self.revision += 1;
                self.written.push((self.now, object.clone()));
                self.stored = Some((self.revision, object));
                PlatformReply::Updated(self.version(self.revision))
            }
            PlatformRequest::UpdatePlan { .. } => {
                self.revision += 1;
                PlatformReply::Updated(self.version(self.revision))
            }
            PlatformRequest::DrawRound { above, .. } => PlatformReply::RoundDrawn(above + 1),
        }
    }

    fn version(&self, revision: u64) -> ObjectVersion {
        ObjectVersion::of(self.era, revision)
    }

    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK;
            self.pass_input(Input::Tick);
        }
    }

    /// Returns the time from the update that acquired the term to the first output of a kind.
    fn time_to(&self, matches: impl Fn(&Output) -> bool) -> Option<Duration> {
        let acquired_at = self.written.first()?.0;
        let first = self.outputs.iter().find(|it| it.0 >= acquired_at && matches(&it.1))?;
        Some(first.0.since(acquired_at))
    }
}

/// How long the new coordinator is bound by earlier terms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// There was no earlier term.
    None,
    /// Until the members of its first plan have reported, or the recorded term and its leases have ended.
    RecordedTerm,
    /// Until terms without a record have ended: it renews nothing for the longest absence from the platform and a
    /// confirmation, and grants nothing for a lease longer.
    LongestAbsence,
}

/// Asserts that a node that knows a term and reads an object takes this term, and is bound for this long.
fn assert_takes(era: u64, known: Option<Term>, read: Option<Coordinator>, term: Term, wait: Wait) {
    let mut harness = Harness::new(era, known, read);
    harness.advance(OBSERVED);
    let (_, acquired) = harness.written.first().expect("the node takes the term");
    assert_eq!(acquired.term, term);
    assert_eq!(acquired.settled, wait == Wait::None);
    assert_eq!(acquired.history_lost, wait == Wait::LongestAbsence);
    let leased = harness.time_to(|it| matches!(it, Output::Gate(GateCommand::Lease { .. })));
    let settled = harness.time_to(|it| matches!(it, Output::Event(Event::Settled { .. })));
    let leased = leased.expect("the node renews its lease in time");
    let times = limits();
    match wait {
        Wait::None => {
            assert_eq!(settled, None, "a first term is settled when it is acquired");
            assert!(leased < times.confirmation, "leased after {leased:?}");
        }
        Wait::RecordedTerm => {
            let settled = settled.expect("the term settles");
            assert!(leased < times.confirmation, "leased after {leased:?}");
            let bound = times.platform_confirmation + times.lease + 2 * times.drift_margin;
            assert!(settled <= bound + TICK, "settled after {settled:?}");
        }
        Wait::LongestAbsence => {
            let settled = settled.expect("the term settles");
            let unrecorded = ABSENCE_MAX + times.platform_confirmation;
            assert!(leased >= unrecorded, "leased after {leased:?}");
            assert!(settled >= unrecorded + times.lease, "settled after {settled:?}");
        }
    }
}

/// Asserts that a node that knows a term and reads an object does not take the term, and reads the object again.
fn assert_reads_again(era: u64, known: Option<Term>, read: Option<Coordinator>) {
    let mut harness = Harness::new(era, known, read);
    harness.advance(OBSERVED);
    assert_eq!(harness.written, []);
    let (_, later) = harness.stored.take().expect("the object exists");
    let later = Coordinator { term: known.expect("the node knows a term"), ..later };
    harness.stored = Some((41, later));
    harness.advance(OBSERVED);
    assert!(!harness.written.is_empty(), "the node takes the term that follows the known one");
}

/// Latest term of a platform that was never rolled back, and an earlier one.
const LATEST: Term = Term(5);
const EARLIER: Term = Term(3);

/// Returns the latest term of era 1. The term before it is [`LATEST`].
fn latest_of_era_1() -> Term {
    Term::after_rollback(1030)
}

mod era_0 {
    use super::*;

    #[test]
    fn knows_the_term_object_there() {
        assert_takes(0, Some(LATEST), Some(stored(LATEST, 0)), Term(6), Wait::RecordedTerm);
    }

    #[test]
    fn knows_the_term_object_older() {
        assert_reads_again(0, Some(LATEST), Some(stored(EARLIER, 0)));
    }

    #[test]
    fn knows_the_term_object_missing() {
        assert_takes(0, Some(LATEST), None, Term(6), Wait::LongestAbsence);
    }

    #[test]
    fn knows_an_earlier_term_object_there() {
        assert_takes(0, Some(EARLIER), Some(stored(LATEST, 0)), Term(6), Wait::RecordedTerm);
    }

    /// The object is the latest as far as the node can know. Its update would be refused if a later one existed.
    #[test]
    fn knows_an_earlier_term_object_older() {
        assert_takes(0, Some(EARLIER), Some(stored(EARLIER, 0)), Term(4), Wait::RecordedTerm);
    }

    #[test]
    fn knows_an_earlier_term_object_missing() {
        assert_takes(0, Some(EARLIER), None, Term(4), Wait::LongestAbsence);
    }

    #[test]
    fn knows_nothing_object_there() {
        assert_takes(0, None, Some(stored(LATEST, 0)), Term(6), Wait::RecordedTerm);
    }

    #[test]
    fn knows_nothing_object_older() {
        assert_takes(0, None, Some(stored(EARLIER, 0)), Term(4), Wait::RecordedTerm);
    }

    #[test]
    fn knows_nothing_object_missing() {
        assert_takes(0, None, None, Term(1), Wait::None);
    }
}

mod later_era {
    use super::*;

    /// Returns the object that was written last before the rollback, in era 0.
    fn rolled_back() -> Coordinator {
        stored(LATEST, 0)
    }

    #[test]
    fn knows_the_term_object_there() {
        let latest = latest_of_era_1();
        let next = Term::after_rollback(1031);
        assert_takes(1, Some(latest), Some(stored(latest, 1)), next, Wait::RecordedTerm);
    }

    /// An update of the earlier era has replaced the object of the latest term.
    #[test]
    fn knows_the_term_object_older() {
        let next = Term::after_rollback(1031);
        assert_takes(1, Some(latest_of_era_1()), Some(rolled_back()), next, Wait::LongestAbsence);
    }

    /// The object is of the current era, but a later term of this era is known.
    #[test]
    fn knows_the_term_object_older_of_this_era() {
        let earlier = stored(Term::after_rollback(1030), 1);
        let next = Term::after_rollback(1033);
        let known = Some(Term::after_rollback(1032));
        assert_takes(1, known, Some(earlier), next, Wait::LongestAbsence);
    }

    #[test]
    fn knows_the_term_object_missing() {
        let next = Term::after_rollback(1031);
        assert_takes(1, Some(latest_of_era_1()), None, next, Wait::LongestAbsence);
    }

    #[test]
    fn knows_an_earlier_term_object_there() {
        let read = Some(stored(latest_of_era_1(), 1));
        assert_takes(1, Some(LATEST), read, Term::after_rollback(1031), Wait::RecordedTerm);
    }

    /// The rollback may have lost up to 1,024 terms after the one in the object.
    #[test]
    fn knows_an_earlier_term_object_older() {
        let next = Term::after_rollback(5 + 1024 + 1);
        assert_takes(1, Some(LATEST), Some(rolled_back()), next, Wait::LongestAbsence);
    }

    #[test]
    fn knows_an_earlier_term_object_missing() {
        let next = Term::after_rollback(1024 + 1);
        assert_takes(1, Some(LATEST), None, next, Wait::LongestAbsence);
    }

    #[test]
    fn knows_nothing_object_there() {
        let read = Some(stored(latest_of_era_1(), 1));
        assert_takes(1, None, read, Term::after_rollback(1031), Wait::RecordedTerm);
    }

    #[test]
    fn knows_nothing_object_older() {
        let next = Term::after_rollback(5 + 1024 + 1);
        assert_takes(1, None, Some(rolled_back()), next, Wait::LongestAbsence);
    }

    /// The rollback may have lost the first object of the group.
    #[test]
    fn knows_nothing_object_missing() {
        let next = Term::after_rollback(1024 + 1);
        assert_takes(1, None, None, next, Wait::LongestAbsence);
    }

    /// Guards against a wait that ends with the next term, although earlier terms without a record are still active.
    #[test]
    fn an_object_whose_history_is_lost_binds_the_next_term_too() {
        let latest = latest_of_era_1();
        let unsettled = Coordinator { settled: false, history_lost: true, ..stored(latest, 1) };
        let next = Term::after_rollback(1031);
        assert_takes(1, Some(latest), Some(unsettled), next, Wait::LongestAbsence);
    }

    /// Guards against a term that is lower than one that the node has heard of while its round was drawn.
    #[test]
    fn a_drawn_round_below_a_term_that_became_known_is_not_used() {
        let latest = latest_of_era_1();
        let higher = Term::after_rollback(1040);
        let mut harness = Harness::new(1, Some(latest), Some(stored(latest, 1)));
        harness.arrives_during_draw = Some(Message::Announce { term: higher });
        harness.advance(OBSERVED);
        let terms: Vec<Term> = harness.written.iter().map(|it| it.1.term).collect();
        assert!(!terms.is_empty() && terms.iter().all(|it| *it > higher), "{terms:?}");
    }
}
