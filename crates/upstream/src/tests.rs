//! Tests of the HTTP client of an upstream: headers of a request and classification of its answers and failures.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, uri::PathAndQuery};
use model::{RequestId, Term, Token};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::{Answer, CallError, HttpUpstream, Request, Upstream};

/// Calls an upstream that reads one request, sends the raw bytes `answer` and closes the connection. Passes the result
/// of the call and the received request to `expected`.
async fn check(answer: &'static str, expected: impl FnOnce(Result<Answer, CallError>, String)) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = Vec::new();
        while !received.ends_with(b"body") {
            assert_ne!(stream.read_buf(&mut received).await.unwrap(), 0);
        }
        stream.write_all(answer.as_bytes()).await.unwrap();
        String::from_utf8(received).unwrap()
    });
    let upstream = HttpUpstream::new(address, 4, 16).unwrap();
    let result = upstream.call(request()).await;
    expected(result, server.await.unwrap());
}

fn request() -> Request {
    Request {
        method: Method::POST,
        path: PathAndQuery::from_static("/svc/x?y=1"),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"body"),
        id: RequestId(0xabc),
        token: Some(Token { term: Term(3), sequence: 7 }),
        remaining: Duration::from_millis(1500),
        bounds: None,
    }
}

#[tokio::test]
async fn a_request_carries_its_headers_and_returns_the_answer() {
    check("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", |result, received| {
        assert_eq!(&result.unwrap().body[..], b"ok");
        let received = received.to_ascii_lowercase();
        assert!(received.starts_with("post /svc/x?y=1 http/1.1\r\n"), "{received}");
        for line in ["x-request-id: abc", "x-fence-token: 3.7", "x-deadline-ms: 1500"] {
            assert!(received.contains(&format!("{line}\r\n")), "{received}");
        }
    })
    .await;
}

#[tokio::test]
async fn a_503_with_the_not_run_header_is_refused() {
    let answer = "HTTP/1.1 503 x\r\nx-not-run: 1\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n";
    check(answer, |result, _| match result.unwrap_err() {
        CallError::Refused { retry_after, .. } => {
            assert_eq!(retry_after, Some(Duration::from_secs(2)));
        }
        error => panic!("{error}"),
    })
    .await;
}

/// Guards against a false "not run": answers carry no id, so the second copy of a refusal would be taken for the answer
/// to the next request on its connection.
#[tokio::test]
async fn a_connection_is_not_reused_after_a_refusal() {
    const REFUSAL: &str = "HTTP/1.1 503 x\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for answers in [[REFUSAL, REFUSAL], [ANSWER, ANSWER]] {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                for answer in answers {
                    let mut received = Vec::new();
                    while !received.ends_with(b"body") {
                        if stream.read_buf(&mut received).await.unwrap() == 0 {
                            return;
                        }
                    }
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    let upstream = HttpUpstream::new(address, 4, 16).unwrap();
    let refused = upstream.call(request()).await;
    assert!(matches!(refused, Err(CallError::Refused { .. })), "{refused:?}");
    // A third connection is never accepted, so the answers share the second one.
    for _ in 0..2 {
        assert_eq!(&upstream.call(request()).await.unwrap().body[..], b"ok");
    }
}

#[tokio::test]
async fn a_503_without_the_not_run_header_is_an_answer() {
    check("HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n", |result, _| {
        assert_eq!(result.unwrap().status, StatusCode::SERVICE_UNAVAILABLE);
    })
    .await;
}

#[tokio::test]
async fn a_truncated_answer_is_broken() {
    check("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok", |result, _| {
        assert!(matches!(result, Err(CallError::Broken { .. })), "{result:?}");
    })
    .await;
}

#[tokio::test]
async fn a_too_large_answer_is_broken() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\n12345678901234567";
    check(answer, |result, _| {
        assert!(matches!(result, Err(CallError::Broken { .. })), "{result:?}");
    })
    .await;
}

#[tokio::test]
async fn a_connection_closed_without_an_answer_is_lost() {
    check("", |result, _| {
        assert!(matches!(result, Err(CallError::Lost { .. })), "{result:?}");
    })
    .await;
}

#[tokio::test]
async fn a_refused_connection_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let upstream = HttpUpstream::new(address, 4, 16).unwrap();
    let result = upstream.call(request()).await;
    assert!(matches!(result, Err(CallError::NotSent { .. })), "{result:?}");
}
