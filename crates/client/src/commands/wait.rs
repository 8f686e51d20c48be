//! Waiting until a version is in force on all instances.

use std::time::Duration;

use model::{ConfigVersion, ObjectVersion, ServiceName};
use object_store::{Change, StoreError};
use settings::{GroupStatus, status_prefix};
use tokio::time::{Instant, timeout_at};

use crate::{
    args::ApplyArgs,
    failure::Failure,
    retry::{Store, decode},
    terminal::Terminal,
};

/// How far a version has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Reached {
    /// The status has not been looked at yet.
    Unseen,
    /// Nothing is known: no coordinator has written a status.
    NoStatus,
    NotAccepted,
    Partly {
        instances: u32,
        of: u32,
    },
    Everywhere {
        of: u32,
    },
    Refused {
        reasons: Vec<String>,
    },
}

/// Waits, unless the command line says not to.
pub(crate) async fn unless(
    args: &ApplyArgs,
    store: &Store,
    service: &ServiceName,
    version: ObjectVersion,
    terminal: &Terminal,
) -> Result<(), Failure> {
    if args.no_wait || args.dry_run {
        return Ok(());
    }
    let limit = Duration::from_secs(args.timeout_s);
    in_force(store, service, version, limit, terminal).await
}

async fn in_force(
    store: &Store,
    service: &ServiceName,
    version: ObjectVersion,
    limit: Duration,
    terminal: &Terminal,
) -> Result<(), Failure> {
    let started = Instant::now();
    let mut follower = store.follow(&status_prefix(service));
    let mut statuses = Vec::new();
    let mut state = Reached::Unseen;
    // The first look is taken whatever the limit.
    let mut news = Ok(follower.next().await);
    loop {
        match news {
            Ok(Ok(changes)) => merge(&mut statuses, changes)?,
            Ok(Err(error @ StoreError::Refused { .. })) => return Err(error.into()),
            Ok(Err(error)) => {
                terminal.progress(&format!("{service}: {error}"));
                news = timeout_at(started + limit, follower.next()).await;
                continue;
            }
            Err(_) => {
                let waited_s = limit.as_secs();
                return Err(Failure::NotInForce { version, waited_s, state: describe(&state) });
            }
        }
        let former = state;
        state = reached(statuses.iter().map(|it| &it.1), ConfigVersion(version.0));
        match &state {
            same if *same == former => {}
            Reached::Refused { reasons } => {
                return Err(Failure::Refused { version, reasons: reasons.clone() });
            }
            Reached::Everywhere { of } => {
                let waited_ms = started.elapsed().as_millis();
                terminal.line(&format!(
                    "{service}: version {version} is in force on {of} of {of} instances, seen \
                     after {waited_ms} ms."
                ));
                return Ok(());
            }
            other => {
                terminal.progress(&format!("{service}: version {version}: {}", describe(other)));
            }
        }
        news = timeout_at(started + limit, follower.next()).await;
    }
}

/// Takes what has changed into the statuses that are known.
pub(crate) fn merge(
    statuses: &mut Vec<(String, GroupStatus)>,
    changes: Vec<Change>,
) -> Result<(), Failure> {
    for change in changes {
        statuses.retain(|it| it.0 != change.path);
        if let Some(body) = change.body {
            let status = decode(&change.path, &body)?;
            statuses.push((change.path, status));
        }
    }
    Ok(())
}

/// How far a version has come, by the statuses of all groups.
pub(crate) fn reached<'a>(
    statuses: impl Iterator<Item = &'a GroupStatus>,
    version: ConfigVersion,
) -> Reached {
    let statuses: Vec<&GroupStatus> = statuses.collect();
    let refused = statuses.iter().filter_map(|it| it.refused.as_ref());
    if let Some(refused) = refused.clone().find(|it| it.version == version) {
        return Reached::Refused { reasons: refused.reasons.clone() };
    }
    if statuses.is_empty() {
        return Reached::NoStatus;
    }
    if statuses.iter().all(|it| it.accepted.is_none_or(|it| it < version)) {
        return Reached::NotAccepted;
    }
    let of = statuses.iter().map(|it| it.in_force.of).sum();
    let has_it = |it: &&&GroupStatus| it.accepted.is_some_and(|it| it >= version);
    let instances = statuses.iter().filter(has_it).map(|it| it.in_force.instances).sum();
    match of > 0 && instances == of {
        true => Reached::Everywhere { of },
        false => Reached::Partly { instances, of },
    }
}

fn describe(state: &Reached) -> String {
    match state {
        Reached::Unseen => "the status could not be read".to_owned(),
        Reached::NoStatus => "no coordinator has written a status".to_owned(),
        Reached::NotAccepted => "not accepted yet".to_owned(),
        Reached::Partly { instances, of } => format!("in force on {instances} of {of} instances"),
        Reached::Everywhere { of } => format!("in force on all {of} instances"),
        Reached::Refused { reasons } => format!("refused: {}", reasons.join(" ")),
    }
}
