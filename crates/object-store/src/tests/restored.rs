//! Tests of a follower of a store that is rolled back to older snapshots.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use model::ObjectVersion;
use quickcheck::quickcheck;
use tokio::{
    runtime::Builder,
    sync::watch,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    Change, Changes, Follower, FollowerTimes, Object, ObjectStore, StoreError, StoreResult,
};

/// Time in which a follower recovers even from its longest retry delay.
const SETTLE_TIME: Duration = Duration::from_secs(60);
const PATHS: [&str; 3] = ["ends/a", "ends/b", "ends/c"];

/// Contents of the store at one time.
#[derive(Debug, Clone, Default)]
struct Snapshot {
    revision: u64,
    /// Revision and body of each object; a deleted object has no body.
    objects: BTreeMap<String, (u64, Option<u8>)>,
}

#[derive(Debug, Default)]
struct State {
    era: u64,
    current: Snapshot,
    snapshots: Vec<Snapshot>,
    is_down: bool,
}

/// Store that can be rolled back to a snapshot: it loses the later changes and assigns their revisions again.
struct RolledBackStore {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

impl RolledBackStore {
    fn new() -> RolledBackStore {
        RolledBackStore { state: Mutex::default(), changed: watch::Sender::new(()) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Executes a step: a write, a deletion, a snapshot, an outage or its end, or a rollback.
    fn execute(&self, step: u8, value: u8) {
        let mut state = self.state();
        let path = PATHS[usize::from(value) % PATHS.len()];
        match step % 8 {
            0..=2 => state.write(path, Some(value)),
            3 => state.write(path, None),
            4 => {
                let snapshot = state.current.clone();
                state.snapshots.push(snapshot);
            }
            5 => state.is_down = !state.is_down,
            _ if state.snapshots.is_empty() => {}
            _ => {
                let index = usize::from(value) % state.snapshots.len();
                state.current = state.snapshots[index].clone();
                state.snapshots.truncate(index + 1);
                state.era += 1;
            }
        }
        drop(state);
        self.changed.send_replace(());
    }

    fn objects(&self) -> BTreeMap<String, u8> {
        let state = self.state();
        let present =
            state.current.objects.iter().filter_map(|(path, it)| Some((path.clone(), it.1?)));
        present.collect()
    }
}

impl State {
    fn write(&mut self, path: &str, body: Option<u8>) {
        self.current.revision += 1;
        let revision = self.current.revision;
        self.current.objects.insert(path.to_owned(), (revision, body));
    }

    fn changes(&self, after: u64) -> Changes {
        let newer = self.current.objects.iter().filter(|it| it.1.0 > after);
        let change = |(path, (revision, body)): (&String, &(u64, Option<u8>))| Change {
            path: path.clone(),
            version: ObjectVersion::of(self.era, *revision),
            body: body.map(|it| Bytes::from(vec![it])),
        };
        Changes {
            revision: ObjectVersion::of(self.era, self.current.revision),
            changes: newer.map(change).collect(),
        }
    }

    fn check_available(&self) -> Result<(), StoreError> {
        let peer = SocketAddr::from(([127, 0, 0, 1], 1));
        let down = || StoreError::Unavailable { step: "call".into(), peer, reason: "down".into() };
        if self.is_down { Err(down()) } else { Ok(()) }
    }

    /// Returns the current answer to a watch, or `None` if the watch has to wait.
    fn watch_answer(&self, after: ObjectVersion) -> Option<Result<Changes, StoreError>> {
        match self.check_available() {
            Err(error) => Some(Err(error)),
            // The era is not part of a watch call, so the client checks it.
            Ok(()) if after.revision() > self.current.revision || after.era() != self.era => {
                Some(Err(StoreError::HistoryGone { step: "watch".into() }))
            }
            Ok(()) if self.current.revision > after.revision() => {
                Some(Ok(self.changes(after.revision())))
            }
            Ok(()) => None,
        }
    }
}

impl ObjectStore for RolledBackStore {
    fn read(&self, _path: &str) -> StoreResult<'_, Option<Object>> {
        Box::pin(async { Ok(None) })
    }

    fn update(&self, _: &str, expected: ObjectVersion, _: Bytes) -> StoreResult<'_, ObjectVersion> {
        Box::pin(async move { Ok(expected) })
    }

    fn list(&self, _prefix: &str) -> StoreResult<'_, Changes> {
        Box::pin(async {
            sleep(Duration::from_millis(4)).await;
            let state = self.state();
            state.check_available()?;
            let mut changes = state.changes(0);
            changes.changes.retain(|it| it.body.is_some());
            Ok(changes)
        })
    }

    fn watch(&self, _: &str, after: ObjectVersion, wait: Duration) -> StoreResult<'_, Changes> {
        Box::pin(async move {
            sleep(Duration::from_millis(4)).await;
            let mut changed = self.changed.subscribe();
            let until = Instant::now() + wait;
            loop {
                if let Some(answer) = self.state().watch_answer(after) {
                    return answer;
                }
                if timeout_at(until, changed.changed()).await.is_err() {
                    return Ok(Changes { revision: after, changes: Vec::new() });
                }
            }
        })
    }
}

/// Executes the steps and returns the objects that exist according to a follower, after the time to settle.
async fn follow_through(
    store: &Arc<RolledBackStore>,
    steps: &[(u8, u8, u8)],
) -> BTreeMap<String, u8> {
    let objects: Arc<Mutex<BTreeMap<String, u8>>> = Arc::default();
    let mut follower = Follower::new(Arc::clone(store) as _, "ends/", FollowerTimes::default());
    let following = async {
        loop {
            for change in follower.next_with_retries("The test").await {
                let mut objects = objects.lock().unwrap();
                match change.body {
                    Some(body) => objects.insert(change.path, body[0]),
                    None => objects.remove(&change.path),
                };
            }
        }
    };
    let stepping = async {
        for (step, value, pause) in steps {
            store.execute(*step, *value);
            sleep(Duration::from_millis(u64::from(*pause) * 3)).await;
        }
        store.state().is_down = false;
        sleep(SETTLE_TIME).await;
    };
    tokio::select! {
        () = following => {}
        () = stepping => {}
    }
    let objects = objects.lock().unwrap();
    objects.clone()
}

quickcheck! {
    fn a_follower_converges_to_the_objects_of_the_store(steps: Vec<(u8, u8, u8)>) -> bool {
        let runtime = Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
        let store = Arc::new(RolledBackStore::new());
        runtime.block_on(async { follow_through(&store, &steps).await == store.objects() })
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_after_a_rollback_is_yielded() {
    let store = Arc::new(RolledBackStore::new());
    let (write, take_snapshot, roll_back) = (0, 4, 7);
    let mut follower = Follower::new(Arc::clone(&store) as _, "ends/", FollowerTimes::default());
    store.execute(write, 0);
    store.execute(take_snapshot, 0);
    follower.next().await.unwrap();
    for _ in 0..50 {
        store.execute(write, 0);
    }
    follower.next().await.unwrap();
    store.execute(roll_back, 0);
    store.execute(write, 1);
    let found = async {
        while !follower.next_with_retries("The test").await.iter().any(|it| it.path == PATHS[1]) {}
    };
    timeout(SETTLE_TIME, found).await.expect("the object written after the rollback is yielded");
}
