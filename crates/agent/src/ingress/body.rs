//! Reads the bodies of requests within the process's budget.

use std::{pin::Pin, time::Duration};

use body_budget::{BodyBudget, BodyKind, BudgetExceeded, CollectError, collect};
use bytes::Bytes;
use http::{HeaderMap, header::EXPECT};
use http_body_util::BodyExt;
use model::NotRunReason;
use rand::RngExt;
use tokio::time::timeout;
use volo_http::body::Body;

use crate::{forward::FinalReply, ingress::Refusal, request::GateReply};

/// Shortest retry-after time, before jitter, of a request for whose body there is no room: about as long as the requests
/// that hold the room take.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);
/// Longest time for which the rest of a refused body is read and discarded. Closing the connection with unread bytes
/// would reset it, and the caller could lose the response.
const DISCARD_TIME_MAX: Duration = Duration::from_secs(30);

/// The reason for which a request's body was not read.
#[derive(Debug)]
pub(super) enum BodyFailure {
    Refused(Refusal),
    NoRoom(BudgetExceeded),
    /// The caller had not sent the body by the request's deadline.
    TooLate,
}

impl BodyFailure {
    /// Returns the reply to the caller: the request is valid, but was not run.
    pub(super) fn into_reply(self) -> Result<FinalReply, Refusal> {
        match self {
            BodyFailure::Refused(refusal) => Err(refusal),
            // Not a 4xx status: the limits for callers allow the body. A retry at this process is in vain.
            BodyFailure::NoRoom(BudgetExceeded { is_permanent: true, .. }) => {
                let reply = GateReply::not_run(NotRunReason::Overloaded);
                Ok(FinalReply::without_retry_after(reply))
            }
            BodyFailure::NoRoom(_) => {
                let reply = GateReply::not_run(NotRunReason::Overloaded);
                Ok(FinalReply { reply, retry_after: Some(retry_after()) })
            }
            BodyFailure::TooLate => {
                let reply = GateReply::not_run(NotRunReason::DeadlineExceeded);
                Ok(FinalReply::without_retry_after(reply))
            }
        }
    }
}

impl From<CollectError> for BodyFailure {
    fn from(error: CollectError) -> BodyFailure {
        match error {
            CollectError::TooLarge { bytes_max } => {
                BodyFailure::Refused(Refusal::BodyTooLarge { bytes_max })
            }
            CollectError::NoRoom(exceeded) => BodyFailure::NoRoom(exceeded),
            CollectError::Broken(_) => BodyFailure::Refused(Refusal::BodyBroken),
        }
    }
}

/// Returns the time after which a request may be sent again for whose body there was no room.
pub(crate) fn retry_after() -> Duration {
    rand::rng().random_range(RETRY_AFTER_MIN..=RETRY_AFTER_MIN * 2)
}

/// How the body of a request is read.
pub(super) struct BodyReader<'a> {
    pub(super) headers: &'a HeaderMap,
    pub(super) bytes_max: usize,
    /// Time within which the caller has to send the body.
    pub(super) time_max: Duration,
    pub(super) budget: &'a BodyBudget,
}

impl BodyReader<'_> {
    /// Reads a body. If it is not accepted, the rest of it is discarded meanwhile.
    pub(super) async fn read(&self, body: Body) -> Result<Bytes, BodyFailure> {
        let mut body = Box::pin(body);
        let reading = collect(body.as_mut(), self.bytes_max, self.budget, BodyKind::Request);
        let failure = match timeout(self.time_max, reading).await {
            Ok(Ok(bytes)) => return Ok(bytes),
            Ok(Err(error)) => error.into(),
            Err(_) => BodyFailure::TooLate,
        };
        // A caller that expects to be told to continue sends no body after a refusal.
        let is_broken = matches!(failure, BodyFailure::Refused(Refusal::BodyBroken));
        if !is_broken && !self.headers.contains_key(EXPECT) {
            tokio::spawn(discard(body, self.bytes_max));
        }
        Err(failure)
    }
}

/// Reads up to `bytes_max` bytes of a body without keeping them.
async fn discard(mut body: Pin<Box<Body>>, bytes_max: usize) {
    let discarding = async {
        let mut left = bytes_max;
        while let Some(Ok(frame)) = body.frame().await {
            left = match left.checked_sub(frame.data_ref().map_or(0, Bytes::len)) {
                Some(left) => left,
                None => return,
            };
        }
    };
    // After a timeout, the connection is closed.
    _ = timeout(DISCARD_TIME_MAX, discarding).await;
}
