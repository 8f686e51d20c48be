//! The HTTP server for callers.
//!
//! Callers may send further requests on a connection before the first is answered. The library serves
//! them one after the other; [`super::ahead`] starts those that may be repeated as soon as they are there.

use std::{
    convert::Infallible, future::poll_fn, io, net::TcpListener as StdListener, pin::pin, sync::Arc,
    task::Poll, time::Duration,
};

use hyper::{server::conn::http1, service::service_fn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{oneshot, watch},
    task::JoinSet,
    time::sleep,
};
use volo_http::body::Body;

use crate::ingress::{
    Ingress, answer,
    read_ahead::{Ahead, PeerState},
};

/// How long to wait after a failure to accept, as when there are too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers until `drained` resolves; connections end after their last answer then. Once `closing`
/// says so, no new ones are taken but those that the system has made already, for closing the
/// socket would reset them.
pub(crate) async fn serve(
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
    ingress: Arc<Ingress>,
    mut drained: oneshot::Receiver<()>,
) -> anyhow::Result<()> {
    let (ending, ends) = watch::channel(false);
    let mut connections = JoinSet::new();
    let mut socket = Socket::Open(listener);
    loop {
        let stream = tokio::select! {
            // An error means that nobody will say so any more: end then too.
            _ = &mut drained => break,
            stream = socket.accept(&mut closing) => stream?,
            Some(_) = connections.join_next() => continue,
        };
        if let Some(stream) = stream {
            connections.spawn(serve_connection(stream, Arc::clone(&ingress), ends.clone()));
        }
    }
    ending.send_replace(true);
    while connections.join_next().await.is_some() {}
    Ok(())
}

#[derive(Debug)]
enum Socket {
    Open(TcpListener),
    /// Asked directly what is still in its queue: the runtime may not have heard of all of it.
    Closing(StdListener),
    Closed,
}

impl Socket {
    /// The next connection; none: look again.
    async fn accept(
        &mut self,
        closing: &mut watch::Receiver<bool>,
    ) -> anyhow::Result<Option<TcpStream>> {
        let accepted = match self {
            Socket::Open(listener) => tokio::select! {
                biased;
                accepted = listener.accept() => Some(accepted.map(|(stream, _)| stream)),
                // The error means that nobody will tell any more: close then too.
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
            log::warn!(target: "ingress", "Accepting a caller failed: {error}.");
            sleep(ACCEPT_PAUSE).await;
        }
        Ok(accepted.ok())
    }

    /// The next step towards closing.
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

/// Serves one connection. When the caller hangs up, all that it asked is cancelled.
async fn serve_connection(
    stream: TcpStream,
    ingress: Arc<Ingress>,
    mut ends: watch::Receiver<bool>,
) {
    let ahead = Ahead::new(stream, Arc::clone(&ingress));
    let service = service_fn(|request: http::Request<hyper::body::Incoming>| {
        let (ahead, ingress) = (ahead.clone(), Arc::clone(&ingress));
        async move {
            let (head, body) = request.into_parts();
            let response = match ahead.take_started(&head) {
                Some(started) => started.answer().await,
                None => None,
            };
            let response = match response {
                Some(response) => response,
                None => ingress.call(http::Request::from_parts(head, Body::from_body(body))).await,
            };
            // A connection that closes may leave nothing behind that was given to an upstream.
            let more = ahead.answered();
            let closes = ingress.is_leaving() && !more;
            Ok::<_, Infallible>(if closes { answer::closing(response) } else { response })
        }
    });
    let mut connection = pin!(http1::Builder::new().serve_connection(ahead.clone(), service));
    let served = poll_fn(|cx| match ahead.poll_read_on(cx) {
        PeerState::HungUp => Poll::Ready(Ok(())),
        PeerState::Connected => connection.as_mut().poll(cx),
    });
    let server_ends = async {
        // The error means that the server has ended.
        _ = ends.wait_for(|it| *it).await;
    };
    let ended = tokio::select! {
        ended = served => Some(ended),
        () = server_ends => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(target: "ingress", "A caller's connection ended: {error}.");
    }
}
