//! Decisions on requests: admission, retries, at-most-once records, selection. No I/O.
//!
//! Invariant of the architecture: no clock, no threads, no ambient randomness. Each part is a
//! table that takes the time and, where it draws lots, the caller's seeded generator.

mod admission;
mod quarantine;
mod records;
mod retry;
mod selection;
mod sketch;
mod smoothed;
mod split;
mod waits;
mod warmup;

#[cfg(test)]
mod tests;

pub use admission::{
    Admission, AdmissionConfig, Arrival, ClassConfig, ClassIndex, Completion, Decision, RouteIndex,
    Ticket, Timeliness, Verdict,
};
pub use quarantine::{CrashId, Quarantine, QuarantineStatus};
pub use records::{
    Answer, BeginResult, Record, RecordUnit, RecordedOutcome, Records, RecordsConfig, UnitRecords,
};
pub use retry::{Attempts, ChargePolicy, EndedAttempt, Retries, RetryConfig, RetryVerdict};
pub use selection::{
    GateReport, HealthHint, PickedTarget, RequestProfile, Selection, SelectionConfig,
    TargetComparison, TargetResult, TargetSpec, TargetState, TargetView,
};
pub use sketch::{HeavyHitter, Sketch};
pub use smoothed::SmoothedDuration;
pub use split::WeightedRoundRobin;
pub use waits::TimeoutEstimate;
pub use warmup::{SharedWarmup, Warmup};
