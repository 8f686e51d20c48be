//! Decisions on requests: admission, retries, at-most-once records, target selection, quarantine. No I/O.
//!
//! Invariant of the architecture: no clock, no threads, no global random generator. Each part is a state machine that
//! gets the current time and, for random choices, a seeded generator from its caller.

mod admission;
mod call_failures;
mod capacity;
mod quarantine;
mod rate_limit;
mod records;
mod retry;
mod returns;
mod selection;
mod sketch;
mod smoothed;
mod weighted_round_robin;
mod timeout_estimate;

#[cfg(test)]
mod tests;

pub use admission::{
    Admission, AdmissionConfig, Arrival, ClassConfig, ClassIndex, Completion, Decision,
    ExpressLoad, RouteIndex, Ticket, Timeliness, Verdict,
};
pub use call_failures::{
    CallFailures, EndCounts, RunResult, StartRefusal, StartVerdict, UnservedRequests,
};
pub use capacity::{ConcurrencyLimit, LimitChange};
pub use quarantine::{CrashId, Quarantine, QuarantineStatus, TRIALS_MAX, TrialCounts, TrialEnd};
pub use rate_limit::{RateLimit, SharedRateLimit};
pub use records::{
    Answer, BeginResult, Record, RecordUnit, RecordedOutcome, Records, RecordsConfig, UnitRecords,
};
pub use retry::{Attempts, ChargePolicy, EndedAttempt, Retries, RetryConfig, RetryVerdict};
pub use returns::{
    GivenTime, GivenTimes, PromiseState, Return, ReturnBook, ReturnRequest, ReturnTime, Sending,
};
pub use selection::{
    GateReport, HealthHint, PickedTarget, RequestProfile, Selection, SelectionConfig,
    TargetComparison, TargetResult, TargetSpec, TargetState, TargetView,
};
pub use sketch::{HeavyHitter, Sketch};
pub use smoothed::SmoothedDuration;
pub use timeout_estimate::TimeoutEstimate;
pub use weighted_round_robin::WeightedRoundRobin;
