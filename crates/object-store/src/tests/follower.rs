//! Tests of a follower against a scripted platform, on a paused clock.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use model::ObjectVersion;
use tokio::time::{Instant, sleep};

use crate::{
    CallCounts, CallKind, Change, Changes, CountedStore, Follower, FollowerTimes, Object,
    ObjectStore, StoreError, StoreResult,
};

/// ScriptedPlatform answer of the platform to one list or watch.
#[derive(Clone)]
enum Answer {
    /// A revision and the versions of the changed objects, from which their paths are derived.
    Changes(u64, &'static [u64]),
    Down,
    HistoryGone,
}

/// Platform that answers from a script, and without changes after its end.
struct ScriptedPlatform {
    script: Mutex<VecDeque<Answer>>,
    /// Revision of each watch, or `None` for a list.
    calls: Mutex<Vec<Option<u64>>>,
    /// Whether a watch without changes waits before it is answered.
    waits: bool,
}

impl ScriptedPlatform {
    fn answer(&self, after: Option<u64>, wait: Duration) -> StoreResult<'_, Changes> {
        self.calls.lock().unwrap().push(after);
        let scripted = self.script.lock().unwrap().pop_front();
        Box::pin(async move {
            let (revision, versions) = match scripted {
                Some(Answer::Down) => return Err(down()),
                Some(Answer::HistoryGone) => {
                    return Err(StoreError::HistoryGone { step: "watch".to_owned() });
                }
                Some(Answer::Changes(revision, versions)) => (revision, versions),
                None => {
                    sleep(if self.waits { wait } else { Duration::ZERO }).await;
                    (after.unwrap_or(0), &[][..])
                }
            };
            let change = |it: &u64| Change {
                path: format!("accepted/{it}"),
                version: ObjectVersion(*it),
                body: Some(Bytes::new()),
            };
            let changes = versions.iter().map(change).collect();
            Ok(Changes { revision: ObjectVersion(revision), changes })
        })
    }
}

fn down() -> StoreError {
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    StoreError::Unavailable { step: "watch".to_owned(), peer, reason: "down".to_owned() }
}

impl ObjectStore for ScriptedPlatform {
    fn read(&self, _path: &str) -> StoreResult<'_, Option<Object>> {
        Box::pin(async { Ok(None) })
    }

    fn update(
        &self,
        _path: &str,
        _expected: ObjectVersion,
        _body: Bytes,
    ) -> StoreResult<'_, ObjectVersion> {
        Box::pin(async { Err(down()) })
    }

    fn list(&self, _prefix: &str) -> StoreResult<'_, Changes> {
        self.answer(None, Duration::ZERO)
    }

    fn watch(
        &self,
        _prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> StoreResult<'_, Changes> {
        self.answer(Some(after.0), wait)
    }
}

fn scripted(script: &[Answer], waits: bool) -> Arc<ScriptedPlatform> {
    let script = Mutex::new(script.iter().cloned().collect());
    Arc::new(ScriptedPlatform { script, calls: Mutex::default(), waits })
}

/// Runs a follower through a script and checks the versions that each call of `next` returns (`None` for an error) and
/// the revisions of its calls.
async fn check(script: &[Answer], expected: &[Option<&[u64]>], calls: &[Option<u64>]) {
    let platform = scripted(script, true);
    let mut follower = Follower::new(platform.clone(), "accepted/", FollowerTimes::default());
    for expected in expected {
        let changes = follower.next().await.ok();
        let versions = changes.map(|it| it.iter().map(|it| it.version.0).collect::<Vec<_>>());
        assert_eq!(versions.as_deref(), *expected);
    }
    assert_eq!(*platform.calls.lock().unwrap(), calls);
}

#[tokio::test(start_paused = true)]
async fn watches_continue_from_the_revision_of_the_first_list() {
    check(
        &[Answer::Changes(7, &[3, 5]), Answer::Changes(9, &[9]), Answer::Changes(12, &[11, 12])],
        &[Some(&[3, 5]), Some(&[9]), Some(&[11, 12])],
        &[None, Some(7), Some(9)],
    )
    .await;
}

#[tokio::test(start_paused = true)]
async fn no_change_is_lost_during_an_outage() {
    check(
        &[
            Answer::Down,
            Answer::Changes(7, &[]),
            Answer::Down,
            Answer::Down,
            Answer::Changes(8, &[8]),
        ],
        &[None, Some(&[]), None, None, Some(&[8])],
        &[None, None, Some(7), None, None],
    )
    .await;
}

/// A watch that begins while the store is silent would fail only after its whole wait time, possibly long after the
/// store is back.
#[tokio::test(start_paused = true)]
async fn no_watch_begins_between_a_failed_call_and_the_next_answer() {
    check(
        &[
            Answer::Changes(7, &[7]),
            Answer::Down,
            Answer::Down,
            Answer::Changes(9, &[7, 9]),
            Answer::Changes(10, &[10]),
        ],
        &[Some(&[7]), None, None, Some(&[9]), Some(&[10])],
        &[None, Some(7), None, None, Some(9)],
    )
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_stale_answer_reverts_nothing() {
    check(
        &[Answer::Changes(7, &[7]), Answer::Changes(5, &[4, 5]), Answer::Changes(8, &[6, 8])],
        &[Some(&[7]), Some(&[8])],
        &[None, Some(7), Some(7)],
    )
    .await;
}

/// The list contains the missed changes; changes that were returned before are not returned again.
#[tokio::test(start_paused = true)]
async fn a_list_after_a_dropped_history_yields_only_missed_changes() {
    check(
        &[Answer::Changes(7, &[3, 7]), Answer::HistoryGone, Answer::Changes(12, &[3, 7, 11])],
        &[Some(&[3, 7]), None, Some(&[11])],
        &[None, Some(7), None],
    )
    .await;
}

/// An object that a later list does not contain was deleted while no watch was open.
#[tokio::test(start_paused = true)]
async fn objects_missing_in_a_later_list_are_yielded_as_deleted() {
    let script = [Answer::Changes(7, &[3, 7]), Answer::HistoryGone, Answer::Changes(12, &[7])];
    let mut follower =
        Follower::new(scripted(&script, true), "accepted/", FollowerTimes::default());
    assert_eq!(follower.next().await.unwrap().len(), 2);
    assert!(follower.next().await.is_err());
    let deleted =
        |path: &str| Change { path: path.to_owned(), version: ObjectVersion(12), body: None };
    assert_eq!(follower.next().await.unwrap(), [deleted("accepted/3")]);
}

/// A list that is older than the last answer does not contain the objects created since.
#[tokio::test(start_paused = true)]
async fn a_stale_list_deletes_nothing() {
    let script = [
        Answer::Changes(7, &[3, 7]),
        Answer::HistoryGone,
        Answer::Changes(5, &[3]),
        Answer::Changes(9, &[9]),
    ];
    let mut follower =
        Follower::new(scripted(&script, true), "accepted/", FollowerTimes::default());
    assert_eq!(follower.next().await.unwrap().len(), 2);
    assert!(follower.next().await.is_err());
    let versions: Vec<u64> = follower.next().await.unwrap().iter().map(|it| it.version.0).collect();
    assert_eq!(versions, [9]);
}

/// Returns the number of calls of a follower per minute to a platform that has no changes after its script.
async fn calls_per_minute(script: &[Answer], waits: bool) -> u64 {
    let counts: Arc<CallCounts> = Arc::default();
    let platform = CountedStore::new(scripted(script, waits), Arc::clone(&counts));
    let mut follower = Follower::new(Arc::new(platform), "accepted/", FollowerTimes::default());
    let end = Instant::now() + Duration::from_secs(60);
    while tokio::time::timeout_at(end, follower.next()).await.is_ok() {}
    assert_eq!(counts.of(CallKind::Read) + counts.of(CallKind::Update), 0);
    counts.of(CallKind::List) + counts.of(CallKind::Watch)
}

#[tokio::test(start_paused = true)]
async fn calls_to_the_platform_are_limited_per_minute() {
    assert_eq!(calls_per_minute(&[], true).await, 4, "expected one list and a watch every 20 s");
    let down = vec![Answer::Down; 1_000];
    // Calls at 0, 0.2, 0.6, 1.4, 3 and 6.2 s, then every 5 s up to 56.2 s.
    assert_eq!(calls_per_minute(&down, true).await, 6 + 10);
    // Watches that are answered immediately are repeated every 0.1 s, from 0 to 60 s.
    assert_eq!(calls_per_minute(&[], false).await, 601);
}
