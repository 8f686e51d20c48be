//! The times and targets that a service's document sets for ownership.

use std::time::Duration;

/// Whether the service's upstreams check the fence token themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceCheck {
    Checked,
    /// The gate is the only guard: requests must end inside the lease.
    Unchecked,
}

/// How long a coordinator may hold what it has granted itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoordinatorLease {
    /// While it is confirmed: its slots are free again as soon as it can't be any more.
    Confirmation,
    /// A lease from when it is confirmed, like any other member: for upstreams that end what outlasts
    /// the grant under which it began.
    Full,
}

/// What the document allows. The settings check them against each other.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// How long a member's lease lasts.
    pub lease: Duration,
    /// How often a member renews it.
    pub renew_every: Duration,
    /// How far clocks may drift apart within one lease.
    pub drift_margin: Duration,
    /// How long one confirmation of a coordinator by witnesses is good for.
    pub confirmation: Duration,
    /// The same where the platform confirms.
    pub platform_confirmation: Duration,
    /// How long members wait for a silent coordinator before one takes the term.
    pub takeover_after: Duration,
    /// The longest time that a coordinator goes on without reaching the platform.
    pub platform_absence_max: Duration,
    /// A gap between ticks above this counts as a pause and drops the lease.
    pub pause_max: Duration,
    /// How long a busy slot's old owner may take to finish what is in flight.
    pub handover_max: Duration,
    /// Busiest member's load over the mean that is aimed at, for example 1.15.
    pub imbalance_target: f64,
    /// The largest share of all keys that rebalancing may move in a minute.
    pub churn_per_minute_max: f64,
    /// 0 spares churn above all, 1 spares unavailable time above all.
    pub availability_weight: f64,
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
            imbalance_target: 1.15,
            churn_per_minute_max: 0.10,
            availability_weight: 0.5,
            fence: FenceCheck::Unchecked,
            coordinator_lease: CoordinatorLease::Confirmation,
        }
    }
}
