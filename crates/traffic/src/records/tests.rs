//! Tests of the at-most-once records: a request runs at most once, even if records are evicted, handed over or lost.

use std::{collections::HashMap, time::Duration};

use model::{KeyHash, RequestId, Slot, Timestamp, UnknownReason};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    Answer, BeginResult, RecordUnit, RecordedOutcome, Records, RecordsConfig, UnitRecords,
    tests::check_seeded,
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
fn a_request_that_did_not_run_may_run_again() {
    let mut it = records(10_000);
    assert_eq!(begin(&mut it, at(10_010), 1, Duration::ZERO), BeginResult::Run);
    it.discard(UNIT, RequestId(1));
    assert_eq!(
        begin(&mut it, at(12_010), 1, ms(2000)),
        BeginResult::NoRecord,
        "the request may be older than the table, within the age margin"
    );
    assert_eq!(begin(&mut it, at(12_010), 1, ms(500)), BeginResult::Run);
}

#[test]
fn an_unknown_outcome_stays_unknown() {
    let mut it = records(10_000);
    assert_eq!(begin(&mut it, at(10_010), 1, Duration::ZERO), BeginResult::Run);
    it.finish_unknown(at(10_020), UNIT, RequestId(1), UnknownReason::ConnectionLost);
    let result = begin(&mut it, at(10_030), 1, ms(20));
    assert_eq!(result, BeginResult::Unknown(UnknownReason::ConnectionLost));
}

#[test]
fn a_new_owner_without_records_refuses_requests_sent_before() {
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
fn an_expired_request_is_not_run_again() {
    let mut it = records(10_000);
    assert_eq!(begin(&mut it, at(10_010), 1, Duration::ZERO), BeginResult::Run);
    it.finish(at(10_020), UNIT, RequestId(1), text("first"));
    it.tick(at(80_000));
    assert_eq!(it.len(UNIT), 0);
    assert_eq!(begin(&mut it, at(80_000), 1, ms(69_990)), BeginResult::NoRecord);
    assert_eq!(
        begin(&mut it, at(80_000), 2, ms(60_000)),
        BeginResult::Run,
        "the request was first sent after the expired one"
    );
}

#[test]
fn imported_ids_older_than_the_clock_are_not_taken_for_new() {
    let mut it = records(10_000);
    let exported = UnitRecords { complete_age: ms(3_600_000), records: Vec::new() };
    it.import(at(50), RecordUnit::Slot(Slot(4)), exported);
    let mut begin = |age| it.begin(at(60), RecordUnit::Slot(Slot(4)), KEY, RequestId(1), age);
    assert_eq!(begin(ms(7_200_000)), BeginResult::NoRecord);
    assert_eq!(begin(ms(1_800_000)), BeginResult::Run);
}

/// Guards against a second run of a request whose record the previous owner no longer had: the own table is complete
/// for longer than the imported one.
#[test]
fn an_import_into_a_table_limits_how_long_it_is_complete() {
    let mut it = records(10_000);
    let exported = UnitRecords { complete_age: ms(2000), records: Vec::new() };
    it.import(at(20_000), UNIT, exported);
    assert_eq!(begin(&mut it, at(20_010), 1, ms(5000)), BeginResult::NoRecord);
    assert_eq!(begin(&mut it, at(20_010), 2, ms(500)), BeginResult::Run);
}

/// Guards against a second run of a request whose record this owner never had: the imported table is complete for
/// longer than its own.
#[test]
fn an_import_does_not_extend_how_long_a_table_is_complete() {
    let mut it = records(10_000);
    let exported = UnitRecords { complete_age: ms(9000), records: Vec::new() };
    it.import(at(12_000), UNIT, exported);
    assert_eq!(begin(&mut it, at(12_010), 1, ms(2500)), BeginResult::NoRecord);
    assert_eq!(begin(&mut it, at(12_010), 2, ms(500)), BeginResult::Run);
}

#[test]
fn records_of_a_hot_key_move_with_it() {
    let mut it = records(10_000);
    let (hot, cold) = (KeyHash(8), KeyHash(9));
    for (id, key) in [(1, hot), (2, cold)] {
        assert_eq!(
            it.begin(at(10_010), UNIT, key, RequestId(id), Duration::ZERO),
            BeginResult::Run
        );
        it.finish(at(10_020), UNIT, RequestId(id), text("done"));
    }
    let exported = it.export_key(at(10_030), UNIT, hot).unwrap();
    assert_eq!(exported.records.len(), 1);
    let unit = RecordUnit::Key(hot);
    it.import(at(10_040), unit, exported);
    assert_eq!(
        it.begin(at(10_050), unit, hot, RequestId(1), ms(40)),
        BeginResult::Replay(text("done"))
    );
    let returned = it.export(at(10_060), unit).unwrap();
    it.import(at(10_070), UNIT, returned);
    assert_eq!(it.len(UNIT), 2);
}

/// The history of a request id, as known to the test.
#[derive(Debug, Clone, Copy)]
struct RequestHistory {
    first_sent: Timestamp,
    has_run: bool,
}

/// Simulates new requests and resends, evictions, handovers, and with `with_loss` also losses of all records. Returns
/// the numbers of replayed and of refused requests.
fn simulate(seed: u64, bytes_max: usize, with_loss: bool) -> (u32, u32) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut it = records(bytes_max);
    let mut histories: HashMap<u128, RequestHistory> = HashMap::new();
    let mut running: Vec<u128> = Vec::new();
    let mut now = at(10_000);
    let (mut replayed, mut refused) = (0, 0);
    for next_id in 0..400 {
        now = now + ms(rng.random_range(0..300));
        let is_resend = !histories.is_empty() && rng.random_bool(0.5);
        let id = if is_resend { rng.random_range(0..next_id) } else { next_id };
        let history =
            histories.entry(id).or_insert(RequestHistory { first_sent: now, has_run: false });
        // The error of a resend's reported age, below the margin.
        let age_error = ms(rng.random_range(0..900));
        let age = match is_resend {
            true => now.since(history.first_sent).saturating_sub(age_error).max(ms(1)),
            false => Duration::ZERO,
        };
        match begin(&mut it, now, id, age) {
            BeginResult::Run => {
                assert!(!history.has_run, "request {id} was run twice, seed {seed}");
                assert!(!running.contains(&id), "request {id} is already running, seed {seed}");
                running.push(id);
            }
            BeginResult::Attach => assert!(running.contains(&id)),
            BeginResult::Replay(it) => {
                assert!(history.has_run);
                assert_eq!(it, text(&format!("answer {id}")), "wrong answer replayed, seed {seed}");
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
            histories.get_mut(&id).unwrap().has_run = true;
            it.finish(now, UNIT, RequestId(id), text(&format!("answer {id}")));
        }
        let draw = rng.random_range(0..100);
        if draw < 2 || (draw < 4 && with_loss) {
            // A request that is running when its slot moves to another owner may have run.
            for id in running.drain(..) {
                histories.get_mut(&id).unwrap().has_run = true;
            }
            let exported = it.export(now, UNIT).unwrap();
            now = now + ms(rng.random_range(0..50));
            match draw < 2 {
                true => it.import(now, UNIT, exported),
                false => it.open(now, UNIT),
            }
        }
        assert!(it.bytes(UNIT) <= bytes_max);
    }
    (replayed, refused)
}

#[test]
fn no_request_id_runs_twice() {
    fn property(seed: u64) -> bool {
        simulate(seed, 3_000, true);
        true
    }
    check_seeded(property as fn(u64) -> bool);
}

/// Without evictions and losses, resends get their answers.
#[test]
fn resends_are_answered_if_no_record_is_lost() {
    fn property(seed: u64) -> bool {
        let (replayed, refused) = simulate(seed, 1_000_000, false);
        replayed > 4 * refused
    }
    check_seeded(property as fn(u64) -> bool);
}

#[test]
fn running_requests_are_handed_over_as_unknown() {
    let mut it = records(10_000);
    assert_eq!(begin(&mut it, at(10_010), 1, Duration::ZERO), BeginResult::Run);
    let exported = it.export(at(10_020), UNIT).unwrap();
    assert_eq!(exported.records[0].end, RecordedOutcome::Unknown(UnknownReason::ConnectionLost));
}
