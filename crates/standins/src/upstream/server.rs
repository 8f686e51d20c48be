//! The HTTP server of the upstream and its graceful shutdown.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use tokio::{net::TcpListener, time::sleep};
use volo::net::incoming::DefaultIncoming;
use volo_http::{
    body::BodyConversion,
    request::Request,
    server::{Router, Server},
};

use super::{
    announce::announce,
    control::handle_control_call,
    execution::execute,
    options::{Config, UpstreamOptions},
    state::Upstream,
};
use crate::http::{bind, print_address, text_response};

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay before the process exits, so that the last answers are sent.
const EXIT_DELAY: Duration = Duration::from_millis(100);

/// Runs the upstream until a signal ends the process. On the signal the upstream announces that it is draining,
/// accepts requests for the drain time, completes requests in flight and exits.
pub async fn run(options: UpstreamOptions) -> anyhow::Result<()> {
    let config = Config::try_from(options)?;
    let (listener, address) = bind(config.listen).await?;
    let upstream = Arc::new(Upstream::new(config)?);
    print_address(address)?;
    if let Some(agent) = upstream.config.agent {
        let upstream = Arc::clone(&upstream);
        tokio::spawn(async move { announce(&upstream, agent, address).await });
    }
    serve(listener, upstream).await
}

pub(crate) async fn serve(listener: TcpListener, upstream: Arc<Upstream>) -> anyhow::Result<()> {
    let handler = {
        let upstream = Arc::clone(&upstream);
        move |request: Request| async move {
            let (parts, body) = request.into_parts();
            let Ok(body) = body.into_bytes().await else {
                return text_response(StatusCode::BAD_REQUEST, "the body broke off");
            };
            match handle_control_call(&upstream, &parts.method, parts.uri.path(), &body).await {
                Some(response) => response,
                None => execute(&upstream, &parts.uri, &parts.headers).await,
            }
        }
    };
    Server::new(Router::new().fallback(handler))
        .register_shutdown_hook(move || Box::pin(async move { stop(&upstream).await }))
        .run(DefaultIncoming::from(listener))
        .await
        .map_err(|error| anyhow::anyhow!("serving: {error}"))
}

async fn stop(upstream: &Upstream) {
    upstream.start_drain();
    while !upstream.is_closed() || upstream.accepted_count() > 0 {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    sleep(EXIT_DELAY).await;
    std::process::exit(0);
}
