//! `zone`: lists closed availability zones; closes and opens zones.

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
            return Err(CommandError::Usage("--close and --open exclude each other".to_owned()));
        }
        (false, false) => None,
        (close, _) => Some(close),
    };
    match (&args.zone, closed) {
        (Some(zone), Some(closed)) => {
            set_closed(store, &parse_zone_name(zone)?, closed, terminal).await
        }
        (None, Some(_)) => Err(CommandError::Usage("no zone is given".to_owned())),
        (zone, None) => {
            let zone = zone.as_deref().map(parse_zone_name).transpose()?;
            show_zones(store, zone.as_ref(), terminal).await
        }
    }
}

fn parse_zone_name(text: &str) -> Result<Zone, CommandError> {
    Zone::new(text)
        .map_err(|error| CommandError::Usage(format!("invalid zone name {text:?}: {error}")))
}

/// Prints whether a zone is closed, or all closed zones. A zone without an object is open.
async fn show_zones(
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

async fn set_closed(
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
        terminal.print_line(&format!("{zone} is {state} already; nothing was written."));
        return Ok(());
    }
    let expected = current.map_or(ObjectVersion(0), |it| it.version);
    let body = serde_json::to_vec(&ZoneObject { closed }).unwrap_or_default();
    match store.update(&path, expected, &Bytes::from(body)).await? {
        UpdateResult::Written(_) => {
            terminal.print_line(&format!("{zone} is {state}."));
            Ok(())
        }
        UpdateResult::Conflict => Err(CommandError::Conflict(format!(
            "another writer changed zone {zone}; nothing was written"
        ))),
    }
}
