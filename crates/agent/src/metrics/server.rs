//! The HTTP server of `/metrics`.

use std::sync::Arc;

use body_budget::BodyBudget;
use http::StatusCode;
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo_http::{
    response::Response,
    server::{IntoResponse, Router, Server, route::get},
};

use crate::{gate::Gate, metrics::Metrics};

/// Serves the metrics until the process ends.
pub(crate) async fn serve(
    listener: TcpListener,
    metrics: Arc<Metrics>,
    gate: Arc<Gate>,
    bodies: BodyBudget,
) {
    let handler = move || {
        let (metrics, gate) = (Arc::clone(&metrics), Arc::clone(&gate));
        metrics.set_bodies(&bodies.usage());
        async move { answer(&metrics, &gate) }
    };
    let server = Server::new(Router::new().route("/metrics", get(handler)))
        // Never shut down by a signal: the server ends with the process.
        .register_shutdown_hook(|| Box::pin(std::future::pending()));
    if let Err(error) = server.run(DefaultIncoming::from(listener)).await {
        log::error!(target: "metrics", "The metrics server failed and no longer answers: {error}.");
    }
}

fn answer(metrics: &Metrics, gate: &Gate) -> Response {
    let (running, queued) = gate.load();
    metrics.set_gate_load(running, queued);
    metrics.set_express_reserved_slots(gate.reserved_slots());
    metrics.set_promised_returns(gate.promised_returns());
    let (limit, is_leaving) = gate.stated_condition();
    metrics.set_stated_condition(limit, is_leaving);
    metrics.set_run_refusal_probability(gate.run_refusal_probability());
    metrics.set_learned_limit(gate.learned_limit());
    metrics.set_capacities(&gate.capacities());
    match metrics.text() {
        Ok(text) => text.into_response(),
        Err(error) => {
            log::warn!(target: "metrics", "Cannot encode the metrics; answering with status 500: {error}.");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}
