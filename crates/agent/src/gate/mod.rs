//! The gate: the only way to the upstream beside this agent.

mod handle;
mod load;
mod table;

pub use handle::GateHandle;
