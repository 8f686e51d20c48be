//! The HTTP server for callers.

use std::{convert::Infallible, sync::Arc};

use tokio::{net::TcpListener, sync::oneshot};
use volo::{Service, net::incoming::DefaultIncoming};
use volo_http::{context::ServerContext, request::Request, response::Response, server::Server};

use crate::ingress::Ingress;

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

/// Serves callers until `drained` resolves after a signal. The library takes SIGHUP for a reason
/// to stop as well; waiting for `drained` in its shutdown hook keeps it serving.
pub(crate) async fn serve(
    listener: TcpListener,
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
        .run(DefaultIncoming::from(listener))
        .await
        .map_err(|error| anyhow::anyhow!("serving callers: {error}"))
}
