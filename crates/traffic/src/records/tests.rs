//! Tests of records: an id is run at most once, whatever is evicted, handed over or lost.

use std::{collections::HashMap, time::Duration};

use model::{KeyHash, RequestId, Slot, Timestamp, UnknownReason};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    Answer, BeginResult, RecordUnit, RecordedOutcome, Records, RecordsConfig, UnitRecords,
    tests::seeded,
};

const UNIT: RecordUnit = RecordUnit::Slot(Slot(3));
const KEY: KeyHash = KeyHash(5);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Text(String);

impl Answer for Text {
    fn size_bytes(&self) -> usize {
        self.0.len()
    }
}

fn text(text: &str) -> Text {
    Text(text.to_owned())
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn records(bytes_max: usize) -> Records<Text> {
    let config = RecordsConfig { bytes_max, retention: ms(60_000), age_margin: ms(1000) };
    let mut records = Records::new(config);
    records.open(at(10_000), UNIT);
    records
}

fn begin(it: &mut Records<Text>, now: Timestamp, id: u128, age: Duration) -> BeginResult<Text> {
    it.begin(now, UNIT, KEY, RequestId(id), age)
}

#[test]
fn a_resend_attaches_and_then_gets_the_first_answer() {
    let mut it = records(10_000);
    assert_eq!(begin(&mut it, at(10_010), 1, Duration::ZERO), BeginResult::Run);
    assert_eq!(begin(&mut it, at(10_020), 1, ms(10)), BeginResult::Attach);
    it.finish(at(10_030), UNIT, RequestId(1), text("first"));
    assert_eq!(begin(&mut it, at(10_040), 1, ms(30)), BeginResult::Replay(text("first")));
}

#[test]
fn what_did_not_run_may_run_again() {
    let mut it = records(10_000);
    assert_eq!(begin(&mut it, at(10_010), 1, Duration::ZERO), BeginResult::Run);
    it.discard(UNIT, RequestId(1));
    assert_eq!(begin(&mut it, at(12_010), 1, ms(2000)), BeginResult::NoRecord, "within the margin");
    assert_eq!(begin(&mut it, at(12_010), 1, ms(500)), BeginResult::Run);
}

#[test]
fn an_unknown_end_stays_unknown() {
    let mut it = records(10_000);
    assert_eq!(begin(&mut it, at(10_010), 1, Duration::ZERO), BeginResult::Run);
    it.finish_unknown(at(10_020), UNIT, RequestId(1), UnknownReason::ConnectionLost);
    let seen = begin(&mut it, at(10_030), 1, ms(20));
    assert_eq!(seen, BeginResult::Unknown(UnknownReason::ConnectionLost));
}

#[test]
fn a_new_owner_after_a_loss_does_not_reach_back() {
    let mut it = records(10_000);
    assert_eq!(begin(&mut it, at(10_500), 1, ms(600)), BeginResult::NoRecord);
    assert_eq!(begin(&mut it, at(10_500), 2, Duration::ZERO), BeginResult::Run);
    assert_eq!(begin(&mut it, at(12_000), 3, ms(400)), BeginResult::Run);
}

#[test]
fn an_answer_too_large_to_keep_is_not_run_again() {
    let mut it = records(1000);
    assert_eq!(begin(&mut it, at(10_010), 1, Duration::ZERO), BeginResult::Run);
    it.finish(at(10_020), UNIT, RequestId(1), text(&"x".repeat(2000)));
    assert!(it.bytes(UNIT) <= 1000);
    assert_eq!(
        begin(&mut it, at(10_030), 1, ms(20)),
        BeginResult::Unknown(UnknownReason::NoRecord)
    );
}

#[test]
fn running_records_are_never_evicted() {
    let mut it = records(400);
    assert_eq!(begin(&mut it, at(10_010), 1, Duration::ZERO), BeginResult::Run);
    assert_eq!(begin(&mut it, at(10_010), 2, Duration::ZERO), BeginResult::Run);
    assert_eq!(begin(&mut it, at(10_010), 3, Duration::ZERO), BeginResult::Full);
    it.tick(at(900_000));
    assert_eq!(begin(&mut it, at(900_000), 1, Duration::ZERO), BeginResult::Attach);
}

#[test]
fn an_expired_record_leaves_no_gap() {
    let mut it = records(10_000);
    assert_eq!(begin(&mut it, at(10_010), 1, Duration::ZERO), BeginResult::Run);
    it.finish(at(10_020), UNIT, RequestId(1), text("first"));
    it.tick(at(80_000));
    assert_eq!(it.len(UNIT), 0);
    assert_eq!(begin(&mut it, at(80_000), 1, ms(69_990)), BeginResult::NoRecord);
    assert_eq!(
        begin(&mut it, at(80_000), 2, ms(60_000)),
        BeginResult::Run,
        "sent after the one dropped"
    );
}

#[test]
fn a_clock_that_has_just_started_does_not_make_old_ids_new() {
    let mut it = records(10_000);
    let handed = UnitRecords { complete_age: ms(3_600_000), records: Vec::new() };
    it.import(at(50), RecordUnit::Slot(Slot(4)), handed);
    let mut begin = |age| it.begin(at(60), RecordUnit::Slot(Slot(4)), KEY, RequestId(1), age);
    assert_eq!(begin(ms(7_200_000)), BeginResult::NoRecord);
    assert_eq!(begin(ms(1_800_000)), BeginResult::Run);
}

#[test]
fn a_hot_key_takes_its_own_records_along() {
    let mut it = records(10_000);
    let (hot, cold) = (KeyHash(8), KeyHash(9));
    for (id, key) in [(1, hot), (2, cold)] {
        assert_eq!(
            it.begin(at(10_010), UNIT, key, RequestId(id), Duration::ZERO),
            BeginResult::Run
        );
        it.finish(at(10_020), UNIT, RequestId(id), text("done"));
    }
    let handed = it.export_key(at(10_030), UNIT, hot).unwrap();
    assert_eq!(handed.records.len(), 1);
    let unit = RecordUnit::Key(hot);
    it.import(at(10_040), unit, handed);
    assert_eq!(
        it.begin(at(10_050), unit, hot, RequestId(1), ms(40)),
        BeginResult::Replay(text("done"))
    );
    let back = it.export(at(10_060), unit).unwrap();
    it.import(at(10_070), UNIT, back);
    assert_eq!(it.len(UNIT), 2);
}

/// What happened to an id, as seen from outside.
#[derive(Debug, Clone, Copy)]
struct Truth {
    first_sent: Timestamp,
    has_run: bool,
}

/// Callers that resend, an owner with little memory, handovers and losses.
fn run(seed: u64, bytes_max: usize, with_loss: bool) -> (u32, u32) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut it = records(bytes_max);
    let mut truths: HashMap<u128, Truth> = HashMap::new();
    let mut running: Vec<u128> = Vec::new();
    let mut now = at(10_000);
    let (mut replayed, mut refused) = (0, 0);
    for next_id in 0..400 {
        now = now + ms(rng.random_range(0..300));
        let is_resend = !truths.is_empty() && rng.random_bool(0.5);
        let id = if is_resend { rng.random_range(0..next_id) } else { next_id };
        let truth = truths.entry(id).or_insert(Truth { first_sent: now, has_run: false });
        // What the age falls short by: less than the margin.
        let short = ms(rng.random_range(0..900));
        let age = match is_resend {
            true => now.since(truth.first_sent).saturating_sub(short).max(ms(1)),
            false => Duration::ZERO,
        };
        match begin(&mut it, now, id, age) {
            BeginResult::Run => {
                assert!(!truth.has_run, "request {id} was run twice, seed {seed}");
                assert!(!running.contains(&id), "request {id} runs already, seed {seed}");
                running.push(id);
            }
            BeginResult::Attach => assert!(running.contains(&id)),
            BeginResult::Replay(it) => {
                assert!(truth.has_run);
                assert_eq!(it, text(&format!("answer {id}")), "seed {seed}");
                replayed += 1;
            }
            BeginResult::Unknown(_) | BeginResult::NoRecord => refused += 1,
            BeginResult::Full => (),
        }
        while running.len() > rng.random_range(0..4) {
            let id = running.swap_remove(rng.random_range(0..running.len()));
            if rng.random_bool(0.2) {
                it.discard(UNIT, RequestId(id));
                continue;
            }
            truths.get_mut(&id).unwrap().has_run = true;
            it.finish(now, UNIT, RequestId(id), text(&format!("answer {id}")));
        }
        let fate = rng.random_range(0..100);
        if fate < 2 || (fate < 4 && with_loss) {
            // Whatever runs may have run when its slot goes to another owner.
            for id in running.drain(..) {
                truths.get_mut(&id).unwrap().has_run = true;
            }
            let handed = it.export(now, UNIT).unwrap();
            now = now + ms(rng.random_range(0..50));
            match fate < 2 {
                true => it.import(now, UNIT, handed),
                false => it.open(now, UNIT),
            }
        }
        assert!(it.bytes(UNIT) <= bytes_max);
    }
    (replayed, refused)
}

#[test]
fn no_id_runs_twice() {
    fn property(seed: u64) -> bool {
        run(seed, 3_000, true);
        true
    }
    seeded(property as fn(u64) -> bool);
}

/// With room for all and nothing lost, resends do get their answers.
#[test]
fn resends_are_answered() {
    fn property(seed: u64) -> bool {
        let (replayed, refused) = run(seed, 1_000_000, false);
        replayed > 4 * refused
    }
    seeded(property as fn(u64) -> bool);
}

#[test]
fn handed_over_records_say_that_running_requests_are_unknown() {
    let mut it = records(10_000);
    assert_eq!(begin(&mut it, at(10_010), 1, Duration::ZERO), BeginResult::Run);
    let handed = it.export(at(10_020), UNIT).unwrap();
    assert_eq!(handed.records[0].end, RecordedOutcome::Unknown(UnknownReason::ConnectionLost));
}
