//! Summary of a load: counts by outcome, and latencies.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::journal::{AttemptResult, CallRecord, FinalOutcome};

/// Upper bound of the histogram; longer latencies count as this one.
const LATENCY_MAX_US: u64 = 60_000_000;

/// Number of requests by outcome, and latencies of the answered ones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadSummary {
    pub requests: usize,
    /// Number of attempts of all requests.
    pub sendings: usize,
    pub answered: usize,
    pub not_run: usize,
    pub unknown: usize,
    pub lost: usize,
    /// Number of requests with an answer that belonged to another request or was truncated or corrupt.
    pub wrong_answers: usize,
    /// Time from the first attempt of all requests to the end of the last one.
    pub elapsed_ms: u64,
    pub latency: Latency,
}

/// Percentiles of the time from the first attempt of a request to its answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Latency {
    pub p50_us: u64,
    pub p90_us: u64,
    pub p99_us: u64,
    pub p999_us: u64,
    pub max_us: u64,
}

impl LoadSummary {
    /// Summarizes the requests of a load.
    pub fn new(records: &[CallRecord]) -> anyhow::Result<LoadSummary> {
        let count = |outcome| records.iter().filter(|it| it.outcome == outcome).count();
        let mut latencies = Histogram::<u64>::new_with_bounds(1, LATENCY_MAX_US, 3)?;
        for record in records.iter().filter(|it| it.outcome == FinalOutcome::Answered) {
            let latency_us = (record.ended_ns() - record.first_sent_ns()) / 1000;
            latencies.saturating_record(latency_us);
        }
        let first_ns = records.iter().map(CallRecord::first_sent_ns).min().unwrap_or(0);
        let last_ns = records.iter().map(CallRecord::ended_ns).max().unwrap_or(0);
        let is_wrong = |it: &CallRecord| it.attempts.iter().any(|it| is_wrong_answer(&it.result));
        Ok(LoadSummary {
            requests: records.len(),
            sendings: records.iter().map(|it| it.attempts.len()).sum(),
            answered: count(FinalOutcome::Answered),
            not_run: count(FinalOutcome::NotRun),
            unknown: count(FinalOutcome::Unknown),
            lost: count(FinalOutcome::Lost),
            wrong_answers: records.iter().filter(|it| is_wrong(it)).count(),
            elapsed_ms: (last_ns - first_ns) / 1_000_000,
            latency: Latency {
                p50_us: latencies.value_at_quantile(0.5),
                p90_us: latencies.value_at_quantile(0.9),
                p99_us: latencies.value_at_quantile(0.99),
                p999_us: latencies.value_at_quantile(0.999),
                max_us: latencies.max(),
            },
        })
    }

    /// Returns the mean number of answered requests per second of the elapsed time.
    pub fn answered_per_s(&self) -> f64 {
        match self.elapsed_ms {
            0 => 0.0,
            elapsed_ms => self.answered as f64 * 1e3 / elapsed_ms as f64,
        }
    }
}

fn is_wrong_answer(result: &AttemptResult) -> bool {
    matches!(result, AttemptResult::Crossed | AttemptResult::Broken)
}
