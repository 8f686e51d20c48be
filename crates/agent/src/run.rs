//! Starts the agent process (listeners, runtimes, signals) and stops it gracefully.

use std::{
    env,
    net::{SocketAddr, TcpListener as StdListener},
    sync::Arc,
    thread,
    time::Duration,
};

use anyhow::Context;
use body_budget::BodyBudget;
use model::{Incarnation, Instance};
use nix::sys::resource::{Resource, getrlimit};
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
    connections::{ConnectionBudget, ConnectionLimits},
    control::{self, CentralConfigSource, ControlParts, DocumentSource, Phase},
    gate::GateHandle,
    links::LinkKey,
    plane::{Plane, PlaneParts},
    reload::SettingsFile,
    report::{self, Report},
    snapshot::SnapshotCell,
    store_relay::{FollowedStores, Relay},
    zones::ClosedZonesSource,
};

/// Length of each listener's accept queue. All callers of an instance may connect within the same second.
const ACCEPT_BACKLOG: u32 = 4096;
/// Share of the stop time limit after which the agent no longer waits for the handover to finish.
const HANDOVER_DEADLINE_SHARE: f64 = 0.6;
/// Longest time for which a stopping instance keeps its keys and its share of the work before it hands them
/// over. Callers keep sending to it for up to two seconds anyway, and most stopped instances restart within
/// four. If it released its keys at once, its upstream would be idle meanwhile, and during a rolling restart
/// its load would fall on the other instances.
const SERVING_TIME_MAX: Duration = Duration::from_millis(1_750);
/// The same limit as a share of the stop time limit. It leaves time for the handover, which takes 0.5 to 1 s.
const SERVING_TIME_SHARE: f64 = 0.33;
/// Share of the stop time limit reserved for closing the callers' connections.
const CONNECTION_CLOSE_SHARE: f64 = 0.05;

/// Divisor of the process's memory that yields the room for bodies. The rest is for everything else: up to 60 MB for
/// the state of a large deployment, the buffers of connections, and bytes that wait unread in sockets.
const BODIES_DIVISOR: usize = 2;

/// Divisor of the process's memory that yields the room for the connections that it accepts.
const CONNECTIONS_DIVISOR: usize = 8;
/// Descriptors that are left for files.
const FILE_DESCRIPTORS: usize = 200;
/// Divisor of the other descriptors that yields the number of connections that the process accepts. The rest is for
/// those that it opens itself, and for links.
const ACCEPTED_DIVISOR: usize = 2;
/// Environment variable with the number of descriptors that the process may have open. It takes precedence over the
/// setting `descriptors_max`.
const DESCRIPTORS_VARIABLE: &str = "MESH_DESCRIPTORS_MAX";

/// Environment variable with the memory in MiB that the process may use, for platforms that set it for each instance. It
/// takes precedence over the setting `memory_mb`.
const MEMORY_VARIABLE: &str = "MESH_MEMORY_MB";

/// A failure to bind one of the configured addresses.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("Cannot listen on the {name} {address}: {source}.")]
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

/// Runs an agent with the default adapters until a signal stops it, gracefully.
pub fn run(file: SettingsFile) -> anyhow::Result<()> {
    run_with(file, Adapters::from_settings)
}

/// Runs an agent with the adapters that `create_adapters` returns until a signal stops it, gracefully.
/// `create_adapters` is called on the runtime of the traffic threads.
pub fn run_with(
    file: SettingsFile,
    create_adapters: impl FnOnce(
        &AgentSettings,
        &FollowedStores,
        &BodyBudget,
    ) -> anyhow::Result<Adapters>,
) -> anyhow::Result<()> {
    let settings = file.settings.clone();
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .context("build the traffic runtime")?;
    let signals = runtime.block_on(async { Signals::install() })?;
    let hang_up = runtime
        .block_on(async { signal(SignalKind::hangup()) })
        .context("install the SIGHUP handler")?;
    runtime.spawn(file.watch(hang_up));
    let listeners = runtime.block_on(async { Listeners::bind(&settings) })?;
    let platform_calls: Arc<CallCounts> = Arc::default();
    let relay = Relay::new(&settings);
    let followed_stores = FollowedStores::new(Arc::clone(&platform_calls), Arc::clone(&relay));
    let memory_bytes_max = memory_bytes_max(&settings)?;
    let bodies = BodyBudget::new(memory_bytes_max / BODIES_DIVISOR);
    let connection_limits = ConnectionLimits {
        connections_max: accepted_max(descriptors_max(&settings)?),
        bytes_max: memory_bytes_max / CONNECTIONS_DIVISOR,
    };
    let connections = ConnectionBudget::new(connection_limits);
    let adapters =
        runtime.block_on(async { create_adapters(&settings, &followed_stores, &bodies) });
    let Adapters {
        store,
        traffic_store,
        callers,
        announcements,
        connect,
        central_config,
        closed_zones,
    } = adapters.context("create the adapters")?;
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
    log::info!(target: "agent", "Starting agent {own} for service {} in zone {}; bodies may have {} bytes together, and {} accepted connections {} bytes.", settings.service, own.zone, bodies.usage().bytes_max, connection_limits.connections_max, connection_limits.bytes_max);
    let clock = Clock::start();
    let stop_max = settings.stop_duration_max;
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
        relay,
        connections: connections.clone(),
    };
    let control = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || setup.run())
        .context("start the control thread")?;
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
            bodies,
            connections,
        })
    };
    let plane = runtime.block_on(plane)?;
    let stopped = runtime.block_on(stop(signals, plane, &phase, all_handed_over, stop_max));
    phase.send_replace(Phase::Exiting);
    let control = control.join().map_err(|_| anyhow::anyhow!("the control thread panicked"))?;
    log::info!(target: "agent", "The agent has stopped.");
    stopped.and(control)
}

/// Returns the memory that the process may use, in bytes.
fn memory_bytes_max(settings: &AgentSettings) -> anyhow::Result<usize> {
    match env::var(MEMORY_VARIABLE).ok().filter(|it| !it.is_empty()) {
        Some(text) => settings::parse_memory_mb(&text).context(MEMORY_VARIABLE),
        None => Ok(settings.memory_bytes_max),
    }
}

/// Returns the number of descriptors that the process may have open.
fn descriptors_max(settings: &AgentSettings) -> anyhow::Result<usize> {
    if let Some(text) = env::var(DESCRIPTORS_VARIABLE).ok().filter(|it| !it.is_empty()) {
        return text.trim().parse().context(DESCRIPTORS_VARIABLE);
    }
    if let Some(descriptors_max) = settings.descriptors_max {
        return Ok(descriptors_max);
    }
    let (soft_limit, _) =
        getrlimit(Resource::RLIMIT_NOFILE).context("read the limit of open files")?;
    Ok(usize::try_from(soft_limit).unwrap_or(usize::MAX))
}

/// Returns how many of the descriptors connections that the process accepts may take.
fn accepted_max(descriptors_max: usize) -> usize {
    descriptors_max.saturating_sub(FILE_DESCRIPTORS).max(FILE_DESCRIPTORS) / ACCEPTED_DIVISOR
}

/// Waits for a stop signal, then hands slots over, drains requests and closes the callers' connections,
/// all within `stop_max`.
async fn stop(
    signals: Signals,
    plane: Plane,
    phase: &watch::Sender<Phase>,
    handed_over: oneshot::Receiver<()>,
    stop_max: Duration,
) -> anyhow::Result<()> {
    signals.wait().await;
    let started = Instant::now();
    log::info!(target: "agent", "Received a stop signal; starting the handover.");
    plane.leave();
    let handed_over = async {
        sleep(serving_time_before_handover(stop_max)).await;
        phase.send_replace(Phase::Stopping);
        if timeout_at(started + stop_max.mul_f64(HANDOVER_DEADLINE_SHARE), handed_over)
            .await
            .is_err()
        {
            log::warn!(target: "agent", "The handover did not finish in time; stopping without it.");
        }
    };
    // Requests are served during the handover.
    let drained = async { tokio::join!(handed_over, plane.drain()) };
    match timeout_at(started + stop_max.mul_f64(1.0 - CONNECTION_CLOSE_SHARE), drained).await {
        Ok(_) => log::info!(target: "agent", "All requests have finished."),
        Err(_) => {
            let unfinished = plane.in_flight();
            log::warn!(target: "agent", "The stop time limit is reached; aborting {unfinished} requests in flight.");
        }
    }
    match timeout_at(started + stop_max, plane.end()).await {
        Ok(closed) => closed,
        Err(_) => {
            log::info!(target: "agent", "Some callers have not closed their connections; exiting anyway.");
            Ok(())
        }
    }
}

/// Returns how long a stopping instance serves as before, until it starts the handover.
pub(crate) fn serving_time_before_handover(stop_max: Duration) -> Duration {
    SERVING_TIME_MAX.min(stop_max.mul_f64(SERVING_TIME_SHARE))
}

/// The signals that stop the process.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn install() -> anyhow::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).context("install the SIGTERM handler")?,
            interrupt: signal(SignalKind::interrupt()).context("install the SIGINT handler")?,
        })
    }

    /// Waits for the first of these signals.
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
            announcements: bind_optional("announce address", settings.announce_address)?,
            ready: bind_optional("ready address", settings.ready_address)?,
        })
    }
}

fn bind_optional(
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
        socket.listen(ACCEPT_BACKLOG)?.into_std()
    };
    listen().map_err(|source| ListenError { name, address, source })
}

/// The parts that the control thread takes over when it starts.
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
    relay: Arc<Relay>,
    connections: ConnectionBudget,
}

impl ControlSetup {
    /// Runs control on a separate runtime, so that a burst of requests cannot delay the renewal of a lease.
    fn run(self) -> anyhow::Result<()> {
        let runtime: Runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context("build the control runtime")?;
        runtime.block_on(async {
            control::run(ControlParts {
                settings: Arc::new(self.settings),
                own: self.own,
                clock: self.clock,
                listener: TcpListener::from_std(self.listener)
                    .context("register the control listener")?,
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
                relay: self.relay,
                connections: self.connections,
            })
            .await;
            Ok(())
        })
    }
}
