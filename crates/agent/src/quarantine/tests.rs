//! Tests of the crash records that agents share.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use model::{Fingerprint, InstanceName};
use tokio::time::{sleep, timeout};

use super::{CRASHES_KEPT, SharedQuarantine};
use crate::control::tests::platform::FakeStore;

const TIMEOUT: Duration = Duration::from_secs(60);
const HARMFUL: Fingerprint = Fingerprint(u64::MAX);

fn start(store: &Arc<FakeStore>, name: &str) -> Arc<SharedQuarantine> {
    SharedQuarantine::start(Arc::clone(store) as _, InstanceName::new(name).unwrap())
}

async fn wait_until_quarantined(agent: &SharedQuarantine) {
    let waiting = async {
        while !agent.is_quarantined(HARMFUL) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TIMEOUT, waiting).await.expect("the request must be quarantined before the timeout");
}

#[tokio::test(start_paused = true)]
async fn crashes_at_different_agents_are_counted_together_across_a_store_outage() {
    let store = Arc::new(FakeStore::new());
    let (a, b, c) = (start(&store, "a"), start(&store, "b"), start(&store, "c"));
    a.record_crash(vec![HARMFUL, Fingerprint(7)]);
    store.is_down.store(true, Ordering::SeqCst);
    b.record_crash(vec![Fingerprint(8)]);
    b.record_crash(vec![HARMFUL]);
    sleep(Duration::from_secs(5)).await;
    assert!(!c.is_quarantined(HARMFUL));
    store.is_down.store(false, Ordering::SeqCst);
    for agent in [&a, &b, &c] {
        wait_until_quarantined(agent).await;
        assert!(!agent.is_quarantined(Fingerprint(7)) && !agent.is_quarantined(Fingerprint(8)));
    }
}

#[tokio::test(start_paused = true)]
async fn crash_records_survive_a_restart_of_all_agents() {
    let store = Arc::new(FakeStore::new());
    let a = start(&store, "a");
    a.record_crash(vec![HARMFUL]);
    sleep(Duration::from_secs(1)).await;
    drop(a);
    // A new incarnation of the same agent keeps the stored records.
    let a = start(&store, "a");
    a.record_crash(vec![HARMFUL]);
    wait_until_quarantined(&start(&store, "b")).await;
}

#[tokio::test(start_paused = true)]
async fn the_object_of_an_instance_keeps_a_bounded_number_of_crashes() {
    let store = Arc::new(FakeStore::new());
    let a = start(&store, "a");
    for it in 0..3 * CRASHES_KEPT as u64 {
        a.record_crash(vec![Fingerprint(it)]);
        sleep(Duration::from_millis(200)).await;
    }
    let object: settings::CrashesObject =
        serde_json::from_str(&store.text("ends/a").unwrap()).unwrap();
    assert_eq!(object.crashes.len(), CRASHES_KEPT);
    assert_eq!(object.crashes.last().unwrap().requests, [Fingerprint(3 * CRASHES_KEPT as u64 - 1)]);
}

#[tokio::test(start_paused = true)]
async fn crashes_missing_after_a_rollback_of_the_store_are_written_again() {
    let store = Arc::new(FakeStore::new());
    let (a, b) = (start(&store, "a"), start(&store, "b"));
    b.record_crash(vec![HARMFUL]);
    sleep(Duration::from_secs(1)).await;
    store.take_snapshot();
    a.record_crash(vec![HARMFUL]);
    sleep(Duration::from_secs(1)).await;
    store.roll_back();
    assert_eq!(store.text("ends/a"), None);
    // An agent that starts later learns of both crashes.
    sleep(Duration::from_secs(1)).await;
    wait_until_quarantined(&start(&store, "c")).await;
}
