//! Links between traffic threads: multiplexed requests, one link for each pair of peers.

mod assembly;
mod idle;
mod inbox;
mod link;
mod outbox;
mod serve;

#[cfg(test)]
mod tests;

use std::{
    collections::HashMap,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use body_budget::BodyBudget;
use model::{Instance, NotRunReason};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{Instant, sleep},
};
use wire::link::LinkKind;

use crate::{
    connections::{ConnectionBudget, ListenerKind},
    links::{
        LinkKey,
        handshake::{EstablishedLink, LinkIdentity},
        socket,
    },
    request::{GateReply, GateRequest, ReplyWithLoad},
};

use inbox::TrafficInbox;
use link::Link;

pub(crate) use assembly::Handover;

/// Time for which a peer that could not be reached is not dialled again.
const REDIAL_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(500);

/// The pending reply to a peer's request.
pub(crate) type ReplyFuture = Pin<Box<dyn Future<Output = ReplyWithLoad> + Send>>;

/// Handles requests and records received from peers.
pub(crate) trait Handler: Send + Sync {
    /// Runs a request. Dropping the future cancels it.
    fn handle_request(&self, from: &Instance, request: GateRequest) -> ReplyFuture;
    /// Imports records from a handover. Returns false if they cannot be used.
    fn import_records(&self, from: &Instance, handover: Handover) -> bool;
}

/// The traffic links of this process. Clones share them.
#[derive(Clone)]
pub(crate) struct TrafficLinks {
    shared: Arc<Shared>,
}

struct Shared {
    identity: LinkIdentity,
    handler: Arc<dyn Handler>,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    /// All open links, also those that requests do not use because there is another one with the same peer.
    links: Mutex<Vec<Arc<Link>>>,
    /// Room for the bodies that peers send.
    bodies: BodyBudget,
}

/// The state of the link with a peer.
enum Peer {
    Connected(Arc<Link>),
    /// The receiver resolves, with an error, when the dial attempt has ended.
    Dialling(watch::Receiver<()>),
    Unreachable {
        since: Instant,
    },
}

/// The next step towards a link with a peer.
enum NextStep {
    UseLink(Arc<Link>),
    WaitForDial(watch::Receiver<()>),
    Dial(watch::Sender<()>),
    Fail,
}

impl TrafficLinks {
    /// Starts to listen; peers are dialled when there are requests for them.
    pub(crate) fn start(
        own: Instance,
        listener: TcpListener,
        key: LinkKey,
        handler: Arc<dyn Handler>,
        bodies: BodyBudget,
        connections: ConnectionBudget,
    ) -> TrafficLinks {
        let identity = LinkIdentity { own, kind: LinkKind::Traffic, key };
        let shared = Arc::new(Shared {
            identity,
            handler,
            peers: Mutex::default(),
            links: Mutex::default(),
            bodies,
        });
        tokio::spawn(listen(Arc::clone(&shared), listener, connections));
        tokio::spawn(idle::retire_idle_links(Arc::downgrade(&shared)));
        TrafficLinks { shared }
    }

    /// Sends a request to a peer's gate and waits for the reply, at most for the request's remaining time.
    /// Dropping the future cancels the request at the peer.
    pub(crate) async fn send_request(
        &self,
        peer: &Instance,
        request: &GateRequest,
    ) -> ReplyWithLoad {
        let since = Instant::now();
        while let Some(link) = self.link(peer).await {
            if let Some(reply) = link.send_request(request, since).await {
                return reply;
            }
        }
        GateReply::not_run(NotRunReason::Unreachable).into()
    }

    /// Hands records over to a peer. Returns whether the peer has imported them.
    pub(crate) async fn hand_over(&self, peer: &Instance, handover: &Handover) -> bool {
        while let Some(link) = self.link(peer).await {
            if let Some(is_imported) = link.hand_over(handover).await {
                return is_imported;
            }
        }
        false
    }

    /// Establishes a link with a peer before the first request needs it.
    pub(crate) fn preconnect(&self, peer: &Instance) {
        if peer.traffic == self.shared.identity.own.traffic
            || matches!(self.shared.peers().get(&peer.traffic), Some(Peer::Connected(it)) if it.is_usable())
        {
            return;
        }
        let (links, peer) = (self.clone(), peer.clone());
        tokio::spawn(async move { drop(links.link(&peer).await) });
    }

    async fn link(&self, peer: &Instance) -> Option<Arc<Link>> {
        loop {
            match self.shared.next_step(peer) {
                NextStep::UseLink(link) => return Some(link),
                NextStep::Fail => return None,
                // The error means that the dial attempt has ended.
                NextStep::WaitForDial(mut dial_ended) => drop(dial_ended.changed().await),
                NextStep::Dial(dial_ended) => {
                    // Dialled in a separate task, since the request that started it may be cancelled while
                    // others wait for the link.
                    let shared = Arc::clone(&self.shared);
                    let address = peer.traffic;
                    tokio::spawn(async move {
                        dial(&shared, address).await;
                        drop(dial_ended);
                    });
                }
            }
        }
    }
}

impl Shared {
    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn links(&self) -> MutexGuard<'_, Vec<Arc<Link>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_step(&self, peer: &Instance) -> NextStep {
        let mut peers = self.peers();
        match peers.get(&peer.traffic) {
            // The link is with another incarnation, so the requested one has probably ended. Or the linked
            // one has ended without closing the connection, which the ping detects.
            Some(Peer::Connected(link)) if link.is_usable() && link.peer != *peer => {
                link.ping_request().notify_one();
                NextStep::Fail
            }
            Some(Peer::Connected(link)) if link.is_usable() => NextStep::UseLink(Arc::clone(link)),
            Some(Peer::Dialling(dial_ended)) => NextStep::WaitForDial(dial_ended.clone()),
            Some(Peer::Unreachable { since }) if since.elapsed() < REDIAL_PAUSE => NextStep::Fail,
            Some(Peer::Connected(_) | Peer::Unreachable { .. }) | None => {
                let (sender, dial_ended) = watch::channel(());
                peers.insert(peer.traffic, Peer::Dialling(dial_ended));
                NextStep::Dial(sender)
            }
        }
    }

    /// Runs a link. Requests use it unless there is one already.
    fn run(self: &Arc<Shared>, established: EstablishedLink) {
        let EstablishedLink { peer, socket } = established;
        let (link, outbox) = Link::new(peer.clone());
        {
            let mut peers = self.peers();
            match peers.get(&peer.traffic) {
                Some(Peer::Connected(it)) if it.is_usable() && it.peer == peer => {}
                _ => drop(peers.insert(peer.traffic, Peer::Connected(Arc::clone(&link)))),
            }
        }
        self.links().push(Arc::clone(&link));
        log::debug!(target: "links", "Established a traffic link with {peer}.");
        let inbox =
            TrafficInbox::new(Arc::clone(&link), Arc::clone(&self.handler), self.bodies.clone());
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            match socket::run(socket, outbox, inbox, link.ping_request()).await {
                Ok(()) => log::debug!(target: "links", "Closed the traffic link with {peer}."),
                Err(error) => {
                    log::warn!(target: "links", "Lost the traffic link with {peer}: {error}.");
                }
            }
            link.close();
            shared.links().retain(|it| !Arc::ptr_eq(it, &link));
            let mut peers = shared.peers();
            match peers.get(&peer.traffic) {
                Some(Peer::Connected(it)) if Arc::ptr_eq(it, &link) => {
                    drop(peers.remove(&peer.traffic))
                }
                _ => {}
            }
        });
    }
}

async fn dial(shared: &Arc<Shared>, address: SocketAddr) {
    match shared.identity.dial(address).await {
        Ok(link) if link.peer.traffic == address => return shared.run(link),
        Ok(link) => {
            log::warn!(target: "links", "Closed a traffic link: {} answered at {address} but announces the address {}.", link.peer, link.peer.traffic);
        }
        Err(error) => log::debug!(target: "links", "Cannot establish a traffic link: {error}."),
    }
    let mut peers = shared.peers();
    if matches!(peers.get(&address), Some(Peer::Dialling(_))) {
        peers.insert(address, Peer::Unreachable { since: Instant::now() });
    }
}

async fn listen(shared: Arc<Shared>, listener: TcpListener, connections: ConnectionBudget) {
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(target: "links", "Cannot accept a traffic connection; retrying: {error}.");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(permit) = connections.admit(ListenerKind::TrafficLinks).await else {
            log::debug!(target: "links", "Closing a traffic connection: there is no room for it.");
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            match shared.identity.accept_with_permit(address, stream, permit).await {
                Ok(link) => shared.run(link),
                Err(error) => log::warn!(target: "links", "Rejected a traffic link: {error}."),
            }
        });
    }
}
