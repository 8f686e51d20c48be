//! One link: requests that wait for their answer, and the sending of messages.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use model::{Instance, NotRunReason, UnknownReason};
use tokio::{
    sync::{Notify, oneshot, watch},
    time::timeout,
};
use wire::traffic::{CHUNK_BYTES_MAX, CorrelationId, Frame, Records};

use crate::{
    links::traffic::{
        assembly::{Handover, chunks},
        outbox::{Outgoing, Senders, TrafficOutbox, channel},
    },
    request::{GateReply, GateRequest, ReplyWithLoad},
};

/// How much earlier than the asking side the gate gives up, so that its word arrives in time: it
/// knows whether the request has run, the asking side does not.
const DEADLINE_SLACK: Duration = Duration::from_millis(60);
/// The part of a short deadline that this may take up.
const DEADLINE_SLACK_PART: u32 = 20;
/// How long a peer may take to take over records.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Who waits for a message with this correlation id.
#[derive(Debug)]
pub(super) enum Waiting {
    Reply(oneshot::Sender<ReplyWithLoad>),
    Taken(oneshot::Sender<bool>),
}

/// One established link.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) peer: Instance,
    senders: Senders,
    waiting: Mutex<HashMap<CorrelationId, Waiting>>,
    /// Becomes true when the link has ended.
    down: watch::Sender<bool>,
    /// Makes the peer show that it is still there.
    doubt: Notify,
}

/// The link has ended, or ended before the message was queued.
#[derive(Debug)]
pub(super) struct Down;

impl Link {
    pub(super) fn new(peer: Instance) -> (Arc<Link>, TrafficOutbox) {
        let (senders, outbox) = channel();
        let (down, _) = watch::channel(false);
        let doubt = Notify::new();
        let link = Link { peer, senders, waiting: Mutex::default(), down, doubt };
        (Arc::new(link), outbox)
    }

    pub(super) fn doubt(&self) -> &Notify {
        &self.doubt
    }

    pub(super) fn is_down(&self) -> bool {
        *self.down.borrow()
    }

    /// Fails everything that waits for an answer on this link.
    pub(super) fn end(&self) {
        self.down.send_replace(true);
        self.waiting().clear();
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<CorrelationId, Waiting>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes out who waits for a message; nobody, if it is late, doubled or made up.
    pub(super) fn take(&self, id: CorrelationId) -> Option<Waiting> {
        self.waiting().remove(&id)
    }

    /// Sends a request, once, and waits for its answer.
    pub(super) async fn send_request(self: &Arc<Link>, request: &GateRequest) -> ReplyWithLoad {
        let id = CorrelationId(rand::random());
        let (sender, receiver) = oneshot::channel();
        let mut pending = Pending::new(Arc::clone(self), id, Waiting::Reply(sender));
        let written = Arc::clone(&pending.written);
        let first_len = first_len(&request.body);
        let mut head = request.to_wire(id, first_len);
        let slack = DEADLINE_SLACK.min(request.remaining / DEADLINE_SLACK_PART);
        head.remaining_us -= u64::try_from(slack.as_micros()).unwrap_or(0);
        let head = Frame::Request(Box::new(head));
        let exchange = async {
            self.send(head, id, &request.body, first_len, Some(Arc::clone(&written))).await.ok()?;
            receiver.await.ok()
        };
        let result = timeout(request.remaining, exchange).await;
        let may_have_run = written.load(Ordering::SeqCst);
        match result {
            Ok(Some(replied)) => {
                pending.done = true;
                replied
            }
            Ok(None) if may_have_run => GateReply::unknown(UnknownReason::ConnectionLost).into(),
            Ok(None) => GateReply::not_run(NotRunReason::Unreachable).into(),
            Err(_) if may_have_run => GateReply::unknown(UnknownReason::DeadlineExceeded).into(),
            Err(_) => GateReply::not_run(NotRunReason::DeadlineExceeded).into(),
        }
    }

    pub(super) async fn hand_over(self: &Arc<Link>, handover: &Handover) -> bool {
        let id = CorrelationId(rand::random());
        let (sender, receiver) = oneshot::channel();
        let mut pending = Pending::new(Arc::clone(self), id, Waiting::Taken(sender));
        let first_len = first_len(&handover.records);
        let head = Frame::Records(Records {
            id,
            service: handover.service.clone(),
            unit: handover.unit,
            token: handover.token,
            body_len: handover.records.len() as u64,
            body: handover.records.slice(..first_len),
        });
        let exchange = async {
            self.send(head, id, &handover.records, first_len, None).await.ok()?;
            receiver.await.ok()
        };
        let taken = timeout(HANDOVER_TIMEOUT, exchange).await.ok().flatten();
        pending.done = taken.is_some();
        taken == Some(true)
    }

    /// Queues a whole message: its head, then the rest of its body.
    pub(super) async fn send(
        &self,
        head: Frame,
        id: CorrelationId,
        body: &Bytes,
        first_len: usize,
        written: Option<Arc<AtomicBool>>,
    ) -> Result<(), Down> {
        let head = Outgoing::new(&head, written);
        if first_len == body.len() {
            return self.senders.small.send(head).await.map_err(|_| Down);
        }
        self.senders.large.send(head).await.map_err(|_| Down)?;
        for chunk in chunks(id, body, first_len) {
            let part = Outgoing::new(&chunk, None);
            self.senders.large.send(part).await.map_err(|_| Down)?;
        }
        Ok(())
    }

    /// Queues a message without a body.
    pub(super) async fn send_small(&self, frame: &Frame) -> Result<(), Down> {
        let outgoing = Outgoing::new(frame, None);
        self.senders.small.send(outgoing).await.map_err(|_| Down)
    }
}

/// How much of a body goes into the head frame.
pub(super) fn first_len(body: &Bytes) -> usize {
    body.len().min(CHUNK_BYTES_MAX)
}

/// A place in the table of those who wait. Dropped undone, it cancels the request at the peer.
struct Pending {
    link: Arc<Link>,
    id: CorrelationId,
    written: Arc<AtomicBool>,
    done: bool,
}

impl Pending {
    fn new(link: Arc<Link>, id: CorrelationId, waiting: Waiting) -> Pending {
        {
            let mut table = link.waiting();
            // Checked under the lock: `end` clears the table after setting it.
            if !link.is_down() {
                table.insert(id, waiting);
            }
        }
        Pending { link, id, written: Arc::default(), done: false }
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        self.link.take(self.id);
        let cancel = Outgoing::new(&Frame::Cancel(self.id), None);
        // If the queue is full the peer's own deadline ends the request.
        drop(self.link.senders.small.try_send(cancel));
    }
}
