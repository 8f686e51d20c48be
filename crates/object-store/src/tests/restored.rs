//! A follower of a store that comes back from older copies.

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

/// Long enough for a follower to come back from the longest pause.
const SETTLES: Duration = Duration::from_secs(60);
const PATHS: [&str; 3] = ["ends/a", "ends/b", "ends/c"];

/// What a copy of the store holds: each object as last written or deleted, with its revision.
#[derive(Debug, Clone, Default)]
struct Copy {
    revision: u64,
    objects: BTreeMap<String, (u64, Option<u8>)>,
}

#[derive(Debug, Default)]
struct State {
    era: u64,
    now: Copy,
    copies: Vec<Copy>,
    is_down: bool,
}

/// Loses what came after a copy that it comes back from; revisions are given out again then.
struct Restored {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

impl Restored {
    fn new() -> Restored {
        Restored { state: Mutex::default(), changed: watch::Sender::new(()) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn take(&self, step: u8, value: u8) {
        let mut state = self.state();
        let path = PATHS[usize::from(value) % PATHS.len()];
        match step % 8 {
            0..=2 => state.write(path, Some(value)),
            3 => state.write(path, None),
            4 => {
                let copy = state.now.clone();
                state.copies.push(copy);
            }
            5 => state.is_down = !state.is_down,
            _ if state.copies.is_empty() => {}
            _ => {
                let copy = usize::from(value) % state.copies.len();
                state.now = state.copies[copy].clone();
                state.copies.truncate(copy + 1);
                state.era += 1;
            }
        }
        drop(state);
        self.changed.send_replace(());
    }

    fn objects(&self) -> BTreeMap<String, u8> {
        let state = self.state();
        let present = state.now.objects.iter().filter_map(|(path, it)| Some((path.clone(), it.1?)));
        present.collect()
    }
}

impl State {
    fn write(&mut self, path: &str, body: Option<u8>) {
        self.now.revision += 1;
        let revision = self.now.revision;
        self.now.objects.insert(path.to_owned(), (revision, body));
    }

    fn changes(&self, after: u64) -> Changes {
        let newer = self.now.objects.iter().filter(|it| it.1.0 > after);
        let change = |(path, (revision, body)): (&String, &(u64, Option<u8>))| Change {
            path: path.clone(),
            version: ObjectVersion::of(self.era, *revision),
            body: body.map(|it| Bytes::from(vec![it])),
        };
        Changes {
            revision: ObjectVersion::of(self.era, self.now.revision),
            changes: newer.map(change).collect(),
        }
    }

    fn check(&self) -> Result<(), StoreError> {
        let peer = SocketAddr::from(([127, 0, 0, 1], 1));
        let down = || StoreError::Unavailable { step: "call".into(), peer, reason: "down".into() };
        if self.is_down { Err(down()) } else { Ok(()) }
    }

    /// What a watch is told now; none: it waits.
    fn watched(&self, after: ObjectVersion) -> Option<Result<Changes, StoreError>> {
        match self.check() {
            Err(error) => Some(Err(error)),
            // A client sees to the era, which a store is not asked for.
            Ok(()) if after.revision() > self.now.revision || after.era() != self.era => {
                Some(Err(StoreError::HistoryGone { step: "watch".into() }))
            }
            Ok(()) if self.now.revision > after.revision() => {
                Some(Ok(self.changes(after.revision())))
            }
            Ok(()) => None,
        }
    }
}

impl ObjectStore for Restored {
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
            state.check()?;
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
                if let Some(answer) = self.state().watched(after) {
                    return answer;
                }
                if timeout_at(until, changed.changed()).await.is_err() {
                    return Ok(Changes { revision: after, changes: Vec::new() });
                }
            }
        })
    }
}

/// What a follower of the store takes to be there once the steps are over and it has had time.
async fn followed(store: &Arc<Restored>, steps: &[(u8, u8, u8)]) -> BTreeMap<String, u8> {
    let seen: Arc<Mutex<BTreeMap<String, u8>>> = Arc::default();
    let mut follower = Follower::new(Arc::clone(store) as _, "ends/", FollowerTimes::default());
    let following = async {
        loop {
            for change in follower.next_with_retries("The test").await {
                let mut seen = seen.lock().unwrap();
                match change.body {
                    Some(body) => seen.insert(change.path, body[0]),
                    None => seen.remove(&change.path),
                };
            }
        }
    };
    let stepping = async {
        for (step, value, pause) in steps {
            store.take(*step, *value);
            sleep(Duration::from_millis(u64::from(*pause) * 3)).await;
        }
        store.state().is_down = false;
        sleep(SETTLES).await;
    };
    tokio::select! {
        () = following => {}
        () = stepping => {}
    }
    let seen = seen.lock().unwrap();
    seen.clone()
}

quickcheck! {
    fn a_follower_ends_with_what_is_there(steps: Vec<(u8, u8, u8)>) -> bool {
        let runtime = Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
        let store = Arc::new(Restored::new());
        runtime.block_on(async { followed(&store, &steps).await == store.objects() })
    }
}

#[tokio::test(start_paused = true)]
async fn a_store_that_comes_back_from_an_older_copy_is_followed_at_once() {
    let store = Arc::new(Restored::new());
    let (write, copy, restore) = (0, 4, 7);
    let mut follower = Follower::new(Arc::clone(&store) as _, "ends/", FollowerTimes::default());
    store.take(write, 0);
    store.take(copy, 0);
    follower.next().await.unwrap();
    for _ in 0..50 {
        store.take(write, 0);
    }
    follower.next().await.unwrap();
    store.take(restore, 0);
    store.take(write, 1);
    let found = async {
        while !follower.next_with_retries("The test").await.iter().any(|it| it.path == PATHS[1]) {}
    };
    timeout(SETTLES, found).await.expect("what is written after the copy");
}
