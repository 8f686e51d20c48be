//! Tests of the tables of control.

mod documents;
mod pace;
