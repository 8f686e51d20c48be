//! An address at which one life of an upstream runs after the other, with a ledger of the keys that each life was given.
//!
//! All that happens outside the agent is an event at a time of its own, so that it also happens while the agent is
//! stopped.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use model::{ServiceName, Slot, Token};
use ownership::UpstreamState;
use tokio::sync::oneshot;
use upstream::GrantedKeys;

use super::cell::{CallKind, Cell, End, FirstAnnouncement, Identity, Progress, Return};
use crate::report::{Announcement, Report, Reporter};

pub(super) const SLOT_COUNT: u16 = 4;
pub(super) const KEYS_PER_SLOT: u32 = 16;

const MS: Duration = Duration::from_millis(1);
/// Interval of announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the next call about keys is awaited before the first announcement that is to follow it.
const NEXT_CALL_WAIT: Duration = Duration::from_millis(1_500);
/// Time from the end of a life to the start of the next one.
const RESTART_AT_ONCE: Duration = Duration::from_millis(20);
const RESTART_AFTER_HOLD: Duration = Duration::from_secs(3);
/// Delay of a call that has not been sent, or has not arrived, when the upstream ends: the next life may run by then.
const DELAYED: Duration = Duration::from_millis(100);
/// Delay of an answer that is received after the end of the upstream.
const ANSWER_DELAYED: Duration = Duration::from_millis(60);
/// Time after which the agent has given a grant up.
const GIVEN_UP: Duration = Duration::from_millis(450);
const LATE: Duration = Duration::from_millis(900);

/// The process that a grant reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    /// The process that runs at the address when the call arrives.
    Address,
    /// Only the process that its connection was opened to.
    Process,
}

#[derive(Debug, Clone, Copy)]
pub(super) enum KeyCall {
    Grant { granted: GrantedKeys, hold: Duration },
    Release(GrantedKeys),
}

/// The process that takes a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Receiver {
    /// Whichever runs at the address when the call arrives.
    Any,
    /// That of one life alone.
    Life(usize),
}

/// The end of a call as the agent learns of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reply {
    Done,
    /// The process has seen a higher token.
    Outdated,
    /// No process listens at the address.
    Refused,
    /// Another incarnation than the expected one runs at the address.
    Replaced,
    /// The connection was reset.
    Reset,
}

#[derive(Debug)]
struct Life {
    id: Arc<str>,
    start_ms: Option<u64>,
    sequence: u64,
    /// Held slots, each with its token and the end of the hold.
    held: BTreeMap<u16, (Token, Duration)>,
    /// Highest tokens seen.
    seen: BTreeMap<u16, Token>,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Apply(usize),
    Reply(usize, Reply),
    EndLife,
    StartLife,
    Announce { life: usize },
}

/// A call on its way.
#[derive(Debug)]
struct CallOnWay {
    call: KeyCall,
    /// The life whose process has read the call, or that its connection ends at.
    receiver: Option<usize>,
    arrived_at: Option<Duration>,
    reply: Option<oneshot::Sender<Reply>>,
    /// Whether the answer has left the upstream, so that it is received whatever happens to the upstream.
    is_answer_sent: bool,
    course: Course,
}

/// The course of a call after its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Course {
    Normal,
    /// The answer is received after this time.
    AnswerDelayed(Duration),
    /// It is read, and not carried out before the upstream ends.
    OnlyRead,
    AnswerLost,
    /// It is carried out this long after its arrival, without an answer if it is a grant.
    Late(Duration),
}

struct State {
    /// Time since the start of the cell.
    now: Duration,
    cell: Cell,
    delivery: Delivery,
    lives: Vec<Life>,
    running: Option<usize>,
    has_ended: bool,
    events: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    calls: Vec<CallOnWay>,
    /// Whether the next call of the cell's kind is the one in whose course the upstream ends.
    is_armed: bool,
    is_reached: bool,
    /// Whether the first announcement of the running life follows the next call about keys.
    announces_after_call: bool,
    agent: Option<Reporter>,
    /// Number of agents that have been started.
    generation: u32,
    /// Each take of a slot: life, slot and token.
    taken: BTreeSet<(usize, u16, Token)>,
    /// Slots that were reported as closed, with their tokens.
    closed: BTreeSet<(u16, Token)>,
    faults: BTreeSet<String>,
}

/// The address. Clones share it.
#[derive(Clone)]
pub(super) struct Address(Arc<Mutex<State>>);

impl Address {
    /// Creates the address with its first life, which announces itself to agents from now on.
    pub(super) fn new(now: Duration, cell: Cell, delivery: Delivery) -> Address {
        let mut state = State {
            now,
            cell,
            delivery,
            lives: Vec::new(),
            running: None,
            has_ended: false,
            events: BTreeMap::new(),
            event_count: 0,
            calls: Vec::new(),
            is_armed: false,
            is_reached: false,
            announces_after_call: false,
            agent: None,
            generation: 0,
            taken: BTreeSet::new(),
            closed: BTreeSet::new(),
            faults: BTreeSet::new(),
        };
        state.start_life(now);
        Address(Arc::new(Mutex::new(state)))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Has the announcements sent to this agent from now on. Returns its number.
    pub(super) fn attach(&self, agent: Reporter) -> u32 {
        let mut state = self.lock();
        state.agent = Some(agent);
        state.generation += 1;
        state.generation
    }

    /// Cuts the agent off for good, as the end of its process does.
    pub(super) fn detach(&self) {
        let mut state = self.lock();
        state.agent = None;
        state.generation += 1;
    }

    pub(super) fn is_attached(&self, generation: u32) -> bool {
        self.lock().generation == generation
    }

    /// Makes the next call of the cell's kind the one in whose course the upstream ends.
    pub(super) fn arm(&self) {
        self.lock().is_armed = true;
    }

    /// Returns whether the call of the cell has been made, or the upstream has ended before it.
    pub(super) fn is_reached(&self) -> bool {
        self.lock().is_reached
    }

    /// Ends the running life now, before the call of the cell.
    pub(super) fn end_life(&self) {
        let mut state = self.lock();
        state.is_reached = true;
        let now = state.now;
        state.push(now, Event::EndLife);
    }

    /// Returns the time of the next event.
    pub(super) fn next_event_at(&self) -> Option<Duration> {
        self.lock().events.keys().next().map(|it| it.0)
    }

    /// Carries out the events up to `until`, at most to the end of a life. Returns whether a life has ended.
    pub(super) fn proceed(&self, until: Duration) -> bool {
        let mut state = self.lock();
        loop {
            let Some(entry) = state.events.first_entry().filter(|it| it.key().0 <= until) else {
                state.now = until;
                return false;
            };
            let ((now, _), event) = entry.remove_entry();
            state.now = now;
            let is_end = matches!(event, Event::EndLife);
            state.carry_out(now, event);
            if is_end {
                return true;
            }
        }
    }

    /// Returns for how long a connection for a grant is delayed. The upstream ends at once if the call of the cell is a
    /// grant that is not sent by then.
    pub(super) fn delay_connection(&self) -> Duration {
        let mut state = self.lock();
        let is_grant = matches!(state.cell.call, CallKind::Grant | CallKind::Renewal);
        if !state.is_armed || !is_grant || state.cell.progress != Progress::NotSent {
            return Duration::ZERO;
        }
        (state.is_armed, state.is_reached) = (false, true);
        let now = state.now;
        state.push(now, Event::EndLife);
        DELAYED
    }

    /// Opens a connection for a grant.
    pub(super) fn connect(&self, expected_id: &str) -> Result<Receiver, Reply> {
        let mut state = self.lock();
        let now = state.now;
        let result = state.connect(expected_id);
        if result.is_err() {
            state.note_call(now);
        }
        result
    }

    /// Starts a call about keys. Its reply is never sent if the answer is lost.
    pub(super) fn start_call(&self, call: KeyCall, receiver: Receiver) -> oneshot::Receiver<Reply> {
        let (reply, reply_receiver) = oneshot::channel();
        self.lock().start_call(call, receiver, reply);
        reply_receiver
    }

    /// Returns the id of the running life.
    pub(super) fn running_id(&self) -> Option<Arc<str>> {
        let state = self.lock();
        state.running.map(|it| Arc::clone(&state.lives[it].id))
    }

    /// Returns the number of the running life if an announcement is of its incarnation.
    pub(super) fn running_life(&self, announcement: &Announcement) -> Option<usize> {
        let state = self.lock();
        let running = state.running?;
        let life = &state.lives[running];
        let is_same = announcement.upstream_id.as_ref() == Some(&life.id)
            && announcement.incarnation_start_ms == life.start_ms;
        is_same.then_some(running)
    }

    /// Returns the token under which a life holds a slot.
    pub(super) fn held_token(&self, life: usize, slot: u16) -> Option<Token> {
        let state = self.lock();
        let held = state.lives[life].held.get(&slot).filter(|it| it.1 > state.now);
        held.map(|it| it.0)
    }

    /// Checks a report that the agent sends to its control.
    pub(super) fn check_report(&self, report: &Report) {
        let mut state = self.lock();
        match report {
            Report::Closed { slot, token } => state.record_closed(&[(*slot, *token)]),
            Report::ClosedSlots(closed) => state.record_closed(closed),
            Report::Cleared { token } => state.check_cleared(*token),
            _ => {}
        }
    }

    pub(super) fn record_fault(&self, fault: String) {
        self.lock().faults.insert(fault);
    }

    pub(super) fn faults(&self) -> Vec<String> {
        self.lock().faults.iter().cloned().collect()
    }
}

impl State {
    fn push(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn start_call(&mut self, call: KeyCall, receiver: Receiver, reply: oneshot::Sender<Reply>) {
        let now = self.now;
        let index = self.calls.len();
        let (mut arrives_after, mut course) = (MS, Course::Normal);
        if self.is_armed && self.is_of_kind(&call) {
            (self.is_armed, self.is_reached) = (false, true);
            let ends_after;
            (arrives_after, course, ends_after) = self.cell.course();
            self.push(now + ends_after, Event::EndLife);
        }
        let receiver = match receiver {
            Receiver::Any => None,
            Receiver::Life(life) => Some(life),
        };
        self.calls.push(CallOnWay {
            call,
            receiver,
            arrived_at: None,
            reply: Some(reply),
            is_answer_sent: false,
            course,
        });
        self.push(now + arrives_after, Event::Arrive(index));
    }

    fn is_of_kind(&self, call: &KeyCall) -> bool {
        let is_clear = |it: &GrantedKeys| {
            it.keys.first == 0 && it.keys.last == u32::from(SLOT_COUNT) * KEYS_PER_SLOT - 1
        };
        match (self.cell.call, call) {
            (CallKind::Grant | CallKind::Renewal, KeyCall::Grant { .. }) => true,
            (CallKind::Release, KeyCall::Release(granted)) => !is_clear(granted),
            (CallKind::Clear, KeyCall::Release(granted)) => is_clear(granted),
            _ => false,
        }
    }

    fn connect(&self, expected_id: &str) -> Result<Receiver, Reply> {
        match (self.delivery, self.running) {
            (Delivery::Address, _) => Ok(Receiver::Any),
            (Delivery::Process, None) => Err(Reply::Refused),
            (Delivery::Process, Some(life)) if *self.lives[life].id != *expected_id => {
                Err(Reply::Replaced)
            }
            (Delivery::Process, Some(life)) => Ok(Receiver::Life(life)),
        }
    }

    fn carry_out(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(now, call),
            Event::Apply(call) => self.apply(now, call),
            Event::Reply(call, reply) => self.reply(call, reply),
            Event::EndLife => self.end_life(now),
            Event::StartLife => self.start_life(now),
            Event::Announce { life } => self.announce(now, life),
        }
    }

    fn arrive(&mut self, now: Duration, index: usize) {
        let receiver = match (self.calls[index].receiver, self.running) {
            (Some(connected), running) => running.filter(|it| *it == connected),
            (None, running) => running,
        };
        self.note_call(now);
        let call = &mut self.calls[index];
        let Some(receiver) = receiver else {
            return self.reply(index, Reply::Refused);
        };
        call.receiver = Some(receiver);
        call.arrived_at = Some(now);
        match call.course {
            Course::OnlyRead => {}
            Course::Late(delay) if matches!(call.call, KeyCall::Grant { .. }) => {
                self.push(now + delay, Event::Apply(index));
            }
            _ => self.apply(now, index),
        }
    }

    /// Schedules the first announcement of a life that is to follow the next call about keys.
    fn note_call(&mut self, now: Duration) {
        if let Some(life) = self.running.filter(|_| self.announces_after_call) {
            self.announces_after_call = false;
            self.push(now + 5 * MS, Event::Announce { life });
        }
    }

    fn apply(&mut self, now: Duration, index: usize) {
        let CallOnWay { call, receiver, arrived_at, course, .. } = &self.calls[index];
        let (call, course) = (*call, *course);
        let (Some(life), Some(arrived_at)) = (*receiver, *arrived_at) else { return };
        if self.running != Some(life) {
            return;
        }
        let reply = match call {
            KeyCall::Grant { granted, hold } => self.grant(life, granted, hold, arrived_at),
            KeyCall::Release(granted) => {
                let released = |slot: &u16, it: &mut (Token, Duration)| {
                    slots(&granted).contains(slot) && it.0 <= granted.token
                };
                self.lives[life].held.extract_if(.., released).for_each(drop);
                Reply::Done
            }
        };
        let is_grant = matches!(call, KeyCall::Grant { .. });
        let delay = match course {
            Course::Normal => MS,
            Course::AnswerDelayed(delay) => delay,
            Course::Late(delay) if !is_grant => delay,
            Course::Late(_) | Course::AnswerLost | Course::OnlyRead => return,
        };
        // An answer that is late because the upstream still works is lost if the upstream ends.
        self.calls[index].is_answer_sent = !matches!(course, Course::Late(_));
        self.push(now + delay, Event::Reply(index, reply));
    }

    fn grant(
        &mut self,
        life: usize,
        granted: GrantedKeys,
        hold: Duration,
        arrived_at: Duration,
    ) -> Reply {
        let is_outdated =
            |slot: u16| self.lives[life].seen.get(&slot).is_some_and(|it| *it > granted.token);
        if slots(&granted).any(is_outdated) {
            return Reply::Outdated;
        }
        let until = arrived_at + hold.mul_f64(1.02);
        for slot in slots(&granted) {
            let token = granted.token;
            let not_below =
                |it: &&(usize, u16, Token)| it.0 != life && it.1 == slot && it.2 >= token;
            if let Some((other, _, earlier)) = self.taken.iter().find(not_below) {
                self.faults.insert(format!(
                    "rule 1: life {life} took keys under {token}, life {other} had them under {earlier}"
                ));
            }
            if self.closed.contains(&(slot, token)) {
                self.faults.insert(format!(
                    "rule 2: life {life} took keys under {token} after these were closed"
                ));
            }
            self.taken.insert((life, slot, token));
            self.lives[life].held.insert(slot, (token, until));
            self.lives[life].seen.insert(slot, token);
        }
        Reply::Done
    }

    fn reply(&mut self, index: usize, reply: Reply) {
        if let Some(sender) = self.calls[index].reply.take() {
            // The caller may have stopped waiting.
            _ = sender.send(reply);
        }
    }

    fn end_life(&mut self, now: Duration) {
        let Some(life) = self.running.take() else { return };
        self.has_ended = true;
        for index in 0..self.calls.len() {
            let call = &self.calls[index];
            if call.receiver == Some(life) && !call.is_answer_sent {
                self.reply(index, Reply::Reset);
            }
        }
        if let Some(next) = self.cell.next {
            let delay = match next.starts {
                Return::AtOnce => RESTART_AT_ONCE,
                Return::AfterHold => RESTART_AFTER_HOLD,
            };
            self.push(now + delay, Event::StartLife);
        }
    }

    fn start_life(&mut self, now: Duration) {
        let life = self.lives.len();
        let identity = self.cell.next.map_or(Identity::NewId, |it| it.identity);
        let (id, start_ms) = match identity {
            Identity::NewId => (format!("i-{life}"), None),
            Identity::LaterStart => ("i-0".to_owned(), Some(1_000 * (life as u64 + 1))),
        };
        let (held, seen) = (BTreeMap::new(), BTreeMap::new());
        self.lives.push(Life { id: id.into(), start_ms, sequence: 0, held, seen });
        self.running = Some(life);
        let announcement = self.cell.next.map(|it| it.announcement).filter(|_| life > 0);
        self.announces_after_call = announcement == Some(FirstAnnouncement::AfterNextCall);
        let delay = match announcement {
            None | Some(FirstAnnouncement::BeforeNextCall) => MS,
            Some(FirstAnnouncement::AfterNextCall) => NEXT_CALL_WAIT,
            Some(FirstAnnouncement::Lost) => ANNOUNCE_INTERVAL,
        };
        self.push(now + delay, Event::Announce { life });
    }

    fn announce(&mut self, now: Duration, life: usize) {
        if self.running != Some(life) {
            return;
        }
        self.announces_after_call = false;
        // Any other announcement that is due was scheduled in case of no call.
        self.events.retain(|_, it| !matches!(it, Event::Announce { .. }));
        self.push(now + ANNOUNCE_INTERVAL, Event::Announce { life });
        let it = &mut self.lives[life];
        it.sequence += 1;
        let announcement = Announcement {
            service: ServiceName::new("standings").unwrap(),
            address: SocketAddr::from(([127, 0, 0, 1], 5)),
            state: UpstreamState::Ready,
            slots: 12,
            checks_fence: true,
            upstream_id: Some(Arc::clone(&it.id)),
            incarnation_start_ms: it.start_ms,
            sequence: it.sequence,
            cold_for: Duration::ZERO,
        };
        if let Some(agent) = &self.agent {
            agent.try_report(Report::Announcement(announcement));
        }
    }

    fn record_closed(&mut self, closed: &[(Slot, Token)]) {
        let now = self.now;
        for (slot, token) in closed {
            self.closed.insert((slot.0, *token));
            let Some(life) = self.running else { continue };
            let held = self.lives[life].held.get(&slot.0);
            if held.is_some_and(|it| it.0 == *token && it.1 > now) {
                self.faults.insert(format!(
                    "rule 2: slot {slot} under {token} was closed while life {life} held it"
                ));
            }
        }
    }

    fn check_cleared(&mut self, token: Token) {
        let now = self.now;
        let Some(life) = self.running else { return };
        let mut held = self.lives[life].held.values();
        if let Some(it) = held.find(|it| it.0 <= token && it.1 > now) {
            self.faults.insert(format!(
                "rule 2: keys under {} were cleared up to {token} while life {life} held them",
                it.0
            ));
        }
    }
}

impl Cell {
    /// Returns the time to the arrival of the call, its course from then on, and the time to the end of the upstream.
    fn course(&self) -> (Duration, Course, Duration) {
        match (self.progress, self.end) {
            (Progress::NotSent, _) => (DELAYED, Course::Normal, Duration::ZERO),
            (Progress::InFlight, End::Before) => (DELAYED, Course::Normal, MS),
            (Progress::InFlight, End::After) => (MS, Course::OnlyRead, 2 * MS),
            (Progress::Answered, End::Before) => {
                (MS, Course::AnswerDelayed(ANSWER_DELAYED), 2 * MS)
            }
            (Progress::Answered, End::After) => (MS, Course::Normal, 3 * MS),
            (Progress::AnswerLost, End::Before) => (MS, Course::AnswerLost, 2 * MS),
            (Progress::AnswerLost, End::After) => (MS, Course::AnswerLost, GIVEN_UP),
            (Progress::CarriedOutLate, End::Before) => (MS, Course::Late(LATE), GIVEN_UP),
            (Progress::CarriedOutLate, End::After) => (MS, Course::Late(LATE), LATE + 50 * MS),
        }
    }
}

/// Returns the slots of granted keys.
fn slots(granted: &GrantedKeys) -> RangeInclusive<u16> {
    let slot = |key: u32| (key / KEYS_PER_SLOT) as u16;
    slot(granted.keys.first)..=slot(granted.keys.last)
}
