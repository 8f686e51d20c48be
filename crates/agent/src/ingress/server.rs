//! The HTTP server for callers.
//!
//! Callers may send further requests on a connection before the first is answered. `hyper` serves them one
//! after the other; [`super::read_ahead`] starts the idempotent ones as soon as their heads are received.

use std::{
    convert::Infallible, future::poll_fn, io, net::TcpListener as StdListener, pin::pin, sync::Arc,
    time::Duration,
};

use hyper::service::service_fn;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{oneshot, watch},
    task::JoinSet,
    time::sleep,
};
use volo_http::body::Body;

use crate::{
    connections::{
        ClientStream, ConnectionBudget, ListenerKind, poll_connection, refuse_connection, server,
    },
    ingress::{Ingress, answer, read_ahead::ReadAhead, stalls::is_readable},
};

/// Pause after a failure to accept a connection, for instance when too many files are open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Extension of a request: the longest time for which it may have waited unread.
#[derive(Debug, Clone, Copy)]
pub(super) struct LongestWait(pub(super) Duration);

/// Serves callers until `drained` resolves, then closes each connection after its last response. Once
/// `closing` becomes true, only connections that are already in the accept queue are accepted, since closing
/// the socket would reset them.
pub(crate) async fn serve(
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
    ingress: Arc<Ingress>,
    budget: ConnectionBudget,
    mut drained: oneshot::Receiver<()>,
) -> anyhow::Result<()> {
    let (end_connections, server_end) = watch::channel(false);
    let mut connections = JoinSet::new();
    let mut socket = Socket::Open(listener);
    let mut stall_ends = ingress.stalls().subscribe();
    // Number of stalls after which the accept queue was last found empty.
    let mut empty_after_stalls = 0;
    loop {
        let stream = tokio::select! {
            // An error means that the sender was dropped, which ends the server as well.
            _ = &mut drained => break,
            stream = socket.accept(&mut closing, &ingress, &mut empty_after_stalls) => stream?,
            Some(_) = connections.join_next() => continue,
            Ok(()) = stall_ends.changed() => continue,
        };
        let Some(stream) = stream else { continue };
        let Some(permit) = budget.admit(ListenerKind::Callers).await else {
            refuse_connection(&stream);
            continue;
        };
        let read_ahead = ReadAhead::new(empty_after_stalls, Arc::clone(&ingress));
        let snapshots = Arc::clone(&ingress.parts.snapshots);
        let stream = ClientStream::new(stream, permit, snapshots, read_ahead);
        connections.spawn(serve_connection(stream, Arc::clone(&ingress), server_end.clone()));
    }
    end_connections.send_replace(true);
    while connections.join_next().await.is_some() {}
    Ok(())
}

/// The listening socket and its steps towards closing.
#[derive(Debug)]
enum Socket {
    Open(TcpListener),
    /// Accepts the rest of the queue directly, since the runtime may not have been notified of all of it.
    Closing(StdListener),
    Closed,
}

impl Socket {
    /// Accepts the next connection. Returns `None` if there was none and the caller should call again.
    async fn accept(
        &mut self,
        closing: &mut watch::Receiver<bool>,
        ingress: &Ingress,
        empty_after_stalls: &mut u64,
    ) -> anyhow::Result<Option<TcpStream>> {
        let accepted = match self {
            Socket::Open(listener) => tokio::select! {
                biased;
                accepted = poll_fn(|cx| {
                    let stall_count = ingress.stalls().count();
                    let accepted = listener.poll_accept(cx);
                    if *empty_after_stalls != stall_count
                        && accepted.is_pending()
                        && !is_readable(&*listener)
                    {
                        *empty_after_stalls = stall_count;
                    }
                    accepted
                }) => Some(accepted.map(|(stream, _)| stream)),
                // An error means that the sender was dropped, which closes the socket as well.
                _ = closing.wait_for(|it| *it) => None,
            },
            Socket::Closing(listener) => match listener.accept() {
                Ok((stream, _)) => Some(from_std(stream)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
                Err(error) => Some(Err(error)),
            },
            Socket::Closed => std::future::pending().await,
        };
        let Some(accepted) = accepted else {
            self.close()?;
            return Ok(None);
        };
        let accepted = accepted.and_then(|stream| stream.set_nodelay(true).map(|()| stream));
        if let Err(error) = &accepted {
            log::warn!(target: "ingress", "Cannot accept a caller's connection; retrying: {error}.");
            sleep(ACCEPT_PAUSE).await;
        }
        Ok(accepted.ok())
    }

    /// Takes the next step towards closing the socket.
    fn close(&mut self) -> io::Result<()> {
        *self = match std::mem::replace(self, Socket::Closed) {
            Socket::Open(listener) => Socket::Closing(listener.into_std()?),
            Socket::Closing(_) | Socket::Closed => Socket::Closed,
        };
        Ok(())
    }
}

fn from_std(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// Serves one connection. Cancels its requests when the caller closes the connection.
async fn serve_connection(
    caller_stream: ClientStream<ReadAhead>,
    ingress: Arc<Ingress>,
    mut server_end: watch::Receiver<bool>,
) {
    let mut stall_ends = ingress.stalls().subscribe();
    let service = service_fn(|request: http::Request<hyper::body::Incoming>| {
        let (caller_stream, ingress) = (caller_stream.clone(), Arc::clone(&ingress));
        async move {
            let (mut head, body) = request.into_parts();
            let number = caller_stream.begin_request();
            let (longest_wait, early) =
                caller_stream.with_observer(|it| (it.longest_wait(), it.take_early(number, &head)));
            head.extensions.insert(LongestWait(longest_wait));
            let response = match early {
                Some(early) => early.answer().await,
                None => None,
            };
            let response = match response {
                Some(response) => response,
                None => ingress.serve(http::Request::from_parts(head, Body::from_body(body))).await,
            };
            // The connection is not closed while a request that was started early may be at an upstream.
            caller_stream.record_answer();
            let has_early_requests = caller_stream.with_observer(|it| it.has_early_requests());
            let must_close = ingress.is_leaving() && !has_early_requests;
            Ok::<_, Infallible>(if must_close {
                answer::with_connection_close(response)
            } else {
                response
            })
        }
    });
    let mut connection = pin!(server().serve_connection(caller_stream.clone(), service));
    let mut server_ends = pin!(async {
        // An error means that the server has ended.
        _ = server_end.wait_for(|it| *it).await;
    });
    let result = loop {
        tokio::select! {
            result = poll_fn(|cx| poll_connection(cx, &caller_stream, connection.as_mut())) => {
                break Some(result);
            }
            () = &mut server_ends => break None,
            () = caller_stream.must_close() => return,
            // Reads the bytes that may have arrived during the stall.
            Ok(()) = stall_ends.changed() => {}
        }
    };
    let result = match result {
        Some(result) => result,
        // A request that has arrived but was not read yet gets a response, which closes the connection.
        None if ingress.is_leaving() && caller_stream.has_unread() => {
            tokio::select! {
                result = poll_fn(|cx| poll_connection(cx, &caller_stream, connection.as_mut())) => result,
                // Nothing but a part of a request has arrived.
                () = caller_stream.must_close() => return,
            }
        }
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(target: "ingress", "A caller's connection ended with an error: {error}.");
    }
    caller_stream.discard_rest().await;
}
