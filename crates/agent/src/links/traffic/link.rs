//! One link: the requests that await a reply, and the sending of messages.

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

/// Time by which the deadline at the gate is earlier than at the sender, so that the gate's reply arrives in
/// time: only the gate can determine whether the request was run.
const DEADLINE_MARGIN: Duration = Duration::from_millis(60);
/// Divisor of the remaining time that bounds the margin for short deadlines.
const DEADLINE_MARGIN_DIVISOR: u32 = 20;
/// Time within which a peer must import the records of a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// The channel to the task that awaits a reply.
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
    /// Set to true when the link is closed.
    closed_sender: watch::Sender<bool>,
    /// Makes the link send a ping.
    ping_request: Notify,
}

/// The link was closed before the message was queued.
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

    /// Marks the link as closed and fails all requests that await a reply on it.
    pub(super) fn close(&self) {
        self.closed_sender.send_replace(true);
        self.pending().clear();
    }

    fn pending(&self) -> MutexGuard<'_, HashMap<CorrelationId, PendingReply>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes and returns the entry for a reply. Returns `None` if the reply is late, duplicate or made up.
    pub(super) fn take_pending(&self, id: CorrelationId) -> Option<PendingReply> {
        self.pending().remove(&id)
    }

    /// Sends a request once and waits for its reply.
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

    /// Sends the records of a handover. Returns whether the peer has imported them.
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

/// Returns how many bytes of a body go into the head frame.
pub(super) fn first_len(body: &Bytes) -> usize {
    body.len().min(CHUNK_BYTES_MAX)
}

/// An entry in the table of pending replies. If dropped before the reply has arrived, it cancels the request
/// at the peer.
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
            // Checked under the lock, since `close` marks the link as closed before it clears the table.
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
        // If the queue is full, the deadline at the peer ends the request.
        drop(self.link.senders.small.try_send(cancel));
    }
}
