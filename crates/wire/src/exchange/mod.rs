//! Messages between the control threads of agents: group messages, documents, routes and changes in the store.

mod envelope;
mod routes;
mod store;

#[cfg(test)]
mod tests;

pub use envelope::Envelope;
pub use routes::{RouteMember, RouteOwner, RouteTable};
pub use store::{StoreChange, StoreNews, StoreWatch};
