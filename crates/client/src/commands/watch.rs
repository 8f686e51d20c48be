//! `watch`: one line for each status that a coordinator writes.

use std::time::Duration;

use model::ObjectVersion;
use platform::PlatformError;
use settings::{Status, status_prefix};
use tokio::time::sleep;

use crate::{
    args::WatchArgs,
    commands::service_name,
    failure::Failure,
    retry::{Store, decode},
    terminal::Terminal,
};

/// One waiting call to the platform; it counts as one however long it waits.
const WAIT: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_secs(1);

pub(crate) async fn run(
    store: &Store,
    args: &WatchArgs,
    terminal: &Terminal,
) -> Result<(), Failure> {
    let service = service_name(&args.service)?;
    let prefix = status_prefix(&service);
    let mut revision = ObjectVersion(0);
    let mut lines_left = args.count;
    while lines_left != Some(0) {
        let changes = match store.watch(&prefix, revision, WAIT).await {
            Ok(changes) => changes,
            Err(error @ PlatformError::Refused { .. }) => return Err(error.into()),
            Err(error) => {
                terminal.progress(&error.to_string());
                sleep(PAUSE).await;
                continue;
            }
        };
        revision = changes.revision.max(revision);
        for change in changes.changes {
            let Some(body) = change.body else { continue };
            if lines_left == Some(0) {
                return Ok(());
            }
            terminal.line(&line(&decode::<Status>(&change.path, &body)?));
            lines_left = lines_left.map(|it| it - 1);
        }
    }
    Ok(())
}

fn line(status: &Status) -> String {
    let Status { service, group, in_force, coordinator, measures, .. } = status;
    let accepted = status.accepted.map_or("none".to_owned(), |it| it.to_string());
    let refused = status.refused.as_ref();
    let refused = refused.map_or(String::new(), |it| format!(", refused {}", it.version));
    format!(
        "{service}/{group}: accepted {accepted} on {} of {}{refused}, coordinator {} term {}, \
         imbalance {:.2}, churn {:.1} %/min, unavailable {} ms",
        in_force.instances,
        in_force.of,
        coordinator.instance,
        coordinator.term,
        measures.imbalance,
        measures.churn_per_minute * 100.0,
        measures.unavailable_ms_max,
    )
}
