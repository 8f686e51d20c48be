//! Messages between the control threads of agents: group messages, documents and routes.

mod envelope;
mod routes;

#[cfg(test)]
mod tests;

pub use envelope::Envelope;
pub use routes::{RouteMember, RouteOwner, RouteTable};
