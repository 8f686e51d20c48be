//! Tests of settings and documents.

mod agent_settings;
mod central;
mod document;
mod examples;
mod fuzz;
mod objects;
mod problems;
mod route;
mod schema;
mod spread;
mod versions;
