//! The agent: ingress, gate, group member and coordinator in one small process.
//!
//! Control runs on one thread, traffic on others. Control publishes [`snapshot`]s and applies gate
//! commands through [`gate::GateHandle`]; traffic answers with [`report`]s.

#![allow(dead_code)]

pub mod clock;
pub mod gate;
pub mod links;
pub mod report;
mod request;
pub mod snapshot;
