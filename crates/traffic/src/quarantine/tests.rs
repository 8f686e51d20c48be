//! Tests of the quarantine.

use model::Fingerprint;
use quickcheck::quickcheck;

use super::{CrashId, Quarantine, QuarantineStatus, SUSPECTS_MAX};

const CRASHING: Fingerprint = Fingerprint(1);
const HARMLESS: Fingerprint = Fingerprint(2);
const OTHER: Fingerprint = Fingerprint(3);

#[test]
fn the_second_crash_quarantines_and_a_duplicate_report_counts_once() {
    let mut table = Quarantine::default();
    assert_eq!(table.status(CRASHING), QuarantineStatus::Clear);
    assert_eq!(table.record_crash(CrashId(1), &[CRASHING]), []);
    assert_eq!(table.record_crash(CrashId(1), &[CRASHING]), []);
    assert_eq!(table.status(CRASHING), QuarantineStatus::Suspect);
    assert_eq!(table.record_crash(CrashId(2), &[CRASHING]), [CRASHING]);
    assert_eq!(table.status(CRASHING), QuarantineStatus::Quarantined);
    assert_eq!(table.record_crash(CrashId(3), &[CRASHING]), []);
}

#[test]
fn an_answer_prevents_and_clears_suspicion() {
    let mut table = Quarantine::default();
    table.record_answer(HARMLESS);
    assert_eq!(table.exclude_answered(vec![CRASHING, HARMLESS, OTHER]), [CRASHING, OTHER]);
    table.record_crash(CrashId(1), &[CRASHING, HARMLESS, OTHER]);
    assert_eq!(
        table.status(HARMLESS),
        QuarantineStatus::Clear,
        "an agent without the answer may report the request"
    );
    table.record_answer(OTHER);
    assert_eq!(table.status(OTHER), QuarantineStatus::Clear);
}

#[test]
fn the_oldest_suspects_are_evicted() {
    let mut table = Quarantine::default();
    table.record_crash(CrashId(1), &[CRASHING]);
    let many: Vec<Fingerprint> = (10..10 + SUSPECTS_MAX as u64).map(Fingerprint).collect();
    table.record_crash(CrashId(2), &many);
    assert_eq!(table.status(CRASHING), QuarantineStatus::Clear);
    assert_eq!(table.status(many[0]), QuarantineStatus::Suspect);
}

quickcheck! {
    /// A request that is never answered is quarantined after its second crash, whichever other requests are answered in
    /// between.
    fn a_request_that_is_never_answered_is_quarantined(crashes: Vec<Vec<u8>>, answers: Vec<u8>) -> bool {
        let mut table = Quarantine::default();
        let mut answers = answers.into_iter();
        for (number, in_flight) in crashes.iter().enumerate() {
            let mut in_flight: Vec<_> = in_flight.iter().map(|it| Fingerprint(u64::from(*it) + 10)).collect();
            in_flight.push(CRASHING);
            table.record_crash(CrashId(number as u64), &in_flight);
            answers.next().into_iter().for_each(|it| table.record_answer(Fingerprint(u64::from(it) + 10)));
        }
        crashes.len() < 2 || table.status(CRASHING) == QuarantineStatus::Quarantined
    }
}
