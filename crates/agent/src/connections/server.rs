//! The HTTP server of the listeners that serve no callers.

use std::{
    convert::Infallible,
    future::poll_fn,
    io,
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use hyper::{server::conn::http1, service::service_fn};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use volo_http::{body::Body, request::Request, response::Response};

use crate::{
    connections::{
        budget::{ConnectionBudget, ConnectionPermit, ListenerKind},
        client_stream::{ClientStream, ConnectionObserver, PeerState, no_room_refusal},
    },
    snapshot::SnapshotCell,
};

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Limit of the server's buffer: a head is complete when the server gets it, and has at most the largest
/// `header_bytes_max` and some more.
const SERVER_BUFFER_BYTES_MAX: usize = (256 + 32) << 10;
/// Bytes of a refused connection that are read, so that closing it does not reset it.
const REFUSED_BYTES_READ: usize = 16 << 10;

/// A listener and the limits of its connections.
#[derive(Debug)]
pub(crate) struct HttpListener {
    pub(crate) kind: ListenerKind,
    pub(crate) listener: TcpListener,
    pub(crate) budget: ConnectionBudget,
    pub(crate) snapshots: Arc<SnapshotCell>,
}

impl HttpListener {
    /// Serves until the process ends.
    pub(crate) async fn serve<F>(
        self,
        respond: impl Fn(Request) -> F + Clone + Send + Sync + 'static,
    ) where
        F: Future<Output = Response> + Send + 'static,
    {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    let Some(permit) = self.budget.admit(self.kind).await else {
                        refuse_connection(&stream);
                        continue;
                    };
                    let snapshots = Arc::clone(&self.snapshots);
                    tokio::spawn(serve_connection(stream, permit, snapshots, respond.clone()));
                }
                Err(error) => {
                    log::warn!(target: "connections", "Cannot accept a connection at the listener {:?}; retrying: {error}.", self.kind);
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

/// Answers a connection for which there is no room, as far as that is possible without waiting.
pub(crate) fn refuse_connection(stream: &TcpStream) {
    let refusal = no_room_refusal();
    let refuse = || {
        match stream.try_read(&mut [0; REFUSED_BYTES_READ]) {
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => return Err(error),
            Ok(_) | Err(_) => {}
        }
        stream.try_write(refusal.as_bytes())
    };
    if let Err(error) = refuse() {
        log::debug!(target: "connections", "Cannot send a refusal; closing the connection: {error}.");
    }
}

async fn serve_connection<F>(
    stream: TcpStream,
    permit: ConnectionPermit,
    snapshots: Arc<SnapshotCell>,
    respond: impl Fn(Request) -> F,
) where
    F: Future<Output = Response> + Send,
{
    let client = ClientStream::new(stream, permit, snapshots, ());
    let service = service_fn(|request: http::Request<hyper::body::Incoming>| {
        client.begin_request();
        let response = respond(request.map(Body::from_body));
        let client = client.clone();
        async move {
            let response = response.await;
            client.record_answer();
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = pin!(server().serve_connection(client.clone(), service));
    let result = tokio::select! {
        result = poll_fn(|cx| poll_connection(cx, &client, connection.as_mut())) => result,
        () = client.must_close() => return,
    };
    if let Err(error) = result {
        log::debug!(target: "connections", "A connection ended with an error: {error}.");
    }
    client.discard_rest().await;
}

/// Returns the settings of the HTTP server.
pub(crate) fn server() -> http1::Builder {
    let mut server = http1::Builder::new();
    server.max_buf_size(SERVER_BUFFER_BYTES_MAX);
    server
}

/// Reads ahead of the server, and lets it serve the connection until it ends.
pub(crate) fn poll_connection<O, S>(
    cx: &mut Context<'_>,
    client: &ClientStream<O>,
    mut connection: Pin<&mut http1::Connection<ClientStream<O>, S>>,
) -> Poll<hyper::Result<()>>
where
    O: ConnectionObserver,
    S: hyper::service::HttpService<hyper::body::Incoming, ResBody = Body>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match client.poll_read_ahead(cx) {
        PeerState::Disconnected => return Poll::Ready(Ok(())),
        PeerState::Connected => {}
    }
    if let Poll::Ready(result) = connection.as_mut().poll(cx) {
        return Poll::Ready(result);
    }
    if !client.must_end() {
        return Poll::Pending;
    }
    connection.as_mut().graceful_shutdown();
    connection.poll(cx)
}
