//! Verdict on the invariants in one run, from journals alone.

mod availability;
mod condition;
mod ownership;
mod requests;
mod spread;
mod stops;

#[cfg(test)]
mod tests;

use std::fmt;

use serde::Serialize;
use standins::journal::FinalOutcome;

use super::evidence::Evidence;

/// Longest allowed time for which a key is unavailable.
const UNAVAILABLE_MS_MAX: u64 = 2_000;
/// Longest allowed time until all agents apply a changed document.
const CONFIG_IN_FORCE_MS_MAX: u64 = 5_000;

/// Figures of one run, and the violations found in it.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub(crate) struct Verdict {
    pub(crate) requests: usize,
    pub(crate) answered: usize,
    pub(crate) not_run: usize,
    pub(crate) unknown: usize,
    pub(crate) lost: usize,
    pub(crate) ran_twice: usize,
    pub(crate) not_run_but_ran: usize,
    pub(crate) double_owned: usize,
    pub(crate) crossed_answers: usize,
    pub(crate) broken_answers: usize,
    pub(crate) cut_off: usize,
    /// Requests that reached a draining upstream later than it allows.
    pub(crate) late_work: usize,
    /// Upstreams that got more requests than the limit that they stated allows.
    pub(crate) limit_exceeded: usize,
    /// Requests that reached an upstream although it had long stated that it is leaving.
    pub(crate) work_after_leaving: usize,
    /// Time until the last agent applied a changed document; `None` if some agent never did.
    pub(crate) config_in_force_ms: Option<u64>,
    pub(crate) config_reverted: usize,
    /// Longest time for which a probed key was not served.
    pub(crate) unavailable_ms_max: u64,
    /// Runs on the busiest upstream over the mean, in the window without faults; the highest value of
    /// all sharded services.
    pub(crate) imbalance: f64,
    /// Number of changes of a key's owner, divided by the number of keys.
    pub(crate) churn: f64,
    #[serde(skip)]
    pub(crate) findings: Vec<Finding>,
}

/// Violation of an invariant, with details for its analysis.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Finding {
    pub(crate) invariant: &'static str,
    pub(crate) detail: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

/// Result of a change of a document, as probes of all agents saw it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ConfigProbe {
    /// Time from the platform's acknowledgement until the last agent applied the change; `None` if
    /// some agent never did.
    pub(crate) in_force_ms: Option<u64>,
    /// How often an agent reverted to the previous document.
    pub(crate) reverted: usize,
}

impl ConfigProbe {
    fn findings(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        if self.in_force_ms.is_none_or(|it| it > CONFIG_IN_FORCE_MS_MAX) {
            let detail = format!(
                "expected the change in force on all agents within {CONFIG_IN_FORCE_MS_MAX} ms, got {:?}",
                self.in_force_ms
            );
            findings.push(Finding { invariant: "config_in_force_ms", detail });
        }
        if self.reverted > 0 {
            let detail =
                format!("agents reverted to the previous document {} times", self.reverted);
            findings.push(Finding { invariant: "config_reverted", detail });
        }
        findings
    }
}

impl Verdict {
    /// Evaluates a run; `config` is `None` if no document was changed.
    pub(crate) fn new(evidence: &Evidence, config: Option<ConfigProbe>) -> Verdict {
        let executions = evidence.executions();
        let count = |outcome| evidence.calls.iter().filter(|it| it.outcome == outcome).count();
        let mut findings = Vec::new();
        let mut found = |new: Vec<Finding>| {
            let count = new.len();
            findings.extend(new);
            count
        };
        let unavailable = availability::longest_gap(evidence);
        let mut verdict = Verdict {
            requests: evidence.calls.len(),
            answered: count(FinalOutcome::Answered),
            not_run: count(FinalOutcome::NotRun),
            unknown: count(FinalOutcome::Unknown),
            lost: found(requests::lost(evidence, &executions)),
            ran_twice: found(requests::ran_twice(evidence, &executions)),
            not_run_but_ran: found(requests::not_run_but_ran(evidence, &executions)),
            double_owned: found(ownership::double_owned(&executions)),
            crossed_answers: found(requests::crossed_answers(evidence)),
            broken_answers: found(requests::broken_answers(evidence)),
            cut_off: found(stops::cut_off(evidence, &executions)),
            late_work: found(stops::late_work(evidence)),
            limit_exceeded: found(condition::limit_exceeded(evidence)),
            work_after_leaving: found(condition::work_after_leaving(evidence)),
            config_in_force_ms: config.and_then(|it| it.in_force_ms),
            config_reverted: config.map_or(0, |it| it.reverted),
            unavailable_ms_max: unavailable.as_ref().map_or(0, |it| it.gap_ms),
            imbalance: spread::imbalance(evidence, &executions),
            churn: spread::churn(evidence, &executions),
            findings,
        };
        if verdict.unavailable_ms_max > UNAVAILABLE_MS_MAX {
            verdict.findings.extend(unavailable.map(availability::Gap::finding));
        }
        verdict.findings.extend(config.iter().flat_map(ConfigProbe::findings));
        verdict
    }

    /// Returns whether all invariants held.
    pub(crate) fn holds(&self) -> bool {
        self.findings.is_empty()
    }
}
