//! The platform's object store with retries, so that a short outage doesn't fail a command.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use model::ObjectVersion;
use object_store::{
    Changes, Follower, FollowerTimes, HttpObjectStore, Object, ObjectStore, StoreError,
    StoreResult, Timeouts,
};
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::error::CommandError;

/// Number of attempts for each call, the first one included.
const ATTEMPTS_MAX: u32 = 4;
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);
const TIMEOUTS: Timeouts =
    Timeouts { call: Duration::from_secs(2), watch_margin: Duration::from_secs(2) };

const FOLLOWER_TIMES: FollowerTimes = FollowerTimes {
    watch_wait: Duration::from_secs(20),
    call_interval_min: Duration::from_millis(100),
    retry_delay_min: Duration::from_millis(200),
    retry_delay_max: Duration::from_secs(1),
};

/// The platform's object store. Its calls are retried while the platform is unavailable.
pub(crate) struct RetryingStore {
    platform: Arc<dyn ObjectStore>,
}

/// Result of a conditional update.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum UpdateResult {
    Written(ObjectVersion),
    /// The object has another version than expected.
    Conflict,
}

impl RetryingStore {
    pub(crate) fn new(address: SocketAddr) -> Result<RetryingStore, CommandError> {
        let platform = HttpObjectStore::new(address, TIMEOUTS)
            .map_err(|error| CommandError::Startup(error.to_string()))?;
        Ok(RetryingStore { platform: Arc::new(platform) })
    }

    pub(crate) async fn read(&self, path: &str) -> Result<Option<Object>, CommandError> {
        retry(|| self.platform.read(path)).await
    }

    pub(crate) async fn list(&self, prefix: &str) -> Result<Changes, CommandError> {
        retry(|| self.platform.list(prefix)).await
    }

    /// Follows changes under a prefix, starting with the current objects.
    pub(crate) fn follow(&self, prefix: &str) -> Follower {
        Follower::new(Arc::clone(&self.platform), prefix, FOLLOWER_TIMES)
    }

    /// Updates an object if it has the expected version. A retry after a lost answer is safe: it sends the same
    /// condition, and on a conflict the object is read to find out whether an earlier attempt was applied.
    pub(crate) async fn update(
        &self,
        path: &str,
        expected: ObjectVersion,
        body: &Bytes,
    ) -> Result<UpdateResult, CommandError> {
        let mut retry_delays = retry_delays();
        let mut may_be_written = false;
        loop {
            match self.platform.update(path, expected, body.clone()).await {
                Ok(version) => return Ok(UpdateResult::Written(version)),
                Err(StoreError::Conflict { .. }) if may_be_written => {
                    return self.resolve_conflict(path, expected, body).await;
                }
                Err(StoreError::Conflict { .. }) => return Ok(UpdateResult::Conflict),
                Err(error) => pause_or_fail(error, &mut retry_delays).await?,
            }
            may_be_written = true;
        }
    }

    /// Returns `Written` if the conflicting version was written by an earlier attempt of the same update.
    async fn resolve_conflict(
        &self,
        path: &str,
        expected: ObjectVersion,
        body: &Bytes,
    ) -> Result<UpdateResult, CommandError> {
        match self.read(path).await? {
            Some(object) if object.version > expected && object.body == *body => {
                Ok(UpdateResult::Written(object.version))
            }
            _ => Ok(UpdateResult::Conflict),
        }
    }
}

/// Returns the delays between the attempts of one call, doubled each time.
fn retry_delays() -> impl Iterator<Item = Duration> {
    (0..ATTEMPTS_MAX - 1).map(|it| FIRST_RETRY_DELAY * 2_u32.pow(it))
}

/// Sleeps before the next attempt. Returns the error if it is permanent or no attempts are left.
async fn pause_or_fail(
    error: StoreError,
    retry_delays: &mut impl Iterator<Item = Duration>,
) -> Result<(), CommandError> {
    let StoreError::Unavailable { .. } = error else { return Err(error.into()) };
    let Some(pause) = retry_delays.next() else { return Err(error.into()) };
    sleep(pause).await;
    Ok(())
}

async fn retry<'a, T>(call: impl Fn() -> StoreResult<'a, T>) -> Result<T, CommandError> {
    let mut retry_delays = retry_delays();
    loop {
        match call().await {
            Ok(value) => return Ok(value),
            Err(error) => pause_or_fail(error, &mut retry_delays).await?,
        }
    }
}

/// Decodes the body of an object that an agent wrote.
pub(crate) fn decode<T: DeserializeOwned>(path: &str, body: &[u8]) -> Result<T, CommandError> {
    serde_json::from_slice(body).map_err(|error| CommandError::InvalidObject {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}
