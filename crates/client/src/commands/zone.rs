//! `zone`: which availability zones are closed; closes and opens them.

use bytes::Bytes;
use model::{ObjectVersion, Zone};
use settings::{ZONES_PREFIX, ZoneObject, zone_of_path, zone_path};

use crate::{
    args::ZoneArgs,
    error::CommandError,
    retry::{RetryingStore, UpdateResult, decode},
    terminal::Terminal,
};

pub(crate) async fn run(
    store: &RetryingStore,
    args: &ZoneArgs,
    terminal: &Terminal,
) -> Result<(), CommandError> {
    let closed = match (args.close, args.open) {
        (true, true) => {
            return Err(CommandError::Usage("close it or open it, not both".to_owned()));
        }
        (false, false) => None,
        (close, _) => Some(close),
    };
    match (&args.zone, closed) {
        (Some(zone), Some(closed)) => set(store, &zone_name(zone)?, closed, terminal).await,
        (None, Some(_)) => Err(CommandError::Usage("name the zone".to_owned())),
        (zone, None) => {
            let zone = zone.as_deref().map(zone_name).transpose()?;
            show(store, zone.as_ref(), terminal).await
        }
    }
}

fn zone_name(text: &str) -> Result<Zone, CommandError> {
    Zone::new(text)
        .map_err(|error| CommandError::Usage(format!("{text:?} is no name of a zone: {error}")))
}

/// Zones that were never closed have no object.
async fn show(
    store: &RetryingStore,
    zone: Option<&Zone>,
    terminal: &Terminal,
) -> Result<(), CommandError> {
    let mut closed = Vec::new();
    for change in store.list(ZONES_PREFIX).await?.changes {
        let (Some(zone), Some(body)) = (zone_of_path(&change.path), change.body) else { continue };
        let object: ZoneObject = decode(&change.path, &body)?;
        if object.closed {
            closed.push(zone);
        }
    }
    match zone {
        Some(zone) if closed.contains(zone) => terminal.print_line(&format!("{zone} is closed.")),
        Some(zone) => terminal.print_line(&format!("{zone} is open.")),
        None if closed.is_empty() => terminal.print_line("No zone is closed."),
        None => closed.iter().for_each(|it| terminal.print_line(&format!("{it} is closed."))),
    }
    Ok(())
}

async fn set(
    store: &RetryingStore,
    zone: &Zone,
    closed: bool,
    terminal: &Terminal,
) -> Result<(), CommandError> {
    let path = zone_path(zone);
    let current = store.read(&path).await?;
    let state = if closed { "closed" } else { "open" };
    let known = current.as_ref().map(|it| decode::<ZoneObject>(&path, &it.body)).transpose()?;
    if known.is_some_and(|it| it.closed) == closed {
        terminal.print_line(&format!("{zone} is {state} already, nothing is written."));
        return Ok(());
    }
    let expected = current.map_or(ObjectVersion(0), |it| it.version);
    let body = serde_json::to_vec(&ZoneObject { closed }).unwrap_or_default();
    match store.update(&path, expected, &Bytes::from(body)).await? {
        UpdateResult::Written(_) => {
            terminal.print_line(&format!("{zone} is {state}."));
            Ok(())
        }
        UpdateResult::Conflict => {
            Err(CommandError::Conflict(format!("somebody else has just changed zone {zone}")))
        }
    }
}
