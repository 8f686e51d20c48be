//! Tests of suspicion.

use model::Fingerprint;
use quickcheck::quickcheck;

use super::{CrashId, Quarantine, QuarantineStatus, SUSPECTS_MAX};

const HARMFUL: Fingerprint = Fingerprint(1);
const SOUND: Fingerprint = Fingerprint(2);
const FRESH: Fingerprint = Fingerprint(3);

#[test]
fn the_second_end_quarantines_and_a_report_heard_twice_counts_once() {
    let mut table = Quarantine::default();
    assert_eq!(table.status(HARMFUL), QuarantineStatus::Clear);
    assert_eq!(table.record_crash(CrashId(1), &[HARMFUL]), []);
    assert_eq!(table.record_crash(CrashId(1), &[HARMFUL]), []);
    assert_eq!(table.status(HARMFUL), QuarantineStatus::Suspect);
    assert_eq!(table.record_crash(CrashId(2), &[HARMFUL]), [HARMFUL]);
    assert_eq!(table.status(HARMFUL), QuarantineStatus::Quarantined);
    assert_eq!(table.record_crash(CrashId(3), &[HARMFUL]), []);
}

#[test]
fn a_request_that_was_answered_is_no_suspect_and_a_suspect_is_cleared_by_an_answer() {
    let mut table = Quarantine::default();
    table.record_answer(SOUND);
    assert_eq!(table.exclude_answered(vec![HARMFUL, SOUND, FRESH]), [HARMFUL, FRESH]);
    table.record_crash(CrashId(1), &[HARMFUL, SOUND, FRESH]);
    assert_eq!(
        table.status(SOUND),
        QuarantineStatus::Clear,
        "another agent may not know of its answer"
    );
    table.record_answer(FRESH);
    assert_eq!(table.status(FRESH), QuarantineStatus::Clear);
}

#[test]
fn the_oldest_suspects_are_forgotten() {
    let mut table = Quarantine::default();
    table.record_crash(CrashId(1), &[HARMFUL]);
    let many: Vec<Fingerprint> = (10..10 + SUSPECTS_MAX as u64).map(Fingerprint).collect();
    table.record_crash(CrashId(2), &many);
    assert_eq!(table.status(HARMFUL), QuarantineStatus::Clear);
    assert_eq!(table.status(many[0]), QuarantineStatus::Suspect);
}

quickcheck! {
    /// Whatever is answered in between: what is never answered is quarantined with its second end.
    fn what_is_never_answered_is_quarantined(ends: Vec<Vec<u8>>, answers: Vec<u8>) -> bool {
        let mut table = Quarantine::default();
        let mut answers = answers.into_iter();
        for (number, in_flight) in ends.iter().enumerate() {
            let mut in_flight: Vec<_> = in_flight.iter().map(|it| Fingerprint(u64::from(*it) + 10)).collect();
            in_flight.push(HARMFUL);
            table.record_crash(CrashId(number as u64), &in_flight);
            answers.next().into_iter().for_each(|it| table.record_answer(Fingerprint(u64::from(it) + 10)));
        }
        ends.len() < 2 || table.status(HARMFUL) == QuarantineStatus::Quarantined
    }
}
