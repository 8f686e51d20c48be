//! Runs (executions of requests) that may continue at an upstream after their grant has ended.
//!
//! After a release of its keys an upstream may still run requests of an earlier incarnation of its
//! agent, or of an earlier session, whose callers no longer wait for a reply. It ends them when the
//! lease ends under which they began.

use model::{Instance, Timestamp};

use crate::{
    ctx::is_same_agent,
    rules::{self, Rule},
};

/// Runs of one slot or hot key at the upstream beside one incarnation of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
struct InstanceRuns {
    instance: Instance,
    /// When the last of them has ended; `None` if that is known only once the leases of earlier
    /// terms have ended.
    until: Option<Timestamp>,
    /// Whether they began under a grant of an earlier term, so that they end with its leases at the
    /// latest.
    is_of_earlier_term: bool,
}

/// Instances at whose upstreams runs of one slot or hot key may continue after their grants have
/// ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct EarlierRuns(Vec<InstanceRuns>);

impl EarlierRuns {
    /// Creates the runs of earlier terms at the given instances. Each continues until `end` at most
    /// or, where that is `None`, until the leases of earlier terms have ended.
    pub(crate) fn of_earlier_terms<'a>(
        instances: impl IntoIterator<Item = &'a Instance>,
        end: impl Fn(&Instance) -> Option<Timestamp>,
    ) -> EarlierRuns {
        let run = |instance: &Instance| InstanceRuns {
            instance: instance.clone(),
            until: end(instance),
            is_of_earlier_term: true,
        };
        EarlierRuns(instances.into_iter().map(run).collect())
    }

    /// Adds runs that may continue until `until`, and removes those that have ended.
    pub(crate) fn add(&mut self, now: Timestamp, instance: &Instance, until: Timestamp) {
        let has_ended = |it: Timestamp| it <= now;
        self.0.retain(|it| !it.until.is_some_and(has_ended));
        if !has_ended(until) {
            self.0.push(InstanceRuns {
                instance: instance.clone(),
                until: Some(until),
                is_of_earlier_term: false,
            });
        }
    }

    /// Adds the runs of `other` that are missing here.
    pub(crate) fn add_all(&mut self, other: &EarlierRuns) {
        let missing = other.0.iter().filter(|it| !self.0.contains(it)).cloned();
        let missing: Vec<InstanceRuns> = missing.collect();
        self.0.extend(missing);
    }

    /// Removes the runs of earlier terms, whose leases have ended.
    pub(crate) fn end_runs_of_earlier_terms(&mut self) {
        self.0.retain(|it| !it.is_of_earlier_term);
    }

    /// Returns the instances at whose upstreams runs may still continue.
    pub(crate) fn instances(&self, now: Timestamp) -> impl Iterator<Item = &Instance> {
        let may_continue = move |it: &&InstanceRuns| it.until.is_none_or(|until| now < until);
        self.0.iter().filter(may_continue).map(|it| &it.instance)
    }

    /// Returns whether runs may still continue at any upstream.
    pub(crate) fn any(&self, now: Timestamp) -> bool {
        self.instances(now).next().is_some() && is_wait_required()
    }

    /// Returns whether runs may still continue at another upstream than the one beside `instance`.
    pub(crate) fn any_elsewhere(&self, now: Timestamp, instance: &Instance) -> bool {
        self.instances(now).any(|it| !is_same_agent(it, instance)) && is_wait_required()
    }
}

/// Returns whether grants have to wait for earlier runs, which only tests can disable.
fn is_wait_required() -> bool {
    rules::is_enforced(Rule::WaitForEarlierRequests)
        && rules::is_enforced(Rule::ClearEarlierIncarnations)
}
