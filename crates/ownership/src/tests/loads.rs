//! Load reports.

use model::{KeyHash, Slot, SlotCount};

use crate::{KeyLoad, LoadReport, SlotLoad};

/// Returns the lowest key of one of 1,024 slots.
fn lowest_key_in(slot: u16) -> KeyHash {
    KeyHash(u64::from(slot) << 54)
}

/// 16 hot keys in four adjacent slots have two thirds of the load, and another slot has many light keys. The report
/// lists the hot keys apart from their slots; attributing them to their slots must add their load there.
#[test]
fn keys_of_a_hot_range_count_towards_their_slots() {
    let slot_count = SlotCount::new(1_024).unwrap();
    let keys = (0..16).map(|it| {
        let KeyHash(first) = lowest_key_in(500 + it / 4);
        KeyLoad { key_hash: KeyHash(first + u64::from(it % 4)), load_us: 25_000 }
    });
    let report = LoadReport {
        period_ms: 1_000,
        total_us: 600_000,
        slots: vec![
            SlotLoad { slot: Slot(7), load_us: 190_000, in_flight: 3 },
            SlotLoad { slot: Slot(500), load_us: 10_000, in_flight: 1 },
        ],
        keys: keys.collect(),
        capacity: None,
    };
    let by_slot = report.attribute_keys_to_slots(slot_count);
    let load = |slot: u16| {
        let slot_load = by_slot.slots.iter().find(|it| it.slot == Slot(slot));
        slot_load.map_or(0, |it| it.load_us)
    };
    assert_eq!([7, 500, 501, 502, 503].map(load), [190_000, 110_000, 100_000, 100_000, 100_000]);
    assert!(by_slot.keys.is_empty());
    assert_eq!(by_slot.total_us, 600_000);
}
