//! The HTTP server for callers.

use std::{
    convert::Infallible, fmt, io, net::TcpListener as StdListener, sync::Arc, time::Duration,
};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::{oneshot, watch},
    time::sleep,
};
use volo::{
    Service,
    net::{
        conn::Conn,
        incoming::{Incoming, MakeIncoming},
    },
};
use volo_http::{context::ServerContext, request::Request, response::Response, server::Server};

use crate::ingress::Ingress;

/// How long to wait after a failure to accept, as when there are too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

struct Caller(Arc<Ingress>);

impl Service<ServerContext, Request> for Caller {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _cx: &mut ServerContext,
        request: Request,
    ) -> Result<Response, Infallible> {
        Ok(self.0.call(request).await)
    }
}

/// Accepts connections until it is told to close. Then it takes those that the system has made
/// already, for closing the socket would reset them, and closes it.
struct CallerIncoming {
    socket: Socket,
    closing: watch::Receiver<bool>,
}

#[derive(Debug)]
enum Socket {
    Open(TcpListener),
    /// Asked directly what is still in its queue: the runtime may not have heard of all of it.
    Closing(StdListener),
    Closed,
}

impl fmt::Debug for CallerIncoming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.socket)
    }
}

impl MakeIncoming for CallerIncoming {
    type Incoming = CallerIncoming;

    async fn make_incoming(self) -> io::Result<CallerIncoming> {
        Ok(self)
    }
}

impl Incoming for CallerIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let accepted = match &self.socket {
            Socket::Open(listener) => tokio::select! {
                biased;
                accepted = listener.accept() => Some(accepted.map(|(stream, _)| stream)),
                // The error means that nobody will tell any more: close then too.
                _ = self.closing.wait_for(|it| *it) => None,
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
        match accepted {
            Ok(stream) => {
                stream.set_nodelay(true)?;
                Ok(Some(Conn::from(stream)))
            }
            Err(error) => {
                log::warn!(target: "ingress", "Accepting a caller failed: {error}.");
                sleep(ACCEPT_PAUSE).await;
                Ok(None)
            }
        }
    }
}

impl CallerIncoming {
    /// The next step towards closing.
    fn close(&mut self) -> io::Result<()> {
        self.socket = match std::mem::replace(&mut self.socket, Socket::Closed) {
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

/// Serves callers until `drained` resolves after a signal. The library takes SIGHUP for a reason
/// to stop as well; waiting for `drained` in its shutdown hook keeps it serving.
pub(crate) async fn serve(
    listener: TcpListener,
    closing: watch::Receiver<bool>,
    ingress: Arc<Ingress>,
    drained: oneshot::Receiver<()>,
) -> anyhow::Result<()> {
    Server::new(Caller(ingress))
        .register_shutdown_hook(move || {
            Box::pin(async move {
                // The error means that nobody will say so any more: stop then too.
                _ = drained.await;
            })
        })
        .run(CallerIncoming { socket: Socket::Open(listener), closing })
        .await
        .map_err(|error| anyhow::anyhow!("serving callers: {error}"))
}
