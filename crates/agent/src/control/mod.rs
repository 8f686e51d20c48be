//! The control thread: membership, leases, documents, routes and the status.
//!
//! One thread owns all state and processes it on each tick and event. Calls to the object store run
//! as tasks on the same thread's runtime and return a `calls::CallResult`.

mod accept;
mod calls;
mod documents;
mod central_config;
mod foreign;
mod group;
mod left_incarnations;
mod status_schedule;
mod peers;
mod publish;
mod state;
mod status;
mod suspension;
mod upstream;
mod watch;

#[cfg(test)]
pub(crate) mod tests;

use std::{sync::Arc, time::Duration};

use model::Instance;
use object_store::ObjectStore;
use settings::{AgentSettings, CentralConfig};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch as watch_channel},
    time::{MissedTickBehavior, interval},
};

use crate::{
    clock::Clock,
    connections::ConnectionBudget,
    gate::GateHandle,
    links::{ControlLinks, LinkKey},
    report::Report,
    snapshot::SnapshotCell,
    store_relay::Relay,
    zones::{ClosedZones, ClosedZonesSource},
};

pub(crate) use self::state::DocumentSource;

use self::state::Control;

/// The interval between two runs of the periodic tasks.
const TICK: Duration = Duration::from_millis(25);

/// The phase of the process's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Running,
    /// Control hands over all slots, then notifies `handed_over`.
    Stopping,
    /// The control thread ends.
    Exiting,
}

/// The parts from which the control thread is started.
pub struct ControlParts {
    pub settings: Arc<AgentSettings>,
    pub own: Instance,
    pub clock: Clock,
    pub listener: TcpListener,
    pub key: LinkKey,
    pub platform: Arc<dyn ObjectStore>,
    pub gate: GateHandle,
    pub snapshots: Arc<SnapshotCell>,
    pub reports: mpsc::Receiver<Report>,
    pub phase: watch_channel::Receiver<Phase>,
    /// Notified once all slots have been handed over.
    pub handed_over: oneshot::Sender<()>,
    /// The seed of nonces and jitter.
    pub seed: u64,
    /// Central configurations, or `None` if teams write a document for each service.
    pub central_config: Option<CentralConfigSource>,
    pub closed_zones: ClosedZonesSource,
    /// The watches of the store that are shared with other agents.
    pub(crate) relay: Arc<Relay>,
    /// Room for the connections that are accepted.
    pub(crate) connections: ConnectionBudget,
}

/// The newest central configuration, or `None` until the first is received.
pub type CentralConfigSource = watch_channel::Receiver<Option<Arc<CentralConfig>>>;

/// Runs control until [`Phase::Exiting`]. Must be called on a separate current-thread runtime.
pub async fn run(parts: ControlParts) {
    let ControlParts {
        listener, key, mut reports, mut phase, handed_over, mut central_config, ..
    } = parts;
    let mut closed_zones = Some(parts.closed_zones);
    let relay = Arc::clone(&parts.relay);
    let (links, mut events) =
        ControlLinks::start(parts.own.clone(), listener, key, parts.connections.clone());
    let (result_sender, mut call_results) = mpsc::unbounded_channel();
    let calls = calls::PlatformCalls::new(parts.platform, result_sender);
    let mut control = Control::new(state::Parts {
        settings: parts.settings,
        own: parts.own,
        clock: parts.clock,
        links,
        calls,
        gate: parts.gate,
        snapshots: parts.snapshots,
        seed: parts.seed,
        relay: parts.relay,
        documents_from: match central_config {
            Some(_) => DocumentSource::CentralConfig,
            None => DocumentSource::ObjectStore,
        },
    });
    let mut handed_over = Some(handed_over);
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            _ = ticks.tick() => control.tick(),
            Some(event) = events.recv() => control.on_peer_event(event),
            Some(it) = call_results.recv() => control.on_call_result(it),
            Some(it) = next_central_config(&mut central_config) => control.on_central_config(&it),
            Some(it) = next_closed_zones(&mut closed_zones) => control.on_closed_zones(&it),
            Some(report) = reports.recv() => control.on_report(report),
            () = relay.wait_for_messages() => control.send_relay_messages(),
            changed = phase.changed() => match *phase.borrow() {
                _ if changed.is_err() => return,
                Phase::Running => {}
                Phase::Stopping => control.stop(),
                Phase::Exiting => return,
            },
        }
        control.publish();
        control.confirm_members();
        if control.is_handed_over() {
            if let Some(sender) = handed_over.take() {
                // The receiver is closed if the wait for the handover timed out.
                _ = sender.send(());
            }
        }
    }
}

/// Waits for the next central configuration.
async fn next_central_config(
    config: &mut Option<CentralConfigSource>,
) -> Option<Arc<CentralConfig>> {
    let Some(source) = config else { return std::future::pending().await };
    if source.changed().await.is_err() {
        log::error!(target: "config", "No more central configurations can be received, since their source has ended; the current one stays in force.");
        *config = None;
        return None;
    }
    source.borrow_and_update().clone()
}

/// Waits for the next change of the closed zones and returns all closed zones; `None` if there is none.
async fn next_closed_zones(zones: &mut Option<ClosedZonesSource>) -> Option<ClosedZones> {
    let Some(source) = zones else { return std::future::pending().await };
    if source.changed().await.is_err() {
        log::error!(target: "zones", "No more changes of closed zones can be received, since their source has ended; the last known ones stay in effect.");
        *zones = None;
        return None;
    }
    source.borrow_and_update().clone()
}
