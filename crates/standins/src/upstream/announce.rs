//! Announces the upstream to the agent beside it.

use std::{net::SocketAddr, time::Duration};

use serde::Serialize;
use tokio::time::{sleep, timeout};
use volo_http::{body::Body, client::Client};

use super::state::{Upstream, UpstreamState};

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Retry delay until the agent acknowledges a change, and interval of checks for the next change.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_millis(50);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct Announcement<'a> {
    service: &'a str,
    address: SocketAddr,
    state: UpstreamState,
    slots: u16,
    checks_fence: bool,
    clock_ms: u64,
    started_ms: u64,
}

/// Announces the upstream in an endless loop: periodically, and at once when its state changes.
pub(crate) async fn announce(upstream: &Upstream, agent: SocketAddr, address: SocketAddr) {
    let client = match Client::builder().build() {
        Ok(client) => client,
        Err(error) => {
            log::error!(target: "upstream", "Could not create an HTTP client, so the upstream is not announced: {error}.");
            return;
        }
    };
    loop {
        let state = upstream.state();
        let is_acknowledged = send(&client, upstream, agent, address, state).await;
        let wait = if is_acknowledged { ANNOUNCE_INTERVAL } else { ANNOUNCE_RETRY_DELAY };
        let changed = async {
            while upstream.state() == state {
                sleep(ANNOUNCE_RETRY_DELAY).await;
            }
        };
        // The wait ends after its time or with a change, so the result doesn't matter.
        let _ = timeout(wait, changed).await;
    }
}

async fn send(
    client: &Client,
    upstream: &Upstream,
    agent: SocketAddr,
    address: SocketAddr,
    state: UpstreamState,
) -> bool {
    upstream.wait_while_frozen().await;
    let announcement = Announcement {
        service: &upstream.config.service,
        address,
        state,
        slots: upstream.config.slots,
        checks_fence: upstream.config.checks_fence,
        clock_ms: upstream.clock_ms(),
        started_ms: upstream.started_ms,
    };
    let Ok(body) = serde_json::to_vec(&announcement) else { return false };
    let request = client
        .post(format!("http://{agent}/upstream/announce"))
        .header("content-type", "application/json")
        .body(Body::from(body));
    matches!(
        timeout(ANNOUNCE_TIMEOUT, request.send()).await,
        Ok(Ok(response)) if response.status().is_success()
    )
}
