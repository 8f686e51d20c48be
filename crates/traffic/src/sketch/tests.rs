//! Tests of the sketch.
