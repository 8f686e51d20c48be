//! What a caller is told about its request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The HTTP header that carries an [`Outcome`] to the caller:
/// `answered`, `not-run; reason=...` or `unknown; reason=...`.
pub const OUTCOME_HEADER: &str = "x-pomelohill-outcome";
/// The HTTP header in which a caller names its request: 1 to 32 hexadecimal digits.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The HTTP header that carries the fence token to an upstream: `TERM.SEQUENCE`.
pub const TOKEN_HEADER: &str = "x-fence-token";

/// The end of a request, as the caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream's whole answer.
    Answered,
    /// Provably never run: safe to send again.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum NotRunReason {
    /// The request itself is at fault: no route, no key, a bad id, too large.
    BadRequest,
    /// No room before the deadline.
    Overloaded,
    /// The deadline passed before the request reached an upstream.
    DeadlineExceeded,
    /// Nobody owns the key at the moment.
    NoOwner,
    /// The addressed instance does not own the key.
    NotOwner,
    /// No upstream of the service could be reached.
    Unreachable,
    /// The instance or its upstream is leaving.
    Draining,
    /// The upstream refused it before running it.
    Refused,
    /// The caller took it back before it ran.
    Cancelled,
    /// Several upstreams have ended while they ran the same: it is given to none any more.
    Quarantined,
}

/// Why the end of a request is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum UnknownReason {
    /// The connection broke after the request was handed on.
    ConnectionLost,
    /// The deadline passed while the request was running.
    DeadlineExceeded,
    /// The answer was broken: wrong length or wrong id.
    BrokenAnswer,
    /// The owner's records do not reach back to the first sending.
    NoRecord,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Answered => f.write_str("answered"),
            Outcome::NotRun(reason) => write!(f, "not-run; reason={}", reason.as_str()),
            Outcome::Unknown(reason) => write!(f, "unknown; reason={}", reason.as_str()),
        }
    }
}

impl NotRunReason {
    pub fn as_str(self) -> &'static str {
        match self {
            NotRunReason::BadRequest => "bad-request",
            NotRunReason::Overloaded => "overloaded",
            NotRunReason::DeadlineExceeded => "deadline-exceeded",
            NotRunReason::NoOwner => "no-owner",
            NotRunReason::NotOwner => "not-owner",
            NotRunReason::Unreachable => "unreachable",
            NotRunReason::Draining => "draining",
            NotRunReason::Refused => "refused",
            NotRunReason::Cancelled => "cancelled",
            NotRunReason::Quarantined => "quarantined",
        }
    }
}

impl UnknownReason {
    pub fn as_str(self) -> &'static str {
        match self {
            UnknownReason::ConnectionLost => "connection-lost",
            UnknownReason::DeadlineExceeded => "deadline-exceeded",
            UnknownReason::BrokenAnswer => "broken-answer",
            UnknownReason::NoRecord => "no-record",
        }
    }
}
