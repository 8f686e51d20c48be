//! Notices an upstream that hangs: no answers, and silence at its health endpoint.

use std::{sync::Arc, time::Duration};

use ownership::UpstreamState;
use tokio::time::{MissedTickBehavior, interval, timeout};
use upstream::HealthState;

use crate::{gate::Gate, report::Report};

const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Silence after which an upstream counts as lost.
const UNRESPONSIVE_MAX: Duration = Duration::from_millis(1000);

/// Asks for the health, and reports each change.
pub(super) async fn run(gate: Arc<Gate>) {
    let mut tick = interval(PROBE_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut told: Option<UpstreamState> = None;
    loop {
        tick.tick().await;
        let Some(bound) = gate.bound.load_full() else { continue };
        if !bound.upstream.is_asked_for_health() {
            continue;
        }
        let asked = gate.clock.now();
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
        // This process was paused: the silence was its own.
        if state == UpstreamState::Lost && now.since(asked) > PROBE_TIMEOUT * 2 {
            gate.record_response(now);
            continue;
        }
        if told != Some(state) {
            told = Some(state);
            gate.reporter.deliver(Report::Upstream(state)).await;
        }
    }
}
