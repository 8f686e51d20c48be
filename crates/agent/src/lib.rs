//! The agent: ingress, gate, group member and coordinator in one small process.
