//! Waits until a version is in force on all instances.

use std::time::Duration;

use model::{ConfigVersion, ObjectVersion, ServiceName};
use object_store::{Change, StoreError};
use settings::{GroupStatus, status_prefix};
use tokio::time::{Instant, timeout_at};

use crate::{
    args::ApplyArgs,
    error::CommandError,
    retry::{RetryingStore, decode},
    terminal::Terminal,
};

/// Rollout progress of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The status has not been read yet.
    StatusUnread,
    /// No coordinator has written a status.
    NoStatus,
    NotAccepted,
    InForceOnSome {
        instances: u32,
        of: u32,
    },
    InForceOnAll {
        of: u32,
    },
    Refused {
        reasons: Vec<String>,
    },
}

/// Waits until the version is in force, unless `--no-wait` or `--dry-run` is given.
pub(crate) async fn wait_unless_disabled(
    args: &ApplyArgs,
    store: &RetryingStore,
    service: &ServiceName,
    version: ObjectVersion,
    terminal: &Terminal,
) -> Result<(), CommandError> {
    if args.no_wait || args.dry_run {
        return Ok(());
    }
    let wait_max = Duration::from_secs(args.timeout_s);
    wait_until_in_force(store, service, version, wait_max, terminal).await
}

async fn wait_until_in_force(
    store: &RetryingStore,
    service: &ServiceName,
    version: ObjectVersion,
    wait_max: Duration,
    terminal: &Terminal,
) -> Result<(), CommandError> {
    let started = Instant::now();
    let mut follower = store.follow(&status_prefix(service));
    let mut statuses = Vec::new();
    let mut state = Progress::StatusUnread;
    // The first read is not subject to the time limit, so that `--timeout-s 0` reports the current state.
    let mut update = Ok(follower.next().await);
    loop {
        match update {
            Ok(Ok(changes)) => apply_changes(&mut statuses, changes)?,
            Ok(Err(error @ StoreError::Refused { .. })) => return Err(error.into()),
            Ok(Err(error)) => {
                terminal.print_progress(&format!("{service}: {error}"));
                update = timeout_at(started + wait_max, follower.next()).await;
                continue;
            }
            Err(_) => {
                let waited_s = wait_max.as_secs();
                return Err(CommandError::NotInForce {
                    version,
                    waited_s,
                    state: describe(&state),
                });
            }
        }
        let previous = state;
        state = progress_of(statuses.iter().map(|it| &it.1), ConfigVersion(version.0));
        match &state {
            same if *same == previous => {}
            Progress::Refused { reasons } => {
                return Err(CommandError::Refused { version, reasons: reasons.clone() });
            }
            Progress::InForceOnAll { of } => {
                let waited_ms = started.elapsed().as_millis();
                terminal.print_line(&format!(
                    "{service}: version {version} is in force on {of} of {of} instances after \
                     {waited_ms} ms."
                ));
                return Ok(());
            }
            other => {
                terminal
                    .print_progress(&format!("{service}: version {version}: {}", describe(other)));
            }
        }
        update = timeout_at(started + wait_max, follower.next()).await;
    }
}

/// Applies changes of status objects to the list of statuses by path.
pub(crate) fn apply_changes(
    statuses: &mut Vec<(String, GroupStatus)>,
    changes: Vec<Change>,
) -> Result<(), CommandError> {
    for change in changes {
        statuses.retain(|it| it.0 != change.path);
        if let Some(body) = change.body {
            let status = decode(&change.path, &body)?;
            statuses.push((change.path, status));
        }
    }
    Ok(())
}

/// Returns the progress of a version from the statuses of all groups.
pub(crate) fn progress_of<'a>(
    statuses: impl Iterator<Item = &'a GroupStatus>,
    version: ConfigVersion,
) -> Progress {
    let statuses: Vec<&GroupStatus> = statuses.collect();
    let refused = statuses.iter().filter_map(|it| it.refused.as_ref());
    if let Some(refused) = refused.clone().find(|it| it.version == version) {
        return Progress::Refused { reasons: refused.reasons.clone() };
    }
    if statuses.is_empty() {
        return Progress::NoStatus;
    }
    if statuses.iter().all(|it| it.accepted.is_none_or(|it| it < version)) {
        return Progress::NotAccepted;
    }
    let of = statuses.iter().map(|it| it.in_force.of).sum();
    let has_accepted = |it: &&&GroupStatus| it.accepted.is_some_and(|it| it >= version);
    let instances = statuses.iter().filter(has_accepted).map(|it| it.in_force.instances).sum();
    match of > 0 && instances == of {
        true => Progress::InForceOnAll { of },
        false => Progress::InForceOnSome { instances, of },
    }
}

fn describe(state: &Progress) -> String {
    match state {
        Progress::StatusUnread => "status could not be read".to_owned(),
        Progress::NoStatus => "no coordinator has written a status".to_owned(),
        Progress::NotAccepted => "not accepted by any coordinator yet".to_owned(),
        Progress::InForceOnSome { instances, of } => {
            format!("in force on {instances} of {of} instances")
        }
        Progress::InForceOnAll { of } => format!("in force on all {of} instances"),
        Progress::Refused { reasons } => format!("refused: {}", reasons.join(" ")),
    }
}
