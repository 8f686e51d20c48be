//! Tests of settings and documents.

mod agent_settings;
mod document;
mod objects;
mod problems;
mod route;
