use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use model::{Incarnation, Instance, InstanceName, Zone};
use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};
use wire::{
    link::LinkKind,
    traffic::{Answer, Chunk, CorrelationId, Frame},
};

use super::{
    Handler, Handover, LinkIdentity, LinkKey, ReplyFuture, TrafficLinks,
    assembly::{Assembly, Head, Progress, chunks},
    outbox::{QueuedFrame, channel},
};
use crate::{
    links::socket::{OutboundMessage, Outbox},
    request::GateRequest,
};

const ID: CorrelationId = CorrelationId(7);

fn queued_frame(text: &str) -> QueuedFrame {
    let message = OutboundMessage::head(Bytes::copy_from_slice(text.as_bytes()));
    QueuedFrame { message, written: None }
}

#[test]
fn large_messages_neither_starve_nor_are_starved() {
    let (senders, mut outbox) = channel();
    for _ in 0..100 {
        senders.small.try_send(queued_frame("s")).unwrap();
    }
    for _ in 0..4 {
        senders.large.try_send(queued_frame("L")).unwrap();
    }
    assert!(senders.large.try_send(queued_frame("L")).is_err(), "large messages wait for room");
    let order: Vec<Bytes> = std::iter::from_fn(|| outbox.try_next().map(|it| it.bytes)).collect();
    let order = String::from_utf8(order.concat()).unwrap();
    let runs: Vec<usize> = order.split('L').map(str::len).collect();
    assert_eq!(runs, [16, 16, 16, 16, 36], "{order}");
}

fn answer(body_len: u64, first: &'static [u8]) -> Progress {
    let body = Bytes::from_static(first);
    Head::Answer(Answer { id: ID, load: None, status: 200, headers: Vec::new(), body_len, body })
        .start()
}

fn assembly(progress: Progress) -> Assembly {
    match progress {
        Progress::Partial(assembly) => assembly,
        other => panic!("{other:?}"),
    }
}

/// Adds parts to the head of a body of eight bytes whose first four have come.
fn check_parts(parts: &[(u64, &'static [u8])], expected: Option<&[u8]>) {
    let mut progress = answer(8, b"1234");
    for (offset, data) in parts {
        let chunk = Chunk { id: ID, offset: *offset, data: Bytes::from_static(data) };
        progress = match progress {
            Progress::Partial(assembly) => assembly.add(&chunk),
            ended => ended,
        };
    }
    match (progress, expected) {
        (Progress::Complete(Head::Answer(answer)), Some(body)) => assert_eq!(answer.body, body),
        (Progress::Broken(_), None) => {}
        (other, _) => panic!("{parts:?}: {other:?}"),
    }
}

#[test]
fn parts_make_a_whole_in_order_only() {
    check_parts(&[(4, b"56"), (6, b"78")], Some(b"12345678"));
    check_parts(&[(4, b"5678")], Some(b"12345678"));
    check_parts(&[(6, b"78"), (4, b"56")], None);
    check_parts(&[(4, b"56"), (4, b"56")], None);
    check_parts(&[(4, b"56789")], None);
    check_parts(&[(0, b"12")], None);
}

#[test]
fn body_survives_being_cut_up() {
    let body: Bytes = (0..200_000_u32).map(|it| (it / 3) as u8).collect::<Vec<u8>>().into();
    let first_len = 65_536;
    let head = Answer {
        id: ID,
        load: None,
        status: 200,
        headers: Vec::new(),
        body_len: body.len() as u64,
        body: body.slice(..first_len),
    };
    let mut progress = Progress::Partial(assembly(Head::Answer(head).start()));
    for frame in chunks(ID, &body, first_len) {
        let Frame::Chunk(chunk) = frame else { panic!("{frame:?}") };
        progress = assembly(progress).add(&chunk);
    }
    let Progress::Complete(Head::Answer(answer)) = progress else { panic!("{progress:?}") };
    assert!(answer.body == body);
}

/// Nobody is asked anything here.
struct Unasked;

impl Handler for Unasked {
    fn request(&self, _from: &Instance, _request: GateRequest) -> ReplyFuture {
        unreachable!("no request is sent")
    }

    fn records(&self, _from: &Instance, _handover: Handover) -> bool {
        false
    }
}

fn instance(name: &str, incarnation: u64, traffic: SocketAddr) -> Instance {
    Instance {
        name: InstanceName::new(name).unwrap(),
        incarnation: Incarnation(incarnation),
        zone: Zone::new("pitlane").unwrap(),
        control: traffic,
        traffic,
    }
}

/// A process goes silent without hanging up while nothing is asked of it, and another life listens at
/// its address. That one must be reached, though the link to the silent one still stands.
#[tokio::test]
async fn another_life_at_the_address_of_a_silent_one_is_reached() {
    let key = || LinkKey::new(b"a secret of all agents");
    let bind = || TcpListener::bind("127.0.0.1:0");
    let own_listener = bind().await.unwrap();
    let own = instance("a", 1, own_listener.local_addr().unwrap());
    let links = TrafficLinks::start(own, own_listener, key(), Arc::new(Unasked));
    let listener = bind().await.unwrap();
    let address = listener.local_addr().unwrap();
    let silent = instance("b", 1, address);
    let identity = LinkIdentity { own: silent.clone(), kind: LinkKind::Traffic, key: key() };
    let (accepted, link) = tokio::join!(
        async {
            let (stream, peer) = listener.accept().await.unwrap();
            identity.accept(peer, stream).await.unwrap()
        },
        links.link(&silent)
    );
    assert!(link.is_some());
    // Held open, and never read again.
    let _held = accepted.socket;
    let later = instance("c", 2, address);
    let _later_links = TrafficLinks::start(later.clone(), listener, key(), Arc::new(Unasked));
    let reached = async {
        while links.link(&later).await.is_none() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(20), reached).await.expect("the later life is not reached");
}
