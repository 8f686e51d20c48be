//! Detects an upstream that hangs: it neither answers requests nor its health endpoint.

use std::{sync::Arc, time::Duration};

use ownership::UpstreamState;
use tokio::time::{MissedTickBehavior, interval, timeout};
use upstream::HealthState;

use crate::{gate::Gate, report::Report};

const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without any answer after which an upstream counts as lost.
const UNRESPONSIVE_MAX: Duration = Duration::from_millis(1000);

/// Probes the health of the upstream and reports each change of its state.
pub(super) async fn run(gate: Arc<Gate>) {
    let mut tick = interval(PROBE_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reported_state: Option<UpstreamState> = None;
    loop {
        tick.tick().await;
        let Some(bound) = gate.bound.load_full() else { continue };
        if !bound.upstream.needs_health_polling() {
            continue;
        }
        let probed_at = gate.clock.now();
        let health = timeout(PROBE_TIMEOUT, bound.upstream.health()).await;
        let now = gate.clock.now();
        let state = match health {
            Ok(Ok(health)) => {
                gate.record_response(now);
                match health.state {
                    HealthState::Starting => UpstreamState::Starting,
                    HealthState::Ready => UpstreamState::Ready,
                    HealthState::Draining => UpstreamState::Draining,
                }
            }
            _ if now.since(gate.last_response()) > UNRESPONSIVE_MAX => UpstreamState::Lost,
            _ => continue,
        };
        // A probe that took this long shows that this process was paused, not the upstream.
        if state == UpstreamState::Lost && now.since(probed_at) > PROBE_TIMEOUT * 2 {
            gate.record_response(now);
            continue;
        }
        if reported_state != Some(state) {
            reported_state = Some(state);
            gate.reporter.report(Report::Upstream(state)).await;
        }
    }
}
