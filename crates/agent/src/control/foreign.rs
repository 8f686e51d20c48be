//! Routes of the services that this instance serves callers for but is no member of.
//!
//! They are learned when a caller first asks, and refreshed from any one member: never from the
//! platform while a member answers, and never from the coordinator by preference. A stale route
//! costs a redirect, no more.

use std::{collections::BTreeMap, time::Duration};

use model::{ConfigVersion, Instance, ServiceName, Timestamp};
use object_store::StoreError;
use ownership::{Plan, UpstreamState};
use rand::seq::IndexedRandom;
use wire::exchange::{Envelope, RouteMember, RouteOwner, RouteTable};

use crate::control::{
    calls::{Consistency, StoredGroup},
    state::{Control, DocumentSource, ONLY_GROUP},
};

/// How many services' routes are kept; callers could name any number of services.
const SERVICES_MAX: usize = 1024;
/// How many names without a document are looked for at a time.
const LOOKUPS_MAX: usize = 16;
/// How long a name is known not to be a service before it is looked for again.
const ABSENT_TTL: Duration = Duration::from_secs(5);
/// How often the routes of a service are asked for anew.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// The shortest time between two questions for one service, however stale its routes are.
const QUERY_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Questions without an answer after which the platform is asked.
const UNANSWERED_MAX: u32 = 3;
/// How many members are asked at once while answers stay out.
const PARALLEL_QUERIES: usize = 2;

#[derive(Debug, Default)]
pub(crate) struct ForeignRoutes {
    table: BTreeMap<ServiceName, ForeignService>,
}

#[derive(Debug, Default)]
struct ForeignService {
    routes: Option<RouteTable>,
    queried_at: Timestamp,
    unanswered: u32,
    /// When the platform was last asked.
    platform_queried_at: Option<Timestamp>,
    /// Since when the platform has been known to have no such service.
    absent_since: Option<Timestamp>,
}

/// Who is asked for routes this time.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct RouteQuery {
    pub(super) members: usize,
    /// None: the platform is not asked.
    pub(super) platform: Option<Consistency>,
}

impl ForeignService {
    /// Whether its members tell of their routes.
    fn has_responsive_members(&self) -> bool {
        self.routes.is_some() && self.unanswered <= UNANSWERED_MAX
    }

    /// Notes one more question. The platform is asked once members have been silent for a while,
    /// however often routes turn out stale meanwhile.
    fn begin_query(&mut self, now: Timestamp) -> RouteQuery {
        self.queried_at = now;
        self.unanswered += 1;
        let silent = self.unanswered > UNANSWERED_MAX || self.routes.is_none();
        let due = self.platform_queried_at.is_none_or(|it| now.since(it) >= REFRESH_INTERVAL);
        // While there is no group yet, which lasts for seconds, an older state does as well.
        let consistency =
            if self.routes.is_some() { Consistency::Latest } else { Consistency::Stale };
        let platform = (silent && due).then_some(consistency);
        if platform.is_some() {
            self.platform_queried_at = Some(now);
        }
        RouteQuery { members: if silent { PARALLEL_QUERIES } else { 1 }, platform }
    }

    /// Takes over what a peer says; whether that changed anything. Agents of other services pass on
    /// what they have heard, so only the word of a member ends a silence or replaces routes of the
    /// same version. A table without members is of no use, and would go round among such agents
    /// for ever.
    fn update(&mut self, from: &Instance, table: RouteTable) -> bool {
        if table.members.is_empty() {
            return false;
        }
        let current = self.routes.as_ref();
        let version = current.map_or(0, |it| it.version);
        let is_newer = current.is_none() || table.version > version;
        let is_member = table.members.iter().any(|it| it.instance == *from);
        // After long silence whatever a member says is better than what is known.
        let is_better = table.version >= version || self.unanswered > UNANSWERED_MAX;
        if !(is_newer || is_member && is_better) {
            return false;
        }
        let changed = current != Some(&table);
        self.routes = Some(table);
        if is_member {
            self.unanswered = 0;
        }
        changed
    }

    /// Notes that a member knows of nothing newer.
    fn confirm_unchanged(&mut self, from: &Instance, version: u64) {
        let Some(routes) = &self.routes else { return };
        let is_member = routes.members.iter().any(|it| it.instance == *from);
        if is_member && routes.version == version {
            self.unanswered = 0;
        }
    }
}

impl ForeignRoutes {
    /// A service that callers have asked for.
    #[cfg(test)]
    pub(super) fn add(&mut self, service: &ServiceName) {
        self.table.entry(service.clone()).or_default();
    }

    /// Asks once for the routes of a wanted service.
    #[cfg(test)]
    pub(super) fn begin_query(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Option<RouteQuery> {
        self.table.get_mut(service).map(|it| it.begin_query(now))
    }

    /// Takes over what a peer says; whether that changed anything.
    pub(super) fn update(&mut self, from: &Instance, table: RouteTable) -> bool {
        self.table.get_mut(&table.service).is_some_and(|it| it.update(from, table))
    }

    /// Whether members of a service tell of its routes.
    #[cfg(test)]
    pub(super) fn has_responsive_members(&self, service: &ServiceName) -> bool {
        self.table.get(service).is_some_and(ForeignService::has_responsive_members)
    }

    #[cfg(test)]
    pub(super) fn member_count(&self, service: &ServiceName) -> Option<usize> {
        Some(self.table.get(service)?.routes.as_ref()?.members.len())
    }

    /// The platform has no such service.
    pub(super) fn mark_absent(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some(foreign) = self.table.get_mut(service) {
            foreign.absent_since.get_or_insert(now);
        }
    }

    /// A document has come into force: its routes are due at once.
    pub(super) fn mark_due(&mut self, service: &ServiceName) {
        if let Some(foreign) = self.table.get_mut(service) {
            foreign.queried_at = Timestamp::ZERO;
            foreign.absent_since = None;
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&ServiceName, Option<&RouteTable>)> {
        self.table.iter().map(|(service, it)| (service, it.routes.as_ref()))
    }
}

impl Control {
    /// A caller asked for a service that is not known here.
    pub(super) fn look_up_service(&mut self, now: Timestamp, service: ServiceName) {
        let full = self.foreign.table.len() >= SERVICES_MAX;
        let known = self.foreign.table.contains_key(&service);
        let lookups =
            self.foreign.table.keys().filter(|it| self.documents.in_force(it).is_none()).count();
        if service == *self.service() || (!known && (full || lookups >= LOOKUPS_MAX)) {
            return;
        }
        let foreign = self.foreign.table.entry(service.clone()).or_default();
        let asked_before = foreign.queried_at != Timestamp::ZERO;
        if asked_before && now.since(foreign.queried_at) < REFRESH_INTERVAL {
            return;
        }
        foreign.queried_at = now;
        let heard = foreign.has_responsive_members();
        self.read_accepted(&service);
        // Members that answer know it better: each new configuration names all services again, and two reads for
        // each in each process were a third of all calls.
        if !heard {
            self.parts.calls.read_group(&service, ONLY_GROUP, Consistency::Latest);
            self.query_peers(&service);
        }
        // The document may be known already, from a watch.
        self.dirty = true;
    }

    pub(super) fn on_stale_route(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        owner: Option<Instance>,
    ) {
        let Some(foreign) = self.foreign.table.get_mut(service) else { return };
        if now.since(foreign.queried_at) < QUERY_INTERVAL_MIN {
            return;
        }
        self.query_routes(now, service, owner);
    }

    pub(super) fn refresh_foreign_routes(&mut self, now: Timestamp) {
        self.foreign
            .table
            .retain(|_, it| it.absent_since.is_none_or(|since| now.since(since) < ABSENT_TTL));
        let due: Vec<ServiceName> = self
            .foreign
            .table
            .iter()
            .filter(|(_, it)| it.absent_since.is_none())
            .filter(|(_, it)| now.since(it.queried_at) >= REFRESH_INTERVAL)
            .map(|(service, _)| service.clone())
            .collect();
        for service in due {
            self.query_routes(now, &service, None);
        }
    }

    fn read_accepted(&self, service: &ServiceName) {
        if self.parts.documents_from == DocumentSource::ObjectStore {
            self.parts.calls.read_accepted(service);
        }
    }

    /// Asks a few members, and the platform where they stay silent.
    fn query_routes(&mut self, now: Timestamp, service: &ServiceName, hint: Option<Instance>) {
        let Some(foreign) = self.foreign.table.get_mut(service) else { return };
        let query = foreign.begin_query(now);
        if let Some(consistency) = query.platform {
            self.read_accepted(service);
            self.parts.calls.read_group(service, ONLY_GROUP, consistency);
            self.query_peers(service);
        }
        let mut targets = self.sample_members(service, query.members);
        targets.extend(hint);
        self.fetch_routes(service, targets);
    }

    fn sample_members(&mut self, service: &ServiceName, count: usize) -> Vec<Instance> {
        let routes = self.foreign.table.get(service).and_then(|it| it.routes.as_ref());
        let Some(routes) = routes else { return Vec::new() };
        let picked = routes.members.sample(&mut self.rng, count);
        picked.map(|it| it.instance.clone()).collect()
    }

    fn fetch_routes(&self, service: &ServiceName, targets: Vec<Instance>) {
        let routes = self.foreign.table.get(service).and_then(|it| it.routes.as_ref());
        let known = routes.map_or(0, |it| it.version);
        for target in targets {
            let envelope = Envelope::FetchRoutes { service: service.clone(), known };
            // Whichever life of it is there by now: the store may name the one before.
            self.parts.links.send_to_address(target.control, envelope.encode());
        }
    }

    /// Answers a question for routes: of the own group, or of another as last heard. Once this instance
    /// has left its group it hears of no change there: its silence sends those who ask to the others. With
    /// an answer, callers of a service that was restarted one instance after another were sent to the one
    /// that had left last until its process ended, for up to 5 s.
    pub(super) fn send_routes(&self, to: &Instance, service: &ServiceName, known: u64) {
        let is_member = service == self.service() && !self.is_handed_over();
        let own = is_member.then(|| self.own_routes()).flatten();
        let cached = || self.foreign.table.get(service).and_then(|it| it.routes.clone());
        let Some(table) = own.or_else(cached) else { return };
        let RouteTable { version, config, .. } = table;
        let answer = match version == known {
            true => Envelope::RoutesUnchanged { service: service.clone(), version, config },
            false => Envelope::Routes(table),
        };
        self.parts.links.send(to, answer.encode());
    }

    pub(super) fn on_routes_unchanged(
        &mut self,
        from: &Instance,
        service: ServiceName,
        version: u64,
        config: ConfigVersion,
    ) {
        if let Some(foreign) = self.foreign.table.get_mut(&service) {
            foreign.confirm_unchanged(from, version);
        }
        self.on_version_announced(from, service, config);
    }

    pub(super) fn on_routes(&mut self, from: Instance, table: RouteTable) {
        let service = table.service.clone();
        let config = table.config;
        if service == *self.service() && self.group.is_none() {
            self.reported_members = table.members.iter().map(|it| it.instance.clone()).collect();
        }
        self.dirty |= self.foreign.update(&from, table);
        self.on_version_announced(&from, service, config);
    }

    /// What the platform knows of a group, for want of a member that answers.
    pub(super) fn on_group_read(
        &mut self,
        service: ServiceName,
        result: Result<StoredGroup, StoreError>,
    ) {
        let read = match result {
            Ok(read) => read,
            Err(error) => {
                log::debug!(target: "control", "{error}.");
                return;
            }
        };
        let config = self.documents.version(&service);
        let Some(foreign) = self.foreign.table.get_mut(&service) else { return };
        if foreign.has_responsive_members() {
            return;
        }
        if let Some(plan) = read.plan {
            foreign.routes = Some(RouteTable { config, ..routes_from_plan(plan) });
            self.dirty = true;
        }
        let mut targets = self.sample_members(&service, PARALLEL_QUERIES);
        targets.extend(read.coordinator.and_then(|it| it.holder));
        self.fetch_routes(&service, targets);
    }

    /// The own group's routes as its node sees them.
    fn own_routes(&self) -> Option<RouteTable> {
        let view = &self.group.as_ref()?.view;
        let in_force = self.documents.in_force(self.service())?;
        let mut members: Vec<RouteMember> = view
            .members
            .iter()
            .map(|it| RouteMember {
                instance: it.instance.clone(),
                ready: it.state == UpstreamState::Ready,
            })
            .collect();
        let mut owners = Vec::with_capacity(view.owners.len());
        for owner in &view.owners {
            let next = RouteOwner {
                slot: owner.slot,
                last: None,
                key_hash: owner.key_hash,
                owner: owner.owner.as_ref().map(|it| member_index(&mut members, it)),
                successors: owner
                    .successors
                    .iter()
                    .map(|it| member_index(&mut members, it))
                    .collect(),
            };
            if !owners.last_mut().is_some_and(|it: &mut RouteOwner| it.extend(&next)) {
                owners.push(next);
            }
        }
        Some(RouteTable {
            service: self.service().clone(),
            config: in_force.version,
            version: view.route_version,
            slot_count: in_force.document.slot_count,
            members,
            owners,
        })
    }
}

/// The index of an instance, which is added if it is new; such a one is no live member.
fn member_index(members: &mut Vec<RouteMember>, instance: &Instance) -> u16 {
    let index = members.iter().position(|it| it.instance == *instance).unwrap_or_else(|| {
        members.push(RouteMember { instance: instance.clone(), ready: false });
        members.len() - 1
    });
    index as u16
}

/// What the plan says; its version is not one of routes, so any member's word replaces it.
fn routes_from_plan(plan: Plan) -> RouteTable {
    let slots = plan.slots.into_iter().map(|it| RouteOwner {
        slot: it.slot,
        last: None,
        key_hash: None,
        owner: it.owner,
        successors: it.successors,
    });
    let keys = plan.hot_keys.into_iter().map(|it| RouteOwner {
        slot: plan.slot_count.slot_of(it.key_hash),
        last: None,
        key_hash: Some(it.key_hash),
        owner: it.owner,
        successors: it.successors,
    });
    RouteTable {
        service: plan.service,
        config: ConfigVersion(0),
        version: 0,
        slot_count: plan.slot_count,
        owners: slots.chain(keys).collect(),
        members: plan
            .members
            .into_iter()
            .map(|instance| RouteMember { instance, ready: true })
            .collect(),
    }
}
