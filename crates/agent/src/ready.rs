//! The HTTP readiness check: at any path, 200 if the agent serves callers and 503 if not.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use http::StatusCode;
use volo_http::{body::Body, response::Response};

use crate::{connections::HttpListener, control::DocumentSource, snapshot::SnapshotCell};

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
pub(crate) async fn serve(listener: HttpListener, readiness: Arc<Readiness>) {
    let respond = move |_request| {
        let is_ready = readiness.is_ready();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let mut response = Response::new(Body::empty());
        *response.status_mut() = status;
        async move { response }
    };
    listener.serve(respond).await;
}
