//! Tests of reading and following zone objects.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use model::{ObjectVersion, Zone};
use object_store::Change;
use tokio::{sync::watch, time::timeout};

use super::{ClosedZones, ClosedZonesSource, ZoneChange, follow_stored_zones, read_zone_change};
use crate::control::tests::platform::FakeStore;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn zone(name: &str) -> Zone {
    Zone::new(name).unwrap()
}

fn change(path: &str, body: Option<&'static str>) -> Change {
    let body = body.map(|it| Bytes::from_static(it.as_bytes()));
    Change { path: path.to_owned(), version: ObjectVersion(1), body }
}

async fn wait_for(source: &mut ClosedZonesSource, zones: &[&str]) {
    let expected: ClosedZones = Arc::new(zones.iter().map(|it| zone(it)).collect());
    let waiting = source.wait_for(|it| it.as_ref() == Some(&expected));
    timeout(WAIT_TIMEOUT, waiting).await.expect("the closed zones did not change in time").unwrap();
}

#[test]
fn only_valid_zone_objects_are_read() {
    let closed = change("zones/pitlane", Some(r#"{"closed": true}"#));
    assert_eq!(read_zone_change(&closed), Some(ZoneChange::Closed(zone("pitlane"))));
    let open = change("zones/pitlane", Some(r#"{"closed": false}"#));
    assert_eq!(read_zone_change(&open), Some(ZoneChange::Open(zone("pitlane"))));
    assert_eq!(
        read_zone_change(&change("zones/pitlane", None)),
        Some(ZoneChange::Open(zone("pitlane")))
    );
    for (path, body) in [
        ("zones/pitlane", "{}"),
        ("zones/pitlane", "nonsense"),
        ("zones/", r#"{"closed": true}"#),
        ("zones/a/b", r#"{"closed": true}"#),
        ("services/pitlane", r#"{"closed": true}"#),
    ] {
        assert_eq!(read_zone_change(&change(path, Some(body))), None, "{path} {body}");
    }
}

#[tokio::test(start_paused = true)]
async fn changes_during_a_store_outage_take_effect_after_it() {
    let store = Arc::new(FakeStore::new());
    store.put("zones/pitlane", r#"{"closed": true}"#);
    let (sender, mut source) = watch::channel(None);
    let following = tokio::spawn(follow_stored_zones(Arc::clone(&store) as _, sender));
    wait_for(&mut source, &["pitlane"]).await;
    store.is_down.store(true, std::sync::atomic::Ordering::SeqCst);
    store.put("zones/drivers-stand", r#"{"closed": true}"#);
    store.put("zones/pitlane", r#"{"closed": false}"#);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(
        source.borrow().as_ref().unwrap().len(),
        1,
        "the zone stays closed during the outage"
    );
    store.is_down.store(false, std::sync::atomic::Ordering::SeqCst);
    wait_for(&mut source, &["drivers-stand"]).await;
    following.abort();
}

/// An agent that was started again must not take a zone for open before it has read that it is.
#[tokio::test(start_paused = true)]
async fn zones_are_unknown_until_the_first_list_and_known_after_an_empty_one() {
    let store = Arc::new(FakeStore::new());
    store.is_down.store(true, std::sync::atomic::Ordering::SeqCst);
    let (sender, mut source) = watch::channel(None);
    let following = tokio::spawn(follow_stored_zones(Arc::clone(&store) as _, sender));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(*source.borrow_and_update(), None);
    store.is_down.store(false, std::sync::atomic::Ordering::SeqCst);
    wait_for(&mut source, &[]).await;
    following.abort();
}

/// A list that may be stale could show a zone as open that an earlier process of the agent had acted on as closed.
#[tokio::test(start_paused = true)]
async fn the_first_list_of_closed_zones_is_not_stale() {
    let store = Arc::new(FakeStore::new());
    store.put("zones/pitlane", r#"{"closed": true}"#);
    store.lists_nothing_stale.store(true, std::sync::atomic::Ordering::SeqCst);
    let (sender, mut source) = watch::channel(None);
    let following = tokio::spawn(follow_stored_zones(Arc::clone(&store) as _, sender));
    source.changed().await.unwrap();
    let expected: ClosedZones = Arc::new([zone("pitlane")].into());
    assert_eq!(*source.borrow(), Some(expected));
    following.abort();
}
