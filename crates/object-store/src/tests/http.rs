//! Tests of the HTTP client over real sockets, against a server that answers from a script.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use model::ObjectVersion;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::{Change, Changes, HttpObjectStore, Object, ObjectStore, StoreError, Timeouts};

/// Reaction of the server to one request.
#[derive(Clone)]
enum Reply {
    Answer(String),
    /// Sends these bytes and closes the connection.
    Close(String),
    NoAnswer,
}

fn answer(status: &str, headers: &str, body: &str) -> Reply {
    let length = body.len();
    Reply::Answer(format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}"))
}

/// Server that answers requests from a script and records them.
struct Server {
    address: SocketAddr,
    /// Replies that have not been used yet.
    script: Mutex<VecDeque<Reply>>,
    /// Requests so far, each with the number of its connection.
    requests: Mutex<Vec<(usize, String)>>,
}

async fn serve(script: impl IntoIterator<Item = Reply>) -> Arc<Server> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = Arc::new(Server {
        address: listener.local_addr().unwrap(),
        script: Mutex::new(script.into_iter().collect()),
        requests: Mutex::default(),
    });
    tokio::spawn({
        let server = Arc::clone(&server);
        async move {
            for connection in 1.. {
                let (stream, _) = listener.accept().await.unwrap();
                let server = Arc::clone(&server);
                tokio::spawn(async move { server.serve_connection(stream, connection).await });
            }
        }
    });
    server
}

impl Server {
    async fn serve_connection(&self, mut stream: TcpStream, connection: usize) {
        while let Some(request) = read_request(&mut stream).await {
            self.requests.lock().unwrap().push((connection, request));
            let reply = self.script.lock().unwrap().pop_front().expect("a scripted reply");
            match reply {
                Reply::Answer(text) => stream.write_all(text.as_bytes()).await.unwrap(),
                Reply::Close(text) => return stream.write_all(text.as_bytes()).await.unwrap(),
                // Sends nothing until the client times out and closes the connection.
                Reply::NoAnswer => _ = stream.read(&mut [0]).await,
            }
        }
    }

    fn request(&self, index: usize) -> String {
        self.requests.lock().unwrap()[index].1.clone()
    }

    /// Returns a client whose timeout is short only if the first request gets no answer.
    fn platform(&self) -> HttpObjectStore {
        let is_unanswered = matches!(self.script.lock().unwrap()[0], Reply::NoAnswer);
        let call = Duration::from_millis(if is_unanswered { 50 } else { 30_000 });
        HttpObjectStore::new(self.address, Timeouts { call, watch_margin: call }).unwrap()
    }

    /// Returns the kind of an error and checks that the error contains its step and its peer.
    fn kind(&self, error: &StoreError, step: &str) -> &'static str {
        assert!(error.to_string().starts_with(step), "expected an error of {step}: {error}");
        match error {
            StoreError::Conflict { .. } => "conflict",
            StoreError::Refused { peer, .. } if *peer == self.address => "refused",
            StoreError::Unavailable { peer, .. } if *peer == self.address => "unavailable",
            _ => "of another peer",
        }
    }
}

/// Reads a request with its body. Returns `None` once the client has closed the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_ascii_lowercase();
            let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
            if body.len() >= length.map_or(0, |it| it.parse().unwrap()) {
                return Some(text);
            }
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(len) => text.push_str(std::str::from_utf8(&buffer[..len]).unwrap()),
        }
    }
}

async fn check_update(reply: Reply, expected: Result<u64, &str>) {
    let server = serve([reply]).await;
    let body = Bytes::from_static(b"{}");
    let actual = server.platform().update("services/s", ObjectVersion(4), body).await;
    let actual = actual.map(|it| it.0).map_err(|it| server.kind(&it, "update services/s"));
    assert_eq!(actual, expected);
    let request = server.request(0).to_ascii_lowercase();
    assert!(request.starts_with("put /objects/services/s http/1.1\r\n"), "{request}");
    assert!(request.contains("\r\nif-object-version: 4\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\n{}"), "{request}");
}

#[tokio::test]
async fn the_answer_to_an_update_maps_to_success_or_the_kind_of_error() {
    check_update(answer("200 OK", "x-object-version: 9\r\n", ""), Ok(9)).await;
    check_update(answer("409 Conflict", "x-object-version: 7\r\n", ""), Err("conflict")).await;
    check_update(answer("400 Bad Request", "", "no such kind"), Err("refused")).await;
    check_update(answer("404 Not Found", "", ""), Err("refused")).await;
    check_update(answer("503 Service Unavailable", "", ""), Err("unavailable")).await;
    check_update(answer("200 OK", "", ""), Err("unavailable")).await;
    check_update(Reply::Close(String::new()), Err("unavailable")).await;
    check_update(Reply::NoAnswer, Err("unavailable")).await;
}

#[tokio::test]
async fn a_truncated_object_is_an_error() {
    let truncated = "HTTP/1.1 200 OK\r\nx-object-version: 3\r\ncontent-length: 9\r\n\r\n{\"a\"";
    let server = serve([
        answer("200 OK", "x-object-version: 3\r\n", "{\"a\": 1}"),
        answer("404 Not Found", "", ""),
        Reply::Close(truncated.to_owned()),
    ])
    .await;
    let platform = server.platform();
    let object = Object { version: ObjectVersion(3), body: Bytes::from_static(b"{\"a\": 1}") };
    assert_eq!(platform.read("services/s").await, Ok(Some(object)));
    assert_eq!(platform.read("services/s").await, Ok(None));
    let error = platform.read("services/s").await.unwrap_err();
    assert_eq!(server.kind(&error, "read services/s"), "unavailable");
}

#[tokio::test]
async fn connections_are_reused() {
    const CALLS: usize = 20;
    let server = serve(vec![answer("404 Not Found", "", ""); CALLS]).await;
    let platform = server.platform();
    for _ in 0..CALLS {
        assert_eq!(platform.read("services/s").await, Ok(None));
    }
    let connections = server.requests.lock().unwrap().iter().map(|it| it.0).max().unwrap();
    assert!(
        connections < CALLS / 2,
        "{connections} connections were opened for {CALLS} consecutive calls"
    );
}

#[tokio::test]
async fn lists_and_watches_return_their_revision() {
    let body = r#"[{"path":"accepted/a","version":5,"body":"{}"},{"path":"accepted/b","version":6,"body":null}]"#;
    let server = serve([
        answer("200 OK", "x-revision: 6\r\n", body),
        Reply::Answer("HTTP/1.1 204 No Content\r\n\r\n".to_owned()),
        answer("200 OK", "x-revision: 8\r\n", "[]"),
        answer("200 OK", "x-revision: 8\r\n", "[{"),
    ])
    .await;
    let platform = server.platform();
    let change = |path: &str, version, body: Option<&'static str>| Change {
        path: path.to_owned(),
        version: ObjectVersion(version),
        body: body.map(Bytes::from),
    };
    let changes = vec![change("accepted/a", 5, Some("{}")), change("accepted/b", 6, None)];
    let listed = platform.list("accepted/").await;
    assert_eq!(listed, Ok(Changes { revision: ObjectVersion(6), changes }));
    let wait = Duration::from_millis(1);
    let empty = |revision| Ok(Changes { revision: ObjectVersion(revision), changes: Vec::new() });
    assert_eq!(platform.watch("accepted/", ObjectVersion(6), wait).await, empty(6));
    assert_eq!(platform.watch("accepted/", ObjectVersion(6), wait).await, empty(8));
    let error = platform.watch("accepted/", ObjectVersion(8), wait).await.unwrap_err();
    assert_eq!(server.kind(&error, "watch accepted/"), "unavailable");
    assert!(server.request(0).starts_with("GET /list/accepted/ HTTP/1.1\r\n"));
    assert!(server.request(1).starts_with("GET /watch/accepted/?after=6&wait_ms=1 HTTP/1.1\r\n"));
}

#[tokio::test]
async fn a_refused_connection_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let platform = HttpObjectStore::new(address, Timeouts::default()).unwrap();
    let error = platform.read("services/s").await.unwrap_err();
    assert!(matches!(error, StoreError::Unavailable { peer, .. } if peer == address));
}
