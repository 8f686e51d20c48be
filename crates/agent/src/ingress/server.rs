//! The HTTP server for callers.

use std::{convert::Infallible, fmt, io, sync::Arc, time::Duration};

use tokio::{
    net::TcpListener,
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
    /// None once it is closed.
    listener: Option<TcpListener>,
    closing: watch::Receiver<bool>,
}

impl fmt::Debug for CallerIncoming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.listener)
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
        let Some(listener) = &self.listener else { return std::future::pending().await };
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => Some(accepted),
            // The error means that nobody will tell any more: close then too.
            _ = self.closing.wait_for(|it| *it) => None,
        };
        match accepted {
            Some(Ok((stream, _))) => {
                stream.set_nodelay(true)?;
                Ok(Some(Conn::from(stream)))
            }
            Some(Err(error)) => {
                log::warn!(target: "ingress", "Accepting a caller failed: {error}.");
                sleep(ACCEPT_PAUSE).await;
                Ok(None)
            }
            None => {
                self.listener = None;
                Ok(None)
            }
        }
    }
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
        .run(CallerIncoming { listener: Some(listener), closing })
        .await
        .map_err(|error| anyhow::anyhow!("serving callers: {error}"))
}
