//! Tests of the probes for coordinators that may ignore capacities.

use std::time::Duration;

use model::Timestamp;

use crate::{CapacityReport, KindTime};

use super::PendingCapacity;

fn report() -> Option<CapacityReport> {
    Some(CapacityReport {
        slots: 7,
        kinds: vec![KindTime { kind: 1, count: 10, total_us: 600_000 }],
    })
}

/// Guards against due renewals that a coordinator of an earlier version ignores, and against a log line there for each
/// few seconds of a long term.
#[test]
fn only_ever_rarer_probes_carry_a_capacity_until_one_is_answered() {
    let mut capacity = PendingCapacity::default();
    let mut probes_s = Vec::new();
    for at_s in 1..=100 {
        capacity.report = report();
        assert_eq!(capacity.take_if_accepted(), None);
        if capacity.take_for_probe(Timestamp::ZERO + Duration::from_secs(at_s)).is_some() {
            probes_s.push(at_s);
        }
    }
    assert_eq!(probes_s, [1, 6, 16, 36, 76]);
    capacity.last_sequence = Some(5);
    capacity.record_answer(4);
    assert_eq!(capacity.take_if_accepted(), None);
    capacity.record_answer(5);
    capacity.report = report();
    assert_eq!(capacity.take_if_accepted(), report());
    capacity.report = report();
    assert_eq!(capacity.take_for_probe(Timestamp::ZERO + Duration::from_secs(500)), None);
    capacity.restart();
    assert_eq!(
        capacity.take_if_accepted(),
        None,
        "the next coordinator may be of an earlier version"
    );
}
