//! The pool against a peer that answers as each test writes it.

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

use crate::{CallKind, ExchangeError, Pool, PoolConfig};

const CONFIG: PoolConfig = PoolConfig {
    connect_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(60),
    idle_max: 4,
    probe_interval: Some(Duration::from_secs(1)),
};

/// A peer that gives each request on a connection the next of these texts, and closes after the last.
async fn peer(answers: &'static [&'static [&'static str]]) -> Pool {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for connection in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            for answer in *connection {
                let mut buffer = [0; 4096];
                if stream.read(&mut buffer).await.unwrap() == 0 {
                    break;
                }
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        }
    });
    Pool::new(address, CONFIG)
}

async fn ask(pool: &Pool) -> Result<String, ExchangeError> {
    let request = Request::get("/x").header("host", "a.example").body(Full::new(Bytes::new()));
    let reply = pool.exchange(request.unwrap(), 1000, |_| true).await?;
    Ok(String::from_utf8(reply.body.to_vec()).unwrap())
}

async fn ask_of_kind(pool: &Pool, kind: CallKind) -> Result<String, ExchangeError> {
    let request = Request::get("/x").header("host", "a.example").body(Full::new(Bytes::new()));
    let reply = pool.exchange_of_kind(kind, request.unwrap(), 1000, |_| true).await?;
    Ok(String::from_utf8(reply.body.to_vec()).unwrap())
}

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

#[tokio::test]
async fn a_connection_is_used_again() {
    let pool = peer(&[&[OK, OK, OK]]).await;
    for _ in 0..3 {
        assert_eq!(ask(&pool).await.as_deref(), Ok("ok"));
    }
    assert_eq!(pool.connections_opened(), 1);
}

#[tokio::test]
async fn a_connection_that_its_peer_closes_is_not() {
    const CLOSE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    const SHORT: &str = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\ncontent-length: 2\r\n\r\nok";
    let pool = peer(&[&[CLOSE], &[SHORT], &[OK]]).await;
    for _ in 0..3 {
        assert_eq!(ask(&pool).await.as_deref(), Ok("ok"));
    }
    assert_eq!(pool.connections_opened(), 3);
}

#[tokio::test]
async fn a_call_of_a_kind_does_not_directly_follow_another() {
    const KIND: CallKind = CallKind("one");
    let pool = peer(&[&[OK, OK, OK, OK, OK], &[OK]]).await;
    ask_of_kind(&pool, KIND).await.unwrap();
    ask_of_kind(&pool, CallKind("other")).await.unwrap();
    ask_of_kind(&pool, KIND).await.unwrap();
    ask(&pool).await.unwrap();
    assert_eq!(pool.connections_opened(), 1, "something else came between");
    ask_of_kind(&pool, KIND).await.unwrap();
    ask_of_kind(&pool, KIND).await.unwrap();
    assert_eq!(pool.connections_opened(), 2);
}

#[tokio::test]
async fn bytes_behind_an_answer_belong_to_no_request() {
    const TWICE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\
                         content-length: 3\r\n\r\nbad";
    let pool = peer(&[&[TWICE], &[OK]]).await;
    assert_eq!(ask(&pool).await.as_deref(), Ok("ok"));
    assert_eq!(ask(&pool).await.as_deref(), Ok("ok"));
    assert_eq!(pool.connections_opened(), 2);
}

#[tokio::test]
async fn what_breaks_off_is_no_answer() {
    const SHORT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nok";
    let pool = peer(&[&[SHORT]]).await;
    assert!(matches!(ask(&pool).await, Err(ExchangeError::Broken(_))));
    const CHUNK: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n";
    let pool = peer(&[&[CHUNK]]).await;
    assert!(matches!(ask(&pool).await, Err(ExchangeError::Broken(_))));
    let pool = peer(&[&["nonsense\r\n\r\n"]]).await;
    assert!(matches!(ask(&pool).await, Err(ExchangeError::Lost(_))));
}

#[tokio::test]
async fn an_answer_without_a_length_ends_with_its_connection() {
    let pool = peer(&[&["HTTP/1.1 200 OK\r\n\r\nok"]]).await;
    assert_eq!(ask(&pool).await.as_deref(), Ok("ok"));
}

#[tokio::test]
async fn what_was_not_sent_is_told_apart() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let pool = Pool::new(address, CONFIG);
    assert!(matches!(ask(&pool).await, Err(ExchangeError::NotSent(_))));
    // The peer takes the connection and closes it: the request may have arrived.
    let pool = peer(&[&[""]]).await;
    assert!(matches!(ask(&pool).await, Err(ExchangeError::Lost(_))));
}

/// Closes a connection so that its peer is told of a reset.
fn reset(stream: std::net::TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

#[tokio::test]
async fn a_request_that_finds_kept_connections_reset_goes_on_with_a_new_one() {
    let listener = BlockingListener::bind("127.0.0.1:0").unwrap();
    let pool = Pool::new(listener.local_addr().unwrap(), CONFIG);
    let (resets, reset_now) = mpsc::channel::<()>();
    let (are_reset, done) = mpsc::channel();
    let peer = thread::spawn(move || {
        let answer = |listener: &BlockingListener| {
            let (mut stream, _) = listener.accept().unwrap();
            assert_ne!(stream.read(&mut [0; 4096]).unwrap(), 0);
            stream.write_all(OK.as_bytes()).unwrap();
            stream
        };
        let kept = [answer(&listener), answer(&listener)];
        reset_now.recv().unwrap();
        kept.into_iter().for_each(reset);
        are_reset.send(()).unwrap();
        drop(answer(&listener));
    });
    let (one, other) = tokio::join!(ask(&pool), ask(&pool));
    one.and(other).unwrap();
    resets.send(()).unwrap();
    // Blocks the runtime, so that the connections are still thought to be open.
    done.recv().unwrap();
    // The resets are seen only by this, and what they wake runs later.
    yield_now().await;
    assert_eq!(ask(&pool).await.as_deref(), Ok("ok"));
    assert_eq!(pool.connections_opened(), 3);
    peer.join().unwrap();
}

#[tokio::test]
async fn a_request_that_may_have_been_written_is_not_sent_again() {
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
    ask(&pool).await.unwrap();
    let answer = timeout(CONFIG.connect_timeout, ask(&pool)).await;
    assert!(matches!(answer, Ok(Err(ExchangeError::Lost(_)))), "{answer:?}");
    let listener = peer.join().unwrap();
    assert!(listener.accept().is_err(), "no other connection");
    assert_eq!(pool.connections_opened(), 1);
}

#[tokio::test]
async fn a_request_whose_write_fails_is_not_sent_again() {
    let listener = BlockingListener::bind("127.0.0.1:0").unwrap();
    let pool = Pool::new(listener.local_addr().unwrap(), CONFIG);
    let (resets, reset_now) = mpsc::channel::<()>();
    let (is_reset, done) = mpsc::channel();
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert_ne!(stream.read(&mut [0; 4096]).unwrap(), 0);
        stream.write_all(OK.as_bytes()).unwrap();
        reset_now.recv().unwrap();
        reset(stream);
        is_reset.send(()).unwrap();
        listener.set_nonblocking(true).unwrap();
        listener
    });
    ask(&pool).await.unwrap();
    resets.send(()).unwrap();
    done.recv().unwrap();
    let answer = timeout(CONFIG.connect_timeout, ask(&pool)).await;
    assert!(matches!(answer, Ok(Err(ExchangeError::Lost(_)))), "{answer:?}");
    assert!(peer.join().unwrap().accept().is_err(), "no other connection");
    assert_eq!(pool.connections_opened(), 1);
}

#[tokio::test]
async fn a_peer_that_resets_new_connections_can_be_reached() {
    let listener = BlockingListener::bind("127.0.0.1:0").unwrap();
    let pool = Pool::new(listener.local_addr().unwrap(), CONFIG);
    thread::spawn(move || {
        for stream in listener.incoming() {
            reset(stream.unwrap());
        }
    });
    for _ in 0..200 {
        let answer = ask(&pool).await;
        assert!(!matches!(answer, Err(ExchangeError::NotSent(_))), "{answer:?}");
    }
}

#[tokio::test]
async fn an_answer_may_be_too_large() {
    const LARGE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n";
    let pool = peer(&[&[LARGE]]).await;
    assert!(matches!(ask(&pool).await, Err(ExchangeError::Broken(_))));
}
