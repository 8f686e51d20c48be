//! Tests of replies that do not end, and of replies for which there is no room.

use std::{net::SocketAddr, time::Duration};

use body_budget::{BodyBudget, BodyKind};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::oneshot,
    time::timeout,
};

use super::CONFIG;
use crate::{ExchangeError, Pool, Reply};

/// Time limit for waits, far longer than any of them takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// More than a client and the sockets may take in before the connection ends.
const SENT_BYTES_MAX: usize = 32 << 20;

/// Starts a peer that replies to a first request with `before`, if given, and to the next one with `first`, and then with `repeated` until its connection is closed. The receiver gets
/// the number of bytes that were sent by then.
async fn endless_peer(
    before: Option<&'static str>,
    first: &'static str,
    repeated: &'static str,
) -> (SocketAddr, oneshot::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4096];
        if let Some(before) = before {
            assert_ne!(stream.read(&mut buffer).await.unwrap(), 0);
            stream.write_all(before.as_bytes()).await.unwrap();
        }
        assert_ne!(stream.read(&mut buffer).await.unwrap(), 0);
        let mut sent = first.len();
        stream.write_all(first.as_bytes()).await.unwrap();
        let block = repeated.repeat(1 + 4096 / repeated.len());
        while sent <= SENT_BYTES_MAX && stream.write_all(block.as_bytes()).await.is_ok() {
            sent += block.len();
        }
        sender.send(sent).unwrap();
    });
    (address, receiver)
}

async fn exchange(pool: &Pool, bytes_max: usize) -> Result<Reply, ExchangeError> {
    let get = Request::get("/x").header("host", "a.example").body(Full::new(Bytes::new()));
    let exchange = pool.exchange(get.unwrap(), bytes_max, |_| true);
    timeout(WAIT_TIMEOUT, exchange).await.expect("the reply without end was read on")
}

/// Checks that an endless reply ends with an error, and that its connection is closed.
async fn check(first: &'static str, repeated: &'static str) -> ExchangeError {
    let (address, sent) = endless_peer(None, first, repeated).await;
    let pool = Pool::new(address, CONFIG);
    let error = exchange(&pool, 1 << 20).await.map(|it| it.parts).unwrap_err();
    let sent = timeout(WAIT_TIMEOUT, sent).await.expect("the connection was not closed").unwrap();
    assert!(sent <= SENT_BYTES_MAX, "{sent} bytes were taken in");
    error
}

#[tokio::test]
async fn a_body_without_end_ends_at_its_limit_and_closes_the_connection() {
    let is_too_large = |it: ExchangeError| matches!(it, ExchangeError::Broken(reason) if reason.contains("larger than"));
    let long = "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n";
    assert!(is_too_large(check(long, "x").await));
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    assert!(is_too_large(check(chunked, "8\r\nxxxxxxxx\r\n").await));
    assert!(is_too_large(check("HTTP/1.1 200 OK\r\n\r\n", "x").await));
}

#[tokio::test]
async fn a_head_without_end_ends_at_its_limit_and_closes_the_connection() {
    let is_lost = |it: ExchangeError| matches!(it, ExchangeError::Lost(_));
    assert!(is_lost(check("HTTP/1.1 200 OK\r\n", "x-a: b\r\n").await));
    assert!(is_lost(check("HTTP/1.1 200 OK\r\nx-a: ", "x").await));
    assert!(is_lost(check("", "x").await));
    assert!(is_lost(check("", "\r\n").await));
}

/// Guards against a peer that keeps a connection and the processor busy for as long as the request waits.
#[tokio::test]
async fn informational_replies_without_end_end_at_the_limit_and_close_the_connection() {
    for informational in [
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 102 Processing\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
    ] {
        let error = check("", informational).await;
        assert!(matches!(error, ExchangeError::Lost(_)), "{informational:?}: {error:?}");
    }
}

/// Guards against a limit that holds for the first reply of a connection only.
#[tokio::test]
async fn informational_replies_without_end_end_at_the_limit_after_another_reply() {
    let informational = "HTTP/1.1 103 Early Hints\r\n\r\n";
    let (address, sent) = endless_peer(Some(super::OK), "", informational).await;
    let pool = Pool::new(address, CONFIG);
    exchange(&pool, 1 << 20).await.unwrap();
    let error = exchange(&pool, 1 << 20).await.map(|it| it.parts).unwrap_err();
    assert!(matches!(error, ExchangeError::Lost(_)), "{error:?}");
    let sent = timeout(WAIT_TIMEOUT, sent).await.expect("the connection was not closed").unwrap();
    assert!(sent <= SENT_BYTES_MAX, "{sent} bytes were taken in");
}

/// Guards against a limit on heads that ends long bodies or counts the replies before.
#[tokio::test]
async fn long_bodies_and_many_replies_are_not_bounded_as_heads() {
    let long: &'static str = String::leak(format!(
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{}",
        3 << 20,
        "x".repeat(3 << 20)
    ));
    let replies: &'static [&'static [&'static str]] = vec![&*vec![long; 3].leak()].leak();
    let pool = super::pool_of_peer(replies).await;
    for _ in 0..3 {
        assert_eq!(exchange(&pool, 4 << 20).await.unwrap().body.len(), 3 << 20);
    }
    assert_eq!(pool.connections_opened(), 1);
}

/// The request has run, so that its reply is neither given up nor taken into memory before there is room.
#[tokio::test]
async fn a_reply_without_room_is_read_on_when_there_is_some() {
    const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789";
    let budget = BodyBudget::new(1_000);
    let pool = super::pool_of_peer(&[&[OK, OK]]).await.with_body_budget(budget.clone());
    let held = budget.hold(BodyKind::Request, 950);
    let reading = exchange(&pool, 1 << 20);
    let freeing = async {
        while budget.usage().delayed_answers == 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(budget.usage().bytes_held, 950);
        drop(held);
    };
    let both = async { tokio::join!(reading, freeing) };
    let (reply, ()) = timeout(WAIT_TIMEOUT, both).await.expect("the reply did not wait for room");
    assert_eq!(reply.unwrap().body.len(), 100);
    assert_eq!(budget.usage().bytes_held, 0);
    // Calls about leases and health have small limits and do not wait.
    let _held = budget.hold(BodyKind::Request, 950);
    assert_eq!(exchange(&pool, 64 << 10).await.unwrap().body.len(), 100);
}
