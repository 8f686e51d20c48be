use std::{net::SocketAddr, time::Duration};

use futures_util::{SinkExt, StreamExt};
use model::{Incarnation, Instance, InstanceName, Zone};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use tokio_tungstenite::tungstenite::Message;
use wire::{HeadEncoder, link::LinkKind};

use crate::links::{
    ControlEvent, ControlLinks, LinkKey,
    handshake::{EstablishedLink, LinkIdentity, MESSAGE_BYTES_MAX},
};

const PATIENCE: Duration = Duration::from_secs(20);
const SECRET: &[u8] = b"a secret of all agents";

fn instance(name: &str, incarnation: u64, control: SocketAddr) -> Instance {
    Instance {
        name: InstanceName::new(name).unwrap(),
        incarnation: Incarnation(incarnation),
        zone: Zone::new("pitlane").unwrap(),
        control,
        traffic: control,
    }
}

struct Node {
    own: Instance,
    links: ControlLinks,
    events: mpsc::Receiver<ControlEvent>,
}

impl Node {
    async fn start(name: &str, secret: &[u8]) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let own = instance(name, 1, listener.local_addr().unwrap());
        let (links, events) = ControlLinks::start(own.clone(), listener, LinkKey::new(secret));
        Node { own, links, events }
    }

    async fn hears(&mut self, from: &Instance, payload: &[u8]) {
        let event = timeout(PATIENCE, self.events.recv()).await.unwrap().unwrap();
        let ControlEvent::Message { from: sender, payload: heard } = event;
        assert_eq!((&sender, &heard[..]), (from, payload));
    }

    /// A link of a peer that the test plays.
    async fn dialled(&self, secret: &[u8]) -> Option<EstablishedLink> {
        let own = instance("peer", 9, SocketAddr::from(([127, 0, 0, 1], 9)));
        let identity = LinkIdentity { own, kind: LinkKind::Control, key: LinkKey::new(secret) };
        identity.dial(self.own.control).await.ok()
    }
}

#[tokio::test]
async fn messages_go_both_ways_in_order() {
    let (mut a, mut b) = (Node::start("a", SECRET).await, Node::start("b", SECRET).await);
    a.links.send(&b.own, b"one".to_vec());
    a.links.send_to_address(b.own.control, b"two".to_vec());
    b.hears(&a.own, b"one").await;
    b.hears(&a.own, b"two").await;
    b.links.send(&a.own, b"three".to_vec());
    a.hears(&b.own, b"three").await;
}

#[tokio::test]
async fn message_for_another_life_is_dropped() {
    let (a, mut b) = (Node::start("a", SECRET).await, Node::start("b", SECRET).await);
    let former = Instance { incarnation: Incarnation(77), ..b.own.clone() };
    a.links.send(&former, b"for the former one".to_vec());
    a.links.send(&b.own, b"for this one".to_vec());
    b.hears(&a.own, b"for this one").await;
}

/// A process goes silent without hanging up, and another life listens at its address. What is sent to that
/// one must not be swallowed by the link to the silent one, on which nothing is ever written.
#[tokio::test]
async fn another_life_at_the_address_of_a_silent_one_is_reached() {
    let mut a = Node::start("a", SECRET).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let silent = instance("b", 1, address);
    let identity =
        LinkIdentity { own: silent.clone(), kind: LinkKind::Control, key: LinkKey::new(SECRET) };
    a.links.send(&silent, b"before".to_vec());
    let (stream, peer) = timeout(PATIENCE, listener.accept()).await.unwrap().unwrap();
    let mut held = identity.accept(peer, stream).await.unwrap().socket;
    timeout(PATIENCE, held.next()).await.unwrap().unwrap().unwrap();
    // It answers what it has got, so nothing is owed. Then it is held open and never read again.
    let answer = HeadEncoder::default().encode(b"still here", 10);
    held.send(Message::Binary(answer.into())).await.unwrap();
    a.hears(&silent, b"still here").await;
    let own = instance("c", 2, address);
    let (links, events) = ControlLinks::start(own.clone(), listener, LinkKey::new(SECRET));
    let mut later = Node { own, links, events };
    let resend = async {
        loop {
            a.links.send(&later.own, b"for the later one".to_vec());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let heard = timeout(PATIENCE, later.events.recv());
    tokio::select! {
        () = resend => unreachable!("it goes on for ever"),
        event = heard => assert!(event.expect("nothing came").is_some()),
    }
}

#[tokio::test]
async fn peer_without_the_key_gets_no_link() {
    let (a, mut b) = (Node::start("a", b"some other secret").await, Node::start("b", SECRET).await);
    assert!(b.dialled(b"some other secret").await.is_none());
    a.links.send(&b.own, b"let me in".to_vec());
    let c = Node::start("c", SECRET).await;
    c.links.send(&b.own, b"hello".to_vec());
    b.hears(&c.own, b"hello").await;
    assert!(b.events.try_recv().is_err());
}

/// Whatever a peer sends ends its own link at the most.
async fn check_ends_own_link_only(message: Message) {
    let (mut a, b) = (Node::start("a", SECRET).await, Node::start("b", SECRET).await);
    b.links.send(&a.own, b"before".to_vec());
    a.hears(&b.own, b"before").await;
    let mut bad = a.dialled(SECRET).await.unwrap().socket;
    // The other side may hang up before all of it is sent.
    _ = bad.send(message).await;
    while let Some(Ok(_)) = timeout(PATIENCE, bad.next()).await.expect("the link ends") {}
    b.links.send(&a.own, b"after".to_vec());
    a.hears(&b.own, b"after").await;
}

#[tokio::test]
async fn text_ends_the_link() {
    check_ends_own_link_only(Message::text("hello")).await;
}

#[tokio::test]
async fn oversized_message_ends_the_link() {
    check_ends_own_link_only(Message::Binary(vec![0; MESSAGE_BYTES_MAX + 1].into())).await;
}

#[tokio::test]
async fn link_of_another_kind_is_refused() {
    let a = Node::start("a", SECRET).await;
    let own = instance("peer", 9, SocketAddr::from(([127, 0, 0, 1], 9)));
    let identity = LinkIdentity { own, kind: LinkKind::Traffic, key: LinkKey::new(SECRET) };
    assert!(identity.dial(a.own.control).await.is_err());
}

#[tokio::test]
async fn noise_is_refused() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (mut a, b) = (Node::start("a", SECRET).await, Node::start("b", SECRET).await);
    let mut stream = TcpStream::connect(a.own.control).await.unwrap();
    stream.write_all(b"\x00\xff\r\n\r\n\r\n\r\n").await.unwrap();
    let mut rest = Vec::new();
    // Either an error or the end.
    _ = timeout(PATIENCE, stream.read_to_end(&mut rest)).await.expect("the link ends");
    b.links.send(&a.own, b"after".to_vec());
    a.hears(&b.own, b"after").await;
}
