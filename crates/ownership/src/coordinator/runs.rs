//! Runs that may go on at an upstream although the grant under which they began has ended.
//!
//! An upstream that has released its keys may still work for callers that nobody waits for: those of an
//! earlier life of its agent, or of an earlier session. It ends them when the lease under which they began
//! runs out.

use model::{Instance, Timestamp};

use crate::{
    ctx::is_same_agent,
    rules::{self, Rule},
};

/// Runs of one slot or hot key at the upstream beside one life of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
struct InstanceRuns {
    instance: Instance,
    /// None: not before the leases of earlier terms have run out.
    until: Option<Timestamp>,
    /// An earlier term has granted what they began under, so they end with its leases at the latest.
    of_earlier_term: bool,
}

/// Where runs of one slot or hot key may go on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct EarlierRuns(Vec<InstanceRuns>);

impl EarlierRuns {
    /// Runs that may go on until `end` says, or else until the leases of earlier terms have run out.
    pub(crate) fn of_earlier_terms<'a>(
        lives: impl IntoIterator<Item = &'a Instance>,
        end: impl Fn(&Instance) -> Option<Timestamp>,
    ) -> EarlierRuns {
        let run = |instance: &Instance| InstanceRuns {
            instance: instance.clone(),
            until: end(instance),
            of_earlier_term: true,
        };
        EarlierRuns(lives.into_iter().map(run).collect())
    }

    pub(crate) fn add(&mut self, now: Timestamp, instance: &Instance, until: Timestamp) {
        let is_over = |it: Timestamp| it <= now;
        self.0.retain(|it| !it.until.is_some_and(is_over));
        if !is_over(until) {
            self.0.push(InstanceRuns {
                instance: instance.clone(),
                until: Some(until),
                of_earlier_term: false,
            });
        }
    }

    pub(crate) fn add_all(&mut self, other: &EarlierRuns) {
        let new = other.0.iter().filter(|it| !self.0.contains(it)).cloned();
        let new: Vec<InstanceRuns> = new.collect();
        self.0.extend(new);
    }

    /// The leases of earlier terms have run out.
    pub(crate) fn end_runs_of_earlier_terms(&mut self) {
        self.0.retain(|it| !it.of_earlier_term);
    }

    /// The lives at whose upstreams runs may go on.
    pub(crate) fn instances(&self, now: Timestamp) -> impl Iterator<Item = &Instance> {
        let goes_on = move |it: &&InstanceRuns| it.until.is_none_or(|until| now < until);
        self.0.iter().filter(goes_on).map(|it| &it.instance)
    }

    pub(crate) fn any(&self, now: Timestamp) -> bool {
        self.instances(now).next().is_some() && is_wait_required()
    }

    /// Whether some may go on at another upstream than the one beside this instance.
    pub(crate) fn any_elsewhere(&self, now: Timestamp, than: &Instance) -> bool {
        self.instances(now).any(|it| !is_same_agent(it, than)) && is_wait_required()
    }
}

fn is_wait_required() -> bool {
    rules::is_enforced(Rule::WaitForEarlierRequests)
        && rules::is_enforced(Rule::ClearEarlierIncarnations)
}
