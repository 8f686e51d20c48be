//! Tests of records.
