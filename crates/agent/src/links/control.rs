//! Links between control threads. Messages are opaque, sending never waits, and messages that queue up are
//! dropped rather than delivered late.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use model::{Incarnation, Instance};
use rand::RngExt;
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc},
    time::{sleep, timeout},
};
use wire::link::LinkKind;

use crate::{
    connections::{ConnectionBudget, ListenerKind},
    links::{
        LinkKey,
        handshake::{EstablishedLink, LinkIdentity},
        socket::{self, Inbox, OutboundMessage, Outbox},
    },
};

/// Largest number of messages queued for one peer; beyond it the oldest are dropped.
const QUEUE_MAX: usize = 256;
/// Largest number of events queued for the control thread.
const EVENTS_MAX: usize = 4096;
/// Time after which an unused link is closed.
const IDLE_MAX: Duration = Duration::from_secs(15);
const BACKOFF_MIN: Duration = Duration::from_millis(25);
const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// An event received over the control links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlEvent {
    /// A message from an authenticated peer.
    Message { from: Instance, payload: Bytes },
}

/// The control links of this process. Clones share them.
#[derive(Clone)]
pub struct ControlLinks {
    shared: Arc<Shared>,
}

struct Shared {
    identity: LinkIdentity,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    events: mpsc::Sender<ControlEvent>,
}

#[derive(Default)]
struct Peer {
    queue: VecDeque<QueuedMessage>,
    /// Number of links that send from the queue.
    writer_count: usize,
    /// Whether a task dials this peer or drives the link that it dialled.
    has_dialer: bool,
    dropped_count: u64,
    message_added: Arc<Notify>,
}

struct QueuedMessage {
    /// The incarnation of the peer that the message is for. `None` if it is for any.
    to: Option<Incarnation>,
    payload: Bytes,
}

impl ControlLinks {
    /// Starts to listen; peers are dialled when there are messages for them. Must be called on the runtime of
    /// the control thread, where all tasks of the links run.
    pub(crate) fn start(
        own: Instance,
        listener: TcpListener,
        key: LinkKey,
        connections: ConnectionBudget,
    ) -> (ControlLinks, mpsc::Receiver<ControlEvent>) {
        let (events, receiver) = mpsc::channel(EVENTS_MAX);
        let identity = LinkIdentity { own, kind: LinkKind::Control, key };
        let shared = Arc::new(Shared { identity, peers: Mutex::default(), events });
        tokio::spawn(listen(Arc::clone(&shared), listener, connections));
        (ControlLinks { shared }, receiver)
    }

    /// Queues a message for one incarnation of a peer, without waiting. The message may be lost.
    pub fn send(&self, to: &Instance, payload: Vec<u8>) {
        self.queue(to.control, Some(to.incarnation), payload);
    }

    /// Queues a message for any instance that listens at a control address, without waiting. The message may
    /// be lost.
    pub fn send_to_address(&self, to: SocketAddr, payload: Vec<u8>) {
        self.queue(to, None, payload);
    }

    fn queue(&self, address: SocketAddr, to: Option<Incarnation>, payload: Vec<u8>) {
        let mut peers = self.shared.peers();
        let peer = peers.entry(address).or_default();
        if peer.queue.len() >= QUEUE_MAX {
            peer.queue.pop_front();
            peer.dropped_count += 1;
        }
        peer.queue.push_back(QueuedMessage { to, payload: payload.into() });
        peer.message_added.notify_one();
        if peer.writer_count == 0 && !peer.has_dialer {
            peer.has_dialer = true;
            tokio::spawn(dial(Arc::clone(&self.shared), address));
        }
    }
}

impl Shared {
    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the next message for this incarnation of a peer. Messages for other incarnations are dropped and
    /// trigger a ping: this incarnation may have ended without closing the connection, with another listening at
    /// its address. A link on which nothing is written would not detect that, and would drop all messages for
    /// the new incarnation.
    fn next_message(&self, peer: &Instance, ping_request: &Notify) -> Option<Bytes> {
        let mut peers = self.peers();
        let entry = peers.get_mut(&peer.control)?;
        while let Some(queued) = entry.queue.pop_front() {
            if queued.to.is_none_or(|to| to == peer.incarnation) {
                return Some(queued.payload);
            }
            entry.dropped_count += 1;
            ping_request.notify_one();
        }
        None
    }

    async fn run(self: &Arc<Shared>, link: EstablishedLink, address: SocketAddr, is_writer: bool) {
        let EstablishedLink { peer, socket } = link;
        log::debug!(target: "links", "Established a control link with {peer} at {address}.");
        let message_added = is_writer.then(|| {
            let mut peers = self.peers();
            let entry = peers.entry(peer.control).or_default();
            entry.writer_count += 1;
            Arc::clone(&entry.message_added)
        });
        let ping_request = Arc::new(Notify::new());
        let outbox = ControlOutbox {
            shared: Arc::clone(self),
            peer: peer.clone(),
            message_added,
            ping_request: Arc::clone(&ping_request),
        };
        let inbox = ControlInbox { shared: Arc::clone(self), from: peer.clone() };
        match socket::run(socket, outbox, inbox, &ping_request).await {
            Ok(()) => log::debug!(target: "links", "Closed the control link with {peer}."),
            Err(error) => {
                log::warn!(target: "links", "Lost the control link with {peer}: {error}.")
            }
        }
    }
}

async fn listen(shared: Arc<Shared>, listener: TcpListener, connections: ConnectionBudget) {
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(target: "links", "Cannot accept a control connection; retrying: {error}.");
                sleep(BACKOFF_MAX).await;
                continue;
            }
        };
        let Some(permit) = connections.admit(ListenerKind::ControlLinks).await else {
            log::debug!(target: "links", "Closing a control connection: there is no room for it.");
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            match shared.identity.accept_with_permit(address, stream, permit).await {
                Ok(link) => {
                    let writer_count =
                        shared.peers().get(&link.peer.control).map_or(0, |peer| peer.writer_count);
                    shared.run(link, address, writer_count == 0).await;
                }
                Err(error) => log::warn!(target: "links", "Rejected a control link: {error}."),
            }
        });
    }
}

/// Dials a peer, and drives the link, until its queue is empty or another link sends from it.
async fn dial(shared: Arc<Shared>, address: SocketAddr) {
    let mut backoff = BACKOFF_MIN;
    loop {
        match shared.identity.dial(address).await {
            Ok(link) if link.peer.control == address => {
                backoff = BACKOFF_MIN;
                shared.run(link, address, true).await;
            }
            Ok(link) => {
                log::warn!(target: "links", "Closed a control link: {} answered at {address} but announces the address {}.", link.peer, link.peer.control);
            }
            Err(error) => {
                log::debug!(target: "links", "Cannot establish a control link; retrying: {error}.")
            }
        }
        let delay = rand::rng().random_range(backoff / 2..=backoff);
        backoff = (backoff * 2).min(BACKOFF_MAX);
        sleep(delay).await;
        let mut peers = shared.peers();
        let Some(peer) = peers.get_mut(&address) else { return };
        if peer.queue.is_empty() || peer.writer_count > 0 {
            peer.has_dialer = false;
            if peer.writer_count == 0 {
                peers.remove(&address);
            }
            return;
        }
    }
}

struct ControlOutbox {
    shared: Arc<Shared>,
    peer: Instance,
    /// Notified when a message is queued. `None` if this link only reads, because another one sends.
    message_added: Option<Arc<Notify>>,
    /// Makes the link send a ping.
    ping_request: Arc<Notify>,
}

impl Outbox for ControlOutbox {
    async fn next(&mut self) -> Option<OutboundMessage> {
        let Some(message_added) = &self.message_added else { return std::future::pending().await };
        loop {
            if let Some(payload) = self.shared.next_message(&self.peer, &self.ping_request) {
                return Some(OutboundMessage::head(payload));
            }
            if timeout(IDLE_MAX, message_added.notified()).await.is_err() {
                return None;
            }
        }
    }

    fn try_next(&mut self) -> Option<OutboundMessage> {
        let payload = self
            .message_added
            .as_ref()
            .and_then(|_| self.shared.next_message(&self.peer, &self.ping_request));
        payload.map(OutboundMessage::head)
    }
}

impl Drop for ControlOutbox {
    fn drop(&mut self) {
        if self.message_added.is_none() {
            return;
        }
        let mut peers = self.shared.peers();
        let Some(peer) = peers.get_mut(&self.peer.control) else { return };
        peer.writer_count -= 1;
        if peer.writer_count > 0 || peer.has_dialer {
            return;
        }
        if peer.queue.is_empty() {
            peers.remove(&self.peer.control);
        } else {
            peer.has_dialer = true;
            tokio::spawn(dial(Arc::clone(&self.shared), self.peer.control));
        }
    }
}

struct ControlInbox {
    shared: Arc<Shared>,
    from: Instance,
}

impl Inbox for ControlInbox {
    async fn handle(&mut self, payload: Bytes) -> Result<(), anyhow::Error> {
        let event = ControlEvent::Message { from: self.from.clone(), payload };
        self.shared
            .events
            .send(event)
            .await
            .map_err(|_| anyhow::anyhow!("the control thread has ended"))
    }
}
