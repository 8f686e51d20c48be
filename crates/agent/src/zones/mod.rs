//! Follows the availability zones that an operator has closed, which means that no new requests may go to
//! their upstreams.
//!
//! Each agent reads this from the store itself and guards the only way to its upstream. So emptying a zone
//! needs no other agent, and an outage of the store or of a coordinator delays it by no more than the outage
//! lasts.

#[cfg(test)]
mod tests;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use model::Zone;
use object_store::{Change, Follower, FollowerTimes, ObjectStore};
use settings::{ZONES_PREFIX, ZoneObject, zone_of_path};
use tokio::sync::watch;

/// Zones whose upstreams must get no new requests.
pub type ClosedZones = Arc<BTreeSet<Zone>>;

/// A receiver of the zones that are closed according to the last read; `None` until the first one.
pub type ClosedZonesSource = watch::Receiver<Option<ClosedZones>>;

/// Zones are closed a few times a year, so most watches end without a change, and they are as long as the
/// history of the store allows without a list after each. A closed zone must take effect within seconds even after an outage of the store, so the pauses after failures are short.
const FOLLOWER_TIMES: FollowerTimes = FollowerTimes {
    watch_wait: Duration::from_secs(18),
    call_interval_min: Duration::from_millis(50),
    retry_delay_min: Duration::from_millis(100),
    retry_delay_max: Duration::from_millis(1_000),
};

/// A zone that a change in the store closes or opens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneChange {
    Closed(Zone),
    Open(Zone),
}

/// Follows the objects below a prefix that close zones, and publishes the closed zones. Never returns.
pub async fn follow_zones(
    store: Arc<dyn ObjectStore>,
    prefix: &str,
    read: impl Fn(&Change) -> Option<ZoneChange>,
    closed: watch::Sender<Option<ClosedZones>>,
) {
    // The first list is not stale: an earlier process may have acted on a zone that it would show as open.
    let mut follower = Follower::new(store, prefix, FOLLOWER_TIMES);
    loop {
        let changes = follower.next_with_retries("The list of closed zones").await;
        let changes: Vec<ZoneChange> = changes.iter().filter_map(&read).collect();
        closed.send_if_modified(|known| {
            let is_first = known.is_none();
            let zones = Arc::make_mut(known.get_or_insert_default());
            let applied = changes.into_iter().filter(|it| apply(it, zones)).count();
            is_first || applied > 0
        });
    }
}

/// Returns whether the zones have changed.
fn apply(change: &ZoneChange, closed: &mut BTreeSet<Zone>) -> bool {
    match change {
        ZoneChange::Closed(zone) => closed.insert(zone.clone()),
        ZoneChange::Open(zone) => closed.remove(zone),
    }
}

/// Follows the zone objects that `pomelohill zone` writes. Never returns.
pub(crate) async fn follow_stored_zones(
    store: Arc<dyn ObjectStore>,
    closed: watch::Sender<Option<ClosedZones>>,
) {
    follow_zones(store, ZONES_PREFIX, read_zone_change, closed).await;
}

fn read_zone_change(change: &Change) -> Option<ZoneChange> {
    let zone = zone_of_path(&change.path)?;
    let Some(body) = &change.body else { return Some(ZoneChange::Open(zone)) };
    match serde_json::from_slice(body) {
        Ok(ZoneObject { closed: true }) => Some(ZoneChange::Closed(zone)),
        Ok(ZoneObject { closed: false }) => Some(ZoneChange::Open(zone)),
        Err(error) => {
            log::error!(target: "zones", "Ignoring the invalid zone object {}: {error}.", change.path);
            None
        }
    }
}
