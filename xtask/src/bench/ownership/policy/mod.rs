//! The policies that are compared.

mod bounded;
mod eager;
mod planned;
mod rendezvous;

use super::{view::View, workload::Workload};

/// Keys that change their owner as a whole, by a number of the policy's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct UnitId(pub(super) u64);

/// Places keys on members.
pub(super) trait Policy {
    fn name(&self) -> &'static str;

    /// The unit in which a key moves.
    fn unit(&self, view: &View<'_>, key: usize) -> UnitId;

    /// What it takes to give a lost member's keys to others once its lease has lapsed, in
    /// seconds: a write to the platform, unless that is planned ahead.
    fn loss_write_s(&self) -> f64;

    /// New owners for the keys of members that were lost.
    fn reassign_lost(&mut self, view: &View<'_>) -> Vec<Option<usize>>;

    /// The owners from now on; called once a second.
    fn plan(&mut self, view: &View<'_>) -> Vec<Option<usize>>;

    /// Entries for single keys.
    fn entries(&self) -> usize {
        0
    }

    /// Writes of the plan to the platform.
    fn plans_written(&self) -> u32 {
        0
    }
}

/// How many of the policies, after the first, are baselines.
pub(super) const BASELINES: usize = 3;
/// A conditional update of the platform, on which a policy without successors waits.
const PLATFORM_WRITE_S: f64 = 0.01;

/// The product's own policy as it is set by default, the baselines, then the own policy at both
/// ends of its weight.
pub(super) fn all(workload: &Workload) -> Vec<Box<dyn Policy>> {
    vec![
        Box::new(planned::Planned::new(workload, "pomelohill", 0.5)),
        Box::new(rendezvous::Rendezvous::new(workload)),
        Box::new(bounded::BoundedLoad::new(workload)),
        Box::new(eager::Eager::new(workload)),
        Box::new(planned::Planned::new(workload, "pomelohill, sparing churn", 0.0)),
        Box::new(planned::Planned::new(workload, "pomelohill, sparing time", 1.0)),
    ]
}
