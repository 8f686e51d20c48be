//! Tests of what agents learn of each other's ended upstreams.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use model::{Fingerprint, InstanceName};
use tokio::time::{sleep, timeout};

use super::{ENDS_KEPT, SharedQuarantine};
use crate::control::tests::platform::FakeStore;

const PATIENCE: Duration = Duration::from_secs(60);
const HARMFUL: Fingerprint = Fingerprint(u64::MAX);

fn start(store: &Arc<FakeStore>, name: &str) -> Arc<SharedQuarantine> {
    SharedQuarantine::start(Arc::clone(store) as _, InstanceName::new(name).unwrap())
}

async fn wait_quarantined(agent: &SharedQuarantine) {
    let waiting = async {
        while !agent.is_quarantined(HARMFUL) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PATIENCE, waiting).await.expect("word of the ends in time");
}

#[tokio::test(start_paused = true)]
async fn ends_at_different_agents_count_together_and_through_an_outage() {
    let store = Arc::new(FakeStore::new());
    let (a, b, c) = (start(&store, "a"), start(&store, "b"), start(&store, "c"));
    a.upstream_ended(vec![HARMFUL, Fingerprint(7)]);
    store.is_down.store(true, Ordering::SeqCst);
    b.upstream_ended(vec![Fingerprint(8)]);
    b.upstream_ended(vec![HARMFUL]);
    sleep(Duration::from_secs(5)).await;
    assert!(!c.is_quarantined(HARMFUL));
    store.is_down.store(false, Ordering::SeqCst);
    for agent in [&a, &b, &c] {
        wait_quarantined(agent).await;
        assert!(!agent.is_quarantined(Fingerprint(7)) && !agent.is_quarantined(Fingerprint(8)));
    }
}

#[tokio::test(start_paused = true)]
async fn what_ended_upstreams_is_known_after_all_agents_were_started_again() {
    let store = Arc::new(FakeStore::new());
    let a = start(&store, "a");
    a.upstream_ended(vec![HARMFUL]);
    sleep(Duration::from_secs(1)).await;
    drop(a);
    // Another life of the same agent keeps what is written down.
    let a = start(&store, "a");
    a.upstream_ended(vec![HARMFUL]);
    wait_quarantined(&start(&store, "b")).await;
}

#[tokio::test(start_paused = true)]
async fn the_object_of_an_instance_stays_small() {
    let store = Arc::new(FakeStore::new());
    let a = start(&store, "a");
    for it in 0..3 * ENDS_KEPT as u64 {
        a.upstream_ended(vec![Fingerprint(it)]);
        sleep(Duration::from_millis(200)).await;
    }
    let object: settings::EndsObject =
        serde_json::from_str(&store.text("ends/a").unwrap()).unwrap();
    assert_eq!(object.ends.len(), ENDS_KEPT);
    assert_eq!(object.ends.last().unwrap().requests, [Fingerprint(3 * ENDS_KEPT as u64 - 1)]);
}

#[tokio::test(start_paused = true)]
async fn ends_that_a_store_has_lost_are_written_down_again() {
    let store = Arc::new(FakeStore::new());
    let (a, b) = (start(&store, "a"), start(&store, "b"));
    b.upstream_ended(vec![HARMFUL]);
    sleep(Duration::from_secs(1)).await;
    store.take_snapshot();
    a.upstream_ended(vec![HARMFUL]);
    sleep(Duration::from_secs(1)).await;
    store.roll_back();
    assert_eq!(store.text("ends/a"), None);
    // An agent that starts later hears of both.
    sleep(Duration::from_secs(1)).await;
    wait_quarantined(&start(&store, "c")).await;
}
