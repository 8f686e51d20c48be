//! Tests of the measurement.
