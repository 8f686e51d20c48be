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
        outbox::{QueuedFrame, Senders, TrafficOutbox, channel},
    },
    request::{GateReply, GateRequest, ReplyWithLoad},
};

/// How much earlier than the asking side the gate gives up, so that its word arrives in time: it
/// knows whether the request has run, the asking side does not.
const DEADLINE_MARGIN: Duration = Duration::from_millis(60);
/// The part of a short deadline that this may take up.
const DEADLINE_MARGIN_DIVISOR: u32 = 20;
/// How long a peer may take to take over records.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Who waits for a message with this correlation id.
#[derive(Debug)]
pub(super) enum PendingReply {
    Reply(oneshot::Sender<ReplyWithLoad>),
    HandoverResult(oneshot::Sender<bool>),
}

/// One established link.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) peer: Instance,
    senders: Senders,
    pending: Mutex<HashMap<CorrelationId, PendingReply>>,
    /// Becomes true when the link has ended.
    closed_sender: watch::Sender<bool>,
    /// Makes the peer show that it is still there.
    ping_request: Notify,
}

/// The link has ended, or ended before the message was queued.
#[derive(Debug)]
pub(super) struct LinkClosed;

impl Link {
    pub(super) fn new(peer: Instance) -> (Arc<Link>, TrafficOutbox) {
        let (senders, outbox) = channel();
        let (closed_sender, _) = watch::channel(false);
        let ping_request = Notify::new();
        let link = Link { peer, senders, pending: Mutex::default(), closed_sender, ping_request };
        (Arc::new(link), outbox)
    }

    pub(super) fn ping_request(&self) -> &Notify {
        &self.ping_request
    }

    pub(super) fn is_closed(&self) -> bool {
        *self.closed_sender.borrow()
    }

    /// Fails everything that waits for an answer on this link.
    pub(super) fn close(&self) {
        self.closed_sender.send_replace(true);
        self.pending().clear();
    }

    fn pending(&self) -> MutexGuard<'_, HashMap<CorrelationId, PendingReply>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes out who waits for a message; nobody, if it is late, doubled or made up.
    pub(super) fn take_pending(&self, id: CorrelationId) -> Option<PendingReply> {
        self.pending().remove(&id)
    }

    /// Sends a request, once, and waits for its answer.
    pub(super) async fn send_request(self: &Arc<Link>, request: &GateRequest) -> ReplyWithLoad {
        let id = CorrelationId(rand::random());
        let (sender, receiver) = oneshot::channel();
        let mut guard = PendingGuard::new(Arc::clone(self), id, PendingReply::Reply(sender));
        let written = Arc::clone(&guard.written);
        let first_len = first_len(&request.body);
        let mut head = request.to_wire(id, first_len);
        let margin = DEADLINE_MARGIN.min(request.remaining / DEADLINE_MARGIN_DIVISOR);
        head.remaining_us -= u64::try_from(margin.as_micros()).unwrap_or(0);
        let head = Frame::Request(Box::new(head));
        let exchange = async {
            self.send(head, id, &request.body, first_len, Some(Arc::clone(&written))).await.ok()?;
            receiver.await.ok()
        };
        let result = timeout(request.remaining, exchange).await;
        let may_have_run = written.load(Ordering::SeqCst);
        match result {
            Ok(Some(reply)) => {
                guard.is_done = true;
                reply
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
        let mut guard =
            PendingGuard::new(Arc::clone(self), id, PendingReply::HandoverResult(sender));
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
        guard.is_done = taken.is_some();
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
    ) -> Result<(), LinkClosed> {
        let head = QueuedFrame::new(&head, written);
        if first_len == body.len() {
            return self.senders.small.send(head).await.map_err(|_| LinkClosed);
        }
        self.senders.large.send(head).await.map_err(|_| LinkClosed)?;
        for chunk in chunks(id, body, first_len) {
            let part = QueuedFrame::new(&chunk, None);
            self.senders.large.send(part).await.map_err(|_| LinkClosed)?;
        }
        Ok(())
    }

    /// Queues a message without a body.
    pub(super) async fn send_small(&self, frame: &Frame) -> Result<(), LinkClosed> {
        let queued = QueuedFrame::new(frame, None);
        self.senders.small.send(queued).await.map_err(|_| LinkClosed)
    }
}

/// How much of a body goes into the head frame.
pub(super) fn first_len(body: &Bytes) -> usize {
    body.len().min(CHUNK_BYTES_MAX)
}

/// A place in the table of those who wait. Dropped undone, it cancels the request at the peer.
struct PendingGuard {
    link: Arc<Link>,
    id: CorrelationId,
    written: Arc<AtomicBool>,
    is_done: bool,
}

impl PendingGuard {
    fn new(link: Arc<Link>, id: CorrelationId, pending: PendingReply) -> PendingGuard {
        {
            let mut table = link.pending();
            // Checked under the lock: `end` clears the table after setting it.
            if !link.is_closed() {
                table.insert(id, pending);
            }
        }
        PendingGuard { link, id, written: Arc::default(), is_done: false }
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        self.link.take_pending(self.id);
        let cancel = QueuedFrame::new(&Frame::Cancel(self.id), None);
        // If the queue is full the peer's own deadline ends the request.
        drop(self.link.senders.small.try_send(cancel));
    }
}
