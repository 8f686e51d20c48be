//! Loads as they are reported.

use model::{KeyHash, Slot, SlotCount};

use crate::{KeyLoad, LoadReport, SlotLoad};

/// The first key of a slot of 1,024.
fn key_of(slot: u16) -> KeyHash {
    KeyHash(u64::from(slot) << 54)
}

/// A stretch of 16 busy neighbours, four keys to a slot, beside one slot of light keys. The report
/// takes the busy keys out of their slots; together they are two thirds of the load.
#[test]
fn busy_neighbours_show_in_the_loads_of_their_slots() {
    let slot_count = SlotCount::new(1_024).unwrap();
    let keys = (0..16).map(|it| {
        let KeyHash(first) = key_of(500 + it / 4);
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
    };
    let by_slot = report.attribute_keys_to_slots(slot_count);
    let load = |slot: u16| {
        let found = by_slot.slots.iter().find(|it| it.slot == Slot(slot));
        found.map_or(0, |it| it.load_us)
    };
    assert_eq!([7, 500, 501, 502, 503].map(load), [190_000, 110_000, 100_000, 100_000, 100_000]);
    assert!(by_slot.keys.is_empty());
    assert_eq!(by_slot.total_us, 600_000);
}
