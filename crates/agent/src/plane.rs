//! The traffic plane: everything that runs on the traffic threads.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
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
    control::DocumentSource,
    forward::{ForwardParts, Forwarder},
    gate::{Connect, Gate, GateHandle, GateParts, GateTask, UpstreamClock},
    ingress::{self, AnnounceProtocol, Announcements, CallerProtocol, Ingress, IngressParts},
    links::{LinkKey, traffic::TrafficLinks},
    metrics::{self, Metrics},
    quarantine::SharedQuarantine,
    ready::{self, Readiness},
    report::Reporter,
    request_log::RequestLog,
    snapshot::SnapshotCell,
};

/// How often the stop looks whether everything in flight has ended.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// Once no request has come for this long, callers are taken to have left.
const QUIET: Duration = Duration::from_secs(1);
/// The longest wait for that: whoever sends callers here learns within 2 s that the instance is not
/// ready, and a request that is taken later might not end before the process does. Each answer
/// meanwhile closes its connection, so that the server's end finds none on which a request could just
/// be on its way.
const LINGER_MAX: Duration = Duration::from_millis(2_750);
/// How long requests are refused before the server ends.
const REFUSE_FOR: Duration = Duration::from_millis(100);

/// What the traffic plane is made from.
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
    /// What control asks of the platform, for the metrics.
    pub(crate) platform_calls: Arc<CallCounts>,
    pub(crate) caller_protocol: Arc<dyn CallerProtocol>,
    pub(crate) announce_protocol: Arc<dyn AnnounceProtocol>,
    /// Where the upstream announces itself, if not at the callers' address.
    pub(crate) announcements: Option<TcpListener>,
    pub(crate) ready: Option<TcpListener>,
    pub(crate) documents_from: DocumentSource,
    /// For what traffic itself keeps there; its connections live on the traffic threads.
    pub(crate) store: Arc<dyn ObjectStore>,
}

/// The running traffic plane.
pub(crate) struct Plane {
    gate: Arc<Gate>,
    ingress: Arc<Ingress>,
    readiness: Arc<Readiness>,
    /// Closes the listener of callers.
    closing: watch::Sender<bool>,
    drained: oneshot::Sender<()>,
    server: JoinHandle<anyhow::Result<()>>,
}

impl Plane {
    /// Starts it on the runtime that calls.
    pub(crate) fn start(parts: PlaneParts) -> anyhow::Result<Plane> {
        let metrics = Arc::new(Metrics::new(parts.platform_calls).context("metrics")?);
        let upstream_clock: Arc<UpstreamClock> = Arc::default();
        let log = Arc::new(RequestLog::new(parts.clock));
        let quarantine = SharedQuarantine::start(parts.store, parts.own.name.clone());
        let gate = Gate::start(GateParts {
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
        let links = TrafficLinks::start(parts.own.clone(), parts.peers, parts.key, handler);
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
        let announced_here = match parts.announcements {
            None => Some(announcements),
            Some(listener) => {
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
            tokio::spawn(ready::serve(listener, Arc::clone(&readiness)));
        }
        let ingress = Arc::new(Ingress::new(IngressParts {
            announcements: announced_here,
            protocol: parts.caller_protocol,
            clock: parts.clock,
            snapshots: Arc::clone(&parts.snapshots),
            forwarder,
            reporter: parts.reporter,
            metrics: Arc::clone(&metrics),
            log,
        }));
        let (drained, hook) = oneshot::channel();
        let (closing, closed) = watch::channel(false);
        let server = ingress::serve(parts.callers, closed, Arc::clone(&ingress), hook);
        let server = tokio::spawn(server);
        tokio::spawn(metrics::serve(parts.metrics, metrics, Arc::clone(&gate)));
        tokio::spawn(preconnect_links(parts.snapshots, links));
        Ok(Plane { gate, ingress, readiness, closing, drained, server })
    }

    /// Requests that wait for a slot of the local upstream.
    #[cfg(test)]
    pub(crate) fn queued(&self) -> usize {
        self.gate.load().1
    }

    /// Waits until the gate has followed the snapshot.
    #[cfg(test)]
    pub(crate) async fn wait_bound(&self) {
        self.gate.rebind();
    }

    /// The instance is about to leave: callers are asked to connect elsewhere.
    pub(crate) fn leave(&self) {
        self.readiness.is_leaving.store(true, Ordering::SeqCst);
        self.ingress.leave();
    }

    /// Serves callers until they have left, takes no more connections then, and waits for what is in
    /// flight at the gate and at ingress. Cuts off nothing.
    pub(crate) async fn drain(&self) {
        self.ingress.wait_quiet(QUIET, LINGER_MAX).await;
        self.closing.send_replace(true);
        self.ingress.close();
        sleep(REFUSE_FOR).await;
        while !self.gate.refuses_work() || self.ingress.in_flight() > 0 || self.gate.in_flight() > 0
        {
            sleep(DRAIN_POLL).await;
        }
    }

    /// Requests that callers wait for.
    pub(crate) fn in_flight(&self) -> usize {
        self.ingress.in_flight()
    }

    /// Lets the HTTP server end, which closes its connections after their last answer. The server
    /// must have seen a signal, for it waits for one.
    pub(crate) async fn end(self) -> anyhow::Result<()> {
        // The server may have ended by itself.
        _ = self.drained.send(());
        self.server.await.context("the server's task")?
    }
}

/// Makes links to owners and members before the first request needs them.
async fn preconnect_links(snapshots: Arc<SnapshotCell>, links: TrafficLinks) {
    let mut changes = snapshots.changes();
    loop {
        let snapshot = snapshots.load().clone();
        for service in snapshot.services.values() {
            service.routes.instances().for_each(|it| links.preconnect(it));
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}
