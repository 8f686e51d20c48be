//! Control calls: health, load, grants, preparation, cancellation and faults.

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, StatusCode};
use model::{RequestId, Slot};
use serde::{Deserialize, Serialize};
use tokio::time::sleep_until;
use volo_http::response::Response;

use super::{
    execution::parse_token,
    server,
    state::{ConditionRequest, FaultRequest, Upstream, UpstreamState},
};
use crate::http::{json_response, text_response};

#[derive(Serialize)]
struct Health {
    state: UpstreamState,
    slots: u16,
}

#[derive(Serialize)]
struct Load {
    in_flight: usize,
    queued: usize,
}

#[derive(Deserialize)]
struct Grant {
    slot: Slot,
    token: String,
    until_ms: u64,
}

#[derive(Deserialize)]
struct Prepare {
    slot: Slot,
}

#[derive(Deserialize)]
struct Cancel {
    request_id: String,
}

/// Handles a control call. Returns `None` if the path is not that of a control call.
pub(crate) async fn handle_control_call(
    upstream: &Arc<Upstream>,
    method: &Method,
    path: &str,
    body: &Bytes,
) -> Option<Response> {
    if method == Method::POST && path == "/admin/fault" {
        return Some(set_faults(upstream, body));
    }
    if method == Method::POST && path == "/admin/condition" {
        return Some(set_condition(upstream, body));
    }
    let call = path.strip_prefix("/control/")?;
    upstream.wait_while_frozen().await;
    let response = match call {
        "health" if method == Method::GET => {
            let report = upstream.report();
            json_response(&Health { state: report.state, slots: upstream.config.slots })
        }
        "load" if method == Method::GET => {
            let report = upstream.report();
            json_response(&Load { in_flight: report.in_flight, queued: report.queued })
        }
        "grant" if method == Method::POST => handle_grant(body),
        "prepare" if method == Method::POST => handle_prepare(upstream, body).await,
        "cancel" if method == Method::POST => handle_cancel(upstream, body),
        _ => text_response(StatusCode::NOT_FOUND, "no such call"),
    };
    Some(response)
}

fn set_faults(upstream: &Upstream, body: &[u8]) -> Response {
    match serde_json::from_slice::<FaultRequest>(body) {
        Ok(request) => {
            upstream.set_faults(request);
            text_response(StatusCode::OK, "")
        }
        Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

fn set_condition(upstream: &Arc<Upstream>, body: &[u8]) -> Response {
    let request: ConditionRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
    };
    upstream.set_condition(request);
    if request.leave_after_ms.is_some() {
        let upstream = Arc::clone(upstream);
        tokio::spawn(async move { server::leave(&upstream, request.announces).await });
    }
    text_response(StatusCode::OK, "")
}

/// Checks the form of a grant without storing it: fence tokens are checked only in requests that carry them.
fn handle_grant(body: &[u8]) -> Response {
    match serde_json::from_slice::<Grant>(body) {
        Ok(grant) if parse_token(&grant.token).is_some() => {
            log::debug!(
                target: "upstream",
                "Received the grant of slot {} with token {} for {} ms.", grant.slot, grant.token, grant.until_ms
            );
            text_response(StatusCode::OK, "")
        }
        Ok(_) => text_response(StatusCode::BAD_REQUEST, "a token is TERM.SEQUENCE"),
        Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

async fn handle_prepare(upstream: &Upstream, body: &[u8]) -> Response {
    let Ok(prepare) = serde_json::from_slice::<Prepare>(body) else {
        return text_response(StatusCode::BAD_REQUEST, "prepare needs a slot");
    };
    sleep_until(upstream.ready_at()).await;
    log::debug!(target: "upstream", "Prepared slot {}.", prepare.slot);
    text_response(StatusCode::OK, "")
}

fn handle_cancel(upstream: &Upstream, body: &[u8]) -> Response {
    let id = serde_json::from_slice::<Cancel>(body)
        .ok()
        .and_then(|it| u128::from_str_radix(&it.request_id, 16).ok());
    match id {
        Some(id) => {
            upstream.cancel(RequestId(id));
            text_response(StatusCode::OK, "")
        }
        None => text_response(StatusCode::BAD_REQUEST, "cancel needs a hexadecimal request_id"),
    }
}
