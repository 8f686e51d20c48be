//! The platform as a person at a terminal wants it: short failures are tried again.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use model::ObjectVersion;
use platform::{Changes, HttpPlatform, Object, Platform, PlatformError, Timeouts};
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::failure::Failure;

/// How often a call is made before it is given up.
const ATTEMPTS_MAX: u32 = 4;
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const TIMEOUTS: Timeouts =
    Timeouts { call: Duration::from_secs(2), watch_margin: Duration::from_secs(2) };

/// The platform, with retries.
pub(crate) struct Store {
    platform: HttpPlatform,
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
        let platform = HttpPlatform::new(address, TIMEOUTS)
            .map_err(|error| Failure::Start(error.to_string()))?;
        Ok(Store { platform })
    }

    pub(crate) async fn read(&self, path: &str) -> Result<Option<Object>, Failure> {
        let mut pause = FIRST_PAUSE;
        for _ in 1..ATTEMPTS_MAX {
            match self.platform.read(path).await {
                Err(PlatformError::Unavailable { .. }) => sleep(pause).await,
                other => return Ok(other?),
            }
            pause *= 2;
        }
        Ok(self.platform.read(path).await?)
    }

    pub(crate) async fn list(&self, prefix: &str) -> Result<Changes, Failure> {
        let mut pause = FIRST_PAUSE;
        for _ in 1..ATTEMPTS_MAX {
            match self.platform.list(prefix).await {
                Err(PlatformError::Unavailable { .. }) => sleep(pause).await,
                other => return Ok(other?),
            }
            pause *= 2;
        }
        Ok(self.platform.list(prefix).await?)
    }

    /// One watch; failures are the caller's to wait out.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.platform.watch(prefix, after, wait).await
    }

    /// Updates on condition of the version. Where an answer is lost, the object is read again: it
    /// tells whether the update took effect, and sending the same condition again is harmless.
    pub(crate) async fn update(
        &self,
        path: &str,
        expected: ObjectVersion,
        body: &Bytes,
    ) -> Result<Updated, Failure> {
        let mut pause = FIRST_PAUSE;
        let mut unsure = false;
        for attempt in 1..=ATTEMPTS_MAX {
            match self.platform.update(path, expected, body.clone()).await {
                Ok(version) => return Ok(Updated::Done(version)),
                Err(PlatformError::Conflict { .. }) if unsure => {
                    return self.settle(path, expected, body).await;
                }
                Err(PlatformError::Conflict { .. }) => return Ok(Updated::Conflict),
                Err(PlatformError::Unavailable { .. }) if attempt < ATTEMPTS_MAX => unsure = true,
                Err(error) => return Err(error.into()),
            }
            sleep(pause).await;
            pause *= 2;
        }
        unreachable!("the last attempt returns")
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

/// Reads the body of an object of the system's own.
pub(crate) fn decode<T: DeserializeOwned>(path: &str, body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body)
        .map_err(|error| Failure::BadObject { path: path.to_owned(), reason: error.to_string() })
}
