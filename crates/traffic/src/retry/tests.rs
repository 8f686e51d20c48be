//! Tests of retries.
