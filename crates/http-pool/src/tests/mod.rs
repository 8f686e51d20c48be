//! Tests of the pool against a peer with scripted replies.

mod endless;

use std::{
    io::{Read, Write},
    net::TcpListener as BlockingListener,
    sync::mpsc,
    thread,
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::yield_now,
    time::timeout,
};

use crate::{CallId, ExchangeError, Pool, PoolConfig, Reuse};

const CONFIG: PoolConfig = PoolConfig {
    connect_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(60),
    idle_max: 4,
    probe_interval: Some(Duration::from_secs(1)),
};

/// Starts a peer and returns a pool of connections to it. The peer replies to the requests on each connection with the
/// texts of one element of `replies`, and closes the connection after the last one.
async fn pool_of_peer(replies: &'static [&'static [&'static str]]) -> Pool {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for connection in replies {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                for reply in *connection {
                    let mut buffer = [0; 4096];
                    if stream.read(&mut buffer).await.unwrap() == 0 {
                        break;
                    }
                    stream.write_all(reply.as_bytes()).await.unwrap();
                }
            });
        }
    });
    Pool::new(address, CONFIG)
}

async fn request(pool: &Pool) -> Result<String, ExchangeError> {
    let get = Request::get("/x").header("host", "a.example").body(Full::new(Bytes::new()));
    let reply = pool.exchange(get.unwrap(), 1000, |_| true).await?;
    Ok(String::from_utf8(reply.body.to_vec()).unwrap())
}

async fn request_with_id(pool: &Pool, id: u64, reuse: Reuse) {
    let get = Request::get("/x").header("host", "a.example").body(Full::new(Bytes::new()));
    pool.exchange_with_id(CallId(id), get.unwrap(), 1000, |_| reuse).await.unwrap();
}

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

#[tokio::test]
async fn a_connection_is_reused() {
    let pool = pool_of_peer(&[&[OK, OK, OK]]).await;
    for _ in 0..3 {
        assert_eq!(request(&pool).await.as_deref(), Ok("ok"));
    }
    assert_eq!(pool.connections_opened(), 1);
}

#[tokio::test]
async fn a_connection_that_the_peer_closes_is_not_reused() {
    const CLOSE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    const SHORT: &str = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\ncontent-length: 2\r\n\r\nok";
    let pool = pool_of_peer(&[&[CLOSE], &[SHORT], &[OK]]).await;
    for _ in 0..3 {
        assert_eq!(request(&pool).await.as_deref(), Ok("ok"));
    }
    assert_eq!(pool.connections_opened(), 3);
}

/// Guards against a late reply to one sending that is taken for the reply to the next one. The first connections have
/// replies to spare, so that only the ids rule them out.
#[tokio::test]
async fn a_repeatable_call_does_not_return_to_its_connection() {
    let pool = pool_of_peer(&[&[OK; 10], &[OK; 10], &[OK; 10]]).await;
    request_with_id(&pool, 1, Reuse::Repeatable).await;
    request_with_id(&pool, 2, Reuse::Repeatable).await;
    request_with_id(&pool, 3, Reuse::Completed).await;
    request(&pool).await.unwrap();
    assert_eq!(pool.connections_opened(), 1, "expected one connection for different ids");
    request_with_id(&pool, 1, Reuse::Repeatable).await;
    request_with_id(&pool, 2, Reuse::Completed).await;
    assert_eq!(pool.connections_opened(), 2, "expected another connection for the second sendings");
    request_with_id(&pool, 1, Reuse::Completed).await;
    assert_eq!(pool.connections_opened(), 3);
}

/// Guards against a late second copy of a final reply that is taken for the reply to the next sending of its id.
#[tokio::test]
async fn consecutive_calls_with_an_id_use_different_connections() {
    let pool = pool_of_peer(&[&[OK; 10], &[OK; 10]]).await;
    request_with_id(&pool, 1, Reuse::Completed).await;
    request_with_id(&pool, 2, Reuse::Completed).await;
    request_with_id(&pool, 1, Reuse::Completed).await;
    assert_eq!(pool.connections_opened(), 1);
    request_with_id(&pool, 1, Reuse::Completed).await;
    assert_eq!(pool.connections_opened(), 2);
}

/// Guards against memory that grows with the refusals on a connection, and against ids that are forgotten to bound it.
#[tokio::test]
async fn a_connection_with_the_most_repeatable_ids_is_replaced() {
    let pool = pool_of_peer(&[&[OK; 1_030], &[OK]]).await;
    for id in 0..1_024 {
        request_with_id(&pool, id, Reuse::Repeatable).await;
    }
    assert_eq!(pool.connections_opened(), 1);
    request_with_id(&pool, 1_024, Reuse::Completed).await;
    assert_eq!(pool.connections_opened(), 2);
}

#[tokio::test]
async fn a_connection_with_bytes_after_a_reply_is_not_reused() {
    const TWICE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\
                         content-length: 3\r\n\r\nbad";
    let pool = pool_of_peer(&[&[TWICE], &[OK]]).await;
    assert_eq!(request(&pool).await.as_deref(), Ok("ok"));
    assert_eq!(request(&pool).await.as_deref(), Ok("ok"));
    assert_eq!(pool.connections_opened(), 2);
}

#[tokio::test]
async fn an_incomplete_reply_is_an_error() {
    const SHORT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nok";
    let pool = pool_of_peer(&[&[SHORT]]).await;
    assert!(matches!(request(&pool).await, Err(ExchangeError::Broken(_))));
    const CHUNK: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n";
    let pool = pool_of_peer(&[&[CHUNK]]).await;
    assert!(matches!(request(&pool).await, Err(ExchangeError::Broken(_))));
    let pool = pool_of_peer(&[&["nonsense\r\n\r\n"]]).await;
    assert!(matches!(request(&pool).await, Err(ExchangeError::Lost(_))));
}

#[tokio::test]
async fn a_reply_without_a_length_ends_with_the_connection() {
    let pool = pool_of_peer(&[&["HTTP/1.1 200 OK\r\n\r\nok"]]).await;
    assert_eq!(request(&pool).await.as_deref(), Ok("ok"));
}

#[tokio::test]
async fn a_request_that_was_not_sent_differs_from_a_lost_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let pool = Pool::new(address, CONFIG);
    assert!(matches!(request(&pool).await, Err(ExchangeError::NotSent(_))));
    // The peer accepts the connection, reads and closes it, so the request may have arrived.
    let pool = pool_of_peer(&[&[""]]).await;
    assert!(matches!(request(&pool).await, Err(ExchangeError::Lost(_))));
}

/// Closes a connection with a TCP reset.
fn reset(stream: std::net::TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

#[tokio::test]
async fn a_request_on_reset_idle_connections_uses_a_new_connection() {
    let listener = BlockingListener::bind("127.0.0.1:0").unwrap();
    let pool = Pool::new(listener.local_addr().unwrap(), CONFIG);
    let (request_reset, reset_requested) = mpsc::channel::<()>();
    let (report_reset, reset_reported) = mpsc::channel();
    let peer = thread::spawn(move || {
        let serve = |listener: &BlockingListener| {
            let (mut stream, _) = listener.accept().unwrap();
            assert_ne!(stream.read(&mut [0; 4096]).unwrap(), 0);
            stream.write_all(OK.as_bytes()).unwrap();
            stream
        };
        let kept = [serve(&listener), serve(&listener)];
        reset_requested.recv().unwrap();
        kept.into_iter().for_each(reset);
        report_reset.send(()).unwrap();
        drop(serve(&listener));
    });
    let (one, other) = tokio::join!(request(&pool), request(&pool));
    one.and(other).unwrap();
    request_reset.send(()).unwrap();
    // Blocks the runtime, so that the pool still considers the connections open.
    reset_reported.recv().unwrap();
    // Lets the runtime notice the resets; the tasks that they wake run only later.
    yield_now().await;
    assert_eq!(request(&pool).await.as_deref(), Ok("ok"));
    assert_eq!(pool.connections_opened(), 3);
    peer.join().unwrap();
}

#[tokio::test]
async fn a_request_that_may_have_been_written_is_not_resent() {
    let listener = BlockingListener::bind("127.0.0.1:0").unwrap();
    let pool = Pool::new(listener.local_addr().unwrap(), CONFIG);
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert_ne!(stream.read(&mut [0; 4096]).unwrap(), 0);
        stream.write_all(OK.as_bytes()).unwrap();
        assert_ne!(stream.read(&mut [0; 4096]).unwrap(), 0);
        reset(stream);
        listener.set_nonblocking(true).unwrap();
        listener
    });
    request(&pool).await.unwrap();
    let result = timeout(CONFIG.connect_timeout, request(&pool)).await;
    assert!(matches!(result, Ok(Err(ExchangeError::Lost(_)))), "{result:?}");
    let listener = peer.join().unwrap();
    assert!(listener.accept().is_err(), "expected no other connection");
    assert_eq!(pool.connections_opened(), 1);
}

#[tokio::test]
async fn a_request_whose_write_fails_is_not_resent() {
    let listener = BlockingListener::bind("127.0.0.1:0").unwrap();
    let pool = Pool::new(listener.local_addr().unwrap(), CONFIG);
    let (request_reset, reset_requested) = mpsc::channel::<()>();
    let (report_reset, reset_reported) = mpsc::channel();
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert_ne!(stream.read(&mut [0; 4096]).unwrap(), 0);
        stream.write_all(OK.as_bytes()).unwrap();
        reset_requested.recv().unwrap();
        reset(stream);
        report_reset.send(()).unwrap();
        listener.set_nonblocking(true).unwrap();
        listener
    });
    request(&pool).await.unwrap();
    request_reset.send(()).unwrap();
    reset_reported.recv().unwrap();
    let result = timeout(CONFIG.connect_timeout, request(&pool)).await;
    assert!(matches!(result, Ok(Err(ExchangeError::Lost(_)))), "{result:?}");
    assert!(peer.join().unwrap().accept().is_err(), "expected no other connection");
    assert_eq!(pool.connections_opened(), 1);
}

#[tokio::test]
async fn a_peer_that_resets_new_connections_counts_as_reachable() {
    let listener = BlockingListener::bind("127.0.0.1:0").unwrap();
    let pool = Pool::new(listener.local_addr().unwrap(), CONFIG);
    thread::spawn(move || {
        for stream in listener.incoming() {
            reset(stream.unwrap());
        }
    });
    for _ in 0..200 {
        let result = request(&pool).await;
        assert!(!matches!(result, Err(ExchangeError::NotSent(_))), "{result:?}");
    }
}

#[tokio::test]
async fn a_too_large_reply_is_an_error() {
    const LARGE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n";
    let pool = pool_of_peer(&[&[LARGE]]).await;
    assert!(matches!(request(&pool).await, Err(ExchangeError::Broken(_))));
}
