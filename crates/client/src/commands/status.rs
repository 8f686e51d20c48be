//! `status`: shows the accepted version, slot owners and load of services.

use serde::Serialize;
use settings::{GroupStatus, UpstreamStateName, status_prefix};

use crate::{
    args::StatusArgs,
    commands::{parse_service_name, wait::apply_changes},
    error::CommandError,
    retry::RetryingStore,
    table::{Table, format_age, now_unix_ms},
    terminal::Terminal,
};

/// Number of moves shown in the table; `--json` prints all moves of the status.
const MOVES_SHOWN_MAX: usize = 10;

const STATUS_PREFIX: &str = "status/";

/// The output of `--json`.
#[derive(Serialize)]
struct Report<'a> {
    groups: Vec<&'a GroupStatus>,
}

pub(crate) async fn run(
    store: &RetryingStore,
    args: &StatusArgs,
    terminal: &Terminal,
) -> Result<(), CommandError> {
    let prefix = match &args.service {
        Some(service) => status_prefix(&parse_service_name(service)?),
        None => STATUS_PREFIX.to_owned(),
    };
    let mut statuses = Vec::new();
    apply_changes(&mut statuses, store.list(&prefix).await?.changes)?;
    statuses.sort_by(|a, b| a.0.cmp(&b.0));
    let groups: Vec<&GroupStatus> = statuses.iter().map(|it| &it.1).collect();
    match &args.service {
        Some(service) if groups.is_empty() => {
            let message = format!("no coordinator has written a status for service {service}");
            return Err(CommandError::NotFound(message));
        }
        _ if args.json => {
            let report = serde_json::to_string(&Report { groups }).unwrap_or_default();
            terminal.print_line(&report);
        }
        Some(_) => {
            terminal.print_line(&overview_table(&groups));
            groups.iter().for_each(|it| terminal.print_line(&format_details(it)));
        }
        None => terminal.print_line(&overview_table(&groups)),
    }
    Ok(())
}

fn overview_table(groups: &[&GroupStatus]) -> String {
    let mut table = Table::new(&[
        "SERVICE",
        "GROUP",
        "ACCEPTED",
        "IN FORCE",
        "COORDINATOR",
        "IMBALANCE",
        "CHURN/MIN",
        "UNAVAILABLE",
        "WRITTEN",
    ]);
    let now = now_unix_ms();
    for status in groups {
        let coordinator = &status.coordinator;
        table.add_row(&[
            status.service.to_string(),
            status.group.to_string(),
            format_accepted(status),
            format_in_force(status),
            format!("{} (term {})", coordinator.instance, coordinator.term),
            format!("{:.2}", status.measures.imbalance),
            format!("{:.1} %", status.measures.churn_per_minute * 100.0),
            format!("{} ms", status.measures.unavailable_ms_max),
            format_age(status.written_at_unix_ms, now),
        ]);
    }
    table.render()
}

fn format_accepted(status: &GroupStatus) -> String {
    status.accepted.map_or("none".to_owned(), |it| it.to_string())
}

fn format_in_force(status: &GroupStatus) -> String {
    let it = status.in_force;
    match it.since_unix_ms {
        Some(since) => {
            format!("{} of {}, {}", it.instances, it.of, format_age(since, now_unix_ms()))
        }
        None => format!("{} of {}", it.instances, it.of),
    }
}

fn format_details(status: &GroupStatus) -> String {
    let coordinator = &status.coordinator;
    let settled = if coordinator.settled { "settled" } else { "not settled" };
    let mut parts = vec![format!(
        "\ngroup {}: coordinator {} ({}), term {}, {settled}",
        status.group, coordinator.instance, coordinator.zone, coordinator.term
    )];
    if let Some(refused) = &status.refused {
        parts.push(format!("\nversion {} was refused:", refused.version));
        parts.extend(refused.reasons.iter().map(|it| format!("  {it}")));
    }
    parts.push(format!("\n{}", instances_table(status)));
    if !status.hot_keys.is_empty() {
        parts.push(format!("\n{}", hot_keys_table(status)));
    }
    if !status.moves.is_empty() {
        parts.push(format!("\n{}", moves_table(status)));
    }
    parts.join("\n")
}

fn instances_table(status: &GroupStatus) -> String {
    let mut columns = vec!["INSTANCE", "ZONE", "UPSTREAM", "SLOTS", "LOAD", "VERSION"];
    let is_weighed = status.owners.iter().any(|it| it.capacity.is_some());
    if is_weighed {
        columns.extend(["SPEED", "WEIGHT"]);
    }
    let mut table = Table::new(&columns);
    for upstream in &status.upstreams {
        let owner = status.owners.iter().find(|it| it.instance == upstream.instance);
        let mut row = vec![
            upstream.instance.to_string(),
            upstream.zone.to_string(),
            state_name(upstream.state).to_owned(),
            owner.map_or("-".to_owned(), |it| it.slots.to_string()),
            owner.map_or("-".to_owned(), |it| format_load(it.load_us_per_s)),
            owner.map_or("-".to_owned(), |it| it.config.to_string()),
        ];
        if is_weighed {
            let capacity = owner.and_then(|it| it.capacity);
            row.push(format_share(capacity.map(|it| it.speed_percent)));
            row.push(format_share(capacity.map(|it| it.weight_percent)));
        }
        table.add_row(&row);
    }
    table.render()
}

fn hot_keys_table(status: &GroupStatus) -> String {
    let mut table = Table::new(&["HOT KEY", "OWNER"]);
    for key in &status.hot_keys {
        let owner = key.owner.as_ref();
        table.add_row(&[
            format!("{:016x}", key.key_hash.0),
            owner.map_or("owner of its slot".to_owned(), |it| it.to_string()),
        ]);
    }
    table.render()
}

fn moves_table(status: &GroupStatus) -> String {
    let mut table = Table::new(&["MOVED", "SLOT", "TO", "TOKEN", "WHY"]);
    let now = now_unix_ms();
    for it in status.moves.iter().take(MOVES_SHOWN_MAX) {
        table.add_row(&[
            format_age(it.at_unix_ms, now),
            it.slot.to_string(),
            it.to.to_string(),
            it.token.to_string(),
            it.reason.clone(),
        ]);
    }
    table.render()
}

/// Formats a share in percent relative to 1.
fn format_share(percent: Option<u32>) -> String {
    percent.map_or("-".to_owned(), |it| format!("{:.2}", f64::from(it) / 100.0))
}

/// Formats a load as the mean number of busy upstream slots: 1,000,000 µs per second is one slot.
fn format_load(us_per_s: u64) -> String {
    format!("{:.2}", us_per_s as f64 / 1e6)
}

fn state_name(state: UpstreamStateName) -> &'static str {
    match state {
        UpstreamStateName::Starting => "starting",
        UpstreamStateName::Ready => "ready",
        UpstreamStateName::Draining => "draining",
        UpstreamStateName::Lost => "lost",
    }
}
