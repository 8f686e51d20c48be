//! Whether the agent serves callers, over HTTP: 200 if it does, 503 if not, at any path.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use http::StatusCode;
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo_http::server::{Router, Server, route::any};

use crate::{control::DocumentSource, snapshot::SnapshotCell};

/// What it takes to serve callers.
#[derive(Debug)]
pub(crate) struct Readiness {
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) documents_from: DocumentSource,
    /// The instance is about to leave.
    pub(crate) is_leaving: AtomicBool,
}

impl Readiness {
    fn is_ready(&self) -> bool {
        let snapshot = self.snapshots.load();
        let configured = match self.documents_from {
            DocumentSource::CentralConfig => snapshot.routing.is_some(),
            DocumentSource::ObjectStore => !snapshot.services.is_empty(),
        };
        configured && !self.is_leaving.load(Ordering::SeqCst)
    }
}

/// Serves for ever.
pub(crate) async fn serve(listener: TcpListener, readiness: Arc<Readiness>) {
    let handler = move || {
        let ready = readiness.is_ready();
        async move { if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE } }
    };
    let server = Server::new(Router::new().route("/{*path}", any(handler)))
        // Signals are none of its business: it ends with the process.
        .register_shutdown_hook(|| Box::pin(std::future::pending()));
    if let Err(error) = server.run(DefaultIncoming::from(listener)).await {
        log::error!(target: "ready", "The server for readiness ended: {error}.");
    }
}
