//! One link: the requests that await a reply, and the sending of messages.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use model::{Instance, NotRunReason, UnknownReason};
use tokio::{
    sync::{Notify, oneshot, watch},
    time::{Instant, timeout, timeout_at},
};
use wire::traffic::{CHUNK_BYTES_MAX, CorrelationId, Frame, Records};

use crate::{
    links::traffic::{
        assembly::{Handover, chunks},
        outbox::{FrameClaim, QueuedFrame, Senders, TrafficOutbox, channel},
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

/// The exchanges that this side has started on a link: requests and handovers.
#[derive(Debug)]
struct Exchanges {
    pending: HashMap<CorrelationId, PendingReply>,
    /// When the last exchange began or ended.
    last_used_at: Instant,
    /// Whether this side starts no further exchange.
    is_retired: bool,
    /// Whether the peer starts no further exchange, so that the link may be closed once none is pending here.
    is_retired_by_peer: bool,
}

/// One established link.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) peer: Instance,
    senders: Senders,
    exchanges: Mutex<Exchanges>,
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
        let exchanges = Mutex::new(Exchanges {
            pending: HashMap::new(),
            last_used_at: Instant::now(),
            is_retired: false,
            is_retired_by_peer: false,
        });
        let link = Link { peer, senders, exchanges, closed_sender, ping_request };
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
        self.exchanges().pending.clear();
    }

    fn exchanges(&self) -> MutexGuard<'_, Exchanges> {
        self.exchanges.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes and returns the entry for a reply. Returns `None` if the reply is late, duplicate or made up.
    pub(super) fn take_pending(&self, id: CorrelationId) -> Option<PendingReply> {
        let mut exchanges = self.exchanges();
        let reply = exchanges.pending.remove(&id);
        exchanges.last_used_at = Instant::now();
        self.close_if_retired_by_both(&exchanges);
        reply
    }

    /// Returns whether this side may start exchanges on the link.
    pub(super) fn is_usable(&self) -> bool {
        !self.is_closed() && !self.exchanges().is_retired
    }

    /// Returns since when this side has not used the link, or `None` if it is in use or retired.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        let exchanges = self.exchanges();
        let is_idle = exchanges.pending.is_empty() && !exchanges.is_retired;
        is_idle.then_some(exchanges.last_used_at)
    }

    /// Starts no further exchange on the link if none is pending, and makes the peer close it as soon as the
    /// peer's exchanges have ended too. A link is never closed under an exchange: its request could have been run
    /// without the sender knowing.
    pub(super) fn retire_if_idle(&self) {
        let mut exchanges = self.exchanges();
        if !exchanges.pending.is_empty() || exchanges.is_retired {
            return;
        }
        let retire = QueuedFrame::new(&Frame::Retire);
        // With a full queue the link is in use by the peer.
        exchanges.is_retired = self.senders.small.try_send(retire).is_ok();
    }

    /// Records that the peer starts no further exchange, and retires the link on this side too.
    pub(super) fn retire_by_peer(&self) {
        let mut exchanges = self.exchanges();
        exchanges.is_retired = true;
        exchanges.is_retired_by_peer = true;
        self.close_if_retired_by_both(&exchanges);
    }

    fn close_if_retired_by_both(&self, exchanges: &Exchanges) {
        if exchanges.is_retired_by_peer && exchanges.pending.is_empty() {
            self.senders.close_request.notify_one();
        }
    }

    /// Sends a request, which has waited for the link since `since`, once and waits for its reply. Returns `None` if
    /// the link has been retired meanwhile; then the request has not been sent.
    pub(super) async fn send_request(
        self: &Arc<Link>,
        request: &GateRequest,
        since: Instant,
    ) -> Option<ReplyWithLoad> {
        let id = CorrelationId(rand::random());
        let (sender, mut receiver) = oneshot::channel();
        let mut guard = PendingGuard::new(Arc::clone(self), id, PendingReply::Reply(sender))?;
        let claim = Arc::clone(&guard.claim);
        let first_len = first_len(&request.body);
        let mut head = request.to_wire(id, first_len);
        let margin = DEADLINE_MARGIN.min(request.remaining / DEADLINE_MARGIN_DIVISOR);
        head.remaining_us -= u64::try_from(margin.as_micros()).unwrap_or(0);
        let head = QueuedFrame::request(Box::new(head), since, Arc::clone(&claim));
        let exchange = async {
            // A peer that refuses the request does so before it has the whole body.
            tokio::select! {
                biased;
                reply = &mut receiver => return reply.ok(),
                sent = self.send(head, id, &request.body, first_len) => sent.ok()?,
            }
            receiver.await.ok()
        };
        let result = timeout_at(since + request.remaining, exchange).await;
        if let Ok(Some(reply)) = result {
            guard.is_done = true;
            return Some(reply);
        }
        let may_have_run = !claim.claim();
        Some(match result {
            Ok(_) if may_have_run => GateReply::unknown(UnknownReason::ConnectionLost).into(),
            Ok(_) => GateReply::not_run(NotRunReason::Unreachable).into(),
            Err(_) if may_have_run => GateReply::unknown(UnknownReason::DeadlineExceeded).into(),
            Err(_) => GateReply::not_run(NotRunReason::DeadlineExceeded).into(),
        })
    }

    /// Sends the records of a handover. Returns whether the peer has imported them, or `None` if the link has been
    /// retired meanwhile; then nothing has been sent.
    pub(super) async fn hand_over(self: &Arc<Link>, handover: &Handover) -> Option<bool> {
        let id = CorrelationId(rand::random());
        let (sender, receiver) = oneshot::channel();
        let mut guard =
            PendingGuard::new(Arc::clone(self), id, PendingReply::HandoverResult(sender))?;
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
            let head = QueuedFrame::new(&head);
            self.send(head, id, &handover.records, first_len).await.ok()?;
            receiver.await.ok()
        };
        let taken = timeout(HANDOVER_TIMEOUT, exchange).await.ok().flatten();
        guard.is_done = taken.is_some();
        Some(taken == Some(true))
    }

    /// Queues a whole message: its head, then the rest of its body.
    pub(super) async fn send(
        &self,
        head: QueuedFrame,
        id: CorrelationId,
        body: &Bytes,
        first_len: usize,
    ) -> Result<(), LinkClosed> {
        if first_len == body.len() {
            return self.senders.small.send(head).await.map_err(|_| LinkClosed);
        }
        self.senders.large.send(head).await.map_err(|_| LinkClosed)?;
        for chunk in chunks(id, body, first_len) {
            let part = QueuedFrame::new(&chunk);
            self.senders.large.send(part).await.map_err(|_| LinkClosed)?;
        }
        Ok(())
    }

    /// Queues a message without a body.
    pub(super) async fn send_small(&self, frame: &Frame) -> Result<(), LinkClosed> {
        let queued = QueuedFrame::new(frame);
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
    claim: Arc<FrameClaim>,
    is_done: bool,
}

impl PendingGuard {
    /// Adds an exchange to the table, or returns `None` if the link is retired.
    fn new(link: Arc<Link>, id: CorrelationId, pending: PendingReply) -> Option<PendingGuard> {
        {
            let mut exchanges = link.exchanges();
            if exchanges.is_retired {
                return None;
            }
            exchanges.last_used_at = Instant::now();
            // Checked under the lock, since `close` marks the link as closed before it clears the table.
            if !link.is_closed() {
                exchanges.pending.insert(id, pending);
            }
        }
        Some(PendingGuard { link, id, claim: Arc::default(), is_done: false })
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        // A request that is still queued is not sent.
        self.claim.claim();
        let cancel = QueuedFrame::new(&Frame::Cancel(self.id));
        // If the queue is full, the deadline at the peer ends the request.
        drop(self.link.senders.small.try_send(cancel));
        // Last, because it may let the link be closed.
        self.link.take_pending(self.id);
    }
}
