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
fn small_and_large_messages_do_not_starve_each_other() {
    let (senders, mut outbox) = channel();
    for _ in 0..100 {
        senders.small.try_send(queued_frame("s")).unwrap();
    }
    for _ in 0..4 {
        senders.large.try_send(queued_frame("L")).unwrap();
    }
    assert!(
        senders.large.try_send(queued_frame("L")).is_err(),
        "the queue for large messages is bounded"
    );
    let order: Vec<Bytes> = std::iter::from_fn(|| outbox.try_next().map(|it| it.bytes)).collect();
    let order = String::from_utf8(order.concat()).unwrap();
    let small_counts: Vec<usize> = order.split('L').map(str::len).collect();
    assert_eq!(small_counts, [16, 16, 16, 16, 36], "{order}");
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

/// Adds chunks to a body of eight bytes whose head contains the first four.
fn check_chunks(added_chunks: &[(u64, &'static [u8])], expected: Option<&[u8]>) {
    let mut progress = answer(8, b"1234");
    for (offset, data) in added_chunks {
        let chunk = Chunk { id: ID, offset: *offset, data: Bytes::from_static(data) };
        progress = match progress {
            Progress::Partial(assembly) => assembly.add(&chunk),
            other => other,
        };
    }
    match (progress, expected) {
        (Progress::Complete(Head::Answer(answer)), Some(body)) => assert_eq!(answer.body, body),
        (Progress::Broken(_), None) => {}
        (other, _) => panic!("{added_chunks:?}: {other:?}"),
    }
}

#[test]
fn body_is_complete_only_if_its_chunks_are_in_order() {
    check_chunks(&[(4, b"56"), (6, b"78")], Some(b"12345678"));
    check_chunks(&[(4, b"5678")], Some(b"12345678"));
    check_chunks(&[(6, b"78"), (4, b"56")], None);
    check_chunks(&[(4, b"56"), (4, b"56")], None);
    check_chunks(&[(4, b"56789")], None);
    check_chunks(&[(0, b"12")], None);
}

#[test]
fn body_split_into_chunks_is_assembled_unchanged() {
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

/// A handler for links on which no request is sent.
struct UnusedHandler;

impl Handler for UnusedHandler {
    fn handle_request(&self, _from: &Instance, _request: GateRequest) -> ReplyFuture {
        unreachable!("no request is sent")
    }

    fn import_records(&self, _from: &Instance, _handover: Handover) -> bool {
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

/// An idle process stops responding without closing its connection, and another incarnation listens at its
/// address. The latter must be reached although the link to the former is still open.
#[tokio::test]
async fn new_incarnation_at_the_address_of_an_unresponsive_one_is_reached() {
    let key = || LinkKey::new(b"a secret of all agents");
    let bind = || TcpListener::bind("127.0.0.1:0");
    let own_listener = bind().await.unwrap();
    let own = instance("a", 1, own_listener.local_addr().unwrap());
    let links = TrafficLinks::start(own, own_listener, key(), Arc::new(UnusedHandler));
    let listener = bind().await.unwrap();
    let address = listener.local_addr().unwrap();
    let unresponsive = instance("b", 1, address);
    let identity = LinkIdentity { own: unresponsive.clone(), kind: LinkKind::Traffic, key: key() };
    let (accepted, link) = tokio::join!(
        async {
            let (stream, peer) = listener.accept().await.unwrap();
            identity.accept(peer, stream).await.unwrap()
        },
        links.link(&unresponsive)
    );
    assert!(link.is_some());
    // The socket stays open and is never read again.
    let _held = accepted.socket;
    let successor = instance("c", 2, address);
    let _later_links =
        TrafficLinks::start(successor.clone(), listener, key(), Arc::new(UnusedHandler));
    let connected = async {
        while links.link(&successor).await.is_none() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(20), connected)
        .await
        .expect("the new incarnation was not reached in time");
}
