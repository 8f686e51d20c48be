//! Tests of the load report.

use std::time::Duration;

use model::{KeyHash, Slot, Timestamp};
use ownership::SlotLoad;

use crate::gate::load::LoadTable;

#[test]
fn a_reported_key_does_not_count_in_its_slot_too() {
    let table = LoadTable::default();
    let ms = Duration::from_millis;
    table.add(Some(Slot(1)), KeyHash(10), ms(30));
    // Lighter keys than those that fit the report stay with their slot.
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
