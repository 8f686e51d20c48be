//! Placement policies that are compared.

mod bounded;
mod eager;
mod planned;
mod rendezvous;

use super::{view::View, workload::Workload};

/// Number, chosen by the policy, of a unit of keys that move together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct UnitId(pub(super) u64);

/// Policy that places keys on members.
pub(super) trait Policy {
    fn name(&self) -> &'static str;

    /// Returns the unit in which a key moves.
    fn unit(&self, view: &View<'_>, key: usize) -> UnitId;

    /// Returns the seconds from the end of a lost member's lease until its keys have new owners: the
    /// time of a write to the platform, or 0 if successors are planned in advance.
    fn loss_write_s(&self) -> f64;

    /// Returns the owners of all keys after the loss of members.
    fn reassign_lost(&mut self, view: &View<'_>) -> Vec<Option<usize>>;

    /// Returns the owners of all keys for the next second; called once a second.
    fn plan(&mut self, view: &View<'_>) -> Vec<Option<usize>>;

    /// Returns the number of entries for single keys.
    fn entries(&self) -> usize {
        0
    }

    /// Returns the number of plans written to the platform.
    fn plans_written(&self) -> u32 {
        0
    }
}

/// Number of policies after the first that are baselines.
pub(super) const BASELINES: usize = 3;
/// Time of a conditional update at the platform, for which policies without successors wait.
const PLATFORM_WRITE_S: f64 = 0.01;

/// Returns the policy under test with its default weight, the baselines, and the policy under test
/// with the lowest and the highest weight.
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
