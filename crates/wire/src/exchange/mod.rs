//! What control threads tell each other: messages of a group, documents, routes.

mod envelope;
mod routes;

#[cfg(test)]
mod tests;

pub use envelope::Envelope;
pub use routes::{RouteMember, RouteOwner, RouteTable};
