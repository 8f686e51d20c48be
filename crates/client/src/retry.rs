//! The platform as a person at a terminal wants it: short failures are tried again.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use model::ObjectVersion;
use object_store::{
    Changes, Follower, FollowerTimes, HttpObjectStore, Object, ObjectStore, StoreError,
    StoreResult, Timeouts,
};
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::failure::Failure;

/// How often a call is made before it is given up.
const ATTEMPTS_MAX: u32 = 4;
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const TIMEOUTS: Timeouts =
    Timeouts { call: Duration::from_secs(2), watch_margin: Duration::from_secs(2) };

const FOLLOWER_TIMES: FollowerTimes = FollowerTimes {
    watch_wait: Duration::from_secs(20),
    call_interval_min: Duration::from_millis(100),
    retry_delay_min: Duration::from_millis(200),
    retry_delay_max: Duration::from_secs(1),
};

/// The platform, with retries.
pub(crate) struct Store {
    platform: Arc<dyn ObjectStore>,
}

/// The end of a conditional update.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Updated {
    Done(ObjectVersion),
    /// Someone else was first.
    Conflict,
}

impl Store {
    pub(crate) fn new(address: SocketAddr) -> Result<Store, Failure> {
        let platform = HttpObjectStore::new(address, TIMEOUTS)
            .map_err(|error| Failure::Start(error.to_string()))?;
        Ok(Store { platform: Arc::new(platform) })
    }

    pub(crate) async fn read(&self, path: &str) -> Result<Option<Object>, Failure> {
        retry(|| self.platform.read(path)).await
    }

    pub(crate) async fn list(&self, prefix: &str) -> Result<Changes, Failure> {
        retry(|| self.platform.list(prefix)).await
    }

    /// Follows what changes under a prefix, from what is there now.
    pub(crate) fn follow(&self, prefix: &str) -> Follower {
        Follower::new(Arc::clone(&self.platform), prefix, FOLLOWER_TIMES)
    }

    /// Updates on condition of the version. Where an answer is lost, the object is read again: it
    /// tells whether the update took effect, and sending the same condition again is harmless.
    pub(crate) async fn update(
        &self,
        path: &str,
        expected: ObjectVersion,
        body: &Bytes,
    ) -> Result<Updated, Failure> {
        let mut pauses = pauses();
        let mut unsure = false;
        loop {
            match self.platform.update(path, expected, body.clone()).await {
                Ok(version) => return Ok(Updated::Done(version)),
                Err(StoreError::Conflict { .. }) if unsure => {
                    return self.settle(path, expected, body).await;
                }
                Err(StoreError::Conflict { .. }) => return Ok(Updated::Conflict),
                Err(error) => wait_out(error, &mut pauses).await?,
            }
            unsure = true;
        }
    }

    /// Tells whether the version that is in the way is that of an earlier attempt.
    async fn settle(
        &self,
        path: &str,
        expected: ObjectVersion,
        body: &Bytes,
    ) -> Result<Updated, Failure> {
        match self.read(path).await? {
            Some(object) if object.version > expected && object.body == *body => {
                Ok(Updated::Done(object.version))
            }
            _ => Ok(Updated::Conflict),
        }
    }
}

/// The pauses between the attempts of one call.
fn pauses() -> impl Iterator<Item = Duration> {
    (0..ATTEMPTS_MAX - 1).map(|it| FIRST_PAUSE * 2_u32.pow(it))
}

/// Pauses after a failure that may pass; fails with it if it may not, or if it was the last.
async fn wait_out(
    error: StoreError,
    pauses: &mut impl Iterator<Item = Duration>,
) -> Result<(), Failure> {
    let StoreError::Unavailable { .. } = error else { return Err(error.into()) };
    let Some(pause) = pauses.next() else { return Err(error.into()) };
    sleep(pause).await;
    Ok(())
}

async fn retry<'a, T>(call: impl Fn() -> StoreResult<'a, T>) -> Result<T, Failure> {
    let mut pauses = pauses();
    loop {
        match call().await {
            Ok(value) => return Ok(value),
            Err(error) => wait_out(error, &mut pauses).await?,
        }
    }
}

/// Reads the body of an object of the system's own.
pub(crate) fn decode<T: DeserializeOwned>(path: &str, body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body)
        .map_err(|error| Failure::BadObject { path: path.to_owned(), reason: error.to_string() })
}
