//! Tests of selection.
