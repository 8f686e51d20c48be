//! Rates of requests.

use serde::{Deserialize, Serialize};

/// Rate of requests, in whole requests per 1,000 s. Never zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "u64", into = "u64")]
pub struct RequestRate {
    per_1000_s: u64,
}

/// Error for a rate of zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("expected a rate above 0")]
pub struct ZeroRateError;

impl RequestRate {
    /// Creates a rate. Rounds down, but to at least one request in 1,000 s. Returns `None` for a number that is
    /// negative or not finite.
    pub fn from_per_s(per_s: f64) -> Option<RequestRate> {
        let is_valid = per_s.is_finite() && per_s >= 0.0;
        is_valid.then(|| RequestRate { per_1000_s: ((per_s * 1000.0) as u64).max(1) })
    }

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        self.per_1000_s as f64 / 1000.0
    }
}

impl TryFrom<u64> for RequestRate {
    type Error = ZeroRateError;

    fn try_from(per_1000_s: u64) -> Result<RequestRate, ZeroRateError> {
        if per_1000_s == 0 {
            return Err(ZeroRateError);
        }
        Ok(RequestRate { per_1000_s })
    }
}

impl From<RequestRate> for u64 {
    fn from(rate: RequestRate) -> u64 {
        rate.per_1000_s
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/s", self.per_s())
    }
}
