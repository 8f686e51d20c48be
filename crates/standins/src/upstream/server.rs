//! The HTTP server of the upstream and its graceful shutdown.

use std::{sync::Arc, time::Duration};

use http::{HeaderName, StatusCode};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    time::sleep,
};
use volo::net::incoming::DefaultIncoming;
use volo_http::{
    body::BodyConversion,
    request::Request,
    response::Response,
    server::{Router, Server},
};

use super::{
    announce::announce,
    control::handle_control_call,
    execution::execute,
    options::{Config, UpstreamOptions},
    state::Upstream,
};
use crate::http::{bind, print_address, text_response, with_header};

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Exit code of the process after `POST /admin/condition` has made it leave.
pub const LEFT_EXIT_CODE: i32 = 71;
const LIMIT: HeaderName = HeaderName::from_static("x-requests-per-s-max");
const LEAVING: HeaderName = HeaderName::from_static("x-leaving");
/// Delay before the process exits, so that the last answers are sent.
const EXIT_DELAY: Duration = Duration::from_millis(100);

/// Runs the upstream until a signal ends the process. On the signal the upstream announces that it is draining,
/// accepts requests for the drain time, completes requests in flight and exits.
pub async fn run(options: UpstreamOptions) -> anyhow::Result<()> {
    let config = Config::try_from(options)?;
    // Before the upstream listens: the server handles signals only a moment after.
    let mut terminate = signal(SignalKind::terminate())?;
    let (listener, address) = bind(config.listen).await?;
    let upstream = Arc::new(Upstream::new(config)?);
    print_address(address)?;
    if let Some(agent) = upstream.config.agent {
        let upstream = Arc::clone(&upstream);
        tokio::spawn(async move { announce(&upstream, agent, address).await });
    }
    let stopping = Arc::clone(&upstream);
    tokio::spawn(async move {
        if terminate.recv().await.is_some() {
            stop(&stopping).await;
        }
    });
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
                None => {
                    let response = execute(&upstream, &parts.uri, &parts.headers).await;
                    state_condition(&upstream, response)
                }
            }
        }
    };
    Server::new(Router::new().fallback(handler))
        .register_shutdown_hook(move || Box::pin(async move { stop(&upstream).await }))
        .run(DefaultIncoming::from(listener))
        .await
        .map_err(|error| anyhow::anyhow!("serving: {error}"))
}

/// Adds the headers of the condition that the upstream states.
fn state_condition(upstream: &Upstream, response: Response) -> Response {
    let (limit_per_s, is_leaving) = upstream.stated_condition();
    let response = match limit_per_s {
        Some(limit_per_s) => with_header(response, LIMIT, limit_per_s),
        None => response,
    };
    if is_leaving { with_header(response, LEAVING, 1) } else { response }
}

async fn stop(upstream: &Upstream) {
    upstream.start_drain();
    exit_when_closed(upstream, 0).await;
}

/// Exits at the time that the upstream has stated, after its running requests.
pub(crate) async fn leave(upstream: &Upstream, announces: bool) {
    if announces {
        upstream.start_drain();
    }
    exit_when_closed(upstream, LEFT_EXIT_CODE).await;
}

async fn exit_when_closed(upstream: &Upstream, exit_code: i32) {
    while !upstream.is_closed() || upstream.accepted_count() > 0 {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    sleep(EXIT_DELAY).await;
    std::process::exit(exit_code);
}
