//! Routes of foreign services: services that this instance forwards requests to without being a
//! member of their group.
//!
//! Routes are fetched on the first request of a caller and refreshed from one member, which is
//! replaced by another one after a while, or at once if it does not answer. Members of the own
//! availability zone are preferred. The platform is only read while no member answers, and the
//! coordinator is not preferred over other members. A stale route costs one redirect.
//!
//! An instance whose own group is full is not a member of it, and handles its own service in the same
//! way.

use std::{collections::BTreeMap, time::Duration};

use model::{ConfigVersion, Instance, ServiceName, Timestamp, Zone};
use object_store::StoreError;
use ownership::{Plan, UpstreamState};
use rand::{Rng, seq::IndexedRandom};
use wire::exchange::{Envelope, RouteMember, RouteOwner, RouteTable};

use crate::control::{
    calls::{Consistency, StoredGroup},
    state::{Control, DocumentSource, ONLY_GROUP},
};

/// The most services whose routes are kept, since callers can name any number of services.
const SERVICES_MAX: usize = 1024;
/// The most service names without a document that are looked up at the same time.
const LOOKUPS_MAX: usize = 16;
/// How long a service name counts as absent before it may be looked up again.
const ABSENT_TTL: Duration = Duration::from_secs(5);
/// The interval between two refreshes of a service's routes.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// The shortest interval between two queries for one service, even if its routes are stale.
const QUERY_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// The number of consecutive unanswered queries above which the platform is read.
const UNANSWERED_MAX: u32 = 3;
/// The number of members that are queried at the same time while queries stay unanswered.
const PARALLEL_QUERIES: usize = 2;
/// How long the same member is queried. Each member that is queried costs a control link, and one
/// that is cut off from its coordinator supplies stale routes.
const SOURCE_KEPT_FOR: Duration = Duration::from_secs(10);

/// The routes of all foreign services that callers have requested.
#[derive(Debug, Default)]
pub(crate) struct ForeignRoutes {
    table: BTreeMap<ServiceName, ForeignService>,
}

/// One foreign service: its routes and the state of the queries for them.
#[derive(Debug, Default)]
struct ForeignService {
    /// The newest known routes, `None` until a member or the platform has supplied some.
    routes: Option<RouteTable>,
    queried_at: Timestamp,
    /// The member that is queried, and since when.
    source: Option<(Instance, Timestamp)>,
    /// The number of queries since a member last answered.
    unanswered: u32,
    /// When the platform was last read for this service's group.
    platform_queried_at: Option<Timestamp>,
    /// When a read of the platform first found no such service.
    absent_since: Option<Timestamp>,
}

/// The recipients of one query for routes.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct RouteQuery {
    /// The number of members to query.
    pub(super) members: usize,
    /// The consistency of the platform read, or `None` if the platform is not read.
    pub(super) platform: Option<Consistency>,
}

impl ForeignService {
    /// Returns whether members of the service answer queries for its routes.
    fn has_responsive_members(&self) -> bool {
        self.routes.is_some() && self.unanswered <= UNANSWERED_MAX
    }

    /// Returns the consistency of a platform read. Until the first routes are known, a stale read is good enough: the
    /// members that it lists supply newer ones, and a group takes seconds to form.
    fn consistency(&self) -> Consistency {
        if self.routes.is_some() { Consistency::Latest } else { Consistency::Stale }
    }

    /// Records one more query and returns its recipients. The platform is included if no routes are
    /// known or more than [`UNANSWERED_MAX`] queries are unanswered. It is read at most once per
    /// [`REFRESH_INTERVAL`], however often stale routes are reported.
    fn begin_query(&mut self, now: Timestamp) -> RouteQuery {
        self.queried_at = now;
        self.unanswered += 1;
        let is_unresponsive = self.unanswered > UNANSWERED_MAX || self.routes.is_none();
        let due = self.platform_queried_at.is_none_or(|it| now.since(it) >= REFRESH_INTERVAL);
        let platform = (is_unresponsive && due).then(|| self.consistency());
        if platform.is_some() {
            self.platform_queried_at = Some(now);
        }
        RouteQuery { members: if is_unresponsive { PARALLEL_QUERIES } else { 1 }, platform }
    }

    /// Returns the members to query: the former one if it has answered, or else random ones, of
    /// the zone `near` if the service has members there.
    fn sources(
        &mut self,
        now: Timestamp,
        count: usize,
        near: &Zone,
        rng: &mut impl Rng,
    ) -> Vec<Instance> {
        let Some(routes) = &self.routes else { return Vec::new() };
        let is_member = |it: &Instance| routes.members.iter().any(|member| member.instance == *it);
        match &self.source {
            Some((source, since))
                if self.unanswered <= 1
                    && now.since(*since) < SOURCE_KEPT_FOR
                    && is_member(source) =>
            {
                return vec![source.clone()];
            }
            _ => {}
        }
        let is_near = |it: &&RouteMember| it.instance.zone == *near;
        let near: Vec<&RouteMember> = routes.members.iter().filter(is_near).collect();
        let all: Vec<&RouteMember> = routes.members.iter().collect();
        // After an unanswered query, the whole zone may be unavailable.
        let candidates = if near.is_empty() || self.unanswered > 1 { all } else { near };
        let sampled: Vec<Instance> =
            candidates.sample(rng, count).map(|it| it.instance.clone()).collect();
        self.source = sampled.first().map(|it| (it.clone(), now));
        sampled
    }

    /// Updates the routes from a peer's table and returns whether they changed. Agents of other
    /// services forward tables that they have received, so only a table from a member resets the
    /// count of unanswered queries or replaces routes of the same version. A table without members
    /// is useless, and such agents would forward it to each other for ever.
    fn update(&mut self, from: &Instance, table: RouteTable) -> bool {
        if table.members.is_empty() {
            return false;
        }
        let current = self.routes.as_ref();
        let version = current.map_or(0, |it| it.version);
        let is_newer = current.is_none() || table.version > version;
        let is_member = table.members.iter().any(|it| it.instance == *from);
        // While queries stay unanswered, a member's table replaces even routes of a higher version.
        let is_current = table.version >= version || self.unanswered > UNANSWERED_MAX;
        if !(is_newer || is_member && is_current) {
            return false;
        }
        let changed = current != Some(&table);
        self.routes = Some(table);
        if is_member {
            self.unanswered = 0;
        }
        changed
    }

    /// Resets the count of unanswered queries if `from` is a member and has the same route version.
    fn confirm_unchanged(&mut self, from: &Instance, version: u64) {
        let Some(routes) = &self.routes else { return };
        let is_member = routes.members.iter().any(|it| it.instance == *from);
        if is_member && routes.version == version {
            self.unanswered = 0;
        }
    }
}

impl ForeignRoutes {
    /// Adds a service that callers have requested.
    #[cfg(test)]
    pub(super) fn add(&mut self, service: &ServiceName) {
        self.table.entry(service.clone()).or_default();
    }

    /// Begins a query for the routes of a service, or returns `None` if the service is not listed.
    #[cfg(test)]
    pub(super) fn begin_query(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Option<RouteQuery> {
        self.table.get_mut(service).map(|it| it.begin_query(now))
    }

    /// Returns the member to query for a service's routes.
    #[cfg(test)]
    pub(super) fn sources(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        near: &Zone,
        rng: &mut impl Rng,
    ) -> Vec<Instance> {
        self.table.get_mut(service).map_or_else(Vec::new, |it| it.sources(now, 1, near, rng))
    }

    /// Updates a service's routes from a peer's table and returns whether they changed.
    pub(super) fn update(&mut self, from: &Instance, table: RouteTable) -> bool {
        self.table.get_mut(&table.service).is_some_and(|it| it.update(from, table))
    }

    /// Returns whether members of a service answer queries for its routes.
    #[cfg(test)]
    pub(super) fn has_responsive_members(&self, service: &ServiceName) -> bool {
        self.table.get(service).is_some_and(ForeignService::has_responsive_members)
    }

    #[cfg(test)]
    pub(super) fn member_count(&self, service: &ServiceName) -> Option<usize> {
        Some(self.table.get(service)?.routes.as_ref()?.members.len())
    }

    /// Marks a service as absent, since the platform has no accepted document of it.
    pub(super) fn mark_absent(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some(foreign) = self.table.get_mut(service) {
            foreign.absent_since.get_or_insert(now);
        }
    }

    /// Makes a refresh of a service's routes due at once, since its document has come into force.
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
    /// Looks up the document and the routes of a service, unless it is this instance's own, was
    /// queried recently, or would exceed the limits on listed and looked-up services.
    pub(super) fn look_up_service(&mut self, now: Timestamp, service: ServiceName) {
        let is_full = self.foreign.table.len() >= SERVICES_MAX;
        let is_known = self.foreign.table.contains_key(&service);
        let lookups =
            self.foreign.table.keys().filter(|it| self.documents.in_force(it).is_none()).count();
        if service == *self.service() || (!is_known && (is_full || lookups >= LOOKUPS_MAX)) {
            return;
        }
        let foreign = self.foreign.table.entry(service.clone()).or_default();
        let was_queried = foreign.queried_at != Timestamp::ZERO;
        if was_queried && now.since(foreign.queried_at) < REFRESH_INTERVAL {
            return;
        }
        foreign.queried_at = now;
        let is_responsive = foreign.has_responsive_members();
        let consistency = foreign.consistency();
        self.read_accepted(&service);
        // Responsive members supply newer routes than the platform. Each central configuration looks
        // up all services again; without this condition, the two reads of the group for each service
        // in each process were a third of all platform calls.
        if !is_responsive {
            self.parts.calls.read_group(&service, ONLY_GROUP, consistency);
            self.query_peers(&service);
        }
        // The document may already be in force, from a watch.
        self.is_dirty = true;
    }

    /// Queries the routes of a service after a request was sent by a stale route. `owner` is the
    /// owner that a peer named.
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

    /// Lists the own service while its group refuses this instance, so that its callers are served.
    /// The first routes come from the coordinator, which has sent the refusal.
    fn list_own_service_if_refused(&mut self, now: Timestamp) {
        let service = self.service().clone();
        let refusing = self.group.as_ref().filter(|it| it.is_refused);
        match (refusing, self.foreign.table.contains_key(&service)) {
            (None, false) => {}
            (None, true) => {
                self.foreign.table.remove(&service);
                self.is_dirty = true;
            }
            (Some(group), is_listed) => {
                let coordinator = group.view.coordinator.clone();
                let initial =
                    || ForeignService { platform_queried_at: Some(now), ..Default::default() };
                let foreign = self.foreign.table.entry(service.clone()).or_insert_with(initial);
                let is_due = now.since(foreign.queried_at) >= REFRESH_INTERVAL;
                if !is_listed || foreign.routes.is_none() && is_due {
                    self.query_routes(now, &service, coordinator);
                }
            }
        }
    }

    /// Queries the routes that are due for a refresh, and drops services that have been absent for
    /// [`ABSENT_TTL`].
    pub(super) fn refresh_foreign_routes(&mut self, now: Timestamp) {
        self.list_own_service_if_refused(now);
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

    /// Queries the routes of a service from some of its members and from `hint`, and also from the
    /// platform and the configured peers if members do not answer.
    fn query_routes(&mut self, now: Timestamp, service: &ServiceName, hint: Option<Instance>) {
        let Some(foreign) = self.foreign.table.get_mut(service) else { return };
        let query = foreign.begin_query(now);
        if let Some(consistency) = query.platform {
            self.read_accepted(service);
            self.parts.calls.read_group(service, ONLY_GROUP, consistency);
            self.query_peers(service);
        }
        let mut targets = self.route_sources(now, service, query.members);
        targets.extend(hint);
        self.fetch_routes(service, targets);
    }

    fn route_sources(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        count: usize,
    ) -> Vec<Instance> {
        let zone = &self.parts.own.zone;
        let foreign = self.foreign.table.get_mut(service);
        foreign.map_or_else(Vec::new, |it| it.sources(now, count, zone, &mut self.rng))
    }

    fn fetch_routes(&self, service: &ServiceName, targets: Vec<Instance>) {
        let routes = self.foreign.table.get(service).and_then(|it| it.routes.as_ref());
        let known = routes.map_or(0, |it| it.version);
        for target in targets {
            let envelope = Envelope::FetchRoutes { service: service.clone(), known_version: known };
            // Sent to the address, since the known incarnation may be older than the running one.
            self.parts.links.send_to_address(target.control, envelope.encode());
        }
    }

    /// Answers a query for routes, either of the own group or of a foreign service as last received.
    /// An instance that has left its group no longer receives route changes and does not answer, so
    /// that the peer queries other members. If it answered, a rolling restart would send callers to
    /// the instance that left last until its process ends, for up to 5 s.
    pub(super) fn send_routes(&self, to: &Instance, service: &ServiceName, known: u64) {
        let is_member = service == self.service() && !self.is_handed_over();
        let own = is_member.then(|| self.own_routes()).flatten();
        // Without a session there are no members to name; see `list_own_service_if_refused`.
        let own = own.filter(|it| !it.members.is_empty());
        let cached = || self.foreign.table.get(service).and_then(|it| it.routes.clone());
        let Some(table) = own.or_else(cached) else { return };
        let RouteTable { version, config, .. } = table;
        let answer = match version == known {
            true => Envelope::RoutesUnchanged { service: service.clone(), version, config },
            false => Envelope::Routes(table),
        };
        self.parts.links.send(to, answer.encode());
    }

    /// Handles a peer's answer that its routes still have the queried version.
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

    /// Handles a route table from a peer.
    pub(super) fn on_routes(&mut self, from: Instance, table: RouteTable) {
        let service = table.service.clone();
        let config = table.config;
        if service == *self.service() && self.group.is_none() {
            self.reported_members = table.members.iter().map(|it| it.instance.clone()).collect();
        }
        self.is_dirty |= self.foreign.update(&from, table);
        self.on_version_announced(&from, service, config);
    }

    /// Handles the stored state of a foreign group, which was read because no member answered.
    pub(super) fn on_group_read(
        &mut self,
        service: ServiceName,
        result: Result<StoredGroup, StoreError>,
    ) {
        let read = match result {
            Ok(read) => read,
            Err(error) => {
                log::debug!(target: "control", "Cannot read a group from the platform: {error}.");
                return;
            }
        };
        let now = self.now();
        let config = self.documents.version(&service);
        let Some(foreign) = self.foreign.table.get_mut(&service) else { return };
        if foreign.has_responsive_members() {
            return;
        }
        if let Some(plan) = read.plan {
            foreign.routes = Some(RouteTable { config, ..routes_from_plan(plan) });
            self.is_dirty = true;
        }
        let mut targets = self.route_sources(now, &service, PARALLEL_QUERIES);
        targets.extend(read.coordinator.and_then(|it| it.holder));
        self.fetch_routes(&service, targets);
    }

    /// Builds the own group's route table from the node's view.
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
            if !owners.last_mut().is_some_and(|it: &mut RouteOwner| it.try_extend(&next)) {
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

/// Returns the index of an instance in `members`. A missing instance is not a live member and is
/// added as not ready.
fn member_index(members: &mut Vec<RouteMember>, instance: &Instance) -> u16 {
    let index = members.iter().position(|it| it.instance == *instance).unwrap_or_else(|| {
        members.push(RouteMember { instance: instance.clone(), ready: false });
        members.len() - 1
    });
    index as u16
}

/// Builds a route table from a stored plan. Plans have no route version, so the table gets version
/// 0 and any member's table replaces it.
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
