//! Who owns which slot: terms, leases, plans, handover and rebalance of one group.
//!
//! Invariant of the architecture: no I/O, no clock, no threads, no ambient randomness. A
//! [`Node`] takes the time, one [`Input`] and its own seeded generator, changes its tables and
//! returns [`Output`]s. Whoever drives it carries these out.

mod coordinator;
mod ctx;
mod input;
mod limits;
mod load;
mod member;
mod message;
mod node;
mod object;
mod output;
pub mod planner;
mod rules;
#[cfg(any(test, feature = "sim"))]
pub mod sim;
mod times;
mod work;

#[cfg(test)]
mod tests;

pub use coordinator::GROUP_MEMBERS_MAX;
pub use input::{Input, KeyLoad, LoadReport, PlatformReply, SlotLoad, UpstreamState};
pub use limits::{CoordinatorLease, FenceCheck, Limits};
pub use message::{
    Command, HeldKey, HeldSlot, Holding, MemberNumber, MemberStatus, Message, Renew, Renewed,
    Report, RouteKey, RouteMember, RouteMemberChange, RouteRange, Routes, SessionId,
};
pub use node::{MemberView, Node, NodeConfig, NodeView, OwnerView};
pub use object::{Confirmation, Coordinator, HotKey, Plan, PlanSlot, TermTimes};
pub use output::{CallId, Event, GateCommand, MoveReason, Output, PlatformRequest};
