//! Tests of watches that check whether the store answers, on a paused clock.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use model::ObjectVersion;
use tokio::time::{Instant, sleep};

use crate::{Changes, Object, ObjectStore, StoreError, StoreResult, watch_with_check};

const WAIT: Duration = Duration::from_secs(18);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Store that never answers the watches that begin in its silence, and answers other calls after it.
struct SilentStore {
    silent_from: Instant,
    silent_for: Duration,
}

impl SilentStore {
    fn is_silent(&self) -> bool {
        (self.silent_from..self.silent_from + self.silent_for).contains(&Instant::now())
    }
}

fn unavailable() -> StoreError {
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    StoreError::Unavailable { step: "call".to_owned(), peer, reason: "silent".to_owned() }
}

impl ObjectStore for SilentStore {
    fn read(&self, _path: &str) -> StoreResult<'_, Option<Object>> {
        Box::pin(async {
            if self.is_silent() {
                sleep(CALL_TIMEOUT).await;
                return Err(unavailable());
            }
            Ok(None)
        })
    }

    fn update(
        &self,
        _path: &str,
        _expected: ObjectVersion,
        _body: Bytes,
    ) -> StoreResult<'_, ObjectVersion> {
        Box::pin(async { Err(unavailable()) })
    }

    fn list(&self, _prefix: &str) -> StoreResult<'_, Changes> {
        Box::pin(async { Err(unavailable()) })
    }

    fn watch(
        &self,
        _prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> StoreResult<'_, Changes> {
        let is_lost = self.is_silent();
        Box::pin(async move {
            sleep(wait).await;
            match is_lost {
                true => Err(unavailable()),
                false => Ok(Changes { revision: after, changes: Vec::new() }),
            }
        })
    }
}

/// Watches a store that is silent from `delay` on, and returns whether the watch succeeds and how long it takes.
async fn watch(delay: Duration, silent_for: Duration) -> (bool, Duration) {
    let start = Instant::now();
    let store = SilentStore { silent_from: start + delay, silent_for };
    let result = watch_with_check(&store, "config", ObjectVersion(7), WAIT).await;
    (result.is_ok(), start.elapsed())
}

/// Guards against a watch that is waited for in full although the store has been silent since it began.
#[tokio::test(start_paused = true)]
async fn a_watch_that_begins_as_the_store_falls_silent_ends_within_the_time_limit_of_a_call() {
    let (is_ok, took) = watch(Duration::ZERO, Duration::from_secs(8)).await;
    assert!(!is_ok);
    assert!(took <= Duration::from_secs(2), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_watch_of_a_store_that_answers_waits_to_its_end() {
    assert_eq!(watch(Duration::ZERO, Duration::ZERO).await, (true, WAIT));
    assert_eq!(watch(Duration::from_secs(5), Duration::from_secs(8)).await, (true, WAIT));
}
