//! The HTTP readiness check: at any path, 200 if the agent serves callers and 503 if not.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use http::StatusCode;
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo_http::server::{Router, Server, route::any};

use crate::{control::DocumentSource, snapshot::SnapshotCell};

/// The state that decides whether the agent serves callers.
#[derive(Debug)]
pub(crate) struct Readiness {
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) documents_from: DocumentSource,
    /// Set once the instance is stopping.
    pub(crate) is_leaving: AtomicBool,
}

impl Readiness {
    fn is_ready(&self) -> bool {
        let snapshot = self.snapshots.load();
        let is_configured = match self.documents_from {
            DocumentSource::CentralConfig => snapshot.routing.is_some(),
            DocumentSource::ObjectStore => !snapshot.services.is_empty(),
        };
        is_configured && !self.is_leaving.load(Ordering::SeqCst)
    }
}

/// Serves the readiness check until the process ends.
pub(crate) async fn serve(listener: TcpListener, readiness: Arc<Readiness>) {
    let handler = move || {
        let ready = readiness.is_ready();
        async move { if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE } }
    };
    let server = Server::new(Router::new().route("/{*path}", any(handler)))
        // Never shut down by a signal: the server ends with the process.
        .register_shutdown_hook(|| Box::pin(std::future::pending()));
    if let Err(error) = server.run(DefaultIncoming::from(listener)).await {
        log::error!(target: "ready", "The readiness server failed and no longer answers: {error}.");
    }
}
