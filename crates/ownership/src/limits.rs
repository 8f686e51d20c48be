//! Timeouts and targets for ownership, as set by a service's document.

use std::time::Duration;

use model::Fence;

use crate::GROUP_MEMBERS_MAX;

/// Whether the service's upstreams check fence tokens themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceCheck {
    Checked,
    /// Only the gate enforces the lease: requests must end before the lease does.
    Unchecked,
}

/// How long a coordinator's lease on its own slots lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoordinatorLease {
    /// Until its confirmation ends, so that its slots become free without a further wait.
    Confirmation,
    /// A full lease from each confirmation, as for other members. Meant for upstreams that abort requests when the
    /// grant under which they started ends.
    Full,
}

/// Limits from the service's document. The settings crate checks that they are consistent with each other.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Duration of a member's lease.
    pub lease: Duration,
    /// Interval between a member's lease renewals.
    pub renew_every: Duration,
    /// Largest drift between two clocks over the duration of one lease.
    pub drift_margin: Duration,
    /// How long a confirmation of the coordinator by witnesses is valid.
    pub confirmation: Duration,
    /// How long a confirmation of the coordinator by the platform is valid.
    pub platform_confirmation: Duration,
    /// How long the coordinator may be silent before another member takes over the term.
    pub takeover_after: Duration,
    /// How long a coordinator continues without reaching the platform.
    pub platform_absence_max: Duration,
    /// Largest gap between steps; a longer one counts as a pause of the process and ends the session.
    pub pause_max: Duration,
    /// How long the old owner of a slot may take to finish its requests in flight.
    pub handover_max: Duration,
    /// Number of tokens after which a coordinator releases its term, so that the next one numbers its tokens anew. Far
    /// fewer than a fence can count, because tokens are still drawn until the release.
    pub tokens_per_term: u64,
    /// The most members of the group, at most [`GROUP_MEMBERS_MAX`].
    pub members_max: usize,
    /// Target for the busiest member's load divided by the mean load, for example 1.15.
    pub imbalance_target: f64,
    /// Largest share of all keys that rebalancing may move per minute.
    pub churn_per_minute_max: f64,
    /// Trade-off for rebalancing: 0 minimizes churn, 1 minimizes unavailable time.
    pub availability_weight: f64,
    /// Whether members get load in proportion to the measured capacity of their upstreams.
    pub weighs_capacity: bool,
    pub fence: FenceCheck,
    pub coordinator_lease: CoordinatorLease,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            lease: Duration::from_millis(750),
            renew_every: Duration::from_millis(250),
            drift_margin: Duration::from_millis(10),
            confirmation: Duration::from_millis(300),
            platform_confirmation: Duration::from_millis(600),
            takeover_after: Duration::from_millis(400),
            platform_absence_max: Duration::from_secs(5400),
            pause_max: Duration::from_millis(250),
            handover_max: Duration::from_millis(2000),
            tokens_per_term: Fence::SEQUENCE_MAX / 2,
            members_max: GROUP_MEMBERS_MAX,
            imbalance_target: 1.15,
            churn_per_minute_max: 0.10,
            availability_weight: 0.5,
            weighs_capacity: false,
            fence: FenceCheck::Unchecked,
            coordinator_lease: CoordinatorLease::Confirmation,
        }
    }
}
