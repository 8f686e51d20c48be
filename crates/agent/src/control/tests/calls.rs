//! Tests of the calls to the platform that a group's node requests.

use std::sync::{Arc, atomic::Ordering};

use model::{GroupId, ObjectVersion, ServiceName, Term};
use ownership::{
    CallId, Confirmation, Coordinator, Limits, PlatformReply, PlatformRequest, TermTimes,
};
use tokio::sync::mpsc;

use super::platform::FakeStore;
use crate::control::calls::{CallResult, PlatformCalls};

fn service() -> ServiceName {
    ServiceName::new("standings").unwrap()
}

async fn reply(store: &Arc<FakeStore>, request: PlatformRequest) -> PlatformReply {
    let (results, mut received) = mpsc::unbounded_channel();
    let calls = PlatformCalls::new(Arc::clone(store) as _, results);
    calls.start_node_call(&service(), GroupId::FIRST, CallId(1), request);
    match received.recv().await {
        Some(CallResult::Node { reply, .. }) => reply,
        other => panic!("{other:?}"),
    }
}

async fn draw_round(store: &Arc<FakeStore>, era: u64, above: u32) -> Option<u32> {
    match reply(store, PlatformRequest::DrawRound { era, above }).await {
        PlatformReply::RoundDrawn(round) => Some(round),
        _ => None,
    }
}

/// Guards against a round that two coordinators draw after a rollback.
#[tokio::test]
async fn rounds_drawn_in_one_era_increase_whatever_the_drawing_node_knows() {
    let store = Arc::new(FakeStore::new());
    store.roll_back();
    assert_eq!(draw_round(&store, 1, 1028).await, Some(1029));
    assert_eq!(draw_round(&store, 1, 1028).await, Some(1030));
    assert_eq!(draw_round(&store, 1, 5).await, Some(1031));
    assert_eq!(draw_round(&store, 1, 2000).await, Some(2001));
}

/// Guards against rounds that continue from a counter that the rollback has restored to an older value.
#[tokio::test]
async fn a_round_is_drawn_only_in_the_era_that_the_node_has_read() {
    let store = Arc::new(FakeStore::new());
    store.roll_back();
    store.take_snapshot();
    assert_eq!(draw_round(&store, 1, 1028).await, Some(1029));
    store.roll_back();
    assert_eq!(draw_round(&store, 1, 1028).await, None, "the store is in era 2");
    assert_eq!(draw_round(&store, 2, 2052).await, Some(2053));
    store.is_down.store(true, Ordering::SeqCst);
    assert_eq!(draw_round(&store, 2, 2052).await, None);
}

/// Guards against a counter of an earlier era that is taken for the one of this era.
#[tokio::test]
async fn the_counter_of_an_era_starts_anew_in_an_object_of_an_earlier_era() {
    let store = Arc::new(FakeStore::new());
    store.put("rounds/standings/0/1", r#"{"era":1,"round":700000}"#);
    store.take_snapshot();
    for _ in 0..17 {
        store.roll_back();
    }
    assert_eq!(draw_round(&store, 17, 20_000).await, Some(20_001));
    assert_eq!(store.text("rounds/standings/0/1").as_deref(), Some(r#"{"era":17,"round":20001}"#));
}

/// Guards against a round that wraps to 0.
#[tokio::test]
async fn no_round_is_drawn_above_the_highest_one() {
    let store = Arc::new(FakeStore::new());
    store.roll_back();
    assert_eq!(draw_round(&store, 1, u32::MAX).await, None);
}

/// Guards against a first term that is taken as acquired although the store has lost earlier ones in a rollback.
#[tokio::test]
async fn an_update_that_creates_an_object_after_a_rollback_is_not_confirmed() {
    let store = Arc::new(FakeStore::new());
    store.roll_back();
    let object = Coordinator {
        service: service(),
        group: GroupId::FIRST,
        term: Term(1),
        holder: None,
        nonce: 7,
        witnesses: Vec::new(),
        confirmation: Confirmation::Platform,
        settled: true,
        times: TermTimes::from(&Limits::default()),
        era: 0,
        history_lost: false,
        lost_has_known_witnesses: false,
    };
    let expected = ObjectVersion(0);
    let reply = reply(&store, PlatformRequest::UpdateCoordinator { expected, object }).await;
    assert!(matches!(reply, PlatformReply::Failed), "{reply:?}");
}
