//! Tests of answers after a crash and of the trials of quarantined requests.

use model::Fingerprint;
use quickcheck::quickcheck;

use super::{CrashId, Quarantine, QuarantineStatus, TRIALS_MAX, TrialCounts, TrialEnd};

const PAGE: Fingerprint = Fingerprint(1);
const HARMFUL: Fingerprint = Fingerprint(2);

#[test]
fn an_answer_to_a_quarantined_request_clears_it_and_concerns_others_once() {
    let mut table = Quarantine::default();
    table.record_crash(CrashId(1), &[PAGE, HARMFUL]);
    table.record_crash(CrashId(2), &[PAGE, HARMFUL]);
    assert_eq!(table.crash_count(PAGE), 2);
    assert!(table.awaits_answer(PAGE));
    table.record_answer(PAGE);
    assert!(!table.awaits_answer(PAGE), "the other agents were told by the first answer");
    assert_eq!(table.status(PAGE), QuarantineStatus::Clear);
    assert_eq!(table.status(HARMFUL), QuarantineStatus::Quarantined);
    // Records that arrive again after a new list of the store.
    table.record_crash(CrashId(1), &[PAGE, HARMFUL]);
    assert_eq!(table.status(PAGE), QuarantineStatus::Clear);
}

#[test]
fn an_answer_concerns_others_if_another_agent_reports_the_request_after_it() {
    let mut table = Quarantine::default();
    assert!(!table.awaits_answer(PAGE), "no crash is known");
    table.record_answer(PAGE);
    table.record_crash(CrashId(1), &[PAGE]);
    assert_eq!(table.status(PAGE), QuarantineStatus::Clear);
    assert!(table.awaits_answer(PAGE));
    table.record_answer(PAGE);
    assert!(!table.awaits_answer(PAGE));
}

#[test]
fn trials_that_may_have_crashed_an_upstream_are_bounded() {
    let mut counts = TrialCounts::default();
    for _ in 0..TRIALS_MAX {
        assert!(counts.allows_trial());
        counts.begun += 1;
    }
    assert!(!counts.allows_trial());
    counts.survived += 1;
    assert!(counts.allows_trial());
    counts.is_answered = true;
    assert!(!counts.allows_trial(), "a request that was answered needs no trial");
}

quickcheck! {
    /// Guards against unbounded trials: whatever their ends, a request reaches upstreams in no more than three trials
    /// after its third crash.
    fn trials_after_the_third_crash_are_bounded(crashes: u8, ends: Vec<u8>) -> bool {
        let (mut crashes, mut counts) = (2 + usize::from(crashes % 3), TrialCounts::default());
        let mut reached = 0;
        for end in ends {
            if !counts.allows_trial() {
                break;
            }
            counts.begun += 1;
            let end = [TrialEnd::NotSent, TrialEnd::Survived, TrialEnd::Lost][usize::from(end % 3)];
            reached += usize::from(crashes >= 3 && end != TrialEnd::NotSent);
            crashes += usize::from(end == TrialEnd::Lost);
            counts.survived += u32::from(TrialCounts::is_refunded(end, crashes));
        }
        reached <= 3
    }

    /// Agents may learn of the counts in any order.
    fn merging_is_commutative(a: (u32, u32, bool), b: (u32, u32, bool)) -> bool {
        let counts = |it: (u32, u32, bool)| TrialCounts { begun: it.0, survived: it.1, is_answered: it.2 };
        let merged = |mut a: TrialCounts, b| { a.merge(b); a };
        merged(counts(a), counts(b)) == merged(counts(b), counts(a))
    }
}
