//! What the stand-ins' HTTP servers share.

use std::{io::Write, net::SocketAddr};

use anyhow::Context;
use http::{StatusCode, header::HeaderName};
use serde::Serialize;
use tokio::net::TcpListener;
use volo_http::{body::Body, response::Response};

/// Listens at an address; port 0 takes a free one.
pub async fn bind(address: SocketAddr) -> anyhow::Result<(TcpListener, SocketAddr)> {
    let listener =
        TcpListener::bind(address).await.with_context(|| format!("listening at {address}"))?;
    let bound = listener.local_addr().context("reading the bound address")?;
    Ok((listener, bound))
}

/// Prints the bound address as the first line on standard output, for whoever started the process.
pub fn print_address(address: SocketAddr) -> anyhow::Result<()> {
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{address}").context("printing the bound address")?;
    stdout.flush().context("printing the bound address")
}

/// An answer with a body.
pub(crate) fn text_response(status: StatusCode, body: impl Into<bytes::Bytes>) -> Response {
    let mut response = Response::new(Body::from(body.into()));
    *response.status_mut() = status;
    response
}

/// An answer with a JSON body.
pub(crate) fn json_response(value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => text_response(StatusCode::OK, body),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Adds a header whose value is a number or another plain text.
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

/// Ends the connection that carries the current request, without an answer.
///
/// The server runs a connection as one task, and has no other way to drop it from a handler.
pub(crate) fn close_connection() -> ! {
    std::panic::resume_unwind(Box::new("connection dropped on purpose"))
}
