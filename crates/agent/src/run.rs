//! The process: its addresses, threads and signals, and its graceful stop.

use std::{
    net::{SocketAddr, TcpListener as StdListener},
    sync::Arc,
    thread,
    time::Duration,
};

use anyhow::Context;
use model::{Incarnation, Instance};
use object_store::{CallCounts, CountedStore, ObjectStore};
use settings::AgentSettings;
use tokio::{
    net::{TcpListener, TcpSocket},
    runtime::{Builder, Runtime},
    signal::unix::{Signal, SignalKind, signal},
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep, timeout_at},
};

use crate::{
    adapters::Adapters,
    clock::Clock,
    control::{self, CentralConfigSource, ControlParts, DocumentSource, Phase},
    gate::GateHandle,
    links::LinkKey,
    plane::{Plane, PlaneParts},
    reload::SettingsFile,
    report::{self, Report},
    snapshot::SnapshotCell,
    zones::ClosedZonesSource,
};

/// Connections that may wait to be accepted: all callers arrive in the same second.
const BACKLOG: u32 = 4096;
/// The share of the time for a stop within which everything is to have been handed over.
const HANDOVER_SHARE: f64 = 0.6;
/// How long an instance that stops goes on with its keys and its share of the work. Callers come to it for
/// up to two seconds more in any case, and most that stop are back within four: if it gives its keys up at
/// once, its upstream stands idle for all that time, and the others get its work when several stop in turn.
/// Over 10 to 15 days with rolling stops on three deployments worth rose by 0.008, 0.028 and -0.005; on eight
/// days on which all stop in turn by 0.05.
const SERVE_ON_MAX: Duration = Duration::from_millis(1_750);
/// The same as a share of the time for the stop; handing over takes half a second to a second.
const SERVE_ON_SHARE: f64 = 0.33;
/// What is left of it for the end of the callers' connections.
const END_SHARE: f64 = 0.05;

/// Why the process can't start.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("The {name} {address} can't be listened on: {source}.")]
pub struct ListenError {
    name: &'static str,
    address: SocketAddr,
    source: std::io::Error,
}

/// The listening sockets.
struct Listeners {
    callers: StdListener,
    traffic: StdListener,
    control: StdListener,
    metrics: StdListener,
    announcements: Option<StdListener>,
    ready: Option<StdListener>,
}

/// Runs an agent that speaks the product's own forms, until a signal has ended it gracefully.
pub fn run(file: SettingsFile) -> anyhow::Result<()> {
    run_with(file, Adapters::own)
}

/// Runs an agent with other adapters, until a signal has ended it gracefully. They are made on the
/// runtime of the traffic threads.
pub fn run_with(
    file: SettingsFile,
    ports: impl FnOnce(&AgentSettings, &Arc<CallCounts>) -> anyhow::Result<Adapters>,
) -> anyhow::Result<()> {
    let settings = file.settings.clone();
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .context("traffic runtime")?;
    let signals = runtime.block_on(async { Signals::install() })?;
    let hang_up = runtime.block_on(async { signal(SignalKind::hangup()) }).context("SIGHUP")?;
    runtime.spawn(file.watch(hang_up));
    let listeners = runtime.block_on(async { Listeners::bind(&settings) })?;
    let platform_calls: Arc<CallCounts> = Arc::default();
    let ports = runtime.block_on(async { ports(&settings, &platform_calls) });
    let Adapters {
        store,
        traffic_store,
        callers,
        announcements,
        connect,
        central_config,
        closed_zones,
    } = ports.context("adapters")?;
    let documents_from = match central_config {
        Some(_) => DocumentSource::CentralConfig,
        None => DocumentSource::ObjectStore,
    };
    let own = Instance {
        name: settings.instance.clone(),
        incarnation: Incarnation(rand::random()),
        zone: settings.zone.clone(),
        control: settings.control_address,
        traffic: settings.traffic_address,
    };
    log::info!(target: "agent", "{own} starts for {} in {}.", settings.service, own.zone);
    let clock = Clock::start();
    let stop_max = settings.stop_max;
    let key = LinkKey::new(settings.link_key.as_bytes());
    let snapshots: Arc<SnapshotCell> = Arc::default();
    let (reporter, reports) = report::channel();
    let (handle, tasks) = GateHandle::new(clock);
    let (phase, phases) = watch::channel(Phase::Running);
    let (handed_over, all_handed_over) = oneshot::channel();
    let setup = ControlSetup {
        settings: settings.clone(),
        own: own.clone(),
        clock,
        listener: listeners.control,
        key: key.clone(),
        gate: handle.clone(),
        snapshots: Arc::clone(&snapshots),
        reports,
        phases,
        handed_over,
        store: Arc::new(CountedStore::new(store, Arc::clone(&platform_calls))),
        central_config,
        closed_zones,
    };
    let control = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || setup.run())
        .context("control thread")?;
    let plane = async {
        Plane::start(PlaneParts {
            own,
            clock,
            key,
            snapshots,
            reporter,
            handle,
            tasks,
            connect,
            caller_protocol: callers,
            announce_protocol: announcements,
            announcements: listeners.announcements.map(TcpListener::from_std).transpose()?,
            ready: listeners.ready.map(TcpListener::from_std).transpose()?,
            documents_from,
            store: traffic_store,
            callers: TcpListener::from_std(listeners.callers)?,
            peers: TcpListener::from_std(listeners.traffic)?,
            metrics: TcpListener::from_std(listeners.metrics)?,
            platform_calls,
        })
    };
    let plane = runtime.block_on(plane)?;
    let ended = runtime.block_on(stop(signals, plane, &phase, all_handed_over, stop_max));
    phase.send_replace(Phase::Exiting);
    let control = control.join().map_err(|_| anyhow::anyhow!("the control thread panicked"))?;
    log::info!(target: "agent", "The agent has stopped.");
    ended.and(control)
}

/// Waits for a signal, hands over, drains, ends.
async fn stop(
    signals: Signals,
    plane: Plane,
    phase: &watch::Sender<Phase>,
    handed_over: oneshot::Receiver<()>,
    stop_max: Duration,
) -> anyhow::Result<()> {
    signals.wait().await;
    let began = Instant::now();
    log::info!(target: "agent", "A signal asks to stop: handing over.");
    plane.leave();
    let handed_over = async {
        sleep(serving_time_on_stop(stop_max)).await;
        phase.send_replace(Phase::Stopping);
        if timeout_at(began + stop_max.mul_f64(HANDOVER_SHARE), handed_over).await.is_err() {
            log::warn!(target: "agent", "Not everything was handed over in time.");
        }
    };
    // Callers are served meanwhile.
    let drained = async { tokio::join!(handed_over, plane.drain()) };
    match timeout_at(began + stop_max.mul_f64(1.0 - END_SHARE), drained).await {
        Ok(_) => log::info!(target: "agent", "Nothing is in flight any more."),
        Err(_) => {
            let left = plane.in_flight();
            log::warn!(target: "agent", "The time for the stop is over: {left} requests are cut off.");
        }
    }
    match timeout_at(began + stop_max, plane.end()).await {
        Ok(ended) => ended,
        Err(_) => {
            log::info!(target: "agent", "Some callers keep their connections to the end.");
            Ok(())
        }
    }
}

/// How long an instance that stops goes on as before.
pub(crate) fn serving_time_on_stop(stop_max: Duration) -> Duration {
    SERVE_ON_MAX.min(stop_max.mul_f64(SERVE_ON_SHARE))
}

/// The signals that ask to stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn install() -> anyhow::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).context("SIGTERM")?,
            interrupt: signal(SignalKind::interrupt()).context("SIGINT")?,
        })
    }

    /// Waits for one that asks to stop.
    async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

impl Listeners {
    fn bind(settings: &AgentSettings) -> Result<Listeners, ListenError> {
        Ok(Listeners {
            callers: bind("caller address", settings.caller_address)?,
            traffic: bind("traffic address", settings.traffic_address)?,
            control: bind("control address", settings.control_address)?,
            metrics: bind("metrics address", settings.metrics_address)?,
            announcements: optional("announce address", settings.announce_address)?,
            ready: optional("ready address", settings.ready_address)?,
        })
    }
}

fn optional(
    name: &'static str,
    address: Option<SocketAddr>,
) -> Result<Option<StdListener>, ListenError> {
    address.map(|it| bind(name, it)).transpose()
}

fn bind(name: &'static str, address: SocketAddr) -> Result<StdListener, ListenError> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)?.into_std()
    };
    listen().map_err(|source| ListenError { name, address, source })
}

/// What the control thread starts with.
struct ControlSetup {
    settings: AgentSettings,
    own: Instance,
    clock: Clock,
    listener: StdListener,
    key: LinkKey,
    gate: GateHandle,
    snapshots: Arc<SnapshotCell>,
    reports: mpsc::Receiver<Report>,
    phases: watch::Receiver<Phase>,
    handed_over: oneshot::Sender<()>,
    store: Arc<dyn ObjectStore>,
    central_config: Option<CentralConfigSource>,
    closed_zones: ClosedZonesSource,
}

impl ControlSetup {
    /// Runs control on a runtime of its own, so that a rush of requests can't delay a lease.
    fn run(self) -> anyhow::Result<()> {
        let runtime: Runtime =
            Builder::new_current_thread().enable_all().build().context("control runtime")?;
        runtime.block_on(async {
            control::run(ControlParts {
                settings: Arc::new(self.settings),
                own: self.own,
                clock: self.clock,
                listener: TcpListener::from_std(self.listener).context("control listener")?,
                key: self.key,
                platform: self.store,
                gate: self.gate,
                snapshots: self.snapshots,
                reports: self.reports,
                phase: self.phases,
                handed_over: self.handed_over,
                seed: rand::random(),
                central_config: self.central_config,
                closed_zones: self.closed_zones,
            })
            .await;
            Ok(())
        })
    }
}
