//! Conditions that upstreams have stated in replies to this agent.
//!
//! The gate beside an upstream enforces them, but forgets them when its agent restarts. So each agent keeps what it has
//! passed on to its callers, and sends it along with its next requests to the same instance.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use model::{InstanceName, Timestamp};
use wire::traffic::{GateLoad, KnownCondition, UpstreamCondition};

use crate::request::whole_us;

/// Time for which a condition is kept after it was last stated.
const RETENTION: Duration = Duration::from_secs(120);

/// The conditions by instance. An instance keeps its name when its agent restarts.
#[derive(Debug, Default)]
pub(crate) struct KnownConditions(Mutex<HashMap<InstanceName, Known>>);

#[derive(Debug, Clone, Copy)]
struct Known {
    condition: UpstreamCondition,
    stated_at: Timestamp,
}

impl KnownConditions {
    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceName, Known>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the condition of an instance's upstream. `None` if it has stated none, or not for a long time.
    pub(crate) fn get(&self, now: Timestamp, instance: &InstanceName) -> Option<KnownCondition> {
        let known = self.lock().get(instance).copied()?;
        let age = now.since(known.stated_at);
        (age <= RETENTION)
            .then(|| KnownCondition { condition: known.condition, age_us: whole_us(age) })
    }

    /// Records the condition in a reply to a request that was sent at `sent_at`. A reply without one ends the
    /// condition, unless the request was sent before the condition was stated.
    pub(crate) fn record(
        &self,
        now: Timestamp,
        instance: &InstanceName,
        sent_at: Timestamp,
        load: &GateLoad,
    ) {
        let mut conditions = self.lock();
        match load.condition {
            Some(condition) => {
                conditions.retain(|_, it| now.since(it.stated_at) <= RETENTION);
                conditions.insert(instance.clone(), Known { condition, stated_at: now });
            }
            None if conditions.get(instance).is_some_and(|it| sent_at > it.stated_at) => {
                conditions.remove(instance);
            }
            None => {}
        }
    }
}
