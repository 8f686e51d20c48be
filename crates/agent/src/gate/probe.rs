//! Asks each incarnation of the upstream whether it runs and is not leaving, before it is given work.
//!
//! An announcement may have been delayed, and a process that was started after it does not know what the upstream has
//! announced to an earlier one since. The answer to a probe is later than both.

use std::{sync::Arc, time::Duration};

use ownership::UpstreamState;
use tokio::time::{sleep, timeout};
use upstream::Presence;

use crate::{
    gate::{Gate, bound::BoundUpstream},
    report::Report,
};

const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a first probe that does not confirm the incarnation; it doubles with each further one.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(50);
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// Probes each incarnation that is not confirmed until it is, and a confirmed one when another incarnation announces itself
/// at its address. Reports the results to control.
pub(super) async fn run(gate: Arc<Gate>) {
    loop {
        tokio::select! {
            () = gate.unconfirmed_bound.notified() => {}
            () = gate.handle.rival_announced.notified() => {
                gate.probe_bound().await;
                continue;
            }
        }
        tokio::select! {
            () = gate.probe_until_confirmed() => {}
            // Another incarnation is bound; it is probed at once.
            () = gate.unconfirmed_bound.notified() => gate.unconfirmed_bound.notify_one(),
        }
    }
}

impl Gate {
    async fn probe_until_confirmed(&self) {
        let mut retry_delay = RETRY_DELAY_MIN;
        while self.bound.load().as_ref().is_some_and(|it| it.needs_probe()) {
            self.probe_bound().await;
            sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(RETRY_DELAY_MAX);
        }
    }

    async fn probe_bound(&self) {
        let Some(bound) = self.bound.load_full() else { return };
        let Some(presence) = probe(&bound).await else { return };
        let (upstream_id, incarnation_start_ms) = bound.incarnation();
        let report = Report::UpstreamProbed { upstream_id, incarnation_start_ms, presence };
        self.reporter.report(report).await;
    }
}

impl BoundUpstream {
    /// Returns whether the upstream has not been confirmed and could be given work if it were.
    pub(super) fn needs_probe(&self) -> bool {
        let is_announced =
            matches!(self.announcement.state, UpstreamState::Starting | UpstreamState::Ready);
        is_announced && !self.is_confirmed
    }
}

/// Returns `None` if the upstream gives no valid answer in time.
async fn probe(bound: &BoundUpstream) -> Option<Presence> {
    match timeout(PROBE_TIMEOUT, bound.upstream.probe()).await {
        Ok(Ok(presence)) => Some(presence),
        Ok(Err(error)) => {
            log::debug!(target: "gate", "Probing the upstream failed: {error}; retrying.");
            None
        }
        Err(_) => {
            log::debug!(target: "gate", "The upstream did not answer a probe within {PROBE_TIMEOUT:?}; retrying.");
            None
        }
    }
}
