//! Runs the requests received from a peer.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use model::Outcome;
use tokio::task::AbortHandle;
use wire::traffic::{Answer, CorrelationId, Failed, FailureReason, Frame, GateLoad, NotOwner};

use crate::{
    links::traffic::{
        ReplyFuture,
        link::{Link, first_len},
        outbox::QueuedFrame,
    },
    request::{GateReply, ReplyWithLoad, headers_to_wire},
};

/// The tasks of one link's running requests.
#[derive(Debug, Default)]
pub(super) struct RunningRequests(Mutex<HashMap<CorrelationId, AbortHandle>>);

impl RunningRequests {
    fn tasks(&self) -> MutexGuard<'_, HashMap<CorrelationId, AbortHandle>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Spawns a task that runs a request and sends its reply. Cancelling the request aborts the task.
    pub(super) fn start(
        self: &Arc<RunningRequests>,
        link: &Arc<Link>,
        id: CorrelationId,
        reply_future: ReplyFuture,
    ) {
        let (running, link) = (Arc::clone(self), Arc::clone(link));
        let mut tasks = self.tasks();
        let task = tokio::spawn(async move {
            let ReplyWithLoad { reply, load } = reply_future.await;
            send(&link, id, reply, load).await;
            running.tasks().remove(&id);
        });
        tasks.insert(id, task.abort_handle());
    }

    pub(super) fn cancel(&self, id: CorrelationId) {
        if let Some(task) = self.tasks().remove(&id) {
            task.abort();
        }
    }
}

impl Drop for RunningRequests {
    fn drop(&mut self) {
        for task in self.tasks().values() {
            task.abort();
        }
    }
}

async fn send(link: &Link, id: CorrelationId, reply: GateReply, load: Option<GateLoad>) {
    let (head, body) = match reply {
        GateReply::Answered(answer) => {
            let head = Frame::Answer(Answer {
                id,
                load,
                status: answer.status.as_u16(),
                headers: headers_to_wire(&answer.headers),
                body_len: answer.body.len() as u64,
                body: answer.body.slice(..first_len(&answer.body)),
            });
            (head, answer.body)
        }
        GateReply::Failed { outcome, retry_after } => {
            let reason = match outcome {
                Outcome::NotRun(reason) => FailureReason::NotRun(reason),
                Outcome::Unknown(reason) => FailureReason::Unknown(reason),
                Outcome::Answered => unreachable!("an answered request has the reply `Answered`"),
            };
            let retry_after_ms =
                retry_after.map(|it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX));
            (Frame::Failed(Failed { id, reason, retry_after_ms, load }), Bytes::new())
        }
        GateReply::NotOwner { owner, route_version } => {
            (Frame::NotOwner(NotOwner { id, owner, route_version }), Bytes::new())
        }
    };
    // If the link is closed, the peer fails the request by itself.
    drop(link.send(QueuedFrame::new(&head), id, &body, first_len(&body)).await);
}
