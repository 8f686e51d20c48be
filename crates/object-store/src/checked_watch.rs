//! Watches that detect a store that has fallen silent.

use std::time::Duration;

use model::ObjectVersion;
use tokio::time::sleep;

use crate::{Changes, ObjectStore, StoreError};

/// Path of an object that does not exist. The answer to a read of it shows that the store can be reached.
pub const PROBE_PATH: &str = "probes/none";

/// Time from the start of a watch to the check that the store still answers.
const CHECK_DELAY: Duration = Duration::from_millis(500);

/// Watches a prefix, see [`ObjectStore::watch`], and checks shortly afterwards that the store answers.
///
/// A store that falls silent as a watch arrives never answers it, although the connection lives on. Without the check, the
/// caller would take until the end of the watch to notice, long after the store answers again.
///
/// # Errors
///
/// Those of the watch and of the check. After a failed check, changes may have been missed.
pub async fn watch_with_check(
    store: &dyn ObjectStore,
    prefix: &str,
    after: ObjectVersion,
    wait: Duration,
) -> Result<Changes, StoreError> {
    let mut watch = store.watch(prefix, after, wait);
    let check = async {
        sleep(CHECK_DELAY).await;
        store.read_maybe_stale(PROBE_PATH).await
    };
    tokio::select! {
        changes = &mut watch => return changes,
        answer = check => drop(answer?),
    }
    watch.await
}
