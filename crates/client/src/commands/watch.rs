//! `watch`: prints one line for each status that a coordinator writes.

use object_store::StoreError;
use settings::{GroupStatus, status_prefix};

use crate::{
    args::WatchArgs,
    commands::parse_service_name,
    error::CommandError,
    retry::{RetryingStore, decode},
    terminal::Terminal,
};

pub(crate) async fn run(
    store: &RetryingStore,
    args: &WatchArgs,
    terminal: &Terminal,
) -> Result<(), CommandError> {
    let service = parse_service_name(&args.service)?;
    let mut follower = store.follow(&status_prefix(&service));
    let mut lines_left = args.count.unwrap_or(u64::MAX);
    while lines_left > 0 {
        let changes = match follower.next().await {
            Ok(changes) => changes,
            Err(error @ StoreError::Refused { .. }) => return Err(error.into()),
            Err(error) => {
                terminal.print_progress(&error.to_string());
                continue;
            }
        };
        for change in changes.into_iter().take(usize::try_from(lines_left).unwrap_or(usize::MAX)) {
            let Some(body) = change.body else { continue };
            terminal.print_line(&format_status(&decode(&change.path, &body)?));
            lines_left -= 1;
        }
    }
    Ok(())
}

fn format_status(status: &GroupStatus) -> String {
    let GroupStatus { service, group, in_force, coordinator, measures, .. } = status;
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
