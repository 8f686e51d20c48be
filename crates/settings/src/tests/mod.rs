//! Tests of agent settings and service documents.

mod agent_settings;
mod central;
mod convergence;
mod document;
mod examples;
mod fuzz;
mod objects;
mod problems;
mod route;
mod schema;
mod versions;
