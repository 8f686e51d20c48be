//! Decisions on requests: admission, retries, at-most-once records, selection. No I/O.
