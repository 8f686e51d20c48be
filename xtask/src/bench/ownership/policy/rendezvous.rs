//! Static rendezvous hashing: each key is placed on the available member that ranks first for it.

use super::{Policy, UnitId, View, Workload};
use model::key_hash;

pub(super) struct Rendezvous {
    /// Members from best to worst, for each key.
    ranks: Vec<Vec<usize>>,
}

impl Rendezvous {
    pub(super) fn new(workload: &Workload) -> Rendezvous {
        let rank = |key: u64| {
            let mut members: Vec<usize> = (0..workload.members.len()).collect();
            members.sort_by_key(|it| key_hash(format!("{key}/{it}").as_bytes()));
            members
        };
        Rendezvous { ranks: workload.keys.iter().map(|it| rank(it.0)).collect() }
    }
}

impl Policy for Rendezvous {
    fn name(&self) -> &'static str {
        "static rendezvous hashing"
    }

    fn unit(&self, _view: &View<'_>, key: usize) -> UnitId {
        UnitId(key as u64)
    }

    fn loss_write_s(&self) -> f64 {
        0.0
    }

    fn reassign_lost(&mut self, view: &View<'_>) -> Vec<Option<usize>> {
        self.plan(view)
    }

    fn plan(&mut self, view: &View<'_>) -> Vec<Option<usize>> {
        let is_available = |it: &usize| view.members[*it].weight > 0.0;
        self.ranks.iter().map(|ranks| ranks.iter().copied().find(is_available)).collect()
    }
}
