//! Connections that the agent accepts: what all of them may take together, and what one client may send.

mod budget;
mod client_stream;
mod framing;
mod limits;
mod server;

#[cfg(test)]
mod tests;

pub(crate) use budget::{
    ConnectionBudget, ConnectionLimits, ConnectionPermit, ConnectionUsage, ListenerKind,
};
pub(crate) use client_stream::{ClientStream, ConnectionObserver, Turn};
pub(crate) use limits::ClientLimits;
pub(crate) use server::{HttpListener, poll_connection, refuse_connection, server};
