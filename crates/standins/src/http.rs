//! Helpers of the HTTP servers.

use std::{io::Write, net::SocketAddr};

use anyhow::Context;
use http::{StatusCode, header::HeaderName};
use serde::Serialize;
use tokio::net::TcpListener;
use volo_http::{body::Body, response::Response};

/// Binds a listener and returns it with its address; port 0 selects a free port.
pub async fn bind(address: SocketAddr) -> anyhow::Result<(TcpListener, SocketAddr)> {
    let listener =
        TcpListener::bind(address).await.with_context(|| format!("listening on {address}"))?;
    let bound = listener.local_addr().context("reading the address of the listener")?;
    Ok((listener, bound))
}

/// Prints the address as the first line on standard output, where the parent process reads it.
pub fn print_address(address: SocketAddr) -> anyhow::Result<()> {
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{address}").context("printing the bound address")?;
    stdout.flush().context("printing the bound address")
}

/// Returns a response with a text body.
pub(crate) fn text_response(status: StatusCode, body: impl Into<bytes::Bytes>) -> Response {
    let mut response = Response::new(Body::from(body.into()));
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body.
pub(crate) fn json_response(value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => text_response(StatusCode::OK, body),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Adds a header; a value that is not valid in a header is skipped.
pub(crate) fn with_header(
    mut response: Response,
    name: HeaderName,
    value: impl ToString,
) -> Response {
    if let Ok(value) = value.to_string().try_into() {
        response.headers_mut().insert(name, value);
    }
    response
}

/// Closes the connection of the current request without an answer, by a panic in the handler.
///
/// The server runs each connection as one task and offers no other way to close it from a handler.
pub(crate) fn close_connection() -> ! {
    std::panic::resume_unwind(Box::new("connection dropped on purpose"))
}
