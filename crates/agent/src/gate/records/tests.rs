//! Tests of the gate's records under handovers that arrive late, again or out of order.

use std::{collections::HashMap, sync::Arc, time::Duration};

use http::{HeaderMap, StatusCode};
use model::{KeyHash, RequestId, Slot, SlotCount, Term, Timestamp, Token};
use ownership::GateCommand;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use traffic::{RecordUnit, RecordsConfig};
use upstream::Answer;

use super::{RecordLookup, RequestKey, RequestRecords, RunningRequest};
use crate::{
    gate::table::{Entry, GateTable},
    request::GateReply,
};

const SLOT: Slot = Slot(0);
const UNIT: RecordUnit = RecordUnit::Slot(SLOT);
const KEY: KeyHash = KeyHash(7);
const IMPORT_AGE_MAX: Duration = Duration::from_millis(300);
const LEASE_UNTIL: Timestamp = Timestamp { ns: u64::MAX };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn token(sequence: u64) -> Token {
    Token { term: Term(1), sequence }
}

fn answered() -> GateReply {
    GateReply::Answered(Answer {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: bytes::Bytes::new(),
    })
}

/// A gate without its queue and upstream.
struct TestGate {
    table: Arc<GateTable>,
    records: RequestRecords,
}

/// A request that the gate has recorded as running and not sent yet.
struct WaitingRequest {
    entry: Entry,
    running: RunningRequest,
}

impl TestGate {
    fn new() -> TestGate {
        let config =
            RecordsConfig { bytes_max: 1 << 20, retention: ms(60_000), age_margin: ms(50) };
        TestGate {
            table: Arc::new(GateTable::new()),
            records: RequestRecords::new(config, IMPORT_AGE_MAX),
        }
    }

    fn admit(&self, now: Timestamp, token: Token) {
        let lease = GateCommand::Lease { until: LEASE_UNTIL };
        self.table.apply(now, &[lease, GateCommand::Admit { slot: SLOT, token }]);
    }

    /// Closes the slot and returns its records, as handed over to the next owner.
    fn close(&self, now: Timestamp, token: Token) -> Option<bytes::Bytes> {
        self.table.apply(now, &[GateCommand::Close { slot: SLOT, token, to: None }]);
        self.records.export(now, UNIT, token, |it| SlotCount::new(1).unwrap().slot_of(it))
    }

    /// Passes a request on to its record. Returns it if the gate may run it.
    fn begin(&self, now: Timestamp, id: u128, age: Duration) -> Option<WaitingRequest> {
        let entry = self.table.enter(SLOT, KEY).ok()?;
        let key = RequestKey { key_hash: KEY, slot: SLOT, id: RequestId(id), age };
        match self.records.begin(now, &self.table, &entry.admittance, key) {
            RecordLookup::Run(running) => Some(WaitingRequest { entry, running }),
            _ => None,
        }
    }

    /// Ends the wait of a request. Returns whether it runs.
    fn run(&self, now: Timestamp, request: WaitingRequest) -> bool {
        let is_cleared = request.entry.check_clearance(now).is_ok();
        let reply = match is_cleared {
            true => answered(),
            false => GateReply::not_run(model::NotRunReason::NotOwner),
        };
        self.records.finish(now, request.running, &reply);
        is_cleared
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(10_000 + ms)
}

/// Guards against a request that waits at the gate and whose resend is run too, since a repeated handover has replaced
/// its record.
#[test]
fn a_repeated_handover_does_not_replace_records_in_use() {
    let (former, gate) = (TestGate::new(), TestGate::new());
    former.admit(at(0), token(1));
    drop(former.begin(at(1), 1, Duration::ZERO));
    let records = former.close(at(10), token(1)).unwrap();
    assert!(gate.records.import(at(11), UNIT, token(1), &records).unwrap());
    gate.admit(at(20), token(2));
    let first = gate.begin(at(30), 2, Duration::ZERO).unwrap();
    assert!(!gate.records.import(at(40), UNIT, token(1), &records).unwrap());
    assert!(gate.begin(at(50), 2, ms(20)).is_none());
    assert!(gate.run(at(60), first));
    assert!(gate.begin(at(70), 2, ms(40)).is_none());
}

/// Guards against a close of an earlier grant, delayed until after the next grant, that takes the records in use away.
#[test]
fn a_delayed_close_leaves_the_records_of_the_next_grant() {
    let gate = TestGate::new();
    gate.admit(at(0), token(1));
    drop(gate.begin(at(1), 1, Duration::ZERO));
    gate.table.apply(at(2), &[GateCommand::DropAll]);
    gate.admit(at(1_000), token(2));
    let request = gate.begin(at(1_010), 2, Duration::ZERO).unwrap();
    assert!(gate.run(at(1_020), request));
    let export = |token| gate.records.export(at(1_030), UNIT, token, |_| SLOT);
    assert!(export(token(1)).is_none());
    assert!(gate.begin(at(1_040), 2, ms(30)).is_none());
    assert!(export(token(2)).is_some());
}

/// Guards against records of an earlier owner that replace those of the last one.
#[test]
fn a_handover_that_was_overtaken_is_ignored() {
    let (former, last, gate) = (TestGate::new(), TestGate::new(), TestGate::new());
    former.admit(at(0), token(1));
    drop(former.begin(at(1), 1, Duration::ZERO));
    let older = former.close(at(10), token(1)).unwrap();
    last.records.import(at(11), UNIT, token(1), &older).unwrap();
    last.admit(at(12), token(2));
    let request = last.begin(at(13), 2, Duration::ZERO).unwrap();
    assert!(last.run(at(14), request));
    let newer = last.close(at(15), token(2)).unwrap();
    assert!(gate.records.import(at(16), UNIT, token(2), &newer).unwrap());
    assert!(!gate.records.import(at(17), UNIT, token(1), &older).unwrap());
    gate.admit(at(18), token(3));
    assert!(gate.begin(at(19), 2, ms(6)).is_none());
}

/// A handover that may be delivered late, repeatedly, or not at all.
struct SentHandover {
    to: usize,
    token: Token,
    records: bytes::Bytes,
    due_ms: u64,
}

/// Two gates between which a slot moves, in order or after its owner was lost, while requests are sent to both.
struct World {
    rng: Pcg64Mcg,
    gates: [TestGate; 2],
    now_ms: u64,
    owner: Option<usize>,
    sequence: u64,
    /// Time at which the slot is granted to a gate.
    next_grant: Option<(u64, usize)>,
    handovers: Vec<SentHandover>,
    /// Closes that an owner had begun when it was lost, and completes later: the time, the gate and its token.
    late_closes: Vec<(u64, usize, Token)>,
    /// Times at which the requests were first sent.
    sent_ms: Vec<u64>,
    waiting: Vec<(usize, usize, WaitingRequest)>,
    runs: HashMap<usize, u32>,
}

impl World {
    fn new(seed: u64) -> World {
        World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            gates: [TestGate::new(), TestGate::new()],
            now_ms: 0,
            owner: None,
            sequence: 0,
            next_grant: Some((0, 0)),
            handovers: Vec::new(),
            late_closes: Vec::new(),
            sent_ms: Vec::new(),
            waiting: Vec::new(),
            runs: HashMap::new(),
        }
    }

    fn step(&mut self) {
        self.now_ms += self.rng.random_range(1..40);
        let now = at(self.now_ms);
        self.complete_late_closes(now);
        self.deliver_handovers(now);
        if let Some((_, to)) = self.next_grant.take_if(|it| it.0 <= self.now_ms) {
            self.sequence += 1;
            self.gates[to].admit(now, token(self.sequence));
            self.owner = Some(to);
        }
        match self.rng.random_range(0..20) {
            0 => self.move_slot(now),
            1 => self.lose_owner(now),
            2..=9 => self.send(now),
            _ => self.end_wait(now),
        }
    }

    fn complete_late_closes(&mut self, now: Timestamp) {
        let now_ms = self.now_ms;
        for (_, gate, token) in self.late_closes.extract_if(.., |it| it.0 <= now_ms) {
            if let Some(records) = self.gates[gate].records.export(now, UNIT, token, |_| SLOT) {
                self.handovers.push(SentHandover { to: 1 - gate, token, records, due_ms: now_ms });
            }
        }
    }

    fn deliver_handovers(&mut self, now: Timestamp) {
        let now_ms = self.now_ms;
        for it in self.handovers.extract_if(.., |it| it.due_ms <= now_ms) {
            self.gates[it.to].records.import(now, UNIT, it.token, &it.records).unwrap();
        }
    }

    /// Moves the slot to the other gate. The first delivery of the records precedes the grant, as its sender reports
    /// the slot as closed only then; further ones may follow at any time.
    fn move_slot(&mut self, now: Timestamp) {
        let Some(from) = self.owner.take() else { return };
        let (to, token) = (1 - from, token(self.sequence));
        // Closing a slot waits for the requests in flight.
        let (ended, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|it| it.1 == from);
        self.waiting = others;
        for (id, gate, request) in ended {
            self.end(now, id, gate, request);
        }
        if let Some(records) = self.gates[from].close(now, token) {
            for _ in 0..self.rng.random_range(0..3) {
                let due_ms = self.now_ms + self.rng.random_range(0..2_000);
                self.handovers.push(SentHandover { to, token, records: records.clone(), due_ms });
            }
            if self.rng.random_bool(0.8) {
                self.gates[to].records.import(now, UNIT, token, &records).unwrap();
            }
        }
        self.next_grant = Some((self.now_ms + self.rng.random_range(1..100), to));
    }

    /// Ends the lease of the owner. The slot is granted anew, without records, after longer than records are kept for
    /// a grant.
    fn lose_owner(&mut self, now: Timestamp) {
        let Some(owner) = self.owner.take() else { return };
        self.gates[owner].table.apply(now, &[GateCommand::DropAll]);
        if self.rng.random_bool(0.5) {
            let due_ms = self.now_ms + self.rng.random_range(0..3_000);
            self.late_closes.push((due_ms, owner, token(self.sequence)));
        }
        let wait = self.rng.random_range(400..800);
        self.next_grant = Some((self.now_ms + wait, self.rng.random_range(0..2)));
    }

    /// Sends a new request, or one of the last ones again.
    fn send(&mut self, now: Timestamp) {
        let id = match self.rng.random_bool(0.5) && !self.sent_ms.is_empty() {
            true => self.rng.random_range(self.sent_ms.len().saturating_sub(8)..self.sent_ms.len()),
            false => self.sent_ms.len(),
        };
        if id == self.sent_ms.len() {
            self.sent_ms.push(self.now_ms);
        }
        let age = ms(self.now_ms - self.sent_ms[id]);
        let gate = self.owner.unwrap_or(0);
        if let Some(request) = self.gates[gate].begin(now, id as u128, age) {
            self.waiting.push((id, gate, request));
        }
    }

    fn end_wait(&mut self, now: Timestamp) {
        if self.waiting.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.waiting.len());
        let (id, gate, request) = self.waiting.swap_remove(index);
        self.end(now, id, gate, request);
    }

    fn end(&mut self, now: Timestamp, id: usize, gate: usize, request: WaitingRequest) {
        if self.gates[gate].run(now, request) {
            *self.runs.entry(id).or_default() += 1;
        }
    }
}

/// Guards against requests that run twice while their slot moves between gates and handovers are delayed or repeated.
#[test]
fn requests_run_at_most_once_while_handovers_are_delayed_and_repeated() {
    for seed in 0..200 {
        let mut world = World::new(seed);
        for _ in 0..400 {
            world.step();
            let ran_twice = world.runs.iter().find(|it| *it.1 > 1);
            assert!(ran_twice.is_none(), "seed {seed}, {} ms: request {ran_twice:?}", world.now_ms);
        }
    }
}
