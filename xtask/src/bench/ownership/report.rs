//! What was measured, as written out.

use serde::Serialize;

use super::{bound::Least, policy::BASELINES, workload::Workload};

/// Busiest over mean that is aimed at.
const IMBALANCE_GOAL: f64 = 1.15;
/// Moves over the least that any plan needs, that is aimed at.
const CHURN_GOAL: f64 = 1.2;

const HEADER: &str = "  policy                           busiest/mean: mean    p99  <=1.15 | \
    keys/min: moved   least | unavailable: key-s  longest | entries plans";

/// The whole measurement.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Report {
    pub(crate) seed: u64,
    pub(crate) workloads: Vec<WorkloadReport>,
}

impl Report {
    /// A short table.
    pub(crate) fn lines(&self) -> Vec<String> {
        let title =
            |it: &WorkloadReport| format!("{}, {} s, {} keys", it.workload, it.seconds, it.keys);
        let workload = |it: &WorkloadReport| {
            let rows = it.policies.iter().map(Measured::table_row);
            [title(it), HEADER.to_owned()].into_iter().chain(rows).collect::<Vec<_>>()
        };
        self.workloads.iter().flat_map(workload).collect()
    }
}

/// All policies on one workload; the first is the product's own.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct WorkloadReport {
    pub(crate) workload: &'static str,
    pub(crate) seconds: u32,
    pub(crate) keys: usize,
    pub(crate) slots: u16,
    /// No placement of whole keys reaches the goal in this workload.
    pub(crate) has_key_over_fair_share: bool,
    pub(crate) policies: Vec<Measured>,
    pub(crate) goals: Goals,
}

/// What the product's own policy reached.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Goals {
    /// Share of the seconds with an imbalance of at most 1.15.
    pub(crate) imbalance_share: f64,
    pub(crate) churn_within_goal: bool,
    /// For each baseline, in which of the three the policy is at least as good.
    pub(crate) against: Vec<Comparison>,
}

/// The product's policy against one baseline.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Comparison {
    pub(crate) baseline: &'static str,
    pub(crate) imbalance: bool,
    pub(crate) churn: bool,
    pub(crate) unavailable: bool,
}

/// One policy on one workload.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Measured {
    pub(crate) policy: &'static str,
    pub(crate) imbalance_mean: f64,
    pub(crate) imbalance_p99: f64,
    pub(crate) imbalance_max: f64,
    pub(crate) within_goal_share: f64,
    /// Share of all keys moved in a minute, on average; keys of lost members left out.
    pub(crate) churn_per_minute: f64,
    /// The least that any plan needs for the same imbalance from the same placements, if any key
    /// may move alone.
    pub(crate) least_churn_per_minute: f64,
    /// The same if keys move by slots, and only hot ones alone.
    pub(crate) least_unit_churn_per_minute: f64,
    /// Share of all keys moved by a loss and in the minute after it.
    pub(crate) moved_per_loss: f64,
    pub(crate) unavailable_key_s: f64,
    pub(crate) unavailable_longest_ms: f64,
    /// Keys on members asked for more than their capacity, times the share refused.
    pub(crate) overloaded_key_s: f64,
    pub(crate) entries_max: usize,
    /// Plans written to the platform, where the policy has any.
    pub(crate) plans_written: u32,
    #[serde(skip)]
    pub(super) losses: u32,
    #[serde(skip)]
    imbalances: Vec<f64>,
}

impl Measured {
    pub(super) fn new(policy: &'static str) -> Measured {
        Measured {
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

    pub(super) fn second(&mut self, imbalance: f64, overloaded_key_s: f64, entries: usize) {
        self.imbalances.push(imbalance);
        self.overloaded_key_s += overloaded_key_s;
        self.entries_max = self.entries_max.max(entries);
    }

    pub(super) fn churn(&mut self, share: f64, least: Least) {
        assert!(share >= least.by_key - 1e-9, "{share} moved, below the least: {least:?}");
        self.churn_per_minute += share;
        self.least_churn_per_minute += least.by_key;
        self.least_unit_churn_per_minute += least.by_unit;
    }

    pub(super) fn loss_moves(&mut self, share: f64) {
        self.moved_per_loss += share;
    }

    pub(super) fn unavailable(&mut self, key_s: f64, longest_s: f64) {
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

    /// Turns sums into means.
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
    pub(super) fn new(workload: &Workload, policies: Vec<Measured>) -> WorkloadReport {
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
    fn new(policies: &[Measured]) -> Goals {
        let (own, others) = policies.split_first().expect("there are policies");
        let against = |it: &Measured| Comparison {
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
