//! Tests of the load report.

use std::time::Duration;

use model::{KeyHash, Slot, Timestamp};
use ownership::SlotLoad;

use crate::gate::load::LoadTable;

#[test]
fn reported_key_is_not_counted_in_its_slot_as_well() {
    let table = LoadTable::default();
    let ms = Duration::from_millis;
    table.add(Some(Slot(1)), KeyHash(10), ms(30));
    // Keys that are too light to be reported are counted in their slot.
    for key in 0..16 {
        table.add(Some(Slot(2)), KeyHash(100 + key), ms(20));
    }
    table.add(Some(Slot(1)), KeyHash(11), ms(5));
    table.add(None, KeyHash(12), ms(40));
    let report = table.take(Timestamp::from_ms(1000), |_| 0);
    let load = |slot, load_us| SlotLoad { slot: Slot(slot), load_us, in_flight: 0 };
    assert_eq!(report.slots, [load(2, 40_000), load(1, 5_000)]);
    assert_eq!(report.keys.iter().map(|it| it.load_us).max(), Some(40_000));
    let slots: u64 = report.slots.iter().map(|it| it.load_us).sum();
    let keys: u64 = report.keys.iter().map(|it| it.load_us).sum();
    assert_eq!(slots + keys, report.total_us);
}

/// A slot at an overloaded upstream refuses five requests for each two that it runs. Its reported load exceeds
/// that of the requests run, which distinguishes it from a slot that is just fully used.
#[test]
fn refused_request_counts_as_half_of_a_run_one() {
    let table = LoadTable::default();
    table.add_refused(Some(Slot(1)), KeyHash(1));
    for key in 0..20 {
        table.add(Some(Slot(1)), KeyHash(key), Duration::from_millis(100));
    }
    for key in 20..70 {
        table.add_refused(Some(Slot(1)), KeyHash(key));
    }
    let report = table.take(Timestamp::from_ms(1000), |_| 0);
    assert_eq!(report.total_us, 2_000_000 + 2_500_000);
}
