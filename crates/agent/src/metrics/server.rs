//! The HTTP server of `/metrics`.

use std::sync::Arc;

use body_budget::BodyBudget;
use http::{Method, StatusCode};
use volo_http::{request::Request, response::Response, server::IntoResponse};

use crate::{connections::HttpListener, gate::Gate, metrics::Metrics};

/// Serves the metrics until the process ends.
pub(crate) async fn serve(
    listener: HttpListener,
    metrics: Arc<Metrics>,
    gate: Arc<Gate>,
    bodies: BodyBudget,
) {
    let budget = listener.budget.clone();
    let respond = move |request: Request| {
        let response = match (request.method(), request.uri().path()) {
            (&Method::GET | &Method::HEAD, "/metrics") => {
                metrics.set_bodies(&bodies.usage());
                metrics.set_connections(&budget.usage());
                answer(&metrics, &gate)
            }
            (_, "/metrics") => StatusCode::METHOD_NOT_ALLOWED.into_response(),
            _ => StatusCode::NOT_FOUND.into_response(),
        };
        async move { response }
    };
    listener.serve(respond).await;
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
