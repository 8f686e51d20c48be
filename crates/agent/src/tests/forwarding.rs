//! Tests of requests that arrive at one agent and are run at the upstream of another.

use std::sync::Arc;

use futures_util::{SinkExt, StreamExt};
use model::RequestId;
use tokio::net::TcpListener;
use tokio_tungstenite::tungstenite::Message;
use wire::{
    HeadDecoder, HeadEncoder,
    link::LinkKind,
    traffic::{Answer, Chunk, Frame},
};

use crate::links::{LinkKey, handshake::LinkIdentity};

use super::fakes::{SECRET, TestAgent, big_body, check, get, instance, post};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_concurrent_request_gets_its_own_answer() {
    let (a, b) = (TestAgent::start("a").await, TestAgent::start("b").await);
    a.route_to(&b.own, 1).await;
    b.route_to(&b.own, 1).await;
    b.grant_all(1);
    let a = Arc::new(a);
    let calls: Vec<_> = (0..40_u128)
        .map(|id| {
            let a = Arc::clone(&a);
            tokio::spawn(async move {
                let op = if id % 4 == 0 { "big" } else { "echo" };
                let body = format!("body of {id}");
                let call = super::fakes::Call { body: body.clone().into(), ..get(op, id) };
                let answer = a.call(call).await;
                check(&answer, 200, "answered");
                assert_eq!(answer.headers.get("x-ran").unwrap(), &format!("{id:x}"));
                match op {
                    "big" => assert!(answer.body == big_body(RequestId(id)), "wrong big body"),
                    _ => assert_eq!(answer.body, body),
                }
            })
        })
        .collect();
    for call in calls {
        call.await.unwrap();
    }
    assert!(a.upstream.ran().is_empty());
    assert_eq!(b.upstream.ran().len(), 40);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn redirect_from_a_stale_route_is_followed_and_reported() {
    let (a, b, c) =
        (TestAgent::start("a").await, TestAgent::start("b").await, TestAgent::start("c").await);
    a.route_to(&b.own, 1).await;
    b.route_to(&c.own, 2).await;
    c.route_to(&c.own, 2).await;
    c.settle(5).await;
    check(&a.call(post("echo", 1)).await, 200, "answered");
    assert!(b.upstream.ran().is_empty());
    assert_eq!(c.upstream.ran(), [RequestId(1)]);
    let mut a = a;
    let route_version = a
        .report(|it| match it {
            crate::report::Report::StaleRoute { owner, route_version, .. } => {
                assert_eq!(owner.as_ref(), Some(&c.own));
                Some(*route_version)
            }
            _ => None,
        })
        .await;
    assert_eq!(route_version, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peer_without_the_key_is_refused() {
    let a = TestAgent::start("a").await;
    let b = TestAgent::start_with_key("b", b"another secret altogether").await;
    a.route_to(&b.own, 1).await;
    b.route_to(&b.own, 1).await;
    b.grant_all(1);
    check(&a.call(post("echo", 1)).await, 503, "not-run; reason=unreachable");
    assert!(b.upstream.ran().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_owner_is_not_run() {
    let a = TestAgent::start("a").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unreachable = instance("unreachable", listener.local_addr().unwrap());
    drop(listener);
    a.route_to(&unreachable, 1).await;
    let answer = a.call(post("echo", 1)).await;
    check(&answer, 503, "not-run; reason=unreachable");
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
}

/// Simulates an owner that answers every request with these frames, and checks the response to the caller.
async fn check_answer_frames(
    frames: impl Fn(wire::traffic::CorrelationId) -> Vec<Frame> + Send + 'static,
    status: u16,
    outcome: &str,
) {
    let a = TestAgent::start("a").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let own = instance("peer", listener.local_addr().unwrap());
    a.route_to(&own, 1).await;
    let identity = LinkIdentity { own, kind: LinkKind::Traffic, key: LinkKey::new(SECRET) };
    tokio::spawn(async move {
        let (stream, address) = listener.accept().await.unwrap();
        let mut socket = identity.accept(address, stream).await.unwrap().socket;
        let (mut encoder, mut decoder) = (HeadEncoder::default(), HeadDecoder::default());
        while let Some(Ok(message)) = socket.next().await {
            let Message::Binary(bytes) = message else { continue };
            let message = decoder.decode(&bytes).unwrap();
            let Ok(Frame::Request(request)) = Frame::parse(&message) else { continue };
            for frame in frames(request.id) {
                let bytes = frame.to_bytes();
                let encoded = encoder.encode(&bytes, bytes.len());
                socket.send(Message::Binary(encoded.into())).await.unwrap();
            }
        }
    });
    check(&a.call(post("echo", 1)).await, status, outcome);
}

fn answer_head(id: wire::traffic::CorrelationId, body_len: u64) -> Frame {
    let body = bytes::Bytes::from_static(b"1234");
    Frame::Answer(Answer { id, load: None, status: 200, headers: Vec::new(), body_len, body })
}

/// Sends an answer of eight bytes, of which the head contains four, followed by this chunk.
async fn check_broken_by_chunk(offset: u64, data: &'static [u8]) {
    let frames = move |id| {
        let data = bytes::Bytes::from_static(data);
        vec![answer_head(id, 8), Frame::Chunk(Chunk { id, offset, data })]
    };
    check_answer_frames(frames, 502, "unknown; reason=broken-answer").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_with_a_missing_chunk_is_broken() {
    check_broken_by_chunk(6, b"56").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_with_a_too_long_chunk_is_broken() {
    check_broken_by_chunk(4, b"56789").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_a_pending_request_are_dropped() {
    let frames = |id: wire::traffic::CorrelationId| {
        let other = wire::traffic::CorrelationId(id.0 ^ 1);
        vec![answer_head(other, 4), answer_head(id, 4), answer_head(id, 4)]
    };
    check_answer_frames(frames, 200, "answered").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_stays_unknown_if_the_retry_cannot_be_sent() {
    let a = TestAgent::start("a").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let own = instance("peer", listener.local_addr().unwrap());
    a.route_to(&own, 1).await;
    let identity = LinkIdentity { own, kind: LinkKind::Traffic, key: LinkKey::new(SECRET) };
    tokio::spawn(async move {
        // Receives one request, then closes the connection and stops listening.
        let (stream, address) = listener.accept().await.unwrap();
        let mut socket = identity.accept(address, stream).await.unwrap().socket;
        drop(listener);
        socket.next().await.unwrap().unwrap();
    });
    // The request is idempotent, so it is retried, but no owner is reachable.
    check(&a.call(get("echo", 1)).await, 502, "unknown; reason=connection-lost");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_member_is_avoided() {
    let a = TestAgent::start("a").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unreachable = instance("unreachable", listener.local_addr().unwrap());
    drop(listener);
    a.route_to_members(&[&unreachable, &a.own]).await;
    for id in 0..100 {
        check(&a.call(get("echo", id)).await, 200, "answered");
    }
    assert_eq!(a.upstream.ran().len(), 100);
}
