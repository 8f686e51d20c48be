//! Retires idle links, so that the number of links follows the peers that a process exchanges requests with and not
//! the size of the deployment.

use std::{sync::Weak, time::Duration};

use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::links::traffic::Shared;

/// Interval between two searches for idle links.
const SEARCH_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which an unused link is retired, unless there are few links.
const IDLE_MAX: Duration = Duration::from_secs(15);
/// Number of links that are kept although they are idle, since so few cost little.
pub(super) const IDLE_LINKS_KEPT: usize = 64;
/// Largest number of links; beyond it the longest idle ones are retired at once.
const LINKS_MAX: usize = 512;

/// Retires idle links until the links of the process are dropped.
pub(super) async fn retire_idle_links(shared: Weak<Shared>) {
    let mut searches = interval(SEARCH_INTERVAL);
    searches.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        searches.tick().await;
        let Some(shared) = shared.upgrade() else { return };
        let links = shared.links().clone();
        let idle_since: Vec<Option<Instant>> = links.iter().map(|it| it.idle_since()).collect();
        for index in surplus(Instant::now(), &idle_since) {
            links[index].retire_if_idle();
        }
    }
}

/// Returns the indexes of the links to retire. `idle_since` has an entry for each link, `None` if it is in use.
pub(super) fn surplus(now: Instant, idle_since: &[Option<Instant>]) -> Vec<usize> {
    let idle = idle_since.iter().enumerate().filter_map(|(index, since)| Some(((*since)?, index)));
    let mut idle: Vec<(Instant, usize)> = idle.collect();
    idle.sort_unstable();
    let total = idle_since.len();
    let is_surplus = |(retired, (since, _)): &(usize, &(Instant, usize))| {
        let kept = total - retired;
        kept > LINKS_MAX || kept > IDLE_LINKS_KEPT && now - *since >= IDLE_MAX
    };
    idle.iter().enumerate().take_while(is_surplus).map(|(_, (_, index))| *index).collect()
}
