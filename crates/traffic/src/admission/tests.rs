//! Tests of admission.
