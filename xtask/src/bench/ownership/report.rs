//! Report of the measurement, as JSON and as a table.

use serde::Serialize;

use super::{bound::MinimalMoves, policy::BASELINES, workload::Workload};

/// Highest imbalance, as busiest over mean, that meets the goal.
const IMBALANCE_GOAL: f64 = 1.15;
/// Highest ratio of moves to the lower bound of any plan that meets the goal.
const CHURN_GOAL: f64 = 1.2;

const HEADER: &str = "  policy                           busiest/mean: mean    p99  <=1.15 | \
    keys/min: moved   least | unavailable: key-s  longest | entries plans";

/// Results of all workloads.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Report {
    pub(crate) seed: u64,
    pub(crate) workloads: Vec<WorkloadReport>,
}

impl Report {
    /// Formats the report as a table.
    pub(crate) fn lines(&self) -> Vec<String> {
        let title =
            |it: &WorkloadReport| format!("{}, {} s, {} keys", it.workload, it.seconds, it.keys);
        let workload = |it: &WorkloadReport| {
            let rows = it.policies.iter().map(PolicyResult::table_row);
            [title(it), HEADER.to_owned()].into_iter().chain(rows).collect::<Vec<_>>()
        };
        self.workloads.iter().flat_map(workload).collect()
    }
}

/// Results of all policies on one workload; the first policy is the one under test.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct WorkloadReport {
    pub(crate) workload: &'static str,
    pub(crate) seconds: u32,
    pub(crate) keys: usize,
    pub(crate) slots: u16,
    /// Whether some key exceeds a member's fair load, so that no placement of whole keys reaches the goal.
    pub(crate) has_key_over_fair_share: bool,
    pub(crate) policies: Vec<PolicyResult>,
    pub(crate) goals: Goals,
}

/// Results of the policy under test, compared with the goals.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Goals {
    /// Share of the seconds with an imbalance of at most 1.15.
    pub(crate) imbalance_share: f64,
    pub(crate) churn_within_goal: bool,
    /// Comparison with each baseline.
    pub(crate) against: Vec<Comparison>,
}

/// Measures in which the policy under test is at least as good as one baseline.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Comparison {
    pub(crate) baseline: &'static str,
    pub(crate) imbalance: bool,
    pub(crate) churn: bool,
    pub(crate) unavailable: bool,
}

/// Result of one policy on one workload.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct PolicyResult {
    pub(crate) policy: &'static str,
    pub(crate) imbalance_mean: f64,
    pub(crate) imbalance_p99: f64,
    pub(crate) imbalance_max: f64,
    pub(crate) within_goal_share: f64,
    /// Mean share of all keys that moved in a minute, without the keys of lost members.
    pub(crate) churn_per_minute: f64,
    /// Lower bound on the churn for the same imbalance from the same placements, if any key may move
    /// alone.
    pub(crate) least_churn_per_minute: f64,
    /// The same bound if keys move with their slot, and only hot keys may move alone.
    pub(crate) least_unit_churn_per_minute: f64,
    /// Mean share of all keys moved by a loss and in the minute after it.
    pub(crate) moved_per_loss: f64,
    pub(crate) unavailable_key_s: f64,
    pub(crate) unavailable_longest_ms: f64,
    /// Keys on overloaded members times the share of their load above the capacity, in key-seconds.
    pub(crate) overloaded_key_s: f64,
    pub(crate) entries_max: usize,
    /// Number of plans written to the platform; 0 for policies without plans.
    pub(crate) plans_written: u32,
    #[serde(skip)]
    pub(super) losses: u32,
    #[serde(skip)]
    imbalances: Vec<f64>,
}

impl PolicyResult {
    pub(super) fn new(policy: &'static str) -> PolicyResult {
        PolicyResult {
            policy,
            imbalance_mean: 0.0,
            imbalance_p99: 0.0,
            imbalance_max: 0.0,
            within_goal_share: 0.0,
            churn_per_minute: 0.0,
            least_churn_per_minute: 0.0,
            least_unit_churn_per_minute: 0.0,
            moved_per_loss: 0.0,
            unavailable_key_s: 0.0,
            unavailable_longest_ms: 0.0,
            overloaded_key_s: 0.0,
            entries_max: 0,
            plans_written: 0,
            losses: 0,
            imbalances: Vec::new(),
        }
    }

    pub(super) fn record_second(&mut self, imbalance: f64, overloaded_key_s: f64, entries: usize) {
        self.imbalances.push(imbalance);
        self.overloaded_key_s += overloaded_key_s;
        self.entries_max = self.entries_max.max(entries);
    }

    pub(super) fn record_churn(&mut self, share: f64, least: MinimalMoves) {
        assert!(
            share >= least.by_key - 1e-9,
            "moved a share of {share}, below the lower bound {least:?}"
        );
        self.churn_per_minute += share;
        self.least_churn_per_minute += least.by_key;
        self.least_unit_churn_per_minute += least.by_unit;
    }

    pub(super) fn record_loss_moves(&mut self, share: f64) {
        self.moved_per_loss += share;
    }

    pub(super) fn record_unavailable(&mut self, key_s: f64, longest_s: f64) {
        self.unavailable_key_s += key_s;
        self.unavailable_longest_ms = self.unavailable_longest_ms.max(longest_s * 1000.0);
    }

    fn table_row(&self) -> String {
        format!(
            "  {:<32} {:>18.3} {:>6.3} {:>6.1}% | {:>14.4}% {:>6.4}% | {:>18.2} {:>5.0} ms | {:>7} {:>5}",
            self.policy,
            self.imbalance_mean,
            self.imbalance_p99,
            self.within_goal_share * 100.0,
            self.churn_per_minute * 100.0,
            self.least_churn_per_minute * 100.0,
            self.unavailable_key_s,
            self.unavailable_longest_ms,
            self.entries_max,
            self.plans_written,
        )
    }

    /// Turns the recorded sums into means.
    pub(super) fn finish(&mut self, seconds: u32) {
        let minutes = f64::from(seconds) / 60.0;
        self.churn_per_minute /= minutes;
        self.least_churn_per_minute /= minutes;
        self.least_unit_churn_per_minute /= minutes;
        self.moved_per_loss /= f64::from(self.losses.max(1));
        self.imbalances.sort_by(f64::total_cmp);
        let len = self.imbalances.len();
        self.imbalance_mean = self.imbalances.iter().sum::<f64>() / len as f64;
        self.imbalance_p99 = self.imbalances[len * 99 / 100];
        self.imbalance_max = self.imbalances[len - 1];
        let within = self.imbalances.partition_point(|it| *it <= IMBALANCE_GOAL);
        self.within_goal_share = within as f64 / len as f64;
    }
}

impl WorkloadReport {
    pub(super) fn new(workload: &Workload, policies: Vec<PolicyResult>) -> WorkloadReport {
        let goals = Goals::new(&policies);
        WorkloadReport {
            workload: workload.name,
            seconds: workload.seconds,
            keys: workload.keys.len(),
            slots: workload.slot_count.count(),
            has_key_over_fair_share: workload.has_key_over_fair_share(),
            policies,
            goals,
        }
    }
}

impl Goals {
    fn new(policies: &[PolicyResult]) -> Goals {
        let (own, others) = policies.split_first().expect("at least one policy was measured");
        let against = |it: &PolicyResult| Comparison {
            baseline: it.policy,
            imbalance: own.imbalance_mean <= it.imbalance_mean,
            churn: own.churn_per_minute <= it.churn_per_minute,
            unavailable: own.unavailable_key_s <= it.unavailable_key_s,
        };
        Goals {
            imbalance_share: own.within_goal_share,
            churn_within_goal: own.churn_per_minute <= CHURN_GOAL * own.least_churn_per_minute,
            against: others.iter().take(BASELINES).map(against).collect(),
        }
    }
}
