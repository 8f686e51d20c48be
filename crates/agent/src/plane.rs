//! The traffic plane: all tasks that run on the traffic threads.

use std::{
    collections::HashSet,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use body_budget::BodyBudget;
use model::Instance;
use object_store::{CallCounts, ObjectStore};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
    time::sleep,
};

use crate::{
    clock::Clock,
    connections::{ConnectionBudget, HttpListener, ListenerKind},
    control::DocumentSource,
    forward::{ForwardParts, Forwarder},
    gate::{Connect, Gate, GateHandle, GateParts, GateTask, SharedUnservedRequests, UpstreamClock},
    ingress::{self, AnnounceProtocol, Announcements, CallerProtocol, Ingress, IngressParts},
    links::{LinkKey, traffic::TrafficLinks},
    metrics::{self, Metrics},
    quarantine::SharedQuarantine,
    ready::{self, Readiness},
    report::Reporter,
    request_log::RequestLog,
    snapshot::{Snapshot, SnapshotCell},
};

/// Interval at which a drain checks whether all requests in flight have ended.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// Callers count as gone once no request has arrived for this long.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Longest wait for the quiet period. Load balancers detect within 2 s that the instance is not ready, and a
/// request accepted later might not end before the process does. Each response sent meanwhile closes its
/// connection, so that no request is in transit on a connection when the server ends.
const QUIET_WAIT_MAX: Duration = Duration::from_millis(2_750);
/// Largest number of peers that are connected to before the first request needs a link.
const PRECONNECTED_MAX: usize = 64;
/// Time for which requests are refused before the server ends.
const REFUSE_PERIOD: Duration = Duration::from_millis(100);

/// Parts from which the traffic plane is built.
pub(crate) struct PlaneParts {
    pub(crate) own: Instance,
    pub(crate) clock: Clock,
    pub(crate) key: LinkKey,
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) reporter: Reporter,
    pub(crate) handle: GateHandle,
    pub(crate) tasks: mpsc::UnboundedReceiver<GateTask>,
    pub(crate) connect: Connect,
    pub(crate) callers: TcpListener,
    pub(crate) peers: TcpListener,
    pub(crate) metrics: TcpListener,
    /// Counts of control's calls to the platform, for the metrics.
    pub(crate) platform_calls: Arc<CallCounts>,
    pub(crate) caller_protocol: Arc<dyn CallerProtocol>,
    pub(crate) announce_protocol: Arc<dyn AnnounceProtocol>,
    /// Listener for the upstream's announcements, unless they arrive at the callers' address.
    pub(crate) announcements: Option<TcpListener>,
    pub(crate) ready: Option<TcpListener>,
    pub(crate) documents_from: DocumentSource,
    /// Object store client for records that the traffic plane itself stores. Its connections belong to the
    /// runtime of the traffic threads.
    pub(crate) store: Arc<dyn ObjectStore>,
    /// Room for the bodies of requests and answers.
    pub(crate) bodies: BodyBudget,
    /// Room for the connections that are accepted.
    pub(crate) connections: ConnectionBudget,
}

/// The running traffic plane.
pub(crate) struct Plane {
    gate: Arc<Gate>,
    ingress: Arc<Ingress>,
    readiness: Arc<Readiness>,
    /// Set to close the listener for callers.
    closing: watch::Sender<bool>,
    /// Notifies the server that all requests have ended, so that it closes its connections and exits.
    drained: oneshot::Sender<()>,
    server: JoinHandle<anyhow::Result<()>>,
}

impl Plane {
    /// Starts the traffic plane on the current runtime.
    pub(crate) fn start(parts: PlaneParts) -> anyhow::Result<Plane> {
        let metrics = Arc::new(Metrics::new(parts.platform_calls).context("register the metrics")?);
        let upstream_clock: Arc<UpstreamClock> = Arc::default();
        let log = Arc::new(RequestLog::new(parts.clock));
        let quarantine = SharedQuarantine::start(parts.store, parts.own.name.clone());
        let unserved = Arc::new(SharedUnservedRequests::new(parts.clock));
        let gate = Gate::start(GateParts {
            unserved: Arc::clone(&unserved),
            quarantine: Arc::clone(&quarantine),
            upstream_clock: Arc::clone(&upstream_clock),
            own: parts.own.clone(),
            handle: parts.handle,
            tasks: parts.tasks,
            snapshots: Arc::clone(&parts.snapshots),
            reporter: parts.reporter.clone(),
            metrics: Arc::clone(&metrics),
            log: Arc::clone(&log),
            connect: parts.connect,
        });
        let handler = Arc::new(Arc::clone(&gate));
        let (bodies, connections) = (parts.bodies, parts.connections);
        let snapshots = &parts.snapshots;
        let http_listener = |kind, listener| HttpListener {
            kind,
            listener,
            budget: connections.clone(),
            snapshots: Arc::clone(snapshots),
        };
        let links = TrafficLinks::start(
            parts.own.clone(),
            parts.peers,
            parts.key,
            handler,
            bodies.clone(),
            connections.clone(),
        );
        gate.set_links(links.clone());
        let forwarder = Forwarder::new(ForwardParts {
            own: parts.own,
            clock: parts.clock,
            snapshots: Arc::clone(&parts.snapshots),
            gate: Arc::clone(&gate),
            links: links.clone(),
            reporter: parts.reporter.clone(),
            metrics: Arc::clone(&metrics),
            log: Arc::clone(&log),
            quarantine,
        });
        let announcements = Announcements {
            protocol: parts.announce_protocol,
            clock: parts.clock,
            upstream_clock,
            reporter: parts.reporter.clone(),
            granter: Arc::new(Arc::clone(&gate)),
        };
        let ingress_announcements = match parts.announcements {
            None => Some(announcements),
            Some(listener) => {
                let listener = http_listener(ListenerKind::Announcements, listener);
                tokio::spawn(ingress::serve_announcements(listener, announcements));
                None
            }
        };
        let readiness = Arc::new(Readiness {
            snapshots: Arc::clone(&parts.snapshots),
            documents_from: parts.documents_from,
            is_leaving: AtomicBool::new(false),
        });
        if let Some(listener) = parts.ready {
            let listener = http_listener(ListenerKind::Readiness, listener);
            tokio::spawn(ready::serve(listener, Arc::clone(&readiness)));
        }
        let metrics_listener = http_listener(ListenerKind::Metrics, parts.metrics);
        let ingress = Arc::new(Ingress::new(IngressParts {
            announcements: ingress_announcements,
            protocol: parts.caller_protocol,
            clock: parts.clock,
            snapshots: Arc::clone(&parts.snapshots),
            forwarder,
            reporter: parts.reporter,
            metrics: Arc::clone(&metrics),
            log,
            unserved,
            bodies: bodies.clone(),
        }));
        let (drained, drained_receiver) = oneshot::channel();
        let (closing, closed) = watch::channel(false);
        let server = ingress::serve(
            parts.callers,
            closed,
            Arc::clone(&ingress),
            connections,
            drained_receiver,
        );
        let server = tokio::spawn(server);
        tokio::spawn(metrics::serve(metrics_listener, metrics, Arc::clone(&gate), bodies));
        tokio::spawn(preconnect_links(parts.snapshots, links));
        Ok(Plane { gate, ingress, readiness, closing, drained, server })
    }

    /// Returns how many requests are queued for the local upstream.
    #[cfg(test)]
    pub(crate) fn queued(&self) -> usize {
        self.gate.load().1
    }

    /// Returns the gate, to send it requests as links do.
    #[cfg(test)]
    pub(crate) fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Returns how many requests run at the local upstream or are queued for it.
    #[cfg(test)]
    pub(crate) fn admitted(&self) -> usize {
        let (running, queued) = self.gate.load();
        running + queued
    }

    /// Returns how many returns the gate has promised.
    #[cfg(test)]
    pub(crate) fn promised_returns(&self) -> usize {
        self.gate.promised_returns()
    }

    /// Makes the gate apply the current snapshot.
    #[cfg(test)]
    pub(crate) async fn rebind_gate(&self) {
        self.gate.rebind();
    }

    /// Returns the learned limit on the requests at the upstream.
    #[cfg(test)]
    pub(crate) fn learned_limit(&self) -> Option<usize> {
        self.gate.learned_limit()
    }

    /// Reports the instance as not ready and asks callers to connect elsewhere.
    pub(crate) fn leave(&self) {
        self.readiness.is_leaving.store(true, Ordering::SeqCst);
        self.ingress.leave();
    }

    /// Serves callers until they are gone, then accepts no more connections, and waits until all requests at
    /// the gate and at ingress have ended. Aborts none of them.
    pub(crate) async fn drain(&self) {
        self.ingress.wait_quiet(QUIET_PERIOD, QUIET_WAIT_MAX).await;
        self.closing.send_replace(true);
        self.ingress.close();
        sleep(REFUSE_PERIOD).await;
        while !self.gate.refuses_work() || self.ingress.in_flight() > 0 || self.gate.in_flight() > 0
        {
            sleep(DRAIN_POLL).await;
        }
    }

    /// Returns how many callers' requests are in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.ingress.in_flight()
    }

    /// Ends the HTTP server for callers, which closes each connection after its last response.
    pub(crate) async fn end(self) -> anyhow::Result<()> {
        // Sending fails if the server has ended already.
        _ = self.drained.send(());
        self.server.await.context("join the task of the HTTP server for callers")?
    }
}

/// Connects to the owners and members in each new snapshot before the first request needs a link, unless they are
/// too many. Links to all of them would then cost more memory than an agent has, and most would not be used.
async fn preconnect_links(snapshots: Arc<SnapshotCell>, links: TrafficLinks) {
    let mut changes = snapshots.changes();
    loop {
        let snapshot = snapshots.load().clone();
        preconnected(&snapshot).into_iter().for_each(|it| links.preconnect(it));
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn preconnected(snapshot: &Snapshot) -> HashSet<&Instance> {
    let services = snapshot.services.values();
    let peers: HashSet<&Instance> = services.flat_map(|it| it.routes.instances()).collect();
    if peers.len() <= PRECONNECTED_MAX { peers } else { HashSet::new() }
}
