//! The pool against a peer that answers as each test writes it.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::{CallKind, ExchangeError, Pool, PoolConfig};

const CONFIG: PoolConfig = PoolConfig {
    connect_timeout: Duration::from_secs(5),
    unused_for: Duration::from_secs(60),
    unused_max: 4,
    probe_every: Some(Duration::from_secs(1)),
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
    assert_eq!(pool.opened(), 1);
}

#[tokio::test]
async fn a_connection_that_its_peer_closes_is_not() {
    const CLOSE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    const SHORT: &str = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\ncontent-length: 2\r\n\r\nok";
    let pool = peer(&[&[CLOSE], &[SHORT], &[OK]]).await;
    for _ in 0..3 {
        assert_eq!(ask(&pool).await.as_deref(), Ok("ok"));
    }
    assert_eq!(pool.opened(), 3);
}

#[tokio::test]
async fn a_call_of_a_kind_does_not_directly_follow_another() {
    const KIND: CallKind = CallKind("one");
    let pool = peer(&[&[OK, OK, OK, OK, OK], &[OK]]).await;
    ask_of_kind(&pool, KIND).await.unwrap();
    ask_of_kind(&pool, CallKind("other")).await.unwrap();
    ask_of_kind(&pool, KIND).await.unwrap();
    ask(&pool).await.unwrap();
    assert_eq!(pool.opened(), 1, "something else came between");
    ask_of_kind(&pool, KIND).await.unwrap();
    ask_of_kind(&pool, KIND).await.unwrap();
    assert_eq!(pool.opened(), 2);
}

#[tokio::test]
async fn bytes_behind_an_answer_belong_to_no_request() {
    const TWICE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\
                         content-length: 3\r\n\r\nbad";
    let pool = peer(&[&[TWICE], &[OK]]).await;
    assert_eq!(ask(&pool).await.as_deref(), Ok("ok"));
    assert_eq!(ask(&pool).await.as_deref(), Ok("ok"));
    assert_eq!(pool.opened(), 2);
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

#[tokio::test]
async fn an_answer_may_be_too_large() {
    const LARGE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n";
    let pool = peer(&[&[LARGE]]).await;
    assert!(matches!(ask(&pool).await, Err(ExchangeError::Broken(_))));
}
