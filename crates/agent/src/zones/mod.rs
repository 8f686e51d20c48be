//! Which availability zones are closed: an operator asks that nothing more be sent to their upstreams.
//!
//! Each agent follows this by itself, for it is the one way to its upstream: no other has to be heard for
//! the zone to be emptied, and an outage of the store or of a coordinator delays it by its own length.

#[cfg(test)]
mod tests;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use model::Zone;
use object_store::{Change, Follower, FollowerTimes, ObjectStore};
use settings::{ZONES_PREFIX, ZoneObject, zone_of_path};
use tokio::sync::watch;

/// Zones whose upstreams are to be given nothing.
pub type ClosedZones = Arc<BTreeSet<Zone>>;

/// The zones that are closed now, as far as is known.
pub type ClosedZonesSource = watch::Receiver<ClosedZones>;

/// Zones are closed a few times a year, so that most watches end without news: they are long. A closing has to
/// act within seconds, also when the store has just come back, so the pauses after failures are short.
const FOLLOWER_TIMES: FollowerTimes = FollowerTimes {
    watch_wait: Duration::from_secs(29),
    call_interval_min: Duration::from_millis(50),
    retry_delay_min: Duration::from_millis(100),
    retry_delay_max: Duration::from_millis(1_000),
};

/// What a change of the store says of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneChange {
    Closed(Zone),
    Open(Zone),
}

/// Follows for ever the objects below a prefix that close zones.
pub async fn follow_zones(
    store: Arc<dyn ObjectStore>,
    prefix: &str,
    read: impl Fn(&Change) -> Option<ZoneChange>,
    closed: watch::Sender<ClosedZones>,
) {
    let mut follower = Follower::new(store, prefix, FOLLOWER_TIMES).with_maybe_stale_first_list();
    loop {
        let changes = follower.next_with_retries("Which zones are closed").await;
        changes.iter().filter_map(&read).for_each(|it| take(it, &closed));
    }
}

fn take(news: ZoneChange, closed: &watch::Sender<ClosedZones>) {
    closed.send_if_modified(|known| match news {
        ZoneChange::Closed(zone) => Arc::make_mut(known).insert(zone),
        ZoneChange::Open(zone) => Arc::make_mut(known).remove(&zone),
    });
}

/// Follows the product's own objects, which `pomelohill zone` writes.
pub(crate) async fn follow_own_zones(
    store: Arc<dyn ObjectStore>,
    closed: watch::Sender<ClosedZones>,
) {
    follow_zones(store, ZONES_PREFIX, read_own, closed).await;
}

fn read_own(change: &Change) -> Option<ZoneChange> {
    let zone = zone_of_path(&change.path)?;
    let Some(body) = &change.body else { return Some(ZoneChange::Open(zone)) };
    match serde_json::from_slice(body) {
        Ok(ZoneObject { closed: true }) => Some(ZoneChange::Closed(zone)),
        Ok(ZoneObject { closed: false }) => Some(ZoneChange::Open(zone)),
        Err(error) => {
            log::error!(target: "zones", "{} is passed over: {error}.", change.path);
            None
        }
    }
}
