//! Tests of settings and documents.

mod agent_settings;
mod document;
mod examples;
mod central;
mod fuzz;
mod objects;
mod problems;
mod route;
mod schema;
mod spread;
mod versions;
