//! `explain`: shows the owner and successors of a key and the reason for the last move.

use model::{Instance, KeyHash, ServiceName, Slot, key_hash};
use ownership::{Confirmation, Coordinator, Plan};
use serde::de::DeserializeOwned;
use settings::{
    AcceptedDocument, GrantStatus, GroupStatus, MoveStatus, ServiceDocument, accepted_path,
    status_path,
};

use crate::{
    args::ExplainArgs,
    commands::parse_service_name,
    error::CommandError,
    retry::{RetryingStore, decode},
    table::{format_age, now_unix_ms},
    terminal::Terminal,
};

/// Objects of the platform that concern one key.
struct KeyReport {
    service: ServiceName,
    key: String,
    key_hash: KeyHash,
    plan: Plan,
    coordinator: Option<Coordinator>,
    status: Option<GroupStatus>,
    /// The accepted document and its version.
    document: Option<(u64, ServiceDocument)>,
}

pub(crate) async fn run(
    store: &RetryingStore,
    args: &ExplainArgs,
    terminal: &Terminal,
) -> Result<(), CommandError> {
    let service = parse_service_name(&args.service)?;
    let document = read_document(store, &service).await?;
    if document.as_ref().is_some_and(|it| !it.1.keyed) {
        terminal.print_line(&format!(
            "{service} is not sharded by key: any ready instance can serve {:?}.",
            args.key
        ));
        return Ok(());
    }
    let report = collect_report(store, service, &args.key, document).await?;
    report.format_lines().iter().for_each(|it| terminal.print_line(it));
    Ok(())
}

async fn read_document(
    store: &RetryingStore,
    service: &ServiceName,
) -> Result<Option<(u64, ServiceDocument)>, CommandError> {
    let accepted: Option<AcceptedDocument> = read_object(store, &accepted_path(service)).await?;
    let parsed = accepted.map(|it| (it.version.0, ServiceDocument::parse(&it.document)));
    Ok(parsed.and_then(|(version, it)| Some((version, it.ok()?))))
}

async fn collect_report(
    store: &RetryingStore,
    service: ServiceName,
    key: &str,
    document: Option<(u64, ServiceDocument)>,
) -> Result<KeyReport, CommandError> {
    let plans = store.list(&format!("plans/{service}/")).await?;
    let mut last_plan = None;
    for change in &plans.changes {
        let Some(body) = &change.body else { continue };
        last_plan = Some(decode::<Plan>(&change.path, body)?);
    }
    let Some(plan) = last_plan else {
        let message = format!("no coordinator has written a plan for service {service}");
        return Err(CommandError::NotFound(message));
    };
    let group = plan.group;
    Ok(KeyReport {
        coordinator: read_object(store, &format!("coordinators/{service}/{group}")).await?,
        status: read_object(store, &status_path(&service, group)).await?,
        key: key.to_owned(),
        key_hash: key_hash(key.as_bytes()),
        service,
        plan,
        document,
    })
}

async fn read_object<T: DeserializeOwned>(
    store: &RetryingStore,
    path: &str,
) -> Result<Option<T>, CommandError> {
    let object = store.read(path).await?;
    object.map(|it| decode(path, &it.body)).transpose()
}

impl KeyReport {
    fn slot(&self) -> Slot {
        self.plan.slot_count.slot_of(self.key_hash)
    }

    /// Returns the planned owner and successors, and whether the key is a hot key with an entry of its own.
    /// Other keys share the entry of their slot.
    fn planned_owners(&self) -> (Option<u16>, &[u16], bool) {
        if let Some(hot) = self.plan.hot_keys.iter().find(|it| it.key_hash == self.key_hash) {
            return (hot.owner, &hot.successors, true);
        }
        match self.plan.slots.iter().find(|it| it.slot == self.slot()) {
            Some(slot) => (slot.owner, &slot.successors, false),
            None => (None, &[], false),
        }
    }

    fn member(&self, index: u16) -> Option<&Instance> {
        self.plan.members.get(usize::from(index))
    }

    fn format_lines(&self) -> Vec<String> {
        let (owner, successors, is_hot) = self.planned_owners();
        let hot = if is_hot { ", hot key with its own owner" } else { "" };
        let (plan, slot) = (&self.plan, self.slot());
        let owner =
            owner.and_then(|it| self.member(it)).map_or("none".to_owned(), describe_instance);
        let successors = successors.iter().filter_map(|it| self.member(*it)).map(describe_instance);
        let successors: Vec<String> = successors.collect();
        vec![
            format!("key          {:?}, hash {:016x}{hot}", self.key, self.key_hash.0),
            format!(
                "slot         {slot} of {} of {}, group {}",
                plan.slot_count.count(),
                self.service,
                plan.group
            ),
            format!("owner        {}", self.granted_owner().unwrap_or("unknown".to_owned())),
            format!("planned      {owner}, in plan {} of term {}", plan.version, plan.term),
            format!("successors   {}", join_or_none(&successors)),
            format!("lease        {}", self.describe_lease()),
            format!("token        {}", self.describe_token()),
            format!("why          {}", self.describe_reason()),
            format!("coordinator  {}", self.describe_coordinator()),
        ]
    }

    fn describe_lease(&self) -> String {
        let Some((version, document)) = &self.document else {
            return "unknown, no document has been accepted".to_owned();
        };
        let limits = &document.ownership;
        format!(
            "{} ms, renewed every {} ms, from version {version} of the document",
            limits.lease.as_millis(),
            limits.renew_every.as_millis()
        )
    }

    fn last_move(&self) -> Option<&MoveStatus> {
        self.status.as_ref()?.moves.iter().find(|it| it.slot == self.slot())
    }

    fn grant(&self) -> Option<&GrantStatus> {
        self.status.as_ref()?.grants.get(usize::from(self.slot().0))
    }

    /// Returns the owner of the hot key or of the slot according to the status.
    fn granted_owner(&self) -> Option<String> {
        let status = self.status.as_ref()?;
        let hot = status.hot_keys.iter().find(|it| it.key_hash == self.key_hash);
        if let Some(owner) = hot.and_then(|it| it.owner.as_ref()) {
            return Some(owner.to_string());
        }
        let Some(owner) = self.grant()?.owner else { return Some("none".to_owned()) };
        let owner = status.owners.get(usize::from(owner))?;
        Some(format!("{} ({})", owner.instance, owner.zone))
    }

    fn describe_token(&self) -> String {
        match self.grant() {
            Some(it) => format!("{} from the grant of the slot", it.token),
            None => format!("at least {}, from the plan", self.plan.token_floor),
        }
    }

    fn describe_reason(&self) -> String {
        match (self.last_move(), &self.status) {
            (Some(it), _) => {
                let when = format_age(it.at_unix_ms, now_unix_ms());
                format!(
                    "slot {} moved to {} {when}: {}",
                    it.slot,
                    it.to,
                    describe_move_reason(&it.reason)
                )
            }
            (None, Some(status)) => {
                format!("slot {} is not among the last {} moves", self.slot(), status.moves.len())
            }
            (None, None) => "no coordinator has written a status".to_owned(),
        }
    }

    fn describe_coordinator(&self) -> String {
        let Some(it) = &self.coordinator else { return "none".to_owned() };
        let settled = if it.settled { "settled" } else { "not settled" };
        let confirmed = match it.confirmation {
            Confirmation::Witnesses => format!("{} witnesses", it.witnesses.len()),
            Confirmation::Platform => "the platform".to_owned(),
        };
        let holder = it.holder.as_ref().map_or("none".to_owned(), describe_instance);
        format!("{holder}, term {}, {settled}, confirmed by {confirmed}", it.term)
    }
}

fn describe_instance(instance: &Instance) -> String {
    format!("{} ({})", instance.name, instance.zone)
}

fn join_or_none(names: &[String]) -> String {
    match names {
        [] => "none".to_owned(),
        names => names.join(", "),
    }
}

/// Describes the reason of a move.
fn describe_move_reason(reason: &str) -> &str {
    match reason {
        "first" => "it had no owner",
        "loss" => "the previous owner was lost",
        "leave" => "the previous owner was leaving",
        "rebalance" => "load balancing",
        other => other,
    }
}
