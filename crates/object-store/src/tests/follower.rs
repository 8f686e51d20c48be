//! A follower against a scripted platform, on a paused clock.

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

/// What the platform says to one list or watch.
#[derive(Clone)]
enum Say {
    /// A revision, and the objects that have changed, each named by its version.
    Changes(u64, &'static [u64]),
    Down,
    HistoryGone,
}

/// Answers from a script, then with nothing new for ever; a watch without news waits.
struct Scripted {
    script: Mutex<VecDeque<Say>>,
    /// The revision of each watch that was asked for; none for a list.
    calls: Mutex<Vec<Option<u64>>>,
    waits: bool,
}

impl Scripted {
    fn answer(&self, after: Option<u64>, wait: Duration) -> StoreResult<'_, Changes> {
        self.calls.lock().unwrap().push(after);
        let say = self.script.lock().unwrap().pop_front();
        Box::pin(async move {
            let (revision, versions) = match say {
                Some(Say::Down) => return Err(down()),
                Some(Say::HistoryGone) => {
                    return Err(StoreError::HistoryGone { step: "watch".to_owned() });
                }
                Some(Say::Changes(revision, versions)) => (revision, versions),
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

impl ObjectStore for Scripted {
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

fn scripted(script: &[Say], waits: bool) -> Arc<Scripted> {
    let script = Mutex::new(script.iter().cloned().collect());
    Arc::new(Scripted { script, calls: Mutex::default(), waits })
}

/// Follows through a script; each expected entry is what one call of `next` yields, and `calls`
/// the revisions that were asked for.
async fn check(script: &[Say], expected: &[Option<&[u64]>], calls: &[Option<u64>]) {
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
async fn a_list_comes_first_and_watches_go_on_from_it() {
    check(
        &[Say::Changes(7, &[3, 5]), Say::Changes(9, &[9]), Say::Changes(12, &[11, 12])],
        &[Some(&[3, 5]), Some(&[9]), Some(&[11, 12])],
        &[None, Some(7), Some(9)],
    )
    .await;
}

#[tokio::test(start_paused = true)]
async fn an_outage_loses_nothing() {
    check(
        &[Say::Down, Say::Changes(7, &[]), Say::Down, Say::Down, Say::Changes(8, &[8])],
        &[None, Some(&[]), None, None, Some(&[8])],
        &[None, None, Some(7), Some(7), Some(7)],
    )
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_stale_answer_moves_nothing_back() {
    check(
        &[Say::Changes(7, &[7]), Say::Changes(5, &[4, 5]), Say::Changes(8, &[6, 8])],
        &[Some(&[7]), Some(&[8])],
        &[None, Some(7), Some(7)],
    )
    .await;
}

/// What was missed is in the list; what was yielded before is not yielded again.
#[tokio::test(start_paused = true)]
async fn a_dropped_history_is_made_up_for_by_a_list() {
    check(
        &[Say::Changes(7, &[3, 7]), Say::HistoryGone, Say::Changes(12, &[3, 7, 11])],
        &[Some(&[3, 7]), None, Some(&[11])],
        &[None, Some(7), None],
    )
    .await;
}

/// A list shows what is there; what is not was deleted while nobody watched.
#[tokio::test(start_paused = true)]
async fn what_is_missing_in_a_later_list_has_been_deleted() {
    let script = [Say::Changes(7, &[3, 7]), Say::HistoryGone, Say::Changes(12, &[7])];
    let mut follower =
        Follower::new(scripted(&script, true), "accepted/", FollowerTimes::default());
    assert_eq!(follower.next().await.unwrap().len(), 2);
    assert!(follower.next().await.is_err());
    let deleted =
        |path: &str| Change { path: path.to_owned(), version: ObjectVersion(12), body: None };
    assert_eq!(follower.next().await.unwrap(), [deleted("accepted/3")]);
}

/// A list that was made before the last answer proves nothing of what came since.
#[tokio::test(start_paused = true)]
async fn a_stale_list_deletes_nothing() {
    let script =
        [Say::Changes(7, &[3, 7]), Say::HistoryGone, Say::Changes(5, &[3]), Say::Changes(9, &[9])];
    let mut follower =
        Follower::new(scripted(&script, true), "accepted/", FollowerTimes::default());
    assert_eq!(follower.next().await.unwrap().len(), 2);
    assert!(follower.next().await.is_err());
    let versions: Vec<u64> = follower.next().await.unwrap().iter().map(|it| it.version.0).collect();
    assert_eq!(versions, [9]);
}

/// The calls of a follower in a minute of a platform that never has news.
async fn calls_a_minute(script: &[Say], waits: bool) -> u64 {
    let counts: Arc<CallCounts> = Arc::default();
    let platform = CountedStore::new(scripted(script, waits), Arc::clone(&counts));
    let mut follower = Follower::new(Arc::new(platform), "accepted/", FollowerTimes::default());
    let end = Instant::now() + Duration::from_secs(60);
    while tokio::time::timeout_at(end, follower.next()).await.is_ok() {}
    assert_eq!(counts.of(CallKind::Read) + counts.of(CallKind::Update), 0);
    counts.of(CallKind::List) + counts.of(CallKind::Watch)
}

#[tokio::test(start_paused = true)]
async fn the_cost_to_the_platform_is_bounded() {
    assert_eq!(calls_a_minute(&[], true).await, 4, "a list, then a watch each 20 s");
    let down = vec![Say::Down; 1_000];
    // At 0, 0.2, 0.6, 1.4, 3 and 6.2 s, then each 5 s up to 56.2 s.
    assert_eq!(calls_a_minute(&down, true).await, 6 + 10);
    // Watches that end at once are not renewed at once: at 0, 0.1 and so on up to 60 s.
    assert_eq!(calls_a_minute(&[], false).await, 601);
}
