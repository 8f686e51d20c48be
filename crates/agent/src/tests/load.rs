//! Tests of the load report.

use std::time::Duration;

use model::{KeyHash, Slot, Timestamp};
use ownership::{KindTime, SlotLoad};

use crate::gate::load::LoadTable;

use super::fakes::{TestAgent, get, post};

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

#[test]
fn the_kinds_with_the_most_time_are_reported_once() {
    let table = LoadTable::default();
    for kind in 0..6 {
        for _ in 0..2 {
            table.add_answered(kind, Duration::from_millis(10 + u64::from(kind)), 7);
        }
    }
    let capacity = table.take(Timestamp::from_ms(1000), |_| 0).capacity.unwrap();
    let kind = |kind, total_us| KindTime { kind, count: 2, total_us };
    assert_eq!(capacity.slots, 7);
    assert_eq!(
        capacity.kinds,
        [kind(5, 30_000), kind(4, 28_000), kind(3, 26_000), kind(2, 24_000)]
    );
    assert_eq!(table.take(Timestamp::from_ms(2000), |_| 0).capacity, None);
}

/// An upstream that fails fast, or whose answers are lost, must not be measured as a fast one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_answered_requests_are_measured_and_only_if_capacity_is_weighed() {
    let agent = TestAgent::start("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.settle(1).await;
    agent.call(get("work", 1)).await;
    let report = agent.gate.take_load();
    assert!(report.total_us > 0);
    assert_eq!(report.capacity, None, "capacity is not weighed");
    agent.route_weighed_to(&agent.own, 2).await;
    for (op, id) in [("fail", 2), ("lost", 3), ("refuse", 4)] {
        agent.call(post(op, id)).await;
    }
    assert_eq!(agent.gate.take_load().capacity, None);
    agent.call(get("work", 5)).await;
    let capacity = agent.gate.take_load().capacity.expect("an answered request is measured");
    assert_eq!(capacity.slots, 2, "slots of the announced upstream");
    let [time] = capacity.kinds[..] else { panic!("{capacity:?}") };
    assert_eq!((time.kind, time.count), (0, 1), "kind is the first route of the document");
    assert!(time.total_us >= 20_000);
}
