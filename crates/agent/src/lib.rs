//! The agent: ingress, gate, group member and coordinator in one small process.
//!
//! Control runs on one thread, traffic on the others. Control publishes [`snapshot`]s and applies gate
//! commands through [`gate::GateHandle`]; traffic sends [`report`]s to control.

pub mod clock;
mod connections;
pub mod control;
mod forward;
pub mod gate;
mod ingress;
pub mod links;
mod metrics;
mod plane;
mod adapters;
mod quarantine;
mod ready;
mod reload;
pub mod report;
mod request;
mod request_log;
mod run;
pub mod snapshot;
mod store_relay;
mod zones;

pub use adapters::Adapters;
pub use forward::FinalReply;
pub use gate::Connect;
pub use ingress::{
    AnnounceProtocol, CallHead, CallId, CallerProtocol, Refusal, UpstreamMessage, answer_response,
    status_of, strip_hop_by_hop_headers,
};
pub use reload::SettingsFile;
pub use request::GateReply;
pub use run::{ListenError, run, run_with};
pub use store_relay::FollowedStores;
pub use zones::{ClosedZones, ClosedZonesSource, ZoneChange, follow_zones};

#[cfg(test)]
mod tests;
