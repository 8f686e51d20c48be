//! Ownership of slots within one group: terms, leases, plans, handover and rebalancing.
//!
//! Architecture invariant: this crate has no I/O, no clock, no threads and no ambient randomness. A [`Node`] takes
//! the time and one [`Input`], draws from its own seeded generator, updates its state and returns [`Output`]s, which
//! the caller carries out.

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

pub use coordinator::{GROUP_MEMBERS_MAX, MemberCapacity};
pub use input::{
    CapacityReport, Input, KeyLoad, KindTime, LoadReport, PlatformReply, SlotLoad, UpstreamState,
};
pub use limits::{CoordinatorLease, FenceCheck, Limits};
pub use message::{
    Command, HeldKey, HeldSlot, Holding, MemberNumber, MemberStatus, Message, Renew, Renewed,
    Report, RouteKey, RouteMember, RouteMemberChange, RouteRange, Routes, SessionId,
};
pub use node::{MemberView, Node, NodeConfig, NodeView, OwnerView};
pub use object::{Confirmation, Coordinator, HotKey, Plan, PlanSlot, TermTimes};
pub use output::{CallId, Event, GateCommand, MoveReason, Output, PlatformRequest};
